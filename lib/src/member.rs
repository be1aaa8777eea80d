//! Tracks the other processes, and decides from the registry, the VM list, links
//! and leave notices which of them may be given new work.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Boot;
use crate::id::DataCentre;
use crate::id::NodeId;
use crate::time::Time;

/// Time that a re-established link must last before its server gets work, after
/// the first loss. Doubles with each further loss.
const MIN_STABLE: Duration = Duration::from_millis(250);
/// Upper limit of that time.
const MAX_STABLE: Duration = Duration::from_secs(16);
/// When a link that lasted this long is lost, earlier losses no longer count.
const LOSS_RESET: Duration = Duration::from_secs(60);

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers and owns shards of programs.
    Entry,
    /// Runs next to a backend server, as its sidecar.
    Side,
}

/// Registration of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name.
    pub id: NodeId,
    /// Its role.
    pub role: Role,
    /// Data centre that it runs in.
    pub centre: DataCentre,
    /// IP address and port for the system's other processes.
    pub address: String,
    /// Name of its VM in the VM list.
    pub vm: String,
}

/// State of a VM in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In operation.
    Live,
    /// About to be removed.
    Leaving,
    /// Not in the list, or the list has not been read yet.
    Absent,
}

/// Load of a backend server, as reported by its side process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Running calls.
    pub running: u32,
    /// Queued calls.
    pub queued: u32,
    /// Estimated number of tokens that the queued and running calls still need.
    pub tokens: u64,
    /// Mean time that a running call needs for each streamed piece of its answer,
    /// in microseconds; zero if unknown.
    pub pace: u32,
}

#[derive(Clone, Copy, Debug)]
enum Link {
    Up { since: Time, boot: Boot },
    Down { since: Time },
}

/// State of one process.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its registration.
    pub node: Node,
    link: Link,
    listed: VmState,
    leaving: bool,
    drained: bool,
    losses: u32,
    load: Load,
    reported_at: Time,
}

impl Member {
    /// Returns the boot id of the process at the other end of the link, if there is
    /// a link.
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

    /// Returns the age of the last reported load.
    pub fn load_age(&self, now: Time) -> Duration {
        now.since(self.reported_at)
    }

    /// Returns whether it announced that it leaves, an operator drains it, or its VM
    /// is about to be removed.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.drained || self.listed == VmState::Leaving
    }

    /// Returns the time since the link was lost; zero while there is one.
    pub fn time_without_link(&self, now: Time) -> Duration {
        match self.link {
            Link::Up { .. } => Duration::ZERO,
            Link::Down { since } => now.since(since),
        }
    }

    fn is_stable(&self, now: Time) -> bool {
        let Link::Up { since, .. } = self.link else {
            return false;
        };
        if self.losses == 0 {
            return true;
        }
        let factor = 1 << self.losses.min(8).saturating_sub(1);
        now.since(since) >= (MIN_STABLE * factor).min(MAX_STABLE)
    }
}

/// All other processes that this process has registrations or links of.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: BTreeMap<NodeId, Member>,
    /// Links to processes whose registration has not been read yet. Links and
    /// registrations arrive through different channels, in either order.
    unregistered: BTreeMap<NodeId, Link>,
    /// Number of processes with the role `Entry`; cached, since every call needs
    /// it.
    entries: u64,
}

impl Members {
    /// Applies registrations.
    pub fn register<'a>(&mut self, now: Time, nodes: impl IntoIterator<Item = &'a Node>) {
        for node in nodes {
            self.register_one(now, node);
        }
        self.count_entries();
    }

    fn register_one(&mut self, now: Time, node: &Node) {
        let unregistered = self.unregistered.remove(&node.id);
        let new_member = || Member {
            node: node.clone(),
            link: unregistered.unwrap_or(Link::Down { since: now }),
            listed: VmState::Absent,
            leaving: false,
            drained: false,
            losses: 0,
            load: Load::default(),
            reported_at: now,
        };
        let member = self.known.entry(node.id.clone()).or_insert_with(new_member);
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

    /// Removes a process that deleted its registration.
    pub fn remove(&mut self, id: &NodeId) {
        self.known.remove(id);
        self.count_entries();
    }

    /// Records that a link to `id` with the boot id `boot` was established.
    pub fn link_up(&mut self, now: Time, id: &NodeId, boot: Boot) {
        let link = Link::Up { since: now, boot };
        let Some(member) = self.known.get_mut(id) else {
            self.unregistered.insert(id.clone(), link);
            return;
        };
        member.link = link;
        member.leaving = false;
    }

    /// Records that the link to `id` was lost.
    pub fn link_down(&mut self, now: Time, id: &NodeId) {
        let Some(member) = self.known.get_mut(id) else {
            self.unregistered.remove(id);
            return;
        };
        if let Link::Up { since, .. } = member.link {
            if now.since(since) >= LOSS_RESET {
                member.losses = 0;
            }
            member.losses += 1;
            member.link = Link::Down { since: now };
        }
    }

    /// Applies the VM list; `state` returns the state of a VM by its name.
    pub fn apply_vm_list(&mut self, state: impl Fn(&str) -> VmState) {
        for member in self.known.values_mut() {
            member.listed = state(&member.node.vm);
        }
    }

    /// Applies the names of processes that operators drain.
    pub fn set_drained(&mut self, names: &[NodeId]) {
        for (id, member) in &mut self.known {
            member.drained = names.contains(id);
        }
    }

    /// Applies a report of the process `id` on its load and whether it leaves.
    pub fn apply_report(&mut self, now: Time, id: &NodeId, load: Load, leaving: bool) {
        if let Some(member) = self.known.get_mut(id) {
            member.load = load;
            member.reported_at = now;
            member.leaving = leaving;
        }
    }

    /// Returns the state of `id`.
    pub fn get(&self, id: &NodeId) -> Option<&Member> {
        self.known.get(id)
    }

    /// Returns all members, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    /// Returns whether there is a link to `id`.
    pub fn is_linked(&self, id: &NodeId) -> bool {
        self.boot(id).is_some()
    }

    /// Returns the boot id of `id`, if it is linked.
    pub fn boot(&self, id: &NodeId) -> Option<Boot> {
        self.known.get(id)?.boot()
    }

    /// Returns whether `id` may be given new work. A process that announced that it
    /// leaves, is drained or has no link gets none. Processes that leave by the VM
    /// list, or whose links flap, get none either, unless the respective rule
    /// would exclude more than half of the linked processes of the same role: then
    /// the list is more likely to be wrong, and flapping servers are better than
    /// none.
    pub fn in_service(&self, now: Time, id: &NodeId) -> bool {
        let Some(member) = self.known.get(id) else {
            return false;
        };
        if member.leaving || member.drained || member.boot().is_none() {
            return false;
        }
        let role = member.node.role;
        let listed = |member: &Member| member.listed == VmState::Leaving;
        let unstable = |member: &Member| !member.is_stable(now);
        let out = listed(member) && self.is_at_most_half(role, listed)
            || unstable(member) && self.is_at_most_half(role, unstable);
        !out
    }

    /// Returns whether at most half of the linked processes of a role match
    /// `is_out`.
    fn is_at_most_half(&self, role: Role, is_out: impl Fn(&Member) -> bool) -> bool {
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

    /// Returns whether `id` has had no link for at least `wait`, or is unknown.
    pub fn has_no_link_for(&self, now: Time, id: &NodeId, wait: Duration) -> bool {
        match self.known.get(id) {
            Some(member) => member.boot().is_none() && member.time_without_link(now) >= wait,
            None => true,
        }
    }
}
