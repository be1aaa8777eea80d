//! How long keepers store turns.

use std::time::Duration;

use limpetferry_lib::completeness;
use limpetferry_lib::ledger;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::ledger::Ledger;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::routing::Kind;
use limpetferry_lib::routing::Limits;
use limpetferry_lib::routing::Route;
use limpetferry_lib::routing::Routing;
use limpetferry_lib::time::Time;

fn route(name: &str, retention: Option<Duration>) -> Route {
    Route {
        name: name.into(),
        host: "agents.example".to_owned(),
        prefix: format!("/{name}/"),
        kind: Kind::Stream { resumable: false },
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_millis(250),
        priority: 1,
        targets: Vec::new(),
        max_attempts: 1,
        retention,
        sticky: true,
        gap_target: None,
        anonymous: false,
    }
}

fn routing(retentions: &[u64]) -> Routing {
    let routes = retentions.iter().enumerate().map(|(number, &secs)| {
        let retention = (secs > 0).then(|| Duration::from_secs(secs));
        route(&format!("route-{number}"), retention)
    });
    Routing::new(1, routes.collect(), Vec::new(), Limits::default())
}

// Guards against turns that are dropped before the time that their route asks for.
#[test]
fn turns_are_stored_for_as_long_as_any_route_asks() {
    let begin = Begin {
        turn: "turn".into(),
        program: "program".into(),
        previous: None,
        input: "in;".into(),
        most: 50,
    };
    let mut ledger = Ledger::default();
    ledger.apply(Time::default(), Record::Begin(begin));
    let retention = ledger::retention(Some(&routing(&[0, 300, 60])));

    let agreed = ["program".into()];
    let early = ledger.expire(
        Time::default() + Duration::from_secs(300),
        retention,
        &agreed,
    );
    let late = ledger.expire(
        Time::default() + Duration::from_secs(330),
        retention,
        &agreed,
    );

    assert_eq!((early, late), (0, 1));
}

#[test]
fn turns_are_stored_while_no_route_is_known() {
    let retention = ledger::retention(None);

    assert!(retention >= Duration::from_secs(60), "{retention:?}");
    assert_eq!(ledger::retention(Some(&routing(&[0]))), retention);
}

// Guards against an only keeper that counts as whole while turns are still wanted that
// it may have lost with its disk.
#[test]
fn lost_turns_are_outlived_after_their_retention_and_the_longest_turn() {
    let routing = routing(&[300]);
    let started = Time::default() + Duration::from_secs(10);
    let after = |secs| completeness::has_outlived(started + secs, started, Some(&routing));
    // A turn that ran when the disk was lost ends at most its route's timeout later.
    let kept = ledger::retention(Some(&routing)) + Duration::from_secs(3);

    assert!(!after(kept));
    assert!(after(kept + Duration::from_millis(1)));
}

// Guards against the same where a turn that was stored since continues from a lost one.
#[test]
fn a_turn_that_continues_from_a_lost_one_shows_it() {
    let mut ledger = Ledger::default();
    let begin = |turn: &str, previous: Option<&str>| {
        Record::Begin(Begin {
            turn: turn.into(),
            program: "program".into(),
            previous: previous.map(Into::into),
            input: "in;".into(),
            most: 50,
        })
    };
    let finish = |turn: &str, whole| {
        Record::Finish(Finish {
            turn: turn.into(),
            program: "program".into(),
            output: "out;".into(),
            used: 10,
            whole,
        })
    };
    let mut lacks = |records: &[Record]| {
        for record in records {
            ledger.apply(Time::default(), record.clone());
        }
        ledger.lacks_previous()
    };

    assert!(!lacks(&[begin("first", None), finish("first", true)]));
    assert!(!lacks(&[begin("second", Some("first"))]));
    // Turns that break off are continued from by none.
    assert!(!lacks(&[
        finish("refused", false),
        begin("refused", Some("nobody"))
    ]));
    assert!(lacks(&[begin("third", Some("lost"))]));
}
