//! Which breaks of a connection say that its server drops idle ones.

use std::time::Duration;

use limpetferry_lib::idle_limit::IdleLimit;
use limpetferry_lib::time::Time;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_connection_that_breaks_at_once_makes_the_limit_shorter_for_a_while() {
    let mut limit = IdleLimit::default();
    let now = Time::from_millis(10_000);

    limit.note_break(now, millis(1_000), millis(3));

    assert_eq!(limit.longest(now), millis(500));
    assert_eq!(limit.longest(now + millis(21_000)), millis(4_000));
}

/// Servers that work for 26 ms on the mean and lose one answer of thirty for
/// four seconds; the gateway used connections that were idle for 50 ms.
#[test]
fn lost_answers_say_nothing_of_idle_connections() {
    let mut limit = IdleLimit::default();
    let now = Time::from_millis(10_000);

    for after in [21, 26, 60, 104] {
        limit.note_break(now, millis(50), millis(after));
    }

    assert_eq!(limit.longest(now), millis(4_000));
}

#[test]
fn the_earliest_drop_counts_but_some_idle_time_is_always_allowed() {
    let mut limit = IdleLimit::default();
    let now = Time::from_millis(10_000);

    limit.note_break(now, millis(50), millis(2));
    limit.note_break(now, millis(3_000), millis(2));

    assert_eq!(limit.longest(now), millis(200));
}
