//! The owner of program shards: orders calls, holds budgets and histories,
//! sends each change to the keeper and each call to a server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng as _;
use rand::rngs::SmallRng;

use crate::admission::Admission;
use crate::budget::Amount;
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
use crate::message::Judgement;
use crate::message::KeepFault;
use crate::message::Message;
use crate::message::OpenRequest;
use crate::message::Order;
use crate::message::OrderFault;
use crate::message::ProgramView;
use crate::message::Reply;
use crate::message::Request;
use crate::message::Standing;
use crate::message::Ticket;
use crate::outcome::Answer;
use crate::outcome::Outcome;
use crate::outcome::Ran;
use crate::outcome::Refusal;
use crate::placement::Affinity;
use crate::placement::CallView;
use crate::placement::LOOK_AT_ALL;
use crate::placement::Placement;
use crate::placement::ServerView;
use crate::program::CallRecord;
use crate::program::CallRequest;
use crate::program::CallStage;
use crate::program::ProgramCopy;
use crate::program::ProgramHead;
use crate::program::Supply;
use crate::program::Target;
use crate::program::Urgency;
use crate::rules::Rules;
use crate::shard::Assignment;
use crate::shard::ShardMap;
use crate::time::Time;

/// Bytes of JSON text that count as one token in a reservation.
const BYTES_PER_TOKEN: u64 = 3;

/// Changes that wait for one keeper, above which they are dropped and all is
/// sent anew.
const MAX_UNKEPT: usize = 10_000;

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
    watcher: Watcher,
    request: Request,
    offset: u64,
}

/// How much of a program a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Its state without messages.
    Head,
    /// Its messages too.
    Whole,
}

/// Something that goes on once the keeper has a change.
#[derive(Clone, Debug)]
enum Step {
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
    seq: u64,
    unkept: VecDeque<(u64, Change)>,
    steps: VecDeque<(u64, Step)>,
    parked: Vec<Parked>,
    incoming: BTreeMap<ProgramId, ProgramCopy>,
    /// Whether changes were dropped that the keeper never had.
    gap: bool,
    /// Since when changes have waited for an acknowledgement.
    waiting: Option<Time>,
}

impl Held {
    fn new(now: Time, assignment: &Assignment, phase: Phase) -> Self {
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

    /// Returns whether changes have waited too long for a keeper.
    fn is_stuck(&self, cx: &Context<'_>) -> bool {
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
struct Program {
    copy: ProgramCopy,
    /// Calls that wait for their turn, by number.
    ahead: BTreeMap<u64, CallId>,
    /// The call that has the turn.
    running: Option<CallId>,
    touched: Time,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
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
struct Call {
    /// `None` for a call taken over whose caller has not come back yet.
    request: Option<Box<CallRequest>>,
    shard: Option<ShardId>,
    program: ProgramId,
    record: CallRecord,
    state: State,
    watchers: Vec<Watcher>,
    bytes: Vec<u8>,
    deadline: Time,
    tried: Vec<NodeId>,
    /// The server that ended it.
    server: Option<NodeId>,
    /// Whether it counts against the deployment's running calls.
    admitted: bool,
    operator: Operator,
    deployment: Deployment,
}

/// The owner's state: shards, their programs, and calls under way.
#[derive(Debug)]
pub struct Owner {
    node: NodeId,
    rng: SmallRng,
    pub(crate) shards: BTreeMap<ShardId, Held>,
    programs: BTreeMap<ProgramId, Program>,
    calls: BTreeMap<CallId, Call>,
    timers: BTreeSet<(Time, CallId)>,
    idle: BTreeSet<(Time, ProgramId)>,
    admission: Admission,
    sent: BTreeMap<NodeId, Sent>,
    placement: Affinity,
}

/// Work given to a server that has not ended.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    calls: u32,
    tokens: u64,
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

    /// Returns the number of calls under way.
    pub fn calls_open(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of programs.
    pub fn programs_open(&self) -> usize {
        self.programs.len()
    }

    /// Returns each program with its changing part.
    pub fn heads(&self) -> impl Iterator<Item = (ProgramId, &ProgramHead)> {
        self.programs.iter().map(|(id, p)| (*id, &p.copy.head))
    }

    /// Returns each program's copy, for checks by tests.
    pub fn copies(&self) -> impl Iterator<Item = &ProgramCopy> {
        self.programs.values().map(|program| &program.copy)
    }

    // Submissions.

    pub(crate) fn submit(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        ticket: Ticket,
        request: Request,
        offset: u64,
    ) {
        let watcher = Watcher {
            node: from.clone(),
            ticket,
        };
        if let Request::Call(call) = &request {
            if is_free(call) {
                let Request::Call(call) = request else { return };
                self.accept_call(cx, None, watcher, call, offset);
                return;
            }
        }
        let shard = request.program().shard(cx.rules.shards);
        let Some(held) = self.shards.get_mut(&shard) else {
            reply(cx, &watcher, Reply::Moved);
            return;
        };
        if held.phase == Phase::Adopting {
            if held.parked.len() < cx.rules.parked {
                held.parked.push(Parked {
                    watcher,
                    request,
                    offset,
                });
            } else {
                reply(cx, &watcher, Reply::Moved);
            }
            return;
        }
        self.accept(cx, shard, watcher, request, offset);
    }

    fn accept(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        watcher: Watcher,
        request: Request,
        offset: u64,
    ) {
        match request {
            Request::Call(call) => self.accept_call(cx, Some(shard), watcher, call, offset),
            Request::Open(open) => self.open(cx, shard, watcher, &open),
            Request::Read(program) => self.read(cx, shard, watcher, program),
            Request::End(program) => self.end(cx, shard, watcher, program),
            Request::Judge(judgement) => self.judge(cx, shard, watcher, &judgement),
        }
    }

    fn open(&mut self, cx: &mut Context<'_>, shard: ShardId, watcher: Watcher, open: &OpenRequest) {
        if self.programs.contains_key(&open.program) {
            // Sent again: the program is there, the answer was lost.
            let seq = self.shards.get(&shard).map_or(0, |held| held.seq);
            self.after(
                cx,
                shard,
                seq,
                Step::Answer(watcher, open.program, Part::Head),
            );
            return;
        }
        let stuck = self
            .shards
            .get(&shard)
            .is_some_and(|held| held.is_stuck(cx));
        if stuck {
            reply(cx, &watcher, Reply::Refused(Refusal::new(Code::NoKeeper)));
            return;
        }
        if let Err(refusal) = self.check_open(cx, open) {
            self.refuse_caller(cx, Some(shard), watcher, refusal);
            return;
        }
        let head = ProgramHead {
            operator: open.operator.clone(),
            deployment: open.deployment.clone(),
            parent: open.parent,
            next: 1,
            budget: Budget::new(open.limit),
            ended: false,
            warm: None,
            attained: 0,
        };
        let copy = ProgramCopy::new(open.program, head);
        let change = Change::Program(Box::new(copy.clone()));
        self.insert_program(cx, copy);
        let seq = self.keep(cx, shard, change);
        self.after(
            cx,
            shard,
            seq,
            Step::Answer(watcher, open.program, Part::Head),
        );
    }

    fn check_open(&self, cx: &Context<'_>, open: &OpenRequest) -> Result<(), Refusal> {
        if cx
            .documents
            .rules(&open.operator, &open.deployment)
            .is_none()
        {
            return Err(Refusal::new(Code::BadKey));
        }
        if self.programs.len() >= cx.rules.programs {
            return Err(Refusal::with(
                Code::Overloaded,
                "too many programs are open",
            ));
        }
        let Some(parent) = open.parent else {
            return Ok(());
        };
        match self.programs.get(&parent) {
            None => Err(Refusal::with(Code::ProgramUnknown, "the parent")),
            Some(program) if program.copy.head.ended => {
                Err(Refusal::with(Code::ProgramEnded, "the parent"))
            }
            Some(program) if program.copy.head.deployment != open.deployment => Err(Refusal::with(
                Code::BadKey,
                "the parent is another deployment's",
            )),
            Some(_) => Ok(()),
        }
    }

    fn insert_program(&mut self, cx: &Context<'_>, copy: ProgramCopy) {
        let id = copy.program;
        let program = Program {
            copy,
            ahead: BTreeMap::new(),
            running: None,
            touched: cx.now,
        };
        self.idle.insert((cx.now, id));
        self.programs.insert(id, program);
    }

    fn read(&mut self, cx: &mut Context<'_>, shard: ShardId, watcher: Watcher, id: ProgramId) {
        let seq = self.keep(cx, shard, Change::Probe);
        self.after(cx, shard, seq, Step::Answer(watcher, id, Part::Whole));
    }

    fn end(&mut self, cx: &mut Context<'_>, shard: ShardId, watcher: Watcher, id: ProgramId) {
        if !self.programs.contains_key(&id) {
            self.refuse_caller(cx, Some(shard), watcher, Refusal::new(Code::ProgramUnknown));
            return;
        }
        let seq = self.end_tree(cx, shard, id);
        self.after(cx, shard, seq, Step::Answer(watcher, id, Part::Head));
    }

    /// Ends a program and its sub-agents; returns the number of the last
    /// change.
    fn end_tree(&mut self, cx: &mut Context<'_>, shard: ShardId, id: ProgramId) -> u64 {
        let mut seq = self.shards.get(&shard).map_or(0, |held| held.seq);
        for member in self.tree(id) {
            let Some(program) = self.programs.get_mut(&member) else {
                continue;
            };
            program.touched = cx.now;
            let warm = program.copy.head.warm.take();
            let waiting: Vec<CallId> = program.ahead.values().copied().collect();
            let running = program.running;
            program.copy.head.ended = true;
            for call in waiting {
                self.refuse(cx, call, Refusal::new(Code::ProgramEnded));
            }
            if let Some(call) = running {
                self.cancel(cx, call, Code::ProgramEnded);
            }
            if let Some(server) = warm {
                cx.send(&server, Message::Release { program: member });
            }
            seq = self.keep_head(cx, member);
        }
        seq
    }

    /// Returns a program and all its sub-agents. They share a root, so that
    /// the search is over one tree only.
    fn tree(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut found = vec![id];
        let first = ProgramId {
            root: id.root,
            leaf: 0,
        };
        let last = ProgramId {
            root: id.root,
            leaf: u64::MAX,
        };
        let mut next = 0;
        while next < found.len() {
            let parent = found[next];
            for (child, program) in self.programs.range(first..=last) {
                if program.copy.head.parent == Some(parent) {
                    found.push(*child);
                }
            }
            next += 1;
        }
        found
    }

    /// Settles a call of unknown outcome by an operator's word.
    fn judge(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        watcher: Watcher,
        judgement: &Judgement,
    ) {
        let Some(program) = self.programs.get_mut(&judgement.program) else {
            self.refuse_caller(cx, Some(shard), watcher, Refusal::new(Code::ProgramUnknown));
            return;
        };
        let unknown = CallStage::Done(Outcome::refused(Code::OutcomeUnknown));
        let record = program.copy.record(judgement.call);
        let Some(record) = record.filter(|record| record.stage == unknown) else {
            let detail = "the call's outcome is not unknown";
            reply(
                cx,
                &watcher,
                Reply::Refused(Refusal::with(Code::BadRequest, detail)),
            );
            return;
        };
        let mut record = record.clone();
        // A call that did not run leaves no record, so that its caller may
        // send it again.
        let code = if judgement.ran {
            Code::AnswerExpired
        } else {
            Code::NoServer
        };
        record.stage = CallStage::Done(Outcome::refused(code));
        program.copy.put(record.clone());
        let change = update(&program.copy, Vec::new(), Some(record), Vec::new(), false);
        let seq = self.keep(cx, shard, change);
        self.after(
            cx,
            shard,
            seq,
            Step::Answer(watcher, judgement.program, Part::Head),
        );
    }

    // Calls: acceptance and order.

    fn accept_call(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        watcher: Watcher,
        request: Box<CallRequest>,
        offset: u64,
    ) {
        if let Some(call) = self.calls.get_mut(&request.call) {
            if call.record.digest != request.digest {
                reply(cx, &watcher, Reply::Refused(Refusal::new(Code::IdReused)));
                return;
            }
            send_bytes(cx, &watcher, call.record.attempt, &call.bytes, offset);
            if call.request.is_none() {
                call.deadline = cx.now + request.patience;
                call.request = Some(request);
            }
            call.watchers.push(watcher);
            return;
        }
        match self.first_number(cx, shard, &request) {
            Ok(Entrance::Fresh(number)) => self.enter(cx, shard, watcher, request, number),
            Ok(Entrance::Known(record)) => self.answer_again(cx, &watcher, &record, offset),
            Err(refusal) => self.refuse_caller(cx, shard, watcher, refusal),
        }
    }

    /// Refuses a request that is no call under way. What rests on something
    /// not being known here is said once the keeper confirms that no later
    /// owner knows more.
    fn refuse_caller(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        watcher: Watcher,
        refusal: Refusal,
    ) {
        match shard {
            Some(shard) if refusal.code.ran() != Ran::Ran => {
                let seq = self.keep(cx, shard, Change::Probe);
                self.after(cx, shard, seq, Step::Refuse(watcher, refusal));
            }
            _ => reply(cx, &watcher, Reply::Refused(refusal)),
        }
    }

    /// Finds a call among those that have ended, or gives it its number.
    fn first_number(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        request: &CallRequest,
    ) -> Result<Entrance, Refusal> {
        let Some(shard) = shard else {
            return Ok(Entrance::Fresh(1));
        };
        if !self.programs.contains_key(&request.program) {
            self.open_single(cx, shard, request)?;
        }
        let Some(program) = self.programs.get_mut(&request.program) else {
            return Err(Refusal::new(Code::ProgramUnknown));
        };
        program.touched = cx.now;
        let copy = &program.copy;
        if let Some(record) = copy.record(request.call) {
            if record.digest != request.digest {
                return Err(Refusal::new(Code::IdReused));
            }
            return Ok(Entrance::Known(Box::new(record.clone())));
        }
        if let Some(past) = copy.past(request.call) {
            let code = if past.answered {
                Code::AnswerExpired
            } else {
                Code::OutcomeUnknown
            };
            return Err(Refusal::new(code));
        }
        if copy.head.deployment != request.deployment {
            return Err(Refusal::with(
                Code::BadKey,
                "the program is another deployment's",
            ));
        }
        if copy.head.ended {
            return Err(Refusal::new(Code::ProgramEnded));
        }
        let next = copy.head.next;
        let number = match request.number {
            Some(number) => number,
            None => (next..)
                .find(|number| !program.ahead.contains_key(number))
                .unwrap_or(next),
        };
        if number < next || program.ahead.contains_key(&number) {
            return Err(Refusal::with(
                Code::OutOfTurn,
                format!("number {number} is taken"),
            ));
        }
        if number > next + cx.rules.turns_ahead {
            let detail = format!("number {number} is too far from the next one, {next}");
            return Err(Refusal::with(Code::OutOfTurn, detail));
        }
        Ok(Entrance::Fresh(number))
    }

    fn open_single(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        request: &CallRequest,
    ) -> Result<(), Refusal> {
        if !request.program.is_single() {
            return Err(Refusal::new(Code::ProgramUnknown));
        }
        let lossy = self.shards.get(&shard).is_some_and(|held| held.lossy);
        if lossy && !request.idempotent && request.keyed {
            // An earlier sending may have run and both copies of it are
            // lost; only a program, whose absence tells, is safe here.
            let detail = "records of earlier calls were lost; open a program for this call";
            return Err(Refusal::with(Code::OutcomeUnknown, detail));
        }
        if self.programs.len() >= cx.rules.programs {
            return Err(Refusal::with(
                Code::Overloaded,
                "too many programs are open",
            ));
        }
        let Some(rules) = cx.documents.rules(&request.operator, &request.deployment) else {
            return Err(Refusal::new(Code::BadKey));
        };
        let head = ProgramHead {
            operator: request.operator.clone(),
            deployment: request.deployment.clone(),
            parent: None,
            next: 1,
            budget: Budget::new(rules.program.amount()),
            ended: false,
            warm: None,
            attained: 0,
        };
        let copy = ProgramCopy::new(request.program, head);
        let change = Change::Program(Box::new(copy.clone()));
        self.insert_program(cx, copy);
        self.keep(cx, shard, change);
        Ok(())
    }

    fn enter(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        watcher: Watcher,
        request: Box<CallRequest>,
        number: u64,
    ) {
        let id = request.call;
        let patience = request.patience;
        let record = CallRecord {
            call: id,
            number,
            digest: request.digest,
            attempt: 0,
            idempotent: request.idempotent,
            need: Amount::default(),
            turns: request.turns.clone(),
            replace: request.supply == Supply::Full,
            stage: CallStage::Intended {
                server: self.node.clone(),
                boot: Boot::default(),
            },
        };
        let call = Call {
            shard,
            program: request.program,
            record,
            state: State::Ahead,
            watchers: vec![watcher],
            bytes: Vec::new(),
            deadline: cx.now + patience,
            tried: Vec::new(),
            server: None,
            admitted: false,
            operator: request.operator.clone(),
            deployment: request.deployment.clone(),
            request: Some(request),
        };
        let program = call.program;
        self.calls.insert(id, call);
        let waits = if shard.is_some() {
            patience.min(cx.rules.turn_wait())
        } else {
            patience
        };
        self.timers.insert((cx.now + waits, id));
        if shard.is_none() {
            self.admit(cx, id);
            return;
        }
        if let Some(program) = self.programs.get_mut(&program) {
            program.ahead.insert(number, id);
        }
        self.next_turn(cx, program);
    }

    /// Gives the turn to the call with the next number, if it is there.
    fn next_turn(&mut self, cx: &mut Context<'_>, id: ProgramId) {
        loop {
            let Some(program) = self.programs.get_mut(&id) else {
                return;
            };
            if program.running.is_some() {
                return;
            }
            let Some(call) = program.ahead.remove(&program.copy.head.next) else {
                return;
            };
            program.running = Some(call);
            program.copy.head.next += 1;
            match self.check_turn(cx, call) {
                Ok(need) => {
                    if let Some(call) = self.calls.get_mut(&call) {
                        call.record.need = need;
                    }
                    self.reserve(id, need);
                    self.admit(cx, call);
                    return;
                }
                Err(refusal) => self.refuse(cx, call, refusal),
            }
        }
    }

    /// Checks the history that a call continues and the budgets that it
    /// draws on; returns what it needs.
    fn check_turn(&self, cx: &Context<'_>, id: CallId) -> Result<Amount, Refusal> {
        let missing = || Refusal::new(Code::ProgramUnknown);
        let call = self.calls.get(&id).ok_or_else(missing)?;
        let request = call.request.as_ref().ok_or_else(missing)?;
        let program = self.programs.get(&call.program).ok_or_else(missing)?;
        let history = &program.copy.history;
        history
            .verify()
            .map_err(|error| Refusal::with(Code::HistoryMismatch, error.to_string()))?;
        if let Supply::Append(Some(digest)) = request.supply {
            if digest != history.digest() {
                let detail = format!("the history has {}", history.digest());
                return Err(Refusal::with(Code::HistoryMismatch, detail));
            }
        }
        if cx
            .documents
            .rules(&call.operator, &call.deployment)
            .is_none()
        {
            return Err(Refusal::new(Code::BadKey));
        }
        let need = Amount::one_call(need_tokens(request, history.size()));
        for ancestor in self.line(call.program) {
            let Some(program) = self.programs.get(&ancestor) else {
                continue;
            };
            let budget = &program.copy.head.budget;
            budget
                .check(need)
                .map_err(|error| Refusal::with(Code::BudgetSpent, error.to_string()))?;
        }
        Ok(need)
    }

    /// Returns a program and those above it.
    fn line(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut line = vec![id];
        let mut at = id;
        while let Some(parent) = self.programs.get(&at).and_then(|p| p.copy.head.parent) {
            line.push(parent);
            at = parent;
        }
        line
    }

    fn reserve(&mut self, id: ProgramId, need: Amount) {
        for ancestor in self.line(id) {
            if let Some(program) = self.programs.get_mut(&ancestor) {
                program.copy.head.budget.reserve(need);
            }
        }
    }

    fn settle_budget(&mut self, id: ProgramId, need: Amount, used: Amount) {
        for ancestor in self.line(id) {
            if let Some(program) = self.programs.get_mut(&ancestor) {
                program.copy.head.budget.settle(need, used);
            }
        }
    }

    /// Lets a call run if the deployment's limits allow, or queues it.
    fn admit(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(rules) = cx.documents.rules(&call.operator, &call.deployment) else {
            self.refuse(cx, id, Refusal::new(Code::BadKey));
            return;
        };
        let urgency = call.request.as_ref().map_or(Urgency::Normal, |r| r.urgency);
        let limits = share(&rules.limits, cx.members.entries() + 1);
        let key = (call.operator.clone(), call.deployment.clone());
        if self.admission.enter(&key, &limits) {
            call.admitted = true;
            self.place(cx, id);
        } else if self.admission.wait(&key, &limits, urgency, cx.now, id) {
            call.state = State::Admitting;
        } else {
            self.refuse(cx, id, Refusal::new(Code::Overloaded));
        }
    }

    /// Chooses a server, and lets the keeper know before anything runs.
    fn place(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some((server, boot)) = self.choose(cx, id) else {
            let full = self
                .calls
                .get(&id)
                .is_some_and(|call| !call.tried.is_empty());
            let code = if full {
                Code::Overloaded
            } else {
                Code::NoServer
            };
            self.refuse(cx, id, Refusal::new(code));
            return;
        };
        let attempt = self.rng.random();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.bytes.clear();
        call.record.attempt = attempt;
        call.record.stage = CallStage::Intended {
            server: server.clone(),
            boot,
        };
        call.state = State::Reserving { server, boot };
        let Some(shard) = call.shard else {
            self.dispatch(cx, id);
            return;
        };
        let record = call.record.clone();
        let program = call.program;
        let above = self.budgets_above(program);
        let Some(program) = self.programs.get_mut(&program) else {
            return;
        };
        program.copy.put(record.clone());
        let change = update(&program.copy, above, Some(record), Vec::new(), false);
        let seq = self.keep(cx, shard, change);
        self.after(cx, shard, seq, Step::Dispatch(id));
    }

    fn choose(&mut self, cx: &Context<'_>, id: CallId) -> Option<(NodeId, Boot)> {
        let call = self.calls.get(&id)?;
        let request = call.request.as_ref()?;
        let rules = cx.documents.rules(&call.operator, &call.deployment)?;
        let names = match &request.target {
            Target::Model(model) => &rules.models.get(model)?.servers,
            Target::Service { service, .. } => &rules.services.get(service)?.servers,
        };
        let program = self.programs.get(&call.program);
        let prompt = program.map_or(0, |p| p.copy.history.size() as u64) / BYTES_PER_TOKEN;
        let warm = program.and_then(|program| program.copy.head.warm.as_ref());
        let mut nodes = Vec::new();
        let mut views = Vec::new();
        for name in candidates(names, warm, &mut self.rng) {
            if !cx.members.in_service(cx.now, name) || call.tried.contains(name) {
                continue;
            }
            let Some(boot) = cx.members.boot(name) else {
                continue;
            };
            let sent = self.sent.get(name).copied().unwrap_or_default();
            let member = cx.members.get(name);
            let load = member.map(|member| member.load()).unwrap_or_default();
            nodes.push((name.clone(), boot));
            views.push(ServerView {
                slots: cx.documents.server(name).map_or(1, |rules| rules.slots),
                busy: sent.calls.max(load.running + load.queued),
                backlog: sent.tokens.max(load.tokens),
                cached: if warm == Some(name) { prompt } else { 0 },
            });
        }
        let view = CallView {
            prompt,
            weights: rules.weights,
            program: call.program.leaf,
        };
        let index = self.placement.choose(&view, &views, &mut self.rng)?;
        nodes.get(index).cloned()
    }

    /// Gives a call to the server that was chosen, now that its intent is
    /// safe.
    fn dispatch(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let State::Reserving { server, boot } = call.state.clone() else {
            return;
        };
        let Some(request) = &call.request else {
            return;
        };
        let epoch = |shard: ShardId| self.shards.get(&shard).map(|held| (shard, held.epoch));
        let program = self.programs.get(&call.program);
        let old = program.filter(|_| request.supply != Supply::Full);
        let turns = old
            .into_iter()
            .flat_map(|program| program.copy.history.turns());
        let order = Order {
            shard: call.shard.and_then(epoch),
            boot,
            program: call.program,
            call: id,
            attempt: call.record.attempt,
            deployment: call.deployment.clone(),
            target: request.target.clone(),
            idempotent: request.idempotent,
            turns: turns.chain(&request.turns).cloned().collect(),
            body: request.body.clone(),
            tokens: request.tokens,
            urgency: request.urgency,
            attained: program.map_or(0, |program| program.copy.head.attained),
            patience: call.deadline.since(cx.now),
            timeout: timeout(cx.documents, request),
        };
        call.state = State::Running {
            server: server.clone(),
            boot,
        };
        let slack = order.patience.max(order.timeout) + cx.rules.settle_wait();
        self.timers.insert((cx.now + slack, id));
        self.count(id, true);
        cx.send(&server, Message::Order(Box::new(order)));
    }

    fn count(&mut self, id: CallId, more: bool) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let server = match &call.state {
            State::Running { server, .. } | State::Settling { server, .. } => server,
            _ => return,
        };
        let sent = self.sent.entry(server.clone()).or_default();
        let tokens = call.record.need.tokens;
        if more {
            sent.calls += 1;
            sent.tokens += tokens;
        } else {
            sent.calls = sent.calls.saturating_sub(1);
            sent.tokens = sent.tokens.saturating_sub(tokens);
        }
    }

    // Calls: answers of side processes.

    /// Returns the call that an answer of `from` is for, if it is for the
    /// attempt under way and not a late or crossed one.
    fn current(&mut self, from: &NodeId, id: CallId, attempt: u64) -> Option<&mut Call> {
        let call = self.calls.get_mut(&id)?;
        let here = match &call.state {
            State::Running { server, .. } | State::Settling { server, .. } => server == from,
            _ => false,
        };
        (here && call.record.attempt == attempt).then_some(call)
    }

    pub(crate) fn order_chunk(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        offset: u64,
        bytes: &[u8],
    ) {
        let Some(call) = self.current(from, id, attempt) else {
            return;
        };
        let have = call.bytes.len() as u64;
        if offset > have || offset + (bytes.len() as u64) <= have {
            return;
        }
        let fresh = &bytes[(have - offset) as usize..];
        call.bytes.extend_from_slice(fresh);
        for watcher in &call.watchers {
            let message = Message::Chunk {
                ticket: watcher.ticket,
                attempt,
                offset: have,
                bytes: fresh.to_vec(),
            };
            cx.send(&watcher.node, message);
        }
    }

    pub(crate) fn order_done(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        outcome: Outcome,
    ) {
        // An end that belongs to no attempt under way is left alone: a later
        // owner may still ask the server for it.
        if self.current(from, id, attempt).is_none() {
            return;
        }
        self.conclude(cx, id, outcome);
    }

    pub(crate) fn order_refused(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        fault: OrderFault,
    ) {
        if self.current(from, id, attempt).is_none() {
            return;
        }
        if fault == OrderFault::Late {
            let program = self
                .calls
                .get(&id)
                .and_then(|call| self.programs.get(&call.program));
            let ended = program.is_some_and(|program| program.copy.head.ended);
            let code = if ended {
                Code::ProgramEnded
            } else {
                Code::DeadlinePassed
            };
            self.conclude(cx, id, Outcome::refused(code));
            return;
        }
        self.try_elsewhere(cx, id, from.clone());
    }

    /// Runs a call at another server, after it surely did not run at `not`.
    fn try_elsewhere(&mut self, cx: &mut Context<'_>, id: CallId, not: NodeId) {
        self.count(id, false);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = State::Admitting;
        call.tried.push(not);
        let ended = self
            .programs
            .get(&call.program)
            .is_some_and(|p| p.copy.head.ended);
        if ended {
            self.refuse(cx, id, Refusal::new(Code::ProgramEnded));
        } else if call.request.is_none() {
            // Taken over, and its caller has not come back: it counts as not
            // run, and comes anew when the caller does.
            self.conclude(cx, id, Outcome::refused(Code::NoOwner));
        } else if call.tried.len() >= cx.rules.tries as usize {
            self.refuse(cx, id, Refusal::new(Code::Overloaded));
        } else {
            self.place(cx, id);
        }
    }

    pub(crate) fn settled(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        standing: Standing,
    ) {
        let Some(call) = self.current(from, id, attempt) else {
            return;
        };
        match standing {
            Standing::Open => {
                if let State::Settling { server, boot, .. } = call.state.clone() {
                    call.state = State::Running { server, boot };
                }
            }
            Standing::Sealed => self.retry_after_seal(cx, id),
            Standing::OtherBoot => self.give_up(cx, id),
        }
    }

    /// Runs a call again that surely did not run.
    fn retry_after_seal(&mut self, cx: &mut Context<'_>, id: CallId) {
        self.count(id, false);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = State::Admitting;
        if call.request.is_none() {
            self.conclude(cx, id, Outcome::refused(Code::NoOwner));
        } else {
            self.place(cx, id);
        }
    }

    /// Ends a call whose server cannot say any more what became of it.
    fn give_up(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let code = if call.record.idempotent {
            Code::BackendFailed
        } else {
            Code::OutcomeUnknown
        };
        self.conclude(cx, id, Outcome::refused(code));
    }

    // Calls: the end.

    /// Refuses a call that has not been given to any server.
    fn refuse(&mut self, cx: &mut Context<'_>, id: CallId, refusal: Refusal) {
        debug_assert!(refusal.code.ran() != Ran::Ran);
        self.conclude(cx, id, Outcome::Refused(refusal));
    }

    /// Cancels a call: at once if it has not been given to a server.
    fn cancel(&mut self, cx: &mut Context<'_>, id: CallId, code: Code) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match &call.state {
            State::Ahead | State::Admitting | State::Reserving { .. } => {
                self.refuse(cx, id, Refusal::new(code));
            }
            State::Running { server, .. } | State::Settling { server, .. } => {
                let epoch = |shard: ShardId| self.shards.get(&shard).map(|h| (shard, h.epoch));
                let message = Message::Cancel {
                    shard: call.shard.and_then(epoch),
                    call: id,
                    attempt: call.record.attempt,
                };
                let server = server.clone();
                cx.send(&server, message);
            }
            State::Recording { .. } => {}
        }
    }

    /// Notes the end of a call, and tells its callers once the keeper has it.
    fn conclude(&mut self, cx: &mut Context<'_>, id: CallId, outcome: Outcome) {
        self.count(id, false);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if matches!(call.state, State::Recording { .. }) {
            return;
        }
        if let Outcome::Answer(answer) = &outcome {
            let have = call.bytes.len();
            let rest = answer.body.get(have..).unwrap_or_default().to_vec();
            call.bytes.extend_from_slice(&rest);
            for watcher in &call.watchers {
                send_bytes(cx, watcher, call.record.attempt, &call.bytes, have as u64);
            }
        }
        let server = match &call.state {
            State::Running { server, .. } | State::Settling { server, .. } => Some(server.clone()),
            _ => None,
        };
        call.server.clone_from(&server);
        let was_ahead = call.state == State::Ahead;
        call.state = State::Recording {
            outcome: outcome.clone(),
        };
        self.leave_admission(cx, id);
        let Some(shard) = self.calls.get(&id).and_then(|call| call.shard) else {
            self.forget_done(cx, id);
            self.finish(cx, id);
            return;
        };
        let change = self.conclude_program(cx, id, &outcome, server.as_ref(), was_ahead);
        let seq = self.keep(cx, shard, change.unwrap_or(Change::Probe));
        self.after(cx, shard, seq, Step::Finish(id));
    }

    /// Notes the end of a call in its program; returns the change for the
    /// keeper, if there is anything to keep.
    fn conclude_program(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        outcome: &Outcome,
        server: Option<&NodeId>,
        was_ahead: bool,
    ) -> Option<Change> {
        let call = self.calls.get_mut(&id)?;
        call.record.stage = CallStage::Done(outcome.clone());
        let record = call.record.clone();
        let program_id = call.program;
        let need = record.need;
        let used = match outcome {
            Outcome::Answer(answer) => Amount::one_call(answer.tokens),
            Outcome::Refused(_) if outcome.is_not_run() => Amount::default(),
            Outcome::Refused(_) => need,
        };
        self.settle_budget(program_id, need, used);
        let above = self.budgets_above(program_id);
        let program = self.programs.get_mut(&program_id)?;
        program.touched = cx.now;
        if was_ahead {
            program.ahead.retain(|_, waiting| *waiting != id);
            return (program.running == Some(id)).then(|| {
                program.running = None;
                program.copy.head.next -= 1;
                update(&program.copy, above, None, Vec::new(), false)
            });
        }
        if outcome.is_not_run() {
            program.copy.head.next = record.number;
        }
        program.copy.put(record.clone());
        let (turns, replace) = gained(&record, outcome);
        program.copy.remember(replace, turns.clone());
        if let Outcome::Answer(answer) = outcome {
            program.copy.head.attained += answer.tokens;
        }
        if let Some(server) = server.filter(|_| !record.turns.is_empty()) {
            self.move_cache(cx, program_id, server);
        }
        let program = self.programs.get(&program_id)?;
        Some(update(&program.copy, above, Some(record), turns, replace))
    }

    /// Notes that `server` may hold cache for a program now, whatever became
    /// of the call, and releases what an earlier server or a gone program has.
    fn move_cache(&mut self, cx: &mut Context<'_>, id: ProgramId, server: &NodeId) {
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        let head = &mut program.copy.head;
        let old = head.warm.replace(server.clone());
        let left = old.filter(|old| old != server);
        let gone = if head.ended { head.warm.take() } else { None };
        for node in left.into_iter().chain(gone) {
            cx.send(&node, Message::Release { program: id });
        }
    }

    fn leave_admission(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let key = (call.operator.clone(), call.deployment.clone());
        if std::mem::take(&mut call.admitted) {
            self.admission.leave(&key);
        } else {
            self.admission.withdraw(&key, id);
        }
        self.admit_next(cx, &key);
    }

    fn admit_next(&mut self, cx: &mut Context<'_>, key: &(Operator, Deployment)) {
        let Some(rules) = cx.documents.rules(&key.0, &key.1) else {
            return;
        };
        let limits = share(&rules.limits, cx.members.entries() + 1);
        if let Some(next) = self.admission.next(key, &limits) {
            if let Some(call) = self.calls.get_mut(&next) {
                call.admitted = true;
                self.place(cx, next);
            } else {
                self.admission.leave(key);
            }
        }
    }

    /// Tells the callers of a call how it ended, and lets the next one run.
    fn finish(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let State::Recording { outcome } = call.state else {
            return;
        };
        let digest = self
            .programs
            .get(&call.program)
            .map_or(Digest::default(), |program| program.copy.history.digest());
        for watcher in &call.watchers {
            reply(cx, watcher, ending(&call.record, &outcome, digest));
        }
        let note = Note::new("call_ended")
            .with("call", id)
            .with("program", call.program)
            .with("number", call.record.number)
            .with("outcome", outcome_word(&outcome));
        cx.note(note);
        let Some(program) = self.programs.get_mut(&call.program) else {
            return;
        };
        if program.running == Some(id) {
            program.running = None;
        }
        self.next_turn(cx, call.program);
    }

    fn answer_again(
        &mut self,
        cx: &mut Context<'_>,
        watcher: &Watcher,
        record: &CallRecord,
        offset: u64,
    ) {
        let CallStage::Done(outcome) = &record.stage else {
            reply(cx, watcher, Reply::Refused(Refusal::new(Code::Settling)));
            return;
        };
        if let Outcome::Answer(answer) = outcome {
            send_bytes(cx, watcher, record.attempt, &answer.body, offset);
        }
        let digest = self
            .programs
            .values()
            .find(|program| program.copy.record(record.call).is_some())
            .map_or(Digest::default(), |program| program.copy.history.digest());
        reply(cx, watcher, ending(record, outcome, digest));
    }

    pub(crate) fn withdraw(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        ticket: Ticket,
        id: CallId,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.watchers
            .retain(|watcher| watcher.ticket != ticket || watcher.node != *from);
        let keyed = call.request.as_ref().is_none_or(|request| request.keyed);
        if call.watchers.is_empty() && !keyed && call.record.idempotent {
            // Nobody can ask for this answer any more.
            self.cancel(cx, id, Code::DeadlinePassed);
        }
    }

    // The keeper.

    /// Sends a change to the keeper and returns its number.
    pub(crate) fn keep(&mut self, cx: &mut Context<'_>, shard: ShardId, change: Change) -> u64 {
        let Some(held) = self.shards.get_mut(&shard) else {
            return 0;
        };
        held.seq += 1;
        held.waiting.get_or_insert(cx.now);
        if held.unkept.len() >= MAX_UNKEPT {
            // The keeper finds the gap when it is back and gets everything.
            held.unkept.clear();
            held.gap = true;
        }
        held.unkept.push_back((held.seq, change.clone()));
        if let Some(keeper) = &held.keeper {
            let message = Message::Keep {
                shard,
                epoch: held.epoch,
                seq: held.seq,
                change,
            };
            cx.out.push(Effect::Send {
                to: keeper.clone(),
                message,
            });
        }
        held.seq
    }

    fn keep_head(&mut self, cx: &mut Context<'_>, id: ProgramId) -> u64 {
        let Some(program) = self.programs.get(&id) else {
            return 0;
        };
        let change = update(&program.copy, Vec::new(), None, Vec::new(), false);
        self.keep(cx, id.shard(cx.rules.shards), change)
    }

    /// Returns the budgets of the programs above one.
    fn budgets_above(&self, id: ProgramId) -> Vec<(ProgramId, Budget)> {
        let line = self.line(id).into_iter().skip(1);
        line.filter_map(|id| Some((id, self.programs.get(&id)?.copy.head.budget)))
            .collect()
    }

    fn after(&mut self, cx: &mut Context<'_>, shard: ShardId, seq: u64, step: Step) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        let safe = !held.gap && held.unkept.front().is_none_or(|(first, _)| *first > seq);
        if safe {
            self.take_step(cx, step);
        } else {
            held.steps.push_back((seq, step));
        }
    }

    fn take_step(&mut self, cx: &mut Context<'_>, step: Step) {
        match step {
            Step::Dispatch(call) => self.dispatch(cx, call),
            Step::Finish(call) => {
                self.forget_done(cx, call);
                self.finish(cx, call);
            }
            Step::Refuse(watcher, refusal) => reply(cx, &watcher, Reply::Refused(refusal)),
            Step::Answer(watcher, program, part) => {
                let word = match self.programs.get(&program) {
                    Some(program) => Reply::Program(Box::new(view(&program.copy, part))),
                    None => Reply::Refused(Refusal::new(Code::ProgramUnknown)),
                };
                reply(cx, &watcher, word);
            }
        }
    }

    /// Lets the server that ran a call forget it, since two copies of the
    /// outcome exist.
    fn forget_done(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(server) = call.server.clone() {
            let attempt = call.record.attempt;
            cx.send(&server, Message::Forget { call: id, attempt });
        }
    }

    pub(crate) fn kept(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        seq: u64,
    ) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        if held.epoch != epoch || held.keeper.as_ref() != Some(from) || held.gap {
            return;
        }
        while held.unkept.front().is_some_and(|(first, _)| *first <= seq) {
            held.unkept.pop_front();
        }
        held.waiting = (!held.unkept.is_empty()).then_some(cx.now);
        let mut ready = Vec::new();
        while held.steps.front().is_some_and(|(first, _)| *first <= seq) {
            ready.extend(held.steps.pop_front().map(|(_, step)| step));
        }
        for step in ready {
            self.take_step(cx, step);
        }
    }

    /// Handles a keeper's refusal: fills its gap, or gives the shard up to
    /// the owner of the higher epoch.
    pub(crate) fn keep_refused(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        fault: KeepFault,
    ) {
        let Some(held) = self.shards.get(&shard) else {
            return;
        };
        if held.epoch != epoch || held.keeper.as_ref() != Some(from) {
            return;
        }
        match fault {
            KeepFault::Gap if held.phase == Phase::Whole => self.fill(cx, shard),
            KeepFault::Gap => {}
            KeepFault::Fenced => self.release(cx, shard),
        }
    }

    /// Sends everything to the keeper anew, since it lacks what went before.
    pub(crate) fn fill(&mut self, cx: &mut Context<'_>, shard: ShardId) {
        let count = cx.rules.shards;
        let copies: Vec<ProgramCopy> = self
            .programs
            .values()
            .filter(|program| program.copy.program.shard(count) == shard)
            .map(|program| program.copy.clone())
            .collect();
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        held.unkept.clear();
        held.gap = false;
        held.waiting = None;
        self.keep(cx, shard, Change::Begin);
        for copy in copies {
            self.keep(cx, shard, Change::Program(Box::new(copy)));
        }
        let seq = self.keep(cx, shard, Change::Complete);
        // What waited for an earlier change now waits for the whole.
        if let Some(held) = self.shards.get_mut(&shard) {
            for step in &mut held.steps {
                step.0 = seq;
            }
        }
    }

    fn resend_unkept(&self, cx: &mut Context<'_>, shard: ShardId, held: &Held) {
        let Some(keeper) = &held.keeper else {
            return;
        };
        for (seq, change) in &held.unkept {
            let message = Message::Keep {
                shard,
                epoch: held.epoch,
                seq: *seq,
                change: change.clone(),
            };
            cx.send(keeper, message);
        }
    }

    // Taking over and giving away.

    /// Starts to own `shard` as `assignment` says. `fresh` says that there is
    /// nothing to take over.
    pub(crate) fn acquire(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        assignment: &Assignment,
        fresh: bool,
    ) {
        self.release(cx, shard);
        let phase = if fresh { Phase::Whole } else { Phase::Adopting };
        let held = Held::new(cx.now, assignment, phase);
        self.shards.insert(shard, held);
        if fresh {
            self.fill(cx, shard);
        } else {
            self.ask_copy(cx, shard);
        }
    }

    /// Goes on owning `shard` under a new epoch, with another keeper.
    pub(crate) fn renew(&mut self, cx: &mut Context<'_>, shard: ShardId, assignment: &Assignment) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        held.epoch = assignment.epoch;
        held.keeper.clone_from(&assignment.keeper);
        held.chosen = assignment.chosen;
        held.lossy = assignment.lost.0 > 0;
        if held.phase == Phase::Adopting {
            // Both copies are lost: the shard goes on without its programs.
            held.phase = Phase::Whole;
            held.incoming.clear();
            let parked = std::mem::take(&mut held.parked);
            self.fill(cx, shard);
            self.unpark(cx, shard, parked);
            return;
        }
        self.fill(cx, shard);
    }

    pub(crate) fn ask_copy(&mut self, cx: &mut Context<'_>, shard: ShardId) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        if held.phase != Phase::Adopting {
            return;
        }
        if let Some(keeper) = held.keeper.clone() {
            let message = Message::Adopt {
                shard,
                epoch: held.epoch,
                chosen: held.chosen,
            };
            cx.send(&keeper, message);
        }
    }

    pub(crate) fn copy(&mut self, from: &NodeId, shard: ShardId, epoch: Epoch, copy: ProgramCopy) {
        if let Some(held) = self.shards.get_mut(&shard) {
            if held.epoch == epoch
                && held.keeper.as_ref() == Some(from)
                && held.phase == Phase::Adopting
            {
                held.incoming.insert(copy.program, copy);
            }
        }
    }

    pub(crate) fn copied(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        seq: Option<u64>,
    ) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        if held.epoch != epoch
            || held.keeper.as_ref() != Some(from)
            || held.phase != Phase::Adopting
        {
            return;
        }
        let Some(seq) = seq else {
            held.hopeless = true;
            held.incoming.clear();
            return;
        };
        held.seq = seq;
        held.phase = Phase::Whole;
        let incoming = std::mem::take(&mut held.incoming);
        let parked = std::mem::take(&mut held.parked);
        let count = incoming.len();
        for copy in incoming.into_values() {
            self.install(cx, shard, copy);
        }
        cx.note(
            Note::new("shard_adopted")
                .with("shard", shard)
                .with("epoch", epoch)
                .with("programs", count),
        );
        self.unpark(cx, shard, parked);
    }

    fn unpark(&mut self, cx: &mut Context<'_>, shard: ShardId, parked: Vec<Parked>) {
        for item in parked {
            self.accept(cx, shard, item.watcher, item.request, item.offset);
        }
    }

    /// Takes over a program; a call that may be running is asked about.
    fn install(&mut self, cx: &mut Context<'_>, shard: ShardId, copy: ProgramCopy) {
        let open = copy.open_call().cloned();
        let id = copy.program;
        let (operator, deployment) = (copy.head.operator.clone(), copy.head.deployment.clone());
        self.insert_program(cx, copy);
        let Some(record) = open else {
            return;
        };
        let CallStage::Intended { server, boot } = record.stage.clone() else {
            return;
        };
        if let Some(program) = self.programs.get_mut(&id) {
            program.running = Some(record.call);
        }
        let call = Call {
            request: None,
            shard: Some(shard),
            program: id,
            state: State::Settling {
                server,
                boot,
                since: cx.now,
            },
            watchers: Vec::new(),
            bytes: Vec::new(),
            deadline: cx.now + cx.rules.retention(),
            tried: Vec::new(),
            server: None,
            admitted: false,
            operator,
            deployment,
            record,
        };
        let call_id = call.record.call;
        self.timers
            .insert((cx.now + cx.rules.settle_wait(), call_id));
        self.calls.insert(call_id, call);
        self.count(call_id, true);
        self.ask(cx, call_id);
    }

    fn ask(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (State::Running { server, boot } | State::Settling { server, boot, .. }) = &call.state
        else {
            return;
        };
        let epoch = |shard: ShardId| self.shards.get(&shard).map(|held| (shard, held.epoch));
        let message = Message::Settle {
            shard: call.shard.and_then(epoch),
            boot: *boot,
            call: id,
            attempt: call.record.attempt,
        };
        let server = server.clone();
        cx.send(&server, message);
    }

    /// Stops owning `shard`; its callers' entries go to the new owner.
    pub(crate) fn release(&mut self, cx: &mut Context<'_>, shard: ShardId) {
        let Some(held) = self.shards.remove(&shard) else {
            return;
        };
        for item in held.parked {
            reply(cx, &item.watcher, Reply::Moved);
        }
        for (_, step) in held.steps {
            if let Step::Answer(watcher, _, _) | Step::Refuse(watcher, _) = step {
                reply(cx, &watcher, Reply::Moved);
            }
        }
        let gone: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.shard == Some(shard))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.count(id, false);
            let Some(call) = self.calls.remove(&id) else {
                continue;
            };
            let key = (call.operator.clone(), call.deployment.clone());
            if call.admitted {
                self.admission.leave(&key);
            } else {
                self.admission.withdraw(&key, id);
            }
            for watcher in &call.watchers {
                reply(cx, watcher, Reply::Moved);
            }
        }
        let count = cx.rules.shards;
        self.programs.retain(|id, _| id.shard(count) != shard);
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
            if let Some(held) = self.shards.get(&shard) {
                if held.phase == Phase::Whole {
                    self.resend_unkept(cx, shard, held);
                }
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
            if let State::Running { server, boot } = &call.state {
                if server == node {
                    call.state = State::Settling {
                        server: server.clone(),
                        boot: *boot,
                        since: now,
                    };
                    self.timers.insert((limit, *id));
                }
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

    fn call_due(&mut self, cx: &mut Context<'_>, id: CallId) {
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

    fn program_due(&mut self, cx: &mut Context<'_>, id: ProgramId) {
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

    /// While no keeper answers and none can be chosen, lets idempotent calls
    /// without a program go on, and refuses to start others: what only one
    /// process knows of a program would be lost with it. Calls that ran wait
    /// for a keeper, since their end must not be told before it is safe.
    fn go_on_alone(&mut self, cx: &mut Context<'_>) {
        let stuck: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, held)| held.is_stuck(cx))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stuck {
            let Some(held) = self.shards.get_mut(&shard) else {
                continue;
            };
            let steps = std::mem::take(&mut held.steps);
            for (seq, step) in steps {
                self.step_alone(cx, shard, seq, step);
            }
        }
    }

    fn step_alone(&mut self, cx: &mut Context<'_>, shard: ShardId, seq: u64, step: Step) {
        let call = match &step {
            Step::Dispatch(id) | Step::Finish(id) => self.calls.get_mut(id),
            Step::Refuse(..) | Step::Answer(..) => None,
        };
        let harmless = |call: &Call| call.program.is_single() && call.record.idempotent;
        match (step, call) {
            (step, Some(call)) if harmless(call) => self.take_step(cx, step),
            (Step::Dispatch(id), Some(_)) => {
                self.conclude(cx, id, Outcome::refused(Code::NoServer));
            }
            (Step::Finish(id), Some(call)) if call.is_refused() => {
                // Without the keeper's word, nobody can say "not run".
                let outcome = Outcome::refused(Code::NoKeeper);
                call.state = State::Recording { outcome };
                self.finish(cx, id);
            }
            (Step::Refuse(watcher, _), _) => {
                reply(cx, &watcher, Reply::Refused(Refusal::new(Code::NoKeeper)));
            }
            (step @ (Step::Finish(_) | Step::Answer(..)), _) => {
                if let Some(held) = self.shards.get_mut(&shard) {
                    held.steps.push_back((seq, step));
                }
            }
            (Step::Dispatch(_), None) => {}
        }
    }
}

impl Call {
    fn is_refused(&self) -> bool {
        matches!(&self.state, State::Recording { outcome } if outcome.is_not_run())
    }
}

/// Returns the servers to weigh for a call: all of a few; of many, the one
/// that may hold the program's cache and a sample, so that the cost of a
/// decision does not grow with the fleet. `names` is sorted.
fn candidates<'a>(
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

enum Entrance {
    Fresh(u64),
    Known(Box<CallRecord>),
}

/// Returns whether a call needs no record: nobody can send it again, and
/// running it twice does no harm.
pub(crate) fn is_free(call: &CallRequest) -> bool {
    call.program.is_single() && call.idempotent && !call.keyed
}

fn reply(cx: &mut Context<'_>, watcher: &Watcher, reply: Reply) {
    let message = Message::Reply {
        ticket: watcher.ticket,
        reply,
    };
    cx.send(&watcher.node, message);
}

fn send_bytes(cx: &mut Context<'_>, watcher: &Watcher, attempt: u64, bytes: &[u8], offset: u64) {
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

fn ending(record: &CallRecord, outcome: &Outcome, digest: Digest) -> Reply {
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

fn outcome_word(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer(_) => "answer",
        Outcome::Refused(refusal) => refusal.code.as_str(),
    }
}

/// Returns what the history gains by the end of a call, and whether that
/// replaces what it had.
fn gained(record: &CallRecord, outcome: &Outcome) -> (Vec<Turn>, bool) {
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

fn update(
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

fn view(copy: &ProgramCopy, part: Part) -> ProgramView {
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

fn need_tokens(request: &CallRequest, history: usize) -> u64 {
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

fn timeout(documents: &Documents, request: &CallRequest) -> Duration {
    let rules = documents.rules(&request.operator, &request.deployment);
    let millis = rules.and_then(|rules| match &request.target {
        Target::Model(model) => Some(rules.models.get(model)?.timeout),
        Target::Service { service, .. } => Some(rules.services.get(service)?.timeout),
    });
    Duration::from_millis(millis.unwrap_or(0)).min(request.patience)
}

/// Returns one entry's part of a deployment's limits.
fn share(limits: &crate::document::Limits, entries: u64) -> crate::document::Limits {
    crate::document::Limits {
        running: (limits.running / entries).max(1),
        waiting: (limits.waiting / entries).max(1),
    }
}
