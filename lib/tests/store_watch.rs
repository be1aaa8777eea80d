//! When a watch of the platform's store counts as silent.

use std::time::Duration;

use limpetferry_lib::store_watch::HOLD;
use limpetferry_lib::store_watch::MOST_HOLD;
use limpetferry_lib::store_watch::StoreWatch;
use limpetferry_lib::time::Time;

/// Time after an outage from which the platform counts on its store, the
/// shortest of the users' sheets.
const CALM: Duration = Duration::from_secs(3);
/// Time within which what the store confirms has to be in force, the shortest
/// of the users' sheets.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time of an answer of a store that is a hundred times as slow as on the
/// sheets.
const SLOW_ANSWER: Duration = Duration::from_millis(400);

fn watch(millis: u64, hold: Duration) -> StoreWatch {
    StoreWatch::new(Time::from_millis(millis), 7, hold)
}

// Guards against watches that an outage of the store swallowed and that hold
// back confirmed changes after it: old routes and servers that left stay in use.
#[test]
fn a_watch_that_an_outage_swallowed_ends_before_the_store_counts_as_calm() {
    for outage in [50, 1_000, 4_500, 9_000] {
        for sent in (0..=outage).step_by(50) {
            let limit = watch(sent, HOLD).limit();

            let calm = Time::from_millis(outage) + CALM;
            assert!(limit <= calm, "sent at {sent} of {outage} ms: {limit:?}");
        }
    }
}

#[test]
fn a_watch_is_waited_for_as_long_as_a_slow_store_takes() {
    let limit = watch(1_000, HOLD).limit();

    assert!(limit >= Time::from_millis(1_000) + HOLD + SLOW_ANSWER);
}

// Guards against a silent watch that holds back changes which other processes
// have heard of.
#[test]
fn a_watch_that_brings_less_than_others_know_ends_in_time_for_the_change() {
    let mut watch = watch(0, MOST_HOLD);
    let told = Time::from_millis(5_000);

    watch.note_revision(told, 8);
    watch.note_revision(told + IN_FORCE, 9);

    assert!(watch.is_behind());
    assert!(watch.limit() <= told + IN_FORCE / 2, "{watch:?}");
    assert!(watch.limit() >= told + SLOW_ANSWER, "{watch:?}");
}

#[test]
fn a_watch_is_waited_for_while_nobody_knows_more() {
    let mut watch = watch(0, MOST_HOLD);

    watch.note_revision(Time::from_millis(5_000), 7);

    assert!(!watch.is_behind());
    assert!(watch.limit() >= Time::from_millis(0) + MOST_HOLD);
}
