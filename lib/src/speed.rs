//! Answer speed of a backend server, measured by its side process from the
//! chunks received while calls run. A server that slows down or hangs is thereby
//! detected before its calls end, independently of what it reports itself.

use std::time::Duration;

/// Factor by which earlier measurements are scaled down at each report.
const DECAY: f64 = 0.8;
/// Minimum running time of calls; with less, there is too little data for a
/// pace.
const MIN_BUSY: Duration = Duration::from_secs(2);

/// Running time of calls and number of chunks received, both with exponential
/// decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// Running time, in seconds.
    busy: f64,
    chunks: f64,
}

impl Speed {
    /// Adds `busy`, the running time summed over all calls, and the number of
    /// chunks received.
    pub fn record(&mut self, busy: Duration, chunks: u32) {
        self.busy += busy.as_secs_f64();
        self.chunks += f64::from(chunks);
    }

    /// Scales down all earlier measurements; to be called once per report.
    pub fn decay(&mut self) {
        self.busy *= DECAY;
        self.chunks *= DECAY;
    }

    /// Returns the running time per chunk, in microseconds, or zero if there is
    /// too little data. The pace of a server without calls decays to zero, so
    /// that the server is tried again.
    pub fn pace(&self) -> u32 {
        if self.busy < MIN_BUSY.as_secs_f64() {
            return 0;
        }
        let micros = self.busy * 1e6 / self.chunks.max(1.0);
        micros.min(f64::from(u32::MAX)) as u32
    }
}
