//! Rates at which requests end and at which their number grows, computed from
//! counters at two times.

use std::time::Duration;

/// Time constant of the averages of rates, within which a change takes effect by
/// two thirds: a burst is noticed while it rises, and single requests are not
/// taken for one.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Time constant of the average growth: a burst is noticed within a second.
const GROWTH_TIME_CONSTANT: Duration = Duration::from_millis(200);
/// Shortest time between two counts for which rates are meaningful.
const MIN_GAP: Duration = Duration::from_millis(20);

/// Requests of one process at a service: under way, and totals since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests at the service's servers.
    pub running: u32,
    /// Requests that ended there since the process started, modulo 2^32.
    pub ended: u32,
    /// Requests refused there for lack of room since then, modulo 2^32.
    pub shed: u32,
}

/// Changes per second, as exponential moving averages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestRates {
    /// Requests that end.
    pub rate: f64,
    /// Requests that are refused for lack of room.
    pub shed_rate: f64,
    /// Growth of the number of requests under way.
    pub growth: f64,
    known: bool,
}

impl RequestRates {
    /// Returns the rates after the counts changed from `before` to `counts` in `gap`.
    pub fn updated(&self, before: &RequestCounts, counts: &RequestCounts, gap: Duration) -> Self {
        let gap = gap.max(MIN_GAP).as_secs_f64();
        let weight = |time: Duration| 1.0 - (-gap / time.as_secs_f64()).exp();
        let rate = if self.known {
            weight(RATE_TIME_CONSTANT)
        } else {
            1.0
        };
        let average = |old: f64, new: f64, weight: f64| old + (new - old) * weight;
        let delta = f64::from(counts.running) - f64::from(before.running);
        Self {
            rate: average(
                self.rate,
                counter_increase(before.ended, counts.ended) / gap,
                rate,
            ),
            shed_rate: average(
                self.shed_rate,
                counter_increase(before.shed, counts.shed) / gap,
                rate,
            ),
            growth: average(self.growth, delta / gap, weight(GROWTH_TIME_CONSTANT)),
            known: true,
        }
    }

    /// Adds the rates of another process.
    pub fn add(&mut self, other: &Self) {
        self.rate += other.rate;
        self.shed_rate += other.shed_rate;
        self.growth += other.growth;
    }

    /// Subtracts the rates of another process.
    pub fn subtract(&mut self, other: &Self) {
        self.rate -= other.rate;
        self.shed_rate -= other.shed_rate;
        self.growth -= other.growth;
    }
}

/// Returns the increase of a counter; zero if the counter has decreased.
fn counter_increase(before: u32, now: u32) -> f64 {
    let increase = now.wrapping_sub(before);
    if increase > u32::MAX / 2 {
        return 0.0;
    }
    f64::from(increase)
}
