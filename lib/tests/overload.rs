//! Simulates a burst at engines: twice as many programs as the engines can serve,
//! for ten seconds, through gateways that exchange load reports every 200 ms.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::load_report::ServiceEstimate;
use limpetferry_lib::load_shed::LoadShedder;
use limpetferry_lib::overload::Congestion;
use limpetferry_lib::overload::OverloadControl;
use limpetferry_lib::overload::ProgramRefusal;
use limpetferry_lib::overload::TurnArrival;
use limpetferry_lib::time::Time;
use proptest::prelude::prop_assert;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Requests that the engines run at once.
const SLOTS: usize = 120;
/// Duration of a turn at idle engines, the additional duration at full engines,
/// and the pause between two turns.
const TURN_MS: u64 = 200;
const SLOWDOWN_MS: u64 = 100;
const PAUSE_MS: u64 = 300;
/// Turns of a program.
const TURNS: u64 = 4;
/// Programs per second that full engines complete.
const PROGRAMS_PER_S: f64 = SLOTS as f64 * 1_000.0 / (TURNS * (TURN_MS + SLOWDOWN_MS)) as f64;
const IDLE_MS: u64 = TURNS * TURN_MS + (TURNS - 1) * PAUSE_MS;
/// Start and end of the burst, and the time when the last program arrives.
const BURST_MS: (u64, u64) = (10_000, 20_000);
const END_MS: u64 = 30_000;
/// Interval of the gateways' load reports, and of their observations of the load.
const REPORT_INTERVAL_MS: u64 = 200;
const OBSERVE_INTERVAL_MS: u64 = 100;
/// Load before and after the burst, relative to the capacity.
const CALM_LOAD: f64 = 0.7;

/// The simulated load, and whether refusals take effect.
#[derive(Clone, Copy)]
struct Scenario {
    gateways: usize,
    burst: f64,
    enforced: bool,
    /// Time limit of a program, relative to its duration at idle engines.
    time_factor: f64,
}

const DOUBLE_LOAD: Scenario = Scenario {
    gateways: 3,
    burst: 2.0,
    enforced: true,
    time_factor: 1.5,
};

struct Program {
    started: u64,
    turn: u64,
    tries: u64,
    kind: Kind,
}

/// The rank and workspace of a program.
type Kind = (u8, usize);

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    InTime,
    Late,
    Refused,
}

struct Ended {
    started: u64,
    kind: Kind,
    end: End,
}

/// Result of a simulation.
struct Simulation {
    ended: Vec<Ended>,
    /// Mean share that gateways admit, at each observation.
    admitted: Vec<(u64, f64)>,
    retries: Vec<(Duration, Duration)>,
}

impl Simulation {
    fn count(&self, started: (u64, u64), which: impl Fn(&Ended) -> bool) -> f64 {
        let programs = self.ended.iter();
        let programs = programs.filter(|one| (started.0..started.1).contains(&one.started));
        programs.filter(|one| which(one)).count() as f64
    }

    fn in_time(&self, started: (u64, u64)) -> f64 {
        self.count(started, |one| one.end == End::InTime)
    }

    fn share(&self, started: (u64, u64), which: impl Fn(&Ended) -> bool) -> f64 {
        let all = self.count(started, &which);
        self.count(started, |one| which(one) && one.end != End::Refused) / all
    }
}

/// A fixed sequence of pseudorandom numbers from 0 up to 1.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, end: usize) -> usize {
        (self.next() * end as f64) as usize
    }
}

/// Simulates the burst; `kind` draws the kind of each program at its arrival.
fn simulate(scenario: Scenario, kind: impl Fn(u64, &mut Draws) -> Kind) -> Simulation {
    let service: Arc<str> = "engines".into();
    let names: Vec<Arc<str>> = (0..100).map(|at| format!("w{at}").into()).collect();
    let time_limit = (IDLE_MS as f64 * scenario.time_factor) as u64;
    let mut draws = Draws(7);
    let mut controls: Vec<(OverloadControl, LoadShedder)> =
        vec![Default::default(); scenario.gateways];
    let mut own = vec![0_usize; scenario.gateways];
    let mut reported = own.clone();
    let mut programs: Vec<Program> = Vec::new();
    let mut arrivals: BTreeMap<(u64, usize), ()> = BTreeMap::new();
    let mut waiting: VecDeque<(usize, usize)> = VecDeque::new();
    let mut running: BTreeMap<(u64, usize), usize> = BTreeMap::new();
    let mut ends: VecDeque<u64> = VecDeque::new();
    let mut simulation = Simulation {
        ended: Vec::new(),
        admitted: Vec::new(),
        retries: Vec::new(),
    };
    let mut due = 0.0;
    for now in 0..END_MS + 10 * IDLE_MS {
        let time = Time::from_millis(now);
        if now < END_MS {
            let busy = (BURST_MS.0..BURST_MS.1).contains(&now);
            due += PROGRAMS_PER_S / 1_000.0 * if busy { scenario.burst } else { CALM_LOAD };
        }
        while due >= 1.0 {
            due -= 1.0;
            arrivals.insert((now, programs.len()), ());
            programs.push(Program {
                started: now,
                turn: 0,
                tries: 0,
                kind: kind(now, &mut draws),
            });
        }
        while let Some((&(at, id), &gateway)) = running.first_key_value()
            && at <= now
        {
            running.pop_first();
            ends.push_back(now);
            own[gateway] -= 1;
            controls[gateway].0.turn_ended(time, &service);
            let program = &mut programs[id];
            program.turn += 1;
            if program.turn < TURNS {
                arrivals.insert((now + PAUSE_MS, id), ());
                continue;
            }
            let good = now <= program.started + time_limit;
            simulation.ended.push(Ended {
                started: program.started,
                kind: program.kind,
                end: if good { End::InTime } else { End::Late },
            });
        }
        ends.retain(|at| at + 1_000 > now);
        if now % REPORT_INTERVAL_MS == 0 {
            reported.clone_from(&own);
        }
        if now % OBSERVE_INTERVAL_MS == 0 {
            let mut sum = 0.0;
            for (at, (overload, _)) in controls.iter_mut().enumerate() {
                let all = own[at] + reported.iter().sum::<usize>() - reported[at];
                let congestion = congestion(all, ends.len(), now);
                let state = overload.observe(time, &service, Some(congestion));
                sum += state.map_or(1.0, |(state, _)| state.admitted);
            }
            simulation
                .admitted
                .push((now, sum / scenario.gateways as f64));
        }
        while let Some((&(at, id), ())) = arrivals.first_key_value()
            && at <= now
        {
            arrivals.pop_first();
            let gateway = draws.below(scenario.gateways);
            let program = &mut programs[id];
            let remaining =
                Duration::from_millis((program.started + time_limit).saturating_sub(now));
            let name: Arc<str> = id.to_string().into();
            let arrival = TurnArrival {
                program: &name,
                first: program.turn == 0,
                turns_linked: true,
                service: &service,
                rank: program.kind.0,
                workspace: Some(&names[program.kind.1]),
                remaining: Some(remaining),
                patience: Duration::from_secs(3),
            };
            let (overload, shed) = &mut controls[gateway];
            let admitted = overload.admit(time, shed, &arrival, draws.next());
            match admitted {
                Err(ProgramRefusal::Service(after)) if scenario.enforced => {
                    simulation.retries.push((after, remaining));
                    program.tries += 1;
                    if program.tries <= 1 {
                        arrivals.insert((now + after.as_millis() as u64, id), ());
                        continue;
                    }
                    simulation.ended.push(Ended {
                        started: program.started,
                        kind: program.kind,
                        end: End::Refused,
                    });
                }
                _ => {
                    own[gateway] += 1;
                    waiting.push_back((id, gateway));
                }
            }
        }
        while running.len() < SLOTS
            && let Some((id, gateway)) = waiting.pop_front()
        {
            let took = TURN_MS + SLOWDOWN_MS * running.len() as u64 / SLOTS as u64;
            running.insert((now + took, id), gateway);
        }
    }
    simulation
}

fn congestion(all: usize, ended: usize, now: u64) -> Congestion {
    let estimate = ServiceEstimate {
        slots: SLOTS as f64,
        running: all.min(SLOTS) as f64,
        queued: all.saturating_sub(SLOTS) as f64,
        rate: ended as f64 * 1_000.0 / now.clamp(1, 1_000) as f64,
        age: Duration::from_millis(REPORT_INTERVAL_MS),
    };
    let slower = SLOWDOWN_MS as f64 * estimate.utilization().min(1.0);
    Congestion::new(&estimate, Duration::from_secs_f64(slower / 1_000.0))
}

fn uniform(_: u64, _: &mut Draws) -> Kind {
    (0, 0)
}

/// Number of programs that full engines complete during the burst.
fn max_in_time() -> f64 {
    PROGRAMS_PER_S * (BURST_MS.1 - BURST_MS.0) as f64 / 1_000.0
}

#[test]
fn in_a_burst_of_twice_the_capacity_the_engines_end_as_many_programs_in_time_as_they_can() {
    for gateways in [3, 24] {
        let scenario = Scenario {
            gateways,
            ..DOUBLE_LOAD
        };
        let without = simulate(
            Scenario {
                enforced: false,
                ..scenario
            },
            uniform,
        )
        .in_time(BURST_MS);
        let with = simulate(scenario, uniform).in_time(BURST_MS);

        println!(
            "{gateways} gateways: {with} of {}, {without} without",
            max_in_time()
        );
        assert!(with >= 0.9 * max_in_time(), "{with} of {}", max_in_time());
        assert!(with >= 5.0 * without, "{with} against {without}");
    }
}

#[test]
fn all_programs_are_admitted_again_within_a_program_duration_after_the_burst() {
    for gateways in [3, 24] {
        let simulation = simulate(
            Scenario {
                gateways,
                ..DOUBLE_LOAD
            },
            uniform,
        );
        let open = (BURST_MS.1 + IDLE_MS * 3 / 2, END_MS);

        let share = simulation.in_time(open) / simulation.count(open, |_| true);
        assert!(share >= 0.95, "{share} at {gateways} gateways");
    }
}

#[test]
fn the_admitted_share_does_not_oscillate() {
    for gateways in [3, 24] {
        let simulation = simulate(
            Scenario {
                gateways,
                ..DOUBLE_LOAD
            },
            uniform,
        );
        let settled = BURST_MS.0 + 3_000..BURST_MS.1;
        let shares = simulation
            .admitted
            .iter()
            .filter(|(at, _)| settled.contains(at));

        for (at, share) in shares {
            assert!((0.1..0.9).contains(share), "{share} at {at} ms");
        }
    }
}

#[test]
fn at_seven_tenths_of_the_capacity_nobody_is_refused() {
    for gateways in [3, 24] {
        let calm = Scenario {
            gateways,
            burst: CALM_LOAD,
            ..DOUBLE_LOAD
        };

        let simulation = simulate(calm, uniform);

        assert!(simulation.retries.is_empty());
        assert!(simulation.admitted.iter().all(|(_, share)| *share == 1.0));
    }
}

#[test]
fn a_lower_rank_is_refused_first_and_still_served() {
    let simulation = simulate(DOUBLE_LOAD, |_, draws| {
        (if draws.next() < 0.5 { 0 } else { 2 }, 0)
    });
    let share = |rank| simulation.share(BURST_MS, |one| one.kind.0 == rank);
    let (first, last, all) = (share(0), share(2), simulation.share(BURST_MS, |_| true));

    println!("first rank {first:.2}, last {last:.2}, all {all:.2}");
    assert!(first >= 1.5 * last, "{first} against {last}");
    assert!(last >= all / 4.0, "{last} of {all}");
}

#[test]
fn a_flooding_workspace_is_refused_before_others() {
    let flood = |now, draws: &mut Draws| {
        let floods = (BURST_MS.0..BURST_MS.1).contains(&now) && draws.next() < 0.6;
        (0, if floods { 0 } else { 1 + draws.below(20) })
    };
    let simulation = simulate(DOUBLE_LOAD, flood);
    let own = simulation.share(BURST_MS, |one| one.kind.1 == 0);
    let others = simulation.share(BURST_MS, |one| one.kind.1 != 0);
    let all = simulation.share(BURST_MS, |_| true);

    println!("the one that floods {own:.2}, others {others:.2}, all {all:.2}");
    assert!(others >= 1.5 * own, "{others} against {own}");
    assert!(own >= all / 4.0, "{own} of {all}");
}

/// Returns a gateway for which a service is far beyond its capacity since `at`.
fn overloaded(at: Time) -> (OverloadControl, LoadShedder) {
    let (mut overload, mut shed) = (OverloadControl::default(), LoadShedder::default());
    let service: Arc<str> = "engines".into();
    for number in 0..100 {
        let name: Arc<str> = format!("before{number}").into();
        let _ = overload.admit(at, &mut shed, &arrival(&name, &service), 0.0);
    }
    for step in 1..=10 {
        let now = at + Duration::from_millis(step * OBSERVE_INTERVAL_MS);
        overload.observe(now, &service, Some(congestion(4 * SLOTS, 400, 1_000)));
    }
    (overload, shed)
}

fn arrival<'a>(program: &'a Arc<str>, service: &'a Arc<str>) -> TurnArrival<'a> {
    TurnArrival {
        program,
        first: true,
        turns_linked: true,
        service,
        rank: 0,
        workspace: None,
        remaining: Some(Duration::from_millis(IDLE_MS * 3 / 2)),
        patience: Duration::from_secs(3),
    }
}

#[test]
fn programs_that_have_begun_continue_at_any_load() {
    let (mut overload, mut shed) = overloaded(Time::default());
    let now = Time::from_millis(1_100);
    let service: Arc<str> = "engines".into();
    let (known, new): (Arc<str>, Arc<str>) = ("before7".into(), "new".into());
    let later = TurnArrival {
        first: false,
        ..arrival(&new, &service)
    };
    let unlinked = TurnArrival {
        turns_linked: false,
        ..arrival(&new, &service)
    };

    let refused = overload.admit(now, &mut shed, &arrival(&new, &service), 0.0);
    let known_again = overload.admit(now, &mut shed, &arrival(&known, &service), 0.0);
    let unknown = overload.admit(now, &mut shed, &unlinked, 0.0);
    let continued = overload.admit(now, &mut shed, &later, 0.0);

    assert!(matches!(refused, Err(ProgramRefusal::Service(_))));
    assert!(known_again.is_ok() && continued.is_ok());
    assert!(unknown.is_ok(), "it may be a later turn of a program");
}

#[test]
fn no_program_is_refused_for_an_unknown_or_outdated_load() {
    let service: Arc<str> = "engines".into();
    let (one, other): (Arc<str>, Arc<str>) = ("one".into(), "other".into());
    let now = Time::from_millis(1_100);
    let (mut lost, mut shed) = overloaded(Time::default());
    lost.observe(now, &service, None);
    let after_loss = lost.admit(now, &mut shed, &arrival(&one, &service), 0.0);

    let (mut old, mut shed) = overloaded(Time::default());
    let much_later = Time::from_millis(2_500);
    let after_silence = old.admit(much_later, &mut shed, &arrival(&other, &service), 0.0);

    assert!(after_loss.is_ok() && after_silence.is_ok());
}

#[test]
fn a_gateway_that_has_just_started_admits_all() {
    let (mut overload, mut shed) = (OverloadControl::default(), LoadShedder::default());
    let service: Arc<str> = "engines".into();
    let (first, second): (Arc<str>, Arc<str>) = ("first".into(), "second".into());
    let _ = overload.admit(Time::default(), &mut shed, &arrival(&first, &service), 0.0);
    let now = Time::from_millis(500);
    overload.observe(now, &service, Some(congestion(4 * SLOTS, 400, 1_000)));

    let admitted = overload.admit(now, &mut shed, &arrival(&second, &service), 0.0);

    assert!(admitted.is_ok());
}

#[test]
fn a_late_gateway_asks_callers_to_retry_elsewhere_immediately() {
    let (mut overload, mut shed) = (OverloadControl::default(), LoadShedder::default());
    let service: Arc<str> = "engines".into();
    let new: Arc<str> = "new".into();
    (0..100).for_each(|_| shed.observe_timer(Duration::from_secs(1)));

    let refused = overload.admit(Time::default(), &mut shed, &arrival(&new, &service), 0.5);

    let Err(ProgramRefusal::Gateway(after)) = refused else {
        panic!("{refused:?}");
    };
    assert!(after <= Duration::from_millis(100));
}

/// Engines slow down before all of their slots are taken. Time that programs lose
/// while most slots are free is not caused by a lack of capacity: admitting fewer
/// programs would not make them faster.
#[test]
fn busy_engines_are_overloaded_by_the_time_lost_and_idle_ones_are_not() {
    let service: Arc<str> = "engines".into();
    let cases = [(0.9, 1, true), (0.9, 10, false), (0.3, 1, false)];
    for (utilization, slack, refuses) in cases {
        let slow = Congestion {
            delay: Duration::from_millis(400),
            utilization,
            drain: Duration::from_millis(600),
        };
        let (mut overload, mut shed) = (OverloadControl::default(), LoadShedder::default());
        for number in 0..100 {
            let name: Arc<str> = number.to_string().into();
            let first = TurnArrival {
                remaining: Some(Duration::from_secs(slack)),
                ..arrival(&name, &service)
            };
            let _ = overload.admit(Time::default(), &mut shed, &first, 0.0);
        }

        let now = Time::from_millis(500);
        let (state, _) = overload.observe(now, &service, Some(slow)).expect("known");

        assert_eq!(state.overloaded, refuses, "{state:?}");
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_refused_caller_is_asked_to_wait_a_third_of_its_time_at_most(
        remaining in 0_u64..20_000,
        patience in 0_u64..20_000,
        ended in 0_usize..1_000,
        draw in 0.0..0.9,
    ) {
        let (mut overload, mut shed) = overloaded(Time::default());
        let now = Time::from_millis(1_100);
        let service: Arc<str> = "engines".into();
        overload.observe(now, &service, Some(congestion(4 * SLOTS, ended, 1_000)));
        let new: Arc<str> = "new".into();
        let tight = TurnArrival {
            remaining: Some(Duration::from_millis(remaining)),
            patience: Duration::from_millis(patience),
            ..arrival(&new, &service)
        };

        if let Err(ProgramRefusal::Service(after)) = overload.admit(now, &mut shed, &tight, draw) {
            prop_assert!(after <= Duration::from_millis(remaining.min(patience)) / 3);
            prop_assert!(after <= Duration::from_secs(2));
        }
    }
}
