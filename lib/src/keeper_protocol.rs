//! Messages between gateways and keepers, and between keepers.
//!
//! Builds of both ends may differ. A field is added only at the end of a message,
//! and its type has a zero that means that it is absent: a build that does not
//! know the field ignores its bytes, and one that misses it reads zeros.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::allowance::UsageReply;
use crate::allowance::UsageReport;
use crate::ledger::Begin;
use crate::ledger::ChainLink;
use crate::ledger::Finish;
use crate::ledger::Presence;
use crate::ledger::ProgramDigest;
use crate::ledger::Record;
use crate::ledger::TurnOrigin;
use crate::load_report::LoadReport;
use crate::load_report::LoadSummary;
use crate::membership::ListRequest;
use crate::membership::Membership;
use crate::place::Place;
use crate::removal::IdleProgram;
use crate::removal::ProgramActivity;
use crate::request_ends::EndNotice;
use crate::stream_origin::Continuation;
use crate::stream_origin::OriginView;
use crate::stream_origin::RecordedOrigin;
use crate::turn_admission::ReplicaView;

/// Matches replies to requests on one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A key-value pair of the platform's store, as last read by one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
}

/// A copy of the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the store up to which the copy is complete.
    pub revision: u64,
    /// The items.
    pub items: Vec<Stored>,
}

/// A change in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Revision of the change.
    pub revision: u64,
    /// Whether the key expired during an outage of the store, so that its owner
    /// may still be running and write it again.
    pub lapsed: bool,
}

/// A request to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperRequest {
    /// Record the start of a turn on disk, and return the view of its program.
    Note {
        /// The turn.
        begin: Begin,
        /// Whether to return the chain before the turn as well.
        chain: bool,
        /// Epoch of the list by which the keeper was chosen.
        epoch: u64,
        /// Origin of the turn's stream, to be recorded with it.
        origin: Option<RecordedOrigin>,
        /// The stream that the turn continues.
        continuation: Continuation,
    },
    /// Return the current view of a program, excluding one turn.
    Look {
        /// The program.
        program: Arc<str>,
        /// The turn to exclude.
        turn: Arc<str>,
    },
    /// Record the end of a turn on disk.
    End {
        /// The start of the turn, if the keeper may not have it.
        begin: Option<Begin>,
        /// The end of the turn.
        finish: Finish,
        /// Which server caches its prompt, if it ran.
        place: Option<Place>,
        /// Epoch of the list by which the keeper was chosen.
        epoch: u64,
        /// Origin of the turn's stream, beside the start of the turn.
        origin: Option<RecordedOrigin>,
    },
    /// Return a turn and its predecessors.
    Chain {
        /// The latest turn.
        turn: Arc<str>,
    },
    /// Return digests of programs in the order of their ids, starting after
    /// `after`.
    Digests {
        /// Id of the last program that the sender has a digest of.
        after: Option<Arc<str>>,
        /// The sender's list of keepers; it replaces an older list at the receiver.
        membership: Membership,
    },
    /// Return the records of programs.
    Records {
        /// Ids of the programs.
        programs: Vec<Arc<str>>,
        /// The last turn of the first program that the sender has received, if it has
        /// received a part of it.
        after: Option<Arc<str>>,
        /// Whether the sender takes a part of a program.
        partial: bool,
    },
    /// Return the changes of the platform's store since `after`; wait a limited
    /// time if there are none yet.
    Follow {
        /// Revision up to which the sender's copy of the store is complete.
        after: u64,
    },
    /// Apply the sender's request to change the list of keepers.
    List(ListRequest),
    /// Count the requests that a gateway sent for workspaces, and decide whether it
    /// may send more.
    Spend(Vec<UsageReport>),
    /// Store a gateway's load report, and return the reports of other gateways.
    Load(LoadReport),
    /// Return the requests under which servers ended, and each change from then on.
    WatchEnds,
    /// Return which of the programs, which the sender would remove together, are still
    /// needed.
    Idle {
        /// The programs.
        programs: Vec<IdleProgram>,
        /// Hashes of turns that the sender does not store and from which others of its
        /// programs continue.
        unresolved: Vec<u64>,
    },
    /// Charge a turn to its program's budget until it is recorded, and return the view
    /// of its program.
    Reserve {
        /// The turn, without its input.
        begin: Begin,
        /// Whether to return the chain before the turn as well.
        chain: bool,
        /// Epoch of the list by which the keeper was chosen.
        epoch: u64,
        /// The stream that the turn continues.
        continuation: Continuation,
        /// Longest time until the turn is recorded, in milliseconds.
        longest_ms: u64,
    },
    /// End the reservation of a turn that no server has taken; there is no reply.
    Release {
        /// The program.
        program: Arc<str>,
        /// The turn.
        turn: Arc<str>,
    },
}

impl KeeperRequest {
    /// Returns the label of the request in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Note { .. } => "note",
            Self::Look { .. } => "look",
            Self::End { .. } => "end",
            Self::Chain { .. } => "chain",
            Self::Digests { .. } => "digests",
            Self::Records { .. } => "records",
            Self::Follow { .. } => "follow",
            Self::List(_) => "list",
            Self::Spend(_) => "spend",
            Self::Load(_) => "load",
            Self::WatchEnds => "watch_ends",
            Self::Idle { .. } => "idle",
            Self::Reserve { .. } => "reserve",
            Self::Release { .. } => "release",
        }
    }
}

/// A reply of a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperReply {
    /// The start of the turn is recorded.
    Noted {
        /// The view of the program.
        view: ReplicaView,
        /// The chain before the turn, the latest first, if it was requested.
        chain: Vec<ChainLink>,
        /// Servers that cache the program's prompts, the latest last.
        places: Vec<Place>,
        /// What is recorded of the stream that the turn continues.
        origin: OriginView,
        /// Whether the turn was reserved here until now.
        held: bool,
        /// Turns of the view that are reserved, but not recorded.
        reserved: Vec<Arc<str>>,
    },
    /// The current view of the program, and the turns of it that are reserved, but not
    /// recorded.
    Seen(ReplicaView, Vec<Arc<str>>),
    /// The requested write is on disk.
    Synced,
    /// A chain, the latest turn first.
    Chain {
        /// Whether the keeper stores the turn.
        presence: Presence,
        /// The turn and its predecessors.
        links: Vec<ChainLink>,
    },
    /// Digests, for a keeper that is catching up.
    Digests {
        /// Whether the sender has lost nothing that it ever acknowledged.
        whole: bool,
        /// The digests.
        programs: Vec<ProgramDigest>,
        /// Whether more follow after the last one.
        more: bool,
    },
    /// Records of the first of the requested programs, for a keeper that is
    /// catching up.
    Records {
        /// The records.
        records: Vec<Record>,
        /// Number of programs that the records belong to.
        programs: usize,
        /// Origins of the turns' streams.
        origins: Vec<TurnOrigin>,
        /// The last turn of the program that follows, if a part of it is included.
        last: Option<Arc<str>>,
    },
    /// The keeper's copy of the platform's store.
    Snapshot {
        /// The copy.
        snapshot: Snapshot,
        /// Whether the keeper currently gets no answer from the store.
        away: bool,
    },
    /// Changes in the platform's store.
    Changes {
        /// The changes; empty if there are none.
        changes: Vec<Change>,
        /// Revision up to which they are complete.
        revision: u64,
        /// Whether the keeper currently gets no answer from the store, so that later
        /// changes may exist.
        away: bool,
    },
    /// The change of the list was accepted; it is written to the store in one batch
    /// with those of other keepers, which may still fail.
    Taken,
    /// The sender's list of keepers is outdated; this is the current one.
    Stale(Membership),
    /// The keeper cannot serve the request now.
    Failed(String),
    /// Results for the workspaces, in the order of the request.
    Spent(Vec<UsageReply>),
    /// Load reported by other gateways.
    Loads(LoadSummary),
    /// Requests under which servers ended; the first reply holds all of them, each
    /// later one those that changed.
    Ends(Vec<EndNotice>),
    /// The keeper has no room for the record, and has not stored it.
    Full {
        /// When there may be room again, in milliseconds.
        retry_ms: u64,
    },
    /// Programs that are still needed, of those that the sender of the request would
    /// remove.
    Active {
        /// Whether the keeper has lost nothing that it ever acknowledged, so that the
        /// other programs are not needed by what it knows.
        whole: bool,
        /// The programs that are needed.
        programs: Vec<ProgramActivity>,
    },
    /// The turn is reserved.
    Reserved {
        /// The view of the program.
        view: ReplicaView,
        /// The chain before the turn, the latest first, if it was requested.
        chain: Vec<ChainLink>,
        /// Servers that cache the program's prompts, the latest last.
        places: Vec<Place>,
        /// What is recorded of the stream that the turn continues.
        origin: OriginView,
        /// Turns of the view that are reserved, but not recorded.
        reserved: Vec<Arc<str>>,
    },
}

/// A message on a link to a keeper or between keepers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperMessage {
    /// A request.
    Ask(RequestId, KeeperRequest),
    /// A reply; a request may get several.
    Tell(RequestId, KeeperReply),
}
