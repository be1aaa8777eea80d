//! Outlier detection: ejects servers that fail, drop connections or stop
//! responding while the others of their service answer.
//!
//! A server that fails immediately is never busy, so it would attract most of
//! the work, and it may still report itself as healthy. Therefore only its
//! answers are judged. An ejected server is readmitted after a while, but gets
//! one request at a time until one is answered successfully.

use std::time::Duration;

use crate::time::Time;

/// Weight of the newest answer in the failure rate.
const RATE_WEIGHT: f64 = 0.25;
/// Failure rate above which a server is ejected; reached by two consecutive
/// failures. Some services fail one in a hundred requests in normal operation.
const EJECTION_RATE: f64 = 0.4;
/// Failure rate below which earlier ejections no longer count; reached by four
/// successful answers.
const RESET_RATE: f64 = 0.12;
/// Duration of the first ejection; doubled for each consecutive one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection, and so the longest time to notice that a
/// server has recovered.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// A server is ejected if it has not responded for this multiple of the mean
/// answer time plus `MIN_SILENCE`.
const SILENCE_FACTOR: f64 = 5.0;
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Returns how long a server may fail to respond before it counts as an
/// outlier; `mean_answer` is the mean time of answers.
pub fn silence(mean_answer: Duration) -> Duration {
    MIN_SILENCE + mean_answer.mul_f64(SILENCE_FACTOR)
}

/// Health of a server, judging by its recent answers to one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    ejections: u32,
    ejected_until: Option<Time>,
    /// When the oldest request was sent since the server last responded.
    unanswered_since: Option<Time>,
}

impl Health {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that the server responded.
    pub fn record_response(&mut self) {
        self.unanswered_since = None;
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, now: Time, failed: bool) {
        let value = f64::from(u8::from(failed));
        self.failure_rate += (value - self.failure_rate) * RATE_WEIGHT;
        if self.failure_rate < RESET_RATE {
            self.ejections = 0;
        }
        if failed && self.failure_rate > EJECTION_RATE {
            let duration = FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
            self.ejected_until = Some(now + duration.min(MAX_EJECTION));
            self.ejections += 1;
        }
    }

    /// Records that a request ended without an answer while the server was not
    /// responding. One such request is enough to eject the server, because it
    /// used up most of its caller's time.
    pub fn record_silence(&mut self, now: Time) {
        self.failure_rate = self.failure_rate.max(EJECTION_RATE);
        self.record_outcome(now, true);
    }

    /// Returns whether the server has not responded for longer than answers
    /// take; `mean_answer` is their mean time.
    pub fn is_silent(&self, now: Time, mean_answer: Duration) -> bool {
        self.unanswered_since
            .is_some_and(|at| now.since(at) > silence(mean_answer))
    }

    /// Returns whether the server is ejected, with `own` requests of this process
    /// in flight there.
    pub fn is_ejected(&self, now: Time, own: u32, mean_answer: Duration) -> bool {
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        let trial_running = self.failure_rate > EJECTION_RATE && own > 0;
        ejected || trial_running || self.is_silent(now, mean_answer)
    }
}
