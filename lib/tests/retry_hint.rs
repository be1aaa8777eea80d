//! A gateway that is cut off from the keepers, in a data centre with and
//! without other gateways.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::retry_hint::RetryHints;
use limpetferry_lib::time::Time;

/// Waits between the sends of one turn, in ms: the least that callers take.
const RESEND_MS: u64 = 100;

fn line() -> (Arc<str>, Arc<str>) {
    (Arc::from("program"), Arc::from("line"))
}

#[test]
fn a_caller_is_sent_on_at_once_the_first_time() {
    let mut hints = RetryHints::default();
    let (program, line) = line();
    hints.set_ready(Time::from_millis(0), false);

    let after = hints.after(Time::from_millis(500), &program, &line);

    assert!(after < Duration::from_millis(50), "{after:?}");
}

#[test]
fn a_caller_without_another_gateway_outlasts_the_platforms_questions() {
    let mut hints = RetryHints::default();
    let (program, line) = line();
    hints.set_ready(Time::from_millis(0), false);
    let mut now = Time::from_millis(200);

    // Three sends of two tries each; only the wait between the two tries of a
    // send follows the answer.
    for _ in 0..3 {
        now = now + hints.after(now, &program, &line);
        hints.after(now, &program, &line);
        now = now + Duration::from_millis(RESEND_MS);
    }

    assert!(
        now >= Time::from_millis(2_000),
        "the last send ends at {now:?}"
    );
}

#[test]
fn a_gateway_that_is_back_forgets_whom_it_sent_on() {
    let mut hints = RetryHints::default();
    let (program, line) = line();
    hints.after(Time::from_millis(0), &program, &line);

    hints.set_ready(Time::from_millis(100), true);
    let after = hints.after(Time::from_millis(9_000), &program, &line);

    assert!(after < Duration::from_millis(50), "{after:?}");
}
