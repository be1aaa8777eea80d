//! Speed of servers relative to their peers, for the choice of a server.

use std::time::Duration;

use super::Fleet;
use crate::criteria::ServerKey;
use crate::pace::Baseline;
use crate::pace::PaceChange;
use crate::pace::PaceContext;
use crate::pace::PaceSummary;
use crate::pace::Sample;
use crate::pace::Wait;
use crate::pace::WaitKey;
use crate::service_time::RequestConditions;
use crate::service_time::Span;
use crate::time::Time;
use crate::time::span_from_secs;

/// Maximum share of a service's servers that may be late before overdue
/// requests are ignored: beyond it, the slowdown concerns the whole service.
const MAX_LATE_SHARE: f64 = 0.5;

impl Fleet {
    /// Returns whether paces count for a service.
    fn counts_pace(&self, baseline: &Baseline) -> bool {
        self.switches.pace && (baseline.interference_reported() || !self.switches.shared_vms)
    }

    /// Returns what the paces of a service's servers are compared with; `None`
    /// if paces do not count.
    pub(super) fn pace_context(
        &self,
        now: Time,
        service: &str,
        keys: &[ServerKey],
    ) -> Option<PaceContext<'_>> {
        let baseline = self.baselines.get(service)?;
        if !self.counts_pace(baseline) {
            return None;
        }
        let late = keys.iter();
        let late = late.filter(|&&key| self.members[key].pace.is_late(now, baseline));
        let use_overdue = late.count() as f64 <= keys.len() as f64 * MAX_LATE_SHARE;
        Some(PaceContext {
            baseline,
            use_overdue,
        })
    }

    /// Records that a request starts to wait for the part `span` of its answer;
    /// returns `None` if waits are not tracked for the service.
    pub fn begin_wait(
        &mut self,
        now: Time,
        key: ServerKey,
        work: &RequestConditions,
        span: Span,
    ) -> Option<WaitKey> {
        let service = &self.members.get(key)?.server.service;
        if !self.counts_pace(self.baselines.get(service)?) {
            return None;
        }
        let member = self.members.get_mut(key)?;
        let expected = self.times.get(&member.server.service)?.expected(work, span);
        Some(member.pace.begin_wait(Wait {
            sent: now,
            span,
            expected,
        }))
    }

    /// Records that a wait ended because the answer came.
    pub fn end_wait(&mut self, key: ServerKey, wait: WaitKey) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let baseline = self.baselines.get_mut(&member.server.service);
        if let (Some(wait), Some(baseline)) = (member.pace.end_wait(wait), baseline) {
            baseline.record_answer(wait.sent);
        }
    }

    /// Records that a wait ended without an answer.
    pub fn abandon_wait(&mut self, now: Time, key: ServerKey, wait: WaitKey) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let centre = &member.server.centre;
        let baseline = self.baselines.get_mut(&member.server.service);
        if let (Some(wait), Some(baseline)) = (member.pace.end_wait(wait), baseline) {
            let sample = wait.sample(now);
            member.pace.observe_minimum(now, sample, baseline, centre);
            let change = member
                .pace
                .slow_change(now, baseline, &member.server.id, centre);
            self.pace_changes.extend(change);
        }
    }

    /// Updates a server's pace with the time that a part of an answer took, and
    /// returns the time that it would have taken at a typical server.
    pub(super) fn learn_pace(
        &mut self,
        now: Time,
        key: ServerKey,
        work: &RequestConditions,
        span: Span,
        took: Duration,
    ) -> Duration {
        let (switches, member) = (self.switches, self.members.get_mut(key));
        let Some(member) = member.filter(|_| switches.pace) else {
            return took;
        };
        let (service, centre) = (&member.server.service, &member.server.centre);
        let Some(baseline) = self.baselines.get_mut(service) else {
            return took;
        };
        if switches.shared_vms && !baseline.interference_reported() {
            return took;
        }
        let times = self.times.entry(service.clone()).or_default();
        let sample = Sample {
            span,
            expected: times.expected(work, span),
            observed: took.as_secs_f64() * 1_000.0,
        };
        let factor = member.pace.factor(now, baseline, centre) * member.pace.reported_factor(now);
        member.pace.observe(now, sample, baseline, centre);
        let change = member
            .pace
            .slow_change(now, baseline, &member.server.id, centre);
        self.pace_changes.extend(change);
        span_from_secs(took.as_secs_f64() / factor)
    }

    /// Returns the servers that became slow relative to their peers, or
    /// recovered, since the last call.
    pub fn pace_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.pace_changes)
    }

    /// Returns how many servers of a service are slow relative to their peers;
    /// `None` if paces do not count.
    pub fn pace_summary(&self, now: Time, service: &str) -> Option<PaceSummary> {
        let keys = self.services.get(service)?;
        let context = self.pace_context(now, service, keys)?;
        let mut summary = PaceSummary::default();
        for &key in keys {
            summary.count(self.members[key].pace(now, &context));
        }
        Some(summary)
    }
}
