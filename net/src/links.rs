//! All links of one process: dials the peers that the registry names, takes
//! the ones that dial, and replaces those that break.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetferry_lib::id::Boot;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::message::Message;
use smol::net::TcpListener;

use crate::essential;
use crate::peer;
use crate::peer::Hello;
use crate::peer::Link;
use crate::strangers::Strangers;

/// First wait before a lost link is dialled again.
const REDIAL_FIRST: Duration = Duration::from_millis(50);
/// Longest wait before a lost link is dialled again.
const REDIAL_MOST: Duration = Duration::from_secs(2);

/// What links tell the reducer's task.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link was made; one to the same process before it is void.
    Up {
        /// The other process.
        node: NodeId,
        /// Its life.
        boot: Boot,
        /// Tells this link from others to the same process.
        link: u64,
        /// Takes messages for it.
        sender: async_channel::Sender<Message>,
    },
    /// A link was lost.
    Down {
        /// The other process.
        node: NodeId,
        /// The link.
        link: u64,
        /// Why.
        why: String,
    },
    /// A message came.
    Message {
        /// The other process.
        node: NodeId,
        /// The link that it came by.
        link: u64,
        /// The message.
        message: Message,
    },
}

/// What a link event means for the reducer.
#[derive(Debug)]
pub enum PeerEvent {
    /// There is a link.
    Up {
        /// The other process.
        node: NodeId,
        /// Its life.
        boot: Boot,
    },
    /// There is no link any more.
    Down {
        /// The other process.
        node: NodeId,
        /// Why.
        why: String,
    },
    /// A message came.
    Message {
        /// The other process.
        node: NodeId,
        /// The message.
        message: Message,
    },
}

/// Makes and takes links for one process.
pub struct Links {
    hello: Hello,
    events: async_channel::Sender<LinkEvent>,
    serial: AtomicU64,
    dialled: Mutex<HashMap<NodeId, String>>,
}

impl Links {
    /// Makes the links of a process; they report to `events`.
    pub fn new(hello: Hello, events: async_channel::Sender<LinkEvent>) -> Arc<Self> {
        Arc::new(Self {
            hello,
            events,
            serial: AtomicU64::new(0),
            dialled: Mutex::default(),
        })
    }

    /// Takes links on `listener` for as long as the process runs.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        let strangers = Strangers::new(peer::MAX_STRANGERS);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                smol::Timer::after(REDIAL_FIRST).await;
                continue;
            };
            let (this, strangers) = (self.clone(), strangers.clone());
            smol::spawn(async move {
                match peer::accept(stream, &this.hello, peer::WINDOW, &strangers).await {
                    Ok(link) => this.carry(link).await,
                    Err(error) => log::warn!("event=link_refused why={:?}", error.to_string()),
                }
            })
            .detach();
        }
    }

    /// Keeps a link to each of `nodes` from now on, and gives up dialling
    /// others.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn dial(self: &Arc<Self>, nodes: &[(NodeId, String)]) {
        let mut dialled = self.dialled.lock().expect("no panic while locked");
        dialled.retain(|node, address| nodes.iter().any(|(n, a)| n == node && a == address));
        for (node, address) in nodes {
            if dialled.contains_key(node) || *node == self.hello.node {
                continue;
            }
            dialled.insert(node.clone(), address.clone());
            let this = self.clone();
            let (node, address) = (node.clone(), address.clone());
            smol::spawn(async move {
                let own = this.hello.node.clone();
                let dialling = this.keep_dialling(node, address);
                essential::without_panic(own.as_str(), "link", dialling).await;
            })
            .detach();
        }
    }

    fn wants(&self, node: &NodeId, address: &str) -> bool {
        let dialled = self.dialled.lock().expect("no panic while locked");
        dialled.get(node).is_some_and(|known| known == address)
    }

    async fn keep_dialling(self: Arc<Self>, node: NodeId, address: String) {
        let mut wait = REDIAL_FIRST;
        while self.wants(&node, &address) {
            match peer::dial(&address, &self.hello).await {
                Ok(link) if link.peer.node == node => {
                    wait = REDIAL_FIRST;
                    self.carry(link).await;
                }
                Ok(link) => {
                    let other = link.peer.node;
                    log::warn!("event=link_crossed node={node} address={address} other={other}");
                }
                Err(error) => {
                    log::debug!("event=dial_failed node={node} why={:?}", error.to_string())
                }
            }
            // Jitter keeps many entries from dialling a server that is back
            // all at once.
            let jitter = rand::random_range(0.5..1.5);
            smol::Timer::after(wait.mul_f64(jitter)).await;
            wait = (wait * 2).min(REDIAL_MOST);
        }
    }

    async fn carry(&self, link: Link) {
        let id = self.serial.fetch_add(1, Ordering::Relaxed);
        let (sender, outgoing) = async_channel::unbounded();
        let node = link.peer.node.clone();
        let up = LinkEvent::Up {
            node: node.clone(),
            boot: link.peer.boot,
            link: id,
            sender,
        };
        if self.events.send(up).await.is_err() {
            return;
        }
        let error = link
            .run(outgoing, &self.events, |message| LinkEvent::Message {
                node: node.clone(),
                link: id,
                message,
            })
            .await;
        let down = LinkEvent::Down {
            node,
            link: id,
            why: error.to_string(),
        };
        let _ = self.events.send(down).await;
    }
}

/// The links that are up, as the reducer's task sees them.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: HashMap<NodeId, (u64, async_channel::Sender<Message>)>,
}

impl LinkTable {
    /// Takes an event over and returns what it means for the reducer, in
    /// order. What comes by a link that was replaced is dropped: it is from
    /// before a loss, and what became of the work is asked anew.
    pub fn take(&mut self, event: LinkEvent) -> Vec<PeerEvent> {
        match event {
            LinkEvent::Up {
                node,
                boot,
                link,
                sender,
            } => {
                // Dropping the older link's sender closes that link. It may be
                // the one that the other end uses, if its dials crossed; that
                // end then dials anew.
                let old = self.links.insert(node.clone(), (link, sender));
                let why = "replaced by a newer one".to_owned();
                let down = old.map(|_| PeerEvent::Down {
                    node: node.clone(),
                    why,
                });
                down.into_iter()
                    .chain([PeerEvent::Up { node, boot }])
                    .collect()
            }
            LinkEvent::Down { node, link, why } if self.is_current(&node, link) => {
                self.links.remove(&node);
                vec![PeerEvent::Down { node, why }]
            }
            LinkEvent::Message {
                node,
                link,
                message,
            } if self.is_current(&node, link) => vec![PeerEvent::Message { node, message }],
            LinkEvent::Down { .. } | LinkEvent::Message { .. } => Vec::new(),
        }
    }

    fn is_current(&self, node: &NodeId, link: u64) -> bool {
        self.links.get(node).is_some_and(|(id, _)| *id == link)
    }

    /// Sends a message, if there is a link. A link that cannot keep up is
    /// closed: it is made anew, and what became of the work is asked.
    pub fn send(&mut self, to: &NodeId, message: Message) {
        if let Some((_, sender)) = self.links.get(to)
            && (sender.len() >= peer::MAX_WAITING || sender.try_send(message).is_err())
        {
            sender.close();
        }
    }

    /// Returns the number of links.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns whether there is no link.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
