//! A keeper's log of where parts of prompts were processed, as reported by
//! gateways, for distribution to the other gateways.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::place::Place;

/// Largest number of places in one answer, and of places taken from one report.
const MAX_RETURNED: usize = 256;
/// Largest number of places that are kept for gateways that have not received
/// them yet.
const MAX_ENTRIES: usize = 2_048;

#[derive(Clone, Debug)]
struct Entry {
    /// Serial number of the report that contained the place.
    serial: u64,
    /// Gateway that reported the place.
    by: Arc<str>,
    place: Place,
}

/// The latest places.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlaceLog {
    entries: VecDeque<Entry>,
}

impl PlaceLog {
    /// Adds the places of a report.
    pub(crate) fn add(&mut self, serial: u64, by: &Arc<str>, places: &[Place]) {
        let entries = places.iter().take(MAX_RETURNED).map(|&place| Entry {
            serial,
            by: by.clone(),
            place,
        });
        self.entries.extend(entries);
        let old = self.entries.len().saturating_sub(MAX_ENTRIES);
        self.entries.drain(..old);
    }

    /// Returns the places that other gateways reported after the report
    /// `last_serial`; only the latest if there are many.
    pub(crate) fn newer(&self, last_serial: u64, sender: &str) -> Vec<Place> {
        let entries = self.entries.iter().rev();
        let newer = entries.take_while(|entry| entry.serial > last_serial);
        let others = newer.filter(|entry| &*entry.by != sender);
        others.take(MAX_RETURNED).map(|entry| entry.place).collect()
    }
}
