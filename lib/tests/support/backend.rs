//! The backend servers of the world, and the log of what they ran.

use std::collections::BTreeMap;

use limpetferry_lib::effect::Work;
use limpetferry_lib::history::Turn;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::outcome::Answer;
use limpetferry_lib::program::Target;
use limpetferry_lib::side::BackendEnd;
use limpetferry_lib::side::Event;

/// Tokens of each model answer.
pub const TOKENS: u64 = 10;

/// One run of a call at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The call.
    pub call: CallId,
    /// Its program.
    pub program: ProgramId,
    /// Texts of the messages that the engine was given.
    pub turns: Vec<String>,
}

/// A run whose end has not reached its side process.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The side process, in one life.
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
    /// Everything that ran, in order.
    pub runs: Vec<Run>,
    /// How often each call ran.
    pub counts: BTreeMap<CallId, u32>,
    /// Runs under way.
    pub pending: Vec<Pending>,
    /// Programs in each engine's cache.
    pub caches: BTreeMap<(NodeId, ProgramId), ()>,
}

/// Returns the body of the answer to a call.
pub fn body_of(call: CallId, attempt: u64) -> Vec<u8> {
    format!("data: {{\"for\":\"{call}\",\"attempt\":{attempt}}}\n\n").into_bytes()
}

/// Returns the message that a model's answer adds to a history.
pub fn turn_of(program: ProgramId, call: CallId) -> String {
    format!("{{\"from\":\"{program}\",\"call\":\"{call}\"}}")
}

impl Backends {
    /// Starts a call: from here on it has run.
    pub fn start(&mut self, side: (NodeId, u64), call: CallId, attempt: u64, work: Work) {
        *self.counts.entry(call).or_default() += 1;
        let model = matches!(work.target, Target::Model(_));
        if model {
            self.caches.insert((side.0.clone(), work.program), ());
        }
        let answer = Answer {
            status: 200,
            kind: "text/event-stream".into(),
            body: body_of(call, attempt),
            turn: model.then(|| Turn::new(turn_of(work.program, call))),
            tokens: if model { TOKENS } else { 0 },
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

    /// Drops the connection of a run.
    pub fn abort(&mut self, side: &NodeId, call: CallId, attempt: u64) {
        self.pending
            .retain(|run| run.side.0 != *side || run.call != call || run.attempt != attempt);
    }

    /// Lets the run at `index` go on: first a piece of the answer, then the
    /// end.
    pub fn advance(&mut self, index: usize) -> (NodeId, u64, Event) {
        let run = &mut self.pending[index];
        let (call, attempt) = (run.call, run.attempt);
        let (node, life) = run.side.clone();
        if !run.sent {
            run.sent = true;
            let bytes = run.answer.body[..8].to_vec();
            let event = Event::BackendChunk {
                call,
                attempt,
                bytes,
            };
            return (node, life, event);
        }
        let run = self.pending.remove(index);
        let end = BackendEnd::Answer(run.answer);
        (node, life, Event::BackendDone { call, attempt, end })
    }

    /// Breaks the run at `index` off.
    pub fn break_off(&mut self, index: usize) -> (NodeId, u64, Event) {
        let run = self.pending.remove(index);
        let event = Event::BackendDone {
            call: run.call,
            attempt: run.attempt,
            end: BackendEnd::Failed,
        };
        (run.side.0, run.side.1, event)
    }
}
