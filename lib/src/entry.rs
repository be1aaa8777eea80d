//! The reducer of an entry process: callers, shards, members and settings.

use std::collections::BTreeMap;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::callers::Callers;
use crate::document::Documents;
use crate::document::Update;
use crate::effect::CallerKey;
use crate::effect::Effect;
use crate::effect::LogEvent;
use crate::id::Boot;
use crate::id::DataCentre;
use crate::id::NodeId;
use crate::id::ShardId;
use crate::member::Load;
use crate::member::Members;
use crate::member::Node;
use crate::member::VmState;
use crate::message::Heartbeat;
use crate::message::Message;
use crate::message::Request;
use crate::owner::Context;
use crate::owner::Owner;
use crate::owner::Phase;
use crate::rules::Rules;
use crate::shard_map::Assignment;
use crate::shard_map::Block;
use crate::shard_map::ShardMap;
use crate::shard_planner::Planner;
use crate::time::Time;

/// Shortest time between two swaps of the same block.
const MIN_SWAP_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
/// Time without an answer to a swap after which the block is read again.
const SWAP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
/// Interval of the heartbeats to each peer.
const HEARTBEAT_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// An input of an entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Caller {
        /// The caller.
        caller: CallerKey,
        /// The request.
        request: Request,
        /// Number of answer bytes that the caller already has.
        offset: u64,
    },
    /// A caller closed its connection.
    CallerGone(CallerKey),
    /// A message arrived from another process.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// A link to another process was established.
    LinkUp {
        /// The other process.
        node: NodeId,
        /// Its boot number.
        boot: Boot,
    },
    /// The link to another process was lost.
    LinkDown {
        /// The other process.
        node: NodeId,
    },
    /// The registry of processes was read.
    Registry(Vec<Node>),
    /// The VM list was read: the listed VMs and their states.
    VmList(Vec<(String, VmState)>),
    /// The list of servers that operators are draining was read.
    DrainList(Vec<NodeId>),
    /// A shard block was read; revision zero means that it does not exist
    /// yet.
    Block {
        /// Number of the block.
        block: u16,
        /// Its revision.
        revision: u64,
        /// Its value.
        value: Block,
    },
    /// A swap succeeded.
    Swapped {
        /// Number of the block.
        block: u16,
        /// Its new revision.
        revision: u64,
        /// The value that was written.
        value: Block,
    },
    /// A swap was rejected, or its answer was lost.
    SwapFailed {
        /// Number of the block.
        block: u16,
    },
    /// A settings envelope was read from the key-value service.
    Document(String),
    /// The timer fired.
    Tick,
    /// The process shuts down: it hands its shards to other entries.
    Stop,
}

/// The state of an entry.
#[derive(Debug)]
pub struct Entry {
    node: NodeId,
    centre: DataCentre,
    rules: Rules,
    members: Members,
    map: ShardMap,
    documents: Documents,
    callers: Callers,
    owner: Owner,
    planner: Planner,
    /// Whether each block has been read; only then may it be swapped.
    blocks_read: Vec<bool>,
    /// When the pending swap of each block was sent.
    pending_swaps: BTreeMap<u16, Time>,
    /// When the last swap of each block completed or failed.
    last_swaps: BTreeMap<u16, Time>,
    last_heartbeat: Option<Time>,
}

macro_rules! context {
    ($entry:ident, $now:ident, $out:ident) => {
        Context {
            now: $now,
            centre: &$entry.centre,
            members: &$entry.members,
            map: &$entry.map,
            documents: &$entry.documents,
            rules: &$entry.rules,
            out: $out,
        }
    };
}

impl Entry {
    /// Creates an entry without members, shards or settings. `seed` seeds its
    /// random number generator.
    pub fn new(node: NodeId, centre: DataCentre, boot: Boot, rules: Rules, seed: u64) -> Self {
        let map = ShardMap::new(rules.shards);
        Self {
            callers: Callers::new(node.clone(), boot),
            owner: Owner::new(node.clone(), SmallRng::seed_from_u64(seed)),
            planner: Planner {
                node: node.clone(),
                leaving: false,
            },
            blocks_read: vec![false; usize::from(map.blocks())],
            map,
            members: Members::default(),
            documents: Documents::default(),
            pending_swaps: BTreeMap::new(),
            last_swaps: BTreeMap::new(),
            last_heartbeat: None,
            node,
            centre,
            rules,
        }
    }

    /// Returns the known members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the settings documents in force.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Returns the known shard assignments.
    pub fn map(&self) -> &ShardMap {
        &self.map
    }

    /// Returns the waiting callers.
    pub fn callers(&self) -> &Callers {
        &self.callers
    }

    /// Returns the state of the shards that it owns.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the number of shards that it owns.
    pub fn shards_owned(&self) -> usize {
        self.owner.shards.len()
    }

    /// Returns whether the process may exit: no caller waits and no call is
    /// open.
    pub fn is_idle(&self) -> bool {
        self.callers.is_empty() && self.owner.open_call_count() == 0
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        let start = out.len();
        self.handle(now, event, out);
        self.deliver_to_self(now, out, start);
    }

    /// Takes the messages that the entry sent to itself out of `out` and
    /// handles them directly, since there is no link to itself. Repeats until
    /// none is left.
    fn deliver_to_self(&mut self, now: Time, out: &mut Vec<Effect>, start: usize) {
        let mut at = start;
        while at < out.len() {
            let own = matches!(&out[at], Effect::Send { to, .. } if *to == self.node);
            if !own {
                at += 1;
                continue;
            }
            if let Effect::Send { message, .. } = out.remove(at) {
                let from = self.node.clone();
                self.message(now, &from, message, out);
            }
        }
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Caller {
                caller,
                request,
                offset,
            } => {
                let mut cx = context!(self, now, out);
                self.callers.on_request(&mut cx, caller, request, offset);
            }
            Event::CallerGone(caller) => {
                let mut cx = context!(self, now, out);
                self.callers.on_disconnect(&mut cx, caller);
            }
            Event::Message { from, message } => self.message(now, &from, message, out),
            Event::LinkUp { node, boot } => {
                self.members.link_up(now, &node, boot);
                let mut cx = context!(self, now, out);
                self.owner.link_up(&mut cx, &node, boot);
                self.send_heartbeat(&node, out);
            }
            Event::LinkDown { node } => {
                self.members.link_down(now, &node);
                let mut cx = context!(self, now, out);
                self.callers.link_down(&mut cx, &node);
                self.owner.link_down(&mut cx, &node);
            }
            Event::Registry(nodes) => self.registry(now, &nodes),
            Event::VmList(list) => self.vm_list(&list),
            Event::DrainList(drains) => self.members.set_drained(&drains),
            Event::Block {
                block,
                revision,
                value,
            } => {
                self.pending_swaps.remove(&block);
                if let Some(read) = self.blocks_read.get_mut(usize::from(block)) {
                    *read = true;
                }
                self.apply_block(now, block, revision, &value, out);
            }
            Event::Swapped {
                block,
                revision,
                value,
            } => {
                self.pending_swaps.remove(&block);
                self.last_swaps.insert(block, now);
                self.apply_block(now, block, revision, &value, out);
            }
            Event::SwapFailed { block } => {
                // The swap may have taken effect all the same; reading the
                // block shows it.
                self.last_swaps.insert(block, now);
                out.push(Effect::ReadBlock { block });
            }
            Event::Document(text) => self.document(&text, out),
            Event::Tick => self.tick(now, out),
            Event::Stop => self.planner.leaving = true,
        }
    }

    fn registry(&mut self, now: Time, nodes: &[Node]) {
        let others = nodes.iter().filter(|node| node.id != self.node);
        self.members.register(now, others);
        let gone: Vec<NodeId> = self
            .members
            .iter()
            .map(|member| member.node.id.clone())
            .filter(|id| !self.members.is_linked(id) && nodes.iter().all(|node| node.id != *id))
            .collect();
        for id in gone {
            self.members.remove(&id);
        }
    }

    fn vm_list(&mut self, list: &[(String, VmState)]) {
        let states: BTreeMap<&str, VmState> = list
            .iter()
            .map(|(vm, state)| (vm.as_str(), *state))
            .collect();
        self.members
            .apply_vm_list(|vm| states.get(vm).copied().unwrap_or(VmState::Absent));
    }

    fn document(&mut self, text: &str, out: &mut Vec<Effect>) {
        match self.documents.update(text) {
            Update::Applied(version) => {
                out.push(Effect::Log(
                    LogEvent::new("document_applied").with("version", version),
                ));
                for member in self.members.iter() {
                    out.push(Effect::Send {
                        to: member.node.id.clone(),
                        message: Message::Document(text.to_owned()),
                    });
                }
            }
            Update::Stale => {}
            Update::Faulty(faults) => {
                for fault in faults {
                    out.push(Effect::Log(
                        LogEvent::new("document_faulty").with("fault", fault),
                    ));
                }
            }
        }
    }

    /// Applies a newer revision of a block: acquires and releases shards
    /// accordingly and forwards the block to all members.
    fn apply_block(
        &mut self,
        now: Time,
        block: u16,
        revision: u64,
        value: &Block,
        out: &mut Vec<Effect>,
    ) {
        let before: Vec<Assignment> = self.map.block(block).shards;
        let changed = self.map.update(block, revision, value);
        if changed.is_empty() {
            return;
        }
        for shard in changed {
            let offset = usize::from(shard.0 % crate::shard_map::BLOCK_SHARDS);
            let old = before.get(offset).cloned().unwrap_or_default();
            self.apply_assignment(now, shard, &old, out);
        }
        for member in self.members.iter() {
            out.push(Effect::Send {
                to: member.node.id.clone(),
                message: Message::Block {
                    block,
                    revision,
                    value: value.clone(),
                },
            });
        }
    }

    fn apply_assignment(
        &mut self,
        now: Time,
        shard: ShardId,
        old: &Assignment,
        out: &mut Vec<Effect>,
    ) {
        let Some(assignment) = self.map.get(shard).cloned() else {
            return;
        };
        let mut cx = context!(self, now, out);
        if assignment.owner.as_ref() != Some(&self.node) {
            self.owner.release(&mut cx, shard);
            return;
        }
        let epoch = assignment.epoch;
        let lost = assignment.lost == epoch;
        let held = self.owner.shards.get(&shard);
        // If epochs were skipped, another process owned the shard meanwhile,
        // and the local state is stale; the keeper's copy is current.
        let is_next_epoch = held.is_some_and(|held| held.epoch.0 + 1 == epoch.0);
        let whole = held.is_some_and(|held| held.phase == Phase::Loaded);
        if is_next_epoch && old.owner == assignment.owner && (whole || lost) {
            self.owner.renew(&mut cx, shard, &assignment);
            return;
        }
        let is_new = epoch.0 == 1 || lost;
        self.owner.acquire(&mut cx, shard, &assignment, is_new);
    }

    fn message(&mut self, now: Time, from: &NodeId, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Beat(heartbeat) => self.on_heartbeat(now, from, &heartbeat, out),
            Message::Document(text) => self.document(&text, out),
            Message::Block {
                block,
                revision,
                value,
            } => self.apply_block(now, block, revision, &value, out),
            other => self.program_message(now, from, other, out),
        }
    }

    fn program_message(
        &mut self,
        now: Time,
        from: &NodeId,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        let mut cx = context!(self, now, out);
        let cx = &mut cx;
        let (callers, owner) = (&mut self.callers, &mut self.owner);
        match message {
            Message::Submit {
                ticket,
                request,
                offset,
            } => owner.submit(cx, from, ticket, request, offset),
            Message::Withdraw { ticket, call } => owner.withdraw(cx, from, ticket, call),
            Message::Chunk {
                ticket,
                attempt,
                offset,
                bytes,
            } => callers.chunk(cx, from, ticket, attempt, offset, &bytes),
            Message::Reply { ticket, reply } => callers.reply(cx, from, ticket, reply),
            Message::Copy { shard, epoch, copy } => owner.copy(from, shard, epoch, *copy),
            Message::Copied { shard, epoch, seq } => owner.copied(cx, from, shard, epoch, seq),
            Message::Kept { shard, epoch, seq } => owner.handle_ack(cx, from, shard, epoch, seq),
            Message::KeepRefused {
                shard,
                epoch,
                fault,
            } => owner.handle_rejection(cx, from, shard, epoch, fault),
            Message::OrderRefused {
                call,
                attempt,
                fault,
            } => owner.order_refused(cx, from, call, attempt, fault),
            Message::OrderChunk {
                call,
                attempt,
                offset,
                bytes,
            } => owner.order_chunk(cx, from, call, attempt, offset, &bytes),
            Message::OrderDone {
                call,
                attempt,
                outcome,
            } => owner.order_done(cx, from, call, attempt, outcome),
            Message::Settled {
                call,
                attempt,
                standing,
            } => owner.settled(cx, from, call, attempt, standing),
            // All others are for side processes or were handled by `message`.
            _ => {}
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        from: &NodeId,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        self.members
            .apply_report(now, from, heartbeat.load, heartbeat.leaving);
        for text in self.documents.newer_than(&heartbeat.versions) {
            out.push(Effect::Send {
                to: from.clone(),
                message: Message::Document(text.to_owned()),
            });
        }
        for block in 0..self.map.blocks() {
            let theirs = heartbeat
                .blocks
                .get(usize::from(block))
                .copied()
                .unwrap_or(0);
            let revision = self.map.revision(block);
            if theirs < revision {
                out.push(Effect::Send {
                    to: from.clone(),
                    message: Message::Block {
                        block,
                        revision,
                        value: self.map.block(block),
                    },
                });
            }
        }
    }

    fn send_heartbeat(&self, to: &NodeId, out: &mut Vec<Effect>) {
        let heartbeat = Heartbeat {
            versions: self.documents.versions(),
            blocks: (0..self.map.blocks())
                .map(|b| self.map.revision(b))
                .collect(),
            load: Load::default(),
            leaving: self.planner.leaving,
        };
        out.push(Effect::Send {
            to: to.clone(),
            message: Message::Beat(heartbeat),
        });
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self
            .last_heartbeat
            .is_none_or(|last| now.since(last) >= HEARTBEAT_INTERVAL)
        {
            self.last_heartbeat = Some(now);
            let linked = self.members.iter().filter(|member| member.boot().is_some());
            let peers: Vec<NodeId> = linked.map(|member| member.node.id.clone()).collect();
            for peer in peers {
                self.send_heartbeat(&peer, out);
            }
            let mut cx = context!(self, now, out);
            let adopting: Vec<ShardId> = self.owner.shards.keys().copied().collect();
            for shard in adopting {
                self.owner.request_copy(&mut cx, shard);
            }
        }
        let mut cx = context!(self, now, out);
        self.callers.tick(&mut cx);
        self.owner.tick(&mut cx);
        for block in 0..self.map.blocks() {
            self.plan(now, block, out);
        }
    }

    fn plan(&mut self, now: Time, block: u16, out: &mut Vec<Effect>) {
        if !self.blocks_read[usize::from(block)] {
            return;
        }
        match self.pending_swaps.get(&block) {
            Some(sent) if now.since(*sent) < SWAP_TIMEOUT => return,
            Some(_) => {
                // The answer was lost; reading the block shows whether the
                // swap took effect.
                self.pending_swaps.insert(block, now);
                out.push(Effect::ReadBlock { block });
                return;
            }
            None => {}
        }
        let last = self.last_swaps.get(&block);
        if last.is_some_and(|last| now.since(*last) < MIN_SWAP_INTERVAL) {
            return;
        }
        let cx = context!(self, now, out);
        if let Some(value) = self.planner.plan(&cx, &self.owner, block) {
            self.pending_swaps.insert(block, now);
            out.push(Effect::Swap {
                block,
                revision: self.map.revision(block),
                value,
            });
        }
    }
}
