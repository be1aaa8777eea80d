//! Retry hints of a gateway that is cut off from the keepers, in a data centre
//! with and without other gateways.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::retry_hint::RetryHints;
use limpetferry_lib::time::Time;

/// Shortest pause that callers make between two sends of a turn.
const RESEND_MS: u64 = 100;

fn session() -> (Arc<str>, Arc<str>) {
    (Arc::from("program"), Arc::from("line"))
}

#[test]
fn the_first_retry_is_immediate() {
    let mut hints = RetryHints::default();
    let (program, session) = session();
    hints.set_ready(Time::from_millis(0), false);

    let after = hints.retry_after(Time::from_millis(500), &program, &session);

    assert!(after < Duration::from_millis(50), "{after:?}");
}

#[test]
fn a_caller_without_another_gateway_outlasts_the_platforms_readiness_checks() {
    let mut hints = RetryHints::default();
    let (program, session) = session();
    hints.set_ready(Time::from_millis(0), false);
    let mut now = Time::from_millis(200);

    // Three sends of two tries each; only the wait between the two tries of a send
    // follows the retry hint.
    for _ in 0..3 {
        now = now + hints.retry_after(now, &program, &session);
        hints.retry_after(now, &program, &session);
        now = now + Duration::from_millis(RESEND_MS);
    }

    assert!(
        now >= Time::from_millis(2_000),
        "the last send ends at {now:?}"
    );
}

#[test]
fn sessions_are_dropped_when_the_gateway_is_ready_again() {
    let mut hints = RetryHints::default();
    let (program, session) = session();
    hints.retry_after(Time::from_millis(0), &program, &session);

    hints.set_ready(Time::from_millis(100), true);
    let after = hints.retry_after(Time::from_millis(9_000), &program, &session);

    assert!(after < Duration::from_millis(50), "{after:?}");
}
