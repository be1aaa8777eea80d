//! A straight line through what is observed, learned one sample at a time:
//! recursive least squares with forgetting.

/// Part of what was learned that is left after a sample: 200 samples count, some
/// seconds of one gateway's requests to a service.
const FORGET: f64 = 0.995;
/// How little the first weights are trusted: some ten samples replace them.
const FIRST_DOUBT: f64 = 100.0;
/// Most doubt that forgetting brings back, so that samples that all look alike
/// do not make the weights jump at the next one that does not.
const MOST_DOUBT: f64 = 1_000.0;
/// Weight of the newest sample in the mean error.
const NEWEST: f64 = 0.05;
/// Errors beyond so many times the mean one count as that much: a hung or
/// preempted request says little of the others.
const CLIP: f64 = 3.0;

/// A line in `N` inputs, the first of which is usually 1.
#[derive(Clone, Debug)]
pub struct Regression<const N: usize> {
    weights: [f64; N],
    doubt: [[f64; N]; N],
    /// Mean size of the errors.
    error: Option<f64>,
}

impl<const N: usize> Regression<N> {
    /// Makes a line of weights that hold until samples say otherwise.
    pub fn new(weights: [f64; N]) -> Self {
        let mut doubt = [[0.0; N]; N];
        for (at, row) in doubt.iter_mut().enumerate() {
            row[at] = FIRST_DOUBT;
        }
        Self {
            weights,
            doubt,
            error: None,
        }
    }

    /// Returns the weights.
    pub fn weights(&self) -> &[f64; N] {
        &self.weights
    }

    /// Returns what the line says of an input.
    pub fn value(&self, input: &[f64; N]) -> f64 {
        dot(&self.weights, input)
    }

    /// Returns the mean size of the errors so far.
    pub fn error(&self) -> f64 {
        self.error.unwrap_or_default()
    }

    /// Learns from a sample.
    pub fn learn(&mut self, input: &[f64; N], output: f64) {
        let seen = self.doubt.map(|row| dot(&row, input));
        let total = FORGET + dot(&seen, input);
        let miss = self.clip(output - self.value(input));
        for (weight, seen) in self.weights.iter_mut().zip(seen) {
            *weight += seen / total * miss;
        }
        for (row, own) in self.doubt.iter_mut().zip(seen) {
            for (cell, other) in row.iter_mut().zip(seen) {
                let next = (*cell - own * other / total) / FORGET;
                *cell = next.clamp(-MOST_DOUBT, MOST_DOUBT);
            }
        }
    }

    fn clip(&mut self, miss: f64) -> f64 {
        let Some(error) = self.error else {
            self.error = Some(miss.abs());
            return miss;
        };
        let most = CLIP * error.max(f64::MIN_POSITIVE);
        let clipped = miss.clamp(-most, most);
        self.error = Some(error + (clipped.abs() - error) * NEWEST);
        clipped
    }
}

fn dot<const N: usize>(one: &[f64; N], other: &[f64; N]) -> f64 {
    one.iter().zip(other).map(|(one, other)| one * other).sum()
}
