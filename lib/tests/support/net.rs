//! Simulated links between processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use limpetferry_lib::id::NodeId;
use limpetferry_lib::message::Message;

/// The two ends of a link, in ascending order.
pub type Pair = (NodeId, NodeId);

/// An event on a link that one end has not handled yet.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// The link to the other process was established.
    Up(NodeId),
    /// The link to the other process was lost.
    Down(NodeId),
    /// A message arrived from the other process.
    Message(NodeId, Box<Message>),
}

/// All links. Each direction has an inbox that preserves the order, like TCP.
#[derive(Debug, Default)]
pub struct Net {
    up: BTreeSet<Pair>,
    partitioned: BTreeSet<Pair>,
    inboxes: BTreeMap<(NodeId, NodeId), VecDeque<LinkEvent>>,
}

fn pair(a: &NodeId, b: &NodeId) -> Pair {
    if a < b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

impl Net {
    /// Sends a message; drops it if there is no link.
    pub fn send(&mut self, from: &NodeId, to: &NodeId, message: Message) {
        if self.up.contains(&pair(from, to)) {
            let inbox = self.inboxes.entry((from.clone(), to.clone())).or_default();
            inbox.push_back(LinkEvent::Message(from.clone(), Box::new(message)));
        }
    }

    /// Breaks a link. Unread messages are lost. Each end gets the event
    /// separately.
    pub fn cut(&mut self, a: &NodeId, b: &NodeId) {
        if !self.up.remove(&pair(a, b)) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let inbox = self.inboxes.entry((from.clone(), to.clone())).or_default();
            inbox.retain(|notice| !matches!(notice, LinkEvent::Message(..)));
            inbox.push_back(LinkEvent::Down(from.clone()));
        }
    }

    /// Breaks all links of a crashed process and clears its inboxes.
    pub fn drop_node(&mut self, node: &NodeId) {
        let links: Vec<Pair> = self
            .up
            .iter()
            .filter(|(a, b)| a == node || b == node)
            .cloned()
            .collect();
        for (a, b) in links {
            self.cut(&a, &b);
        }
        for ((_, to), inbox) in &mut self.inboxes {
            if to == node {
                inbox.clear();
            }
        }
    }

    /// Establishes a link, unless it exists or the ends are partitioned.
    pub fn connect(&mut self, a: &NodeId, b: &NodeId) {
        let key = pair(a, b);
        if self.partitioned.contains(&key) || !self.up.insert(key) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let inbox = self.inboxes.entry((from.clone(), to.clone())).or_default();
            inbox.push_back(LinkEvent::Up(from.clone()));
        }
    }

    /// Breaks the link between two processes and prevents a new one.
    pub fn partition(&mut self, a: &NodeId, b: &NodeId) {
        self.cut(a, b);
        self.partitioned.insert(pair(a, b));
    }

    /// Allows links between all processes again.
    pub fn heal_partitions(&mut self) {
        self.partitioned.clear();
    }

    /// Returns the established links.
    pub fn links(&self) -> Vec<Pair> {
        self.up.iter().cloned().collect()
    }

    /// Returns the directions with unhandled events whose receiver passes
    /// `may`.
    pub fn pending_directions(&self, may: impl Fn(&NodeId) -> bool) -> Vec<(NodeId, NodeId)> {
        let full = self
            .inboxes
            .iter()
            .filter(|((_, to), inbox)| !inbox.is_empty() && may(to));
        full.map(|(direction, _)| direction.clone()).collect()
    }

    /// Removes and returns the next event in a direction.
    pub fn pop(&mut self, direction: &(NodeId, NodeId)) -> Option<LinkEvent> {
        self.inboxes.get_mut(direction)?.pop_front()
    }
}
