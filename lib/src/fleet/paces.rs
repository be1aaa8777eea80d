//! How fast servers are, as the choice of one takes it into account.

use std::time::Duration;

use super::Fleet;
use crate::pace::Measure;
use crate::pace::PaceChange;
use crate::pace::PaceSummary;
use crate::pace::Peers;
use crate::pace::Sample;
use crate::pace::Wait;
use crate::pace::WaitKey;
use crate::service_time::Span;
use crate::service_time::Work;
use crate::time::Time;
use crate::wish::ServerKey;

/// Most servers of a service that may be late with what was sent there while
/// overdue requests tell one from the others, as a share of all of them.
const MOST_LATE: f64 = 0.5;

impl Fleet {
    /// Returns whether paces count at a service with these servers.
    fn counts_pace(&self, peers: &Peers) -> bool {
        self.switches.pace && (peers.are_disturbed() || !self.switches.shared_vms)
    }

    /// Returns what the paces of a service's servers are measured by; `None` if
    /// they do not count.
    pub(super) fn measure(
        &self,
        now: Time,
        service: &str,
        keys: &[ServerKey],
    ) -> Option<Measure<'_>> {
        let peers = self.peers.get(service)?;
        if !self.counts_pace(peers) {
            return None;
        }
        let late = keys.iter();
        let late = late.filter(|&&key| self.members[key].pace.is_late(now, peers));
        let waits = late.count() as f64 <= keys.len() as f64 * MOST_LATE;
        Some(Measure { peers, waits })
    }

    /// Notes that a request whose answer begins with `span` waits for it from
    /// now on; `None` if nothing is learned from that.
    pub fn begin_wait(
        &mut self,
        now: Time,
        key: ServerKey,
        work: &Work,
        span: Span,
    ) -> Option<WaitKey> {
        let service = &self.members.get(key)?.server.service;
        if !self.counts_pace(self.peers.get(service)?) {
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

    /// Notes that the wait for an answer is over, and that the answer came.
    pub fn end_wait(&mut self, key: ServerKey, wait: WaitKey) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let peers = self.peers.get_mut(&member.server.service);
        if let (Some(wait), Some(peers)) = (member.pace.end_wait(wait), peers) {
            peers.note_answer(wait.sent);
        }
    }

    /// Notes that the wait for an answer is over, and that none came.
    pub fn give_up(&mut self, now: Time, key: ServerKey, wait: WaitKey) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let centre = &member.server.centre;
        let peers = self.peers.get_mut(&member.server.service);
        if let (Some(wait), Some(peers)) = (member.pace.end_wait(wait), peers) {
            let sample = wait.sample(now);
            member.pace.observe_least(now, sample, peers, centre);
            let change = member.pace.note(now, peers, &member.server.id, centre);
            self.pace_changes.extend(change);
        }
    }

    /// Learns how fast a server is from what a part of an answer took, and
    /// returns what that would have taken at a usual one.
    pub(super) fn learn_pace(
        &mut self,
        now: Time,
        key: ServerKey,
        work: &Work,
        span: Span,
        took: Duration,
    ) -> Duration {
        let (switches, member) = (self.switches, self.members.get_mut(key));
        let Some(member) = member.filter(|_| switches.pace) else {
            return took;
        };
        let (service, centre) = (&member.server.service, &member.server.centre);
        let Some(peers) = self.peers.get_mut(service) else {
            return took;
        };
        if switches.shared_vms && !peers.are_disturbed() {
            return took;
        }
        let times = self.times.entry(service.clone()).or_default();
        let sample = Sample {
            span,
            expected: times.expected(work, span),
            observed: took.as_secs_f64() * 1_000.0,
        };
        let factor = member.pace.factor(now, peers, centre) * member.pace.moment(now);
        member.pace.observe(now, sample, peers, centre);
        let change = member.pace.note(now, peers, &member.server.id, centre);
        self.pace_changes.extend(change);
        took.div_f64(factor)
    }

    /// Returns the servers that turned slow beside their peers, or recovered,
    /// since it was last asked.
    pub fn pace_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.pace_changes)
    }

    /// Returns how many servers of a service are slow beside the others; `None`
    /// if that does not count.
    pub fn pace_summary(&self, now: Time, service: &str) -> Option<PaceSummary> {
        let keys = self.services.get(service)?;
        let measure = self.measure(now, service, keys)?;
        let mut summary = PaceSummary::default();
        for &key in keys {
            summary.count(self.members[key].pace(now, &measure));
        }
        Some(summary)
    }
}
