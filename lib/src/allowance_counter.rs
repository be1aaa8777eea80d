//! Counts the requests of workspaces over all gateways, on a keeper.
//!
//! One keeper is responsible for each workspace, selected by rendezvous hashing;
//! there is no consensus and nothing is stored. Each gateway periodically reports
//! all requests that it sent within the current sliding window. The sum is
//! therefore exact except for reports in transit, a keeper that takes over has all
//! counts after one round of reports, and reports may be lost or duplicated. A
//! gateway requests permission before it sends only while a workspace is near its
//! limit (`rate_limiter`).
//!
//! Under contention, new programs are refused: each program that started within
//! the window is counted with the mean number of requests of the workspace's
//! programs, so that running programs can end. Under seven times the usual load,
//! two thirds of the programs that fit into the allowance end this way, against
//! one third if all requests are refused alike. Without contention nothing is
//! refused below the limit.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::allowance::KeeperDecision;
use crate::allowance::PendingRequest;
use crate::allowance::ProcessStart;
use crate::allowance::UsageReply;
use crate::allowance::UsageReport;
use crate::sliding_window::SlidingWindow;
use crate::time::Time;

/// Weight, in programs, of the mean over all workspaces in a workspace's own
/// mean. It makes the mean usable from the first program on, and limits the
/// influence of a single program that loops until it is stopped.
const PRIOR_PROGRAMS: f64 = 16.0;
/// Number of programs after which the weight of older ones is halved.
const HALVING_PROGRAMS: f64 = 64.0;
/// Assumed requests per program before any was observed: a few turns, each
/// followed by one or two tool calls.
const DEFAULT_REQUESTS: f64 = 10.0;
/// How long a program is remembered after its last request; longer pauses
/// within a program are not expected.
const PROGRAM_RETENTION: Duration = Duration::from_secs(10);
/// Time until all gateways have reported to a newly responsible keeper: two
/// report intervals.
const REPORT_WAIT: Duration = Duration::from_millis(500);
/// Refusals within a window, as a fraction of the limit, above which new
/// programs are refused. If a single refusal was enough, three times as many
/// programs were refused in bursts at the limit (42 against 14 of 2,200).
const CONTENTION_SHARE: f64 = 0.15;
/// Fraction of the limit above which no program may start under contention; the
/// rest is for programs that need more requests than the mean.
const NEW_PROGRAM_SHARE: f64 = 0.95;
/// Interval between removals of expired entries.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// Contents of a window in which nothing was refused.
#[derive(Clone, Copy, Debug)]
struct Sample {
    requests: u32,
    programs: u32,
}

/// Mean number of requests per program.
#[derive(Clone, Copy, Debug, Default)]
struct RequestsPerProgram {
    requests: f64,
    programs: f64,
}

impl RequestsPerProgram {
    fn add(&mut self, sample: Sample) {
        self.requests += f64::from(sample.requests);
        self.programs += f64::from(sample.programs);
        if self.programs > HALVING_PROGRAMS {
            self.requests /= 2.0;
            self.programs /= 2.0;
        }
    }

    fn mean(&self, prior_mean: f64) -> f64 {
        let requests = self.requests + prior_mean * PRIOR_PROGRAMS;
        (requests / (self.programs + PRIOR_PROGRAMS)).max(1.0)
    }
}

/// Counts of one workspace.
#[derive(Clone, Debug)]
struct Account {
    window: Duration,
    /// Whether the keeper is only a standby for this workspace.
    stand_in: bool,
    /// When the keeper became responsible.
    responsible_since: Time,
    /// Requests that were permitted since then.
    granted: u32,
    gateways: HashMap<ProcessStart, SlidingWindow>,
    programs: HashMap<u64, Time>,
    starts: SlidingWindow,
    /// Requests that were refused.
    refused: SlidingWindow,
    mean: RequestsPerProgram,
    /// End of the last window that was sampled.
    sampled: Time,
    /// When the next program may start. Under contention, starts are spread
    /// evenly: if all programs that fit start together, the next ones do so one
    /// window later, and half of them could not end.
    next_start: Time,
    /// When the caller that was refused last should try again.
    last_retry: Time,
}

impl Account {
    fn new(window: Duration, now: Time) -> Self {
        Self {
            window,
            stand_in: true,
            responsible_since: now,
            granted: 0,
            gateways: HashMap::new(),
            programs: HashMap::new(),
            starts: SlidingWindow::new(window),
            refused: SlidingWindow::new(window),
            mean: RequestsPerProgram::default(),
            sampled: now,
            next_start: now,
            last_retry: now,
        }
    }

    fn become_responsible(&mut self, now: Time) {
        self.stand_in = false;
        self.responsible_since = now;
        self.granted = 0;
    }

    fn total(&mut self, now: Time) -> u32 {
        let gateways = self.gateways.values_mut();
        gateways.map(|recent| recent.total(now)).sum()
    }

    /// Returns the contents of the window, once for each window. Windows with
    /// refusals are skipped: programs that were cut short would lower the mean,
    /// and a lower mean admits more programs that cannot end.
    fn sample(&mut self, now: Time) -> Option<Sample> {
        if now.since(self.sampled) < self.window {
            return None;
        }
        self.sampled = now;
        if self.refused.total(now) > 0 {
            return None;
        }
        let sample = Sample {
            requests: self.total(now),
            programs: self.starts.total(now),
        };
        self.mean.add(sample);
        Some(sample)
    }

    /// Applies a gateway's report, and returns its requests within the window.
    fn apply(&mut self, now: Time, gateway: &ProcessStart, report: &UsageReport) -> u32 {
        if self.stand_in && !report.stand_in {
            self.become_responsible(now);
        }
        for program in &report.programs {
            self.record_program(now, *program);
        }
        let mut recent = SlidingWindow::from_ages(self.window, now, &report.ages);
        let own = recent.total(now);
        self.gateways.insert(gateway.clone(), recent);
        own
    }

    /// Decides on a request that has been counted already.
    fn decide(
        &mut self,
        now: Time,
        pending: PendingRequest,
        limit: f64,
        mean: f64,
    ) -> KeeperDecision {
        let all = self.total(now);
        if let Some(wait) = self.time_until_reported(now, all, limit) {
            return KeeperDecision::Full(wait);
        }
        let over = f64::from(all) - limit;
        if over > 0.0 {
            return KeeperDecision::Full(self.time_until_room(now, over));
        }
        let Some(program) = pending.program else {
            return KeeperDecision::Go;
        };
        let begun = pending.begun || self.programs.contains_key(&program);
        let contended = f64::from(self.refused.total(now)) > limit * CONTENTION_SHARE;
        if !begun && contended {
            let ruling = self.decide_new_program(now, all, limit, mean);
            if ruling != KeeperDecision::Go {
                return ruling;
            }
        }
        self.record_program(now, program);
        KeeperDecision::Go
    }

    /// Returns how long a newly responsible keeper waits before it permits the next
    /// request. Until all gateways have reported the requests that they sent, it
    /// permits no more than the limit spread evenly over time.
    fn time_until_reported(&self, now: Time, all: u32, limit: f64) -> Option<Duration> {
        let age = now.since(self.responsible_since);
        let paced = limit * age.as_secs_f64() / self.window.as_secs_f64() + 1.0;
        let reports_missing = age < REPORT_WAIT && all > self.granted + 1;
        (reports_missing && f64::from(self.granted) >= paced)
            .then(|| REPORT_WAIT.saturating_sub(age))
    }

    fn time_until_room(&mut self, now: Time, over: f64) -> Duration {
        let mut all = SlidingWindow::new(self.window);
        for recent in self.gateways.values_mut() {
            all.merge(now, recent);
        }
        all.time_until_expired(now, over.ceil().max(1.0) as u32)
    }

    /// Decides on a new program under contention.
    fn decide_new_program(&mut self, now: Time, all: u32, limit: f64, mean: f64) -> KeeperDecision {
        let limit = (limit * NEW_PROGRAM_SHARE).max(1.0);
        let starts = f64::from(self.starts.total(now));
        let expected = f64::from(all).max(starts * mean) + mean;
        let every = self.window.mul_f64((mean / limit).min(1.0));
        // With the smallest allowance, one program at a time may still start.
        let room = if expected > limit && starts > 0.0 {
            self.starts.time_until_expired(now, 1)
        } else {
            self.next_start.since(now)
        };
        if room.is_zero() {
            self.next_start = now + every;
            return KeeperDecision::Go;
        }
        KeeperDecision::Closed {
            room,
            turn: self.schedule_retry(now, room, every),
        }
    }

    /// Returns the time after which the next refused caller should try again: after
    /// the oldest program has left the window, and after the callers refused
    /// before, spaced by `every`.
    fn schedule_retry(&mut self, now: Time, room: Duration, every: Duration) -> Duration {
        let next = (self.last_retry + every).max(now + room);
        self.last_retry = next.min(now + self.window);
        self.last_retry.since(now)
    }

    /// Records the decision on a request; a refused request is not counted.
    fn record_ruling(&mut self, now: Time, gateway: &ProcessStart, ruling: KeeperDecision) {
        if ruling == KeeperDecision::Go {
            self.granted += 1;
            return;
        }
        self.refused.add(now, 1);
        if let Some(recent) = self.gateways.get_mut(gateway) {
            recent.remove_newest(now);
        }
    }

    /// Returns whether all gateways have reported, and nothing was refused within
    /// the window.
    fn is_uncontended(&mut self, now: Time) -> bool {
        now.since(self.responsible_since) >= REPORT_WAIT && self.refused.total(now) == 0
    }

    fn record_program(&mut self, now: Time, program: u64) {
        if self.programs.insert(program, now).is_none() {
            self.starts.add(now, 1);
        }
    }
}

/// Counts of the workspaces that a keeper is responsible for, or a standby of.
#[derive(Clone, Debug)]
pub struct AllowanceCounter {
    window: Duration,
    /// Start of the counting; `None` if nothing was sent before it.
    counting_since: Option<Time>,
    accounts: HashMap<Arc<str>, Account>,
    mean: RequestsPerProgram,
    last_reports: HashMap<ProcessStart, Time>,
    last_cleanup: Time,
}

impl AllowanceCounter {
    /// Creates the counts of a keeper that starts `now`; `first` if no request was
    /// sent before, because the whole system starts for the first time.
    pub fn new(window: Duration, now: Time, first: bool) -> Self {
        Self {
            window,
            counting_since: (!first).then_some(now),
            accounts: HashMap::new(),
            mean: RequestsPerProgram::default(),
            last_reports: HashMap::new(),
            last_cleanup: now,
        }
    }

    /// Applies a gateway's report on a workspace, and decides on the request that
    /// needs permission, if there is one.
    pub fn apply_report(
        &mut self,
        now: Time,
        gateway: &ProcessStart,
        report: &UsageReport,
    ) -> UsageReply {
        self.clean_up(now);
        self.last_reports.insert(gateway.clone(), now);
        let limit = self.limit(now, report);
        let young = self.time_until_complete(now);
        let prior_mean = self.mean.mean(DEFAULT_REQUESTS);
        let account = self.accounts.entry(report.workspace.clone());
        let account = account.or_insert_with(|| Account::new(self.window, now));
        if let Some(sample) = account.sample(now) {
            self.mean.add(sample);
        }
        let own = account.apply(now, gateway, report);
        let all = account.total(now);
        let mean = account.mean.mean(prior_mean);
        let ruling = report
            .wants
            .map(|pending| account.decide(now, pending, limit, mean));
        if let Some(ruling) = ruling {
            account.record_ruling(now, gateway, ruling);
        }
        let begun = account.starts.total(now);
        let expected = all.max((f64::from(begun) * mean) as u32);
        UsageReply {
            others: account.is_uncontended(now).then(|| expected - own),
            used: all,
            begun,
            gateways: self.last_reports.len() as u32,
            young,
            ruling,
        }
    }

    /// Returns the number of requests that may be sent within the window. If both
    /// the gateway and this keeper have just started, the requests sent before are
    /// counted nowhere: the limit then grows with the time since this keeper's
    /// start, as if the allowance had been used evenly until then.
    fn limit(&self, now: Time, report: &UsageReport) -> f64 {
        let limit = f64::from(report.limit);
        let Some(since) = self.counting_since.filter(|_| report.young) else {
            return limit;
        };
        let known = now.since(since).as_secs_f64() / self.window.as_secs_f64();
        (limit * known + f64::from(report.reserve / 2)).min(limit)
    }

    fn time_until_complete(&self, now: Time) -> Duration {
        let age = self.counting_since.map(|since| now.since(since));
        age.map_or(Duration::ZERO, |age| self.window.saturating_sub(age))
    }

    fn clean_up(&mut self, now: Time) {
        if now.since(self.last_cleanup) < CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now;
        let window = self.window;
        self.last_reports
            .retain(|_, at| now.since(*at) < 2 * window);
        self.accounts.retain(|_, account| {
            account.gateways.retain(|_, recent| recent.total(now) > 0);
            let programs = &mut account.programs;
            programs.retain(|_, at| now.since(*at) < PROGRAM_RETENTION);
            !account.gateways.is_empty() || !programs.is_empty()
        });
    }
}
