//! Simulated backend servers, with a log of the calls that they ran.

use std::collections::BTreeMap;

use limpetferry_lib::effect::BackendRequest;
use limpetferry_lib::history::Turn;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::outcome::Answer;
use limpetferry_lib::program::Target;
use limpetferry_lib::side::BackendResult;
use limpetferry_lib::side::Event;

/// Tokens in each answer of a model.
pub const TOKENS_PER_ANSWER: u64 = 10;

/// One execution of a call on a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The call.
    pub call: CallId,
    /// Its program.
    pub program: ProgramId,
    /// The messages that the engine received, as JSON.
    pub turns: Vec<String>,
}

/// An execution whose result has not reached its side process.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The side process and its boot number.
    pub side: (NodeId, u64),
    /// The call.
    pub call: CallId,
    /// The attempt.
    pub attempt: u64,
    answer: Answer,
    sent: bool,
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Backends {
    /// All executions in order of their start.
    pub runs: Vec<Run>,
    /// Number of executions of each call.
    pub counts: BTreeMap<CallId, u32>,
    /// Unfinished executions.
    pub pending: Vec<Pending>,
    /// Programs in the cache of each engine.
    pub caches: BTreeMap<(NodeId, ProgramId), ()>,
}

/// Returns the body of the answer to a call.
pub fn answer_body(call: CallId, attempt: u64) -> Vec<u8> {
    format!("data: {{\"for\":\"{call}\",\"attempt\":{attempt}}}\n\n").into_bytes()
}

/// Returns the message that a model's answer adds to a history.
pub fn answer_turn(program: ProgramId, call: CallId) -> String {
    format!("{{\"from\":\"{program}\",\"call\":\"{call}\"}}")
}

impl Backends {
    /// Starts a call. It counts as run from now on.
    pub fn start(&mut self, side: (NodeId, u64), call: CallId, attempt: u64, work: BackendRequest) {
        *self.counts.entry(call).or_default() += 1;
        let model = matches!(work.target, Target::Model(_));
        if model {
            self.caches.insert((side.0.clone(), work.program), ());
        }
        let answer = Answer {
            status: 200,
            kind: "text/event-stream".into(),
            body: answer_body(call, attempt),
            turn: model.then(|| Turn::new(answer_turn(work.program, call))),
            tokens: if model { TOKENS_PER_ANSWER } else { 0 },
        };
        self.runs.push(Run {
            call,
            program: work.program,
            turns: work.turns,
        });
        self.pending.push(Pending {
            side,
            call,
            attempt,
            answer,
            sent: false,
        });
    }

    /// Aborts an execution.
    pub fn abort(&mut self, side: &NodeId, call: CallId, attempt: u64) {
        self.pending
            .retain(|run| run.side.0 != *side || run.call != call || run.attempt != attempt);
    }

    /// Advances the execution at `index`: the first step yields a part of the
    /// answer, the second the result.
    pub fn advance(&mut self, index: usize) -> (NodeId, u64, Event) {
        let run = &mut self.pending[index];
        let (call, attempt) = (run.call, run.attempt);
        let (node, boot) = run.side.clone();
        if !run.sent {
            run.sent = true;
            let bytes = run.answer.body[..8].to_vec();
            let event = Event::BackendChunk {
                call,
                attempt,
                bytes,
            };
            return (node, boot, event);
        }
        let run = self.pending.remove(index);
        let end = BackendResult::Answer(run.answer);
        (node, boot, Event::BackendDone { call, attempt, end })
    }

    /// Makes the execution at `index` fail.
    pub fn fail_run(&mut self, index: usize) -> (NodeId, u64, Event) {
        let run = self.pending.remove(index);
        let event = Event::BackendDone {
            call: run.call,
            attempt: run.attempt,
            end: BackendResult::Failed,
        };
        (run.side.0, run.side.1, event)
    }
}
