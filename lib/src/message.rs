//! Messages between the system's processes.

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
use crate::shard_map::Block;

/// Identifies a waiting caller at an entry; unique across restarts of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// The entry's boot.
    pub boot: Boot,
    /// Number of the submission; unique within a boot.
    pub serial: u64,
}

/// A caller's request to a program's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Runs a call, or attaches to it if it is running already.
    Call(Box<CallRequest>),
    /// Opens a program.
    Open(OpenRequest),
    /// Reads a program.
    Read(ProgramRequest),
    /// Ends a program.
    End(ProgramRequest),
    /// Sets the outcome of a call of unknown outcome, by an operator's decision.
    Judge(OutcomeDecision),
}

impl Request {
    /// Returns the program that the request is about.
    pub fn program(&self) -> ProgramId {
        match self {
            Self::Call(call) => call.program,
            Self::Open(open) => open.program,
            Self::Read(request) | Self::End(request) => request.program,
            Self::Judge(decision) => decision.program,
        }
    }

    /// Returns the operator and deployment that the request is authorised for;
    /// a decision of an operator covers all its deployments.
    pub fn tenant(&self) -> (&Operator, Option<&Deployment>) {
        match self {
            Self::Call(call) => (&call.operator, Some(&call.deployment)),
            Self::Open(open) => (&open.operator, Some(&open.deployment)),
            Self::Read(request) | Self::End(request) => {
                (&request.operator, Some(&request.deployment))
            }
            Self::Judge(decision) => (&decision.operator, None),
        }
    }
}

/// Opens a program under an id that the entry has generated.
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
    /// The program's budget, at most the deployment's own limit.
    pub limit: Amount,
}

/// Reads or ends a program on behalf of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramRequest {
    /// The program.
    pub program: ProgramId,
    /// Operator of the deployment.
    pub operator: Operator,
    /// The deployment that the caller's key belongs to.
    pub deployment: Deployment,
}

/// An operator's decision on a call of unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeDecision {
    /// The call's program.
    pub program: ProgramId,
    /// The operator who decided.
    pub operator: Operator,
    /// The call.
    pub call: CallId,
    /// Whether the call ran, according to the operator.
    pub ran: bool,
}

/// The state of a program as returned to callers.
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

/// The end of an answered call, sent after the bytes of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEnd {
    /// The call.
    pub call: CallId,
    /// Its number in the program.
    pub number: u64,
    /// Attempt that the bytes belong to.
    pub attempt: u64,
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type of the body.
    pub kind: String,
    /// Size of the whole answer, in bytes.
    pub size: u64,
    /// Digest of the program's history after the call.
    pub digest: Digest,
}

/// The final reply to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The call was answered.
    Ended(AnswerEnd),
    /// The request was refused or has failed.
    Refused(Refusal),
    /// The program that was opened, read or ended.
    Program(Box<ProgramView>),
    /// Another entry owns the program now.
    Moved,
}

/// A change of a shard that is replicated to its keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Starts a new copy: the changes that follow replace the keeper's copy.
    Begin,
    /// The full state of a program.
    Program(Box<ProgramCopy>),
    /// A change of one program, with the call that caused it.
    Update {
        /// The program.
        program: ProgramId,
        /// Its new state.
        head: Box<ProgramHead>,
        /// Budgets of the program's ancestors, which the call is charged to as
        /// well. They are sent in the same change as the call; otherwise, after
        /// a takeover, the call could be charged twice or not at all.
        above: Vec<(ProgramId, Budget)>,
        /// The call that changed.
        record: Option<Box<CallRecord>>,
        /// Messages added to the history.
        turns: Vec<Turn>,
        /// Whether `turns` replace the history.
        replace: bool,
    },
    /// No change; its acknowledgement confirms that the sender still owns the
    /// shard.
    Probe,
    /// The program is deleted.
    Forget(ProgramId),
    /// The copy that [`Change::Begin`] started is complete.
    Complete,
}

/// Why a keeper rejected a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeRejection {
    /// A higher epoch is known.
    Fenced,
    /// The keeper lacks an earlier change.
    Gap,
}

/// An order to run a call at a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Shard and epoch of the owner; `None` for a call that belongs to no shard.
    pub shard: Option<(ShardId, Epoch)>,
    /// Boot of the side process that the order is for.
    pub boot: Boot,
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// Random id of the attempt. A call gets a new attempt only if earlier ones
    /// are known not to have run, or if it is idempotent.
    pub attempt: u64,
    /// Deployment, for fair queueing.
    pub deployment: Deployment,
    /// The model or service to call.
    pub target: Target,
    /// Whether it is safe to run the call more than once.
    pub idempotent: bool,
    /// Whole history and new messages, for a model call.
    pub turns: Vec<Turn>,
    /// Body of a service call, or further parameters of a model call.
    pub body: Vec<u8>,
    /// Upper bound of tokens in the answer.
    pub tokens: u64,
    /// Scheduling class.
    pub urgency: Urgency,
    /// Tokens that the program has consumed so far.
    pub attained: u64,
    /// Time left for waiting and running.
    pub patience: Duration,
    /// Maximum running time.
    pub timeout: Duration,
}

/// Why a side process rejected an order. The call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRejection {
    /// A higher epoch of the shard is known, or the attempt was sealed.
    Fenced,
    /// The order was for an earlier boot of the side process.
    OtherBoot,
    /// The server is shutting down.
    Leaving,
    /// The queue is full.
    Full,
    /// It expired in the queue, or was cancelled there.
    Late,
    /// No connection to the backend server could be opened.
    Unreachable,
}

/// Status of an attempt that has not ended, as its side process reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// It is queued or running; its answer and its end will follow.
    Open,
    /// It did not run, and an order for it is not accepted any more.
    Sealed,
    /// It was sent to another boot of the process, whose attempts are not
    /// known.
    OtherBoot,
}

/// Heartbeat, which each process sends to its peers every second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Versions of the documents in force.
    pub versions: Vec<(Operator, Version)>,
    /// Revisions of the known shard blocks.
    pub blocks: Vec<u64>,
    /// Load of the backend server, from a side process.
    pub load: Load,
    /// Whether the process is shutting down.
    pub leaving: bool,
}

/// One message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat, with the sender's state and its versions of shared data.
    Beat(Heartbeat),
    /// JSON text of an envelope that the receiver lacks.
    Document(String),
    /// A shard block that the receiver lacks.
    Block {
        /// Number of the block.
        block: u16,
        /// Revision in the key-value service.
        revision: u64,
        /// The assignments.
        value: Block,
    },
    /// A caller's request, sent to the program's owner.
    Submit {
        /// The waiting caller.
        ticket: Ticket,
        /// The request.
        request: Request,
        /// Number of bytes of the answer that the caller already has.
        offset: u64,
    },
    /// The caller has disconnected.
    Withdraw {
        /// The caller's ticket.
        ticket: Ticket,
        /// The call that the caller waited for.
        call: CallId,
    },
    /// Part of an answer, sent to the caller's entry.
    Chunk {
        /// The waiting caller.
        ticket: Ticket,
        /// Attempt that the bytes belong to.
        attempt: u64,
        /// Offset of the bytes in the answer.
        offset: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The final reply to a submission.
    Reply {
        /// The waiting caller.
        ticket: Ticket,
        /// The reply.
        reply: Reply,
    },
    /// A new owner requests the keeper's copy.
    Adopt {
        /// The shard.
        shard: ShardId,
        /// The new owner's epoch.
        epoch: Epoch,
        /// Epoch at which the keeper was chosen; an older copy is outdated.
        chosen: Epoch,
    },
    /// One program of a keeper's copy.
    Copy {
        /// The shard.
        shard: ShardId,
        /// The epoch of the request.
        epoch: Epoch,
        /// The program.
        copy: Box<ProgramCopy>,
    },
    /// The end of a keeper's copy.
    Copied {
        /// The shard.
        shard: ShardId,
        /// The epoch of the request.
        epoch: Epoch,
        /// Sequence number of the keeper's last change; `None` if it has no
        /// complete copy.
        seq: Option<u64>,
    },
    /// A change to apply to the keeper's copy.
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
    /// The keeper acknowledges all changes up to `seq`.
    Kept {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
        /// Number of the last change.
        seq: u64,
    },
    /// The keeper rejects a change or a request for its copy.
    KeepRefused {
        /// The shard.
        shard: ShardId,
        /// The epoch of what it rejects.
        epoch: Epoch,
        /// Why.
        fault: ChangeRejection,
    },
    /// An order to run a call at a backend server.
    Order(Box<Order>),
    /// The order was rejected; the call has not run.
    OrderRefused {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// Why.
        fault: OrderRejection,
    },
    /// Part of an answer, sent to the owner.
    OrderChunk {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// Offset of the bytes in the answer.
        offset: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The call of an order has ended.
    OrderDone {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// Requests the status of an attempt, and seals it if it is not known.
    Settle {
        /// Shard and epoch of the owner; `None` for a call that belongs to no
        /// shard.
        shard: Option<(ShardId, Epoch)>,
        /// Boot of the side process that the order was for.
        boot: Boot,
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
    },
    /// The status of an attempt that has not ended.
    Settled {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// The status.
        standing: AttemptStatus,
    },
    /// Cancels an attempt, if it has not ended.
    Cancel {
        /// Shard and epoch of the owner; `None` for a call that belongs to no
        /// shard.
        shard: Option<(ShardId, Epoch)>,
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
    },
    /// The outcome of an attempt is replicated; its record may be dropped.
    Forget {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
    },
    /// The server's cache of the program is no longer needed.
    Release {
        /// The program.
        program: ProgramId,
    },
}
