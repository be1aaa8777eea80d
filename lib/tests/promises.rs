//! Property tests of the system's guarantees under random interleavings of
//! messages and failures.

mod support;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use support::action::Action;
use support::action::action;
use support::world::World;
use support::world::call_pick;

/// Steps per run; `LIMPETFERRY_STEPS` overrides it.
const STEPS: usize = 400;
/// Runs in CI; `LIMPETFERRY_RUNS` overrides it for longer tests.
const RUNS: u32 = 150;

/// Limit of the attempts to shrink a failing run, as shrinking can take
/// minutes; `LIMPETFERRY_SHRINK` overrides it.
const MAX_SHRINK_ITERS: u64 = 300;

fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run(actions: &[Action]) -> Result<World, String> {
    let mut world = World::new();
    for action in actions {
        world.step(*action)?;
    }
    world.heal()?;
    Ok(world)
}

#[test]
fn promises_hold_over_random_interleavings() {
    let steps_of_run = number("LIMPETFERRY_STEPS", STEPS as u64) as usize;
    let seed = number("LIMPETFERRY_SEED", 1);
    let runs = number("LIMPETFERRY_RUNS", u64::from(RUNS)) as u32;
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: runs,
        failure_persistence: None,
        max_shrink_iters: number("LIMPETFERRY_SHRINK", MAX_SHRINK_ITERS) as u32,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = std::cell::Cell::new(0);
    let answers = std::cell::Cell::new(0);
    let refusals = std::cell::RefCell::new(std::collections::BTreeMap::new());

    let result = runner.run(&prop::collection::vec(action(), steps_of_run), |actions| {
        let world = run(&actions).map_err(TestCaseError::fail)?;
        steps.set(steps.get() + world.steps);
        answers.set(answers.get() + u64::from(world.callers.answers));
        for (code, count) in world.callers.refusals {
            *refusals.borrow_mut().entry(code).or_insert(0) += count;
        }
        Ok(())
    });

    println!(
        "seed={seed} runs={runs} steps={} answers={} refusals={:?}",
        steps.get(),
        answers.get(),
        refusals.borrow()
    );
    if let Err(error) = result {
        let text = error.to_string();
        let (report, input) = text.split_once("end of trace").unwrap_or((&text, ""));
        panic!("{report}{}", one_line(input));
    }
}

#[test]
fn an_undisturbed_world_answers_every_call() {
    let world = run(&[]).expect("no guarantee is violated");

    assert!(
        world
            .callers
            .refusals
            .keys()
            .all(|code| *code == "budget_spent"),
        "{:?}",
        world.callers.refusals
    );
    assert!(world.callers.answers > 20);
}

#[test]
fn an_hour_without_the_key_value_service_stops_no_whole_pair() {
    let mut world = World::new();
    // Lets the rebalancing of shards finish.
    world.run_without_faults(300);
    let before = world.callers.answers;
    let request_count = world.store.request_count;
    world.store.down = true;
    for second in 0..3_600_u16 {
        for action in [Action::Wait(699), Action::Call(call_pick(second))] {
            world.step(action).expect("no guarantee is violated");
        }
        world.run_without_faults(3);
    }
    let during = world.callers.answers - before;
    let requests_meanwhile = world.store.request_count - request_count;

    world.heal().expect("all calls end after the outage");

    assert!(during > 20, "{during} answers in the outage");
    assert_eq!(requests_meanwhile, 0, "nothing is written in steady state");
}

/// Joins the lines of proptest's minimal input, which has each number on a
/// line of its own.
fn one_line(text: &str) -> String {
    let words: Vec<&str> = text.split_whitespace().collect();
    words.join(" ")
}
