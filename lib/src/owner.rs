//! The owner of program shards: runs the calls of a program in order, holds
//! budgets and histories, replicates each change to the shard's keeper and
//! sends each call to a server.

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
use crate::effect::LogEvent;
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
use crate::message::AnswerEnd;
use crate::message::Change;
use crate::message::Message;
use crate::message::ProgramView;
use crate::message::Reply;
use crate::message::Request;
use crate::message::Ticket;
use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::placement::Affinity;
use crate::placement::MAX_FULL_SCAN;
use crate::program::CallRecord;
use crate::program::CallRequest;
use crate::program::HistoryMode;
use crate::program::ProgramCopy;
use crate::program::ProgramHead;
use crate::program::Target;
use crate::rules::Rules;
use crate::shard_map::Assignment;
use crate::shard_map::ShardMap;
use crate::time::Time;

/// Bytes of JSON text that are estimated as one token when tokens are
/// reserved.
pub(crate) const BYTES_PER_TOKEN: u64 = 3;

/// Limit of unacknowledged changes per shard. Beyond it they are dropped and
/// the keeper gets a full copy instead.
pub(crate) const MAX_UNACKED: usize = 10_000;

/// What [`Owner`] and [`crate::callers::Front`] read besides their own state,
/// and the list that their effects are appended to.
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

    pub(crate) fn log(&mut self, event: LogEvent) {
        self.out.push(Effect::Log(event));
    }
}

/// State of an owned shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the keeper's copy.
    Adopting,
    /// All programs of the shard are loaded.
    Loaded,
}

/// A submission that waits for the result of a call: the entry that sent it,
/// and its ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Subscriber {
    pub node: NodeId,
    pub ticket: Ticket,
}

/// A submission that is held back until the takeover of its shard is
/// complete.
#[derive(Clone, Debug)]
pub(crate) struct ParkedRequest {
    pub(crate) subscriber: Subscriber,
    pub(crate) request: Request,
    pub(crate) offset: u64,
}

/// How much of a program a reply contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// The state without messages.
    Head,
    /// The state with messages.
    Whole,
}

/// An action that is deferred until the keeper has acknowledged a change.
#[derive(Clone, Debug)]
pub(crate) enum DeferredAction {
    Dispatch(CallId),
    Finish(CallId),
    Refuse(Subscriber, Refusal),
    Answer(Subscriber, ProgramId, Part),
}

/// A shard that this process owns.
#[derive(Debug)]
pub(crate) struct OwnedShard {
    pub epoch: Epoch,
    pub keeper: Option<NodeId>,
    /// Epoch in which the keeper was chosen.
    pub chosen: Epoch,
    pub phase: Phase,
    pub since: Time,
    /// Whether the keeper reported that it has no complete copy.
    pub keeper_has_no_copy: bool,
    /// Whether both copies of the shard were lost at some time, and with them
    /// the records of single calls.
    pub copies_lost: bool,
    pub(crate) seq: u64,
    /// Changes that the keeper has not acknowledged, by sequence number.
    pub(crate) unacked: VecDeque<(u64, Change)>,
    pub(crate) deferred: VecDeque<(u64, DeferredAction)>,
    pub(crate) parked: Vec<ParkedRequest>,
    /// The part of the keeper's copy that has arrived so far.
    pub(crate) incoming: BTreeMap<ProgramId, ProgramCopy>,
    /// Whether changes were dropped that the keeper never received.
    pub(crate) gap: bool,
    /// When the wait for the next acknowledgement began; `None` if all changes
    /// are acknowledged.
    pub(crate) ack_wait_since: Option<Time>,
}

impl OwnedShard {
    pub(crate) fn new(now: Time, assignment: &Assignment, phase: Phase) -> Self {
        Self {
            epoch: assignment.epoch,
            keeper: assignment.keeper.clone(),
            chosen: assignment.chosen,
            phase,
            since: now,
            keeper_has_no_copy: false,
            copies_lost: assignment.lost.0 > 0,
            seq: 0,
            unacked: VecDeque::new(),
            deferred: VecDeque::new(),
            parked: Vec::new(),
            incoming: BTreeMap::new(),
            gap: false,
            ack_wait_since: None,
        }
    }

    /// Returns whether the keeper has acknowledged all changes.
    fn is_replicated(&self) -> bool {
        let loaded = self.phase == Phase::Loaded && self.keeper.is_some();
        loaded && !self.gap && self.unacked.is_empty()
    }

    /// Returns whether the wait for an acknowledgement has exceeded its limit.
    pub(crate) fn has_ack_timed_out(&self, cx: &Context<'_>) -> bool {
        self.phase == Phase::Loaded && self.ack_wait(cx.now) >= cx.rules.ack_timeout()
    }

    /// Returns how long the wait for the next acknowledgement has lasted; zero
    /// if all changes are acknowledged.
    pub(crate) fn ack_wait(&self, now: Time) -> Duration {
        self.ack_wait_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}

/// A program that this process owns.
#[derive(Debug)]
pub(crate) struct Program {
    pub(crate) copy: ProgramCopy,
    /// Calls that wait for their turn, by their number in the program.
    pub(crate) queued: BTreeMap<u64, CallId>,
    /// The call whose turn it is.
    pub(crate) running: Option<CallId>,
    pub(crate) last_active: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    /// Waits for its turn in the program.
    AwaitingTurn,
    /// Waits for admission by the deployment's limits.
    AwaitingAdmission,
    /// Waits for the keeper to acknowledge that the call is about to run.
    PersistingIntent { server: NodeId, boot: Boot },
    /// Sent to a server.
    Running { server: NodeId, boot: Boot },
    /// The server is being asked for the state of the call, after a loss of
    /// contact or a missed deadline.
    Settling {
        server: NodeId,
        boot: Boot,
        since: Time,
    },
    /// Waits for the keeper to acknowledge the outcome.
    PersistingOutcome { outcome: Outcome },
}

#[derive(Debug)]
pub(crate) struct Call {
    /// `None` for a call that was taken over and that the caller has not sent
    /// again yet.
    pub(crate) request: Option<Box<CallRequest>>,
    pub(crate) shard: Option<ShardId>,
    pub(crate) program: ProgramId,
    pub(crate) record: CallRecord,
    pub(crate) state: State,
    pub(crate) subscribers: Vec<Subscriber>,
    pub(crate) bytes: Vec<u8>,
    pub(crate) deadline: Time,
    /// Servers that refused the call.
    pub(crate) tried: Vec<NodeId>,
    /// The server that the call was sent to, once it has ended.
    pub(crate) server: Option<NodeId>,
    /// Whether it counts towards the running calls of its deployment.
    pub(crate) admitted: bool,
    pub(crate) operator: Operator,
    pub(crate) deployment: Deployment,
}

/// The owner's state: shards, their programs, and open calls.
#[derive(Debug)]
pub struct Owner {
    pub(crate) node: NodeId,
    pub(crate) rng: SmallRng,
    pub(crate) shards: BTreeMap<ShardId, OwnedShard>,
    pub(crate) programs: BTreeMap<ProgramId, Program>,
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) call_timers: BTreeSet<(Time, CallId)>,
    pub(crate) program_timers: BTreeSet<(Time, ProgramId)>,
    pub(crate) admission: Admission,
    pub(crate) outstanding: BTreeMap<NodeId, OutstandingWork>,
    pub(crate) placement: Affinity,
}

/// Unfinished work that this owner has sent to a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutstandingWork {
    pub(crate) calls: u32,
    pub(crate) tokens: u64,
}

impl Owner {
    /// Creates an owner without shards.
    pub(crate) fn new(node: NodeId, rng: SmallRng) -> Self {
        Self {
            node,
            rng,
            shards: BTreeMap::new(),
            programs: BTreeMap::new(),
            calls: BTreeMap::new(),
            call_timers: BTreeSet::new(),
            program_timers: BTreeSet::new(),
            admission: Admission::default(),
            outstanding: BTreeMap::new(),
            placement: Affinity::default(),
        }
    }

    /// Returns `shard` with its current epoch, as orders to servers carry it.
    pub(crate) fn epoch_of(&self, shard: Option<ShardId>) -> Option<(ShardId, Epoch)> {
        let shard = shard?;
        self.shards.get(&shard).map(|held| (shard, held.epoch))
    }

    /// Returns the number of open calls.
    pub fn open_call_count(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of programs.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Returns the number of shards whose keeper has acknowledged all changes.
    pub fn shards_kept(&self) -> usize {
        self.shards
            .values()
            .filter(|held| held.is_replicated())
            .count()
    }

    /// Returns the id and head of each program.
    pub fn heads(&self) -> impl Iterator<Item = (ProgramId, &ProgramHead)> {
        self.programs.iter().map(|(id, p)| (*id, &p.copy.head))
    }

    /// Returns the full state of each program, for checks in tests.
    pub fn copies(&self) -> impl Iterator<Item = &ProgramCopy> {
        self.programs.values().map(|program| &program.copy)
    }

    // Links and timers.

    pub(crate) fn link_up(&mut self, cx: &mut Context<'_>, node: &NodeId, boot: Boot) {
        let shards: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, held)| held.keeper.as_ref() == Some(node))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in shards {
            self.request_copy(cx, shard);
            if let Some(held) = self.shards.get(&shard)
                && held.phase == Phase::Loaded
            {
                self.resend_unacked(cx, shard, held);
            }
        }
        let mut to_query = Vec::new();
        let mut to_end = Vec::new();
        for (id, call) in &self.calls {
            match &call.state {
                State::Running { server, boot: old }
                | State::Settling {
                    server, boot: old, ..
                } if server == node => {
                    if *old == boot {
                        to_query.push(*id)
                    } else {
                        to_end.push(*id)
                    }
                }
                _ => {}
            }
        }
        for id in to_query {
            self.query_attempt(cx, id);
        }
        for id in to_end {
            self.conclude_without_result(cx, id);
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
                self.call_timers.insert((limit, *id));
            }
            call.subscribers
                .retain(|subscriber| subscriber.node != *node);
        }
    }

    /// Handles all timers that are due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        while let Some((due, id)) = self.call_timers.first().copied() {
            if due > cx.now {
                break;
            }
            self.call_timers.pop_first();
            self.on_call_timer(cx, id);
        }
        while let Some((due, id)) = self.program_timers.first().copied() {
            if due > cx.now {
                break;
            }
            self.program_timers.pop_first();
            self.on_program_timer(cx, id);
        }
        self.proceed_without_keeper(cx);
    }

    pub(crate) fn on_call_timer(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let late = call.deadline <= cx.now;
        match &call.state {
            State::AwaitingTurn if !late => {
                let refusal = Refusal::with_detail(Code::OutOfTurn, "an earlier call never came");
                let none_running = self
                    .programs
                    .get(&call.program)
                    .is_some_and(|p| p.running.is_none());
                let deadline = call.deadline;
                if none_running {
                    self.refuse(cx, id, refusal);
                } else {
                    self.call_timers.insert((deadline, id));
                }
            }
            State::AwaitingTurn | State::AwaitingAdmission | State::PersistingIntent { .. }
                if late =>
            {
                self.refuse(cx, id, Refusal::new(Code::DeadlinePassed));
            }
            State::AwaitingTurn | State::AwaitingAdmission | State::PersistingIntent { .. } => {
                self.call_timers.insert((call.deadline, id));
            }
            State::Running { .. } => {
                // The server should have ended the call by now. Ask for its
                // state, and stop waiting if no answer arrives in time.
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
                self.call_timers.insert((deadline, id));
                self.query_attempt(cx, id);
            }
            State::Settling { since, .. } => {
                let due = *since + cx.rules.settle_wait();
                if due <= cx.now {
                    self.conclude_without_result(cx, id);
                } else {
                    self.call_timers.insert((due, id));
                }
            }
            State::PersistingOutcome { .. } => {}
        }
    }

    pub(crate) fn on_program_timer(&mut self, cx: &mut Context<'_>, id: ProgramId) {
        let shard = id.shard(cx.rules.shards);
        let adopting = |held: &OwnedShard| held.phase == Phase::Adopting;
        let Some(program) = self.programs.get(&id) else {
            return;
        };
        if self.shards.get(&shard).is_none_or(adopting) {
            return;
        }
        let head = &program.copy.head;
        let ended = head.ended || id.is_single_call();
        let idle = cx
            .documents
            .rules(&head.operator, &head.deployment)
            .map_or(cx.rules.retention(), |rules| {
                Duration::from_secs(rules.program.idle)
            });
        let wait = if ended { cx.rules.retention() } else { idle };
        let due = program.last_active + wait;
        if due > cx.now || program.running.is_some() {
            let retry_at = due.max(cx.now + Duration::from_secs(1));
            self.program_timers.insert((retry_at, id));
        } else if ended {
            self.programs.remove(&id);
            self.replicate(cx, shard, Change::Forget(id));
        } else {
            cx.log(LogEvent::new("program_abandoned").with("program", id));
            self.end_subtree(cx, shard, id);
            self.program_timers
                .insert((cx.now + cx.rules.retention(), id));
        }
    }
}

impl Call {
    pub(crate) fn is_refused(&self) -> bool {
        matches!(&self.state, State::PersistingOutcome { outcome } if outcome.is_not_run())
    }
}

/// Returns the servers to consider for a call. Of up to [`MAX_FULL_SCAN`]
/// servers, these are all; of more, they are a random sample and the server
/// that may hold the program's cache, so that the cost of a decision does not
/// grow with the fleet. `names` must be sorted.
pub(crate) fn candidates<'a>(
    names: &'a [NodeId],
    warm: Option<&'a NodeId>,
    rng: &mut SmallRng,
) -> Vec<&'a NodeId> {
    if names.len() <= MAX_FULL_SCAN {
        return names.iter().collect();
    }
    let warm = warm.filter(|name| names.binary_search(name).is_ok());
    let mut drawn: Vec<&NodeId> = (0..MAX_FULL_SCAN)
        .map(|_| &names[rng.random_range(0..names.len())])
        .chain(warm)
        .collect();
    drawn.sort_unstable();
    drawn.dedup();
    drawn
}

/// Whether a submitted call is new.
pub(crate) enum CallLookup {
    /// It is new and gets this number in its program.
    New(u64),
    /// It was received before and has this record.
    Recorded(Box<CallRecord>),
}

/// Returns whether a call needs no record: the caller cannot send it again,
/// and it is safe to run twice.
pub(crate) fn is_stateless(call: &CallRequest) -> bool {
    call.program.is_single_call() && call.idempotent && !call.keyed
}

pub(crate) fn reply(cx: &mut Context<'_>, subscriber: &Subscriber, reply: Reply) {
    let message = Message::Reply {
        ticket: subscriber.ticket,
        reply,
    };
    cx.send(&subscriber.node, message);
}

pub(crate) fn send_bytes(
    cx: &mut Context<'_>,
    subscriber: &Subscriber,
    attempt: u64,
    bytes: &[u8],
    offset: u64,
) {
    let Some(rest) = bytes.get(offset as usize..).filter(|rest| !rest.is_empty()) else {
        return;
    };
    let message = Message::Chunk {
        ticket: subscriber.ticket,
        attempt,
        offset,
        bytes: rest.to_vec(),
    };
    cx.send(&subscriber.node, message);
}

pub(crate) fn ending_reply(record: &CallRecord, outcome: &Outcome, digest: Digest) -> Reply {
    match outcome {
        Outcome::Answer(Answer {
            status, kind, body, ..
        }) => Reply::Ended(AnswerEnd {
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

pub(crate) fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer(_) => "answer",
        Outcome::Refused(refusal) => refusal.code.as_str(),
    }
}

/// Returns the messages that a finished call adds to the history, and whether
/// they replace the earlier ones.
pub(crate) fn history_update(record: &CallRecord, outcome: &Outcome) -> (Vec<Turn>, bool) {
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
        record: record.map(|record| Box::new(record.without_messages())),
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

pub(crate) fn estimate_tokens(request: &CallRequest, history: usize) -> u64 {
    match request.target {
        Target::Service { .. } => 0,
        Target::Model(_) => {
            let old = if request.supply == HistoryMode::Full {
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

/// Returns the share of a deployment's limits that each of `entries` entries
/// may use; at least one call each.
pub(crate) fn limits_per_entry(
    limits: &crate::document::Limits,
    entries: u64,
) -> crate::document::Limits {
    crate::document::Limits {
        running: (limits.running / entries).max(1),
        waiting: (limits.waiting / entries).max(1),
    }
}
