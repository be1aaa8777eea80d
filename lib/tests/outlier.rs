//! Ejection of servers that fail while others answer, and their return.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::criteria::Criteria;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::outlier::Health;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::server_version::ServerVersion;
use limpetferry_lib::time::Time;

const SERVERS: u16 = 6;
/// Time of a successful answer; failures are immediate.
const WORK: Duration = Duration::from_millis(40);
/// Time between requests: half of the servers' capacity.
const INTERVAL: Duration = Duration::from_millis(2);

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..SERVERS {
        fleet.put(Server {
            id: format!("server-{number}").into(),
            started_at: None,
            service: Arc::from("tool"),
            version: ServerVersion::new("v1"),
            address: ([10, 0, 0, 1], 8_000 + number).into(),
            centre: Arc::from("here"),
            slots: 6,
            state: ServerState::Ready,
        });
    }
    fleet
}

/// How a server handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Answer,
    Fail,
    Hang,
}

/// Sends requests for three seconds and returns the number at each server.
fn serve(fleet: &mut Fleet, behaviour: impl Fn(&str, Time) -> Behaviour) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    let mut running: Vec<(Time, ServerKey, ServerOutcome)> = Vec::new();
    let mut now = Time::default();
    for number in 0..1_500_u32 {
        now = now + INTERVAL;
        let (over, left) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = left;
        for (end, key, outcome) in Vec::from_iter::<Vec<_>>(over) {
            fleet.end(end, key, outcome);
        }
        let criteria = Criteria {
            centre: "here",
            draw: f64::from(number * 7 % 60) / 60.0,
            ..Criteria::default()
        };
        let key = fleet.pick(now, "tool", &criteria).expect("a server");
        let id = fleet.server(key).expect("known server").id.to_string();
        let work = fleet.begin(now, key, &criteria);
        running.push(match behaviour(&id, now) {
            Behaviour::Answer => {
                fleet.plain_end(now, key, &work, WORK);
                (now + WORK, key, ServerOutcome::Answered)
            }
            Behaviour::Fail => (now + INTERVAL, key, ServerOutcome::Failed),
            Behaviour::Hang => (now + Duration::from_secs(3), key, ServerOutcome::Abandoned),
        });
        *counts.entry(id).or_insert(0) += 1;
    }
    counts
}

/// Returns the requests of server 0 as a share of the mean.
fn share(counts: &HashMap<String, usize>) -> f64 {
    let all: usize = counts.values().sum();
    let first = counts.get("server-0").copied().unwrap_or_default();
    first as f64 * f64::from(SERVERS) / all as f64
}

#[test]
fn a_server_that_fails_immediately_attracts_no_work() {
    let mut fleet = fleet();

    let counts = serve(&mut fleet, |id, _| match id {
        "server-0" => Behaviour::Fail,
        _ => Behaviour::Answer,
    });

    assert!(share(&counts) < 0.1, "{counts:?}");
}

#[test]
fn a_server_that_never_answers_attracts_no_work() {
    let mut fleet = fleet();

    let counts = serve(&mut fleet, |id, _| match id {
        "server-0" => Behaviour::Hang,
        _ => Behaviour::Answer,
    });

    assert!(share(&counts) < 0.25, "{counts:?}");
}

#[test]
fn a_recovered_server_gets_its_share() {
    let mut fleet = fleet();
    let recovery = Time::from_millis(500);

    let counts = serve(&mut fleet, |id, now| match id {
        "server-0" if now < recovery => Behaviour::Fail,
        _ => Behaviour::Answer,
    });

    assert!(share(&counts) > 0.5, "{counts:?}");
}

#[test]
fn if_all_servers_fail_none_is_ejected() {
    // The requests themselves cause the failures, so no server is worse than
    // another.
    let mut fleet = fleet();

    let counts = serve(&mut fleet, |_, _| Behaviour::Fail);

    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(counts.len() == usize::from(SERVERS), "{counts:?}");
    assert!(most.unwrap() < &(least.unwrap() * 3), "{counts:?}");
}

/// With many gateways, each one sends only a few requests to a server that does
/// not respond, and each of these uses up all of its caller's time.
#[test]
fn one_request_without_an_answer_is_enough_to_eject_a_server() {
    let mut health = Health::default();
    health.record_sent(Time::default());
    let end = Time::from_millis(1_200);

    health.record_silence(end);
    health.record_response();

    assert!(health.is_ejected(end, 0, WORK));
    let later = end + Duration::from_millis(600);
    assert!(!health.is_ejected(later, 0, WORK), "expected another try");
    assert!(
        health.is_ejected(later, 1, WORK),
        "expected one request at a time"
    );
}
