//! Limits the number of running and waiting calls of each deployment.

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
struct DeploymentCalls {
    running: u64,
    queued: BTreeSet<(Urgency, Time, CallId)>,
}

/// The running and waiting calls of each deployment.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    deployments: BTreeMap<Key, DeploymentCalls>,
}

impl Admission {
    /// Starts a call if the limit allows and no call waits. Returns whether it
    /// was started.
    pub fn try_start(&mut self, key: &Key, limits: &Limits) -> bool {
        let calls = self.deployments.entry(key.clone()).or_default();
        if calls.running >= limits.running || !calls.queued.is_empty() {
            return false;
        }
        calls.running += 1;
        true
    }

    /// Queues a call if the limit allows. Returns whether it was queued.
    pub fn try_queue(
        &mut self,
        key: &Key,
        limits: &Limits,
        urgency: Urgency,
        now: Time,
        call: CallId,
    ) -> bool {
        let calls = self.deployments.entry(key.clone()).or_default();
        if calls.queued.len() as u64 >= limits.waiting {
            return false;
        }
        calls.queued.insert((urgency, now, call))
    }

    /// Frees the slot of a running call that has ended.
    pub fn finish(&mut self, key: &Key) {
        if let Some(calls) = self.deployments.get_mut(key) {
            calls.running = calls.running.saturating_sub(1);
        }
    }

    /// Removes a call from the queue.
    pub fn remove_queued(&mut self, key: &Key, call: CallId) {
        if let Some(calls) = self.deployments.get_mut(key) {
            calls.queued.retain(|(_, _, queued)| *queued != call);
        }
    }

    /// Starts the most urgent waiting call, if the limit allows.
    pub fn start_next(&mut self, key: &Key, limits: &Limits) -> Option<CallId> {
        let calls = self.deployments.get_mut(key)?;
        if calls.running >= limits.running {
            return None;
        }
        let (_, _, call) = calls.queued.pop_first()?;
        calls.running += 1;
        Some(call)
    }
}
