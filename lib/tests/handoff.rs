//! Handoff of requests between gateways in an overloaded data centre, whose load
//! balancer sends as many callers to a gateway with a link of 22 Mbit/s as to one
//! with 200.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::handoff::Handoff;
use limpetferry_lib::handoff::Identity;
use limpetferry_lib::handoff::OwnLoad;
use limpetferry_lib::handoff_target::HopOutcome;
use limpetferry_lib::load_report::GatewayState;
use limpetferry_lib::time::Time;
use limpetferry_lib::turn_cost::Power;
use limpetferry_lib::turn_cost::RequestSize;

const WEAK: Power = Power {
    link_mbps: 22.0,
    cores: 0.068,
};
const STRONG: Power = Power {
    link_mbps: 200.0,
    cores: 0.5,
};
/// A turn with stored history, as a caller sends it.
const TURN: RequestSize = RequestSize {
    body: 17_000,
    has_history: true,
    handed_over: false,
};
/// A tool call.
const CALL: RequestSize = RequestSize {
    body: 300,
    has_history: false,
    handed_over: false,
};
/// Bytes that the link carries for a turn with its history.
const MOVED: u64 = 130_000;
const IDLE: OwnLoad = OwnLoad {
    late: Duration::from_millis(4),
    requests: 3,
};
const NOW: Time = Time::from_millis(10_000);

fn gateway(power: Power) -> Handoff {
    let mut handoff = Handoff::new(Identity {
        node: "own".into(),
        centre: "a".into(),
        power,
    });
    handoff.cost().observe_link_bytes(MOVED);
    handoff
        .cost()
        .observe_time_in_flight(Duration::from_millis(600));
    handoff
}

fn other(node: &str, centre: &str, power: Power) -> GatewayState {
    GatewayState {
        node: node.into(),
        centre: centre.into(),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 4_000))),
        link_mbps: power.link_mbps as u32,
        cpu_milli: (power.cores * 1_000.0) as u32,
        late_ms: 4,
        requests: 3,
    }
}

fn busy(mut state: GatewayState, requests: u32, late_ms: u32) -> GatewayState {
    state.requests = requests;
    state.late_ms = late_ms;
    state
}

fn draws(number: u32) -> [f64; 2] {
    let part = |step: f64| (f64::from(number) * step).fract();
    [part(0.618_034), part(0.754_878)]
}

/// Hands over `count` turns one after the other, and counts them by target.
fn spread(
    handoff: &mut Handoff,
    own: OwnLoad,
    others: &[GatewayState],
    count: u32,
) -> BTreeMap<Arc<str>, u32> {
    let mut counts = BTreeMap::new();
    for number in 0..count {
        let target = handoff.choose(NOW, own, TURN, others, draws(number));
        let node = target.map_or("own".into(), |state| state.node.clone());
        handoff.begin(&node);
        *counts.entry(node).or_insert(0) += 1;
    }
    counts
}

fn chosen(
    handoff: &mut Handoff,
    now: Time,
    own: OwnLoad,
    others: &[GatewayState],
) -> Option<Arc<str>> {
    let target = handoff.choose(now, own, TURN, others, [0.3, 0.7]);
    target.map(|state| state.node.clone())
}

#[test]
fn a_weak_gateway_hands_over_its_turns_and_a_strong_one_none() {
    let mut weak = gateway(WEAK);
    let mut strong = gateway(STRONG);
    let of_weak = [other("strong", "a", STRONG), other("weak", "a", WEAK)];
    let of_strong = [other("weak", "a", WEAK), other("other", "a", STRONG)];

    let by_weak = chosen(&mut weak, NOW, IDLE, &of_weak);
    let by_strong = chosen(&mut strong, NOW, IDLE, &of_strong);

    assert_eq!(by_weak.as_deref(), Some("strong"));
    assert_eq!(by_strong, None);
}

#[test]
fn small_calls_of_an_idle_weak_gateway_are_served_locally() {
    let mut weak = gateway(WEAK);
    let others = [other("strong", "a", STRONG)];
    let idle = OwnLoad {
        late: Duration::ZERO,
        requests: 1,
    };

    let target = weak.choose(NOW, idle, CALL, &others, [0.1, 0.9]);

    assert!(!weak.is_worthwhile(idle, CALL));
    assert_eq!(target, None);
}

#[test]
fn gateways_that_are_all_equally_behind_keep_their_turns() {
    let late = Duration::from_millis(60);
    for power in [WEAK, STRONG] {
        let mut handoff = gateway(power);
        let others: Vec<GatewayState> = (0..6)
            .map(|number| busy(other(&format!("g{number}"), "a", power), 20, 60))
            .collect();
        let own = OwnLoad { late, requests: 20 };

        let counts = spread(&mut handoff, own, &others, 50);

        assert_eq!(counts, BTreeMap::from([("own".into(), 50)]));
    }
}

#[test]
fn turns_are_spread_over_targets_by_their_spare_capacity() {
    let mut weak = gateway(WEAK);
    let half = Power {
        link_mbps: 100.0,
        cores: 0.25,
    };
    let others = [
        other("half", "a", half),
        other("strong-1", "a", STRONG),
        other("strong-2", "a", STRONG),
    ];

    let counts = spread(&mut weak, IDLE, &others, 30);

    let count = |node: &str| counts.get(node).copied().unwrap_or(0);
    assert!(
        count("strong-1") >= 5 && count("strong-2") >= 5,
        "{counts:?}"
    );
    assert!(count("half") <= count("strong-1"), "{counts:?}");
    assert!(count("half") <= count("strong-2"), "{counts:?}");
}

#[test]
fn a_share_of_each_target_is_left_for_its_own_callers() {
    let mut weak = gateway(WEAK);
    let one = [other("strong", "a", STRONG)];

    let counts = spread(&mut weak, IDLE, &one, 1_000);

    let handed = f64::from(counts["strong"]) + 3.0;
    // 130 kB take 5.2 ms on 200 Mbit/s, so 115 turns of 0.6 s each use up the link.
    assert!(handed <= 115.0 * 0.7 + 1.0, "{counts:?}");
    let reported = [busy(other("strong", "a", STRONG), 10, 4)];
    assert!(chosen(&mut weak, NOW, IDLE, &reported).is_some());
}

#[test]
fn only_an_overloaded_data_centre_hands_over_to_others_and_it_stops_with_hysteresis() {
    let mut weak = gateway(WEAK);
    let state = |late: u32| {
        [
            busy(other("near", "a", STRONG), 100, late),
            other("far", "b", STRONG),
        ]
    };
    let own = |late: u64| OwnLoad {
        late: Duration::from_millis(late),
        requests: 10,
    };

    let calm = chosen(
        &mut weak,
        NOW,
        own(10),
        &[other("near", "a", STRONG), other("far", "b", STRONG)],
    );
    let overloaded = chosen(&mut weak, NOW, own(90), &state(90));
    let fewer = [
        busy(other("near", "a", STRONG), 75, 35),
        state(0)[1].clone(),
    ];
    let between_limits = chosen(&mut weak, NOW, own(40), &fewer);
    let never_overloaded = chosen(&mut gateway(WEAK), NOW, own(40), &fewer);
    let quiet = [other("near", "a", STRONG), other("far", "b", STRONG)];
    let again = chosen(&mut weak, NOW, own(4), &quiet);

    assert_eq!(calm.as_deref(), Some("near"));
    assert_eq!(overloaded.as_deref(), Some("far"));
    assert_eq!(between_limits.as_deref(), Some("far"));
    assert_eq!(never_overloaded, None);
    assert_eq!(again.as_deref(), Some("near"));
    assert!(!weak.is_centre_overloaded());
}

#[test]
fn a_data_centre_that_is_not_overloaded_keeps_its_turns_although_others_are_idle() {
    let mut weak = gateway(WEAK);
    let others = [other("far", "b", STRONG)];
    let own = OwnLoad {
        late: Duration::from_millis(20),
        requests: 2,
    };

    let target = chosen(&mut weak, NOW, own, &others);

    assert_eq!(target, None);
}

#[test]
fn a_late_target_is_left_out_for_longer_each_time() {
    let mut weak = gateway(WEAK);
    let one = [other("strong", "a", STRONG)];
    let late = HopOutcome::Answered {
        hop: Duration::from_millis(400),
        late: Duration::ZERO,
    };
    let mut now = NOW;
    let mut pauses = Vec::new();

    for _ in 0..3 {
        assert!(chosen(&mut weak, now, IDLE, &one).is_some());
        weak.begin(&one[0].node);
        weak.end(now, "strong", late);
        let mut pause = 0;
        while chosen(&mut weak, now, IDLE, &one).is_none() {
            now = now + Duration::from_millis(50);
            pause += 50;
        }
        pauses.push(pause);
    }

    assert!(pauses[0] > 0, "{pauses:?}");
    assert!(pauses.is_sorted_by(|a, b| a < b), "{pauses:?}");
}

#[test]
fn lateness_of_the_gateway_itself_does_not_pause_its_targets() {
    let mut weak = gateway(WEAK);
    let one = [other("strong", "a", STRONG)];
    let by_own_work = HopOutcome::Answered {
        hop: Duration::from_millis(400),
        late: Duration::from_millis(200),
    };
    chosen(&mut weak, NOW, IDLE, &one);

    weak.end(NOW, "strong", by_own_work);

    assert!(chosen(&mut weak, NOW, IDLE, &one).is_some());
}

#[test]
fn a_failed_target_is_used_again_once_it_has_answered_in_time() {
    let mut weak = gateway(WEAK);
    let one = [other("strong", "a", STRONG)];
    let in_time = HopOutcome::Answered {
        hop: Duration::from_millis(2),
        late: Duration::ZERO,
    };
    chosen(&mut weak, NOW, IDLE, &one);

    weak.end(NOW, "strong", HopOutcome::Failed);
    let after_failure = chosen(&mut weak, NOW, IDLE, &one);
    weak.end(NOW, "strong", in_time);
    let after_answer = chosen(&mut weak, NOW, IDLE, &one);

    assert_eq!(after_failure, None);
    assert!(after_answer.is_some());
}

#[test]
fn nothing_is_handed_over_if_no_gateway_accepts_requests() {
    let mut weak = gateway(WEAK);
    let mut stopping = other("strong", "a", STRONG);
    stopping.address = None;
    let mut own = other("own", "a", STRONG);
    own.node = "own".into();

    assert_eq!(chosen(&mut weak, NOW, IDLE, &[]), None);
    assert_eq!(chosen(&mut weak, NOW, IDLE, &[stopping, own]), None);
}

#[test]
fn a_request_that_was_handed_over_is_not_handed_over_again() {
    let mut weak = gateway(WEAK);
    let others = [other("strong", "a", STRONG)];
    let handed = RequestSize {
        handed_over: true,
        ..TURN
    };

    let target = weak.choose(NOW, IDLE, handed, &others, [0.1, 0.9]);

    assert_eq!(target, None);
}

#[test]
fn each_gateway_hands_over_to_its_own_small_subset_of_gateways() {
    let many: Vec<GatewayState> = (0..200)
        .map(|number| other(&format!("g{number}"), "a", STRONG))
        .collect();
    let mut first = gateway(WEAK);
    let mut second = Handoff::new(Identity {
        node: "second".into(),
        centre: "a".into(),
        power: WEAK,
    });
    second.cost().observe_link_bytes(MOVED);

    let of_first = spread(&mut first, IDLE, &many, 300);
    let of_second = spread(&mut second, IDLE, &many, 300);

    assert!(of_first.len() <= 12, "{of_first:?}");
    assert!(of_second.len() <= 12, "{of_second:?}");
    assert_ne!(
        of_first.keys().collect::<Vec<_>>(),
        of_second.keys().collect::<Vec<_>>()
    );
}
