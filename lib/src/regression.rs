//! Linear regression, updated one sample at a time: recursive least squares with
//! exponential forgetting.

/// Factor by which each sample reduces the weight of earlier ones: about 200
/// samples count, which is some seconds of one gateway's requests to a service.
const FORGETTING_FACTOR: f64 = 0.995;
/// Initial variance of the weights: about ten samples replace the first weights.
const INITIAL_VARIANCE: f64 = 100.0;
/// Maximum covariance. Forgetting increases it while all samples are alike, and
/// without a limit the next different sample would make the weights jump.
const MAX_COVARIANCE: f64 = 1_000.0;
/// Weight of the newest sample in the mean error.
const ERROR_WEIGHT: f64 = 0.05;
/// Errors are limited to this multiple of the mean error: a request that hung or
/// whose server was preempted is no evidence about the others.
const CLIP: f64 = 3.0;

/// A linear function of `N` inputs, the first of which is usually the constant 1.
#[derive(Clone, Debug)]
pub struct Regression<const N: usize> {
    weights: [f64; N],
    covariance: [[f64; N]; N],
    /// Mean absolute error.
    error: Option<f64>,
}

impl<const N: usize> Regression<N> {
    /// Makes a function with initial weights.
    pub fn new(weights: [f64; N]) -> Self {
        let mut covariance = [[0.0; N]; N];
        for (at, row) in covariance.iter_mut().enumerate() {
            row[at] = INITIAL_VARIANCE;
        }
        Self {
            weights,
            covariance,
            error: None,
        }
    }

    /// Returns the weights.
    pub fn weights(&self) -> &[f64; N] {
        &self.weights
    }

    /// Returns the predicted output for an input.
    pub fn value(&self, input: &[f64; N]) -> f64 {
        dot(&self.weights, input)
    }

    /// Returns the mean absolute error so far.
    pub fn error(&self) -> f64 {
        self.error.unwrap_or_default()
    }

    /// Updates the weights with a sample.
    pub fn learn(&mut self, input: &[f64; N], output: f64) {
        let gain = self.covariance.map(|row| dot(&row, input));
        let denominator = FORGETTING_FACTOR + dot(&gain, input);
        let residual = self.clip(output - self.value(input));
        for (weight, gain) in self.weights.iter_mut().zip(gain) {
            *weight += gain / denominator * residual;
        }
        for (row, own) in self.covariance.iter_mut().zip(gain) {
            for (cell, other) in row.iter_mut().zip(gain) {
                let next = (*cell - own * other / denominator) / FORGETTING_FACTOR;
                *cell = next.clamp(-MAX_COVARIANCE, MAX_COVARIANCE);
            }
        }
    }

    fn clip(&mut self, residual: f64) -> f64 {
        let Some(error) = self.error else {
            self.error = Some(residual.abs());
            return residual;
        };
        let limit = CLIP * error.max(f64::MIN_POSITIVE);
        let clipped = residual.clamp(-limit, limit);
        self.error = Some(error + (clipped.abs() - error) * ERROR_WEIGHT);
        clipped
    }
}

fn dot<const N: usize>(one: &[f64; N], other: &[f64; N]) -> f64 {
    one.iter().zip(other).map(|(one, other)| one * other).sum()
}
