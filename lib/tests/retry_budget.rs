//! Retries of requests when one server of ten fails all requests, and when all
//! servers do.

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

/// Largest number of servers at which a request is tried.
const MAX_TRIES: u64 = 3;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests, and returns how often one was retried, and how many failed for
/// lack of budget. `fails` decides by the number of a try whether it fails.
fn simulate(requests: u64, fails: impl Fn(u64) -> bool) -> (u64, u64) {
    let mut budget = RetryBudget::default();
    let service: Arc<str> = "tools".into();
    let (mut tries, mut retries, mut out_of_budget) = (0, 0, 0);
    for number in 0..requests {
        let now = Time::default() + INTERVAL * number as u32;
        for left in (0..MAX_TRIES).rev() {
            tries += 1;
            if !fails(tries) {
                budget.earn(now, &service);
                break;
            }
            if left == 0 {
                break;
            }
            if !budget.take(now, &service) {
                out_of_budget += 1;
                break;
            }
            retries += 1;
        }
    }
    (retries, out_of_budget)
}

fn spend(budget: &mut RetryBudget, service: &Arc<str>) {
    for _ in 0..100 {
        let _ = budget.take(Time::default(), service);
    }
}

#[test]
fn with_one_failing_server_of_ten_all_its_requests_are_retried() {
    let (retries, out_of_budget) = simulate(2_000, |number| number % 10 == 0);

    assert!(retries >= 200);
    assert_eq!(out_of_budget, 0);
}

#[test]
fn in_a_brown_out_of_all_servers_few_requests_are_retried() {
    let requests = 2_000;

    let (retries, _) = simulate(requests, |_| true);

    assert!(retries * 5 < requests, "{retries} of {requests}");
}

#[test]
fn an_idle_gateway_can_retry_after_a_brown_out() {
    let mut budget = RetryBudget::default();
    let service: Arc<str> = "tools".into();
    spend(&mut budget, &service);

    let spent = budget.take(Time::from_millis(100), &service);
    let later = budget.take(Time::from_millis(5_000), &service);

    assert!(!spent);
    assert!(later);
}

#[test]
fn one_service_does_not_spend_the_budget_of_another() {
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
    fn retries_are_bounded_by_answers_and_time(steps in vec(any::<(bool, u8)>(), 1..500)) {
        let mut budget = RetryBudget::default();
        let service: Arc<str> = "tools".into();
        let mut now = Time::default();
        let (mut answers, mut retries) = (0, 0);
        for (answer, wait) in steps {
            now = now + Duration::from_millis(wait.into());
            if answer {
                answers += 1;
                budget.earn(now, &service);
            } else if budget.take(now, &service) {
                retries += 1;
            }
        }

        let most = 20.0 + 0.2 * f64::from(answers) + now.as_secs_f64();
        prop_assert!(f64::from(retries) <= most, "{retries} of {most}");
    }
}
