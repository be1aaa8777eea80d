//! What a gateway knows of the site: the operator's routes, the servers and
//! the list of keepers, fed by a watch of the platform's store.

use std::borrow::Cow;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::fleet::REGISTER_GRACE;
use limpetferry_lib::keeper_protocol::Change;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::Snapshot;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::routing::Routing;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerState;
use limpetferry_lib::time::Time;
use limpetferry_lib::workspace::KeyDigest;
use limpetferry_lib::workspace::KeyDigester;
use limpetferry_lib::workspace::Workspaces;
use limpetferry_platform::document;
use limpetferry_platform::document::DocumentError;
use limpetferry_platform::store::Item;

use crate::clock::Clock;
use crate::known::Known;
use crate::log;

/// Key of the list of keepers.
pub const KEEPERS_KEY: &str = "limpetferry/keepers";
/// How long what a keeper last said holds: two of its answers, which come at
/// least every 0.7 s.
const FED_WAIT: Duration = Duration::from_millis(1_500);
/// Time between looks for servers whose entries did not come back.
const EXPIRE_EVERY: Duration = Duration::from_millis(100);

/// Where a change of what is known comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Origin<'a> {
    /// Name of the process that told it, or how the store did.
    pub by: &'a str,
    /// Whether what is missing may have lapsed while the store was away.
    pub lapsed: bool,
}

/// What a gateway knows of the site.
pub struct Site {
    pub(crate) node: String,
    pub(crate) clock: Clock,
    digester: KeyDigester,
    known: Mutex<Known>,
    changed: async_channel::Sender<()>,
    pub(crate) away: AtomicBool,
    /// Whether keepers are to tell what the store holds, if they can.
    pub(crate) follower: AtomicBool,
    /// Whether keepers tell what the store holds, in place of the store.
    pub(crate) relies: AtomicBool,
    /// Those that wait for news.
    waiting: Mutex<Vec<async_channel::Sender<()>>>,
}

impl Site {
    /// Makes a site of which nothing is known. A change of the list of keepers
    /// is told to `changed`; keys in the operator's document are replaced by what
    /// `digester` makes of them.
    pub fn new(
        node: &str,
        clock: Clock,
        digester: KeyDigester,
        changed: async_channel::Sender<()>,
    ) -> Arc<Self> {
        Arc::new(Self {
            node: node.to_owned(),
            clock,
            digester,
            known: Mutex::default(),
            changed,
            away: AtomicBool::new(true),
            follower: false.into(),
            relies: false.into(),
            waiting: Mutex::default(),
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

    pub(crate) fn note(&self, note: LogEvent) {
        log::note(&self.node, &note);
    }

    /// Says whether this process is to follow keepers.
    pub fn set_follower(&self, follower: bool) {
        self.follower.store(follower, Ordering::Relaxed);
    }

    /// Takes all items that the store has at a revision.
    pub(crate) fn take_all(&self, items: Vec<Item>, revision: u64, origin: Origin<'_>) {
        let present: HashSet<String> = items.iter().map(|item| item.key.clone()).collect();
        for item in items {
            self.apply(item, origin);
        }
        let missing: Vec<String> = {
            let known = self.known();
            let keys = known.items.keys().filter(|key| !present.contains(*key));
            keys.cloned().collect()
        };
        for key in missing {
            let gone = Item {
                key,
                value: None,
                revision,
            };
            self.apply(gone, origin);
        }
        let mut known = self.known();
        known.revision = known.revision.max(revision);
        drop(known);
        self.tell_waiting();
    }

    /// Returns what is known from the store.
    pub fn snapshot(&self) -> Snapshot {
        self.known().snapshot()
    }

    /// Returns what says that there may be news: changes, or that the store no
    /// longer answers.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn wait_news(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiting = self.waiting.lock().expect("no panic while locked");
        waiting.retain(|sender| !sender.is_closed());
        waiting.push(sender);
        receiver
    }

    pub(crate) fn tell_waiting(&self) {
        // A sender that is dropped wakes its receiver.
        self.waiting.lock().expect("no panic while locked").clear();
    }

    /// Returns what has changed after a revision, or all if that is too long
    /// ago; `None` if nothing has.
    pub fn news(&self, after: u64) -> Option<KeeperReply> {
        let known = self.known();
        if known.revision <= after {
            return None;
        }
        let away = !self.hears_store();
        Some(match known.changes(after) {
            Some(changes) => KeeperReply::Changes {
                changes,
                revision: known.revision,
                away,
            },
            None => KeeperReply::Snapshot {
                snapshot: known.snapshot(),
                away,
            },
        })
    }

    /// Takes changes that a keeper heard of from the store.
    pub fn take_changes(&self, changes: Vec<Change>, revision: u64, from: &str) {
        for change in changes {
            let origin = Origin {
                by: from,
                lapsed: change.lapsed,
            };
            let item = Item {
                key: change.key,
                value: change.value,
                revision: change.revision,
            };
            self.apply(item, origin);
        }
        let mut known = self.known();
        known.revision = known.revision.max(revision);
    }

    /// Notes that another process knows what the store held at a revision.
    pub fn note_revision(&self, revision: u64) {
        let now = self.clock.now();
        let mut known = self.known();
        known.others = known.others.max(revision);
        if let Some(watch) = &mut known.watch {
            watch.record_other_revision(now, revision);
        }
    }

    /// Notes that a keeper that hears from the store was heard of.
    pub fn note_fed(&self, now: Time) {
        self.known().fed = Some(now);
    }

    /// Returns whether a keeper that hears from the store was heard of lately.
    pub fn is_fed(&self) -> bool {
        let fed = self.known().fed;
        fed.is_some_and(|at| self.clock.now().since(at) < FED_WAIT)
    }

    /// Takes what another process knows from the store, if it is newer.
    pub fn take_snapshot(&self, snapshot: Snapshot, from: &str) {
        let revision = snapshot.revision;
        if revision <= self.known().revision {
            return;
        }
        let note = LogEvent::new("snapshot")
            .with("from", from)
            .with("revision", revision);
        self.note(note.with("items", snapshot.items.len()));
        let items = snapshot.items.into_iter().map(|stored| Item {
            key: stored.key,
            value: Some(stored.value),
            revision: stored.revision,
        });
        // Servers may be missing there only because their entries lapsed.
        let origin = Origin {
            by: from,
            lapsed: true,
        };
        self.take_all(items.collect(), revision, origin);
        let mut known = self.known();
        known.log_from = known.log_from.max(revision);
    }

    /// Returns the digest by which a caller's key is known.
    pub fn key_digest(&self, key: &[u8]) -> KeyDigest {
        self.digester.digest(key)
    }

    /// Returns whether what is known is as new as the store can tell.
    pub fn is_fresh(&self) -> bool {
        self.hears_store() || self.is_fed()
    }

    /// Returns an item without the keys that it may hold; `None` if it cannot be
    /// read, since it is then not known to hold none.
    fn sealed(&self, mut item: Item) -> Option<Item> {
        let (document::ROUTING_KEY, Some(value)) = (&*item.key, &item.value) else {
            return Some(item);
        };
        match document::seal_keys(value, &self.digester) {
            Ok(Cow::Borrowed(_)) => {}
            Ok(Cow::Owned(sealed)) => item.value = Some(sealed.into()),
            Err(error) => {
                self.routing_unread(&error, item.revision);
                return None;
            }
        }
        Some(item)
    }

    fn routing_unread(&self, error: &DocumentError, revision: u64) {
        let known = self.known().unread_routing.replace(revision);
        if known == Some(revision) {
            return;
        }
        self.note(
            LogEvent::new("routing_unread")
                .with("why", error)
                .with("revision", revision)
                .with("remedy", "the last good one stays in force"),
        );
    }

    pub(crate) fn apply(&self, mut item: Item, origin: Origin<'_>) {
        if item.revision <= self.known().last_change(&item.key) {
            return;
        }
        let server = server_entry(&item);
        if matches!(server, Some(Err(_))) {
            // Other writers may leave many, and each may be long.
            item.value = Some(Bytes::new());
        }
        let Some(item) = self.sealed(item) else {
            return;
        };
        let routing = match (&*item.key, &item.value) {
            (document::ROUTING_KEY, Some(value)) => match document::decode_routing(value) {
                Ok(routing) => Some(routing),
                Err(error) => return self.routing_unread(&error, item.revision),
            },
            _ => None,
        };
        self.known().keep(&item, origin.lapsed);
        let Item {
            key,
            value,
            revision,
        } = item;
        if let Some(id) = key.strip_prefix(document::SERVER_PREFIX) {
            match server {
                Some(Ok(server)) => self.server(server, revision, origin),
                Some(Err(error)) => self.server_unread(id, &error, revision),
                None => self.server_gone(id, revision, origin),
            }
        } else if let Some(node) = key.strip_prefix(document::RETIRE_PREFIX) {
            self.retire(node, value.is_some());
        } else if let Some(routing) = routing {
            self.routing(routing, revision, origin);
        } else if let (KEEPERS_KEY, Some(value)) = (&*key, &value) {
            self.keepers(value, revision);
        }
    }

    fn retire(&self, node: &str, asked: bool) {
        let mut known = self.known();
        if asked {
            known.retiring.insert(node.to_owned());
        } else {
            known.retiring.remove(node);
        }
        drop(known);
        self.note(
            LogEvent::new("retire")
                .with("keeper", node)
                .with("asked", asked),
        );
    }

    fn server(&self, server: Server, revision: u64, origin: Origin<'_>) {
        let note = LogEvent::new("server")
            .with("server", &server.id)
            .with("service", &server.service)
            .with("version", &server.version)
            .with("address", server.address)
            .with("state", format!("{:?}", server.state))
            .with("born", server.started_at.unwrap_or_default());
        let mut known = self.known();
        known.unread.remove(&*server.id);
        let arrival = known.fleet.put(server);
        drop(known);
        self.note(
            note.with("arrival", format!("{arrival:?}"))
                .with("revision", revision)
                .with("by", origin.by),
        );
    }

    /// Drops a server whose entry cannot be read: another writer made it, and
    /// what it says of the server is not known to hold.
    fn server_unread(&self, id: &str, error: &DocumentError, revision: u64) {
        let mut known = self.known();
        known.fleet.remove_server(id);
        let is_new = known.unread.insert(id.to_owned());
        drop(known);
        if !is_new {
            return;
        }
        self.note(
            LogEvent::new("server_unread")
                .with("server", id)
                .with("why", error)
                .with("revision", revision),
        );
    }

    fn server_gone(&self, id: &str, revision: u64, origin: Origin<'_>) {
        self.note(
            LogEvent::new("server_gone")
                .with("server", id)
                .with("lapsed", origin.lapsed)
                .with("revision", revision)
                .with("by", origin.by),
        );
        let mut known = self.known();
        known.unread.remove(id);
        if origin.lapsed {
            known
                .fleet
                .keep_until(id, self.clock.now() + REGISTER_GRACE);
        } else {
            known.fleet.remove_server(id);
        }
    }

    fn routing(&self, routing: Routing, revision: u64, origin: Origin<'_>) {
        let mut known = self.known();
        let newer = known
            .routing
            .as_ref()
            .is_none_or(|old| old.version < routing.version);
        let note = LogEvent::new("routing")
            .with("version", routing.version)
            .with("routes", routing.len())
            .with(
                "workspaces",
                routing.workspaces.as_ref().map_or(0, Workspaces::len),
            )
            .with("revision", revision)
            .with("in_force", newer)
            .with("by", origin.by);
        known.unread_routing = None;
        if newer {
            known.routing = Some(Arc::new(routing));
        }
        drop(known);
        self.note(note);
    }

    fn keepers(&self, value: &[u8], revision: u64) {
        match serde_json::from_slice::<Membership>(value) {
            Ok(membership) => self.take_keepers(membership, revision),
            Err(error) => self.note(LogEvent::new("keepers_unread").with("why", error)),
        }
    }

    /// Takes a list of keepers, if it is newer than the one that is known.
    /// `revision` is that of the list in the store, or zero if another process
    /// told it.
    pub fn take_keepers(&self, membership: Membership, revision: u64) {
        let mut known = self.known();
        known.keepers_revision = known.keepers_revision.max(revision);
        if membership.epoch <= known.keepers.epoch {
            return;
        }
        let note = LogEvent::new("keepers")
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

    /// Returns whether a server leaves as planned.
    pub fn is_draining(&self, key: ServerKey) -> bool {
        let known = self.known();
        let server = known.fleet.server(key);
        server.is_some_and(|server| server.state == ServerState::Draining)
    }

    /// Returns whether the store has not answered lately.
    pub fn is_away(&self) -> bool {
        self.away.load(Ordering::Relaxed)
    }

    /// Returns whether it is the store itself that tells what it holds.
    pub fn hears_store(&self) -> bool {
        !self.is_away() && !self.relies.load(Ordering::Relaxed)
    }

    /// Drops the servers whose entries lapsed and did not come back.
    pub async fn expire(self: Arc<Self>) {
        loop {
            smol::Timer::after(EXPIRE_EVERY).await;
            let gone = self.known().fleet.expire(self.clock.now());
            for id in gone {
                self.note(LogEvent::new("server_expired").with("server", id));
            }
        }
    }
}

/// Decodes a server's entry; `None` if the item is another one, or was removed.
fn server_entry(item: &Item) -> Option<Result<Server, DocumentError>> {
    let id = item.key.strip_prefix(document::SERVER_PREFIX)?;
    let text = item.value.as_ref()?;
    Some(document::decode_server(id, text))
}
