//! Servers of one service that are not equally fast: each gets what it can do
//! in time.

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::call::Part;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::pace::Pace;
use limpetferry_lib::pace::PaceChange;
use limpetferry_lib::pace::WaitKey;
use limpetferry_lib::server::Load;
use limpetferry_lib::server::Outcome;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::service_time::Span;
use limpetferry_lib::service_time::Work;
use limpetferry_lib::switches::Switches;
use limpetferry_lib::time::Time;
use limpetferry_lib::wish::ServerKey;
use limpetferry_lib::wish::Wish;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const SLOTS: u32 = 6;
/// Time of a request alone at a usual server, in ms, and what each other one
/// there adds.
const ALONE_MS: f64 = 60.0;
const EACH_MS: f64 = 8.0;
/// Time for which a server's VM is disturbed by its neighbours, and how much
/// longer work takes there then.
const DISTURBED: Duration = Duration::from_millis(600);
const DISTURBANCE: f64 = 2.5;

fn server(number: usize, centre: &str) -> Server {
    Server {
        id: format!("server-{number}").into(),
        born: Some(1),
        service: Arc::from("tool"),
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

/// Returns servers, one of each four in another data centre than the rest.
fn fleet_of_two_centres(count: usize) -> Fleet {
    let mut fleet = fleet(0, true);
    for number in 0..count {
        let centre = if number % 4 == 0 { "one" } else { "other" };
        fleet.put(server(number, centre));
    }
    fleet
}

/// What the gateway is told of the moment.
#[derive(Clone, Copy, PartialEq)]
enum Told {
    /// Nothing.
    Nothing,
    /// How disturbed the VM is, with each answer.
    Moment,
    /// How long work takes there in all, before each choice.
    Truth,
    /// By server 0 always this pace, by the others nothing.
    Lies(u32),
}

/// A request under way.
struct Running {
    gateway: usize,
    key: ServerKey,
    work: Work,
    sent: Time,
    end: Time,
    wait: Option<WaitKey>,
}

/// Servers that take as long as `factor` says, and gateways that send them
/// requests.
struct World<F> {
    /// What each gateway knows.
    fleets: Vec<Fleet>,
    factor: F,
    told: Told,
    disturbed: bool,
    /// Least and most that an answer takes beside what it should.
    noise: Range<f64>,
    rng: StdRng,
    now: Time,
    running: Vec<Running>,
    counts: HashMap<usize, usize>,
    times: Vec<Duration>,
    changes: Vec<PaceChange>,
}

impl<F: Fn(usize, Time) -> f64> World<F> {
    fn new(seed: u64, fleets: Vec<Fleet>, told: Told, factor: F) -> Self {
        Self {
            fleets,
            factor,
            told,
            disturbed: false,
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
        let server = self.fleets[0].server(key).expect("it is known");
        usize::from(server.address.port() - 8_000)
    }

    /// Returns how much longer work takes on a VM for its neighbours: 15 in 100
    /// of the VMs at a time.
    fn disturbance(&self, number: usize) -> f64 {
        let slice = self.now.since(Time::default()).as_millis() / DISTURBED.as_millis();
        let mut draw = StdRng::seed_from_u64(number as u64 * 1_000 + slice as u64);
        let hit = self.disturbed && draw.random_bool(0.15);
        if hit { DISTURBANCE } else { 1.0 }
    }

    fn told(&self, number: usize) -> Option<u32> {
        let factor = match self.told {
            Told::Nothing => return None,
            Told::Lies(pace) => return (number == 0).then_some(pace),
            Told::Moment => self.disturbance(number),
            Told::Truth => self.disturbance(number) * (self.factor)(number, self.now),
        };
        Some((factor * 100.0).round() as u32)
    }

    fn report(&mut self, gateway: usize, key: ServerKey) {
        let running = self.running.iter().filter(|other| other.key == key).count();
        let load = Load {
            running: running as u32,
            waiting: 0,
            slots: SLOTS,
            pace: self.told(self.number(key)),
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
            fleet.end(now, one.key, Outcome::Answered);
            self.changes.extend(fleet.pace_changes());
            self.times.push(took);
        }
    }

    fn send(&mut self) {
        let gateway = self.rng.random_range(0..self.fleets.len());
        if self.told == Told::Truth {
            for number in 0..self.fleets[gateway].ready("tool") {
                let key = self.fleets[gateway].key(&format!("server-{number}"));
                self.report(gateway, key.expect("it is known"));
            }
        }
        let wish = Wish {
            centre: "here",
            draw: self.rng.random(),
            ..Wish::default()
        };
        let key = self.fleets[gateway].pick(self.now, "tool", &wish);
        let key = key.expect("a server");
        let number = self.number(key);
        let there = self.running.iter().filter(|one| one.key == key).count();
        let usual = ALONE_MS + EACH_MS * there as f64 + ALONE_MS * queued(there);
        let Range { start, end } = self.noise;
        let noise = self.rng.random_range(start.ln()..end.ln()).exp();
        let factor = (self.factor)(number, self.now) * self.disturbance(number);
        let took = Duration::from_secs_f64(usual * noise * factor / 1_000.0);
        let fleet = &mut self.fleets[gateway];
        let work = fleet.begin(self.now, key, &wish);
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

    /// Sends a request each `gap` for so long, and returns how many each server
    /// got.
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

    /// Lets what is under way end for so long.
    fn rest(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + GAP;
            self.end_due();
        }
    }

    /// Returns which servers were noted, and whether as slow.
    fn noted(&self) -> Vec<(&str, bool)> {
        let changes = self.changes.iter();
        changes
            .map(|change| (&*change.server, change.slow))
            .collect()
    }

    /// Returns the time that so many of a hundred answers since the last call did
    /// not exceed.
    fn slowest(&mut self, percent: usize) -> Duration {
        let mut times = std::mem::take(&mut self.times);
        times.sort_unstable();
        times[times.len() * percent / 100]
    }
}

/// Returns how many requests wait before one that meets so many.
fn queued(there: usize) -> f64 {
    (there as f64 + 1.0 - f64::from(SLOTS)).max(0.0) / f64::from(SLOTS)
}

/// Returns what a server got, as a share of the mean.
fn share(counts: &HashMap<usize, usize>, number: usize, servers: usize) -> f64 {
    let all: usize = counts.values().sum();
    let own = counts.get(&number).copied().unwrap_or_default();
    own as f64 * servers as f64 / all as f64
}

const SECOND: Duration = Duration::from_secs(1);
/// Time between requests: a light load of four servers, and nine tenths of what
/// three of them can do.
const GAPS: [Duration; 2] = [Duration::from_millis(12), Duration::from_millis(6)];
const GAP: Duration = GAPS[0];
const SEEDS: Range<u64> = 0..5;

/// Speeds of the servers in four data centres, or of four servers in one.
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];

/// Returns what four gateways know of so many servers.
fn gateways(servers: usize, pace: bool) -> Vec<Fleet> {
    (0..4).map(|_| fleet(servers, pace)).collect()
}

#[test]
fn uneven_servers_on_disturbed_vms_are_used_as_if_the_truth_were_told() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap / 2))) {
        let slowest = |told| {
            let factor = |number: usize, _| 1.0 / SPEEDS[number % 4];
            let mut world = World::new(seed, gateways(8, true), told, factor);
            world.disturbed = true;
            world.run(4 * SECOND, gap);
            world.slowest(90);
            world.run(20 * SECOND, gap);
            world.slowest(90)
        };

        let (learned, truth) = (slowest(Told::Moment), slowest(Told::Truth));

        assert!(
            learned <= truth.mul_f64(1.3),
            "{seed} {gap:?}: {learned:?} {truth:?}"
        );
    }
}

/// Server 0 takes five times as long from the fourth second to the eighth.
fn slow_for_a_while(number: usize, now: Time) -> f64 {
    let ill = (4.0..8.0).contains(&now.as_secs_f64());
    if number == 0 && ill { 5.0 } else { 1.0 }
}

#[test]
fn a_server_that_turns_slow_and_says_nothing_gets_less_within_a_second() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap))) {
        let mut world = World::new(seed, gateways(4, true), Told::Nothing, slow_for_a_while);
        world.run(4 * SECOND, gap);

        world.run(SECOND, gap);
        let slow = world.run(2 * SECOND, gap);

        assert!(share(&slow, 0, 4) < 0.5, "{seed} {gap:?}: {slow:?}");
    }
}

#[test]
fn callers_wait_less_for_a_server_that_turned_slow_than_where_its_pace_is_not_learned() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap))) {
        let slowest = |pace| {
            let fleets = gateways(4, pace);
            let mut world = World::new(seed, fleets, Told::Nothing, slow_for_a_while);
            world.run(4 * SECOND, gap);
            world.slowest(99);
            world.run(6 * SECOND, gap);
            world.slowest(99)
        };

        let (learned, unaware) = (slowest(true), slowest(false));
        assert!(learned < unaware, "{seed} {gap:?}: {learned:?} {unaware:?}");
    }
}

/// Its first answer is still under way.
#[test]
fn a_server_that_turned_slow_is_avoided_before_it_answers() {
    let mut world = World::new(1, vec![fleet(4, true)], Told::Nothing, |_, _| 1.0);
    world.run(4 * SECOND, GAP);
    world.rest(SECOND);
    let stuck = world.fleets[0].key("server-0").expect("it is known");
    let sent = world.now;
    let wish = Wish::default();
    let others = ["server-1", "server-2", "server-3"];
    let others = others.map(|id| world.fleets[0].key(id).expect("it is known"));
    let fleet = &mut world.fleets[0];
    let work = fleet.begin(sent, stuck, &wish);
    fleet.begin_wait(sent, stuck, &work, Span::Whole);
    let overdue = sent + Duration::from_millis(250);

    let alone = fleet.pace_summary(overdue, "tool").expect("it is on");
    let later = sent + Duration::from_millis(10);
    for key in others {
        let work = fleet.begin(later, key, &wish);
        let wait = fleet.begin_wait(later, key, &work, Span::Whole);
        fleet.end_wait(key, wait.expect("it is on"));
        fleet.end(later, key, Outcome::Answered);
    }
    let overtaken = fleet.pace_summary(overdue, "tool").expect("it is on");

    // Before others answer, all of them may be slow.
    assert_eq!(alone.slow, 0, "{alone:?}");
    assert!(overtaken.slow == 1, "{overtaken:?}");
    assert!(overtaken.largest > 2.0, "{overtaken:?}");
}

#[test]
fn a_server_that_recovers_gets_its_share_again() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap))) {
        let mut world = World::new(seed, gateways(4, true), Told::Nothing, slow_for_a_while);
        world.run(8 * SECOND, gap);

        world.run(5 * SECOND, gap);
        let after = world.run(4 * SECOND, gap);
        assert!(share(&after, 0, 4) > 0.75, "{seed} {gap:?}: {after:?}");
    }
}

#[test]
fn a_busy_server_that_turns_slow_and_recovers_is_noted() {
    for seed in SEEDS {
        let mut world = World::new(seed, vec![fleet(4, true)], Told::Nothing, slow_for_a_while);

        world.run(16 * SECOND, GAPS[1]);

        let noted = world.noted();
        assert_eq!(noted.first(), Some(&("server-0", true)), "{seed}");
        assert_eq!(noted.last(), Some(&("server-0", false)), "{seed}");
        assert!(noted.iter().all(|(id, _)| *id == "server-0"), "{noted:?}");
        let slow = &world.changes[0];
        assert!(slow.factor > 2.0, "{slow:?}");
        assert!(slow.last.observed > slow.last.expected, "{slow:?}");
    }
}

#[test]
fn a_burst_that_slows_all_servers_alike_makes_none_of_them_slow() {
    for (seed, gap) in SEEDS.flat_map(|seed| GAPS.map(|gap| (seed, gap))) {
        let all_slow = |_, now: Time| if now.as_secs_f64() < 4.0 { 1.0 } else { 4.0 };
        let mut world = World::new(seed, vec![fleet(6, true)], Told::Nothing, all_slow);
        world.run(4 * SECOND, gap);

        let counts = world.run(4 * SECOND, gap * 2);
        assert!(
            world.noted().is_empty(),
            "{seed} {gap:?}: {:?}",
            world.changes
        );
        let (least, most) = (counts.values().min(), counts.values().max());
        assert!(most.unwrap() < &(least.unwrap() * 2), "{counts:?}");
    }
}

#[test]
fn a_server_that_says_it_is_fast_beyond_belief_does_not_get_all_the_work() {
    for pace in [1, 10_000, u32::MAX] {
        let mut world = World::new(1, vec![fleet(4, true)], Told::Lies(pace), |_, _| 1.0);

        let counts = world.run(4 * SECOND, GAP);
        let mut others = (1..4).map(|number| share(&counts, number, 4));
        assert!(others.all(|share| share > 0.5), "{pace}: {counts:?}");
    }
}

#[test]
fn a_full_server_that_says_it_is_fast_gets_no_more() {
    let mut world = World::new(1, vec![fleet(4, true)], Told::Lies(1), |_, _| 1.0);
    let full = world.fleets[0].key("server-0").expect("it is known");
    let load = Load {
        running: 4 * SLOTS,
        waiting: 0,
        slots: SLOTS,
        pace: Some(1),
    };
    world.fleets[0].report(world.now, full, load);

    for _ in 0..12 {
        world.send();
    }
    assert_eq!(world.counts.get(&0), None, "{:?}", world.counts);
}

#[test]
fn what_servers_say_of_the_moment_is_followed_and_soon_forgotten() {
    let mut fleet = fleet(2, true);
    let key = fleet.key("server-0").expect("it is known");
    let load = Load {
        slots: SLOTS,
        pace: Some(250),
        ..Load::default()
    };
    let pick = |fleet: &Fleet, millis| {
        let wish = Wish {
            object: None,
            centre: "here",
            ..Wish::default()
        };
        fleet.pick(Time::from_millis(millis), "tool", &wish)
    };
    fleet.report(Time::default(), key, load);

    let at_once = pick(&fleet, 10);
    let other = fleet.key("server-1").expect("it is known");
    fleet.begin(Time::from_millis(10), other, &Wish::default());
    let later = pick(&fleet, 2_000);

    assert_eq!((at_once, later), (Some(other), Some(key)));
}

/// Where a gateway sends each server a request every ten seconds, only what the
/// servers of a data centre have in common can be learned in time.
#[test]
fn a_slow_data_centre_is_found_where_a_gateway_seldom_meets_the_same_server() {
    let (mut slow, mut all) = (0, 0);
    for seed in SEEDS {
        let factor = |number: usize, _| 1.0 / SPEEDS[number % 4];
        let fleet = fleet_of_two_centres(80);
        let mut world = World::new(seed, vec![fleet], Told::Nothing, factor);
        world.run(20 * SECOND, SECOND / 8);

        for (number, count) in world.run(60 * SECOND, SECOND / 8) {
            slow += if number % 4 == 0 { count } else { 0 };
            all += count;
        }
    }

    // A quarter of the servers are there.
    assert!(slow * 2 < all / 4, "{slow} of {all}");
}

#[test]
fn a_server_never_met_is_taken_for_as_fast_as_those_of_its_data_centre() {
    let factor = |number: usize, _| 1.0 / SPEEDS[number % 4];
    let fleet = fleet_of_two_centres(8);
    let mut world = World::new(1, vec![fleet], Told::Nothing, factor);
    world.run(4 * SECOND, GAPS[1]);
    let known = 0..8;
    let fleet = &mut world.fleets[0];
    let known = known.filter_map(|number| fleet.key(&format!("server-{number}")));
    let known: Vec<ServerKey> = known.collect();
    fleet.put(server(8, "one"));
    fleet.put(server(9, "other"));

    let picked = [0.0, 0.85, 0.95].map(|draw| {
        let wish = Wish {
            tried: &known,
            centre: "here",
            draw,
            ..Wish::default()
        };
        fleet.pick(world.now, "tool", &wish)
    });

    assert_eq!(picked, [fleet.key("server-9"); 3]);
}

/// Sends streams to two servers in turn, and returns the fleet and the time;
/// `factor` is that of the first one.
fn serve_streams(factor: f64) -> (Fleet, Time) {
    let mut fleet = fleet(2, true);
    let mut now = Time::default();
    let parts = [Part {
        id: 1,
        tokens: 3_000,
    }];
    let wish = Wish {
        parts: &parts,
        centre: "here",
        ..Wish::default()
    };
    for number in 0..200_u32 {
        let id = format!("server-{}", number % 2);
        let key = fleet.key(&id).expect("it is known");
        let factor = if number % 2 == 0 { factor } else { 1.0 };
        let work = fleet.begin(now, key, &wish);
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
        fleet.end(now, key, Outcome::Answered);
    }
    (fleet, now)
}

#[test]
fn an_engine_that_streams_more_slowly_than_its_peer_is_found() {
    let (alike, now) = serve_streams(1.0);
    let (uneven, later) = serve_streams(4.0);

    let alike = alike.pace_summary(now, "tool").expect("it is on");
    let uneven = uneven.pace_summary(later, "tool").expect("it is on");
    assert!(alike.slow == 0 && alike.largest < 1.1, "{alike:?}");
    assert!(uneven.slow == 1 && uneven.largest > 1.5, "{uneven:?}");
}

#[test]
fn what_a_server_said_earlier_does_not_replace_what_it_said_last() {
    let mut pace = Pace::default();
    let now = Time::from_millis(100);

    pace.tell(now, Some(250));
    pace.tell(Time::from_millis(50), Some(100));
    pace.tell(now, None);

    assert!((pace.moment(now) - 2.5).abs() < 1e-9, "{pace:?}");
}

#[test]
fn a_server_that_starts_again_is_as_fast_as_its_peers_until_it_answers() {
    let slow = |number: usize, _| if number == 0 { 5.0 } else { 1.0 };
    let mut world = World::new(1, vec![fleet(4, true)], Told::Nothing, slow);
    world.run(2 * SECOND, GAP);
    let before = world.fleets[0]
        .pace_summary(world.now, "tool")
        .expect("it is on");

    world.fleets[0].put(Server {
        born: Some(2),
        ..server(0, "here")
    });

    let after = world.fleets[0]
        .pace_summary(world.now, "tool")
        .expect("it is on");
    assert!(before.slow == 1 && before.largest > 1.5, "{before:?}");
    assert!(after.slow == 0 && after.largest < 1.5, "{after:?}");
}

#[test]
fn a_request_that_never_ends_among_others_that_do_makes_no_server_slow() {
    let mut world = World::new(1, vec![fleet(4, true)], Told::Nothing, |_, _| 1.0);
    world.run(2 * SECOND, GAP);
    let key = world.fleets[0].key("server-0").expect("it is known");
    let wish = Wish::default();
    let work = world.fleets[0].begin(world.now, key, &wish);
    let wait = world.fleets[0].begin_wait(world.now, key, &work, Span::Whole);
    assert!(wait.is_some());

    let counts = world.run(4 * SECOND, GAPS[1]);
    assert!(share(&counts, 0, 4) > 0.5, "{counts:?}");
}

/// What a request finds in an engine's memory is a guess, so that some answers
/// take a small part of what they should and others several times as long.
#[test]
fn answers_that_scatter_tell_no_servers_apart() {
    let slowest = |pace| {
        let all = SEEDS.flat_map(|seed| {
            let mut world = World::new(seed, gateways(4, pace), Told::Nothing, |_, _| 1.0);
            world.noise = 0.02..5.0;
            world.run(4 * SECOND, GAPS[1]);
            world.times.clear();
            world.run(8 * SECOND, GAPS[1]);
            world.times
        });
        let mut all: Vec<Duration> = all.collect();
        all.sort_unstable();
        all[all.len() * 9 / 10]
    };

    let (learned, unaware) = (slowest(true), slowest(false));

    assert!(learned <= unaware.mul_f64(1.1), "{learned:?} {unaware:?}");
}

#[test]
fn requests_that_end_without_an_answer_tell_that_a_server_is_slow() {
    let mut world = World::new(1, vec![fleet(4, true)], Told::Nothing, |_, _| 1.0);
    world.run(2 * SECOND, GAP);
    let key = world.fleets[0].key("server-0").expect("it is known");
    let wish = Wish::default();

    for _ in 0..3 {
        let work = world.fleets[0].begin(world.now, key, &wish);
        let wait = world.fleets[0].begin_wait(world.now, key, &work, Span::Whole);
        let end = world.now + SECOND;
        world.fleets[0].give_up(end, key, wait.expect("it is on"));
        world.fleets[0].end(end, key, Outcome::Abandoned);
    }

    let later = world.now + SECOND;
    let summary = world.fleets[0]
        .pace_summary(later, "tool")
        .expect("it is on");
    assert!(summary.slow == 1 && summary.largest > 2.0, "{summary:?}");
}

#[test]
fn nothing_depends_on_the_pace_of_servers_unless_it_is_switched_on() {
    let counts = |told| {
        let mut world = World::new(1, vec![fleet(4, false)], told, slow_for_a_while);
        world.disturbed = true;
        world.run(7 * SECOND, GAP)
    };

    let (with, without) = (counts(Told::Moment), counts(Told::Nothing));

    assert_eq!(with, without);
    let mut fleet = fleet(1, false);
    let key = fleet.key("server-0").expect("it is known");
    let work = fleet.begin(Time::default(), key, &Wish::default());
    assert_eq!(
        fleet.begin_wait(Time::default(), key, &work, Span::Whole),
        None
    );
    assert_eq!(fleet.pace_summary(Time::default(), "tool"), None);
    assert!(fleet.pace_changes().is_empty());
}

/// Servers that have their VMs to themselves differ by little: there what counts
/// is where prompts are kept.
#[test]
fn paces_count_only_at_services_whose_servers_say_that_they_are_disturbed() {
    let slowest = |told| {
        let mut fleet = fleet(2, true);
        fleet.set_switches(Switches {
            pace: true,
            shared_vms: true,
            ..Switches::default()
        });
        let key = fleet.key("server-0").expect("it is there");
        let load = Load {
            slots: 16,
            pace: told,
            ..Load::default()
        };
        fleet.report(Time::default(), key, load);
        fleet.pace_summary(Time::default(), "tool")
    };

    assert_eq!(slowest(None), None);
    assert_eq!(slowest(Some(100)), None);
    assert!(slowest(Some(250)).is_some());
}
