//! A gateway that is cut off from the keepers, in a data centre with and
//! without other gateways.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::time::Time;
use limpetferry_lib::turnaway::Turnaway;

/// Waits between the sends of one turn, in ms: the least that callers take.
const RESEND_MS: u64 = 100;

fn line() -> (Arc<str>, Arc<str>) {
    (Arc::from("program"), Arc::from("line"))
}

#[test]
fn a_caller_is_sent_on_at_once_the_first_time() {
    let mut away = Turnaway::default();
    let (program, line) = line();
    away.set_ready(Time::from_millis(0), false);

    let after = away.after(Time::from_millis(500), &program, &line);

    assert!(after < Duration::from_millis(50), "{after:?}");
}

#[test]
fn a_caller_without_another_gateway_outlasts_the_platforms_questions() {
    let mut away = Turnaway::default();
    let (program, line) = line();
    away.set_ready(Time::from_millis(0), false);
    let mut now = Time::from_millis(200);

    // Three sends of two tries each; only the wait between the two tries of a
    // send follows the answer.
    for _ in 0..3 {
        now = now + away.after(now, &program, &line);
        away.after(now, &program, &line);
        now = now + Duration::from_millis(RESEND_MS);
    }

    assert!(
        now >= Time::from_millis(2_000),
        "the last send ends at {now:?}"
    );
}

#[test]
fn a_gateway_that_is_back_forgets_whom_it_sent_on() {
    let mut away = Turnaway::default();
    let (program, line) = line();
    away.after(Time::from_millis(0), &program, &line);

    away.set_ready(Time::from_millis(100), true);
    let after = away.after(Time::from_millis(9_000), &program, &line);

    assert!(after < Duration::from_millis(50), "{after:?}");
}
