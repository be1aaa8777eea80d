//! The reducer of a side process: the only way to its backend server. It
//! runs each attempt at most once, refuses former owners, and keeps second
//! copies of shards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::code::Code;
use crate::document::Documents;
use crate::document::Update;
use crate::effect::Effect;
use crate::effect::Note;
use crate::effect::Work;
use crate::id::Boot;
use crate::id::CallId;
use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::keeper::CopyRecord;
use crate::keeper::Keeper;
use crate::member::Load;
use crate::message::Beat;
use crate::message::Change;
use crate::message::Message;
use crate::message::Order;
use crate::message::OrderFault;
use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::program::Target;
use crate::program::Urgency;
use crate::queue::Queue;
use crate::rules::Rules;
use crate::shard::Block;
use crate::shard::ShardMap;
use crate::speed::Speed;
use crate::time::Time;

/// Time between two messages about oneself to each peer.
const BEAT: Duration = Duration::from_secs(1);
/// Time between two looks for what is over its time.
const SWEEP: Duration = Duration::from_millis(500);
/// How long the outcome of a non-idempotent call is held for an owner that
/// has not confirmed it.
const HOLD: Duration = Duration::from_secs(24 * 3600);
/// Slots of a server that no document names.
const DEFAULT_SLOTS: u32 = 8;

/// Names one run of a call: the call and its attempt.
pub(crate) type Key = (CallId, u64);

/// How a request to the backend server ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendEnd {
    /// It answered.
    Answer(Answer),
    /// It broke off, or gave no whole answer.
    Failed,
    /// It took no connection; not a byte was sent.
    Unreachable,
}

/// What can happen to a side process.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message of an entry came.
    Message {
        /// The entry.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// A link was made.
    LinkUp {
        /// The other process.
        node: NodeId,
    },
    /// A link was lost.
    LinkDown {
        /// The other process.
        node: NodeId,
    },
    /// A shard block was read, at the start.
    Block {
        /// Number of the block.
        block: u16,
        /// Its revision.
        revision: u64,
        /// Its value.
        value: Block,
    },
    /// The backend server sent a piece of an answer.
    BackendChunk {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The backend server ended a call.
    BackendDone {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// How it ended.
        end: BackendEnd,
    },
    /// Time passed.
    Tick,
    /// The server is about to go: no new work.
    Leave,
}

#[derive(Debug)]
pub(crate) enum State {
    Queued { order: Box<Order>, deadline: Time },
    Running { bytes: Vec<u8>, limit: Time },
    Done(Outcome),
    Sealed,
}

#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) program: ProgramId,
    pub(crate) idempotent: bool,
    /// Whether it runs, or ran, at a model.
    pub(crate) model: bool,
    pub(crate) owner: NodeId,
    pub(crate) state: State,
    pub(crate) tokens: u64,
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
    pub(crate) keeper: Keeper,
    /// Whether changes of the copies are stored.
    pub(crate) stores: bool,
    pub(crate) records: BTreeMap<Key, Record>,
    pub(crate) queue: Queue<Key>,
    pub(crate) running: u32,
    /// Calls of models among those that run.
    pub(crate) models: u32,
    pub(crate) tokens: u64,
    pub(crate) speed: Speed,
    /// Since when `running` calls have run, as far as it was noted.
    pub(crate) noted: Time,
    pub(crate) peers: BTreeSet<NodeId>,
    /// When each program with cache on the server was heard of last.
    pub(crate) cached: BTreeMap<ProgramId, Time>,
    pub(crate) beat: Option<Time>,
    pub(crate) swept: Time,
    pub(crate) leaving: bool,
}

impl Side {
    /// Makes the side process of an idle server.
    pub fn new(node: NodeId, boot: Boot, rules: Rules) -> Self {
        Self {
            map: ShardMap::new(rules.shards),
            node,
            boot,
            rules,
            documents: Documents::default(),
            keeper: Keeper::default(),
            stores: false,
            records: BTreeMap::new(),
            queue: Queue::default(),
            running: 0,
            models: 0,
            tokens: 0,
            speed: Speed::default(),
            noted: Time::default(),
            peers: BTreeSet::new(),
            cached: BTreeMap::new(),
            beat: None,
            swept: Time::default(),
            leaving: false,
        }
    }

    /// Takes over the copies that an earlier life stored, and stores every
    /// change from now on. A copy is of use only if it lacks nothing that was
    /// acknowledged.
    pub fn recover(&mut self, records: impl IntoIterator<Item = CopyRecord>) {
        self.stores = true;
        for record in records {
            self.keeper.replay(record);
        }
    }

    /// Returns the second copies that it holds.
    pub fn keeper(&self) -> &Keeper {
        &self.keeper
    }

    /// Returns the settings in force.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Returns its load.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: self.queue.len() as u32,
            tokens: self.tokens,
            pace: self.speed.pace(),
        }
    }

    /// Returns how many programs may have cache on the server.
    pub fn programs_cached(&self) -> usize {
        self.cached.len()
    }

    /// Returns the number of records of calls.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns whether nothing keeps it from exiting: no call runs or waits
    /// for its owner to know the end, and no shard names it as its keeper.
    pub fn is_idle(&self) -> bool {
        let keeps = self
            .map
            .iter()
            .any(|(_, assignment)| assignment.keeper.as_ref() == Some(&self.node));
        let sealed = |record: &Record| matches!(record.state, State::Sealed);
        !keeps && self.running == 0 && self.records.values().all(sealed)
    }

    /// Handles an event and adds what is to be done to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Message { from, message } => self.message(now, &from, message, out),
            Event::LinkUp { node } => {
                self.peers.insert(node.clone());
                self.send_beat(&node, out);
            }
            Event::LinkDown { node } => {
                self.peers.remove(&node);
            }
            Event::Block {
                block,
                revision,
                value,
            } => self.learn(block, revision, &value, out),
            Event::BackendChunk {
                call,
                attempt,
                bytes,
            } => self.backend_chunk((call, attempt), bytes, out),
            Event::BackendDone { call, attempt, end } => {
                self.backend_done(now, (call, attempt), end, out);
            }
            Event::Tick => self.tick(now, out),
            Event::Leave => self.leave(now, out),
        }
        self.start_next(now, out);
    }

    fn message(&mut self, now: Time, from: &NodeId, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Beat(beat) => self.answer_beat(from, &beat, out),
            Message::Document(text) => self.document(&text, out),
            Message::Block {
                block,
                revision,
                value,
            } => self.learn(block, revision, &value, out),
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
            // The rest is for entries.
            _ => {}
        }
    }

    // Settings and assignments.

    fn document(&mut self, text: &str, out: &mut Vec<Effect>) {
        if let Update::Applied(version) = self.documents.update(text) {
            out.push(Effect::Note(
                Note::new("document_applied").with("version", version),
            ));
        }
    }

    fn learn(&mut self, block: u16, revision: u64, value: &Block, out: &mut Vec<Effect>) {
        for shard in self.map.update(block, revision, value) {
            if let Some(assignment) = self.map.get(shard) {
                self.keeper.raise(shard, assignment.epoch);
            }
        }
        let (map, node) = (&self.map, &self.node);
        let dropped = self.keeper.drop_others(|shard, epoch| {
            map.get(shard).is_none_or(|assignment| {
                assignment.keeper.as_ref() == Some(node) || epoch > assignment.epoch
            })
        });
        for shard in dropped {
            self.store(|| CopyRecord::Drop { shard }, out);
        }
    }

    /// Has a change of the copies stored, if there is a place for it.
    fn store(&self, record: impl FnOnce() -> CopyRecord, out: &mut Vec<Effect>) {
        if self.stores {
            out.push(Effect::Store(Box::new(record())));
        }
    }

    /// Takes a change of a shard's owner; it is stored before it is
    /// acknowledged.
    fn keep(
        &mut self,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        seq: u64,
        change: Change,
        out: &mut Vec<Effect>,
    ) {
        let copy = self.stores.then(|| change.clone());
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

    // The backend server.

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

    /// Notes for how long calls of models have run, before that changes.
    fn note_busy(&mut self, now: Time) {
        let span = now.since(self.noted);
        self.noted = now;
        self.speed.note(span * self.models, 0);
    }

    fn start(&mut self, now: Time, key: Key, out: &mut Vec<Effect>) {
        self.note_busy(now);
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let running = State::Running {
            bytes: Vec::new(),
            limit: now,
        };
        let State::Queued { order, .. } = std::mem::replace(&mut record.state, running) else {
            return;
        };
        record.state = State::Running {
            bytes: Vec::new(),
            limit: now + order.timeout,
        };
        self.running += 1;
        if matches!(order.target, Target::Model(_)) {
            self.models += 1;
            record.model = true;
            self.cached.insert(order.program, now);
        }
        let work = Work {
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

    fn backend_chunk(&mut self, key: Key, fresh: Vec<u8>, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let State::Running { bytes, .. } = &mut record.state else {
            return;
        };
        self.speed.note(Duration::ZERO, 1);
        let offset = bytes.len() as u64;
        bytes.extend_from_slice(&fresh);
        let message = Message::OrderChunk {
            call: key.0,
            attempt: key.1,
            offset,
            bytes: fresh,
        };
        send(&record.owner, message, out);
    }

    fn backend_done(&mut self, now: Time, key: Key, end: BackendEnd, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if !matches!(record.state, State::Running { .. }) {
            return;
        }
        let outcome = match end {
            BackendEnd::Answer(answer) => Outcome::Answer(answer),
            BackendEnd::Failed if record.idempotent => Outcome::refused(Code::BackendFailed),
            BackendEnd::Failed => Outcome::refused(Code::OutcomeUnknown),
            BackendEnd::Unreachable => {
                // Not a byte left: it may run elsewhere, but never here under
                // this attempt.
                record.state = State::Sealed;
                let owner = record.owner.clone();
                self.stopped(now, key);
                refuse(&owner, key, OrderFault::Unreachable, out);
                return;
            }
        };
        self.end(now, key, outcome, out);
    }

    /// Notes that a call does not run any more.
    fn stopped(&mut self, now: Time, key: Key) {
        self.note_busy(now);
        if let Some(record) = self.records.get(&key) {
            self.running -= 1;
            self.models -= u32::from(record.model);
            self.tokens = self.tokens.saturating_sub(record.tokens);
        }
    }

    pub(crate) fn end(&mut self, now: Time, key: Key, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        record.state = State::Done(outcome.clone());
        record.since = now;
        if let Some(heard) = self.cached.get_mut(&record.program) {
            *heard = now;
        }
        self.stopped(now, key);
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let message = Message::OrderDone {
            call: key.0,
            attempt: key.1,
            outcome,
        };
        send(&record.owner, message, out);
        if record.program.is_single() {
            // Its program ends with the call.
            let program = record.program;
            self.release_cache(program, out);
        }
    }

    // Time and leaving.

    fn leave(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.leaving = true;
        let peers: Vec<NodeId> = self.peers.iter().cloned().collect();
        for peer in peers {
            self.send_beat(&peer, out);
        }
        while let Some(key) = self.queue.pop() {
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            record.state = State::Sealed;
            record.since = now;
            self.tokens = self.tokens.saturating_sub(record.tokens);
            refuse(&record.owner, key, OrderFault::Leaving, out);
        }
    }

    fn send_beat(&self, to: &NodeId, out: &mut Vec<Effect>) {
        let beat = Beat {
            versions: self.documents.versions(),
            blocks: (0..self.map.blocks())
                .map(|b| self.map.revision(b))
                .collect(),
            load: self.load(),
            leaving: self.leaving,
        };
        send(to, Message::Beat(beat), out);
    }

    /// Passes on what an entry lacks, so that settings reach entries through
    /// side processes too when the key-value service is out.
    fn answer_beat(&mut self, from: &NodeId, beat: &Beat, out: &mut Vec<Effect>) {
        for text in self.documents.newer_than(&beat.versions) {
            send(from, Message::Document(text.to_owned()), out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.beat.is_none_or(|last| now.since(last) >= BEAT) {
            self.beat = Some(now);
            self.note_busy(now);
            let peers: Vec<NodeId> = self.peers.iter().cloned().collect();
            for peer in peers {
                self.send_beat(&peer, out);
            }
            self.speed.fade();
        }
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.sweep(now, out);
        }
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Effect>) {
        let late: Vec<Key> = self
            .records
            .iter()
            .filter(|(_, record)| match &record.state {
                State::Queued { deadline, .. } => *deadline <= now,
                State::Running { limit, .. } => *limit <= now,
                _ => false,
            })
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.cancel(now, key, Code::TimedOut, out);
        }
        let retention = self.rules.retention();
        self.records.retain(|_, record| {
            let age = now.since(record.since);
            match &record.state {
                State::Done(_) if record.idempotent => age < retention,
                State::Done(_) => age < HOLD,
                State::Sealed => age < retention,
                _ => true,
            }
        });
        self.release_silent(now, out);
    }

    fn release_cache(&mut self, program: ProgramId, out: &mut Vec<Effect>) {
        if self.cached.remove(&program).is_some() {
            out.push(Effect::Release { program });
        }
    }

    /// Releases the cache of programs that nothing was heard of for long:
    /// their owner and its record of them may be gone.
    fn release_silent(&mut self, now: Time, out: &mut Vec<Effect>) {
        let wait = self.rules.cache_wait();
        let silent: Vec<ProgramId> = self
            .cached
            .iter()
            .filter(|(_, heard)| now.since(**heard) >= wait)
            .map(|(program, _)| *program)
            .collect();
        for program in silent {
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

pub(crate) fn refuse(to: &NodeId, key: Key, fault: OrderFault, out: &mut Vec<Effect>) {
    let message = Message::OrderRefused {
        call: key.0,
        attempt: key.1,
        fault,
    };
    send(to, message, out);
}
