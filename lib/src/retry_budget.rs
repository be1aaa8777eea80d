//! Retry budget: how many requests may be retried at another server.
//!
//! A retry at another server after a failure helps if one server fails, and
//! doubles the load if all of them do. Retries are therefore limited to a share
//! of the answers that the service gave recently. A small rate is granted in
//! addition, so that a gateway with few requests can retry too.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Retries that each answer pays for: enough for one failing server of ten, with
/// some margin.
const RETRIES_PER_ANSWER: f64 = 0.2;
/// Retries per second that are granted without answers.
const MIN_RETRIES_PER_S: f64 = 0.5;
/// Capacity of the budget: the requests that are under way at one server of ten
/// when it breaks.
const MAX_RETRIES: f64 = 20.0;
/// Time without requests after which the budget of a service is dropped.
const SERVICE_RETENTION: Duration = Duration::from_secs(60);

/// Token bucket of one service; each token pays for a retry.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    refilled_at: Time,
    retries: f64,
}

impl Bucket {
    fn refill(&mut self, now: Time) {
        let earned = now.since(self.refilled_at).as_secs_f64() * MIN_RETRIES_PER_S;
        self.retries = (self.retries + earned).min(MAX_RETRIES);
        self.refilled_at = now;
    }
}

/// The retries that are left to the requests of each service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: HashMap<Arc<str>, Bucket>,
}

impl RetryBudget {
    /// Adds to the budget of a service, as one of its servers answered a request.
    pub fn earn(&mut self, now: Time, service: &Arc<str>) {
        let bucket = self.bucket(now, service);
        bucket.retries = (bucket.retries + RETRIES_PER_ANSWER).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget of a service; returns whether any was left.
    pub fn take(&mut self, now: Time, service: &Arc<str>) -> bool {
        let bucket = self.bucket(now, service);
        let left = bucket.retries >= 1.0;
        if left {
            bucket.retries -= 1.0;
        }
        left
    }

    /// Returns the refilled bucket of a service. A new service starts with a full
    /// budget: its first failures are those of servers that are still starting.
    fn bucket(&mut self, now: Time, service: &Arc<str>) -> &mut Bucket {
        if !self.services.contains_key(service) {
            self.services
                .retain(|_, bucket| now.since(bucket.refilled_at) < SERVICE_RETENTION);
        }
        let full = Bucket {
            refilled_at: now,
            retries: MAX_RETRIES,
        };
        let bucket = self.services.entry(service.clone()).or_insert(full);
        bucket.refill(now);
        bucket
    }
}
