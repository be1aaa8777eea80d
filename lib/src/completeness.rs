//! Decides when keepers hold all that they have to store, by counting who has it:
//! before a keeper is removed with its disk, and after one has lost its disk.
//!
//! A committed turn is on as few as `faults + 1` disks, those of any majority of its
//! replicas. Only if every listed keeper holds all that it has to store are there as
//! many without the keeper that is removed.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::ledger;
use crate::membership::Keeper;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::routing::Routing;
use crate::time::Time;

/// How far the removal of a keeper has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Removal {
    /// Fewer than `needed` others would store turns: it goes on as a member.
    TooFewOthers {
        /// Number of other members that lack nothing.
        others: usize,
        /// Number of members that bear the tolerated losses.
        needed: usize,
    },
    /// It may be marked as leaving.
    MayLeave,
    /// The others copy what it has.
    Copying,
    /// It is off the list, and these keepers have not confirmed that they lack
    /// nothing.
    Unconfirmed(Vec<Arc<str>>),
    /// It may be removed with its disk.
    Complete,
}

impl Removal {
    /// Returns its name in log lines.
    pub fn label(&self) -> &'static str {
        match self {
            Self::TooFewOthers { .. } => "too_few_others",
            Self::MayLeave => "may_leave",
            Self::Copying => "copying",
            Self::Unconfirmed(_) => "unconfirmed",
            Self::Complete => "complete",
        }
    }
}

/// Returns how far the removal of the keeper `node` has come; `whole` are the keepers
/// that have just answered that they lack nothing.
pub fn removal(list: &Membership, node: &str, whole: &HashSet<Arc<str>>, faults: usize) -> Removal {
    let others = || list.keepers.iter().filter(|other| *other.node != *node);
    let standing = list.place(node).map(|at| list.keepers[at].standing);
    if standing == Some(MemberState::Leaving) {
        return Removal::Copying;
    }
    let is_listed = standing.is_some();
    let members = others().filter(|other| other.standing == MemberState::Member);
    let members = members.filter(|other| !is_listed || whole.contains(&other.node));
    let (others_left, needed) = (members.count(), Membership::min_members(faults));
    if others_left < needed {
        let others = others_left;
        return Removal::TooFewOthers { others, needed };
    }
    if is_listed {
        return Removal::MayLeave;
    }
    let holders = others().filter(|other| other.standing != MemberState::Joining);
    let unconfirmed = holders.filter(|other| !whole.contains(&other.node));
    let unconfirmed: Vec<_> = unconfirmed.map(|other| other.node.clone()).collect();
    if unconfirmed.is_empty() {
        Removal::Complete
    } else {
        Removal::Unconfirmed(unconfirmed)
    }
}

/// Returns the list with a keeper marked as leaving, which its operator wants to be
/// emptied; `None` if it may not leave now.
pub fn without_emptied(
    list: &Membership,
    node: &str,
    whole: &HashSet<Arc<str>>,
    faults: usize,
) -> Option<Membership> {
    match removal(list, node, whole, faults) {
        Removal::MayLeave => list.leave(node),
        _ => None,
    }
}

/// What a keeper may count as its own after it has copied from others.
#[derive(Clone, Copy, Debug)]
pub struct Copies<'a> {
    /// The list by which it copied.
    pub list: &'a Membership,
    /// Its name.
    pub node: &'a str,
    /// Whether it lost its disk while it was a member.
    pub lost_data: bool,
    /// Number of keepers that may fail at once.
    pub faults: usize,
}

impl Copies<'_> {
    /// Returns the keepers to copy from.
    pub fn sources(&self) -> impl Iterator<Item = &Keeper> {
        let others = self.list.keepers.iter();
        others.filter(|other| *other.node != *self.node && other.standing != MemberState::Joining)
    }

    /// Returns whether it holds all that it has to store, after it copied everything
    /// from the keepers `copied`. Without any other keeper nothing can replace what it
    /// lost.
    pub fn are_enough(&self, copied: impl Fn(&Keeper) -> bool) -> bool {
        let missing = self.sources().filter(|source| !copied(source)).count();
        let max_missing = self
            .list
            .max_missing(self.node, self.lost_data, self.faults);
        missing <= max_missing && !self.is_alone_without_data()
    }

    /// Returns whether no other keeper holds what it lost.
    pub fn is_alone_without_data(&self) -> bool {
        self.lost_data && self.sources().next().is_none()
    }
}

/// Returns whether all turns have expired that a keeper may have stored before its
/// process started at `started`. A turn that ran then may have ended since, and is
/// kept with those before it.
pub fn has_outlived(now: Time, started: Time, routing: Option<&Routing>) -> bool {
    let longest_turn = routing.and_then(Routing::longest_timeout);
    let kept = ledger::retention(routing) + longest_turn.unwrap_or(Duration::ZERO);
    now.since(started) > kept
}
