//! How many requests may be tried at a further server.
//!
//! A try at another server after a failure helps if one server fails, and
//! doubles the load if all do. So further tries are a share of the answers
//! that the service gave lately, and a few a second beyond it, so that a
//! gateway with little to do can try again too.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Further tries that each answer pays for: one server of ten that fails is
/// borne, with some to spare.
const EACH_ANSWER: f64 = 0.2;
/// Further tries a second that need no answers.
const LEAST_RATE: f64 = 0.5;
/// Most tries that are saved up: what one server of ten has under way when it
/// breaks.
const MOST_SAVED: f64 = 20.0;
/// How long a service is remembered that nothing was heard of.
const MEMORY: Duration = Duration::from_secs(60);

/// What one service's answers paid for.
#[derive(Clone, Copy, Debug)]
struct Saved {
    at: Time,
    tries: f64,
}

impl Saved {
    fn refill(&mut self, now: Time) {
        let earned = now.since(self.at).as_secs_f64() * LEAST_RATE;
        self.tries = (self.tries + earned).min(MOST_SAVED);
        self.at = now;
    }
}

/// The further tries that each service's requests may still take.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: HashMap<Arc<str>, Saved>,
}

impl RetryBudget {
    /// Notes that a server of the service answered a request.
    pub fn answered(&mut self, now: Time, service: &Arc<str>) {
        let saved = self.saved(now, service);
        saved.tries = (saved.tries + EACH_ANSWER).min(MOST_SAVED);
    }

    /// Takes a further try of a request; returns whether there was one left.
    pub fn take(&mut self, now: Time, service: &Arc<str>) -> bool {
        let saved = self.saved(now, service);
        let left = saved.tries >= 1.0;
        if left {
            saved.tries -= 1.0;
        }
        left
    }

    /// Returns what the service's requests may take. One that is new begins
    /// with all that can be saved: its first failures are those of servers
    /// that are about to come.
    fn saved(&mut self, now: Time, service: &Arc<str>) -> &mut Saved {
        if !self.services.contains_key(service) {
            self.services
                .retain(|_, saved| now.since(saved.at) < MEMORY);
        }
        let full = Saved {
            at: now,
            tries: MOST_SAVED,
        };
        let saved = self.services.entry(service.clone()).or_insert(full);
        saved.refill(now);
        saved
    }
}
