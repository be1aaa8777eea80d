//! Simulates a burst at an overloaded gateway: programs of seven turns, 1.6 times
//! as many as it has processor time for, like on a gateway with 0.09 of a core
//! beside others with 0.5. The figures come from the requirements: a turn costs
//! 3 ms with its lookups, and a program has 1.5 s of slack.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::load_shed::LoadShedder;

/// Turns of a program.
const TURNS: u32 = 7;
/// Processor time of a turn.
const TURN_US: u64 = 3_000;
/// Pause between a program's turns, for the engine and tools.
const PAUSE_US: u64 = 600_000;
/// Time that a program may take beyond its duration on an idle gateway.
const SLACK_US: u64 = 1_500_000;
/// Time between two programs, for 1.6 times the load that the processor can serve.
const ARRIVAL_US: u64 = TURN_US * TURNS as u64 * 10 / 16;
/// Length of the burst.
const BURST_US: u64 = 10_000_000;
/// Interval of the timers whose lateness is observed.
const TIMER_US: u64 = 50_000;

struct Turn {
    program: u64,
    number: u32,
    due: u64,
}

/// Simulates the burst, and returns how many programs were refused, in time and
/// late.
fn simulate(mut shed: Option<LoadShedder>) -> (u32, u32, u32) {
    let mut waiting: VecDeque<Turn> = VecDeque::new();
    let mut scheduled: Vec<Turn> = Vec::new();
    let mut next_timer = 0;
    let (mut now, mut number) = (0, 0);
    let (mut refused, mut good, mut late) = (0, 0, 0);
    let arrival = |program: u64| program * ARRIVAL_US;
    while now < BURST_US + 20_000_000 {
        while arrival(number) <= now && arrival(number) < BURST_US {
            waiting.push_back(Turn {
                program: number,
                number: 0,
                due: arrival(number),
            });
            number += 1;
        }
        scheduled.sort_by_key(|turn| turn.due);
        while scheduled.first().is_some_and(|turn| turn.due <= now) {
            waiting.push_back(scheduled.remove(0));
        }
        if next_timer <= now {
            // A timer waits behind all queued turns.
            let late = Duration::from_micros(waiting.len() as u64 * TURN_US);
            shed.iter_mut().for_each(|shed| shed.observe_timer(late));
            next_timer = now + TIMER_US;
        }
        let Some(turn) = waiting.pop_front() else {
            now += 100;
            continue;
        };
        let name: Arc<str> = turn.program.to_string().into();
        let draw = (turn.program as f64 * 0.618).fract();
        let admitted = shed
            .as_mut()
            .is_none_or(|shed| shed.admit(&name, turn.number == 0, draw).is_ok());
        if !admitted {
            refused += 1;
            now += TURN_US / 10;
            continue;
        }
        now += TURN_US;
        if turn.number + 1 < TURNS {
            scheduled.push(Turn {
                number: turn.number + 1,
                due: now + PAUSE_US,
                ..turn
            });
            continue;
        }
        let idle = u64::from(TURNS) * TURN_US + u64::from(TURNS - 1) * PAUSE_US;
        if now <= arrival(turn.program) + idle + SLACK_US {
            good += 1;
        } else {
            late += 1;
        }
    }
    (refused, good, late)
}

#[test]
fn a_gateway_that_refuses_first_turns_ends_more_programs_in_time() {
    let (_, good_without, late_without) = simulate(None);
    let (refused, good, late) = simulate(Some(LoadShedder::default()));

    println!("without: {good_without} in time, {late_without} late");
    println!("with: {good} in time, {late} late, {refused} refused");
    assert!(
        good * 10 > good_without * 13,
        "{good} against {good_without}"
    );
    assert!(late * 10 < good, "{late} of {good}");
}

#[test]
fn a_gateway_with_spare_capacity_refuses_nobody() {
    let mut shed = LoadShedder::default();
    (0..100).for_each(|_| shed.observe_timer(Duration::from_millis(20)));

    let admitted = shed.admit(&Arc::from("new"), true, 0.0);

    assert!(admitted.is_ok());
}

#[test]
fn slow_keeper_answers_cause_shedding_until_they_decay() {
    let mut shed = LoadShedder::default();
    let new: Arc<str> = Arc::from("new");
    (0..20).for_each(|_| shed.observe_answer(Duration::from_millis(300)));
    let during = shed.admit(&new, true, 0.5);

    (0..100).for_each(|_| shed.observe_timer(Duration::ZERO));
    let afterwards = shed.admit(&new, true, 0.0);

    assert!(during.is_err());
    assert!(afterwards.is_ok());
}

#[test]
fn a_program_that_has_begun_continues() {
    let mut shed = LoadShedder::default();
    let program: Arc<str> = Arc::from("begun");
    assert!(shed.admit(&program, true, 0.0).is_ok());
    (0..100).for_each(|_| shed.observe_timer(Duration::from_secs(1)));

    let begun = shed.admit(&program, true, 0.0);
    let other = shed.admit(&Arc::from("continued"), false, 0.0);
    let new = shed.admit(&Arc::from("new"), true, 0.0);

    assert!(begun.is_ok() && other.is_ok());
    assert!(new.is_err());
}
