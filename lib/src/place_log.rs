//! Where gateways had parts of prompts read, as a keeper tells the others.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::place::Place;

/// Most places that one answer tells of.
const MAX_TOLD: usize = 256;
/// Places that are kept for gateways that have not been told yet.
const MAX_KEPT: usize = 2_048;

#[derive(Clone, Debug)]
struct Entry {
    /// Serial number of the report that it came with.
    serial: u64,
    /// Gateway that reported it.
    by: Arc<str>,
    place: Place,
}

/// The latest places.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlaceLog {
    entries: VecDeque<Entry>,
}

impl PlaceLog {
    /// Takes the places of a report.
    pub(crate) fn put(&mut self, serial: u64, by: &Arc<str>, places: &[Place]) {
        let entries = places.iter().take(MAX_TOLD).map(|&place| Entry {
            serial,
            by: by.clone(),
            place,
        });
        self.entries.extend(entries);
        let old = self.entries.len().saturating_sub(MAX_KEPT);
        self.entries.drain(..old);
    }

    /// Returns the places that others reported after the report `told`, the latest
    /// if there are many.
    pub(crate) fn after(&self, told: u64, asker: &str) -> Vec<Place> {
        let entries = self.entries.iter().rev();
        let newer = entries.take_while(|entry| entry.serial > told);
        let others = newer.filter(|entry| &*entry.by != asker);
        others.take(MAX_TOLD).map(|entry| entry.place).collect()
    }
}
