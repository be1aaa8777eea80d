//! State of a program, as stored by its owner and its keeper.

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

/// Number of latest calls of a program whose answers are kept.
pub const RECENT_CALLS: usize = 8;

/// The model or service that a call is for.
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
pub enum HistoryMode {
    /// The call contains all messages; they replace the history.
    Full,
    /// The call contains only new messages, which continue the history; the
    /// caller may give the digest of that history.
    Append(Option<Digest>),
}

/// Scheduling class of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Scheduled before all other calls.
    Urgent,
    /// Interactive: a person waits for the answer.
    Normal,
    /// No person waits for the answer.
    Background,
}

/// A call, as parsed by an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The program, or the single-call program derived from the call.
    pub program: ProgramId,
    /// Id of the call.
    pub call: CallId,
    /// Number of the call in the program's order; `None` for the next number.
    pub number: Option<u64>,
    /// Whether the call has an idempotency key, by which it can be retried.
    pub keyed: bool,
    /// Digest of the request, to detect that a key is used for another call.
    pub digest: Digest,
    /// Operator of the deployment.
    pub operator: Operator,
    /// The deployment that the caller's key belongs to.
    pub deployment: Deployment,
    /// The model or service to call.
    pub target: Target,
    /// Whether it is safe to run the call more than once.
    pub idempotent: bool,
    /// How `turns` relate to the history; for model calls only.
    pub supply: HistoryMode,
    /// New messages of a model call.
    pub turns: Vec<Turn>,
    /// Body for a service; further parameters, as a JSON object, for a model.
    pub body: Vec<u8>,
    /// Upper bound of tokens in the answer.
    pub tokens: u64,
    /// Scheduling class.
    pub urgency: Urgency,
    /// How long the caller waits, from the arrival of the call.
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
    /// Number of the next call.
    pub next: u64,
    /// Its budget.
    pub budget: Budget,
    /// Whether it has ended.
    pub ended: bool,
    /// Server that ran the last model call and may hold its cache.
    pub warm: Option<NodeId>,
    /// Tokens of all its calls, as the measure of attained service in
    /// scheduling.
    pub attained: u64,
}

/// Stage of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallStage {
    /// It may have been sent to this server, at this boot of its side process.
    Intended {
        /// The side process.
        server: NodeId,
        /// The side process's boot.
        boot: Boot,
    },
    /// It has ended.
    Done(Outcome),
}

/// Record of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The call.
    pub call: CallId,
    /// Its number in the program.
    pub number: u64,
    /// Digest of the request, to detect another call with the same key.
    pub digest: Digest,
    /// Random id of the latest attempt.
    pub attempt: u64,
    /// Whether it is safe to run the call more than once.
    pub idempotent: bool,
    /// Amount reserved for it.
    pub need: Amount,
    /// Messages to add to the history if it succeeds.
    pub turns: Vec<Turn>,
    /// Whether `turns` replace the history.
    pub replace: bool,
    /// Its stage.
    pub stage: CallStage,
}

impl CallRecord {
    /// Removes the messages of an ended call, which its program's history
    /// contains as well.
    #[must_use]
    pub fn without_messages(mut self) -> Self {
        if let CallStage::Done(outcome) = &mut self.stage {
            self.turns.clear();
            if let Outcome::Answer(answer) = outcome {
                answer.turn = None;
            }
        }
        self
    }
}

/// Summary of a call whose answer is no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastCall {
    /// The call.
    pub call: CallId,
    /// Its number.
    pub number: u64,
    /// Whether it ended with an answer; otherwise its outcome is unknown.
    pub answered: bool,
}

/// The complete state of a program, as sent between its owner and its keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramCopy {
    /// The program.
    pub program: ProgramId,
    /// The part that changes with each call.
    pub head: ProgramHead,
    /// Its history.
    pub history: History,
    /// Its latest calls, oldest first; at most one has not ended.
    pub recent: Vec<CallRecord>,
    /// Summaries of its earlier calls.
    pub past: Vec<PastCall>,
}

impl ProgramCopy {
    /// Creates a program without history and calls.
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

    /// Returns the summary of `call`, if its answer is no longer kept.
    pub fn past(&self, call: CallId) -> Option<&PastCall> {
        self.past.iter().find(|past| past.call == call)
    }

    /// Returns the call that has not ended, if there is one.
    pub fn open_call(&self) -> Option<&CallRecord> {
        self.recent
            .iter()
            .find(|record| !matches!(record.stage, CallStage::Done(_)))
    }

    /// Adds `record` as the latest call, without the messages that the history
    /// contains, and removes any earlier record of the call. A call that is
    /// known not to have run is only removed.
    pub fn put(&mut self, record: CallRecord) {
        let record = record.without_messages();
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

    /// Appends the messages of a successful call and of its answer to the
    /// history, or replaces the history with them.
    pub fn extend_history(&mut self, replace: bool, turns: impl IntoIterator<Item = Turn>) {
        if replace {
            self.history = History::default();
        }
        self.history.extend(turns);
    }
}
