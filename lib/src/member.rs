//! Which processes are there, and which of them may get new work: one rule
//! over the registry, the VM list, links and leave notices.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Boot;
use crate::id::DataCentre;
use crate::id::NodeId;
use crate::time::Time;

/// Shortest time that a link must last before its server gets work again,
/// after it was lost.
const STEADY: Duration = Duration::from_millis(250);
/// Longest such time, however often the link was lost.
const STEADY_MAX: Duration = Duration::from_secs(16);
/// A link that lasted this long is forgiven its earlier losses.
const FORGIVEN: Duration = Duration::from_secs(60);

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers and owns shards.
    Entry,
    /// Stands beside a backend server.
    Side,
}

/// A process as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name.
    pub id: NodeId,
    /// What it does.
    pub role: Role,
    /// Data centre that it runs in.
    pub centre: DataCentre,
    /// IP address and port for the system's other processes.
    pub address: String,
    /// Its VM's name in the VM list.
    pub vm: String,
}

/// What the VM list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listed {
    /// It is there.
    Live,
    /// It is about to go.
    Leaving,
    /// The list does not have it, or has not been read.
    Absent,
}

/// Load that a side process reports of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Tokens that the waiting and running calls still need, as estimated.
    pub tokens: u64,
    /// Time of a running call for each piece of an answer, in microseconds;
    /// zero if it is not known.
    pub pace: u32,
}

#[derive(Clone, Copy, Debug)]
enum Link {
    Up { since: Time, boot: Boot },
    Down { since: Time },
}

/// What is known of one process.
#[derive(Clone, Debug)]
pub struct Member {
    /// How it registered.
    pub node: Node,
    link: Link,
    listed: Listed,
    leaving: bool,
    drained: bool,
    losses: u32,
    load: Load,
    heard: Time,
}

impl Member {
    /// Returns the life that the link leads to, if there is a link.
    pub fn boot(&self) -> Option<Boot> {
        match self.link {
            Link::Up { boot, .. } => Some(boot),
            Link::Down { .. } => None,
        }
    }

    /// Returns the last reported load.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Returns how old the reported load is.
    pub fn load_age(&self, now: Time) -> Duration {
        now.since(self.heard)
    }

    /// Returns whether it gave notice, an operator drains it, or the VM list
    /// says that it goes.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.drained || self.listed == Listed::Leaving
    }

    /// Returns how long there has been no link; zero while there is one.
    pub fn silence(&self, now: Time) -> Duration {
        match self.link {
            Link::Up { .. } => Duration::ZERO,
            Link::Down { since } => now.since(since),
        }
    }

    fn is_steady(&self, now: Time) -> bool {
        let Link::Up { since, .. } = self.link else {
            return false;
        };
        if self.losses == 0 {
            return true;
        }
        let factor = 1 << self.losses.min(8).saturating_sub(1);
        now.since(since) >= (STEADY * factor).min(STEADY_MAX)
    }
}

/// All processes that this one knows of.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: BTreeMap<NodeId, Member>,
    /// Links to processes whose registration has not been read yet. A link
    /// and a registration come by different ways, in either order.
    early: BTreeMap<NodeId, Link>,
    /// Entries among them; counted, since each call asks.
    entries: u64,
}

impl Members {
    /// Takes over registrations.
    pub fn register<'a>(&mut self, now: Time, nodes: impl IntoIterator<Item = &'a Node>) {
        for node in nodes {
            self.register_one(now, node);
        }
        self.count_entries();
    }

    fn register_one(&mut self, now: Time, node: &Node) {
        let early = self.early.remove(&node.id);
        let fresh = || Member {
            node: node.clone(),
            link: early.unwrap_or(Link::Down { since: now }),
            listed: Listed::Absent,
            leaving: false,
            drained: false,
            losses: 0,
            load: Load::default(),
            heard: now,
        };
        let member = self.known.entry(node.id.clone()).or_insert_with(fresh);
        if member.node != *node {
            member.node = node.clone();
        }
    }

    fn count_entries(&mut self) {
        let entries = self.known.values().filter(|m| m.node.role == Role::Entry);
        self.entries = entries.count() as u64;
    }

    /// Returns the number of other entries.
    pub fn entries(&self) -> u64 {
        self.entries
    }

    /// Removes a process that took back its registration.
    pub fn remove(&mut self, id: &NodeId) {
        self.known.remove(id);
        self.count_entries();
    }

    /// Notes that a link to `id`, in the life `boot`, was made.
    pub fn link_up(&mut self, now: Time, id: &NodeId, boot: Boot) {
        let link = Link::Up { since: now, boot };
        let Some(member) = self.known.get_mut(id) else {
            self.early.insert(id.clone(), link);
            return;
        };
        member.link = link;
        member.leaving = false;
    }

    /// Notes that the link to `id` was lost.
    pub fn link_down(&mut self, now: Time, id: &NodeId) {
        let Some(member) = self.known.get_mut(id) else {
            self.early.remove(id);
            return;
        };
        if let Link::Up { since, .. } = member.link {
            if now.since(since) >= FORGIVEN {
                member.losses = 0;
            }
            member.losses += 1;
            member.link = Link::Down { since: now };
        }
    }

    /// Takes over a reading of the VM list; `state` tells of each VM.
    pub fn listed(&mut self, state: impl Fn(&str) -> Listed) {
        for member in self.known.values_mut() {
            member.listed = state(&member.node.vm);
        }
    }

    /// Takes over the names of processes that operators drain.
    pub fn drained(&mut self, names: &[NodeId]) {
        for (id, member) in &mut self.known {
            member.drained = names.contains(id);
        }
    }

    /// Takes over a report of `id` about itself.
    pub fn heard(&mut self, now: Time, id: &NodeId, load: Load, leaving: bool) {
        if let Some(member) = self.known.get_mut(id) {
            member.load = load;
            member.heard = now;
            member.leaving = leaving;
        }
    }

    /// Returns what is known of `id`.
    pub fn get(&self, id: &NodeId) -> Option<&Member> {
        self.known.get(id)
    }

    /// Returns all members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    /// Returns whether there is a link to `id`.
    pub fn is_linked(&self, id: &NodeId) -> bool {
        self.boot(id).is_some()
    }

    /// Returns the life of `id` that the link leads to.
    pub fn boot(&self, id: &NodeId) -> Option<Boot> {
        self.known.get(id)?.boot()
    }

    /// Returns whether `id` may get new work. A process's own leave notice
    /// and a drain always count. The VM list and lost links count unless
    /// either would take out more than half of the linked processes of the
    /// same role: then the list is more likely to be wrong, and servers that
    /// flap are better than none.
    pub fn in_service(&self, now: Time, id: &NodeId) -> bool {
        let Some(member) = self.known.get(id) else {
            return false;
        };
        if member.leaving || member.drained || member.boot().is_none() {
            return false;
        }
        let role = member.node.role;
        let listed = |member: &Member| member.listed == Listed::Leaving;
        let unsteady = |member: &Member| !member.is_steady(now);
        let out = listed(member) && self.is_few(role, listed)
            || unsteady(member) && self.is_few(role, unsteady);
        !out
    }

    /// Returns whether at most half of the linked processes of a role are
    /// such as `is_out` says.
    fn is_few(&self, role: Role, is_out: impl Fn(&Member) -> bool) -> bool {
        let linked = self
            .known
            .values()
            .filter(|member| member.node.role == role && member.boot().is_some());
        let (mut total, mut out) = (0_usize, 0_usize);
        for member in linked {
            total += 1;
            out += usize::from(is_out(member));
        }
        out * 2 <= total
    }

    /// Returns whether `id` has been without a link for `wait`, or is unknown.
    pub fn is_silent(&self, now: Time, id: &NodeId, wait: Duration) -> bool {
        match self.known.get(id) {
            Some(member) => member.boot().is_none() && member.silence(now) >= wait,
            None => true,
        }
    }
}
