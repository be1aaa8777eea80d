//! Choice of the connection that a gateway closes.

use limpetferry_lib::caller_connections::Activity;
use limpetferry_lib::caller_connections::Phase;
use limpetferry_lib::caller_connections::choose_closed;
use limpetferry_lib::caller_connections::retry_after;
use limpetferry_lib::gateway_budget::GatewayPart;
use limpetferry_lib::time::Time;

/// The present, in milliseconds.
const NOW: u64 = 10_000;

fn activity(phase: Phase, age: u64) -> Activity {
    Activity {
        phase,
        since: Time::from_millis(NOW - age),
        closing: false,
    }
}

/// Returns which of the connections is closed for a part.
fn choose(part: GatewayPart, connections: &[Activity]) -> Option<usize> {
    let listed = connections.iter().copied().enumerate();
    choose_closed(Time::from_millis(NOW), part, listed)
}

// Guards against callers that get no connection while others keep theirs unused.
#[test]
fn the_connection_that_was_idle_for_longest_makes_room_for_a_new_one() {
    let connections = [
        activity(Phase::Answer, 9_000),
        activity(Phase::Idle, 300),
        activity(Phase::Idle, 400),
        activity(Phase::Work, 9_000),
    ];

    assert_eq!(choose(GatewayPart::Connections, &connections), Some(2));
}

#[test]
fn stalled_callers_make_room_if_none_is_idle() {
    let connections = [
        activity(Phase::Head, 600),
        activity(Phase::Body, 700),
        activity(Phase::Answer, 800),
        activity(Phase::Idle, 100),
    ];

    assert_eq!(choose(GatewayPart::Connections, &connections), Some(2));
    assert_eq!(choose(GatewayPart::Connections, &connections[..2]), Some(1));
    assert_eq!(choose(GatewayPart::Connections, &connections[..1]), Some(0));
    assert_eq!(choose(GatewayPart::Connections, &connections[3..]), None);
}

// Guards against requests that are broken off while a server works on them.
#[test]
fn a_request_that_is_under_way_is_never_closed() {
    let connections = [activity(Phase::Work, 9_000)];

    for part in GatewayPart::ALL {
        assert_eq!(choose(part, &connections), None, "{part:?}");
    }
}

#[test]
fn the_slowest_reader_makes_room_for_answers() {
    let connections = [
        activity(Phase::Answer, 100),
        activity(Phase::Answer, 600),
        activity(Phase::Answer, 700),
        activity(Phase::Body, 900),
    ];

    assert_eq!(choose(GatewayPart::Answers, &connections), Some(2));
    assert_eq!(choose(GatewayPart::Answers, &connections[..1]), None);
    assert_eq!(choose(GatewayPart::Bodies, &connections), Some(3));
}

#[test]
fn the_oldest_unfinished_head_makes_room_for_others_at_once() {
    let connections = [
        activity(Phase::Head, 1),
        activity(Phase::Head, 2),
        activity(Phase::Idle, 900),
    ];

    assert_eq!(choose(GatewayPart::Heads, &connections), Some(1));
    assert_eq!(choose(GatewayPart::Heads, &connections[2..]), None);
}

#[test]
fn a_connection_that_is_being_closed_is_not_chosen_again() {
    let mut closing = activity(Phase::Idle, 900);
    closing.closing = true;

    assert_eq!(choose(GatewayPart::Connections, &[closing]), None);
    assert!(!retry_after(GatewayPart::Bodies).is_zero());
}
