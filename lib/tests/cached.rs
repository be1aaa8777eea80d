//! Cached prompt parts: how much of a prompt is left to prefill, and how gateways
//! learn what other gateways' requests left in the caches.

use std::sync::Arc;

use limpetferry_lib::cached::Cached;
use limpetferry_lib::call::Part;
use limpetferry_lib::criteria::Criteria;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::place::Place;
use limpetferry_lib::place::Places;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::server_version::ServerVersion;
use limpetferry_lib::time::Time;

const SHARED: u64 = 1;
const CHAIN: u64 = 2;
const HELPER: u64 = 3;

fn part(id: u64, tokens: u64) -> Part {
    Part { id, tokens }
}

/// Returns a gateway's state with two servers.
fn gateway() -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..2_u16 {
        fleet.put(server(number));
    }
    fleet
}

fn server(number: u16) -> Server {
    Server {
        id: format!("server-{number}").into(),
        started_at: None,
        service: Arc::from("engine"),
        version: ServerVersion::new("v1"),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        centre: Arc::from("here"),
        slots: 48,
        state: ServerState::Ready,
    }
}

fn turn(parts: &[Part]) -> Criteria<'_> {
    Criteria {
        parts,
        centre: "here",
        ..Criteria::default()
    }
}

#[test]
fn only_the_new_tokens_of_a_chain_of_turns_are_uncached() {
    let mut cached = Cached::default();
    cached.add(Time::default(), part(SHARED, 2_800));
    cached.add(Time::default(), part(CHAIN, 1_000));

    let next = [part(SHARED, 2_800), part(CHAIN, 1_700)];
    let helper = [part(SHARED, 2_800), part(CHAIN, 900), part(HELPER, 400)];
    let other = [part(SHARED, 2_800), part(9, 500)];

    assert_eq!(cached.uncached_tokens(&next), 700);
    assert_eq!(cached.uncached_tokens(&helper), 400);
    assert_eq!(cached.uncached_tokens(&other), 500);
    assert_eq!(Cached::default().uncached_tokens(&next), 4_500);
}

#[test]
fn the_parts_before_a_cached_one_are_cached_too() {
    let mut cached = Cached::default();
    cached.add(Time::default(), part(CHAIN, 1_000));

    let uncached_tokens = cached.uncached_tokens(&[part(SHARED, 2_800), part(CHAIN, 1_200)]);

    assert_eq!(uncached_tokens, 200);
}

#[test]
fn unused_parts_are_dropped_after_some_minutes() {
    let mut cached = Cached::default();
    cached.add(Time::default(), part(CHAIN, 1_000));

    cached.add(Time::from_millis(50_000), part(SHARED, 10));
    let soon = cached.tokens(CHAIN);
    cached.add(Time::from_millis(70_000), part(SHARED, 10));
    cached.add(Time::from_millis(140_000), part(SHARED, 10));
    let later = cached.tokens(CHAIN);

    assert_eq!((soon, later), (1_000, 0));
    assert_eq!(cached.tokens(SHARED), 10);
}

#[test]
fn a_turn_is_sent_to_the_server_to_which_another_gateway_sent_the_previous_turn() {
    // For the second gateway both servers are equal until it receives the place.
    let mut first = gateway();
    let mut second = gateway();
    let parts = [part(SHARED, 2_800), part(CHAIN, 1_000)];
    let next = [part(SHARED, 2_800), part(CHAIN, 1_600)];
    let key = first.key("server-1").expect("known server");
    first.begin(Time::default(), key, &turn(&parts));

    let place = first.place(key, part(CHAIN, 1_200)).expect("known server");
    second.apply_places(Time::default(), &[place]);

    for draw in [0.0, 0.6] {
        let criteria = Criteria {
            draw,
            ..turn(&next)
        };
        let key = second.pick(Time::default(), "engine", &criteria);
        assert_eq!(key, second.key("server-1"));
    }
}

#[test]
fn a_place_at_an_earlier_start_of_a_server_is_ignored() {
    let first = gateway();
    let key = first.key("server-1").expect("known server");
    let place = first.place(key, part(CHAIN, 9_000)).expect("known server");
    for started_at in [Some(7), None] {
        let mut second = gateway();
        let again = Server {
            started_at,
            address: ([10, 0, 0, 9], 9_000).into(),
            ..server(1)
        };

        second.put(again);
        second.apply_places(Time::default(), &[place]);
        let key = second.key("server-1").expect("known server");
        let work = second.begin(Time::default(), key, &turn(&[part(CHAIN, 9_500)]));

        assert_eq!(work.uncached, 9_500);
    }
}

#[test]
fn only_the_latest_places_are_stored_one_for_each_part() {
    let mut places = Places::default();
    for id in 0..100 {
        places.put(Place {
            start: id,
            part: part(id, 10),
        });
    }
    places.put(Place {
        start: 7,
        part: part(99, 20),
    });

    let all = places.all();
    let last = all.last().map(|place| (place.start, place.part.tokens));

    assert_eq!((all.len(), last), (16, Some((7, 20))));
    let same = all.iter().filter(|place| place.part.id == 99);
    assert_eq!(same.count(), 1);
}

// Guards against a process that panics while it holds what it knows of the servers, as a
// caller names parts whose sum fits no number.
#[test]
fn parts_of_any_size_have_a_sum() {
    let parts = [part(SHARED, u64::MAX), part(CHAIN, u64::MAX)];

    assert_eq!(Cached::default().uncached_tokens(&parts), u64::MAX);
}
