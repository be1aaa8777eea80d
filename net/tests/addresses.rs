//! Addresses that are in use: how long a process waits for them.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::time::Duration;

use limpetferry_lib::time::Time;
use limpetferry_net::addresses::AddressWait;
use limpetferry_net::addresses::IN_USE_LIMIT;
use limpetferry_net::addresses::ListenError;
use limpetferry_net::addresses::Listeners;
use limpetferry_net::addresses::Need;
use limpetferry_net::clock::Clock;
use limpetferry_testutils::listen::any_loopback;
use limpetferry_testutils::listen::free;
use prometheus::Registry;

const START: Time = Time::from_millis(7_000);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

// Guards against a start that fails for good by an address that is free a little later.
#[test]
fn an_address_in_use_is_tried_again_for_a_bounded_time() {
    let mut wait = AddressWait::new(START);
    let mut now = START;
    let mut pauses = Vec::new();

    while let Some(pause) = wait.next_pause(now, Need::Required) {
        pauses.push(pause);
        now = now + pause;
    }

    assert!(now.since(START) >= IN_USE_LIMIT);
    assert!(now.since(START) <= IN_USE_LIMIT + LONGEST_PAUSE);
    assert!(pauses.is_sorted());
    assert_eq!(pauses.last(), Some(&LONGEST_PAUSE));
}

#[test]
fn the_wait_outlasts_what_the_system_keeps_of_a_closed_connection() {
    let time_wait = Duration::from_secs(60);

    let mut wait = AddressWait::new(START);

    assert!(wait.next_pause(START + time_wait, Need::Required).is_some());
}

#[test]
fn an_address_that_a_process_can_do_without_never_ends_it() {
    let mut wait = AddressWait::new(START);

    let pause = wait.next_pause(START + IN_USE_LIMIT * 10, Need::Optional);

    assert!(pause.is_some_and(|pause| pause <= LONGEST_PAUSE));
}

#[test]
fn exit_codes_tell_an_address_in_use_from_a_wrong_one() {
    let (setting, address) = ("callers", free());

    let in_use = ListenError::InUse {
        setting,
        address,
        waited: IN_USE_LIMIT,
    };
    let refused = ListenError::Refused {
        setting,
        address,
        source: ErrorKind::AddrNotAvailable.into(),
    };

    assert_eq!((in_use.exit_code(), refused.exit_code()), (6, 5));
    assert!(in_use.to_string().contains("callers"));
    assert!(refused.to_string().contains("callers"));
}

#[test]
fn an_address_is_bound_once_it_is_free_and_the_metric_says_so() {
    smol::block_on(async {
        let registry = Registry::new();
        let listeners = Listeners::new("a", Clock::default(), &registry).expect("a new metric");
        let held = TcpListener::bind(any_loopback()).expect("a port is free");
        let address = held.local_addr().expect("a bound listener has one");
        let waits = || {
            let families = registry.gather();
            let metrics = families.iter().flat_map(|family| family.get_metric());
            metrics
                .map(|metric| metric.get_gauge().get_value())
                .sum::<f64>()
                > 0.0
        };

        let binding = listeners.bind("callers", address, Need::Required);
        let freeing = async {
            while !waits() {
                smol::future::yield_now().await;
            }
            drop(held);
        };
        let (bound, ()) = futures_lite::future::zip(binding, freeing).await;

        assert_eq!(bound.expect("it is free").local_addr().ok(), Some(address));
        assert!(!waits());
    });
}
