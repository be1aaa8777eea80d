//! How many requests a gateway has at the servers of a service at once, where
//! they refuse what they have no room for.
//!
//! The gateways that share a service know nothing of each other here. Each one
//! takes back a part of what it sends when a server refuses, and adds a little
//! with each answer, so that their shares come to be alike and their sum is
//! what the servers take. A service whose servers refuse nothing has no limit.

use std::time::Duration;

use crate::server::Outcome;
use crate::time::Time;

/// Part of the limit that is kept after a refusal.
const KEPT: f64 = 0.9;
/// What is added to the limit while as many requests as it holds are answered,
/// and after which wait of its oldest request a gateway adds twice as much: one
/// that waits longer than others gets a larger share.
const STEP: f64 = 0.1;
const STEP_WAIT: Duration = Duration::from_millis(100);
/// Least limit: a gateway that sends nothing would not hear of free places.
const LEAST: f64 = 1.0;
/// How long a limit lasts after the last refusal, if nothing waits.
const LASTS: Duration = Duration::from_secs(2);
/// Span of time over which the rate of answers is the mean.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Answers and time from which on their rate is known.
const RATE_ANSWERS: u32 = 4;
const RATE_AFTER: Duration = Duration::from_millis(200);

/// What a gateway has at the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Concurrency {
    running: u32,
    limit: Option<Limit>,
}

#[derive(Clone, Debug)]
struct Limit {
    /// Requests at once.
    value: f64,
    /// The last refusal that lowered it; requests sent before it say nothing
    /// new.
    lowered: Option<Time>,
    /// The last refusal.
    refused: Time,
    rate: Rate,
}

/// Counts answers from the time on when they were first limited: before, their
/// rate was that of the callers.
#[derive(Clone, Debug)]
struct Rate {
    since: Time,
    counted: Time,
    recent: f64,
    answers: u32,
}

impl Rate {
    fn new(now: Time) -> Self {
        Self {
            since: now,
            counted: now,
            recent: 0.0,
            answers: 0,
        }
    }

    fn left(&self, now: Time) -> f64 {
        let spans = now.since(self.counted).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.recent * (-spans).exp()
    }

    fn count(&mut self, now: Time) {
        self.recent = self.left(now) + 1.0;
        self.counted = now;
        self.answers = self.answers.saturating_add(1);
    }

    fn value(&self, now: Time) -> Option<f64> {
        let age = now.since(self.since);
        if age < RATE_AFTER || self.answers < RATE_ANSWERS {
            return None;
        }
        let span = RATE_SPAN.as_secs_f64();
        let seen = span * (1.0 - (-age.as_secs_f64() / span).exp());
        Some(self.left(now) / seen)
    }
}

impl Concurrency {
    /// Returns the requests under way.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many requests may be under way; `None` if there is no limit.
    pub fn limit(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.value)
    }

    /// Returns whether one more request may go to a server, where `lost` of those
    /// under way are at servers that do not answer. These take no room: the
    /// others would wait for a server that died until callers give up.
    pub fn has_room(&self, lost: u32) -> bool {
        let running = f64::from(self.running.saturating_sub(lost));
        self.limit
            .as_ref()
            .is_none_or(|limit| running + 1.0 <= limit.value)
    }

    /// Returns how many requests are answered a second; `None` while that is
    /// not limited, or not known yet.
    pub fn rate(&self, now: Time) -> Option<f64> {
        self.limit.as_ref()?.rate.value(now)
    }

    /// Notes that a request goes to a server.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Notes how a request ended that was sent at `sent`, where the servers have
    /// places for `places` requests of all gateways, and the oldest request that
    /// waits here has done so for `wait`.
    pub fn end(&mut self, now: Time, sent: Time, outcome: Outcome, places: u32, wait: Duration) {
        match outcome {
            Outcome::Full => self.lower(now, sent, places),
            Outcome::Answered | Outcome::Failed => self.raise(now, places, wait),
            _ => {}
        }
        self.running = self.running.saturating_sub(1);
    }

    fn lower(&mut self, now: Time, sent: Time, places: u32) {
        let before = f64::from(self.running.min(places));
        let limit = self.limit.get_or_insert_with(|| Limit {
            value: before,
            lowered: None,
            refused: now,
            rate: Rate::new(now),
        });
        limit.refused = now;
        if limit.lowered.is_none_or(|lowered| sent > lowered) {
            limit.value = (limit.value * KEPT).max(LEAST);
            limit.lowered = Some(now);
        }
    }

    fn raise(&mut self, now: Time, places: u32, wait: Duration) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        limit.rate.count(now);
        // Answers to less than the limit holds do not say that more fits.
        if f64::from(self.running) + 1.0 > limit.value {
            let most = f64::from(places).max(LEAST);
            let step = STEP * (1.0 + wait.as_secs_f64() / STEP_WAIT.as_secs_f64());
            limit.value = (limit.value + step / limit.value).min(most);
        }
    }

    /// Lifts the limit if nothing waits and no server refused for long.
    pub fn relax(&mut self, now: Time) {
        let over = |limit: &Limit| now.since(limit.refused) > LASTS;
        if self.has_room(0) && self.limit.as_ref().is_some_and(over) {
            self.limit = None;
        }
    }
}
