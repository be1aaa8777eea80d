//! What one process knows of the site, with the changes that it tells others.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::keeper_protocol::Change;
use limpetferry_lib::keeper_protocol::Snapshot;
use limpetferry_lib::keeper_protocol::Stored;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::routing::Routing;
use limpetferry_lib::store_watch::StoreWatch;
use limpetferry_lib::time::Time;
use limpetferry_platform::store::Item;

/// Changes kept for those that follow: some minutes of a release of hundreds
/// of servers.
const MAX_LOG: usize = 4_096;
/// Bytes of the values in these changes: a few of the longest routing documents. Who
/// follows from further back gets a copy of everything.
const MAX_LOG_BYTES: usize = 4 << 20;

/// What is known, as of now.
#[derive(Debug, Default)]
pub struct Known {
    /// The operator's routes; `None` until they were read.
    pub routing: Option<Arc<Routing>>,
    /// The servers.
    pub fleet: Fleet,
    /// The list of keepers.
    pub keepers: Arc<Membership>,
    /// Revision of the list of keepers in the store, zero if it has none.
    pub keepers_revision: u64,
    /// Names of keepers that the operator wants emptied.
    pub retiring: HashSet<String>,
    /// Revision of a routing document that cannot be read, if the newest one is such.
    pub unread_routing: Option<u64>,
    /// Ids in entries that name no server, as another writer made or spoilt them.
    pub unread: HashSet<String>,
    /// Revision of the store up to which everything is known.
    pub revision: u64,
    /// Whether the store was read in this life of the process.
    pub read: bool,
    pub(crate) items: BTreeMap<String, Stored>,
    /// Revisions of removals that are in the log, by key: a slower source may
    /// still tell the item.
    removed: BTreeMap<String, u64>,
    /// Changes for those that follow this process, oldest first.
    log: VecDeque<Change>,
    /// Bytes of the values in the log.
    log_bytes: usize,
    /// Revision after which the log is complete.
    pub(crate) log_from: u64,
    /// When a keeper that hears from the store was last heard of.
    pub(crate) fed: Option<Time>,
    /// The call that watches the store, while it waits.
    pub(crate) watch: Option<StoreWatch>,
    /// Latest revision of the store that another process was heard to know.
    pub(crate) others: u64,
}

impl Known {
    /// Returns the revision at which an item was last seen to change, zero if
    /// that is not known.
    pub(crate) fn last_change(&self, key: &str) -> u64 {
        let present = self.items.get(key).map(|item| item.revision);
        present
            .or_else(|| self.removed.get(key).copied())
            .unwrap_or(0)
    }

    /// Keeps an item, and its change for those that follow this process.
    pub(crate) fn keep(&mut self, item: &Item, lapsed: bool) {
        match &item.value {
            Some(value) => {
                let stored = Stored {
                    key: item.key.clone(),
                    value: value.clone(),
                    revision: item.revision,
                };
                self.items.insert(item.key.clone(), stored);
                self.removed.remove(&item.key);
            }
            None => {
                self.items.remove(&item.key);
                self.removed.insert(item.key.clone(), item.revision);
            }
        }
        self.push_change(Change {
            key: item.key.clone(),
            value: item.value.clone(),
            revision: item.revision,
            lapsed,
        });
    }

    /// Returns all items.
    pub(crate) fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            items: self.items.values().cloned().collect(),
        }
    }

    /// Returns the changes after a revision; `None` if not all of them are kept.
    pub(crate) fn changes(&self, after: u64) -> Option<Vec<Change>> {
        if after < self.log_from {
            return None;
        }
        let changes = self.log.iter().filter(|change| change.revision > after);
        Some(changes.cloned().collect())
    }

    fn push_change(&mut self, change: Change) {
        self.log_bytes += value_bytes(&change);
        self.log.push_back(change);
        while self.log.len() > MAX_LOG || self.log.len() > 1 && self.log_bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.log.pop_front() else {
                return;
            };
            self.log_bytes -= value_bytes(&oldest);
            self.log_from = self.log_from.max(oldest.revision);
            if self.removed.get(&oldest.key) == Some(&oldest.revision) {
                self.removed.remove(&oldest.key);
            }
        }
    }
}

fn value_bytes(change: &Change) -> usize {
    change.value.as_ref().map_or(0, |value| value.len())
}
