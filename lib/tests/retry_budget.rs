//! Failures at a service: one server of ten that breaks everything, and all of
//! them at once.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::retry_budget::RetryBudget;
use limpetferry_lib::time::Time;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Servers that a request is tried at, at most.
const MOST_TRIES: u64 = 3;
/// Time between two requests.
const EVERY: Duration = Duration::from_millis(20);

/// Sends requests, and returns how many were tried again and how many were not
/// for lack of budget. `fails` says whether a try fails.
fn play(requests: u64, fails: impl Fn(u64) -> bool) -> (u64, u64) {
    let mut budget = RetryBudget::default();
    let service: Arc<str> = "tools".into();
    let (mut tries, mut again, mut given_up) = (0, 0, 0);
    for number in 0..requests {
        let now = Time::default() + EVERY * number as u32;
        for left in (0..MOST_TRIES).rev() {
            tries += 1;
            if !fails(tries) {
                budget.answered(now, &service);
                break;
            }
            if left == 0 {
                break;
            }
            if !budget.take(now, &service) {
                given_up += 1;
                break;
            }
            again += 1;
        }
    }
    (again, given_up)
}

fn spend(budget: &mut RetryBudget, service: &Arc<str>) {
    for _ in 0..100 {
        let _ = budget.take(Time::default(), service);
    }
}

#[test]
fn with_one_failing_server_of_ten_all_its_requests_are_tried_again() {
    let (again, given_up) = play(2_000, |number| number % 10 == 0);

    assert!(again >= 200);
    assert_eq!(given_up, 0);
}

#[test]
fn in_a_brown_out_of_all_servers_few_requests_are_tried_again() {
    let requests = 2_000;

    let (again, _) = play(requests, |_| true);

    assert!(again * 5 < requests, "{again} of {requests}");
}

#[test]
fn a_quiet_gateway_can_try_again_after_a_brown_out() {
    let mut budget = RetryBudget::default();
    let service: Arc<str> = "tools".into();
    spend(&mut budget, &service);

    let spent = budget.take(Time::from_millis(100), &service);
    let later = budget.take(Time::from_millis(5_000), &service);

    assert!(!spent);
    assert!(later);
}

#[test]
fn one_service_does_not_spend_what_another_has() {
    let mut budget = RetryBudget::default();
    let (one, other): (Arc<str>, Arc<str>) = ("one".into(), "other".into());
    spend(&mut budget, &one);

    assert!(budget.take(Time::default(), &other));
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn further_tries_are_bounded_by_answers_and_time(steps in vec(any::<(bool, u8)>(), 1..500)) {
        let mut budget = RetryBudget::default();
        let service: Arc<str> = "tools".into();
        let mut now = Time::default();
        let (mut answers, mut again) = (0, 0);
        for (answer, wait) in steps {
            now = now + Duration::from_millis(wait.into());
            if answer {
                answers += 1;
                budget.answered(now, &service);
            } else if budget.take(now, &service) {
                again += 1;
            }
        }

        let most = 20.0 + 0.2 * f64::from(answers) + now.as_secs_f64();
        prop_assert!(f64::from(again) <= most, "{again} of {most}");
    }
}
