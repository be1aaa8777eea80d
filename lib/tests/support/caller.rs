//! Simulated callers: programs that send their calls in order, and each call
//! again under the same key until its outcome is known.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetferry_lib::code::Code;
use limpetferry_lib::effect::CallerKey;
use limpetferry_lib::history::Turn;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::Deployment;
use limpetferry_lib::id::Digest;
use limpetferry_lib::id::Model;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::Operator;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::id::Service;
use limpetferry_lib::message::OpenRequest;
use limpetferry_lib::message::Reply;
use limpetferry_lib::message::Request;
use limpetferry_lib::outcome::Ran;
use limpetferry_lib::program::CallRequest;
use limpetferry_lib::program::HistoryMode;
use limpetferry_lib::program::Target;
use limpetferry_lib::program::Urgency;

use super::world::LIMIT;

/// The status of a call as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// The caller has no final reply yet.
    Open,
    /// The caller received an answer.
    Answered,
    /// The outcome is unknown, or the call ran without an answer.
    Ended,
}

/// One call of a program.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Its id.
    pub call: CallId,
    /// Its number in the program, from 1.
    pub number: u64,
    /// Whether it is a call to a model; other calls are non-idempotent.
    pub model: bool,
    /// Its status.
    pub status: CallStatus,
    /// The latest request for this call. The refusal "not run" covers the
    /// refused request and earlier ones, but not requests sent later.
    last: CallerKey,
}

/// A program of a caller.
#[derive(Clone, Debug)]
pub struct Program {
    /// Its id.
    pub id: ProgramId,
    /// The program whose sub-agent it is.
    pub parent: Option<ProgramId>,
    /// Index of that program.
    parent_index: Option<usize>,
    /// Whether the caller got the confirmation that it is open.
    pub opened: bool,
    /// Whether the system reported the program as unknown.
    pub lost: bool,
    /// Whether the caller requested its end.
    pub ended: bool,
    /// Its calls so far.
    pub calls: Vec<PlannedCall>,
}

/// A request that waits for its reply at an entry.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The entry and its boot number.
    pub entry: (NodeId, u64),
    /// Index of the program.
    pub program: usize,
    /// Index of the call; `None` for the request that opens the program.
    pub call: Option<usize>,
    /// Bytes of the answer received so far.
    pub bytes: Vec<u8>,
}

/// All callers.
#[derive(Debug, Default)]
pub struct Callers {
    /// The programs.
    pub programs: Vec<Program>,
    /// Requests that wait for a reply.
    pub waiting: BTreeMap<CallerKey, Waiting>,
    /// Number of refusals so far, by code.
    pub refusals: BTreeMap<&'static str, u32>,
    /// Number of answers so far.
    pub answers: u32,
    next: u64,
}

/// Description of a violated guarantee.
pub type Violation = String;

impl Callers {
    /// Creates callers with `count` programs. Every third program is a
    /// sub-agent of the one before it.
    pub fn new(count: usize) -> Self {
        let mut callers = Self::default();
        for index in 0..count {
            callers.programs.push(Program {
                id: ProgramId {
                    root: index as u64,
                    leaf: index as u64 + 1,
                },
                parent: None,
                parent_index: (index % 3 == 2).then(|| index - 1),
                opened: false,
                lost: false,
                ended: false,
                calls: Vec::new(),
            });
        }
        callers
    }

    /// Returns the next request for a program: to open it, or to send one of
    /// its open calls. At most two of its calls are open at once.
    pub fn act(&mut self, pick: u16, entry: (NodeId, u64)) -> Option<(CallerKey, Request)> {
        let index = usize::from(pick) % self.programs.len();
        let opened_parent = self.parent_is_open(index);
        let program = &mut self.programs[index];
        if program.lost || program.ended || !opened_parent {
            return None;
        }
        if !program.opened {
            return self.open(index, entry);
        }
        let open = program
            .calls
            .iter()
            .filter(|call| call.status == CallStatus::Open)
            .count();
        let ahead = usize::from(pick / 251 % 2);
        if open <= ahead && (program.calls.len() as u64) < LIMIT.calls + 2 {
            let number = program.calls.len() as u64 + 1;
            program.calls.push(PlannedCall {
                call: CallId::derive(&program.id.to_string(), &number.to_string()),
                number,
                model: (pick / 7 + number as u16).is_multiple_of(2),
                status: CallStatus::Open,
                last: CallerKey(0),
            });
        }
        let open: Vec<usize> = (0..program.calls.len())
            .filter(|call| program.calls[*call].status == CallStatus::Open)
            .collect();
        let call = *open.get(usize::from(pick / 13) % open.len().max(1))?;
        let request = call_request(program, call);
        Some(self.send(entry, index, Some(call), request))
    }

    fn parent_is_open(&self, index: usize) -> bool {
        let Some(parent_index) = self.programs[index].parent_index else {
            return true;
        };
        let parent = &self.programs[parent_index];
        parent.opened && !parent.lost && !parent.ended
    }

    /// Returns a request that opens a program. As at a real entry, each
    /// request has a new id, which the caller learns from the reply only.
    fn open(&mut self, index: usize, entry: (NodeId, u64)) -> Option<(CallerKey, Request)> {
        if self
            .waiting
            .values()
            .any(|waiting| waiting.program == index)
        {
            return None;
        }
        let parent = self.programs[index]
            .parent_index
            .map(|parent_index| self.programs[parent_index].id);
        let program = &mut self.programs[index];
        program.parent = parent;
        program.id.root = parent.map_or(program.id.root, |parent| parent.root);
        program.id.leaf += 1_000;
        let request = open_request(program);
        Some(self.send(entry, index, None, request))
    }

    fn send(
        &mut self,
        entry: (NodeId, u64),
        program: usize,
        call: Option<usize>,
        request: Request,
    ) -> (CallerKey, Request) {
        self.next += 1;
        let key = CallerKey(self.next);
        if let Some(call) = call {
            self.programs[program].calls[call].last = key;
        }
        let waiting = Waiting {
            entry,
            program,
            call,
            bytes: Vec::new(),
        };
        self.waiting.insert(key, waiting);
        (key, request)
    }

    /// Drops the connections to a crashed entry.
    pub fn disconnect(&mut self, entry: &NodeId) {
        self.waiting.retain(|_, waiting| waiting.entry.0 != *entry);
    }

    /// Records a part of an answer.
    pub fn chunk(&mut self, key: CallerKey, bytes: &[u8]) {
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.bytes.extend_from_slice(bytes);
        }
    }

    /// Records the final reply to a request and checks that it is correct.
    /// `runs` returns how often a call ran, and `copies_lost` whether both
    /// copies of a program's shard were ever lost.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with the reply.
    pub fn finish(
        &mut self,
        key: CallerKey,
        reply: &Reply,
        runs: impl Fn(CallId) -> u32,
        copies_lost: impl Fn(ProgramId) -> bool,
    ) -> Result<(), Violation> {
        let Some(waiting) = self.waiting.remove(&key) else {
            return Ok(());
        };
        let program = &mut self.programs[waiting.program];
        let Some(call) = waiting.call else {
            return finish_open(program, reply, copies_lost);
        };
        let call = &mut program.calls[call];
        match reply {
            Reply::Ended(ending) => {
                let whole = super::backend::answer_body(call.call, ending.attempt);
                if ending.call != call.call || waiting.bytes != whole {
                    return Err(format!("answer_whole_and_own: {call:?} got {ending:?}"));
                }
                if call.status == CallStatus::Ended {
                    return Err(format!("an ended call was answered: {call:?}"));
                }
                self.answers += 1;
                call.status = CallStatus::Answered;
            }
            Reply::Refused(refusal) => {
                *self.refusals.entry(refusal.code.as_str()).or_default() += 1;
                let count = runs(call.call);
                match refusal.code.ran() {
                    Ran::NotRun if count > 0 && !call.model && call.last == key => {
                        return Err(format!("not_run_is_true: {call:?} ran but got {refusal:?}"));
                    }
                    _ => {}
                }
                match refusal.code {
                    Code::ProgramUnknown if !copies_lost(program.id) => {
                        return Err(format!("program_never_lost: {:?}", program.id));
                    }
                    Code::ProgramUnknown => program.lost = true,
                    Code::OutcomeUnknown
                    | Code::BackendFailed
                    | Code::TimedOut
                    | Code::AnswerExpired
                        if call.status == CallStatus::Open && refusal.detail.is_empty() =>
                    {
                        call.status = CallStatus::Ended;
                    }
                    Code::IdReused | Code::HistoryMismatch => {
                        return Err(format!("unexpected {refusal:?} for {call:?}"));
                    }
                    _ => {}
                }
            }
            Reply::Program(_) | Reply::Moved => return Err(format!("unexpected reply {reply:?}")),
        }
        Ok(())
    }
}

fn finish_open(
    program: &mut Program,
    reply: &Reply,
    copies_lost: impl Fn(ProgramId) -> bool,
) -> Result<(), Violation> {
    match reply {
        Reply::Program(view) if view.program == program.id => {
            program.opened = true;
            Ok(())
        }
        Reply::Refused(refusal) => {
            if refusal.code == Code::ProgramUnknown {
                // The parent is unknown, which is allowed only if both copies
                // of it were lost.
                if !copies_lost(program.id) {
                    return Err(format!("program_never_lost: parent of {:?}", program.id));
                }
                program.lost = true;
            }
            Ok(())
        }
        other => Err(format!("opening got {other:?}")),
    }
}

fn open_request(program: &Program) -> Request {
    Request::Open(OpenRequest {
        program: program.id,
        parent: program.parent,
        operator: Operator::new("op"),
        deployment: Deployment::new("dep"),
        limit: LIMIT,
    })
}

fn call_request(program: &Program, index: usize) -> Request {
    let call = &program.calls[index];
    let target = if call.model {
        Target::Model(Model::new("m"))
    } else {
        Target::Service {
            service: Service::new("s"),
            method: "POST".into(),
            path: "/".into(),
        }
    };
    let turns = if call.model {
        vec![Turn::new(format!("{{\"ask\":\"{}\"}}", call.call))]
    } else {
        Vec::new()
    };
    Request::Call(Box::new(CallRequest {
        program: program.id,
        call: call.call,
        number: Some(call.number),
        keyed: true,
        digest: Digest::of(call.call.to_string().as_bytes()),
        operator: Operator::new("op"),
        deployment: Deployment::new("dep"),
        target,
        idempotent: call.model,
        supply: HistoryMode::Append(None),
        turns,
        body: Vec::new(),
        tokens: 20,
        urgency: Urgency::Normal,
        patience: Duration::from_secs(20),
    }))
}
