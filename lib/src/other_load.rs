//! Estimated load that other processes cause at a server.

use std::time::Duration;

use crate::time::Time;

/// Time since a server's last report after which it is assumed to get no
/// requests: turns of a program follow each other within a second.
const IDLE_AFTER: Duration = Duration::from_secs(1);
/// Age beyond which reports from other processes are out of date.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// Requests of other processes at the servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OtherLoad {
    /// Mean per server.
    pub(crate) mean: f64,
    /// When reports of other processes about servers last arrived.
    pub(crate) reported_at: Option<Time>,
}

impl OtherLoad {
    /// Returns the expected requests at a server that last reported at
    /// `last_report`, to this process or another one. As long as other processes
    /// send reports, a server that none of them has a report from is assumed
    /// idle: a server that holds requests without answering them is reported
    /// too.
    pub(crate) fn expected(&self, now: Time, last_report: Option<Time>) -> f64 {
        let are_reports_current = self
            .reported_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        let is_idle = last_report.is_none_or(|at| now.since(at) > IDLE_AFTER);
        if are_reports_current && is_idle {
            0.0
        } else {
            self.mean
        }
    }
}
