//! Queue of the calls that wait for one backend server, and the policies that
//! order it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::Deployment;
use crate::program::Urgency;
use crate::time::Time;

/// Delay in the order for each [`ATTAINED_TOKENS`] of attained service: a call
/// of a program with that many tokens runs before a call of a new program only
/// if it arrived this much earlier.
const ATTAINED_DELAY: Duration = Duration::from_secs(10);
/// Attained service that counts as much as [`ATTAINED_DELAY`] of waiting.
const ATTAINED_TOKENS: u64 = 20_000;
/// Delay of a background call in the order.
const BACKGROUND_DELAY: Duration = Duration::from_secs(60);
/// A call whose deadline is at most this long after its arrival counts as
/// urgent.
const NEAR_DEADLINE: Duration = Duration::from_secs(2);

/// Properties of a waiting call that its rank may depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// When the call arrived.
    pub arrived: Time,
    /// When the call expires.
    pub deadline: Time,
    /// Its scheduling class.
    pub urgency: Urgency,
    /// Tokens that its program has consumed so far.
    pub attained: u64,
    /// Its deployment.
    pub deployment: Deployment,
}

/// Position in the order, as a class and a time within it; lower ranks run
/// first. Calls of class 0 run before all others, whatever their deployment.
pub type Rank = (u8, u128);

/// A policy that ranks the waiting calls.
pub trait RankPolicy {
    /// Returns the rank of a call. It is computed once, when the call is queued.
    fn rank(&self, call: &Waiting) -> Rank;
}

/// First in, first out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fifo;

impl RankPolicy for Fifo {
    fn rank(&self, call: &Waiting) -> Rank {
        (0, micros(call.arrived))
    }
}

/// Least attained service first, with aging. Urgent calls are ordered by
/// deadline; the others by arrival, delayed in proportion to the tokens that
/// their programs have consumed, so that short programs finish soon and long
/// ones do not starve.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastAttained;

impl RankPolicy for LeastAttained {
    fn rank(&self, call: &Waiting) -> Rank {
        let near_deadline = call.deadline.since(call.arrived) <= NEAR_DEADLINE;
        if call.urgency == Urgency::Urgent || near_deadline {
            return (0, micros(call.deadline));
        }
        let penalty =
            u128::from(call.attained) * ATTAINED_DELAY.as_micros() / u128::from(ATTAINED_TOKENS);
        let background_delay = if call.urgency == Urgency::Background {
            BACKGROUND_DELAY.as_micros()
        } else {
            0
        };
        (1, micros(call.arrived) + penalty + background_delay)
    }
}

fn micros(time: Time) -> u128 {
    time.since(Time::default()).as_micros()
}

/// Calls that wait for one backend server. Deployments are served in fair
/// shares, so that none starves another.
#[derive(Clone, Debug)]
pub struct Queue<K> {
    /// Waiting calls of each deployment, in the order of their ranks.
    lanes: BTreeMap<Deployment, BTreeSet<(Rank, K)>>,
    /// Number of calls that each deployment has been served, raised to
    /// `virtual_time` after a period without calls.
    served: BTreeMap<Deployment, u64>,
    /// Deployment and rank of each waiting call.
    entries: BTreeMap<K, (Deployment, Rank)>,
    /// Highest number in `served` of a deployment when it was picked; the
    /// virtual time of fair queueing.
    virtual_time: u64,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            served: BTreeMap::new(),
            entries: BTreeMap::new(),
            virtual_time: 0,
        }
    }
}

impl<K: Copy + Ord> Queue<K> {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a call of `deployment` under `rank`.
    pub fn push(&mut self, key: K, deployment: &Deployment, rank: Rank) {
        let lane = self.lanes.entry(deployment.clone()).or_default();
        if lane.is_empty() {
            // A deployment gets no credit for the time in which it had no calls.
            let served = self.served.entry(deployment.clone()).or_default();
            *served = (*served).max(self.virtual_time);
        }
        lane.insert((rank, key));
        self.entries.insert(key, (deployment.clone(), rank));
    }

    /// Removes and returns the call to run next. Calls of class 0 run first, by
    /// rank across all deployments. Otherwise, the deployment that has been
    /// served the fewest calls is next, with its lowest rank.
    pub fn pop(&mut self) -> Option<K> {
        let best = |(name, lane): (&Deployment, &BTreeSet<(Rank, K)>)| {
            let first = lane.first()?;
            let served = self.served.get(name).copied().unwrap_or(0);
            let urgent = (first.0.0 == 0).then_some(first.0.1);
            Some((
                (urgent.is_none(), urgent.unwrap_or(0), first.0.0, served),
                first.1,
            ))
        };
        let (_, key) = self.lanes.iter().filter_map(best).min()?;
        let (name, _) = self.entries.get(&key)?;
        let served = self.served.entry(name.clone()).or_default();
        self.virtual_time = self.virtual_time.max(*served);
        *served += 1;
        self.remove(key);
        Some(key)
    }

    /// Removes a call; returns whether it was waiting.
    pub fn remove(&mut self, key: K) -> bool {
        let Some((name, rank)) = self.entries.remove(&key) else {
            return false;
        };
        if let Some(lane) = self.lanes.get_mut(&name) {
            lane.remove(&(rank, key));
            if lane.is_empty() {
                self.lanes.remove(&name);
            }
        }
        true
    }
}
