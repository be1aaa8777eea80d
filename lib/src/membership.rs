//! Membership of the keepers, and the placement of programs on them.
//!
//! A turn is committed when a majority of its program's replicas has it on
//! disk, so any two majorities share a keeper. While the list of keepers
//! changes, a turn needs a majority of the replicas by the old list and one of
//! those by the new list (joint consensus).

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;

/// Name that is hashed to select the keepers that watch the platform's store,
/// in the same way as a program's id is hashed to select its replicas.
const STORE_WATCH_NAME: &str = "platform store";

/// Role of a keeper in a change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// In the list before and after the change.
    Member,
    /// Added by the change.
    Joining,
    /// Removed by the change.
    Leaving,
}

/// One keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    /// Name of the process.
    pub node: Arc<str>,
    /// Address for the system's other processes.
    pub address: SocketAddr,
    /// Role in the current change of the list.
    pub standing: MemberState,
    /// Whether it has copied all turns that it has to store by the list after the
    /// change, and has not lost its disk since.
    pub ready: bool,
}

/// A change of the list that a keeper requests for itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListRequest {
    /// The keeper joins.
    Join {
        /// Name of the keeper.
        node: Arc<str>,
        /// Address for the system's other processes.
        address: SocketAddr,
    },
    /// The keeper has copied all turns that it has to store.
    Ready {
        /// Name of the keeper.
        node: Arc<str>,
        /// [`Membership::moved`] of the list by which it copied.
        moved: u64,
    },
}

/// The list of keepers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Version of the list; grows with each change.
    pub epoch: u64,
    /// Epoch of the latest list that assigned programs to remaining keepers which
    /// did not store them before. What was copied by that list or a later one
    /// need not be copied again: since then every turn has been sent to all
    /// keepers that have to store it.
    #[serde(default)]
    pub moved: u64,
    /// Whether turns may be stored; set once enough keepers have joined.
    pub open: bool,
    /// The keepers, in the order in which they joined.
    pub keepers: Vec<Keeper>,
}

/// The replicas of one program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replicas {
    /// Indices in the list of keepers, highest rendezvous weight first.
    pub keepers: Vec<usize>,
    before: Vec<usize>,
    after: Vec<usize>,
}

impl Replicas {
    /// Returns whether `have` is true for a majority of the replicas before the
    /// change and for a majority of those after it.
    pub fn majority(&self, have: impl Fn(usize) -> bool) -> bool {
        let has_majority = |set: &[usize]| {
            let count = set.iter().filter(|&&at| have(at)).count();
            count > set.len() / 2
        };
        !self.keepers.is_empty() && has_majority(&self.before) && has_majority(&self.after)
    }
}

/// Lost keepers among those before or after a change of the list.
#[derive(Clone, Copy, Debug)]
struct Losses {
    lost: usize,
    size: usize,
    majority: usize,
}

impl Losses {
    fn is_reached(self) -> bool {
        self.lost + self.majority <= self.size
    }
}

impl Membership {
    /// Returns whether a change of the list is in progress.
    pub fn is_changing(&self) -> bool {
        let mut keepers = self.keepers.iter();
        keepers.any(|keeper| keeper.standing != MemberState::Member)
    }

    /// Returns how many other keepers may be missing while `node` copies what it
    /// has to store, such that it still receives every committed turn. A keeper
    /// that lost its data (`lost_data`) needs one more source: its own
    /// acknowledgement may have been part of a turn's majority.
    pub fn max_missing(&self, node: &str, lost_data: bool, faults: usize) -> usize {
        let before = self.keepers.iter();
        let before = before.filter(|keeper| keeper.standing != MemberState::Joining);
        let set = before.count().min(2 * faults + 1);
        let majority = set / 2 + 1;
        let own = lost_data && self.place(node).is_some();
        majority.saturating_sub(if own { 2 } else { 1 })
    }

    /// Returns whether a keeper that cannot reach the keepers `unreachable` is
    /// probably isolated itself, because they are more than may fail at once. Its
    /// data from the platform's store is then not to be relied on: its watch may
    /// have been interrupted for as long.
    pub fn is_isolated(&self, unreachable: &[Arc<str>], faults: usize) -> bool {
        let lost = self.remaining();
        let lost = lost.filter(|keeper| unreachable.contains(&keeper.node));
        lost.count() > faults
    }

    /// Returns the smallest number of members of which a majority is at least
    /// `faults + 1`, so that each turn outlives the tolerated losses.
    pub fn min_members(faults: usize) -> usize {
        (2 * faults).max(1)
    }

    /// Returns a keeper to remove from the list, one of those that `timed_out`, if
    /// enough can be reached without it, or turns cannot be stored with it.
    /// `unreachable` are all keepers that cannot be reached now: if they are more than
    /// `faults`, the caller is probably isolated itself and leaves the decision to the
    /// others.
    ///
    /// The change is completed by those that can be reached: they copy from each other,
    /// and each majority includes one of them.
    pub fn keeper_to_replace(
        &self,
        timed_out: &[Arc<str>],
        unreachable: &[Arc<str>],
        faults: usize,
    ) -> Option<&Keeper> {
        let [before, after] = self.majorities_without(unreachable, faults);
        let can_copy = before.lost < before.majority;
        let is_stopped = !before.is_reached() || !after.is_reached();
        let are_enough = self.reached(unreachable).count() >= Self::min_members(faults);
        let is_wanted = can_copy && (are_enough || is_stopped);
        if !is_wanted || self.is_isolated(unreachable, faults) {
            return None;
        }
        self.remaining()
            .find(|keeper| timed_out.contains(&keeper.node))
    }

    /// Returns how many of the keepers before and after a change are `unreachable`, of
    /// how many.
    fn majorities_without(&self, unreachable: &[Arc<str>], faults: usize) -> [Losses; 2] {
        [MemberState::Joining, MemberState::Leaving].map(|without| {
            let set = self.keepers.iter().filter(|one| one.standing != without);
            let lost = set.clone().filter(|one| unreachable.contains(&one.node));
            let size = set.count().min(2 * faults + 1);
            Losses {
                lost: lost.count(),
                size,
                majority: size / 2 + 1,
            }
        })
    }

    /// Returns the keepers that are not leaving and can be reached.
    fn reached(&self, unreachable: &[Arc<str>]) -> impl Iterator<Item = &Keeper> {
        let reached = |keeper: &&Keeper| !unreachable.contains(&keeper.node);
        self.remaining().filter(reached)
    }

    /// Returns the list with a leaving keeper as a member again, if too few of the
    /// others can be reached to store turns without it. `None` if it is not leaving.
    ///
    /// Until the change is completed each turn has a majority of the members that
    /// includes the leaving keeper.
    pub fn with_needed(&self, node: &str, unreachable: &[Arc<str>], faults: usize) -> Option<Self> {
        let at = self.place(node)?;
        let is_leaving = self.keepers[at].standing == MemberState::Leaving;
        if !is_leaving || self.reached(unreachable).count() >= Self::min_members(faults) {
            return None;
        }
        let mut next = self.with_new_epoch();
        next.keepers[at].standing = MemberState::Member;
        Some(next)
    }

    /// Returns the list without the `unreachable` keepers if exactly one keeper
    /// remains and it has every committed turn; `None` otherwise. This is the case
    /// with two keepers, since a majority of two is both. With more, the one that
    /// remains may have lost its disk, and committed turns may be stored only by
    /// the unreachable keepers.
    ///
    /// Without this rule, after one of three keepers had been emptied and
    /// removed, the loss of one of the remaining two stopped all turns until it
    /// was back.
    pub fn without_unreachable(&self, unreachable: &[Arc<str>], faults: usize) -> Option<Self> {
        let lost = |keeper: &Keeper| unreachable.contains(&keeper.node);
        let lost_count = self.keepers.iter().filter(|keeper| lost(keeper)).count();
        let total = self.keepers.len();
        let majority_is_all = total / 2 + 1 == total;
        if self.is_changing()
            || !majority_is_all
            || lost_count + 1 != total
            || !(1..=faults).contains(&lost_count)
        {
            return None;
        }
        let mut next = self.with_new_epoch();
        next.moved = next.epoch;
        next.keepers.retain(|keeper| !lost(keeper));
        Some(next)
    }

    /// Returns whether a turn certainly does not exist: so many keepers `never`
    /// stored it that the others are too few for a majority of its replicas.
    /// Answers of joining keepers are not counted: they may have an earlier state
    /// and have not copied yet.
    pub fn rules_out(&self, never: &HashSet<Arc<str>>, faults: usize) -> bool {
        let members = || {
            let keepers = self.keepers.iter();
            keepers.filter(|keeper| keeper.standing != MemberState::Joining)
        };
        let votes = members().filter(|keeper| never.contains(&keeper.node));
        let count = members().count();
        let majority = count.min(2 * faults + 1) / 2 + 1;
        count > 0 && votes.count() + majority > count
    }

    /// Returns the keepers that watch the platform's store on behalf of all
    /// others, in the same order in every process. They are as many as a program
    /// has replicas, so that some remain after any tolerated failure. Each change
    /// of the store costs one call for each watch, so the number of watches must
    /// not grow with that of the keepers.
    pub fn watchers(&self, faults: usize) -> Vec<&Keeper> {
        let mut watchers = self.ranked_for(STORE_WATCH_NAME);
        watchers.truncate(2 * faults + 1);
        watchers
    }

    /// Returns the keepers that are not leaving, ranked for a name such as that of
    /// a workspace: first the one responsible for it, then its standbys.
    pub fn ranked_for(&self, name: &str) -> Vec<&Keeper> {
        let mut remaining: Vec<&Keeper> = self.remaining().collect();
        remaining.sort_by_cached_key(|keeper| std::cmp::Reverse(weight(&keeper.node, name)));
        remaining
    }

    /// Returns the keepers that are not leaving.
    pub fn remaining(&self) -> impl Iterator<Item = &Keeper> {
        let keepers = self.keepers.iter();
        keepers.filter(|keeper| keeper.standing != MemberState::Leaving)
    }

    /// Returns the list with all requested changes applied; `None` if none of them
    /// changes it.
    pub fn with_requests(&self, requests: &[ListRequest], faults: usize) -> Option<Self> {
        let mut next: Option<Self> = None;
        for request in requests {
            let list = next.as_ref().unwrap_or(self);
            let changed = match request {
                ListRequest::Join { node, address } => list.join(node, *address, faults),
                ListRequest::Ready { node, moved } if *moved == list.moved => list.ready(node),
                ListRequest::Ready { .. } => None,
            };
            next = changed.or(next);
        }
        next
    }

    /// Returns the index of a keeper in the list.
    pub fn place(&self, node: &str) -> Option<usize> {
        let mut keepers = self.keepers.iter();
        keepers.position(|keeper| &*keeper.node == node)
    }

    /// Returns the replicas of a program for a cluster that tolerates the
    /// simultaneous loss of `faults` keepers.
    pub fn replicas(&self, program: &str, faults: usize) -> Replicas {
        let mut ranked: Vec<usize> = (0..self.keepers.len()).collect();
        ranked.sort_by_key(|&at| std::cmp::Reverse(weight(&self.keepers[at].node, program)));
        let count = 2 * faults + 1;
        let set = |without: MemberState| -> Vec<usize> {
            let in_list = ranked.iter().copied();
            let in_list = in_list.filter(|&at| self.keepers[at].standing != without);
            in_list.take(count).collect()
        };
        let before = set(MemberState::Joining);
        let after = set(MemberState::Leaving);
        let keepers = ranked
            .iter()
            .copied()
            .filter(|at| before.contains(at) || after.contains(at))
            .collect();
        Replicas {
            keepers,
            before,
            after,
        }
    }

    /// Returns the list with a keeper added, or with its new address; `None` if it
    /// is listed with that address already. Until `2 * faults + 1` keepers have
    /// joined no turn is stored, so a keeper that joins before has nothing to
    /// copy.
    pub fn join(&self, node: &str, address: SocketAddr, faults: usize) -> Option<Self> {
        let mut next = self.with_new_epoch();
        if let Some(at) = self.place(node) {
            if self.keepers[at].address == address {
                return None;
            }
            next.keepers[at].address = address;
            return Some(next);
        }
        next.keepers.push(Keeper {
            node: node.into(),
            address,
            standing: if self.open {
                MemberState::Joining
            } else {
                MemberState::Member
            },
            ready: !self.open,
        });
        next.open |= next.keepers.len() > 2 * faults;
        Some(next)
    }

    /// Returns the list with a keeper that lost its disk marked as not ready. Once it
    /// copies by the new epoch, requests by an older one are refused, so that its
    /// acknowledgements from before the loss do not contribute to the majority of
    /// turns that other replicas have yet to store.
    pub fn with_lost_disk(&self, node: &str) -> Self {
        let mut next = self.with_new_epoch();
        // Requests to be marked as ready that it sent before are void.
        next.moved = next.epoch;
        for keeper in &mut next.keepers {
            keeper.ready &= *keeper.node != *node;
        }
        next
    }

    fn with_new_epoch(&self) -> Self {
        let mut next = self.clone();
        next.epoch += 1;
        next
    }

    /// Returns the list with a keeper marked as leaving, or without it if it was
    /// joining; `None` if it is leaving already or not listed.
    pub fn leave(&self, node: &str) -> Option<Self> {
        let at = self.place(node)?;
        let mut next = self.with_new_epoch();
        next.moved = next.epoch;
        match self.keepers[at].standing {
            MemberState::Leaving => return None,
            MemberState::Joining => {
                next.keepers.remove(at);
            }
            MemberState::Member => next.keepers[at].standing = MemberState::Leaving,
        }
        // The remaining keepers may be assigned programs that they did not store
        // before.
        for keeper in &mut next.keepers {
            keeper.ready = false;
        }
        Some(next)
    }

    /// Returns the list with a keeper marked as ready; completes a change if it was
    /// the last one. `None` if nothing changes.
    pub fn ready(&self, node: &str) -> Option<Self> {
        let at = self.place(node)?;
        if self.keepers[at].ready {
            return None;
        }
        let mut next = self.with_new_epoch();
        next.keepers[at].ready = true;
        let mut after = next.keepers.iter();
        if after.all(|keeper| keeper.ready || keeper.standing == MemberState::Leaving) {
            next.keepers
                .retain(|keeper| keeper.standing != MemberState::Leaving);
            for keeper in &mut next.keepers {
                keeper.standing = MemberState::Member;
            }
        }
        Some(next)
    }
}

/// Rendezvous hashing: the keepers with the largest weights store the program,
/// so a change of the list moves the minimum of programs.
fn weight(node: &str, program: &str) -> u64 {
    hash::mixed_fnv(node.bytes().chain([0]).chain(program.bytes()))
}
