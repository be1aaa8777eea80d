//! What the system's processes say to each other.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::budget::Amount;
use crate::budget::Budget;
use crate::history::Turn;
use crate::id::Boot;
use crate::id::CallId;
use crate::id::Deployment;
use crate::id::Digest;
use crate::id::Epoch;
use crate::id::Operator;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::id::Version;
use crate::member::Load;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::program::CallRecord;
use crate::program::CallRequest;
use crate::program::ProgramCopy;
use crate::program::ProgramHead;
use crate::program::Target;
use crate::program::Urgency;
use crate::shard::Block;

/// Names one waiting caller at one entry, in one life of that entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// The entry's life.
    pub boot: Boot,
    /// Number of the submission; never used twice.
    pub serial: u64,
}

/// What callers ask of a program's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Runs a call, or attaches to one under way.
    Call(Box<CallRequest>),
    /// Opens a program.
    Open(OpenRequest),
    /// Reads a program.
    Read(ProgramRequest),
    /// Ends a program.
    End(ProgramRequest),
    /// Settles a call of unknown outcome, on an operator's word.
    Judge(Judgement),
}

impl Request {
    /// Returns the program that is asked about.
    pub fn program(&self) -> ProgramId {
        match self {
            Self::Call(call) => call.program,
            Self::Open(open) => open.program,
            Self::Read(request) | Self::End(request) => request.program,
            Self::Judge(judgement) => judgement.program,
        }
    }

    /// Returns in whose name it is asked; an operator's word counts for all
    /// of its deployments.
    pub fn tenant(&self) -> (&Operator, Option<&Deployment>) {
        match self {
            Self::Call(call) => (&call.operator, Some(&call.deployment)),
            Self::Open(open) => (&open.operator, Some(&open.deployment)),
            Self::Read(request) | Self::End(request) => {
                (&request.operator, Some(&request.deployment))
            }
            Self::Judge(judgement) => (&judgement.operator, None),
        }
    }
}

/// Opens a program under an id that the entry has drawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// The program's id.
    pub program: ProgramId,
    /// The program whose sub-agent it is.
    pub parent: Option<ProgramId>,
    /// Operator of the deployment.
    pub operator: Operator,
    /// The deployment.
    pub deployment: Deployment,
    /// What it may spend, at most the deployment's own limit.
    pub limit: Amount,
}

/// Reads or ends a program, in the name of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramRequest {
    /// The program.
    pub program: ProgramId,
    /// Operator of the deployment.
    pub operator: Operator,
    /// The deployment that the caller's key belongs to.
    pub deployment: Deployment,
}

/// An operator's word on a call of unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Judgement {
    /// The call's program.
    pub program: ProgramId,
    /// The operator whose word it is.
    pub operator: Operator,
    /// The call.
    pub call: CallId,
    /// Whether the operator found that it ran.
    pub ran: bool,
}

/// A program as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// Its id.
    pub program: ProgramId,
    /// The program whose sub-agent it is.
    pub parent: Option<ProgramId>,
    /// Number of its next call.
    pub next: u64,
    /// Whether it has ended.
    pub ended: bool,
    /// Its budget.
    pub budget: Budget,
    /// Digest of its history.
    pub digest: Digest,
    /// Its messages, as JSON texts.
    pub turns: Vec<Turn>,
}

/// The end of a call whose bytes went before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// The call.
    pub call: CallId,
    /// Its number in the program.
    pub number: u64,
    /// Run of the call that the bytes belong to.
    pub attempt: u64,
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type of the body.
    pub kind: String,
    /// Number of bytes of the whole answer.
    pub size: u64,
    /// Digest of the program's history after the call.
    pub digest: Digest,
}

/// The last word on a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The call has ended with an answer.
    Ended(Ending),
    /// The call has no answer.
    Refused(Refusal),
    /// The program, as opened, read or ended.
    Program(Box<ProgramView>),
    /// Another entry owns the program now.
    Moved,
}

/// A change of a shard that its keeper copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Everything that follows replaces what the keeper has.
    Begin,
    /// A whole program.
    Program(Box<ProgramCopy>),
    /// A program's changing part, with the call that changed.
    Update {
        /// The program.
        program: ProgramId,
        /// Its changing part.
        head: Box<ProgramHead>,
        /// Budgets of the programs above, which the call draws on too. They
        /// change together with the call, or a takeover would count it twice
        /// or not at all.
        above: Vec<(ProgramId, Budget)>,
        /// The call that changed.
        record: Option<Box<CallRecord>>,
        /// Messages that the history gains.
        turns: Vec<Turn>,
        /// Whether those replace the history.
        replace: bool,
    },
    /// Changes nothing; its acknowledgement confirms that the sender still
    /// owns the shard.
    Probe,
    /// The program is no longer remembered.
    Forget(ProgramId),
    /// What began is complete.
    Complete,
}

/// Why a keeper did not take a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeepFault {
    /// A higher epoch is known.
    Fenced,
    /// The keeper does not have what went before.
    Gap,
}

/// Work for a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Shard and epoch of the owner; `None` for a call that no shard holds.
    pub shard: Option<(ShardId, Epoch)>,
    /// Life of the side process that the order is meant for.
    pub boot: Boot,
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// Run of the call; a new one only after an earlier one surely did not
    /// run or may run twice.
    pub attempt: u64,
    /// Deployment, for fairness.
    pub deployment: Deployment,
    /// What to ask of the backend server.
    pub target: Target,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whole history and new messages, for a model.
    pub turns: Vec<Turn>,
    /// Body, or a model's further parameters.
    pub body: Vec<u8>,
    /// Upper bound of the answer's tokens.
    pub tokens: u64,
    /// How soon it is needed.
    pub urgency: Urgency,
    /// Tokens that the program has had so far.
    pub attained: u64,
    /// Time that it may still wait and run.
    pub patience: Duration,
    /// Time that it may run.
    pub timeout: Duration,
}

/// Why a side process did not take an order; the work did not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderFault {
    /// A higher epoch is known for the shard, or the attempt was sealed.
    Fenced,
    /// The order was meant for an earlier life.
    OtherBoot,
    /// The server is leaving.
    Leaving,
    /// The queue is full.
    Full,
    /// It waited until its patience was over, or was cancelled.
    Late,
    /// The backend server took no connection.
    Unreachable,
}

/// What a side process knows of an attempt that it is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It waits or runs; its bytes and its end will follow.
    Open,
    /// It was never seen, and is refused from now on.
    Sealed,
    /// It was given to another life of the process, of which nothing is
    /// known.
    OtherBoot,
}

/// What each process tells its peers every second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Versions of the documents in force.
    pub versions: Vec<(Operator, Version)>,
    /// Revisions of the shard blocks known.
    pub blocks: Vec<u64>,
    /// Load, of a side process.
    pub load: Load,
    /// Whether the process is about to go.
    pub leaving: bool,
}

/// One message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A process's view of itself and of what is in force.
    Beat(Beat),
    /// Text of an envelope that the other process lacks.
    Document(String),
    /// A shard block that the other process lacks.
    Block {
        /// Number of the block.
        block: u16,
        /// Revision in the key-value service.
        revision: u64,
        /// The assignments.
        value: Block,
    },
    /// A caller's request, to the program's owner.
    Submit {
        /// The waiting caller.
        ticket: Ticket,
        /// What it asks.
        request: Request,
        /// Bytes of the answer that it has.
        offset: u64,
    },
    /// The caller has gone.
    Withdraw {
        /// The caller's ticket.
        ticket: Ticket,
        /// The call that it waited for.
        call: CallId,
    },
    /// A piece of an answer, to the caller's entry.
    Chunk {
        /// The waiting caller.
        ticket: Ticket,
        /// Run of the call that the bytes belong to.
        attempt: u64,
        /// Place of the bytes in the answer.
        offset: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The last word on a submission.
    Reply {
        /// The waiting caller.
        ticket: Ticket,
        /// The word.
        reply: Reply,
    },
    /// A new owner asks the keeper for its copy.
    Adopt {
        /// The shard.
        shard: ShardId,
        /// The new owner's epoch.
        epoch: Epoch,
        /// Epoch at which the keeper was chosen; an older copy is stale.
        chosen: Epoch,
    },
    /// One program of a keeper's copy.
    Copy {
        /// The shard.
        shard: ShardId,
        /// The epoch that was asked under.
        epoch: Epoch,
        /// The program.
        copy: Box<ProgramCopy>,
    },
    /// The copy is at its end.
    Copied {
        /// The shard.
        shard: ShardId,
        /// The epoch that was asked under.
        epoch: Epoch,
        /// Sequence number of the keeper's last change; `None` if it has no
        /// complete copy.
        seq: Option<u64>,
    },
    /// A change for the keeper's copy.
    Keep {
        /// The shard.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// Number of the change.
        seq: u64,
        /// The change.
        change: Change,
    },
    /// The keeper has the changes up to `seq`.
    Kept {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
        /// Number of the last change.
        seq: u64,
    },
    /// The keeper refuses changes of this epoch.
    KeepRefused {
        /// The shard.
        shard: ShardId,
        /// The epoch that is refused.
        epoch: Epoch,
        /// Why.
        fault: KeepFault,
    },
    /// Work for a backend server.
    Order(Box<Order>),
    /// The order was not taken; the work did not happen.
    OrderRefused {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// Why.
        fault: OrderFault,
    },
    /// A piece of an answer, to the owner.
    OrderChunk {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// Place of the bytes in the answer.
        offset: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The end of an order.
    OrderDone {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// Asks what became of an attempt, and seals it if it was never seen.
    Settle {
        /// Shard and epoch of the owner; `None` for a call that no shard
        /// holds.
        shard: Option<(ShardId, Epoch)>,
        /// Life of the side process that the order was meant for.
        boot: Boot,
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
    },
    /// What became of an attempt that has not ended here.
    Settled {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// What is known.
        standing: Standing,
    },
    /// Stops an attempt, if it has not ended.
    Cancel {
        /// Shard and epoch of the owner; `None` for a call that no shard
        /// holds.
        shard: Option<(ShardId, Epoch)>,
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
    },
    /// The end of an attempt is safe elsewhere and need not be kept.
    Forget {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
    },
    /// The program is gone; its cache may go.
    Release {
        /// The program.
        program: ProgramId,
    },
}
