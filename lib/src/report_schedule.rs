//! Schedule of a gateway's load reports.

use std::time::Duration;

use crate::time::Time;

/// Time between reports of a gateway with requests. Decisions use data that is as
/// old as the latest answer plus half of this interval: even if the load grows by
/// half within 300 ms, the estimate is at most a fifth off.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between reports to the standby keeper, whose answers are only used while
/// the keeper in charge is unreachable.
const STANDBY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between reports of a gateway without requests: short enough that its
/// estimate doesn't become too old in between, even if the gateway is late.
const IDLE_INTERVAL: Duration = Duration::from_millis(600);
/// Average time between reports at a keeper: with more than a hundred gateways,
/// each gateway reports less often.
const INTERVAL_PER_REPORTER: Duration = Duration::from_millis(1);
/// Longest time between reports of a gateway with requests: two of them fit into
/// the age at which an estimate is no longer used.
const MAX_BUSY_INTERVAL: Duration = Duration::from_millis(450);

/// Role of a keeper that receives load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeeperRole {
    /// In charge of load.
    Primary,
    /// Standby for the keeper in charge.
    Standby,
}

/// When a gateway last reported to a keeper.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportSchedule {
    last: Option<Time>,
    was_busy: bool,
}

impl ReportSchedule {
    /// Returns whether a report is due. `busy` is whether the gateway has requests,
    /// and `reporters` the number of gateways that report.
    pub fn is_due(&self, now: Time, role: KeeperRole, busy: bool, reporters: u32) -> bool {
        let Some(last) = self.last else {
            return true;
        };
        let min_interval = match role {
            KeeperRole::Primary => BUSY_INTERVAL,
            KeeperRole::Standby => STANDBY_INTERVAL,
        };
        let interval = if busy || self.was_busy {
            (INTERVAL_PER_REPORTER * reporters).clamp(min_interval, MAX_BUSY_INTERVAL)
        } else {
            IDLE_INTERVAL
        };
        now.since(last) >= interval
    }

    /// Returns when the last report was sent.
    pub fn last(&self) -> Option<Time> {
        self.last
    }

    /// Records that a report is sent.
    pub fn record(&mut self, now: Time, busy: bool) {
        self.last = Some(now);
        self.was_busy = busy;
    }
}
