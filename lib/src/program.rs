//! The state of a program as its owner and its keeper hold it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::budget::Amount;
use crate::budget::Budget;
use crate::history::History;
use crate::history::Turn;
use crate::id::Boot;
use crate::id::CallId;
use crate::id::Deployment;
use crate::id::Digest;
use crate::id::Model;
use crate::id::NodeId;
use crate::id::Operator;
use crate::id::ProgramId;
use crate::id::Service;
use crate::outcome::Outcome;

/// How many finished calls of a program keep their answer.
pub const RECENT_CALLS: usize = 8;

/// What a call is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A completion by a model.
    Model(Model),
    /// A request to a tool service or a plain service.
    Service {
        /// The service.
        service: Service,
        /// HTTP method.
        method: String,
        /// Path below the service, with its query.
        path: String,
    },
}

/// How a call's messages relate to the program's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Supply {
    /// The call brings all messages; they replace the history.
    Full,
    /// The call brings new messages only; they continue the history, whose
    /// digest the caller may name.
    Append(Option<Digest>),
}

/// How soon a call is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Goes before everything else.
    Urgent,
    /// A person waits for it.
    Normal,
    /// Nobody waits for it.
    Background,
}

/// One call, as an entry understood it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The program, or the single-call program derived from the call.
    pub program: ProgramId,
    /// The call's own id.
    pub call: CallId,
    /// The call's place in the program's order; `None` takes the next one.
    pub number: Option<u64>,
    /// Whether the caller can send the call again by its key.
    pub keyed: bool,
    /// Digest of everything that makes the call what it is.
    pub digest: Digest,
    /// Operator of the deployment.
    pub operator: Operator,
    /// The deployment that the caller's key belongs to.
    pub deployment: Deployment,
    /// What the call is for.
    pub target: Target,
    /// Whether running the call twice does no harm.
    pub idempotent: bool,
    /// Relation to the history; for models only.
    pub supply: Supply,
    /// New messages of a model call.
    pub turns: Vec<Turn>,
    /// Body for a service; further parameters, as a JSON object, for a model.
    pub body: Vec<u8>,
    /// Upper bound of the answer's tokens.
    pub tokens: u64,
    /// How soon it is needed.
    pub urgency: Urgency,
    /// How long the caller waits, counted from the arrival.
    pub patience: Duration,
}

/// The part of a program that changes with each call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramHead {
    /// Operator of the deployment.
    pub operator: Operator,
    /// The deployment that the program belongs to.
    pub deployment: Deployment,
    /// Program whose sub-agent this one is.
    pub parent: Option<ProgramId>,
    /// Number that the next call gets.
    pub next: u64,
    /// What it may spend and has spent.
    pub budget: Budget,
    /// Whether it has ended.
    pub ended: bool,
    /// Server that ran the last model call and may hold its cache.
    pub warm: Option<NodeId>,
    /// Tokens of all its calls, the measure of attained service.
    pub attained: u64,
}

/// Where a call stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallStage {
    /// It may be running at this server, in this life of its side process.
    Intended {
        /// The side process.
        server: NodeId,
        /// The side process's life.
        boot: Boot,
    },
    /// It has ended.
    Done(Outcome),
}

/// What is kept of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The call.
    pub call: CallId,
    /// Its number in the program.
    pub number: u64,
    /// Digest of the request, which tells a second call under the same key.
    pub digest: Digest,
    /// Tells this run of the call from another one.
    pub attempt: u64,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// What is reserved for it.
    pub need: Amount,
    /// The messages that it brings to the history if it ends well.
    pub turns: Vec<Turn>,
    /// Whether those replace the history.
    pub replace: bool,
    /// Where it stands.
    pub stage: CallStage,
}

impl CallRecord {
    /// Drops from a call that has ended what its program's history holds too.
    #[must_use]
    pub fn slim(mut self) -> Self {
        if let CallStage::Done(outcome) = &mut self.stage {
            self.turns.clear();
            if let Outcome::Answer(answer) = outcome {
                answer.turn = None;
            }
        }
        self
    }
}

/// What remains of a call whose answer is no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastCall {
    /// The call.
    pub call: CallId,
    /// Its number.
    pub number: u64,
    /// Whether it ended with an answer; otherwise its outcome is unknown.
    pub answered: bool,
}

/// The whole of a program, as one copy hands it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramCopy {
    /// The program.
    pub program: ProgramId,
    /// Its changing part.
    pub head: ProgramHead,
    /// Its history.
    pub history: History,
    /// Its last calls, oldest first; at most one is not done.
    pub recent: Vec<CallRecord>,
    /// Its earlier calls.
    pub past: Vec<PastCall>,
}

impl ProgramCopy {
    /// Makes an untouched program.
    pub fn new(program: ProgramId, head: ProgramHead) -> Self {
        Self {
            program,
            head,
            history: History::default(),
            recent: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Returns the record of `call`, if its answer is still kept.
    pub fn record(&self, call: CallId) -> Option<&CallRecord> {
        self.recent.iter().find(|record| record.call == call)
    }

    /// Returns what remains of `call`, if its answer is no longer kept.
    pub fn past(&self, call: CallId) -> Option<&PastCall> {
        self.past.iter().find(|past| past.call == call)
    }

    /// Returns the call that is not done, if there is one.
    pub fn open_call(&self) -> Option<&CallRecord> {
        self.recent
            .iter()
            .find(|record| !matches!(record.stage, CallStage::Done(_)))
    }

    /// Puts `record`, without what the history holds too, in the place of the one with the same id, or at the end.
    /// A call that surely did not run leaves no trace.
    pub fn put(&mut self, record: CallRecord) {
        let record = record.slim();
        self.recent.retain(|old| old.call != record.call);
        if matches!(&record.stage, CallStage::Done(outcome) if outcome.is_not_run()) {
            return;
        }
        self.recent.push(record);
        while self.recent.len() > RECENT_CALLS {
            let old = self.recent.remove(0);
            let answered = matches!(old.stage, CallStage::Done(Outcome::Answer(_)));
            self.past.push(PastCall {
                call: old.call,
                number: old.number,
                answered,
            });
        }
    }

    /// Adds to the history what a call that ended well brought and got.
    pub fn remember(&mut self, replace: bool, turns: impl IntoIterator<Item = Turn>) {
        if replace {
            self.history = History::default();
        }
        self.history.extend(turns);
    }
}
