//! Rate limits of workspaces over all gateways: the operator's bounds, and the
//! messages between gateways (`rate_limiter`) and keepers (`allowance_counter`).

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Boot;
use crate::time::span_from_secs;
use crate::workspace::Allowance;

/// The operator's bounds on how far all gateways together may exceed the
/// allowance of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AllowanceBounds {
    /// Length of the sliding window in which requests are counted, in seconds.
    pub window_s: f64,
    /// Fraction of a window's allowance by which it may be exceeded.
    pub overrun: f64,
    /// Number of requests by which it may be exceeded in addition.
    pub slack: f64,
    /// Fraction of the permitted excess that keepers grant. The rest covers
    /// requests of gateways that reach no keeper, and requests that are not
    /// reported yet. With one failure each second, 9 of 1,800 simulated minutes
    /// exceeded the bounds at 0.5, none at 0.3.
    pub handed_out: f64,
}

impl Default for AllowanceBounds {
    /// A window of five seconds, in which the allowance may not be exceeded.
    fn default() -> Self {
        Self {
            window_s: 5.0,
            overrun: 0.0,
            slack: 0.0,
            handed_out: 0.3,
        }
    }
}

impl AllowanceBounds {
    /// Returns whether the values are within their valid ranges.
    pub fn is_valid(&self) -> bool {
        let fractions = 0.0..=1.0;
        self.window_s > 0.0
            && self.overrun >= 0.0
            && self.slack >= 0.0
            && fractions.contains(&self.handed_out)
    }

    /// Returns the window.
    pub fn window(&self) -> Duration {
        span_from_secs(self.window_s.max(0.1))
    }

    fn per_window(&self, allowance: &Allowance) -> f64 {
        allowance.rate * self.window().as_secs_f64() + allowance.burst
    }

    fn excess(&self, allowance: &Allowance) -> f64 {
        self.per_window(allowance) * self.overrun.max(0.0) + self.slack.max(0.0)
    }

    /// Returns the number of requests that keepers grant within a window.
    pub fn limit(&self, allowance: &Allowance) -> u32 {
        (self.per_window(allowance) + self.excess(allowance) * self.handed_out) as u32
    }

    /// Returns the number of requests that all gateways without a reachable keeper
    /// together may send within a window.
    pub fn reserve(&self, allowance: &Allowance) -> u32 {
        (self.excess(allowance) * (1.0 - self.handed_out)) as u32
    }
}

/// A gateway's report on its use of a workspace's allowance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Requests that may be sent within a window, by the gateway's version of the
    /// routing document.
    pub limit: u32,
    /// Requests that are reserved for gateways without a reachable keeper.
    pub reserve: u32,
    /// Requests that the gateway sent within the window, as returned by
    /// [`SlidingWindow::ages`](crate::sliding_window::SlidingWindow::ages).
    pub ages: Vec<u16>,
    /// Programs whose first request reached the gateway since its last report.
    pub programs: Vec<u64>,
    /// The request for which the gateway needs permission, already counted in
    /// `ages`.
    pub wants: Option<PendingRequest>,
    /// Whether the report goes to a standby of the responsible keeper.
    pub stand_in: bool,
    /// Whether the gateway started within the window, so that requests sent before
    /// its start may be counted nowhere.
    pub young: bool,
}

/// A request for which a gateway needs permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingRequest {
    /// Digest of its program's id.
    pub program: Option<u64>,
    /// Whether the gateway has sent requests of this program before.
    pub begun: bool,
}

/// What exceeds an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Any request.
    Requests,
    /// A new program.
    Programs,
}

impl Shortage {
    /// Returns the label in log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Programs => "programs",
        }
    }
}

/// A keeper's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperDecision {
    /// It may be sent.
    Go,
    /// The allowance is exhausted; it has room for a request after this time.
    Full(Duration),
    /// The allowance has no room for another new program.
    Closed {
        /// Time after which it has room for the next one.
        room: Duration,
        /// Time after which this program should try again, behind those refused
        /// before it.
        turn: Duration,
    },
}

/// A keeper's reply to a [`UsageReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReply {
    /// Requests within the window that other gateways sent, or are expected to
    /// send for the running programs; `None` while each request needs permission.
    pub others: Option<u32>,
    /// Requests of all gateways within the window.
    pub used: u32,
    /// Programs that started within the window.
    pub begun: u32,
    /// Gateways that recently reported on any workspace.
    pub gateways: u32,
    /// Time until the keeper has received reports for a whole window; zero if it
    /// has.
    pub young: Duration,
    /// Decision on the request that needed permission, if there was one.
    pub ruling: Option<KeeperDecision>,
}

/// One run of a process; a restarted process has lost its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProcessStart {
    /// Name of the process.
    pub node: Arc<str>,
    /// Identifies the run.
    pub boot: Boot,
}
