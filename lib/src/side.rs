//! State machine of a side process. All calls to a backend server pass through
//! its side process, which runs each attempt at most once, rejects orders of
//! previous shard owners, and stores the keeper's copies of shards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::code::Code;
use crate::document::Documents;
use crate::document::Update;
use crate::effect::BackendRequest;
use crate::effect::Effect;
use crate::effect::LogEvent;
use crate::id::Boot;
use crate::id::CallId;
use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::member::Load;
use crate::message::Change;
use crate::message::Heartbeat;
use crate::message::Message;
use crate::message::Order;
use crate::message::OrderRejection;
use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::program::Target;
use crate::program::Urgency;
use crate::queue::Queue;
use crate::rules::Rules;
use crate::shard_copies::CopyRecord;
use crate::shard_copies::ShardCopies;
use crate::shard_map::Block;
use crate::shard_map::ShardMap;
use crate::speed::Speed;
use crate::time::Time;

/// Interval between heartbeats to each peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks for expired calls, records and caches.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How long the outcome of a non-idempotent call is retained if its owner does
/// not confirm that it has recorded it.
const UNCONFIRMED_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Slots of a server that no document lists.
const DEFAULT_SLOTS: u32 = 8;

/// Identifies one attempt at a call: the ids of call and attempt.
pub(crate) type AttemptKey = (CallId, u64);

/// How a request to the backend server ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendResult {
    /// It returned a complete answer.
    Answer(Answer),
    /// The connection failed, or the answer was incomplete.
    Failed,
    /// No connection could be opened; no byte of the request was sent.
    Unreachable,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from an entry was received.
    Message {
        /// The entry.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// A link to another process was established.
    LinkUp {
        /// The other process.
        node: NodeId,
    },
    /// A link was lost.
    LinkDown {
        /// The other process.
        node: NodeId,
    },
    /// A shard block was read at start-up.
    Block {
        /// Number of the block.
        block: u16,
        /// Its revision.
        revision: u64,
        /// Its value.
        value: Block,
    },
    /// The backend server sent part of an answer.
    BackendChunk {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The request to the backend server ended.
    BackendDone {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// How it ended.
        end: BackendResult,
    },
    /// Periodic timer.
    Tick,
    /// The server is shutting down: accept no new work.
    ShutDown,
}

/// State of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptState {
    Queued {
        order: Box<Order>,
        deadline: Time,
    },
    Running {
        bytes: Vec<u8>,
        deadline: Time,
    },
    Done(Outcome),
    /// It did not run; an order for it is not accepted any more.
    Sealed,
}

#[derive(Debug)]
pub(crate) struct AttemptRecord {
    pub(crate) program: ProgramId,
    pub(crate) idempotent: bool,
    /// Whether it was started as a model call.
    pub(crate) model: bool,
    pub(crate) owner: NodeId,
    pub(crate) state: AttemptState,
    pub(crate) tokens: u64,
    /// When it was queued, or when it became `Done` or `Sealed`.
    pub(crate) since: Time,
}

/// The state of a side process.
#[derive(Debug)]
pub struct Side {
    pub(crate) node: NodeId,
    pub(crate) boot: Boot,
    pub(crate) rules: Rules,
    pub(crate) map: ShardMap,
    pub(crate) documents: Documents,
    pub(crate) keeper: ShardCopies,
    /// Whether changes of the shard copies are written to disk.
    pub(crate) persistent: bool,
    pub(crate) records: BTreeMap<AttemptKey, AttemptRecord>,
    pub(crate) queue: Queue<AttemptKey>,
    pub(crate) running: u32,
    /// Number of running calls that are model calls.
    pub(crate) model_calls: u32,
    pub(crate) tokens: u64,
    pub(crate) speed: Speed,
    /// Time up to which the running time of model calls has been added to
    /// `speed`.
    pub(crate) speed_updated: Time,
    pub(crate) peers: BTreeSet<NodeId>,
    /// Programs that may have cache on the server, with the start or end of
    /// their last call.
    pub(crate) cached: BTreeMap<ProgramId, Time>,
    pub(crate) last_heartbeat: Option<Time>,
    pub(crate) last_sweep: Time,
    pub(crate) leaving: bool,
}

impl Side {
    /// Creates the state of a side process whose server is idle.
    pub fn new(node: NodeId, boot: Boot, rules: Rules) -> Self {
        Self {
            map: ShardMap::new(rules.shards),
            node,
            boot,
            rules,
            documents: Documents::default(),
            keeper: ShardCopies::default(),
            persistent: false,
            records: BTreeMap::new(),
            queue: Queue::default(),
            running: 0,
            model_calls: 0,
            tokens: 0,
            speed: Speed::default(),
            speed_updated: Time::default(),
            peers: BTreeSet::new(),
            cached: BTreeMap::new(),
            last_heartbeat: None,
            last_sweep: Time::default(),
            leaving: false,
        }
    }

    /// Restores the shard copies from the records that a previous run of this
    /// process wrote to disk, and writes every later change to disk. The
    /// records must include every acknowledged change: a copy that lacks one
    /// is unusable.
    pub fn recover(&mut self, records: impl IntoIterator<Item = CopyRecord>) {
        self.persistent = true;
        for record in records {
            self.keeper.replay(record);
        }
    }

    /// Returns the shard copies that this process holds as keeper.
    pub fn keeper(&self) -> &ShardCopies {
        &self.keeper
    }

    /// Returns the operators' documents in force.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Returns the load of the backend server.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: self.queue.len() as u32,
            tokens: self.tokens,
            pace: self.speed.pace(),
        }
    }

    /// Returns the number of programs that may have cache on the server.
    pub fn programs_cached(&self) -> usize {
        self.cached.len()
    }

    /// Returns the number of attempt records.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the process may exit: no call is queued or running, no
    /// outcome is unconfirmed by its owner, and no shard has this process as
    /// its keeper.
    pub fn is_idle(&self) -> bool {
        let keeps = self
            .map
            .iter()
            .any(|(_, assignment)| assignment.keeper.as_ref() == Some(&self.node));
        let sealed = |record: &AttemptRecord| matches!(record.state, AttemptState::Sealed);
        !keeps && self.running == 0 && self.records.values().all(sealed)
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Message { from, message } => self.handle_message(now, &from, message, out),
            Event::LinkUp { node } => {
                self.peers.insert(node.clone());
                self.send_heartbeat(&node, out);
            }
            Event::LinkDown { node } => {
                self.peers.remove(&node);
            }
            Event::Block {
                block,
                revision,
                value,
            } => self.update_assignments(block, revision, &value, out),
            Event::BackendChunk {
                call,
                attempt,
                bytes,
            } => self.backend_chunk((call, attempt), bytes, out),
            Event::BackendDone { call, attempt, end } => {
                self.backend_done(now, (call, attempt), end, out);
            }
            Event::Tick => self.tick(now, out),
            Event::ShutDown => self.leave(now, out),
        }
        self.start_next(now, out);
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: &NodeId,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Beat(heartbeat) => self.handle_heartbeat(from, &heartbeat, out),
            Message::Document(text) => self.update_document(&text, out),
            Message::Block {
                block,
                revision,
                value,
            } => self.update_assignments(block, revision, &value, out),
            Message::Adopt {
                shard,
                epoch,
                chosen,
            } => self.adopt(from, shard, epoch, chosen, out),
            Message::Keep {
                shard,
                epoch,
                seq,
                change,
            } => self.keep(from, shard, epoch, seq, change, out),
            Message::Order(order) => self.order(now, from, order, out),
            Message::Settle {
                shard,
                boot,
                call,
                attempt,
            } => self.settle(now, from, shard, boot, (call, attempt), out),
            Message::Cancel {
                shard,
                call,
                attempt,
            } => self.cancel_for(now, shard, (call, attempt), out),
            Message::Forget { call, attempt } => self.forget((call, attempt)),
            Message::Release { program } => self.release_cache(program, out),
            // Other messages are addressed to entries only.
            _ => {}
        }
    }

    // Documents, shard assignments and shard copies.

    fn update_document(&mut self, text: &str, out: &mut Vec<Effect>) {
        if let Update::Applied(version) = self.documents.update(text) {
            out.push(Effect::Log(
                LogEvent::new("document_applied").with("version", version),
            ));
        }
    }

    fn update_assignments(
        &mut self,
        block: u16,
        revision: u64,
        value: &Block,
        out: &mut Vec<Effect>,
    ) {
        for shard in self.map.update(block, revision, value) {
            if let Some(assignment) = self.map.get(shard) {
                self.keeper.raise_fence(shard, assignment.epoch);
            }
        }
        let (map, node) = (&self.map, &self.node);
        let dropped = self.keeper.drop_unassigned(|shard, epoch| {
            map.get(shard).is_none_or(|assignment| {
                assignment.keeper.as_ref() == Some(node) || epoch > assignment.epoch
            })
        });
        for shard in dropped {
            self.store(|| CopyRecord::Drop { shard }, out);
        }
    }

    /// Writes a change of the shard copies to disk if this process has a data
    /// folder.
    fn store(&self, record: impl FnOnce() -> CopyRecord, out: &mut Vec<Effect>) {
        if self.persistent {
            out.push(Effect::Store(Box::new(record())));
        }
    }

    /// Applies a change from a shard's owner; the change is written to disk
    /// before it is acknowledged.
    fn keep(
        &mut self,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        seq: u64,
        change: Change,
        out: &mut Vec<Effect>,
    ) {
        let copy = self.persistent.then(|| change.clone());
        let message = match self.keeper.keep(shard, epoch, seq, change) {
            Ok(kept) => {
                if let Some(change) = copy {
                    let record = || CopyRecord::Keep {
                        shard,
                        epoch,
                        seq,
                        change,
                    };
                    self.store(record, out);
                }
                Message::Kept {
                    shard,
                    epoch,
                    seq: kept,
                }
            }
            Err(fault) => Message::KeepRefused {
                shard,
                epoch,
                fault,
            },
        };
        send(from, message, out);
    }

    fn adopt(
        &mut self,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        chosen: Epoch,
        out: &mut Vec<Effect>,
    ) {
        match self.keeper.adopt(shard, epoch, chosen) {
            Err(fault) => {
                let message = Message::KeepRefused {
                    shard,
                    epoch,
                    fault,
                };
                send(from, message, out);
            }
            Ok(found) => {
                let record = || CopyRecord::Adopt {
                    shard,
                    epoch,
                    chosen,
                };
                self.store(record, out);
                let (seq, copies) = match found {
                    Some((seq, copies)) => (Some(seq), copies),
                    None => (None, Vec::new()),
                };
                for copy in copies {
                    let copy = Box::new(copy);
                    send(from, Message::Copy { shard, epoch, copy }, out);
                }
                send(from, Message::Copied { shard, epoch, seq }, out);
            }
        }
    }

    // Calls to the backend server.

    fn slots(&self) -> u32 {
        self.documents
            .server(&self.node)
            .map_or(DEFAULT_SLOTS, |rules| rules.slots)
    }

    fn start_next(&mut self, now: Time, out: &mut Vec<Effect>) {
        while self.running < self.slots() {
            let Some(key) = self.queue.pop() else {
                return;
            };
            self.start(now, key, out);
        }
    }

    /// Adds the running time of model calls since the last update to `speed`.
    /// Must run before the number of running model calls changes.
    fn update_speed(&mut self, now: Time) {
        let span = now.since(self.speed_updated);
        self.speed_updated = now;
        self.speed.record(span * self.model_calls, 0);
    }

    fn start(&mut self, now: Time, key: AttemptKey, out: &mut Vec<Effect>) {
        self.update_speed(now);
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let running = AttemptState::Running {
            bytes: Vec::new(),
            deadline: now,
        };
        let AttemptState::Queued { order, .. } = std::mem::replace(&mut record.state, running)
        else {
            return;
        };
        record.state = AttemptState::Running {
            bytes: Vec::new(),
            deadline: now + order.timeout,
        };
        self.running += 1;
        if matches!(order.target, Target::Model(_)) {
            self.model_calls += 1;
            record.model = true;
            self.cached.insert(order.program, now);
        }
        let work = BackendRequest {
            program: order.program,
            target: order.target,
            turns: order.turns.into_iter().map(|turn| turn.text).collect(),
            body: order.body,
            tokens: order.tokens,
            priority: match order.urgency {
                Urgency::Urgent => 0,
                Urgency::Normal => 1,
                Urgency::Background => 2,
            },
            fence: order.shard.map_or(0, |(_, epoch)| epoch.0),
        };
        let (call, attempt) = key;
        out.push(Effect::Start {
            call,
            attempt,
            work,
        });
    }

    fn backend_chunk(&mut self, key: AttemptKey, chunk: Vec<u8>, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let AttemptState::Running { bytes, .. } = &mut record.state else {
            return;
        };
        self.speed.record(Duration::ZERO, 1);
        let offset = bytes.len() as u64;
        bytes.extend_from_slice(&chunk);
        let message = Message::OrderChunk {
            call: key.0,
            attempt: key.1,
            offset,
            bytes: chunk,
        };
        send(&record.owner, message, out);
    }

    fn backend_done(
        &mut self,
        now: Time,
        key: AttemptKey,
        end: BackendResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if !matches!(record.state, AttemptState::Running { .. }) {
            return;
        }
        let outcome = match end {
            BackendResult::Answer(answer) => Outcome::Answer(answer),
            BackendResult::Failed if record.idempotent => Outcome::refused(Code::BackendFailed),
            BackendResult::Failed => Outcome::refused(Code::OutcomeUnknown),
            BackendResult::Unreachable => {
                // Nothing was sent, so the owner may run the call elsewhere;
                // this attempt is never run here.
                record.state = AttemptState::Sealed;
                let owner = record.owner.clone();
                self.free_slot(now, key);
                refuse_order(&owner, key, OrderRejection::Unreachable, out);
                return;
            }
        };
        self.end(now, key, outcome, out);
    }

    /// Removes an attempt that no longer runs from the load.
    fn free_slot(&mut self, now: Time, key: AttemptKey) {
        self.update_speed(now);
        if let Some(record) = self.records.get(&key) {
            self.running -= 1;
            self.model_calls -= u32::from(record.model);
            self.tokens = self.tokens.saturating_sub(record.tokens);
        }
    }

    pub(crate) fn end(
        &mut self,
        now: Time,
        key: AttemptKey,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        record.state = AttemptState::Done(outcome.clone());
        record.since = now;
        if let Some(last_used) = self.cached.get_mut(&record.program) {
            *last_used = now;
        }
        self.free_slot(now, key);
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let message = Message::OrderDone {
            call: key.0,
            attempt: key.1,
            outcome,
        };
        send(&record.owner, message, out);
        if record.program.is_single_call() {
            // The program consists of this call only, so it has ended.
            let program = record.program;
            self.release_cache(program, out);
        }
    }

    // Heartbeats, timers and shutdown.

    fn leave(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.leaving = true;
        let peers: Vec<NodeId> = self.peers.iter().cloned().collect();
        for peer in peers {
            self.send_heartbeat(&peer, out);
        }
        while let Some(key) = self.queue.pop() {
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            record.state = AttemptState::Sealed;
            record.since = now;
            self.tokens = self.tokens.saturating_sub(record.tokens);
            refuse_order(&record.owner, key, OrderRejection::Leaving, out);
        }
    }

    fn send_heartbeat(&self, to: &NodeId, out: &mut Vec<Effect>) {
        let heartbeat = Heartbeat {
            versions: self.documents.versions(),
            blocks: (0..self.map.blocks())
                .map(|b| self.map.revision(b))
                .collect(),
            load: self.load(),
            leaving: self.leaving,
        };
        send(to, Message::Beat(heartbeat), out);
    }

    /// Sends an entry the documents that are newer than its own, so that they
    /// also spread through side processes while the key-value service is down.
    fn handle_heartbeat(&mut self, from: &NodeId, heartbeat: &Heartbeat, out: &mut Vec<Effect>) {
        for text in self.documents.newer_than(&heartbeat.versions) {
            send(from, Message::Document(text.to_owned()), out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self
            .last_heartbeat
            .is_none_or(|last| now.since(last) >= HEARTBEAT_INTERVAL)
        {
            self.last_heartbeat = Some(now);
            self.update_speed(now);
            let peers: Vec<NodeId> = self.peers.iter().cloned().collect();
            for peer in peers {
                self.send_heartbeat(&peer, out);
            }
            self.speed.decay();
        }
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now, out);
        }
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Effect>) {
        let expired: Vec<AttemptKey> = self
            .records
            .iter()
            .filter(|(_, record)| match &record.state {
                AttemptState::Queued { deadline, .. } => *deadline <= now,
                AttemptState::Running { deadline, .. } => *deadline <= now,
                _ => false,
            })
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.cancel(now, key, Code::TimedOut, out);
        }
        let retention = self.rules.retention();
        self.records.retain(|_, record| {
            let age = now.since(record.since);
            match &record.state {
                AttemptState::Done(_) if record.idempotent => age < retention,
                AttemptState::Done(_) => age < UNCONFIRMED_RETENTION,
                AttemptState::Sealed => age < retention,
                _ => true,
            }
        });
        self.release_idle_caches(now, out);
    }

    fn release_cache(&mut self, program: ProgramId, out: &mut Vec<Effect>) {
        if self.cached.remove(&program).is_some() {
            out.push(Effect::Release { program });
        }
    }

    /// Releases the cache of programs that have had no call for the configured
    /// time: their owner may have failed without sending a release.
    fn release_idle_caches(&mut self, now: Time, out: &mut Vec<Effect>) {
        let wait = self.rules.cache_wait();
        let idle: Vec<ProgramId> = self
            .cached
            .iter()
            .filter(|(_, last_used)| now.since(**last_used) >= wait)
            .map(|(program, _)| *program)
            .collect();
        for program in idle {
            self.cached.remove(&program);
            out.push(Effect::Release { program });
        }
    }
}

pub(crate) fn send(to: &NodeId, message: Message, out: &mut Vec<Effect>) {
    out.push(Effect::Send {
        to: to.clone(),
        message,
    });
}

pub(crate) fn refuse_order(
    to: &NodeId,
    key: AttemptKey,
    fault: OrderRejection,
    out: &mut Vec<Effect>,
) {
    let message = Message::OrderRefused {
        call: key.0,
        attempt: key.1,
        fault,
    };
    send(to, message, out);
}
