//! How many requests end a second, and how fast their number grows, from counts
//! at two times.

use std::time::Duration;

/// Time in which a change of a rate is there by two thirds: a burst is seen
/// while it rises, and single requests are not taken for one.
const RATE_TIME: Duration = Duration::from_millis(400);
/// The same for growth: a burst is there within a second.
const GROWTH_TIME: Duration = Duration::from_millis(200);
/// Least time between two counts that say something of rates.
const LEAST_GAP: Duration = Duration::from_millis(20);

/// What one process has under way at a service, and has had since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests at its servers.
    pub running: u32,
    /// Requests that ended there since the process's start, modulo 2^32.
    pub ended: u32,
    /// Requests refused there for lack of room since then, modulo 2^32.
    pub shed: u32,
}

/// Changes a second, as means that forget quickly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestRates {
    /// Requests that end.
    pub rate: f64,
    /// Requests that are refused for lack of room.
    pub shed_rate: f64,
    /// Growth of the requests under way.
    pub growth: f64,
    known: bool,
}

impl RequestRates {
    /// Returns the rates after counts went from `before` to `counts` within `gap`.
    pub fn next(&self, before: &Counts, counts: &Counts, gap: Duration) -> Self {
        let gap = gap.max(LEAST_GAP).as_secs_f64();
        let weight = |time: Duration| 1.0 - (-gap / time.as_secs_f64()).exp();
        let rate = if self.known { weight(RATE_TIME) } else { 1.0 };
        let toward = |old: f64, new: f64, weight: f64| old + (new - old) * weight;
        let grown = f64::from(counts.running) - f64::from(before.running);
        Self {
            rate: toward(self.rate, since(before.ended, counts.ended) / gap, rate),
            shed_rate: toward(self.shed_rate, since(before.shed, counts.shed) / gap, rate),
            growth: toward(self.growth, grown / gap, weight(GROWTH_TIME)),
            known: true,
        }
    }

    /// Adds another process's flow.
    pub fn add(&mut self, other: &Self) {
        self.rate += other.rate;
        self.shed_rate += other.shed_rate;
        self.growth += other.growth;
    }

    /// Takes another process's flow away again.
    pub fn subtract(&mut self, other: &Self) {
        self.rate -= other.rate;
        self.shed_rate -= other.shed_rate;
        self.growth -= other.growth;
    }
}

/// Returns how far a count has gone; one that went back has not.
fn since(before: u32, now: u32) -> f64 {
    let gone = now.wrapping_sub(before);
    if gone > u32::MAX / 2 {
        return 0.0;
    }
    f64::from(gone)
}
