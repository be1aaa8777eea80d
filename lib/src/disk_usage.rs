//! What a keeper's files hold, and how much of it is still needed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::text::Location;

/// A file is compacted once at most this part of it is needed, so that at most a third
/// of what is freed is written again.
const SPARSE_SHARE: f64 = 0.25;
/// The same while the disk or the memory for the index is short.
const SPARSE_SHARE_PRESSED: f64 = 0.75;

/// What one file holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SegmentUsage {
    /// Bytes of its records.
    pub bytes: u64,
    /// Number of its records.
    pub records: u64,
    /// Memory for the index of all its records, which a start reads, in bytes.
    pub index: u64,
    /// Bytes that are still needed.
    pub live_bytes: u64,
    /// Records that are still needed.
    pub live_records: u64,
}

impl SegmentUsage {
    /// Returns the part of it that is needed, of its bytes or of its records,
    /// whichever is smaller.
    fn live_share(&self) -> f64 {
        let share = |live: u64, all: u64| live as f64 / all.max(1) as f64;
        let bytes = share(self.live_bytes, self.bytes);
        bytes.min(share(self.live_records, self.records))
    }
}

/// What all files of a keeper hold.
#[derive(Clone, Debug, Default)]
pub struct DiskUsage {
    segments: BTreeMap<u64, SegmentUsage>,
    total: SegmentUsage,
    /// Files of which nothing is needed.
    empty: BTreeSet<u64>,
}

impl DiskUsage {
    /// Counts a record that was written, and whose entry in the index takes up `index`
    /// bytes.
    pub(crate) fn add(&mut self, location: Location, index: u64) {
        self.change(location.segment, |usage| {
            usage.bytes += u64::from(location.size);
            usage.records += 1;
            usage.index += index;
        });
    }

    /// Counts a record as needed.
    pub(crate) fn hold(&mut self, location: Location, with_text: bool) {
        self.change(location.segment, |usage| {
            usage.live_records += 1;
            usage.live_bytes += held_bytes(location, with_text);
        });
    }

    /// Counts a record as needed no longer.
    pub(crate) fn release(&mut self, location: Location, with_text: bool) {
        self.change(location.segment, |usage| {
            usage.live_records -= 1;
            usage.live_bytes -= held_bytes(location, with_text);
        });
    }

    fn change(&mut self, segment: u64, change: impl Fn(&mut SegmentUsage)) {
        let usage = self.segments.entry(segment).or_default();
        change(usage);
        change(&mut self.total);
        if usage.live_records == 0 {
            self.empty.insert(segment);
        } else {
            self.empty.remove(&segment);
        }
    }

    /// Forgets a file that was removed.
    pub(crate) fn remove(&mut self, segment: u64) {
        let usage = self.segments.remove(&segment).unwrap_or_default();
        self.empty.remove(&segment);
        self.total.bytes -= usage.bytes;
        self.total.records -= usage.records;
        self.total.index -= usage.index;
        self.total.live_bytes -= usage.live_bytes;
        self.total.live_records -= usage.live_records;
    }

    /// Returns the files before `current` of which nothing is needed.
    pub fn dead(&self, current: u64) -> Vec<u64> {
        self.empty.range(..current).copied().collect()
    }

    /// Returns the file before `current` that is to be compacted next, if one is worth
    /// it and not among those to skip.
    pub fn sparsest(&self, current: u64, is_pressed: bool, skipped: &BTreeSet<u64>) -> Option<u64> {
        let limit = if is_pressed {
            SPARSE_SHARE_PRESSED
        } else {
            SPARSE_SHARE
        };
        let older = self.segments.range(..current);
        let sparse = older
            .filter(|(segment, usage)| usage.live_share() <= limit && !skipped.contains(segment));
        let sparsest = sparse.min_by(|(_, a), (_, b)| a.live_share().total_cmp(&b.live_share()));
        sparsest.map(|(&segment, _)| segment)
    }

    /// Returns what a file holds.
    pub fn segment(&self, segment: u64) -> SegmentUsage {
        self.segments.get(&segment).copied().unwrap_or_default()
    }

    /// Returns the sum over all files.
    pub fn total(&self) -> SegmentUsage {
        self.total
    }
}

fn held_bytes(location: Location, with_text: bool) -> u64 {
    if with_text {
        u64::from(location.size)
    } else {
        location.bare_size()
    }
}
