//! Choice of a server, and estimates of the load of servers, without a network. The
//! scenarios reproduce the traffic of the busiest days.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::call::Part;
use limpetferry_lib::criteria::Criteria;
use limpetferry_lib::criteria::IdleConnections;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::fleet::Arrival;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::fleet::REGISTER_GRACE;
use limpetferry_lib::load_report::ServerSample;
use limpetferry_lib::server::Load;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::server_version::ServerVersion;
use limpetferry_lib::stream_origin::StreamOrigin;
use limpetferry_lib::switches::Switches;
use limpetferry_lib::time::Time;

fn server(number: u16) -> Server {
    Server {
        id: format!("server-{number}").into(),
        started_at: None,
        service: Arc::from("engine"),
        version: ServerVersion::new("v1"),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        centre: Arc::from(if number.is_multiple_of(2) {
            "here"
        } else {
            "there"
        }),
        slots: 16,
        state: ServerState::Ready,
    }
}

fn fleet(count: u16) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        fleet.put(server(number));
    }
    fleet
}

fn criteria(draw: f64) -> Criteria<'static> {
    Criteria {
        centre: "here",
        draw,
        ..Criteria::default()
    }
}

fn id(fleet: &Fleet, key: ServerKey) -> String {
    fleet.server(key).expect("known server").id.to_string()
}

/// Sends requests that do not end, and returns the number at each server.
fn fill(fleet: &mut Fleet, count: usize) -> HashMap<String, usize> {
    fill_with(fleet, count, criteria)
}

fn fill_with<'a>(
    fleet: &mut Fleet,
    count: usize,
    criteria: impl Fn(f64) -> Criteria<'a>,
) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for number in 0..count {
        let criteria = criteria((number as f64 * 0.618).fract());
        let key = fleet
            .pick(Time::default(), "engine", &criteria)
            .expect("a server");
        fleet.begin(Time::default(), key, &criteria);
        *counts.entry(id(fleet, key)).or_insert(0) += 1;
    }
    counts
}

#[test]
fn a_burst_is_spread_evenly_over_all_servers() {
    // Twice as many requests as slots arrive at once; saving the way to another
    // data centre is not worth a queue.
    let mut fleet = fleet(4);

    let counts = fill(&mut fleet, 128);

    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(
        counts.len() == 4 && most.unwrap() - least.unwrap() <= 4,
        "{counts:?}"
    );
}

#[test]
fn a_chain_of_turns_stays_at_the_server_that_has_its_prompt_cached() {
    let mut fleet = fleet(4);
    let parts = [
        Part {
            id: 1,
            tokens: 12_600,
        },
        Part {
            id: 2,
            tokens: 1_680,
        },
    ];
    let with = |draw| Criteria {
        parts: &parts,
        ..criteria(draw)
    };
    let first = fleet
        .pick(Time::default(), "engine", &with(0.9))
        .expect("a server");
    fleet.begin(Time::default(), first, &with(0.9));

    let again = fleet
        .pick(Time::default(), "engine", &with(0.1))
        .expect("a server");

    assert_eq!(again, first);
}

#[test]
fn a_chain_of_turns_leaves_a_server_with_a_queue() {
    let mut fleet = fleet(2);
    let parts = [Part {
        id: 1,
        tokens: 1_680,
    }];
    let with = Criteria {
        parts: &parts,
        ..criteria(0.0)
    };
    let first = fleet
        .pick(Time::default(), "engine", &with)
        .expect("a server");
    for _ in 0..24 {
        fleet.begin(Time::default(), first, &with);
    }

    let next = fleet
        .pick(Time::default(), "engine", &with)
        .expect("a server");

    assert_ne!(next, first);
}

/// Reports `running` requests for each server of a fleet, `times` times.
fn report_all(fleet: &mut Fleet, count: u16, running: u32, times: usize) {
    let load = Load {
        running,
        waiting: 0,
        slots: 16,
        ..Load::default()
    };
    for number in (0..times).flat_map(|_| 0..count) {
        let key = fleet
            .key(&format!("server-{number}"))
            .expect("known server");
        fleet.report(Time::default(), key, load);
    }
}

/// With many gateways and many engines, each gateway gets a report from a given
/// engine only every seven seconds, while loads change within half a second. A
/// gateway that took engines without a recent report for idle would move chains
/// of turns away from their cached prompts. Here a turn adds 600 tokens, about
/// 6 ms of prefill by the initial estimate, against 8 ms for the four requests
/// that the engine has just reported.
#[test]
fn a_chain_of_turns_does_not_move_to_servers_without_a_recent_report() {
    let mut fleet = fleet(20);
    report_all(&mut fleet, 10, 4, 10);
    let chain = [Part { id: 1, tokens: 600 }];
    let with = |draw| Criteria {
        parts: &chain,
        ..criteria(draw)
    };
    let current = fleet.key("server-0").expect("known server");
    let later = Time::default() + Duration::from_secs(5);
    fleet.begin(later, current, &with(0.0));
    fleet.end(later, current, ServerOutcome::Answered);
    let busy = Load {
        running: 4,
        waiting: 0,
        slots: 16,
        ..Load::default()
    };
    fleet.report(later, current, busy);

    let picked = [0.1, 0.3, 0.5, 0.7, 0.9].map(|draw| fleet.pick(later, "engine", &with(draw)));

    assert_eq!(picked, [Some(current); 5]);
}

#[test]
fn a_server_that_just_reported_to_be_idle_is_preferred_to_ones_without_a_recent_report() {
    let mut fleet = fleet(20);
    report_all(&mut fleet, 10, 4, 10);
    let later = Time::default() + Duration::from_secs(5);
    let idle = fleet.key("server-4").expect("known server");
    fleet.report(later, idle, Load::default());

    let picked = [0.1, 0.5, 0.9].map(|draw| fleet.pick(later, "engine", &criteria(draw)));

    assert_eq!(picked, [Some(idle); 3]);
}

/// During a release, servers are replaced one after the other while all are in
/// use. The new ones have nothing cached, so a long prompt costs its full prefill
/// there, and they could stay unused.
#[test]
fn new_servers_get_work_while_the_others_are_full() {
    let mut fleet = fleet(20);
    let shared = [Part {
        id: 1,
        tokens: 12_000,
    }];
    let with = |draw| Criteria {
        parts: &shared,
        ..criteria(draw)
    };
    for number in 0..20 {
        let key = fleet
            .key(&format!("server-{number}"))
            .expect("known server");
        fleet.begin(Time::default(), key, &with(0.0));
        fleet.end(Time::default(), key, ServerOutcome::Answered);
    }
    report_all(&mut fleet, 20, 24, 10);

    for number in 20..40 {
        fleet.put(server(number));
    }
    let joined = fill_with(&mut fleet, 40, with)
        .into_iter()
        .filter(|(id, _)| (20..40).any(|number| *id == format!("server-{number}")));

    assert!(joined.map(|(_, count)| count).sum::<usize>() >= 20);
}

#[test]
fn load_from_other_processes_counts() {
    let mut fleet = fleet(1);
    let key = fleet
        .pick(Time::default(), "engine", &criteria(0.0))
        .expect("a server");
    fleet.put(server(2));
    let busy = Load {
        running: 16,
        waiting: 20,
        slots: 16,
        ..Load::default()
    };

    fleet.report(Time::default(), key, busy);
    let soon = fleet
        .pick(Time::from_millis(10), "engine", &criteria(0.0))
        .expect("a server");

    assert_ne!(soon, key);
}

#[test]
fn a_server_that_dropped_a_connection_is_avoided_for_a_while() {
    let mut fleet = fleet(2);
    let now = Time::default();
    let first = fleet.pick(now, "engine", &criteria(0.0)).expect("a server");
    fleet.begin(Time::default(), first, &criteria(0.0));
    fleet.end(now, first, ServerOutcome::Broken);

    let soon = fleet.pick(now, "engine", &criteria(0.0));
    let later = fleet.pick(Time::from_millis(500), "engine", &criteria(0.0));

    assert_ne!(soon, Some(first));
    assert_eq!(later, Some(first));
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut fleet = fleet(2);
    let mut draining = server(0);
    draining.state = ServerState::Draining;
    fleet.put(draining);

    let counts = fill(&mut fleet, 40);

    assert_eq!(counts.keys().collect::<Vec<_>>(), ["server-1"]);
}

#[test]
fn lapsed_entries_are_kept_until_their_servers_had_time_to_register_again() {
    let mut fleet = fleet(2);
    let until = Time::default() + REGISTER_GRACE;
    fleet.keep_until("server-0", until);
    fleet.keep_until("server-1", until);

    let before = fleet.expire(Time::from_millis(1_900));
    fleet.put(server(1));
    let after = fleet.expire(Time::default() + REGISTER_GRACE + Duration::from_millis(1));

    assert!(before.is_empty());
    assert_eq!(
        after.iter().map(|id| &**id).collect::<Vec<_>>(),
        ["server-0"]
    );
    assert_eq!(fleet.ready("engine"), 1);
}

#[test]
fn removing_a_server_keeps_another_one_that_took_over_its_address() {
    let mut fleet = fleet(1);
    let mut other = server(7);
    other.address = server(0).address;
    other.service = Arc::from("plain");
    fleet.put(other);

    fleet.remove_server("server-0");

    assert_eq!(fleet.pick(Time::default(), "engine", &criteria(0.0)), None);
    assert!(
        fleet
            .pick(Time::default(), "plain", &criteria(0.0))
            .is_some()
    );
}

/// Idle connections to the servers with even numbers.
struct EvenConnections(HashSet<ServerKey>);

impl EvenConnections {
    fn new(fleet: &Fleet) -> Self {
        let even = (0..8).step_by(2);
        Self(
            even.filter_map(|number| fleet.key(&format!("server-{number}")))
                .collect(),
        )
    }
}

impl IdleConnections for EvenConnections {
    fn has(&self, server: ServerKey) -> bool {
        self.0.contains(&server)
    }
}

#[test]
fn an_idle_connection_is_preferred_among_equal_servers_but_not_to_a_free_server() {
    let mut fleet = fleet(8);
    let even = EvenConnections::new(&fleet);
    let connected = Criteria {
        idle_connections: Some(&even),
        centre: "nowhere",
        ..criteria(0.3)
    };
    for _ in 0..4 {
        let key = fleet
            .pick(Time::default(), "engine", &connected)
            .expect("a server");
        assert!(even.has(key), "{}", id(&fleet, key));
        fleet.begin(Time::default(), key, &connected);
    }

    let next = fleet
        .pick(Time::default(), "engine", &connected)
        .expect("a server");

    assert!(!even.has(next), "expected a server without requests");
}

/// Returns an entry of server 0 that started at `started_at`, with a different address
/// for each start.
fn server_started_at(started_at: u64) -> Server {
    Server {
        started_at: Some(started_at),
        address: ([10, 0, 0, 2], started_at as u16).into(),
        ..server(0)
    }
}

#[test]
fn a_restarted_server_has_no_cache_load_or_pause() {
    let mut fleet = fleet(2);
    let parts = [Part {
        id: 1,
        tokens: 12_600,
    }];
    let with = Criteria {
        parts: &parts,
        ..criteria(0.0)
    };
    fleet.put(server_started_at(1));
    let old = fleet.key("server-0").expect("known server");
    for _ in 0..4 {
        fleet.begin(Time::default(), old, &with);
    }
    fleet.end(Time::default(), old, ServerOutcome::Broken);

    let arrival = fleet.put(server_started_at(2));
    let new = fleet.key("server-0").expect("known server");
    // The request at the earlier start ends only now.
    fleet.end(Time::default(), old, ServerOutcome::Broken);

    assert_eq!(arrival, Arrival::Restarted);
    assert!(new != old && !fleet.is_ready(old) && !fleet.contains(old));
    assert_eq!(
        fleet.server(new).map(|server| server.address),
        Some(server_started_at(2).address)
    );
    // The restarted server is not paused and runs nothing, and neither server has
    // the prompt cached, so the nearer one is chosen.
    assert_eq!(fleet.pick(Time::default(), "engine", &with), Some(new));
    assert_eq!(fleet.ready("engine"), 2);
}

#[test]
fn a_server_that_gives_a_start_time_for_the_first_time_has_restarted() {
    let mut fleet = fleet(1);
    let old = fleet.key("server-0");
    let again = Server {
        started_at: Some(7),
        ..server(0)
    };

    let arrival = fleet.put(again.clone());
    let same = fleet.put(again);

    assert_eq!((arrival, same), (Arrival::Restarted, Arrival::Known));
    assert_ne!(fleet.key("server-0"), old);
}

// Guards against a stream that continues at a server that has restarted with another
// version under its id and address.
#[test]
fn a_server_whose_version_changes_has_restarted() {
    let mut fleet = fleet(2);
    let old = fleet.key("server-0").expect("known server");
    let upgraded = Server {
        version: ServerVersion::new("v2"),
        ..server(0)
    };

    let arrival = fleet.put(upgraded);

    assert_eq!(arrival, Arrival::Restarted);
    assert!(!fleet.contains(old));
}

// Guards against a stream that falls back to another version, where all servers of
// its own have just failed.
#[test]
fn a_stream_falls_back_to_a_server_that_failed_and_not_to_another_version() {
    let mut fleet = fleet(4);
    fleet.set_switches(Switches::default());
    for number in 2..4 {
        fleet.put(Server {
            version: ServerVersion::new("v2"),
            ..server(number)
        });
    }
    let now = Time::default();
    for id in ["server-0", "server-1"] {
        let key = fleet.key(id).expect("known server");
        for _ in 0..3 {
            fleet.begin(now, key, &criteria(0.0));
            fleet.end(now, key, ServerOutcome::Broken);
        }
    }
    let origin = StreamOrigin {
        service: "engine".into(),
        version: ServerVersion::new("v1"),
    };
    let tried: Vec<ServerKey> = ["server-0", "server-1"]
        .map(|id| fleet.key(id).expect("known server"))
        .into();
    let continues = Criteria {
        origin: Some(&origin),
        ..criteria(0.5)
    };
    let nowhere = Criteria {
        tried: &tried,
        ..continues
    };

    let new = fleet.pick(now, "engine", &criteria(0.5)).expect("a server");
    let same = fleet.pick(now, "engine", &continues).expect("a server");

    assert!(["server-2", "server-3"].contains(&&*id(&fleet, new)));
    assert!(["server-0", "server-1"].contains(&&*id(&fleet, same)));
    assert_eq!(fleet.pick(now, "engine", &nowhere), None);
}

#[test]
fn a_late_entry_of_an_earlier_start_is_ignored() {
    let mut fleet = fleet(2);
    fleet.put(server_started_at(2));
    let key = fleet.key("server-0");

    let arrival = fleet.put(server_started_at(1));
    let mut draining = server_started_at(1);
    draining.state = ServerState::Draining;
    let again = fleet.put(draining);

    assert_eq!((arrival, again), (Arrival::Outdated, Arrival::Outdated));
    assert_eq!(fleet.key("server-0"), key);
    assert!(key.is_some_and(|key| fleet.is_ready(key)));
}

#[test]
fn a_server_without_a_start_time_has_restarted_if_its_address_changes() {
    let mut fleet = fleet(1);
    let old = fleet.key("server-0");
    let mut moved = server(0);
    moved.address = ([10, 0, 0, 3], 9_000).into();

    let arrival = fleet.put(moved);

    assert_eq!(arrival, Arrival::Restarted);
    assert_ne!(fleet.key("server-0"), old);
}

/// Switches of a process that uses the reports of other gateways.
const WITH_REPORTS: Switches = Switches {
    times: true,
    places: true,
    loads: true,
    outliers: true,
    programs: true,
    reports: true,
    samples: true,
    pace: false,
    shared_vms: false,
    queue: false,
    overload: false,
    handoff: false,
};

fn fleet_with_reports(count: u16) -> Fleet {
    let mut fleet = fleet(count);
    fleet.set_switches(WITH_REPORTS);
    fleet
}

/// Returns a load that another process received from a server `age` ms ago.
fn sample(number: u16, running: u32, age: u32) -> ServerSample {
    ServerSample {
        start: server(number).start(),
        load: Load {
            running,
            slots: 16,
            ..Load::default()
        },
        age_ms: age,
    }
}

/// Returns the number of other requests that a request meets at a server.
fn other_requests(fleet: &mut Fleet, now: Time, number: u16) -> f64 {
    let key = fleet
        .key(&format!("server-{number}"))
        .expect("known server");
    fleet.begin(now, key, &criteria(0.0)).others
}

#[test]
fn a_server_that_another_gateway_reports_as_loaded_is_avoided() {
    // Servers 0 and 2 are near, and this process has no reports from them.
    let mut fleet = fleet_with_reports(4);
    let now = Time::from_millis(1_000);
    fleet.apply_peer_loads(now, &[sample(0, 30, 20), sample(2, 3, 20)]);

    let draws = [0.0, 0.3, 0.6, 0.9];
    let chosen = draws.map(|draw| {
        fleet
            .pick(now, "engine", &criteria(draw))
            .expect("a server")
    });

    for key in chosen {
        assert_ne!(id(&fleet, key), "server-0");
    }
}

#[test]
fn own_requests_in_the_reports_of_other_gateways_are_not_counted_twice() {
    let mut fleet = fleet_with_reports(1);
    let key = fleet.key("server-0").expect("known server");
    for millis in [0, 100, 400] {
        fleet.begin(Time::from_millis(millis), key, &criteria(0.0));
    }
    let now = Time::from_millis(500);

    // Two of the five requests were sent by this process; it sent its third one
    // after the report.
    fleet.apply_peer_loads(now, &[sample(0, 5, 200)]);

    let after = Time::from_millis(300) + Duration::from_millis(200);
    let met = other_requests(&mut fleet, after, 0);
    let mean = 3.0 * 0.05;
    let half = Duration::from_millis(200).as_secs_f64() / 0.3;
    let expected = 3.0 + mean + (3.0 - mean) * (-half).exp2();
    assert!((met - expected).abs() < 0.01, "{met} {expected}");
}

#[test]
fn samples_older_than_the_known_load_are_ignored() {
    let mut fleet = fleet_with_reports(1);
    report_all(&mut fleet, 1, 4, 1);
    let key = fleet.key("server-0").expect("known server");
    let now = Time::from_millis(1_000);
    let load = Load {
        running: 4,
        slots: 16,
        ..Load::default()
    };
    fleet.report(now, key, load);

    fleet.apply_peer_loads(now, &[sample(0, 16, 50)]);

    assert!(other_requests(&mut fleet, now, 0) < 4.1);
}

#[test]
fn only_loads_received_by_this_process_are_reported() {
    let mut fleet = fleet_with_reports(3);
    report_all(&mut fleet, 2, 4, 1);
    let now = Time::from_millis(1_000);
    let key = fleet.key("server-1").expect("known server");
    let load = sample(1, 9, 0).load;
    fleet.report(Time::from_millis(900), key, load);
    fleet.apply_peer_loads(now, &[sample(2, 16, 0)]);

    let samples = fleet.samples(Time::from_millis(800), now);

    assert_eq!(samples, [sample(1, 9, 100)]);
}

#[test]
fn requests_and_slots_are_counted_by_service() {
    let mut fleet = fleet(4);
    let mut draining = server(3);
    draining.state = ServerState::Draining;
    fleet.put(draining);
    let keys = [0, 0, 1, 3].map(|number| fleet.key(&format!("server-{number}")).expect("known"));
    let now = Time::default();
    for key in keys {
        fleet.begin(now, key, &criteria(0.0));
    }
    fleet.end(now, keys[0], ServerOutcome::Answered);
    fleet.end(now, keys[2], ServerOutcome::Full);

    let uses: Vec<_> = fleet.own_uses().collect();

    assert_eq!(uses.len(), 1);
    assert_eq!(&*uses[0].service, "engine");
    assert_eq!(uses[0].slots, 3 * 16);
    let counts = uses[0].counts;
    assert_eq!((counts.running, counts.ended, counts.shed), (2, 1, 1));
}

#[test]
fn a_service_has_room_once_one_of_its_servers_has_not_refused_recently() {
    let mut fleet = fleet(2);
    let now = Time::from_millis(1_000);
    let refuse = |fleet: &mut Fleet, id| {
        let key = fleet.key(id).expect("known server");
        fleet.begin(now, key, &criteria(0.0));
        fleet.end(now, key, ServerOutcome::Full);
    };

    refuse(&mut fleet, "server-0");
    let one = fleet.room(now, "engine", None).expect("servers are there");
    refuse(&mut fleet, "server-1");
    let both = fleet.room(now, "engine", None).expect("servers are there");

    assert!(one.spare > 0, "{one:?}");
    assert_eq!(both.spare, 0);
    let opens = both.available_at.expect("they may have room again");
    let later = fleet
        .room(opens, "engine", None)
        .expect("servers are there");
    assert!(opens > now && later.spare > 0, "{both:?} {later:?}");
    assert!(one.capacity >= 2 * 16);
    assert_eq!(fleet.room(now, "another", None), None);
}

#[test]
fn an_ejected_server_has_no_room() {
    let mut fleet = fleet(4);
    let keys: Vec<ServerKey> = (0..4)
        .filter_map(|number| fleet.key(&format!("server-{number}")))
        .collect();
    let now = Time::from_millis(1_000);
    for &key in &keys {
        fleet.begin(now, key, &criteria(0.0));
    }
    fleet.end(now, keys[0], ServerOutcome::Silent);
    for &key in &keys[1..] {
        fleet.end(now, key, ServerOutcome::Full);
    }

    let room = fleet.room(now, "engine", None);

    assert_eq!(room.map(|room| room.spare), Some(0));
}

#[test]
fn no_server_gets_all_requests_that_the_others_refuse() {
    let mut fleet = fleet(4);
    let now = Time::from_millis(1_000);
    let key = |fleet: &Fleet, number: u16| fleet.key(&format!("server-{number}"));
    for number in 1..4 {
        let full = key(&fleet, number).expect("known server");
        fleet.begin(now, full, &criteria(0.0));
        fleet.end(now, full, ServerOutcome::Full);
    }
    let only = key(&fleet, 0).expect("known server");

    let mut sent = 0;
    while fleet
        .room(now, "engine", Some(8.0))
        .is_some_and(|room| room.spare > 0)
    {
        fleet.begin(now, only, &criteria(0.0));
        sent += 1;
    }

    // Half of the limit for the service.
    assert_eq!(sent, 4);
}

#[test]
fn requests_at_a_silent_or_removed_server_are_lost() {
    let mut fleet = fleet(2);
    let key = |fleet: &Fleet, id| fleet.key(id).expect("known server");
    let (silent, idle) = (key(&fleet, "server-0"), key(&fleet, "server-1"));
    let now = Time::from_millis(1_000);
    fleet.begin(now, silent, &criteria(0.0));
    let later = now + fleet.silence("engine") + Duration::from_millis(1);

    assert!(!fleet.is_lost(now, silent));
    assert!(fleet.is_lost(later, silent));
    assert!(!fleet.is_lost(later, idle));
    fleet.remove_server("server-0");
    assert!(fleet.is_lost(now, silent));
}

/// Returns a fleet in use that receives reports of other processes, at a time
/// when no process has had a report from server 0 for a while.
fn loaded_fleet_without_reports_of_server_0(now: Time) -> Fleet {
    let mut fleet = fleet_with_reports(8);
    report_all(&mut fleet, 8, 12, 20);
    let samples: Vec<_> = (1..8).map(|number| sample(number, 12, 50)).collect();
    fleet.apply_peer_loads(now, &samples);
    fleet
}

/// Gateways that start together all find servers without cached prompts equally
/// expensive, so that some servers would never get a request.
#[test]
fn a_server_that_no_gateway_has_a_report_from_is_assumed_idle_while_reports_arrive() {
    let now = Time::from_millis(5_000);
    let mut reported = loaded_fleet_without_reports_of_server_0(now);
    let mut unreported = fleet(8);
    report_all(&mut unreported, 8, 12, 20);

    let met = other_requests(&mut reported, now, 0);
    let unknown = other_requests(&mut unreported, now, 0);

    assert!(met < 0.5, "{met}");
    assert!(unknown > 6.0, "{unknown}");
}

#[test]
fn outdated_reports_make_no_server_idle() {
    let mut fleet = loaded_fleet_without_reports_of_server_0(Time::from_millis(5_000));

    let met = other_requests(&mut fleet, Time::from_millis(6_000), 0);

    assert!(met > 6.0, "{met}");
}

/// A server that hangs reports its load to no process. It must not attract the
/// requests of all gateways as if it were idle.
#[test]
fn a_silent_server_is_reported_as_full() {
    let mut fleet = fleet_with_reports(2);
    let key = fleet.key("server-0").expect("known server");
    fleet.begin(Time::default(), key, &criteria(0.0));
    let late = Time::default() + fleet.silence("engine") + Duration::from_millis(1);

    let samples = fleet.samples(Time::default(), late);

    let loads: Vec<Load> = samples.iter().map(|sample| sample.load).collect();
    assert_eq!(loads.len(), 1);
    assert!(loads[0].running + loads[0].waiting > 16, "{loads:?}");
}

#[test]
fn shareable_parts_are_reported_when_a_server_first_caches_them() {
    let mut fleet = fleet(1);
    fleet.set_switches(WITH_REPORTS);
    let part = |id, tokens| Part { id, tokens };
    let prompt = [part(1, 12_000), part(2, 800), part(3, 300)];
    let with = Criteria {
        parts: &prompt,
        ..criteria(0.0)
    };
    let key = fleet.key("server-0").expect("known server");

    fleet.begin(Time::from_millis(10), key, &with);
    let first = fleet.new_places(Time::default());
    fleet.begin(Time::from_millis(20), key, &with);
    let later = fleet.new_places(Time::from_millis(10));

    let parts: Vec<Part> = first.iter().map(|place| place.part).collect();
    assert_eq!(parts, prompt[..2]);
    assert_eq!(later, []);
}

/// All gateways receive the same reports within a tenth of a second. If they
/// chose a server because one of them found it idle, all would choose it at once.
#[test]
fn a_server_that_another_gateway_reports_as_idle_does_not_attract_all_requests() {
    let mut fleet = fleet_with_reports(20);
    report_all(&mut fleet, 20, 4, 20);
    let now = Time::from_millis(5_000);
    let reports: Vec<_> = (0..20).map(|number| sample(number, 4, 50)).collect();
    fleet.apply_peer_loads(now, &reports);
    fleet.apply_peer_loads(now, &[sample(4, 0, 10)]);

    let picked = [0.1, 0.5, 0.9].map(|draw| fleet.pick(now, "engine", &criteria(draw)));

    let idle = fleet.key("server-4");
    assert!(picked.iter().any(|key| *key != idle), "{picked:?}");
}
