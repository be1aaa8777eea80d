//! In what order the calls that wait for one backend server run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::Deployment;
use crate::program::Urgency;
use crate::time::Time;

/// How long a call of a fresh program waits while one that has had
/// [`AGE_TOKENS`] tokens more goes before it.
const AGE: Duration = Duration::from_secs(10);
/// Attained service that outweighs [`AGE`] of waiting.
const AGE_TOKENS: u64 = 20_000;
/// How long a background call lets others go before it.
const BACKGROUND_DELAY: Duration = Duration::from_secs(60);
/// A call whose deadline is this near counts as urgent.
const NEAR_DEADLINE: Duration = Duration::from_secs(2);

/// What the order of a queue may depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// When the call came.
    pub arrived: Time,
    /// When it is of no use any more.
    pub deadline: Time,
    /// How soon it is needed.
    pub urgency: Urgency,
    /// Tokens that its program has had.
    pub attained: u64,
    /// Its deployment.
    pub deployment: Deployment,
}

/// A place in the order: lower ranks run first.
pub type Rank = (u8, u128);

/// Ranks the calls that wait.
pub trait Ordering {
    /// Returns the rank of a call. It does not change while the call waits.
    fn rank(&self, call: &Waiting) -> Rank;
}

/// The first to come is the first to run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstCome;

impl Ordering for FirstCome {
    fn rank(&self, call: &Waiting) -> Rank {
        (0, micros(call.arrived))
    }
}

/// Urgent calls by their deadline; the others by the service that their
/// programs have had, against the time that they have waited, so that short
/// programs end soon and long ones do not starve.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastAttained;

impl Ordering for LeastAttained {
    fn rank(&self, call: &Waiting) -> Rank {
        let short = call.deadline.since(call.arrived) <= NEAR_DEADLINE;
        if call.urgency == Urgency::Urgent || short {
            return (0, micros(call.deadline));
        }
        let penalty = u128::from(call.attained) * AGE.as_micros() / u128::from(AGE_TOKENS);
        let patient = if call.urgency == Urgency::Background {
            BACKGROUND_DELAY.as_micros()
        } else {
            0
        };
        (1, micros(call.arrived) + penalty + patient)
    }
}

fn micros(time: Time) -> u128 {
    time.since(Time::default()).as_micros()
}

/// Calls that wait for one backend server; deployments take turns, so that
/// none starves another.
#[derive(Clone, Debug)]
pub struct Queue<K> {
    lanes: BTreeMap<Deployment, BTreeSet<(Rank, K)>>,
    turns: BTreeMap<Deployment, u64>,
    places: BTreeMap<K, (Deployment, Rank)>,
    floor: u64,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            turns: BTreeMap::new(),
            places: BTreeMap::new(),
            floor: 0,
        }
    }
}

impl<K: Copy + Ord> Queue<K> {
    /// Returns the number of calls that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a call of `deployment` under `rank`.
    pub fn push(&mut self, key: K, deployment: &Deployment, rank: Rank) {
        let lane = self.lanes.entry(deployment.clone()).or_default();
        if lane.is_empty() {
            // A lane that was empty does not get the turns that it missed.
            let turn = self.turns.entry(deployment.clone()).or_default();
            *turn = (*turn).max(self.floor);
        }
        lane.insert((rank, key));
        self.places.insert(key, (deployment.clone(), rank));
    }

    /// Takes the call that runs next. Urgent calls, of class zero, go before
    /// all turns; otherwise the deployment that has had the fewest turns is
    /// next, and in it the lowest rank.
    pub fn pop(&mut self) -> Option<K> {
        let best = |(name, lane): (&Deployment, &BTreeSet<(Rank, K)>)| {
            let first = lane.first()?;
            let turn = self.turns.get(name).copied().unwrap_or(0);
            let urgent = (first.0.0 == 0).then_some(first.0.1);
            Some((
                (urgent.is_none(), urgent.unwrap_or(0), first.0.0, turn),
                first.1,
            ))
        };
        let (_, key) = self.lanes.iter().filter_map(best).min()?;
        let (name, _) = self.places.get(&key)?;
        let turn = self.turns.entry(name.clone()).or_default();
        self.floor = self.floor.max(*turn);
        *turn += 1;
        self.remove(key);
        Some(key)
    }

    /// Removes a call, if it waits.
    pub fn remove(&mut self, key: K) -> bool {
        let Some((name, rank)) = self.places.remove(&key) else {
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
