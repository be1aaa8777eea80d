//! Bounds on the memory and the disk of one keeper, and what it refuses when they
//! are reached.

use std::time::Duration;

/// Part of a keeper's memory for the index of its turns. What is not given here is
/// for code, stacks, buffers of links, the routing document and free space between
/// allocations.
const INDEX_SHARE: f64 = 0.30;
/// Part of the memory for the newest texts.
const CACHE_SHARE: f64 = 0.10;
/// Part of the memory for texts that are not on disk yet.
const UNWRITTEN_SHARE: f64 = 0.10;
/// Part of the memory for histories and copies that are read, encoded and sent.
const REPLY_SHARE: f64 = 0.15;
/// Part of the memory for bytes that have arrived on links and were not read.
const ARRIVING_SHARE: f64 = 0.05;
/// Part of the disk for records; the rest is for compaction and the copy of the
/// platform's store, and bounds the time that a start reads.
const DISK_SHARE: f64 = 0.60;
/// Part of each bound up to which first turns of programs are stored.
const FIRST_SHARE: f64 = 0.8;
/// Part of each bound up to which later turns are stored.
const LATER_SHARE: f64 = 0.9;
/// Least memory that a keeper can work with, in bytes.
pub const MIN_MEMORY: u64 = 32 << 20;
/// Links that share the memory for bytes that have arrived.
const LINKS: u64 = 32;
/// Bounds on the bytes that may be under way on one link.
const MIN_WINDOW: u64 = 256 << 10;
const MAX_WINDOW: u64 = 8 << 20;
/// Bounds on the wait of a caller that is refused for lack of room.
const MIN_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_secs(20);

/// What a keeper uses, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeeperUsage {
    /// Memory for the index of all records on disk.
    pub index: u64,
    /// Memory for texts that are not on disk yet.
    pub unwritten: u64,
    /// Disk.
    pub disk: u64,
}

/// What a keeper is asked to store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordClass {
    /// The first turn of a program, none of whose work is lost yet.
    FirstTurn,
    /// A turn of a program that the keeper knows, or that continues from another turn.
    LaterTurn,
    /// The end of a turn that has run, or what other keepers have stored already.
    Stored,
}

/// What a keeper lacks room in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Memory for the index.
    Index,
    /// Memory for texts that are not on disk yet.
    Unwritten,
    /// Disk.
    Disk,
}

impl Shortage {
    /// Returns its name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Index => "index",
            Self::Unwritten => "unwritten",
            Self::Disk => "disk",
        }
    }

    /// Returns the setting that remedies it.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Index => "raise memory_mb or add keepers",
            Self::Unwritten => "give the VM a faster disk or add keepers",
            Self::Disk => "raise data.max_mb or add keepers",
        }
    }

    /// Returns when a refused caller finds room again, if the next program expires in
    /// `expiry`.
    pub fn retry_after(self, expiry: Duration) -> Duration {
        match self {
            Self::Unwritten => MIN_RETRY,
            Self::Index | Self::Disk => expiry.clamp(MIN_RETRY, MAX_RETRY),
        }
    }
}

/// Bounds on what one keeper uses, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperBudget {
    /// Memory for the index of all records on disk.
    pub index: u64,
    /// Memory for the newest texts.
    pub cache: u64,
    /// Memory for texts that are not on disk yet.
    pub unwritten: u64,
    /// Memory for histories and copies that are sent.
    pub replies: u64,
    /// Memory for bytes that have arrived on links and were not read.
    pub arriving: u64,
    /// Disk for records.
    pub disk: u64,
}

impl KeeperBudget {
    /// Divides the memory and the disk of a keeper, both in bytes.
    pub fn new(memory: u64, disk: u64) -> Self {
        Self {
            index: part(memory, INDEX_SHARE),
            cache: part(memory, CACHE_SHARE),
            unwritten: part(memory, UNWRITTEN_SHARE),
            replies: part(memory, REPLY_SHARE),
            arriving: part(memory, ARRIVING_SHARE),
            disk: part(disk, DISK_SHARE),
        }
    }

    /// Returns what there is no room in for another record of this class.
    pub fn shortage(&self, usage: &KeeperUsage, class: RecordClass) -> Option<Shortage> {
        let share = match class {
            RecordClass::FirstTurn => FIRST_SHARE,
            RecordClass::LaterTurn => LATER_SHARE,
            RecordClass::Stored => 1.0,
        };
        let each = [
            (Shortage::Disk, usage.disk, self.disk),
            (Shortage::Index, usage.index, self.index),
            (Shortage::Unwritten, usage.unwritten, self.unwritten),
        ];
        let mut short = each
            .into_iter()
            .filter(|(_, used, bound)| *used >= part(*bound, share));
        short.next().map(|(shortage, ..)| shortage)
    }

    /// Returns the bytes that may be under way to the keeper on one link.
    pub fn link_window(&self) -> u32 {
        (self.arriving / LINKS).clamp(MIN_WINDOW, MAX_WINDOW) as u32
    }

    /// Returns whether disk or index are so short that first turns are refused soon.
    pub fn is_pressed(&self, usage: &KeeperUsage) -> bool {
        let lasting = KeeperUsage {
            unwritten: 0,
            index: usage.index * 10 / 9,
            disk: usage.disk * 10 / 9,
        };
        self.shortage(&lasting, RecordClass::FirstTurn).is_some()
    }
}

fn part(whole: u64, share: f64) -> u64 {
    (whole as f64 * share) as u64
}
