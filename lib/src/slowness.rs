//! A server that is slower than the others of its service, by its answers.

use std::time::Duration;

use crate::time::Time;

/// Weight of the newest answer: three slow ones in a row count most.
const NEWEST: f64 = 0.3;
/// Age at which half of it is forgotten, so that a server that has recovered
/// is tried again.
const FORGET: Duration = Duration::from_secs(2);
/// How much longer than expected the answers of a server may take that is like
/// the others: what else it reads at the time differs as much.
const USUAL: f64 = 2.0;
/// Bounds of one answer's time against the expected one.
const RANGE: (f64, f64) = (0.5, 8.0);

/// How many times as long as expected a server takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    /// Binary logarithm of it.
    log: f64,
    at: Option<Time>,
}

impl Slowness {
    /// Takes the time of an answer, against the expected one in ms.
    pub fn observe(&mut self, now: Time, expected: f64, took: Duration) {
        let ratio = took.as_secs_f64() * 1_000.0 / expected.max(1.0);
        let log = ratio.clamp(RANGE.0, RANGE.1).log2();
        let known = self.faded(now);
        self.log = known + (log - known) * NEWEST;
        self.at = Some(now);
    }

    /// Returns by how many times it takes longer than servers do that are
    /// merely busy, 1 for those.
    pub fn factor(&self, now: Time) -> f64 {
        (self.faded(now).exp2() / USUAL).max(1.0)
    }

    fn faded(&self, now: Time) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let halves = now.since(at).as_secs_f64() / FORGET.as_secs_f64();
        self.log * (-halves).exp2()
    }
}
