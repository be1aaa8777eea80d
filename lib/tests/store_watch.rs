//! Time-outs of the calls that watch the platform's store.

use std::time::Duration;

use limpetferry_lib::store_watch::DEFAULT_HOLD;
use limpetferry_lib::store_watch::MAX_HOLD;
use limpetferry_lib::store_watch::StoreWatch;
use limpetferry_lib::time::Time;

/// Time after an outage from which the platform relies on its store; the shortest
/// on the users' data sheets.
const STORE_RELIED_ON: Duration = Duration::from_secs(3);
/// Time within which a change that the store has confirmed must be in force; the
/// shortest on the users' data sheets.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Response time of a store that is a hundred times as slow as on the data
/// sheets.
const SLOW_ANSWER: Duration = Duration::from_millis(400);

fn watch(millis: u64, hold: Duration) -> StoreWatch {
    StoreWatch::new(Time::from_millis(millis), 7, hold)
}

// Guards against calls that were lost in an outage of the store and delay
// confirmed changes after it, so that old routes and removed servers stay in use.
#[test]
fn a_call_lost_in_an_outage_times_out_before_the_store_is_relied_on() {
    for outage in [50, 1_000, 4_500, 9_000] {
        for sent in (0..=outage).step_by(50) {
            let limit = watch(sent, DEFAULT_HOLD).deadline();

            let relied_on = Time::from_millis(outage) + STORE_RELIED_ON;
            assert!(
                limit <= relied_on,
                "sent at {sent} of {outage} ms: {limit:?}"
            );
        }
    }
}

#[test]
fn the_timeout_allows_for_a_slow_store() {
    let limit = watch(1_000, DEFAULT_HOLD).deadline();

    assert!(limit >= Time::from_millis(1_000) + DEFAULT_HOLD + SLOW_ANSWER);
}

// Guards against a lost call that delays changes which other processes have
// received already.
#[test]
fn a_call_behind_other_processes_times_out_early() {
    let mut watch = watch(0, MAX_HOLD);
    let reported = Time::from_millis(5_000);

    watch.record_other_revision(reported, 8);
    watch.record_other_revision(reported + IN_FORCE, 9);

    assert!(watch.is_behind());
    assert!(watch.deadline() <= reported + IN_FORCE / 2, "{watch:?}");
    assert!(watch.deadline() >= reported + SLOW_ANSWER, "{watch:?}");
}

#[test]
fn the_timeout_is_not_shortened_while_no_process_reports_a_later_revision() {
    let mut watch = watch(0, MAX_HOLD);

    watch.record_other_revision(Time::from_millis(5_000), 7);

    assert!(!watch.is_behind());
    assert!(watch.deadline() >= Time::from_millis(0) + MAX_HOLD);
}
