//! Links to keepers, and questions to them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::keeper_protocol::KeeperMessage;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::keeper_protocol::RequestId;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::time::Time;

use crate::clock::Clock;
use crate::essential;
use crate::log;
use crate::peer;
use crate::peer::Hello;
use crate::peer::Link;

/// First wait before a link is dialled anew; doubled for each failure in a row.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest such wait: a keeper that is back is used again within this time.
const LONGEST_WAIT: Duration = Duration::from_millis(400);

/// What came of a question.
#[derive(Debug)]
pub struct Heard {
    /// Name of the keeper.
    pub node: Arc<str>,
    /// Its answer; `None` if the link ended before.
    pub reply: Option<KeeperReply>,
}

/// Where answers go.
pub type HeardSender = async_channel::Sender<Heard>;

struct Dialled {
    address: String,
    /// The link, while it is up.
    sender: Option<async_channel::Sender<KeeperMessage>>,
    /// The keeper's life, if it counts what workspaces send.
    counting: Option<Boot>,
    /// Whether the keeper takes reports of load.
    takes_load: bool,
    /// Whether the keeper reports requests that ended servers.
    reports_ends: bool,
    /// Whether the keeper says which programs are still in use.
    agrees_on_removal: bool,
    /// Whether the keeper reserves turns.
    reserves_turns: bool,
    /// Since when the link has been as it is now.
    since: Time,
    pending: HashMap<RequestId, HeardSender>,
    task: smol::Task<()>,
}

#[derive(Default)]
struct Inner {
    next: u64,
    keepers: HashMap<Arc<str>, Dialled>,
}

impl Inner {
    fn send(&mut self, node: &str, question: KeeperRequest, heard: Option<&HeardSender>) -> bool {
        let ticket = RequestId(self.next);
        self.next += 1;
        let Some(dialled) = self.keepers.get_mut(node) else {
            return false;
        };
        let Some(sender) = &dialled.sender else {
            return false;
        };
        let message = KeeperMessage::Ask(ticket, question);
        if sender.len() >= peer::MAX_WAITING || sender.try_send(message).is_err() {
            return false;
        }
        if let Some(heard) = heard {
            dialled.pending.insert(ticket, heard.clone());
        }
        true
    }
}

/// Links to all keepers.
pub struct Replicas {
    hello: Hello,
    clock: Clock,
    inner: Mutex<Inner>,
    /// Where reports of requests that ended servers go, if they are wanted.
    ends: Option<HeardSender>,
}

impl Replicas {
    /// Makes the links of a process.
    pub fn new(hello: Hello, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            hello,
            clock,
            inner: Mutex::default(),
            ends: None,
        })
    }

    /// Makes the links of a process that keepers report requests to that ended
    /// servers: those that they know when a link is made, and each change.
    pub fn with_ends(hello: Hello, clock: Clock, ends: HeardSender) -> Arc<Self> {
        Arc::new(Self {
            hello,
            clock,
            inner: Mutex::default(),
            ends: Some(ends),
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while locked")
    }

    /// Keeps a link to each keeper of the list from now on, and no other.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn dial(self: &Arc<Self>, membership: &Membership) {
        let mut inner = self.inner();
        let wanted = |node: &Arc<str>, dialled: &Dialled| {
            let mut keepers = membership.keepers.iter();
            keepers.any(|k| k.node == *node && k.address.to_string() == dialled.address)
        };
        let gone: Vec<Arc<str>> = inner
            .keepers
            .iter()
            .filter(|(node, dialled)| !wanted(node, dialled))
            .map(|(node, _)| node.clone())
            .collect();
        for node in gone {
            if let Some(dialled) = inner.keepers.remove(&node) {
                lose(&node, dialled.pending);
                drop(dialled.task);
            }
        }
        for keeper in &membership.keepers {
            let own = *keeper.node == *self.hello.node.as_str();
            if own || inner.keepers.contains_key(&keeper.node) {
                continue;
            }
            let address = keeper.address.to_string();
            let this = self.clone();
            let dialling = this.keep_dialling(keeper.node.clone(), address.clone());
            let node = self.hello.node.clone();
            let task = smol::spawn(async move {
                essential::without_panic(node.as_str(), "keeper_link", dialling).await
            });
            let dialled = Dialled {
                address,
                sender: None,
                counting: None,
                takes_load: false,
                reports_ends: false,
                agrees_on_removal: false,
                reserves_turns: false,
                since: self.clock.now(),
                pending: HashMap::new(),
                task,
            };
            inner.keepers.insert(keeper.node.clone(), dialled);
        }
    }

    /// Asks a keeper; what comes of it goes to `heard`. Returns whether there
    /// is a link to it.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn ask(&self, node: &str, question: KeeperRequest, heard: &HeardSender) -> bool {
        self.inner().send(node, question, Some(heard))
    }

    /// Asks a keeper for something that it does not answer. Returns whether there is a
    /// link to it.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn tell(&self, node: &str, question: KeeperRequest) -> bool {
        self.inner().send(node, question, None)
    }

    /// Returns whether there is a link to a keeper.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn is_linked(&self, node: &str) -> bool {
        let inner = self.inner();
        let dialled = inner.keepers.get(node);
        dialled.is_some_and(|dialled| dialled.sender.is_some())
    }

    /// Returns the life of a keeper to which there is a link, if it counts what
    /// workspaces send.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn counting(&self, node: &str) -> Option<Boot> {
        let inner = self.inner();
        let dialled = inner.keepers.get(node)?;
        dialled.counting.filter(|_| dialled.sender.is_some())
    }

    /// Returns whether there is a link to a keeper that takes reports of load.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn takes_load(&self, node: &str) -> bool {
        let inner = self.inner();
        let dialled = inner.keepers.get(node);
        dialled.is_some_and(|dialled| dialled.sender.is_some() && dialled.takes_load)
    }

    /// Returns whether there is a link to a keeper of a build that does not report
    /// requests that ended servers.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn reports_no_ends(&self, node: &str) -> bool {
        let inner = self.inner();
        let dialled = inner.keepers.get(node);
        dialled.is_some_and(|dialled| dialled.sender.is_some() && !dialled.reports_ends)
    }

    /// Returns whether there is a link to a keeper of a build that removes programs by
    /// what it heard itself, and cannot be asked.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn removes_alone(&self, node: &str) -> bool {
        let inner = self.inner();
        let dialled = inner.keepers.get(node);
        dialled.is_some_and(|dialled| dialled.sender.is_some() && !dialled.agrees_on_removal)
    }

    /// Returns whether there is a link to a keeper that reserves turns. One of an earlier
    /// build records them at once.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn reserves_turns(&self, node: &str) -> bool {
        let inner = self.inner();
        let dialled = inner.keepers.get(node);
        dialled.is_some_and(|dialled| dialled.sender.is_some() && dialled.reserves_turns)
    }

    /// Returns the keepers to which there is a link, or was one less than
    /// `wait` ago.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn within_reach(&self, wait: Duration) -> HashSet<Arc<str>> {
        let now = self.clock.now();
        let inner = self.inner();
        let near = inner
            .keepers
            .iter()
            .filter(|(_, dialled)| dialled.sender.is_some() || now.since(dialled.since) < wait);
        near.map(|(node, _)| node.clone()).collect()
    }

    /// Returns the keepers to which there has been no link for `wait`.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn silent_for(&self, wait: Duration) -> Vec<Arc<str>> {
        let now = self.clock.now();
        let inner = self.inner();
        let silent = inner
            .keepers
            .iter()
            .filter(|(_, dialled)| dialled.sender.is_none() && now.since(dialled.since) > wait);
        silent.map(|(node, _)| node.clone()).collect()
    }

    async fn keep_dialling(self: Arc<Self>, node: Arc<str>, address: String) {
        let mut wait = FIRST_WAIT;
        let mut told = false;
        loop {
            match peer::dial(&address, &self.hello).await {
                Ok(link) if link.peer.node == NodeId::new(&node) => {
                    wait = FIRST_WAIT;
                    told = false;
                    self.carry(&node, link).await;
                }
                Ok(link) => {
                    let note = LogEvent::new("keeper_crossed").with("keeper", &node);
                    self.note(note.with("other", &link.peer.node));
                }
                Err(error) => {
                    if !told {
                        let note = LogEvent::new("keeper_unreachable").with("keeper", &node);
                        self.note(note.with("why", error));
                    }
                    told = true;
                }
            }
            let jitter = rand::random_range(0.7..1.3);
            smol::Timer::after(wait.mul_f64(jitter)).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    async fn carry(&self, node: &Arc<str>, link: Link) {
        let (sender, outgoing) = async_channel::unbounded();
        if let Some(dialled) = self.inner().keepers.get_mut(node) {
            dialled.sender = Some(sender);
            dialled.counting = link.peer.counts_allowances().then_some(link.peer.boot);
            dialled.takes_load = link.peer.takes_load();
            dialled.reports_ends = link.peer.reports_ends();
            dialled.agrees_on_removal = link.peer.agrees_on_removal();
            dialled.reserves_turns = link.peer.reserves_turns();
            dialled.since = self.clock.now();
        }
        if let Some(ends) = self.ends.as_ref().filter(|_| link.peer.reports_ends()) {
            self.ask(node, KeeperRequest::WatchEnds, ends);
        }
        self.note(LogEvent::new("keeper_regained").with("keeper", node));
        let (incoming, replies) = async_channel::unbounded();
        let reading = async {
            while let Ok(message) = replies.recv().await {
                self.hear(node, message);
            }
            peer::LinkError::Closed
        };
        let running = link.run(outgoing, &incoming, |message: KeeperMessage| message);
        let error = futures_lite::future::or(running, reading).await;
        let pending = match self.inner().keepers.get_mut(node) {
            Some(dialled) => {
                dialled.sender = None;
                dialled.since = self.clock.now();
                std::mem::take(&mut dialled.pending)
            }
            None => HashMap::new(),
        };
        lose(node, pending);
        self.note(
            LogEvent::new("keeper_lost")
                .with("keeper", node)
                .with("why", error),
        );
    }

    fn hear(&self, node: &Arc<str>, message: KeeperMessage) {
        let KeeperMessage::Tell(ticket, reply) = message else {
            return;
        };
        let mut inner = self.inner();
        let Some(dialled) = inner.keepers.get_mut(node) else {
            return;
        };
        // After a noted turn, its syncing is still to come.
        let more = matches!(reply, KeeperReply::Noted { .. } | KeeperReply::Ends(_));
        let asker = if more {
            dialled.pending.get(&ticket).cloned()
        } else {
            dialled.pending.remove(&ticket)
        };
        drop(inner);
        if let Some(asker) = asker {
            let heard = Heard {
                node: node.clone(),
                reply: Some(reply),
            };
            // Whoever asked may have left.
            let _ = asker.try_send(heard);
        }
    }

    fn note(&self, note: LogEvent) {
        log::note(self.hello.node.as_str(), &note);
    }
}

fn lose(node: &Arc<str>, pending: HashMap<RequestId, HeardSender>) {
    for asker in pending.into_values() {
        let _ = asker.try_send(Heard {
            node: node.clone(),
            reply: None,
        });
    }
}
