//! Budgets and histories of turns, over random interleavings of late answers,
//! lost links, power cuts, wiped disks and changes of the list of keepers.

mod turn_world;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use turn_world::Action;
use turn_world::TurnWorld;

/// Actions of one run.
const STEPS: usize = 500;
/// Runs in CI; a longer run sets `LIMPETFERRY_RUNS`.
const RUNS: u32 = 400;

fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn action() -> impl Strategy<Value = Action> {
    let n = any::<u16>();
    prop_oneof![
        8 => (n, any::<u16>()).prop_map(|(program, most)| Action::Start(program, most)),
        60 => n.prop_map(Action::Deliver),
        30 => n.prop_map(Action::Sync),
        10 => Just(Action::Ask),
        18 => n.prop_map(Action::Emit),
        10 => n.prop_map(Action::End),
        2 => n.prop_map(Action::Abandon),
        2 => n.prop_map(Action::Kill),
        2 => n.prop_map(Action::PowerCut),
        2 => n.prop_map(Action::Wipe),
        12 => n.prop_map(Action::Restart),
        20 => (n, any::<u16>()).prop_map(|(keeper, from)| Action::Copy(keeper, from)),
        1 => Just(Action::Join),
        1 => n.prop_map(Action::Leave),
        6 => n.prop_map(Action::Learn),
    ]
}

/// What happens while turns of one program begin at once and nothing fails:
/// the pattern of sub-agents that start together near the end of a budget.
fn crowd() -> impl Strategy<Value = Action> {
    let n = any::<u16>();
    prop_oneof![
        2 => (n, any::<u16>()).prop_map(|(count, most)| Action::Start(count, most)),
        80 => n.prop_map(Action::DeliverOne),
        12 => n.prop_map(Action::Sync),
        12 => n.prop_map(Action::Emit),
    ]
}

/// What happens while keepers fail in the middle of the same.
fn failing_crowd() -> impl Strategy<Value = Action> {
    let n = any::<u16>();
    prop_oneof![
        40 => crowd(),
        1 => n.prop_map(Action::PowerCut),
        2 => n.prop_map(Action::Restart),
        2 => Just(Action::Ask),
    ]
}

fn check(faults: usize, keepers: usize) {
    let counts = run(faults, keepers, RUNS, STEPS, action());
    assert!(counts.ended > 1_000 && counts.spent > 100, "{counts:?}");
}

fn run(
    faults: usize,
    keepers: usize,
    runs: u32,
    steps: usize,
    actions: impl Strategy<Value = Action>,
) -> turn_world::Counts {
    let seed = number("LIMPETFERRY_SEED", 1);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: number("LIMPETFERRY_RUNS", u64::from(runs)) as u32,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = number("LIMPETFERRY_STEPS", steps as u64) as usize;
    let counts = std::cell::RefCell::new(turn_world::Counts::default());

    let result = runner.run(&prop::collection::vec(actions, steps), |actions| {
        let mut world = TurnWorld::new(faults, keepers);
        for action in &actions {
            world.step(*action).map_err(TestCaseError::fail)?;
        }
        counts.borrow_mut().add(&world.counts);
        Ok(())
    });

    println!(
        "seed={seed} faults={faults} keepers={keepers} {:?}",
        counts.borrow()
    );
    if let Err(error) = result {
        panic!("{error}");
    }
    counts.into_inner()
}

#[test]
fn turns_that_begin_at_once_stay_within_the_budget() {
    let counts = run(1, 3, 6_000, 150, crowd());

    assert!(counts.handed > 2_000, "{counts:?}");
}

#[test]
fn turns_that_begin_at_once_stay_within_the_budget_over_power_cuts() {
    let counts = run(1, 3, 6_000, 150, failing_crowd());

    assert!(counts.handed > 2_000, "{counts:?}");
}

#[test]
fn budgets_and_histories_hold_with_three_keepers() {
    check(1, 3);
}

#[test]
fn budgets_and_histories_hold_with_four_keepers() {
    check(1, 4);
}

#[test]
fn budgets_and_histories_hold_with_two_losses_of_seven() {
    check(2, 7);
}
