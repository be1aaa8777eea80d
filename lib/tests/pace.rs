//! Servers of one service that are not equally fast: each should get as many
//! requests as it can answer in time.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::call::Part;
use limpetferry_lib::criteria::Criteria;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::pace::Pace;
use limpetferry_lib::pace::PaceChange;
use limpetferry_lib::pace::WaitKey;
use limpetferry_lib::server::Load;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::server_version::ServerVersion;
use limpetferry_lib::service_time::RequestConditions;
use limpetferry_lib::service_time::Span;
use limpetferry_lib::switches::Switches;
use limpetferry_lib::time::Time;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const SLOTS: u32 = 6;
/// Time of a request alone at a typical server, in ms, and the addition for each
/// other request there.
const ALONE_MS: f64 = 60.0;
const EACH_MS: f64 = 8.0;
/// How long a server's VM is slowed down by its neighbours, and by which factor.
const INTERFERENCE_TIME: Duration = Duration::from_millis(600);
const INTERFERENCE_FACTOR: f64 = 2.5;

fn server(number: usize, centre: &str) -> Server {
    Server {
        id: format!("server-{number}").into(),
        started_at: Some(1),
        service: Arc::from("tool"),
        version: ServerVersion::new("v1"),
        address: ([10, 0, 0, 1], 8_000 + number as u16).into(),
        centre: Arc::from(centre),
        slots: SLOTS,
        state: ServerState::Ready,
    }
}

fn fleet(count: usize, pace: bool) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set_switches(Switches {
        pace,
        ..Switches::default()
    });
    for number in 0..count {
        fleet.put(server(number, "here"));
    }
    fleet
}

/// Returns a fleet in which every fourth server is in another data centre.
fn fleet_of_two_centres(count: usize) -> Fleet {
    let mut fleet = fleet(0, true);
    for number in 0..count {
        let centre = if number % 4 == 0 { "one" } else { "other" };
        fleet.put(server(number, centre));
    }
    fleet
}

/// What servers report about their current pace.
#[derive(Clone, Copy, PartialEq)]
enum Report {
    /// Nothing.
    Nothing,
    /// How much the VM is slowed down by its neighbours, with each answer.
    Interference,
    /// The true factor of the server, before each choice.
    Actual,
    /// The given pace, always, by server 0; nothing by the others.
    Constant(u32),
}

/// A request in flight.
struct Running {
    gateway: usize,
    key: ServerKey,
    work: RequestConditions,
    sent: Time,
    end: Time,
    wait: Option<WaitKey>,
}

/// A simulation of gateways and of servers that take `factor` times as long as
/// usual.
struct Simulation<F> {
    /// The state of each gateway.
    fleets: Vec<Fleet>,
    factor: F,
    reports: Report,
    has_interference: bool,
    /// Range of the random factor on the time of an answer.
    noise: Range<f64>,
    rng: StdRng,
    now: Time,
    running: Vec<Running>,
    counts: HashMap<usize, usize>,
    times: Vec<Duration>,
    changes: Vec<PaceChange>,
}

impl<F: Fn(usize, Time) -> f64> Simulation<F> {
    fn new(seed: u64, fleets: Vec<Fleet>, reports: Report, factor: F) -> Self {
        Self {
            fleets,
            factor,
            reports,
            has_interference: false,
            noise: 0.8..1.25,
            rng: StdRng::seed_from_u64(seed),
            now: Time::default(),
            running: Vec::new(),
            counts: HashMap::new(),
            times: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn number(&self, key: ServerKey) -> usize {
        let server = self.fleets[0].server(key).expect("known server");
        usize::from(server.address.port() - 8_000)
    }

    /// Returns the factor by which a VM is slowed down by its neighbours; 15 in
    /// 100 of the VMs are at any time.
    fn interference(&self, number: usize) -> f64 {
        let slice = self.now.since(Time::default()).as_millis() / INTERFERENCE_TIME.as_millis();
        let mut draw = StdRng::seed_from_u64(number as u64 * 1_000 + slice as u64);
        let hit = self.has_interference && draw.random_bool(0.15);
        if hit { INTERFERENCE_FACTOR } else { 1.0 }
    }

    fn reported_pace(&self, number: usize) -> Option<u32> {
        let factor = match self.reports {
            Report::Nothing => return None,
            Report::Constant(pace) => return (number == 0).then_some(pace),
            Report::Interference => self.interference(number),
            Report::Actual => self.interference(number) * (self.factor)(number, self.now),
        };
        Some((factor * 100.0).round() as u32)
    }

    fn report(&mut self, gateway: usize, key: ServerKey) {
        let running = self.running.iter().filter(|other| other.key == key).count();
        let load = Load {
            running: running as u32,
            waiting: 0,
            slots: SLOTS,
            pace: self.reported_pace(self.number(key)),
        };
        self.fleets[gateway].report(self.now, key, load);
    }

    fn end_due(&mut self) {
        let now = self.now;
        let (over, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|one| one.end <= now);
        self.running = left;
        for one in over {
            let took = now.since(one.sent);
            self.report(one.gateway, one.key);
            let fleet = &mut self.fleets[one.gateway];
            if let Some(wait) = one.wait {
                fleet.end_wait(one.key, wait);
            }
            fleet.plain_end(now, one.key, &one.work, took);
            fleet.end(now, one.key, ServerOutcome::Answered);
            self.changes.extend(fleet.pace_changes());
            self.times.push(took);
        }
    }

    fn send(&mut self) {
        let gateway = self.rng.random_range(0..self.fleets.len());
        if self.reports == Report::Actual {
            for number in 0..self.fleets[gateway].ready("tool") {
                let key = self.fleets[gateway].key(&format!("server-{number}"));
                self.report(gateway, key.expect("known server"));
            }
        }
        let criteria = Criteria {
            centre: "here",
            draw: self.rng.random(),
            ..Criteria::default()
        };
        let key = self.fleets[gateway].pick(self.now, "tool", &criteria);
        let key = key.expect("a server");
        let number = self.number(key);
        let there = self.running.iter().filter(|one| one.key == key).count();
        let usual = ALONE_MS + EACH_MS * there as f64 + ALONE_MS * queued(there);
        let Range { start, end } = self.noise;
        let noise = self.rng.random_range(start.ln()..end.ln()).exp();
        let factor = (self.factor)(number, self.now) * self.interference(number);
        let took = Duration::from_secs_f64(usual * noise * factor / 1_000.0);
        let fleet = &mut self.fleets[gateway];
        let work = fleet.begin(self.now, key, &criteria);
        let wait = fleet.begin_wait(self.now, key, &work, Span::Whole);
        self.running.push(Running {
            gateway,
            key,
            work,
            sent: self.now,
            end: self.now + took,
            wait,
        });
        *self.counts.entry(number).or_default() += 1;
    }

    /// Sends a request every `gap` for the time `span`, and returns the number at
    /// each server.
    fn run(&mut self, span: Duration, gap: Duration) -> HashMap<usize, usize> {
        self.counts.clear();
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + gap;
            self.end_due();
            self.send();
        }
        self.counts.clone()
    }

    /// Sends nothing for the time `span`, so that running requests can end.
    fn rest(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + GAP;
            self.end_due();
        }
    }

    /// Returns the changes so far: the server, and whether it became slow.
    fn slow_changes(&self) -> Vec<(&str, bool)> {
        let changes = self.changes.iter();
        changes
            .map(|change| (&*change.server, change.slow))
            .collect()
    }

    /// Returns the given percentile of the response times since the last call.
    fn slowest(&mut self, percent: usize) -> Duration {
        let mut times = std::mem::take(&mut self.times);
        times.sort_unstable();
        times[times.len() * percent / 100]
    }
}

/// Returns how many requests per slot are queued at a server with that many
/// requests.
fn queued(there: usize) -> f64 {
    (there as f64 + 1.0 - f64::from(SLOTS)).max(0.0) / f64::from(SLOTS)
}

/// Returns the requests of a server as a share of the mean.
fn share(counts: &HashMap<usize, usize>, number: usize, servers: usize) -> f64 {
    let all: usize = counts.values().sum();
    let own = counts.get(&number).copied().unwrap_or_default();
    own as f64 * servers as f64 / all as f64
}

const SECOND: Duration = Duration::from_secs(1);
/// Time between requests: a light load for four servers, and nine tenths of the
/// capacity of three of them.
const GAPS: [Duration; 2] = [Duration::from_millis(12), Duration::from_millis(6)];
const GAP: Duration = GAPS[0];
const SEEDS: Range<u64> = 0..5;

/// Speeds of the servers in four data centres, or of four servers in one.
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];

/// Returns the state of four gateways, each with the given number of servers.
fn gateways(servers: usize, pace: bool) -> Vec<Fleet> {
    (0..4).map(|_| fleet(servers, pace)).collect()
}

#[test]
fn uneven_servers_on_shared_vms_are_used_almost_as_well_as_if_their_pace_were_known() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap / 2))) {
        let slowest = |reports| {
            let factor = |number: usize, _| 1.0 / SPEEDS[number % 4];
            let mut simulation = Simulation::new(seed, gateways(8, true), reports, factor);
            simulation.has_interference = true;
            simulation.run(4 * SECOND, gap);
            simulation.slowest(90);
            simulation.run(20 * SECOND, gap);
            simulation.slowest(90)
        };

        let (learned, truth) = (slowest(Report::Interference), slowest(Report::Actual));

        assert!(
            learned <= truth.mul_f64(1.3),
            "{seed} {gap:?}: {learned:?} {truth:?}"
        );
    }
}

/// Server 0 takes five times as long from the fourth to the eighth second.
fn slow_for_a_while(number: usize, now: Time) -> f64 {
    let slow = (4.0..8.0).contains(&now.as_secs_f64());
    if number == 0 && slow { 5.0 } else { 1.0 }
}

#[test]
fn a_server_that_becomes_slow_without_reporting_it_gets_less_work_within_a_second() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap))) {
        let mut simulation =
            Simulation::new(seed, gateways(4, true), Report::Nothing, slow_for_a_while);
        simulation.run(4 * SECOND, gap);

        simulation.run(SECOND, gap);
        let slow = simulation.run(2 * SECOND, gap);

        assert!(share(&slow, 0, 4) < 0.5, "{seed} {gap:?}: {slow:?}");
    }
}

#[test]
fn learning_paces_shortens_waits_while_a_server_is_slow() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap))) {
        let slowest = |pace| {
            let fleets = gateways(4, pace);
            let mut simulation = Simulation::new(seed, fleets, Report::Nothing, slow_for_a_while);
            simulation.run(4 * SECOND, gap);
            simulation.slowest(99);
            simulation.run(6 * SECOND, gap);
            simulation.slowest(99)
        };

        let (learned, unlearned) = (slowest(true), slowest(false));
        assert!(
            learned < unlearned,
            "{seed} {gap:?}: {learned:?} {unlearned:?}"
        );
    }
}

/// The server's first answer since then is still outstanding.
#[test]
fn a_server_that_became_slow_is_avoided_before_it_answers() {
    let mut simulation = Simulation::new(1, vec![fleet(4, true)], Report::Nothing, |_, _| 1.0);
    simulation.run(4 * SECOND, GAP);
    simulation.rest(SECOND);
    let slow = simulation.fleets[0].key("server-0").expect("known server");
    let sent = simulation.now;
    let criteria = Criteria::default();
    let others = ["server-1", "server-2", "server-3"];
    let others = others.map(|id| simulation.fleets[0].key(id).expect("known server"));
    let fleet = &mut simulation.fleets[0];
    let work = fleet.begin(sent, slow, &criteria);
    fleet.begin_wait(sent, slow, &work, Span::Whole);
    let overdue = sent + Duration::from_millis(250);

    let before_others = fleet.pace_summary(overdue, "tool").expect("paces count");
    let later = sent + Duration::from_millis(10);
    for key in others {
        let work = fleet.begin(later, key, &criteria);
        let wait = fleet.begin_wait(later, key, &work, Span::Whole);
        fleet.end_wait(key, wait.expect("paces count"));
        fleet.end(later, key, ServerOutcome::Answered);
    }
    let after_others = fleet.pace_summary(overdue, "tool").expect("paces count");

    // Until other servers answer, all of them may be slow.
    assert_eq!(before_others.slow, 0, "{before_others:?}");
    assert!(after_others.slow == 1, "{after_others:?}");
    assert!(after_others.largest > 2.0, "{after_others:?}");
}

#[test]
fn a_recovered_server_gets_its_share_again() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap))) {
        let mut simulation =
            Simulation::new(seed, gateways(4, true), Report::Nothing, slow_for_a_while);
        simulation.run(8 * SECOND, gap);

        simulation.run(5 * SECOND, gap);
        let after = simulation.run(4 * SECOND, gap);
        assert!(share(&after, 0, 4) > 0.75, "{seed} {gap:?}: {after:?}");
    }
}

#[test]
fn a_busy_server_that_becomes_slow_and_recovers_is_reported_as_such() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(
            seed,
            vec![fleet(4, true)],
            Report::Nothing,
            slow_for_a_while,
        );

        simulation.run(16 * SECOND, GAPS[1]);

        let slow_changes = simulation.slow_changes();
        assert_eq!(slow_changes.first(), Some(&("server-0", true)), "{seed}");
        assert_eq!(slow_changes.last(), Some(&("server-0", false)), "{seed}");
        assert!(
            slow_changes.iter().all(|(id, _)| *id == "server-0"),
            "{slow_changes:?}"
        );
        let slow = &simulation.changes[0];
        assert!(slow.factor > 2.0, "{slow:?}");
        assert!(slow.last.observed > slow.last.expected, "{slow:?}");
    }
}

#[test]
fn a_burst_that_slows_all_servers_equally_marks_none_as_slow() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap))) {
        let all_slow = |_, now: Time| if now.as_secs_f64() < 4.0 { 1.0 } else { 4.0 };
        let mut simulation = Simulation::new(seed, vec![fleet(6, true)], Report::Nothing, all_slow);
        simulation.run(4 * SECOND, gap);

        let counts = simulation.run(4 * SECOND, gap * 2);
        assert!(
            simulation.slow_changes().is_empty(),
            "{seed} {gap:?}: {:?}",
            simulation.changes
        );
        let (least, most) = (counts.values().min(), counts.values().max());
        assert!(most.unwrap() < &(least.unwrap() * 2), "{counts:?}");
    }
}

#[test]
fn a_server_that_reports_an_implausible_pace_does_not_get_all_the_work() {
    for pace in [1, 10_000, u32::MAX] {
        let mut simulation =
            Simulation::new(1, vec![fleet(4, true)], Report::Constant(pace), |_, _| 1.0);

        let counts = simulation.run(4 * SECOND, GAP);
        let mut others = (1..4).map(|number| share(&counts, number, 4));
        assert!(others.all(|share| share > 0.5), "{pace}: {counts:?}");
    }
}

#[test]
fn a_full_server_that_reports_to_be_fast_gets_no_more_work() {
    let mut simulation = Simulation::new(1, vec![fleet(4, true)], Report::Constant(1), |_, _| 1.0);
    let full = simulation.fleets[0].key("server-0").expect("known server");
    let load = Load {
        running: 4 * SLOTS,
        waiting: 0,
        slots: SLOTS,
        pace: Some(1),
    };
    simulation.fleets[0].report(simulation.now, full, load);

    for _ in 0..12 {
        simulation.send();
    }
    assert_eq!(simulation.counts.get(&0), None, "{:?}", simulation.counts);
}

#[test]
fn reported_paces_take_effect_at_once_and_soon_expire() {
    let mut fleet = fleet(2, true);
    let key = fleet.key("server-0").expect("known server");
    let load = Load {
        slots: SLOTS,
        pace: Some(250),
        ..Load::default()
    };
    let pick = |fleet: &Fleet, millis| {
        let criteria = Criteria {
            object: None,
            centre: "here",
            ..Criteria::default()
        };
        fleet.pick(Time::from_millis(millis), "tool", &criteria)
    };
    fleet.report(Time::default(), key, load);

    let at_once = pick(&fleet, 10);
    let other = fleet.key("server-1").expect("known server");
    fleet.begin(Time::from_millis(10), other, &Criteria::default());
    let later = pick(&fleet, 2_000);

    assert_eq!((at_once, later), (Some(other), Some(key)));
}

/// If a gateway sends each server a request only every ten seconds, it can learn
/// in time only what the servers of a data centre have in common.
#[test]
fn a_slow_data_centre_is_detected_although_a_gateway_rarely_uses_the_same_server_twice() {
    let (mut slow, mut all) = (0, 0);
    for seed in SEEDS {
        let factor = |number: usize, _| 1.0 / SPEEDS[number % 4];
        let fleet = fleet_of_two_centres(80);
        let mut simulation = Simulation::new(seed, vec![fleet], Report::Nothing, factor);
        simulation.run(20 * SECOND, SECOND / 8);

        for (number, count) in simulation.run(60 * SECOND, SECOND / 8) {
            slow += if number % 4 == 0 { count } else { 0 };
            all += count;
        }
    }

    // A quarter of the servers are in the slow data centre.
    assert!(slow * 2 < all / 4, "{slow} of {all}");
}

#[test]
fn an_unused_server_is_assumed_to_be_as_fast_as_others_of_its_data_centre() {
    let factor = |number: usize, _| 1.0 / SPEEDS[number % 4];
    let fleet = fleet_of_two_centres(8);
    let mut simulation = Simulation::new(1, vec![fleet], Report::Nothing, factor);
    simulation.run(4 * SECOND, GAPS[1]);
    let known = 0..8;
    let fleet = &mut simulation.fleets[0];
    let known = known.filter_map(|number| fleet.key(&format!("server-{number}")));
    let known: Vec<ServerKey> = known.collect();
    fleet.put(server(8, "one"));
    fleet.put(server(9, "other"));

    let picked = [0.0, 0.85, 0.95].map(|draw| {
        let criteria = Criteria {
            tried: &known,
            centre: "here",
            draw,
            ..Criteria::default()
        };
        fleet.pick(simulation.now, "tool", &criteria)
    });

    assert_eq!(picked, [fleet.key("server-9"); 3]);
}

/// Sends streams to two servers in turn; the first one is slower by `factor`.
/// Returns the fleet and the time at the end.
fn serve_streams(factor: f64) -> (Fleet, Time) {
    let mut fleet = fleet(2, true);
    let mut now = Time::default();
    let parts = [Part {
        id: 1,
        tokens: 3_000,
    }];
    let criteria = Criteria {
        parts: &parts,
        centre: "here",
        ..Criteria::default()
    };
    for number in 0..200_u32 {
        let id = format!("server-{}", number % 2);
        let key = fleet.key(&id).expect("known server");
        let factor = if number % 2 == 0 { factor } else { 1.0 };
        let work = fleet.begin(now, key, &criteria);
        let wait = fleet.begin_wait(now, key, &work, Span::FirstEvent);
        let first = Duration::from_millis(20).mul_f64(factor);
        now = now + first;
        if let Some(wait) = wait {
            fleet.end_wait(key, wait);
        }
        fleet.first_event(now, key, &work, first);
        let rest = Duration::from_millis(80).mul_f64(factor);
        now = now + rest;
        fleet.stream_end(now, key, &work, rest, 9);
        fleet.end(now, key, ServerOutcome::Answered);
    }
    (fleet, now)
}

#[test]
fn an_engine_that_streams_more_slowly_than_its_peer_is_detected() {
    let (alike, now) = serve_streams(1.0);
    let (uneven, later) = serve_streams(4.0);

    let alike = alike.pace_summary(now, "tool").expect("paces count");
    let uneven = uneven.pace_summary(later, "tool").expect("paces count");
    assert!(alike.slow == 0 && alike.largest < 1.1, "{alike:?}");
    assert!(uneven.slow == 1 && uneven.largest > 1.5, "{uneven:?}");
}

#[test]
fn an_earlier_report_does_not_replace_a_later_one() {
    let mut pace = Pace::default();
    let now = Time::from_millis(100);

    pace.set_reported(now, Some(250));
    pace.set_reported(Time::from_millis(50), Some(100));
    pace.set_reported(now, None);

    assert!((pace.reported_factor(now) - 2.5).abs() < 1e-9, "{pace:?}");
}

#[test]
fn a_restarted_server_is_assumed_to_be_as_fast_as_its_peers_until_it_answers() {
    let slow = |number: usize, _| if number == 0 { 5.0 } else { 1.0 };
    let mut simulation = Simulation::new(1, vec![fleet(4, true)], Report::Nothing, slow);
    simulation.run(2 * SECOND, GAP);
    let before = simulation.fleets[0]
        .pace_summary(simulation.now, "tool")
        .expect("paces count");

    simulation.fleets[0].put(Server {
        started_at: Some(2),
        ..server(0, "here")
    });

    let after = simulation.fleets[0]
        .pace_summary(simulation.now, "tool")
        .expect("paces count");
    assert!(before.slow == 1 && before.largest > 1.5, "{before:?}");
    assert!(after.slow == 0 && after.largest < 1.5, "{after:?}");
}

#[test]
fn a_single_hung_request_marks_no_server_as_slow() {
    let mut simulation = Simulation::new(1, vec![fleet(4, true)], Report::Nothing, |_, _| 1.0);
    simulation.run(2 * SECOND, GAP);
    let key = simulation.fleets[0].key("server-0").expect("known server");
    let criteria = Criteria::default();
    let work = simulation.fleets[0].begin(simulation.now, key, &criteria);
    let wait = simulation.fleets[0].begin_wait(simulation.now, key, &work, Span::Whole);
    assert!(wait.is_some());

    let counts = simulation.run(4 * SECOND, GAPS[1]);
    assert!(share(&counts, 0, 4) > 0.5, "{counts:?}");
}

/// How much of a prompt an engine has cached is an estimate, so some answers take
/// a small part of the expected time and others several times as long.
#[test]
fn widely_varying_answer_times_mark_no_server_as_slow() {
    let slowest = |pace| {
        let all = SEEDS.flat_map(|seed| {
            let mut simulation =
                Simulation::new(seed, gateways(4, pace), Report::Nothing, |_, _| 1.0);
            simulation.noise = 0.02..5.0;
            simulation.run(4 * SECOND, GAPS[1]);
            simulation.times.clear();
            simulation.run(8 * SECOND, GAPS[1]);
            simulation.times
        });
        let mut all: Vec<Duration> = all.collect();
        all.sort_unstable();
        all[all.len() * 9 / 10]
    };

    let (learned, unlearned) = (slowest(true), slowest(false));

    assert!(
        learned <= unlearned.mul_f64(1.1),
        "{learned:?} {unlearned:?}"
    );
}

#[test]
fn requests_that_end_without_an_answer_mark_a_server_as_slow() {
    let mut simulation = Simulation::new(1, vec![fleet(4, true)], Report::Nothing, |_, _| 1.0);
    simulation.run(2 * SECOND, GAP);
    let key = simulation.fleets[0].key("server-0").expect("known server");
    let criteria = Criteria::default();

    for _ in 0..3 {
        let work = simulation.fleets[0].begin(simulation.now, key, &criteria);
        let wait = simulation.fleets[0].begin_wait(simulation.now, key, &work, Span::Whole);
        let end = simulation.now + SECOND;
        simulation.fleets[0].abandon_wait(end, key, wait.expect("paces count"));
        simulation.fleets[0].end(end, key, ServerOutcome::Abandoned);
    }

    let later = simulation.now + SECOND;
    let summary = simulation.fleets[0]
        .pace_summary(later, "tool")
        .expect("paces count");
    assert!(summary.slow == 1 && summary.largest > 2.0, "{summary:?}");
}

#[test]
fn paces_have_no_effect_unless_switched_on() {
    let counts = |reports| {
        let mut simulation = Simulation::new(1, vec![fleet(4, false)], reports, slow_for_a_while);
        simulation.has_interference = true;
        simulation.run(7 * SECOND, GAP)
    };

    let (with, without) = (counts(Report::Interference), counts(Report::Nothing));

    assert_eq!(with, without);
    let mut fleet = fleet(1, false);
    let key = fleet.key("server-0").expect("known server");
    let work = fleet.begin(Time::default(), key, &Criteria::default());
    assert_eq!(
        fleet.begin_wait(Time::default(), key, &work, Span::Whole),
        None
    );
    assert_eq!(fleet.pace_summary(Time::default(), "tool"), None);
    assert!(fleet.pace_changes().is_empty());
}

/// Servers that do not share their VMs differ little; there the choice should
/// depend on where prompts are cached.
#[test]
fn with_shared_vms_paces_count_only_if_servers_report_interference() {
    let summary = |reported| {
        let mut fleet = fleet(2, true);
        fleet.set_switches(Switches {
            pace: true,
            shared_vms: true,
            ..Switches::default()
        });
        let key = fleet.key("server-0").expect("known server");
        let load = Load {
            slots: 16,
            pace: reported,
            ..Load::default()
        };
        fleet.report(Time::default(), key, load);
        fleet.pace_summary(Time::default(), "tool")
    };

    assert_eq!(summary(None), None);
    assert_eq!(summary(Some(100)), None);
    assert!(summary(Some(250)).is_some());
}
