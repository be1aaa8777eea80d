//! Simulates a burst at engines: 1.6 times as many programs as the engines have
//! slots for, for six seconds. The figures come from the requirements: four turns
//! of 0.3 s with pauses as long between them, and a time limit of 1.4 times the
//! total plus 0.25 s.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetferry_lib::urgency::QUEUE_RANKS;
use limpetferry_lib::urgency::engine_rank;
use limpetferry_lib::urgency::queue_rank;

/// Requests that the engines run at once.
const SLOTS: usize = 40;
/// Duration of a turn, and of the pause between two turns.
const TURN_MS: u64 = 300;
/// Turns of a program.
const TURNS: u64 = 4;
/// Duration of a program that never waits.
const IDLE_MS: u64 = TURN_MS * (2 * TURNS - 1);
/// Time limit of a program.
const TIME_LIMIT_MS: u64 = IDLE_MS * 14 / 10 + 250;
/// Time between two programs in the burst and after it; the engines can serve one
/// program every 30 ms.
const BURST_INTERVAL_US: u64 = 18_700;
const QUIET_INTERVAL_US: u64 = 45_000;
const BURST_MS: u64 = 6_000;
const END_MS: u64 = 20_000;

/// Simulates the burst, and returns the percentages of programs in time among
/// those that began during the burst and among those that began after it.
fn simulate(rank: impl Fn(Duration) -> u8) -> (usize, usize) {
    let started: Vec<u64> = arrival_times();
    let mut waiting: BTreeMap<(u8, u64, usize), u64> = BTreeMap::new();
    let mut running: BTreeMap<(u64, usize), u64> = BTreeMap::new();
    let mut scheduled: BTreeMap<(u64, usize), u64> = BTreeMap::new();
    scheduled.extend(started.iter().enumerate().map(|(id, &at)| ((at, id), 0)));
    let mut in_time = vec![false; started.len()];
    for now in 0..END_MS + 10 * IDLE_MS {
        while let Some((&(at, id), &turn)) = running.first_key_value()
            && at <= now
        {
            running.pop_first();
            if turn + 1 < TURNS {
                scheduled.insert((now + TURN_MS, id), turn + 1);
            } else {
                in_time[id] = now <= started[id] + TIME_LIMIT_MS;
            }
        }
        while let Some((&(at, id), &turn)) = scheduled.first_key_value()
            && at <= now
        {
            scheduled.pop_first();
            let left = Duration::from_millis((started[id] + TIME_LIMIT_MS).saturating_sub(now));
            waiting.insert((rank(left), now, id), turn);
        }
        while running.len() < SLOTS
            && let Some(((_, _, id), turn)) = waiting.pop_first()
        {
            running.insert((now + TURN_MS, id), turn);
        }
    }
    let share = |of: &dyn Fn(u64) -> bool| {
        let selected: Vec<bool> = started
            .iter()
            .zip(&in_time)
            .filter(|(at, _)| of(**at))
            .map(|(_, good)| *good)
            .collect();
        selected.iter().filter(|good| **good).count() * 100 / selected.len()
    };
    (share(&|at| at < BURST_MS), share(&|at| at >= BURST_MS))
}

fn arrival_times() -> Vec<u64> {
    let mut at = 0;
    let mut started = Vec::new();
    while at < END_MS * 1_000 {
        started.push(at / 1_000);
        at += if at < BURST_MS * 1_000 {
            BURST_INTERVAL_US
        } else {
            QUIET_INTERVAL_US
        };
    }
    started
}

#[test]
fn programs_after_a_burst_are_in_time_if_late_ones_are_served_last() {
    let (burst, after) = simulate(|left| engine_rank(0, Some(left)));
    let (burst_alike, after_alike) = simulate(|_| 0);

    println!("in the burst: {burst} of 100, {burst_alike} without ranks");
    println!("after it: {after} of 100, {after_alike} without ranks");
    assert!(after >= after_alike + 10, "{after} against {after_alike}");
    assert!(burst >= burst_alike, "{burst} against {burst_alike}");
}

#[test]
fn a_late_program_comes_after_all_that_are_in_time_and_priority_decides_among_each() {
    let left = Some(Duration::from_millis(1));
    let over = Some(Duration::ZERO);
    let order = [
        engine_rank(0, left),
        engine_rank(1, left),
        engine_rank(9, left),
        engine_rank(0, over),
        engine_rank(1, over),
        engine_rank(9, over),
    ];
    assert!(order.is_sorted_by(|a, b| a < b), "{order:?}");
    assert!(order[5] <= 9, "ranks end at 9");
}

#[test]
fn a_request_of_no_program_is_in_time() {
    assert_eq!(engine_rank(1, None), engine_rank(1, Some(Duration::MAX)));
}

#[test]
fn an_urgent_call_of_a_late_program_waits_behind_no_less_urgent_one() {
    let late = Some(Duration::ZERO);
    let in_time = Some(Duration::from_secs(1));
    let ranks = [
        queue_rank(0, in_time),
        queue_rank(0, late),
        queue_rank(1, None),
        queue_rank(1, late),
        queue_rank(2, in_time),
        queue_rank(200, late),
    ];

    assert!(ranks.is_sorted_by(|before, after| before < after));
    assert!(ranks.iter().all(|&rank| rank < QUEUE_RANKS));
}
