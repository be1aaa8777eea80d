//! Queue in a gateway of requests for which no server has room.
//!
//! The most urgent rank is served first. Within a rank the workspaces share the
//! service by the work of their requests (deficit round robin), so that a
//! workspace that sends a flood delays only itself. Within a workspace, requests
//! are served in the order of the latest times at which they have to be sent. A
//! request is queued only as long as its work can still be completed in time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;
use thiserror::Error;

use crate::time::Time;
use crate::time::span_from_secs;

/// Wait after which a request of a less urgent rank may be served before more
/// urgent ones: half of the shortest time limit that callers set for a request.
const AGED_AFTER: Duration = Duration::from_millis(600);
/// One in this many requests is taken from a rank with such an aged request; the
/// others are served by urgency.
const AGED_EVERY: u32 = 8;
/// Minimum work that is charged for a request.
const MIN_WORK: Duration = Duration::from_millis(1);
/// Bounds of the time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(120);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a queued request.
    pub struct EntryKey;
}

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// Number of requests.
    pub length: usize,
    /// Total size of their bodies, in bytes.
    pub bytes: usize,
}

/// A request for which no server has room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Name of the workspace that sent the request; requests without a workspace
    /// share one queue.
    pub workspace: Option<Arc<str>>,
    /// The request's rank; 0 is the most urgent.
    pub rank: u8,
    /// When the request arrived.
    pub arrived_at: Time,
    /// Latest time to send the request so that it is answered in time.
    pub send_by: Time,
    /// Typical work of the request.
    pub work: Duration,
    /// Size of the request's body, in bytes.
    pub bytes: usize,
}

/// Why a request is not queued, or no longer. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QueueRefusal {
    /// The expected wait is longer than the request's time limit allows.
    #[error("servers are full, and the queue takes longer than there is time; come back")]
    Slow {
        /// After which time the caller should retry.
        retry_after: Duration,
    },
    /// No server had room while there was enough time left for the work.
    #[error("servers were full until the time left was too short for the work; come back")]
    Late {
        /// After which time the caller should retry.
        retry_after: Duration,
    },
    /// The queue is full.
    #[error("servers are full, and too many requests wait for them; come back")]
    Full {
        /// After which time the caller should retry.
        retry_after: Duration,
    },
}

impl QueueRefusal {
    /// Returns after which time the caller should retry.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Slow { retry_after }
            | Self::Late { retry_after }
            | Self::Full { retry_after } => retry_after,
        }
    }
}

/// Result of queueing a request.
#[derive(Debug)]
pub struct Pushed<T> {
    /// The request's key.
    pub key: EntryKey,
    /// Owners of the requests that were removed to make room for it.
    pub displaced: Vec<T>,
}

#[derive(Debug)]
struct Entry<T> {
    waiting: QueuedRequest,
    position: Position,
    owner: T,
}

/// Order of the requests of a workspace: by the latest time to send them, then by
/// arrival.
type Position = (Time, u64, EntryKey);

/// The requests of one workspace in one rank.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    credit: Duration,
    positions: BTreeSet<Position>,
}

/// The requests of one rank.
#[derive(Debug, Default)]
struct Rank {
    /// Workspaces in round-robin order.
    round: VecDeque<Option<Arc<str>>>,
    queues: BTreeMap<Option<Arc<str>>, WorkspaceQueue>,
    /// Credit that a workspace receives per round: the largest work of a request so
    /// far.
    quantum: Duration,
    ages: BTreeSet<(Time, EntryKey)>,
}

impl Rank {
    fn add(&mut self, waiting: &QueuedRequest, position: Position) {
        self.quantum = self.quantum.max(waiting.work);
        let name = &waiting.workspace;
        if !self.queues.contains_key(name) {
            self.round.push_back(name.clone());
            let queue = WorkspaceQueue {
                credit: self.quantum,
                positions: BTreeSet::new(),
            };
            self.queues.insert(name.clone(), queue);
        }
        if let Some(queue) = self.queues.get_mut(name) {
            queue.positions.insert(position);
        }
        self.ages.insert((waiting.arrived_at, position.2));
    }

    fn remove(&mut self, waiting: &QueuedRequest, position: &Position) {
        self.ages.remove(&(waiting.arrived_at, position.2));
        let name = &waiting.workspace;
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        queue.positions.remove(position);
        if queue.positions.is_empty() {
            self.queues.remove(name);
            self.round.retain(|other| other != name);
        }
    }

    /// Returns the request to serve next, and charges its work to its workspace.
    fn next(&mut self, work: impl Fn(EntryKey) -> Duration) -> Option<EntryKey> {
        loop {
            let name = self.round.front()?;
            let queue = self.queues.get_mut(name)?;
            let key = queue.positions.first()?.2;
            let cost = work(key);
            if let Some(rest) = queue.credit.checked_sub(cost) {
                queue.credit = rest;
                return Some(key);
            }
            queue.credit += self.quantum;
            self.round.rotate_left(1);
        }
    }

    /// Returns the newest request, other than `kept`, of the workspace with most.
    fn newest(&self, kept: Option<EntryKey>) -> Option<EntryKey> {
        let queues = self.queues.values();
        let all = queues.filter_map(|queue| {
            let positions = queue.positions.iter();
            let others = positions.filter(|position| Some(position.2) != kept);
            let (order, key) = others.map(|&(_, order, key)| (order, key)).max()?;
            Some((queue.positions.len(), order, key))
        });
        all.max().map(|(_, _, key)| key)
    }

    /// Returns how many requests of this rank would be served before a new one.
    fn requests_ahead(&self, waiting: &QueuedRequest) -> usize {
        let own = self.queues.get(&waiting.workspace).map_or(0, |queue| {
            let positions = queue.positions.iter();
            positions
                .take_while(|position| position.0 <= waiting.send_by)
                .count()
        });
        let others = self.queues.iter();
        let others = others.filter(|(name, _)| **name != waiting.workspace);
        let before = others.map(|(_, queue)| queue.positions.len().min(own + 1));
        own + before.sum::<usize>()
    }
}

/// The requests that wait for the servers of one service. `T` is how the owner of
/// a request is notified.
#[derive(Debug)]
pub struct DispatchQueue<T> {
    bounds: QueueBounds,
    entries: SlotMap<EntryKey, Entry<T>>,
    ranks: BTreeMap<u8, Rank>,
    bytes: usize,
    arrivals: u64,
    /// Requests that were served by urgency since the last one that was served by
    /// age.
    since_aged: u32,
}

impl<T> DispatchQueue<T> {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            entries: SlotMap::with_key(),
            ranks: BTreeMap::new(),
            bytes: 0,
            arrivals: 0,
            since_aged: 0,
        }
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the requests' bodies, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how long the oldest request has waited.
    pub fn oldest(&self, now: Time) -> Duration {
        let firsts = self.ranks.values().filter_map(|rank| rank.ages.first());
        let first = firsts.map(|&(since, _)| since).min();
        first.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Queues a request. `rate` is the number of requests that are served per
    /// second, if that is known.
    ///
    /// # Errors
    ///
    /// Returns a [`QueueRefusal`] if the request would not be served in time, or if
    /// the queue is full and all other requests take precedence.
    pub fn push(
        &mut self,
        now: Time,
        waiting: QueuedRequest,
        rate: Option<f64>,
        owner: T,
    ) -> Result<Pushed<T>, QueueRefusal> {
        let expected = self.expected_wait(&waiting, rate);
        let spare = waiting.send_by.since(now);
        if spare.is_zero() || expected.is_some_and(|wait| wait > spare) {
            let after = expected.unwrap_or_default().saturating_sub(spare);
            let after = after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Err(QueueRefusal::Slow { retry_after: after });
        }
        let full = QueueRefusal::Full {
            retry_after: self.retry_after(rate),
        };
        if waiting.bytes > self.bounds.bytes {
            return Err(full);
        }
        let key = self.insert(waiting, owner);
        let mut displaced = Vec::new();
        while self.exceeds_bounds() {
            // Once another request was removed for this one, this one is kept.
            let kept = (!displaced.is_empty()).then_some(key);
            let mut ranks = self.ranks.values().rev();
            let Some(last) = ranks.find_map(|rank| rank.newest(kept)) else {
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

    /// Returns after which time callers should retry that find the queue full.
    pub fn retry_after(&self, rate: Option<f64>) -> Duration {
        let drained = rate.map(|rate| span_from_secs(self.len() as f64 / rate));
        drained
            .unwrap_or_default()
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn exceeds_bounds(&self) -> bool {
        self.len() > self.bounds.length || self.bytes > self.bounds.bytes
    }

    /// Returns how long a new request would wait; `None` if that is not known, or if
    /// no request is ahead of it.
    fn expected_wait(&self, waiting: &QueuedRequest, rate: Option<f64>) -> Option<Duration> {
        let rate = rate?;
        let before = self.ranks.range(..waiting.rank);
        let before: usize = before.map(|(_, rank)| rank.ages.len()).sum();
        let own = self.ranks.get(&waiting.rank);
        let ahead = before + own.map_or(0, |rank| rank.requests_ahead(waiting));
        if ahead == 0 {
            return None;
        }
        Some(span_from_secs(ahead as f64 / rate))
    }

    fn insert(&mut self, waiting: QueuedRequest, owner: T) -> EntryKey {
        let waiting = QueuedRequest {
            work: waiting.work.max(MIN_WORK),
            ..waiting
        };
        self.bytes += waiting.bytes;
        self.arrivals += 1;
        let order = self.arrivals;
        let key = self.entries.insert_with_key(|key| Entry {
            position: (waiting.send_by, order, key),
            waiting,
            owner,
        });
        let Entry {
            waiting, position, ..
        } = &self.entries[key];
        let rank = self.ranks.entry(waiting.rank).or_default();
        rank.add(waiting, *position);
        key
    }

    /// Removes a request, if it is still queued, and returns its owner.
    pub fn remove(&mut self, key: EntryKey) -> Option<T> {
        let Entry {
            waiting,
            position,
            owner,
        } = self.entries.remove(key)?;
        self.bytes -= waiting.bytes;
        if let Some(rank) = self.ranks.get_mut(&waiting.rank) {
            rank.remove(&waiting, &position);
            if rank.queues.is_empty() {
                self.ranks.remove(&waiting.rank);
            }
        }
        Some(owner)
    }

    /// Removes the requests that can no longer be answered in time, and returns
    /// their owners.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let queues = self.ranks.values().flat_map(|rank| rank.queues.values());
        let positions = queues.flat_map(|queue| &queue.positions);
        let late: Vec<EntryKey> = positions
            .filter(|(until, ..)| *until < now)
            .map(|&(_, _, key)| key)
            .collect();
        late.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Removes the request to serve next, and returns its owner.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let aged = self.due_aged_rank(now);
        self.since_aged = aged.map_or(self.since_aged.saturating_add(1), |_| 0);
        let number = aged.or_else(|| self.ranks.keys().next().copied())?;
        let entries = &self.entries;
        let rank = self.ranks.get_mut(&number)?;
        let key = rank.next(|key| entries[key].waiting.work)?;
        self.remove(key)
    }

    /// Returns the rank, other than the most urgent one, whose oldest request has
    /// waited longest, if it has aged and a request is due to be served by age.
    fn due_aged_rank(&self, now: Time) -> Option<u8> {
        if self.since_aged + 1 < AGED_EVERY {
            return None;
        }
        let behind = self.ranks.iter().skip(1);
        let oldest = behind.filter_map(|(&number, rank)| {
            let &(since, _) = rank.ages.first()?;
            (now.since(since) >= AGED_AFTER).then_some((since, number))
        });
        oldest.min().map(|(_, number)| number)
    }
}
