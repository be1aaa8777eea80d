//! How fast a backend server gives its answers, as its side process sees it:
//! by the pieces that come while calls run, so that a server that slows down
//! or hangs shows before its calls end, whatever it says of itself.

use std::time::Duration;

/// Share of what was measured that still counts a report later.
const FADE: f64 = 0.8;
/// Running time below which nothing is said: too little is known.
const LEAST: Duration = Duration::from_secs(2);

/// Running time of calls and pieces of answers, the latest counting most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    busy: f64,
    pieces: f64,
}

impl Speed {
    /// Notes that calls ran for `busy`, added up over them, and gave `pieces`.
    pub fn note(&mut self, busy: Duration, pieces: u32) {
        self.busy += busy.as_secs_f64();
        self.pieces += f64::from(pieces);
    }

    /// Lets what was noted so far count less; to be called once a report.
    pub fn fade(&mut self) {
        self.busy *= FADE;
        self.pieces *= FADE;
    }

    /// Returns the time of a running call for each piece, in microseconds;
    /// zero while too little is known. A server that nobody uses any more
    /// becomes unknown, so that it is tried again.
    pub fn pace(&self) -> u32 {
        if self.busy < LEAST.as_secs_f64() {
            return 0;
        }
        let micros = self.busy * 1e6 / self.pieces.max(1.0);
        micros.min(f64::from(u32::MAX)) as u32
    }
}
