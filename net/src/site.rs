//! What a gateway knows of the site: the operator's routes, the servers and
//! the list of keepers, fed by a watch of the platform's store.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use limpetferry_lib::effect::Note;
use limpetferry_lib::fleet::Fleet;
use limpetferry_lib::fleet::LAPSE_WAIT;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::routing::Routing;
use limpetferry_platform::document;
use limpetferry_platform::store::Changes;
use limpetferry_platform::store::Item;
use limpetferry_platform::store::ReplyError;

use crate::clock::Clock;
use crate::log;
use crate::platform_store::PlatformError;
use crate::platform_store::PlatformStore;

/// Key of the list of keepers.
pub const KEEPERS_KEY: &str = "limpetferry/keepers";
/// First wait after a failed call to the store; doubled for each one in a row.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest such wait: what is accepted has to be in force soon after the
/// store is back.
const LONGEST_WAIT: Duration = Duration::from_millis(400);
/// Time between looks for servers whose entries did not come back.
const EXPIRE_EVERY: Duration = Duration::from_millis(100);

/// What is known, as of now.
#[derive(Debug, Default)]
pub struct Known {
    /// The operator's routes; `None` until they were read.
    pub routing: Option<Arc<Routing>>,
    /// The servers.
    pub fleet: Fleet,
    /// The list of keepers.
    pub keepers: Arc<Membership>,
    /// Revision of the store up to which everything is known.
    pub revision: u64,
}

/// What a gateway knows of the site.
pub struct Site {
    node: String,
    clock: Clock,
    known: Mutex<Known>,
    changed: async_channel::Sender<()>,
}

impl Site {
    /// Makes a site of which nothing is known. A change of the list of keepers
    /// is told to `changed`.
    pub fn new(node: &str, clock: Clock, changed: async_channel::Sender<()>) -> Arc<Self> {
        Arc::new(Self {
            node: node.to_owned(),
            clock,
            known: Mutex::default(),
            changed,
        })
    }

    /// Returns what is known, locked.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("no panic while locked")
    }

    fn note(&self, note: Note) {
        log::note(&self.node, &note);
    }

    /// Follows the platform's store for as long as the process runs.
    pub async fn follow(self: Arc<Self>, mut store: PlatformStore) {
        let mut wait = FIRST_WAIT;
        let mut away = false;
        let mut fresh = false;
        loop {
            let result = if fresh {
                self.watch(&mut store, &mut away).await
            } else {
                self.read(&mut store, &mut away).await
            };
            match result {
                Ok(()) => {
                    fresh = true;
                    wait = FIRST_WAIT;
                    continue;
                }
                Err(PlatformError::Reply(ReplyError::Compacted)) => {
                    self.note(
                        Note::new("store_history_lost").with("revision", self.known().revision),
                    );
                    fresh = false;
                    continue;
                }
                Err(error) if !away => {
                    away = true;
                    self.note(Note::new("store_lost").with("why", error));
                }
                Err(_) => {}
            }
            // A watch that goes on where a broken one ended may hear nothing
            // of what came between, if the history is dropped meanwhile.
            fresh = false;
            let jitter = rand::random_range(0.7..1.3);
            smol::Timer::after(wait.mul_f64(jitter)).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    async fn read(&self, store: &mut PlatformStore, away: &mut bool) -> Result<(), PlatformError> {
        let page = store.list("").await?;
        let lapsed = self.back(away, page.revision);
        let present: Vec<String> = page.items.iter().map(|item| item.key.clone()).collect();
        for item in page.items {
            self.apply(item, lapsed);
        }
        self.forget_missing(&present, lapsed);
        self.known().revision = page.revision;
        Ok(())
    }

    async fn watch(&self, store: &mut PlatformStore, away: &mut bool) -> Result<(), PlatformError> {
        let revision = self.known().revision;
        let changes = store.watch("", revision).await?;
        let lapsed = self.back(away, changes.revision);
        if !is_gapless(revision, &changes) {
            return Err(PlatformError::Reply(ReplyError::Compacted));
        }
        for item in changes.items {
            self.apply(item, lapsed);
        }
        let mut known = self.known();
        known.revision = known.revision.max(changes.revision);
        Ok(())
    }

    /// Notes that the store answers; returns whether it was away before, so
    /// that entries may have lapsed in servers that live.
    fn back(&self, away: &mut bool, revision: u64) -> bool {
        let was_away = std::mem::take(away);
        if was_away {
            self.note(Note::new("store_regained").with("revision", revision));
        }
        was_away
    }

    /// Drops or keeps a while the servers that a whole reading does not show.
    fn forget_missing(&self, present: &[String], lapsed: bool) {
        let prefix = document::SERVER_PREFIX;
        let gone: Vec<Arc<str>> = {
            let known = self.known();
            let here = |id: &str| {
                present
                    .iter()
                    .any(|key| key.strip_prefix(prefix) == Some(id))
            };
            known.fleet.ids().filter(|id| !here(id)).cloned().collect()
        };
        for id in gone {
            self.server_gone(&id, lapsed);
        }
    }

    fn apply(&self, item: Item, lapsed: bool) {
        if let Some(id) = item.key.strip_prefix(document::SERVER_PREFIX) {
            match &item.value {
                Some(value) => self.server(id, value, item.revision),
                None => self.server_gone(id, lapsed),
            }
        } else if item.key == document::ROUTING_KEY {
            if let Some(value) = &item.value {
                self.routing(value, item.revision);
            }
        } else if item.key == KEEPERS_KEY
            && let Some(value) = &item.value
        {
            self.keepers(value, item.revision);
        }
    }

    fn server(&self, id: &str, value: &[u8], revision: u64) {
        match document::decode_server(id, value) {
            Ok(server) => {
                let note = Note::new("server")
                    .with("server", id)
                    .with("service", &server.service)
                    .with("address", server.address)
                    .with("state", format!("{:?}", server.state))
                    .with("revision", revision);
                self.known().fleet.put(server);
                self.note(note);
            }
            Err(error) => self.note(
                Note::new("server_unread")
                    .with("server", id)
                    .with("why", error),
            ),
        }
    }

    fn server_gone(&self, id: &str, lapsed: bool) {
        self.note(
            Note::new("server_gone")
                .with("server", id)
                .with("lapsed", lapsed),
        );
        let mut known = self.known();
        if lapsed {
            known.fleet.lapse(id, self.clock.now() + LAPSE_WAIT);
        } else {
            known.fleet.drop_server(id);
        }
    }

    fn routing(&self, value: &[u8], revision: u64) {
        match document::decode_routing(value) {
            Ok(routing) => {
                let mut known = self.known();
                let newer = known
                    .routing
                    .as_ref()
                    .is_none_or(|old| old.version < routing.version);
                let note = Note::new("routing")
                    .with("version", routing.version)
                    .with("routes", routing.len())
                    .with("revision", revision)
                    .with("in_force", newer);
                if newer {
                    known.routing = Some(Arc::new(routing));
                }
                drop(known);
                self.note(note);
            }
            Err(error) => self.note(Note::new("routing_unread").with("why", error)),
        }
    }

    fn keepers(&self, value: &[u8], revision: u64) {
        match serde_json::from_slice::<Membership>(value) {
            Ok(membership) => self.take_keepers(membership, revision),
            Err(error) => self.note(Note::new("keepers_unread").with("why", error)),
        }
    }

    /// Takes a list of keepers, if it is newer than the one that is known.
    pub fn take_keepers(&self, membership: Membership, revision: u64) {
        let mut known = self.known();
        if membership.epoch <= known.keepers.epoch {
            return;
        }
        let note = Note::new("keepers")
            .with("epoch", membership.epoch)
            .with("count", membership.keepers.len())
            .with("changing", membership.is_changing())
            .with("revision", revision);
        known.keepers = Arc::new(membership);
        drop(known);
        self.note(note);
        // A full channel already says that something changed.
        let _ = self.changed.try_send(());
    }

    /// Drops the servers whose entries lapsed and did not come back.
    pub async fn expire(self: Arc<Self>) {
        loop {
            smol::Timer::after(EXPIRE_EVERY).await;
            let gone = self.known().fleet.expire(self.clock.now());
            for id in gone {
                self.note(Note::new("server_expired").with("server", id));
            }
        }
    }
}

/// Returns whether changes after `revision` hold every revision up to their
/// own. The watch is for all keys, so one that is missing was dropped on the
/// way, and with it, it may be, a version of the routing.
fn is_gapless(revision: u64, changes: &Changes) -> bool {
    let mut expected = revision + 1;
    for item in &changes.items {
        if item.revision > expected {
            return false;
        }
        expected = expected.max(item.revision + 1);
    }
    changes.revision < expected
}
