//! Servers that fail while others answer: they draw no work, and they return.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::outlier::Health;
use limpetferry_lib::server::Outcome;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::time::Time;
use limpetferry_lib::wish::ServerKey;
use limpetferry_lib::wish::Wish;

const SERVERS: u16 = 6;
/// Time of a good answer; a failure comes at once.
const WORK: Duration = Duration::from_millis(40);
/// Time between requests: half of what the servers can do.
const PACE: Duration = Duration::from_millis(2);

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..SERVERS {
        fleet.put(Server {
            id: format!("server-{number}").into(),
            born: None,
            service: Arc::from("tool"),
            address: ([10, 0, 0, 1], 8_000 + number).into(),
            centre: Arc::from("here"),
            slots: 6,
            state: ServerState::Ready,
        });
    }
    fleet
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Answer,
    Fail,
    Hang,
}

/// Sends requests for three seconds and counts those that each server got.
fn serve(fleet: &mut Fleet, act: impl Fn(&str, Time) -> Act) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    let mut running: Vec<(Time, ServerKey, Outcome)> = Vec::new();
    let mut now = Time::default();
    for number in 0..1_500_u32 {
        now = now + PACE;
        let (over, left) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = left;
        for (end, key, outcome) in Vec::from_iter::<Vec<_>>(over) {
            fleet.end(end, key, outcome);
        }
        let wish = Wish {
            centre: "here",
            draw: f64::from(number * 7 % 60) / 60.0,
            ..Wish::default()
        };
        let key = fleet.pick(now, "tool", &wish).expect("a server");
        let id = fleet.server(key).expect("it is known").id.to_string();
        let work = fleet.begin(now, key, &wish);
        running.push(match act(&id, now) {
            Act::Answer => {
                fleet.plain_end(now, key, &work, WORK);
                (now + WORK, key, Outcome::Answered)
            }
            Act::Fail => (now + PACE, key, Outcome::Failed),
            Act::Hang => (now + Duration::from_secs(3), key, Outcome::Abandoned),
        });
        *counts.entry(id).or_insert(0) += 1;
    }
    counts
}

/// Returns what the first server got, as a share of the mean.
fn share(counts: &HashMap<String, usize>) -> f64 {
    let all: usize = counts.values().sum();
    let first = counts.get("server-0").copied().unwrap_or_default();
    first as f64 * f64::from(SERVERS) / all as f64
}

#[test]
fn a_server_that_fails_at_once_draws_no_work() {
    let mut fleet = fleet();

    let counts = serve(&mut fleet, |id, _| match id {
        "server-0" => Act::Fail,
        _ => Act::Answer,
    });

    assert!(share(&counts) < 0.1, "{counts:?}");
}

#[test]
fn a_server_that_never_answers_draws_no_work() {
    let mut fleet = fleet();

    let counts = serve(&mut fleet, |id, _| match id {
        "server-0" => Act::Hang,
        _ => Act::Answer,
    });

    assert!(share(&counts) < 0.25, "{counts:?}");
}

#[test]
fn a_server_that_is_well_again_gets_its_share() {
    let mut fleet = fleet();
    let ill = Time::from_millis(500);

    let counts = serve(&mut fleet, |id, now| match id {
        "server-0" if now < ill => Act::Fail,
        _ => Act::Answer,
    });

    assert!(share(&counts) > 0.5, "{counts:?}");
}

#[test]
fn failures_of_all_servers_leave_none_out() {
    // What callers send makes them fail: no server is worse than another.
    let mut fleet = fleet();

    let counts = serve(&mut fleet, |_, _| Act::Fail);

    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(counts.len() == usize::from(SERVERS), "{counts:?}");
    assert!(most.unwrap() < &(least.unwrap() * 3), "{counts:?}");
}

/// Before many gateways each one meets a silent server a few times only, and
/// each time costs a caller all of its time.
#[test]
fn one_request_without_any_answer_is_enough() {
    let mut health = Health::default();
    health.sent(Time::default());
    let end = Time::from_millis(1_200);

    health.observe_silence(end);
    health.heard();

    assert!(health.is_out(end, 0, WORK));
    let later = end + Duration::from_millis(600);
    assert!(!health.is_out(later, 0, WORK), "it is tried again");
    assert!(health.is_out(later, 1, WORK), "by one request at a time");
}
