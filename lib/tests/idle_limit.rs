//! Which breaks of a connection are evidence that its server closes idle ones.

use std::time::Duration;

use limpetferry_lib::idle_limit::IdleLimit;
use limpetferry_lib::time::Time;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_break_right_after_a_send_lowers_the_limit_for_a_while() {
    let mut limit = IdleLimit::default();
    let now = Time::from_millis(10_000);

    limit.note_break(now, millis(1_000), millis(3));

    assert_eq!(limit.max_idle(now), millis(500));
    assert_eq!(limit.max_idle(now + millis(21_000)), millis(4_000));
}

/// Servers with a mean response time of 26 ms lose one answer of thirty for four
/// seconds, while the gateway uses connections that have been idle for 50 ms.
#[test]
fn lost_answers_do_not_lower_the_limit() {
    let mut limit = IdleLimit::default();
    let now = Time::from_millis(10_000);

    for after in [21, 26, 60, 104] {
        limit.note_break(now, millis(50), millis(after));
    }

    assert_eq!(limit.max_idle(now), millis(4_000));
}

#[test]
fn the_earliest_close_counts_but_some_idle_time_is_always_allowed() {
    let mut limit = IdleLimit::default();
    let now = Time::from_millis(10_000);

    limit.note_break(now, millis(50), millis(2));
    limit.note_break(now, millis(3_000), millis(2));

    assert_eq!(limit.max_idle(now), millis(200));
}
