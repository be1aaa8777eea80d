//! The owner of program shards: orders calls, holds budgets and histories,
//! sends each change to the keeper and each call to a server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng as _;
use rand::rngs::SmallRng;

use crate::admission::Admission;
use crate::budget::Budget;
use crate::code::Code;
use crate::document::Documents;
use crate::effect::Effect;
use crate::effect::Note;
use crate::history::Turn;
use crate::id::Boot;
use crate::id::CallId;
use crate::id::DataCentre;
use crate::id::Deployment;
use crate::id::Digest;
use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::Operator;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::member::Members;
use crate::message::Change;
use crate::message::Ending;
use crate::message::Message;
use crate::message::ProgramView;
use crate::message::Reply;
use crate::message::Request;
use crate::message::Ticket;
use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::placement::Affinity;
use crate::placement::LOOK_AT_ALL;
use crate::program::CallRecord;
use crate::program::CallRequest;
use crate::program::ProgramCopy;
use crate::program::ProgramHead;
use crate::program::Supply;
use crate::program::Target;
use crate::rules::Rules;
use crate::shard::Assignment;
use crate::shard::ShardMap;
use crate::time::Time;

/// Bytes of JSON text that count as one token in a reservation.
pub(crate) const BYTES_PER_TOKEN: u64 = 3;

/// Changes that wait for one keeper, above which they are dropped and all is
/// sent anew.
pub(crate) const MAX_UNKEPT: usize = 10_000;

/// What an owner's decisions depend on, beside its own state.
pub(crate) struct Context<'a> {
    pub now: Time,
    pub centre: &'a DataCentre,
    pub members: &'a Members,
    pub map: &'a ShardMap,
    pub documents: &'a Documents,
    pub rules: &'a Rules,
    pub out: &'a mut Vec<Effect>,
}

impl Context<'_> {
    pub(crate) fn send(&mut self, to: &NodeId, message: Message) {
        self.out.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    pub(crate) fn note(&mut self, note: Note) {
        self.out.push(Effect::Note(note));
    }
}

/// Where a held shard stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the keeper's copy.
    Adopting,
    /// Everything is known here.
    Whole,
}

/// A caller's entry that waits for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Watcher {
    pub node: NodeId,
    pub ticket: Ticket,
}

/// A submission that waits until its shard has been taken over.
#[derive(Clone, Debug)]
pub(crate) struct Parked {
    pub(crate) watcher: Watcher,
    pub(crate) request: Request,
    pub(crate) offset: u64,
}

/// How much of a program a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// Its state without messages.
    Head,
    /// Its messages too.
    Whole,
}

/// Something that goes on once the keeper has a change.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Dispatch(CallId),
    Finish(CallId),
    Refuse(Watcher, Refusal),
    Answer(Watcher, ProgramId, Part),
}

/// A shard that this process owns.
#[derive(Debug)]
pub(crate) struct Held {
    pub epoch: Epoch,
    pub keeper: Option<NodeId>,
    /// Epoch at which the keeper was chosen.
    pub chosen: Epoch,
    pub phase: Phase,
    pub since: Time,
    /// Whether the keeper said that it has no complete copy.
    pub hopeless: bool,
    /// Whether copies of single calls may have been lost.
    pub lossy: bool,
    pub(crate) seq: u64,
    pub(crate) unkept: VecDeque<(u64, Change)>,
    pub(crate) steps: VecDeque<(u64, Step)>,
    pub(crate) parked: Vec<Parked>,
    pub(crate) incoming: BTreeMap<ProgramId, ProgramCopy>,
    /// Whether changes were dropped that the keeper never had.
    pub(crate) gap: bool,
    /// Since when changes have waited for an acknowledgement.
    pub(crate) waiting: Option<Time>,
}

impl Held {
    pub(crate) fn new(now: Time, assignment: &Assignment, phase: Phase) -> Self {
        Self {
            epoch: assignment.epoch,
            keeper: assignment.keeper.clone(),
            chosen: assignment.chosen,
            phase,
            since: now,
            hopeless: false,
            lossy: assignment.lost.0 > 0,
            seq: 0,
            unkept: VecDeque::new(),
            steps: VecDeque::new(),
            parked: Vec::new(),
            incoming: BTreeMap::new(),
            gap: false,
            waiting: None,
        }
    }

    /// Returns whether a keeper has everything that is known here.
    fn is_kept(&self) -> bool {
        let whole = self.phase == Phase::Whole && self.keeper.is_some();
        whole && !self.gap && self.unkept.is_empty()
    }

    /// Returns whether changes have waited too long for a keeper.
    pub(crate) fn is_stuck(&self, cx: &Context<'_>) -> bool {
        self.phase == Phase::Whole && self.unkept_for(cx.now) >= cx.rules.alone_wait()
    }

    /// Returns how long the oldest change has gone without acknowledgement.
    pub(crate) fn unkept_for(&self, now: Time) -> Duration {
        self.waiting
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}

/// A program that this process owns.
#[derive(Debug)]
pub(crate) struct Program {
    pub(crate) copy: ProgramCopy,
    /// Calls that wait for their turn, by number.
    pub(crate) ahead: BTreeMap<u64, CallId>,
    /// The call that has the turn.
    pub(crate) running: Option<CallId>,
    pub(crate) touched: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    /// Waits for its turn in the program.
    Ahead,
    /// Waits for admission by the deployment's limits.
    Admitting,
    /// Waits for the keeper to have the intent.
    Reserving { server: NodeId, boot: Boot },
    /// Given to a server.
    Running { server: NodeId, boot: Boot },
    /// Asked about at a server, after a loss of contact.
    Settling {
        server: NodeId,
        boot: Boot,
        since: Time,
    },
    /// Waits for the keeper to have the outcome.
    Recording { outcome: Outcome },
}

#[derive(Debug)]
pub(crate) struct Call {
    /// `None` for a call taken over whose caller has not come back yet.
    pub(crate) request: Option<Box<CallRequest>>,
    pub(crate) shard: Option<ShardId>,
    pub(crate) program: ProgramId,
    pub(crate) record: CallRecord,
    pub(crate) state: State,
    pub(crate) watchers: Vec<Watcher>,
    pub(crate) bytes: Vec<u8>,
    pub(crate) deadline: Time,
    pub(crate) tried: Vec<NodeId>,
    /// The server that ended it.
    pub(crate) server: Option<NodeId>,
    /// Whether it counts against the deployment's running calls.
    pub(crate) admitted: bool,
    pub(crate) operator: Operator,
    pub(crate) deployment: Deployment,
}

/// The owner's state: shards, their programs, and calls under way.
#[derive(Debug)]
pub struct Owner {
    pub(crate) node: NodeId,
    pub(crate) rng: SmallRng,
    pub(crate) shards: BTreeMap<ShardId, Held>,
    pub(crate) programs: BTreeMap<ProgramId, Program>,
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) timers: BTreeSet<(Time, CallId)>,
    pub(crate) idle: BTreeSet<(Time, ProgramId)>,
    pub(crate) admission: Admission,
    pub(crate) sent: BTreeMap<NodeId, Sent>,
    pub(crate) placement: Affinity,
}

/// Work given to a server that has not ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sent {
    pub(crate) calls: u32,
    pub(crate) tokens: u64,
}

impl Owner {
    /// Makes an owner of nothing.
    pub(crate) fn new(node: NodeId, rng: SmallRng) -> Self {
        Self {
            node,
            rng,
            shards: BTreeMap::new(),
            programs: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            idle: BTreeSet::new(),
            admission: Admission::default(),
            sent: BTreeMap::new(),
            placement: Affinity::default(),
        }
    }

    /// Returns a call's shard with the epoch that its orders carry.
    pub(crate) fn epoch_of(&self, shard: Option<ShardId>) -> Option<(ShardId, Epoch)> {
        let shard = shard?;
        self.shards.get(&shard).map(|held| (shard, held.epoch))
    }

    /// Returns the number of calls under way.
    pub fn calls_open(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of programs.
    pub fn programs_open(&self) -> usize {
        self.programs.len()
    }

    /// Returns the number of shards whose keeper has everything.
    pub fn shards_kept(&self) -> usize {
        self.shards.values().filter(|held| held.is_kept()).count()
    }

    /// Returns each program with its changing part.
    pub fn heads(&self) -> impl Iterator<Item = (ProgramId, &ProgramHead)> {
        self.programs.iter().map(|(id, p)| (*id, &p.copy.head))
    }

    /// Returns each program's copy, for checks by tests.
    pub fn copies(&self) -> impl Iterator<Item = &ProgramCopy> {
        self.programs.values().map(|program| &program.copy)
    }

    // Links and time.

    pub(crate) fn link_up(&mut self, cx: &mut Context<'_>, node: &NodeId, boot: Boot) {
        let shards: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, held)| held.keeper.as_ref() == Some(node))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in shards {
            self.ask_copy(cx, shard);
            if let Some(held) = self.shards.get(&shard)
                && held.phase == Phase::Whole
            {
                self.resend_unkept(cx, shard, held);
            }
        }
        let mut asked = Vec::new();
        let mut lost = Vec::new();
        for (id, call) in &self.calls {
            match &call.state {
                State::Running { server, boot: old }
                | State::Settling {
                    server, boot: old, ..
                } if server == node => {
                    if *old == boot {
                        asked.push(*id)
                    } else {
                        lost.push(*id)
                    }
                }
                _ => {}
            }
        }
        for id in asked {
            self.ask(cx, id);
        }
        for id in lost {
            self.give_up(cx, id);
        }
    }

    pub(crate) fn link_down(&mut self, cx: &mut Context<'_>, node: &NodeId) {
        let now = cx.now;
        let limit = now + cx.rules.settle_wait();
        for (id, call) in &mut self.calls {
            if let State::Running { server, boot } = &call.state
                && server == node
            {
                call.state = State::Settling {
                    server: server.clone(),
                    boot: *boot,
                    since: now,
                };
                self.timers.insert((limit, *id));
            }
            call.watchers.retain(|watcher| watcher.node != *node);
        }
    }

    /// Does what is due at this time.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > cx.now {
                break;
            }
            self.timers.pop_first();
            self.call_due(cx, id);
        }
        while let Some((due, id)) = self.idle.first().copied() {
            if due > cx.now {
                break;
            }
            self.idle.pop_first();
            self.program_due(cx, id);
        }
        self.go_on_alone(cx);
    }

    pub(crate) fn call_due(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let late = call.deadline <= cx.now;
        match &call.state {
            State::Ahead if !late => {
                let refusal = Refusal::with(Code::OutOfTurn, "an earlier call never came");
                let first = self
                    .programs
                    .get(&call.program)
                    .is_some_and(|p| p.running.is_none());
                let deadline = call.deadline;
                if first {
                    self.refuse(cx, id, refusal);
                } else {
                    self.timers.insert((deadline, id));
                }
            }
            State::Ahead | State::Admitting | State::Reserving { .. } if late => {
                self.refuse(cx, id, Refusal::new(Code::DeadlinePassed));
            }
            State::Ahead | State::Admitting | State::Reserving { .. } => {
                self.timers.insert((call.deadline, id));
            }
            State::Running { .. } => {
                // The server should have ended it; ask once more, then give
                // up when the answer does not come.
                let (State::Running { server, boot }, deadline) =
                    (call.state.clone(), cx.now + cx.rules.settle_wait())
                else {
                    return;
                };
                if let Some(call) = self.calls.get_mut(&id) {
                    call.state = State::Settling {
                        server,
                        boot,
                        since: cx.now,
                    };
                }
                self.timers.insert((deadline, id));
                self.ask(cx, id);
            }
            State::Settling { since, .. } => {
                let due = *since + cx.rules.settle_wait();
                if due <= cx.now {
                    self.give_up(cx, id);
                } else {
                    self.timers.insert((due, id));
                }
            }
            State::Recording { .. } => {}
        }
    }

    pub(crate) fn program_due(&mut self, cx: &mut Context<'_>, id: ProgramId) {
        let shard = id.shard(cx.rules.shards);
        let adopting = |held: &Held| held.phase == Phase::Adopting;
        let Some(program) = self.programs.get(&id) else {
            return;
        };
        if self.shards.get(&shard).is_none_or(adopting) {
            return;
        }
        let head = &program.copy.head;
        let over = head.ended || id.is_single();
        let idle = cx
            .documents
            .rules(&head.operator, &head.deployment)
            .map_or(cx.rules.retention(), |rules| {
                Duration::from_secs(rules.program.idle)
            });
        let wait = if over { cx.rules.retention() } else { idle };
        let due = program.touched + wait;
        if due > cx.now || program.running.is_some() {
            let again = due.max(cx.now + Duration::from_secs(1));
            self.idle.insert((again, id));
        } else if over {
            self.programs.remove(&id);
            self.keep(cx, shard, Change::Forget(id));
        } else {
            cx.note(Note::new("program_abandoned").with("program", id));
            self.end_tree(cx, shard, id);
            self.idle.insert((cx.now + cx.rules.retention(), id));
        }
    }
}

impl Call {
    pub(crate) fn is_refused(&self) -> bool {
        matches!(&self.state, State::Recording { outcome } if outcome.is_not_run())
    }
}

/// Returns the servers to weigh for a call: all of a few; of many, the one
/// that may hold the program's cache and a sample, so that the cost of a
/// decision does not grow with the fleet. `names` is sorted.
pub(crate) fn candidates<'a>(
    names: &'a [NodeId],
    warm: Option<&'a NodeId>,
    rng: &mut SmallRng,
) -> Vec<&'a NodeId> {
    if names.len() <= LOOK_AT_ALL {
        return names.iter().collect();
    }
    let warm = warm.filter(|name| names.binary_search(name).is_ok());
    let mut drawn: Vec<&NodeId> = (0..LOOK_AT_ALL)
        .map(|_| &names[rng.random_range(0..names.len())])
        .chain(warm)
        .collect();
    drawn.sort_unstable();
    drawn.dedup();
    drawn
}

pub(crate) enum Entrance {
    Fresh(u64),
    Known(Box<CallRecord>),
}

/// Returns whether a call needs no record: nobody can send it again, and
/// running it twice does no harm.
pub(crate) fn is_free(call: &CallRequest) -> bool {
    call.program.is_single() && call.idempotent && !call.keyed
}

pub(crate) fn reply(cx: &mut Context<'_>, watcher: &Watcher, reply: Reply) {
    let message = Message::Reply {
        ticket: watcher.ticket,
        reply,
    };
    cx.send(&watcher.node, message);
}

pub(crate) fn send_bytes(
    cx: &mut Context<'_>,
    watcher: &Watcher,
    attempt: u64,
    bytes: &[u8],
    offset: u64,
) {
    let Some(rest) = bytes.get(offset as usize..).filter(|rest| !rest.is_empty()) else {
        return;
    };
    let message = Message::Chunk {
        ticket: watcher.ticket,
        attempt,
        offset,
        bytes: rest.to_vec(),
    };
    cx.send(&watcher.node, message);
}

pub(crate) fn ending(record: &CallRecord, outcome: &Outcome, digest: Digest) -> Reply {
    match outcome {
        Outcome::Answer(Answer {
            status, kind, body, ..
        }) => Reply::Ended(Ending {
            call: record.call,
            number: record.number,
            attempt: record.attempt,
            status: *status,
            kind: kind.clone(),
            size: body.len() as u64,
            digest,
        }),
        Outcome::Refused(refusal) => Reply::Refused(refusal.clone()),
    }
}

pub(crate) fn outcome_word(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer(_) => "answer",
        Outcome::Refused(refusal) => refusal.code.as_str(),
    }
}

/// Returns what the history gains by the end of a call, and whether that
/// replaces what it had.
pub(crate) fn gained(record: &CallRecord, outcome: &Outcome) -> (Vec<Turn>, bool) {
    match outcome {
        Outcome::Answer(Answer {
            turn: Some(turn), ..
        }) => {
            let turns = record.turns.iter().chain([turn]).cloned().collect();
            (turns, record.replace)
        }
        _ => (Vec::new(), false),
    }
}

pub(crate) fn update(
    copy: &ProgramCopy,
    above: Vec<(ProgramId, Budget)>,
    record: Option<CallRecord>,
    turns: Vec<Turn>,
    replace: bool,
) -> Change {
    Change::Update {
        program: copy.program,
        head: Box::new(copy.head.clone()),
        above,
        record: record.map(|record| Box::new(record.slim())),
        turns,
        replace,
    }
}

pub(crate) fn view(copy: &ProgramCopy, part: Part) -> ProgramView {
    ProgramView {
        program: copy.program,
        parent: copy.head.parent,
        next: copy.head.next,
        ended: copy.head.ended,
        budget: copy.head.budget,
        digest: copy.history.digest(),
        turns: if part == Part::Whole {
            copy.history.turns().to_vec()
        } else {
            Vec::new()
        },
    }
}

pub(crate) fn need_tokens(request: &CallRequest, history: usize) -> u64 {
    match request.target {
        Target::Service { .. } => 0,
        Target::Model(_) => {
            let old = if request.supply == Supply::Full {
                0
            } else {
                history
            };
            let new: usize = request.turns.iter().map(|turn| turn.text.len()).sum();
            ((old + new) as u64).div_ceil(BYTES_PER_TOKEN) + request.tokens
        }
    }
}

pub(crate) fn timeout(documents: &Documents, request: &CallRequest) -> Duration {
    let rules = documents.rules(&request.operator, &request.deployment);
    let millis = rules.and_then(|rules| match &request.target {
        Target::Model(model) => Some(rules.models.get(model)?.timeout),
        Target::Service { service, .. } => Some(rules.services.get(service)?.timeout),
    });
    Duration::from_millis(millis.unwrap_or(0)).min(request.patience)
}

/// Returns one entry's part of a deployment's limits.
pub(crate) fn share(limits: &crate::document::Limits, entries: u64) -> crate::document::Limits {
    crate::document::Limits {
        running: (limits.running / entries).max(1),
        waiting: (limits.waiting / entries).max(1),
    }
}
