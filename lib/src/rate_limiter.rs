//! Enforces the rate limits of workspaces on a gateway.
//!
//! While all gateways together are far below a workspace's limit, according to a
//! recent reply of the responsible keeper, requests are sent at once and reported
//! afterwards. Near the limit, the gateway requests the keeper's permission for
//! each one. A gateway that reaches no keeper sends at most its share of the
//! requests that the bounds reserve for this case.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::allowance::AllowanceBounds;
use crate::allowance::KeeperDecision;
use crate::allowance::PendingRequest;
use crate::allowance::ProcessStart;
use crate::allowance::Shortage;
use crate::allowance::UsageReply;
use crate::allowance::UsageReport;
use crate::hash;
use crate::sliding_window::SlidingWindow;
use crate::time::Time;
use crate::workspace::Allowance;
use crate::workspace::Workspace;

/// Fraction of the limit below which requests are sent without permission. The
/// rest of the limit is more than a workspace sends at seven times its usual rate
/// until all gateways that send for it have reported, within 250 ms.
const UNCHECKED_SHARE: f64 = 0.5;
/// How long the keeper's count of other gateways' requests stays valid: longer
/// than the pauses of a workspace that only occasionally sends a request through
/// each gateway.
const REPLY_VALIDITY: Duration = Duration::from_millis(2_500);
/// Minimum interval between permission requests for programs that are unknown to
/// this gateway, while the allowance has no room for new programs. An overload
/// thus costs a keeper at most a hundred messages per second and gateway.
const ASK_INTERVAL: Duration = Duration::from_millis(10);
/// How long requests are sent without permission while no keeper acknowledges a
/// report of them: two report intervals.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(500);
/// How long a program is remembered after its last request through this gateway.
const PROGRAM_RETENTION: Duration = Duration::from_secs(10);
/// Number of programs of a workspace from which on inactive ones are removed.
const MAX_PROGRAMS: usize = 1_024;
/// Assumed number of gateways that share the reserve for gateways without a
/// reachable keeper, until a keeper has reported their number.
const DEFAULT_GATEWAYS: u32 = 16;
/// Time after which a caller should retry that another gateway may serve.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// A gateway's decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to a server.
    Go(Counted),
    /// Request permission of the responsible keeper first.
    Ask(Counted),
    /// Refuse it: the allowance has no room for it until this time has passed.
    Over(Shortage, Duration),
}

/// A request that is counted as sent unless it is given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counted {
    /// Name of its workspace.
    pub workspace: Arc<str>,
    slot: u64,
    pending: PendingRequest,
}

#[derive(Clone, Debug)]
struct Account {
    own: SlidingWindow,
    allowance: Allowance,
    /// Requests of other gateways by the responsible keeper's last reply, and the
    /// time of that reply.
    others: Option<(u32, Time)>,
    /// The keeper that received the last report.
    reported_to: Option<ProcessStart>,
    /// When the oldest request was sent that no keeper has acknowledged.
    unacknowledged_since: Option<Time>,
    programs: HashMap<u64, Time>,
    /// Programs that have not been reported to that keeper.
    unreported: Vec<u64>,
    full_until: Time,
    closed_until: Time,
    /// When permission may next be requested for a program that is unknown to this
    /// gateway, while the allowance has no room for new programs.
    next_ask: Time,
    /// When the program that was refused last should try again.
    retry_at: Time,
}

impl Account {
    /// Returns whether all gateways together are far below the limit, according to
    /// recent replies.
    fn is_far_below_limit(&mut self, now: Time, bounds: &AllowanceBounds) -> bool {
        let limit = f64::from(bounds.limit(&self.allowance));
        let own = self.own.total(now);
        let acknowledged = self
            .unacknowledged_since
            .is_none_or(|since| now.since(since) < UNACKNOWLEDGED_LIMIT);
        let valid = self
            .others
            .filter(|(_, at)| now.since(*at) < REPLY_VALIDITY);
        acknowledged
            && valid.is_some_and(|(others, _)| f64::from(own + others) < UNCHECKED_SHARE * limit)
    }

    fn report(
        &mut self,
        now: Time,
        bounds: &AllowanceBounds,
        workspace: &str,
        programs: Vec<u64>,
        young: bool,
    ) -> UsageReport {
        UsageReport {
            workspace: workspace.into(),
            limit: bounds.limit(&self.allowance),
            reserve: bounds.reserve(&self.allowance),
            ages: self.own.ages(now),
            programs,
            wants: None,
            stand_in: false,
            young,
        }
    }

    fn has_program(&self, program: u64) -> bool {
        self.programs.contains_key(&program)
    }

    fn record_program(&mut self, now: Time, program: u64) {
        if self.programs.len() >= MAX_PROGRAMS {
            self.programs
                .retain(|_, at| now.since(*at) < PROGRAM_RETENTION);
        }
        if self.programs.insert(program, now).is_none() {
            self.unreported.push(program);
        }
    }
}

/// A gateway's counts of all workspaces.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    bounds: AllowanceBounds,
    /// Whether new programs are refused before requests of running ones.
    by_programs: bool,
    started: Time,
    accounts: HashMap<Arc<str>, Account>,
    gateways: u32,
    /// Keepers that have not received reports for a whole window, and until when.
    incomplete_until: HashMap<ProcessStart, Time>,
}

/// The keepers that count the requests of a workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponsibleKeepers {
    /// The responsible keeper.
    pub keeper: Option<ProcessStart>,
    /// Its standbys, as many as the number of keepers that may fail at once.
    pub standbys: Vec<ProcessStart>,
}

impl RateLimiter {
    /// Creates the counts of a gateway that starts `now`.
    pub fn new(bounds: AllowanceBounds, by_programs: bool, now: Time) -> Self {
        Self {
            bounds,
            by_programs,
            started: now,
            accounts: HashMap::new(),
            gateways: DEFAULT_GATEWAYS,
            incomplete_until: HashMap::new(),
        }
    }

    /// Returns the keepers that count the requests of a workspace. `order` are the
    /// reachable keepers, ranked for the workspace; `faults` keepers may fail at
    /// once. A keeper that has just started lacks the reports of gateways that have
    /// failed or are cut off from it, so it is only a standby until it has received
    /// reports for a whole window, unless there is no other keeper.
    pub fn responsible_keepers(
        &self,
        now: Time,
        order: &[ProcessStart],
        faults: usize,
    ) -> ResponsibleKeepers {
        let is_incomplete = |keeper: &&ProcessStart| {
            let until = self.incomplete_until.get(*keeper);
            until.is_some_and(|until| now < *until)
        };
        let complete = order.iter().find(|keeper| !is_incomplete(keeper));
        let keeper = complete.or(order.first()).cloned();
        let standbys = order.iter().filter(|other| Some(*other) != keeper.as_ref());
        ResponsibleKeepers {
            standbys: standbys.take(faults).cloned().collect(),
            keeper,
        }
    }

    /// Decides on a request of a workspace with an allowance, and counts the
    /// request unless it is refused.
    pub fn decide(
        &mut self,
        now: Time,
        workspace: &Workspace,
        allowance: &Allowance,
        program: Option<&str>,
    ) -> Decision {
        let bounds = self.bounds;
        let program = program.filter(|_| self.by_programs);
        let program = program.map(|id| hash::mixed_fnv(id.bytes()));
        let account = self.account(now, workspace, allowance);
        if now < account.full_until {
            return Decision::Over(Shortage::Requests, account.full_until.since(now));
        }
        let begun = program.is_none_or(|program| account.has_program(program));
        // A program that is unknown here may have started at another gateway.
        if !begun && now < account.closed_until {
            if now < account.next_ask {
                let retry_at = account.retry_at.max(account.closed_until);
                return Decision::Over(Shortage::Programs, retry_at.since(now));
            }
            account.next_ask = now + ASK_INTERVAL;
        }
        let slot = account.own.add(now, 1);
        account.unacknowledged_since.get_or_insert(now);
        let counted = Counted {
            workspace: workspace.name.clone(),
            slot,
            pending: PendingRequest { program, begun },
        };
        if !account.is_far_below_limit(now, &bounds) {
            return Decision::Ask(counted);
        }
        if let Some(program) = program {
            account.record_program(now, program);
        }
        Decision::Go(counted)
    }

    fn account(&mut self, now: Time, workspace: &Workspace, allowance: &Allowance) -> &mut Account {
        let window = self.bounds.window();
        let account = self.accounts.entry(workspace.name.clone());
        let account = account.or_insert_with(|| Account {
            own: SlidingWindow::new(window),
            allowance: *allowance,
            others: None,
            reported_to: None,
            unacknowledged_since: None,
            programs: HashMap::new(),
            unreported: Vec::new(),
            full_until: now,
            closed_until: now,
            next_ask: now,
            retry_at: now,
        });
        if account.allowance != *allowance {
            // Requests that were refused by the old limit may fit the new one.
            account.allowance = *allowance;
            account.full_until = now;
            account.closed_until = now;
        }
        account
    }

    /// Removes inactive workspaces, and returns the names of the others.
    pub fn active(&mut self, now: Time) -> Vec<Arc<str>> {
        self.accounts.retain(|_, account| {
            let programs = &mut account.programs;
            programs.retain(|_, at| now.since(*at) < PROGRAM_RETENTION);
            !programs.is_empty() || account.own.total(now) > 0
        });
        self.accounts.keys().cloned().collect()
    }

    /// Returns whether the responsible keeper of a workspace lacks requests of this
    /// gateway: some were sent since the last acknowledged report, or the last
    /// report went to another keeper.
    pub fn has_unreported(&self, workspace: &str, keeper: &ProcessStart) -> bool {
        let account = self.accounts.get(workspace);
        account.is_some_and(|account| {
            account.unacknowledged_since.is_some() || account.reported_to.as_ref() != Some(keeper)
        })
    }

    /// Returns the report to `keeper` on a workspace; `wants` is the request that
    /// needs permission, if there is one.
    pub fn report(
        &mut self,
        now: Time,
        workspace: &str,
        keeper: &ProcessStart,
        wants: Option<&Counted>,
    ) -> Option<UsageReport> {
        let young = self.has_just_started(now);
        let bounds = self.bounds;
        let account = self.accounts.get_mut(workspace)?;
        if account.reported_to.as_ref() != Some(keeper) {
            account.reported_to = Some(keeper.clone());
            account.unreported = account.programs.keys().copied().collect();
        }
        let programs = std::mem::take(&mut account.unreported);
        let mut report = account.report(now, &bounds, workspace, programs, young);
        report.wants = wants.map(|counted| counted.pending);
        Some(report)
    }

    /// Returns the report to the standbys on a workspace, if it is near its limit.
    /// A standby that takes over then has complete counts at once, including those
    /// of gateways that have failed or are cut off by then.
    pub fn standby_report(&mut self, now: Time, workspace: &str) -> Option<UsageReport> {
        let young = self.has_just_started(now);
        let bounds = self.bounds;
        let account = self.accounts.get_mut(workspace)?;
        if account.is_far_below_limit(now, &bounds) {
            return None;
        }
        let programs = account.programs.keys().copied().collect();
        let mut report = account.report(now, &bounds, workspace, programs, young);
        report.stand_in = true;
        Some(report)
    }

    fn has_just_started(&self, now: Time) -> bool {
        now.since(self.started) < self.bounds.window()
    }

    /// Records that a keeper did not reply, so that the report is repeated.
    pub fn record_no_reply(&mut self, workspace: &str) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.reported_to = None;
        }
    }

    /// Applies a keeper's reply on a workspace.
    pub fn apply_reply(
        &mut self,
        now: Time,
        keeper: &ProcessStart,
        workspace: &str,
        reply: &UsageReply,
    ) {
        if !reply.young.is_zero() {
            self.incomplete_until.retain(|_, until| now < *until);
            self.incomplete_until
                .insert(keeper.clone(), now + reply.young);
        }
        // A keeper that has just started has received reports of few gateways.
        self.gateways = self.gateways.max(reply.gateways);
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        account.others = reply.others.map(|others| (others, now));
        account.unacknowledged_since = None;
        match reply.ruling {
            Some(KeeperDecision::Full(after)) => account.full_until = now + after,
            Some(KeeperDecision::Closed { room, turn }) => {
                account.closed_until = now + room;
                account.retry_at = now + turn;
            }
            Some(KeeperDecision::Go) | None => {}
        }
    }

    /// Records that a request is sent after permission was requested.
    pub fn record_permitted(&mut self, now: Time, counted: &Counted) {
        let account = self.accounts.get_mut(&counted.workspace);
        if let (Some(account), Some(program)) = (account, counted.pending.program) {
            account.record_program(now, program);
        }
    }

    /// Decides on a request while no keeper is reachable.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry, through another
    /// gateway.
    pub fn decide_without_keeper(&mut self, now: Time, counted: &Counted) -> Result<(), Duration> {
        let gateways = self.gateways;
        let bounds = self.bounds;
        let Some(account) = self.accounts.get_mut(&counted.workspace) else {
            return Err(RETRY_AFTER);
        };
        let part = (bounds.reserve(&account.allowance) / gateways).max(1);
        if account.own.total(now) > part {
            return Err(RETRY_AFTER);
        }
        self.record_permitted(now, counted);
        Ok(())
    }

    /// Uncounts a request that was counted but not sent.
    pub fn uncount(&mut self, now: Time, counted: &Counted) {
        if let Some(account) = self.accounts.get_mut(&counted.workspace) {
            account.own.remove(now, counted.slot);
        }
    }
}
