//! Links between the processes of the world.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use limpetferry_lib::id::NodeId;
use limpetferry_lib::message::Message;

/// The two ends of a link, the lower name first.
pub type Pair = (NodeId, NodeId);

/// Something that a process has yet to notice about a link.
#[derive(Clone, Debug)]
pub enum Notice {
    /// The link is there.
    Up(NodeId),
    /// The link is lost.
    Down(NodeId),
    /// A message came by it.
    Message(NodeId, Box<Message>),
}

/// All links: an inbox for each direction, in order, as TCP keeps it.
#[derive(Debug, Default)]
pub struct Net {
    up: BTreeSet<Pair>,
    parted: BTreeSet<Pair>,
    inboxes: BTreeMap<(NodeId, NodeId), VecDeque<Notice>>,
}

fn pair(a: &NodeId, b: &NodeId) -> Pair {
    if a < b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

impl Net {
    /// Sends a message, if there is a link.
    pub fn send(&mut self, from: &NodeId, to: &NodeId, message: Message) {
        if self.up.contains(&pair(from, to)) {
            let inbox = self.inboxes.entry((from.clone(), to.clone())).or_default();
            inbox.push_back(Notice::Message(from.clone(), Box::new(message)));
        }
    }

    /// Breaks a link. What the receivers had not read is lost, and each end
    /// notices in its own time.
    pub fn cut(&mut self, a: &NodeId, b: &NodeId) {
        if !self.up.remove(&pair(a, b)) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let inbox = self.inboxes.entry((from.clone(), to.clone())).or_default();
            inbox.retain(|notice| !matches!(notice, Notice::Message(..)));
            inbox.push_back(Notice::Down(from.clone()));
        }
    }

    /// Breaks all links of a process that died; the dead notice nothing.
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

    /// Makes a link, unless there is one or the ends are parted.
    pub fn connect(&mut self, a: &NodeId, b: &NodeId) {
        let key = pair(a, b);
        if self.parted.contains(&key) || !self.up.insert(key) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let inbox = self.inboxes.entry((from.clone(), to.clone())).or_default();
            inbox.push_back(Notice::Up(from.clone()));
        }
    }

    /// Keeps two processes from reaching each other.
    pub fn part(&mut self, a: &NodeId, b: &NodeId) {
        self.cut(a, b);
        self.parted.insert(pair(a, b));
    }

    /// Lets all processes reach each other.
    pub fn mend(&mut self) {
        self.parted.clear();
    }

    /// Returns the links.
    pub fn links(&self) -> Vec<Pair> {
        self.up.iter().cloned().collect()
    }

    /// Returns the directions in which something waits to be noticed.
    pub fn waiting(&self, may: impl Fn(&NodeId) -> bool) -> Vec<(NodeId, NodeId)> {
        let full = self
            .inboxes
            .iter()
            .filter(|((_, to), inbox)| !inbox.is_empty() && may(to));
        full.map(|(direction, _)| direction.clone()).collect()
    }

    /// Takes what is to be noticed next in a direction.
    pub fn take(&mut self, direction: &(NodeId, NodeId)) -> Option<Notice> {
        self.inboxes.get_mut(direction)?.pop_front()
    }
}
