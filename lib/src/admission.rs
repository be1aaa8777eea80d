//! How many calls of a deployment run and wait at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::document::Limits;
use crate::id::CallId;
use crate::id::Deployment;
use crate::id::Operator;
use crate::program::Urgency;
use crate::time::Time;

type Key = (Operator, Deployment);

#[derive(Clone, Debug, Default)]
struct Lane {
    running: u64,
    waiting: BTreeSet<(Urgency, Time, CallId)>,
}

/// The calls that run and wait, by deployment.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    lanes: BTreeMap<Key, Lane>,
}

impl Admission {
    /// Lets a call run, if fewer run than may; returns whether it does.
    pub fn enter(&mut self, key: &Key, limits: &Limits) -> bool {
        let lane = self.lanes.entry(key.clone()).or_default();
        if lane.running >= limits.running || !lane.waiting.is_empty() {
            return false;
        }
        lane.running += 1;
        true
    }

    /// Lets a call wait, if fewer wait than may; returns whether it does.
    pub fn wait(
        &mut self,
        key: &Key,
        limits: &Limits,
        urgency: Urgency,
        now: Time,
        call: CallId,
    ) -> bool {
        let lane = self.lanes.entry(key.clone()).or_default();
        if lane.waiting.len() as u64 >= limits.waiting {
            return false;
        }
        lane.waiting.insert((urgency, now, call))
    }

    /// Notes that a running call has ended.
    pub fn leave(&mut self, key: &Key) {
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.running = lane.running.saturating_sub(1);
        }
    }

    /// Removes a call that waits.
    pub fn withdraw(&mut self, key: &Key, call: CallId) {
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.waiting.retain(|(_, _, waiting)| *waiting != call);
        }
    }

    /// Lets the most urgent of the waiting calls run, if one may.
    pub fn next(&mut self, key: &Key, limits: &Limits) -> Option<CallId> {
        let lane = self.lanes.get_mut(key)?;
        if lane.running >= limits.running {
            return None;
        }
        let (_, _, call) = lane.waiting.pop_first()?;
        lane.running += 1;
        Some(call)
    }
}
