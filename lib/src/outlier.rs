//! Outlier detection: a server that fails, breaks off or falls silent while
//! the others of its service answer.
//!
//! A server that fails at once is never busy, so that it would draw most of the
//! work; its own account of its health may say that it is well. What counts is
//! what its answers were like. Whoever is left out returns after a while and
//! gets one request at a time until that one is answered well.

use std::time::Duration;

use crate::time::Time;

/// Weight of the newest answer in the rate of failures.
const NEWEST: f64 = 0.25;
/// Rate from which a server is left out: two failures in a row. Some services
/// answer one in a hundred with a failure of their own.
const MOST: f64 = 0.4;
/// Rate below which earlier times out are forgiven: four good answers.
const FORGIVEN: f64 = 0.12;
/// First time out; doubled for each one in a row.
const FIRST_OUT: Duration = Duration::from_millis(500);
/// Longest time out: a server that is well again is found within it.
const LONGEST_OUT: Duration = Duration::from_secs(4);
/// Silence, as part of what an answer takes on the mean, and beside that, from
/// which a server is left out.
const SILENT_TIMES: f64 = 5.0;
const SILENT: Duration = Duration::from_millis(300);

/// Returns how long a server is silent before it counts as an outlier, where
/// answers take `usual` on the mean.
pub fn silence(usual: Duration) -> Duration {
    SILENT + usual.mul_f64(SILENT_TIMES)
}

/// How a server's answers to one process were lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: f64,
    outs: u32,
    out_until: Option<Time>,
    /// When the oldest request was sent since the server was last heard of.
    unheard: Option<Time>,
}

impl Health {
    /// Notes that a request was sent.
    pub fn sent(&mut self, now: Time) {
        self.unheard.get_or_insert(now);
    }

    /// Notes that something came from the server.
    pub fn heard(&mut self) {
        self.unheard = None;
    }

    /// Takes how a request ended.
    pub fn observe(&mut self, now: Time, failed: bool) {
        let value = f64::from(u8::from(failed));
        self.failures += (value - self.failures) * NEWEST;
        if self.failures < FORGIVEN {
            self.outs = 0;
        }
        if failed && self.failures > MOST {
            let out = FIRST_OUT * 2_u32.pow(self.outs.min(8));
            self.out_until = Some(now + out.min(LONGEST_OUT));
            self.outs += 1;
        }
    }

    /// Takes that a request ended without an answer while the server was silent.
    /// It took the caller most of its time, so that one is enough to leave the
    /// server out.
    pub fn observe_silence(&mut self, now: Time) {
        self.failures = self.failures.max(MOST);
        self.observe(now, true);
    }

    /// Returns whether the server has been silent for longer than answers take,
    /// which is `usual` on the mean.
    pub fn is_silent(&self, now: Time, usual: Duration) -> bool {
        self.unheard
            .is_some_and(|at| now.since(at) > silence(usual))
    }

    /// Returns whether the server is to be left out, with `own` requests under
    /// way there.
    pub fn is_out(&self, now: Time, own: u32, usual: Duration) -> bool {
        let resting = self.out_until.is_some_and(|until| now < until);
        let tried = self.failures > MOST && own > 0;
        resting || tried || self.is_silent(now, usual)
    }
}
