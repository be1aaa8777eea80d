//! Messages between an entry and a keeper, and between keepers.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::allowance::Use;
use crate::allowance::UseReply;
use crate::ledger::Begin;
use crate::ledger::Finish;
use crate::ledger::Link;
use crate::ledger::Presence;
use crate::ledger::ProgramDigest;
use crate::ledger::Record;
use crate::load_report::LoadReport;
use crate::load_report::LoadSummary;
use crate::membership::ListRequest;
use crate::membership::Membership;
use crate::opening::View;
use crate::place::Place;

/// Matches answers to what was asked, on one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// An item of the platform's store as one process last read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
}

/// What one process knows from the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the store up to which it is complete.
    pub revision: u64,
    /// The items.
    pub items: Vec<Stored>,
}

/// A change of what the platform's store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value; `None` if the item was removed.
    pub value: Option<Bytes>,
    /// Revision of the change.
    pub revision: u64,
    /// Whether it was removed while the store was away, so that its owner may
    /// live and write it anew.
    pub lapsed: bool,
}

/// What a keeper is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Note a turn, say what is known of its program, and put it on disk.
    Note {
        /// The turn.
        begin: Begin,
        /// Whether the chain before it is wanted too.
        chain: bool,
        /// Epoch of the list by which the keeper was chosen.
        epoch: u64,
    },
    /// Say once more what is known of a program but for one turn.
    Look {
        /// The program.
        program: Arc<str>,
        /// The turn to leave out.
        turn: Arc<str>,
    },
    /// Put the end of a turn on disk.
    End {
        /// The turn's beginning, if the keeper may lack it.
        begin: Option<Begin>,
        /// Its end.
        finish: Finish,
        /// Where its prompt is kept, if it ran.
        place: Option<Place>,
        /// Epoch of the list by which the keeper was chosen.
        epoch: u64,
    },
    /// Give a turn and those before it.
    Chain {
        /// The latest turn.
        turn: Arc<str>,
    },
    /// Give the digests of the programs after `after`, in the order of their
    /// ids.
    Digests {
        /// The last program that the asker has a digest of.
        after: Option<Arc<str>>,
        /// The list as the asker knows it; older ones no longer hold.
        membership: Membership,
    },
    /// Give the records of programs.
    Records {
        /// The programs.
        programs: Vec<Arc<str>>,
    },
    /// Give what has changed in the platform's store since `after`, or wait a
    /// while for it.
    Follow {
        /// Revision of the store up to which the asker knows it.
        after: u64,
    },
    /// Change the list of keepers as the asker needs it.
    List(ListRequest),
    /// Count what a gateway sent of workspaces, and say whether it may send
    /// more.
    Spend(Vec<Use>),
    /// Take what a gateway reports of load, and say what others reported.
    Load(LoadReport),
}

impl Question {
    /// Returns its name in metrics.
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
        }
    }
}

/// What a keeper answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The turn is noted.
    Noted {
        /// What else is known of the program.
        view: View,
        /// The chain before the turn, the latest first, if it was wanted.
        chain: Vec<Link>,
        /// Where the program's prompts are kept, the latest last.
        places: Vec<Place>,
    },
    /// What is known of the program now.
    Seen(View),
    /// What was to be put on disk is there.
    Synced,
    /// A chain, the latest turn first.
    Chain {
        /// Whether the turn is here.
        presence: Presence,
        /// It and those before it.
        links: Vec<Link>,
    },
    /// Digests for a keeper that catches up.
    Digests {
        /// Whether the giver has everything that it ever acknowledged.
        whole: bool,
        /// The programs.
        programs: Vec<ProgramDigest>,
        /// Whether there are more after the last one.
        more: bool,
    },
    /// Records for a keeper that catches up, of the first programs asked for.
    Records {
        /// The records.
        records: Vec<Record>,
        /// How many programs they belong to.
        programs: usize,
    },
    /// All that is known from the platform's store.
    Snapshot {
        /// The items.
        snapshot: Snapshot,
        /// Whether the store does not answer the keeper.
        away: bool,
    },
    /// What has changed in the platform's store.
    Changes {
        /// The changes, if there are any.
        changes: Vec<Change>,
        /// Revision up to which they are complete.
        revision: u64,
        /// Whether the store does not answer the keeper, so that there may be
        /// later ones.
        away: bool,
    },
    /// The change is made together with those of others, if the store takes it.
    Taken,
    /// The asker goes by an old list.
    Stale(Membership),
    /// The keeper cannot do it now.
    Failed(String),
    /// What comes of what was sent, in the order in which it was told.
    Spent(Vec<UseReply>),
    /// What other gateways reported of load.
    Loads(LoadSummary),
}

/// A message on a link to or between keepers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperMessage {
    /// A question.
    Ask(Ticket, Question),
    /// An answer to one; a question may have two.
    Tell(Ticket, Reply),
}
