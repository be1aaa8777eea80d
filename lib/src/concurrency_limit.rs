//! Limit of the concurrent requests that a gateway sends to the servers of a
//! service, where the servers refuse requests for lack of room.
//!
//! Gateways that share a service don't coordinate their limits. Each one lowers
//! its limit by a factor when a server refuses, and raises it slightly with each
//! answer (additive increase, multiplicative decrease), so that the limits become
//! equal and their sum approaches what the servers accept. There is no limit
//! while the servers refuse nothing.

use std::time::Duration;

use crate::server::ServerOutcome;
use crate::time::Time;

/// Factor by which a refusal lowers the limit.
const DECREASE_FACTOR: f64 = 0.9;
/// Increase of the limit once as many requests as it allows are answered. It
/// doubles when the oldest request has waited for `INCREASE_WAIT`, so that a
/// gateway whose requests wait longer than those of others gets a larger share.
const INCREASE: f64 = 0.1;
const INCREASE_WAIT: Duration = Duration::from_millis(100);
/// Lower bound of the limit: a gateway that sends nothing would not notice that
/// there is room again.
const MIN_LIMIT: f64 = 1.0;
/// Time after the last refusal after which the limit is lifted, if nothing waits.
const LIMIT_RETENTION: Duration = Duration::from_secs(2);
/// Time constant of the average rate of answers.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Number of answers and time that are needed before the rate is known.
const RATE_MIN_ANSWERS: u32 = 4;
const RATE_MIN_AGE: Duration = Duration::from_millis(200);

/// The requests of a gateway at the servers of one service, and their limit.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimit {
    running: u32,
    limit: Option<Limit>,
}

#[derive(Clone, Debug)]
struct Limit {
    /// Largest number of concurrent requests.
    value: f64,
    /// When a refusal last lowered the limit; refusals of requests that were sent
    /// before then don't lower it again.
    lowered_at: Option<Time>,
    /// When a server last refused a request.
    refused_at: Time,
    rate: Rate,
}

/// Rate of answers since the limit was set; before that, the rate was determined
/// by the callers.
#[derive(Clone, Debug)]
struct Rate {
    since: Time,
    counted_at: Time,
    recent: f64,
    answers: u32,
}

impl Rate {
    fn new(now: Time) -> Self {
        Self {
            since: now,
            counted_at: now,
            recent: 0.0,
            answers: 0,
        }
    }

    fn decayed(&self, now: Time) -> f64 {
        let spans = now.since(self.counted_at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.recent * (-spans).exp()
    }

    fn count(&mut self, now: Time) {
        self.recent = self.decayed(now) + 1.0;
        self.counted_at = now;
        self.answers = self.answers.saturating_add(1);
    }

    fn value(&self, now: Time) -> Option<f64> {
        let age = now.since(self.since);
        if age < RATE_MIN_AGE || self.answers < RATE_MIN_ANSWERS {
            return None;
        }
        let span = RATE_WINDOW.as_secs_f64();
        let seen = span * (1.0 - (-age.as_secs_f64() / span).exp());
        Some(self.decayed(now) / seen)
    }
}

impl ConcurrencyLimit {
    /// Returns the number of requests under way.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many requests may be under way; `None` if there is no limit.
    pub fn limit(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.value)
    }

    /// Returns whether one more request may be sent, where `unresponsive` of those
    /// under way are at servers that do not answer. These don't count against the
    /// limit: otherwise requests to other servers would wait for a failed server
    /// until their callers give up.
    pub fn has_room(&self, unresponsive: u32) -> bool {
        let running = f64::from(self.running.saturating_sub(unresponsive));
        self.limit
            .as_ref()
            .is_none_or(|limit| running + 1.0 <= limit.value)
    }

    /// Returns the answers per second; `None` if there is no limit or the rate is
    /// not known yet.
    pub fn rate(&self, now: Time) -> Option<f64> {
        self.limit.as_ref()?.rate.value(now)
    }

    /// Counts a request that is sent to a server.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Records the outcome of a request that was sent at `sent`. `places` is how many
    /// requests of all gateways the servers hold, and `wait` how long the oldest
    /// queued request of this gateway has waited.
    pub fn end(
        &mut self,
        now: Time,
        sent: Time,
        outcome: ServerOutcome,
        places: u32,
        wait: Duration,
    ) {
        match outcome {
            ServerOutcome::Full => self.lower(now, sent, places),
            ServerOutcome::Answered | ServerOutcome::Failed => self.raise(now, places, wait),
            _ => {}
        }
        self.running = self.running.saturating_sub(1);
    }

    fn lower(&mut self, now: Time, sent: Time, places: u32) {
        let before = f64::from(self.running.min(places));
        let limit = self.limit.get_or_insert_with(|| Limit {
            value: before,
            lowered_at: None,
            refused_at: now,
            rate: Rate::new(now),
        });
        limit.refused_at = now;
        if limit.lowered_at.is_none_or(|lowered_at| sent > lowered_at) {
            limit.value = (limit.value * DECREASE_FACTOR).max(MIN_LIMIT);
            limit.lowered_at = Some(now);
        }
    }

    fn raise(&mut self, now: Time, places: u32, wait: Duration) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        limit.rate.count(now);
        // Answers below the limit are no evidence that a higher one fits.
        if f64::from(self.running) + 1.0 > limit.value {
            let most = f64::from(places).max(MIN_LIMIT);
            let step = INCREASE * (1.0 + wait.as_secs_f64() / INCREASE_WAIT.as_secs_f64());
            limit.value = (limit.value + step / limit.value).min(most);
        }
    }

    /// Lifts the limit if it leaves room and the last refusal is long ago.
    pub fn lift_if_idle(&mut self, now: Time) {
        let over = |limit: &Limit| now.since(limit.refused_at) > LIMIT_RETENTION;
        if self.has_room(0) && self.limit.as_ref().is_some_and(over) {
            self.limit = None;
        }
    }
}
