//! When a watch of the platform's store counts as silent.

use std::time::Duration;

use limpetferry_lib::store_watch::HOLD;
use limpetferry_lib::store_watch::StoreWatch;
use limpetferry_lib::time::Time;

/// Time after an outage from which the platform counts on its store, the
/// shortest of the users' sheets.
const CALM: Duration = Duration::from_secs(3);
/// Time of an answer of a store that is a hundred times as slow as on the
/// sheets.
const SLOW_ANSWER: Duration = Duration::from_millis(400);

// Guards against watches that an outage of the store swallowed and that hold
// back confirmed changes after it: old routes and servers that left stay in use.
#[test]
fn a_watch_that_an_outage_swallowed_ends_before_the_store_counts_as_calm() {
    for outage in [50, 1_000, 4_500, 9_000] {
        for sent in (0..=outage).step_by(50) {
            let watch = StoreWatch::new(Time::from_millis(sent), HOLD);

            let limit = watch.limit();

            let calm = Time::from_millis(outage) + CALM;
            assert!(limit <= calm, "sent at {sent} of {outage} ms: {limit:?}");
        }
    }
}

#[test]
fn a_watch_is_waited_for_as_long_as_a_slow_store_takes() {
    let sent = Time::from_millis(1_000);

    let limit = StoreWatch::new(sent, HOLD).limit();

    assert!(limit >= sent + HOLD + SLOW_ANSWER, "{limit:?}");
}
