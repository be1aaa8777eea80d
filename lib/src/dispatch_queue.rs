//! Requests that wait in a gateway for a server with room, and which of them
//! goes next.
//!
//! The most urgent rank goes first. Within a rank workspaces take turns by the
//! work of their requests, so that one that sends a flood waits for itself, and
//! within a workspace the request goes first that has to begin first. A request
//! waits only as long as its work can still be done in its time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;
use thiserror::Error;

use crate::time::Time;

/// Wait after which a request's rank no longer stands back behind more urgent
/// ones: half of the shortest time that callers give a request.
const AGED: Duration = Duration::from_millis(600);
/// One in so many requests is of an aged rank; the others go by urgency.
const AGED_EVERY: u32 = 8;
/// Least work that a request counts as.
const LEAST_WORK: Duration = Duration::from_millis(1);
/// Shortest and longest time after which a refused caller is to come back.
const RETRY_LEAST: Duration = Duration::from_millis(120);
const RETRY_MOST: Duration = Duration::from_secs(1);

new_key_type! {
    /// Names a request that waits.
    pub struct EntryKey;
}

/// Most that waits at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// Requests.
    pub length: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
}

/// A request that found no room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Name of the workspace that sent it; those without one have a share
    /// together.
    pub workspace: Option<Arc<str>>,
    /// Its rank, 0 the most urgent.
    pub rank: u8,
    /// When it came.
    pub since: Time,
    /// When it has to be sent at the latest to be answered in its time.
    pub until: Time,
    /// Its usual work.
    pub work: Duration,
    /// Bytes of its body.
    pub bytes: usize,
}

/// Why a request does not wait. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QueueRefusal {
    /// It would not be sent in its time.
    #[error("servers are full, and the queue takes longer than there is time; come back")]
    Slow {
        /// When the caller is to come back.
        after: Duration,
    },
    /// No server had room while its time covered its work.
    #[error("servers were full until the time left was too short for the work; come back")]
    Late {
        /// When the caller is to come back.
        after: Duration,
    },
    /// Too many wait.
    #[error("servers are full, and too many requests wait for them; come back")]
    Full {
        /// When the caller is to come back.
        after: Duration,
    },
}

impl QueueRefusal {
    /// Returns when the caller is to come back.
    pub fn after(self) -> Duration {
        match self {
            Self::Slow { after } | Self::Late { after } | Self::Full { after } => after,
        }
    }
}

/// A request that waits now.
#[derive(Debug)]
pub struct Pushed<T> {
    /// Its key.
    pub key: EntryKey,
    /// What the owners of those left that had to leave for it.
    pub displaced: Vec<T>,
}

#[derive(Debug)]
struct Entry<T> {
    waiting: Waiting,
    place: Place,
    owner: T,
}

/// Place among the requests of a workspace: when it has to begin, then in order
/// of arrival.
type Place = (Time, u64, EntryKey);

/// The requests of one workspace in one rank.
#[derive(Debug, Default)]
struct Share {
    credit: Duration,
    places: BTreeSet<Place>,
}

/// The requests of one rank.
#[derive(Debug, Default)]
struct Rank {
    /// Workspaces in the order in which they have their turn.
    round: VecDeque<Option<Arc<str>>>,
    shares: BTreeMap<Option<Arc<str>>, Share>,
    /// Most work of a request so far, which each turn gives.
    turn: Duration,
    ages: BTreeSet<(Time, EntryKey)>,
}

impl Rank {
    fn add(&mut self, waiting: &Waiting, place: Place) {
        self.turn = self.turn.max(waiting.work);
        let name = &waiting.workspace;
        if !self.shares.contains_key(name) {
            self.round.push_back(name.clone());
            let share = Share {
                credit: self.turn,
                places: BTreeSet::new(),
            };
            self.shares.insert(name.clone(), share);
        }
        if let Some(share) = self.shares.get_mut(name) {
            share.places.insert(place);
        }
        self.ages.insert((waiting.since, place.2));
    }

    fn remove(&mut self, waiting: &Waiting, place: &Place) {
        self.ages.remove(&(waiting.since, place.2));
        let name = &waiting.workspace;
        let Some(share) = self.shares.get_mut(name) else {
            return;
        };
        share.places.remove(place);
        if share.places.is_empty() {
            self.shares.remove(name);
            self.round.retain(|other| other != name);
        }
    }

    /// Returns whose turn it is, and takes its work off its workspace's credit.
    fn next(&mut self, work: impl Fn(EntryKey) -> Duration) -> Option<EntryKey> {
        loop {
            let name = self.round.front()?;
            let share = self.shares.get_mut(name)?;
            let key = share.places.first()?.2;
            let cost = work(key);
            if let Some(rest) = share.credit.checked_sub(cost) {
                share.credit = rest;
                return Some(key);
            }
            share.credit += self.turn;
            self.round.rotate_left(1);
        }
    }

    /// Returns the newest request but `spared` of the workspace that has most.
    fn newest(&self, spared: Option<EntryKey>) -> Option<EntryKey> {
        let shares = self.shares.values();
        let all = shares.filter_map(|share| {
            let places = share.places.iter();
            let others = places.filter(|place| Some(place.2) != spared);
            let (order, key) = others.map(|&(_, order, key)| (order, key)).max()?;
            Some((share.places.len(), order, key))
        });
        all.max().map(|(_, _, key)| key)
    }

    /// Returns how many go before a request that comes now.
    fn ahead(&self, waiting: &Waiting) -> usize {
        let own = self.shares.get(&waiting.workspace).map_or(0, |share| {
            let places = share.places.iter();
            places.take_while(|place| place.0 <= waiting.until).count()
        });
        let others = self.shares.iter();
        let others = others.filter(|(name, _)| **name != waiting.workspace);
        let before = others.map(|(_, share)| share.places.len().min(own + 1));
        own + before.sum::<usize>()
    }
}

/// The requests that wait for the servers of one service. `T` is what their
/// owners leave with them, to be told by.
#[derive(Debug)]
pub struct DispatchQueue<T> {
    bounds: QueueBounds,
    entries: SlotMap<EntryKey, Entry<T>>,
    ranks: BTreeMap<u8, Rank>,
    bytes: usize,
    arrivals: u64,
    /// Requests that went by urgency since one went by age.
    urgent: u32,
}

impl<T> DispatchQueue<T> {
    /// Makes an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            entries: SlotMap::with_key(),
            ranks: BTreeMap::new(),
            bytes: 0,
            arrivals: 0,
            urgent: 0,
        }
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of those that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how long the oldest one has been there.
    pub fn oldest(&self, now: Time) -> Duration {
        let firsts = self.ranks.values().filter_map(|rank| rank.ages.first());
        let first = firsts.map(|&(since, _)| since).min();
        first.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Lets a request wait, where `rate` requests go a second if that is known.
    ///
    /// # Errors
    ///
    /// Returns a [`QueueRefusal`] if it would wait in vain, or if the queue is
    /// full and all others go before it.
    pub fn push(
        &mut self,
        now: Time,
        waiting: Waiting,
        rate: Option<f64>,
        owner: T,
    ) -> Result<Pushed<T>, QueueRefusal> {
        let expected = self.expected(&waiting, rate);
        let spare = waiting.until.since(now);
        if spare.is_zero() || expected.is_some_and(|wait| wait > spare) {
            let after = expected.unwrap_or_default().saturating_sub(spare);
            let after = after.clamp(RETRY_LEAST, RETRY_MOST);
            return Err(QueueRefusal::Slow { after });
        }
        let full = QueueRefusal::Full {
            after: self.come_back(rate),
        };
        if waiting.bytes > self.bounds.bytes {
            return Err(full);
        }
        let key = self.insert(waiting, owner);
        let mut displaced = Vec::new();
        while self.is_over() {
            // It stays if another one had to leave for it.
            let spared = (!displaced.is_empty()).then_some(key);
            let mut ranks = self.ranks.values().rev();
            let Some(last) = ranks.find_map(|rank| rank.newest(spared)) else {
                break;
            };
            let removed = self.remove(last);
            if last == key {
                return Err(full);
            }
            displaced.extend(removed);
        }
        Ok(Pushed { key, displaced })
    }

    /// Returns when callers are to come back that find the queue full.
    pub fn come_back(&self, rate: Option<f64>) -> Duration {
        let drained = rate.map(|rate| seconds(self.len() as f64 / rate));
        drained.unwrap_or_default().clamp(RETRY_LEAST, RETRY_MOST)
    }

    fn is_over(&self) -> bool {
        self.len() > self.bounds.length || self.bytes > self.bounds.bytes
    }

    /// Returns how long a request would wait.
    fn expected(&self, waiting: &Waiting, rate: Option<f64>) -> Option<Duration> {
        let rate = rate?;
        let before = self.ranks.range(..waiting.rank);
        let before: usize = before.map(|(_, rank)| rank.ages.len()).sum();
        let own = self.ranks.get(&waiting.rank);
        let ahead = before + own.map_or(0, |rank| rank.ahead(waiting));
        if ahead == 0 {
            return None;
        }
        Some(seconds(ahead as f64 / rate))
    }

    fn insert(&mut self, waiting: Waiting, owner: T) -> EntryKey {
        let waiting = Waiting {
            work: waiting.work.max(LEAST_WORK),
            ..waiting
        };
        self.bytes += waiting.bytes;
        self.arrivals += 1;
        let order = self.arrivals;
        let key = self.entries.insert_with_key(|key| Entry {
            place: (waiting.until, order, key),
            waiting,
            owner,
        });
        let Entry { waiting, place, .. } = &self.entries[key];
        let rank = self.ranks.entry(waiting.rank).or_default();
        rank.add(waiting, *place);
        key
    }

    /// Removes a request, if it still waits, and returns what its owner left.
    pub fn remove(&mut self, key: EntryKey) -> Option<T> {
        let Entry {
            waiting,
            place,
            owner,
        } = self.entries.remove(key)?;
        self.bytes -= waiting.bytes;
        if let Some(rank) = self.ranks.get_mut(&waiting.rank) {
            rank.remove(&waiting, &place);
            if rank.shares.is_empty() {
                self.ranks.remove(&waiting.rank);
            }
        }
        Some(owner)
    }

    /// Removes those that can no longer be answered in their time.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let shares = self.ranks.values().flat_map(|rank| rank.shares.values());
        let places = shares.flat_map(|share| &share.places);
        let late: Vec<EntryKey> = places
            .filter(|(until, ..)| *until < now)
            .map(|&(_, _, key)| key)
            .collect();
        late.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Removes the request that goes next.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let aged = self.aged(now);
        self.urgent = aged.map_or(self.urgent.saturating_add(1), |_| 0);
        let number = aged.or_else(|| self.ranks.keys().next().copied())?;
        let entries = &self.entries;
        let rank = self.ranks.get_mut(&number)?;
        let key = rank.next(|key| entries[key].waiting.work)?;
        self.remove(key)
    }

    /// Returns the rank that waits longest behind more urgent ones, if it has
    /// its turn.
    fn aged(&self, now: Time) -> Option<u8> {
        if self.urgent + 1 < AGED_EVERY {
            return None;
        }
        let behind = self.ranks.iter().skip(1);
        let oldest = behind.filter_map(|(&number, rank)| {
            let &(since, _) = rank.ages.first()?;
            (now.since(since) >= AGED).then_some((since, number))
        });
        oldest.min().map(|(_, number)| number)
    }
}

/// Returns a time that may be endless.
fn seconds(count: f64) -> Duration {
    Duration::try_from_secs_f64(count).unwrap_or(Duration::MAX)
}
