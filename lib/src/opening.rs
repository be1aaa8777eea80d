//! Whether a turn may begin: what its program's replicas say of the budget
//! and of the turn before.
//!
//! Every replica notes the turn and says what else it knows of the program. A
//! turn goes to a server when a majority has noted it and the budget holds,
//! and its first event goes to the caller when the same majority has it on
//! disk. Of any two turns at least one sees the other, since any two
//! majorities share a replica. A turn that sees `s` other tokens and may use
//! `w` goes at once if `s + w` is at most half of the budget: summed over all
//! pairs, some turn sees half of what is handed out. Otherwise it asks once
//! more, after a majority has noted it: of the turns that go, the last one to
//! ask sees all other ones.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ledger::Presence;
use crate::ledger::Share;
use crate::membership::Replicas;

/// What a replica says of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Whether it has everything that it ever acknowledged.
    pub whole: bool,
    /// What the program's other turns count.
    pub shares: Vec<Share>,
    /// Whether it has the turn before, if one was asked for.
    pub previous: Presence,
}

/// Something that a replica did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It noted the turn.
    Noted(View),
    /// It looked again, after the turn was noted by a majority.
    Seen(View),
    /// It has the turn on disk.
    Synced,
    /// It broke off; what it said before no longer counts.
    Lost,
}

/// What a turn has to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Wait for more replicas.
    Wait,
    /// Ask the replicas to look again.
    Ask,
    /// Go to a server.
    Go,
    /// The budget does not hold the turn.
    Spent,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    noted: Option<View>,
    seen: Option<View>,
    synced: bool,
}

/// The opening of one turn.
#[derive(Clone, Debug)]
pub struct Opening {
    replicas: Replicas,
    slots: HashMap<usize, Slot>,
    budget: Option<u64>,
    most: u64,
    asked: bool,
}

impl Opening {
    /// Begins a turn that may use `most` tokens of `budget`.
    pub fn new(replicas: Replicas, budget: Option<u64>, most: u64) -> Self {
        let slots = replicas.keepers.iter().map(|&at| (at, Slot::default()));
        Self {
            slots: slots.collect(),
            replicas,
            budget,
            most,
            asked: false,
        }
    }

    /// Returns the replicas.
    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }

    /// Takes what a replica did, and says what follows.
    pub fn step(&mut self, at: usize, step: Step) -> Verdict {
        if let Some(slot) = self.slots.get_mut(&at) {
            match step {
                Step::Noted(view) => slot.noted = Some(view),
                Step::Seen(view) => slot.seen = Some(view),
                Step::Synced => slot.synced = true,
                Step::Lost => *slot = Slot::default(),
            }
        }
        self.verdict()
    }

    fn verdict(&mut self) -> Verdict {
        let Some(budget) = self.budget else {
            let noted = |at| self.slots[&at].noted.is_some();
            return if self.replicas.majority(noted) {
                Verdict::Go
            } else {
                Verdict::Wait
            };
        };
        if self.asked {
            return self.after_asking(budget);
        }
        if !self.replicas.majority(|at| whole(&self.slots[&at].noted)) {
            return Verdict::Wait;
        }
        if self.spent(|slot| &slot.noted) + self.most <= budget / 2 {
            return Verdict::Go;
        }
        self.asked = true;
        Verdict::Ask
    }

    fn after_asking(&self, budget: u64) -> Verdict {
        if !self.replicas.majority(|at| whole(&self.slots[&at].seen)) {
            return Verdict::Wait;
        }
        if self.spent(|slot| &slot.seen) + self.most <= budget {
            Verdict::Go
        } else {
            Verdict::Spent
        }
    }

    /// Returns what the other turns count by the views that `view` chooses.
    /// An end that one replica knows holds; it never grows again.
    fn spent(&self, view: impl Fn(&Slot) -> &Option<View>) -> u64 {
        let mut turns: HashMap<&Arc<str>, &Share> = HashMap::new();
        let views = self.slots.values().filter_map(|slot| view(slot).as_ref());
        for share in views.flat_map(|view| &view.shares) {
            let known = turns.entry(&share.turn).or_insert(share);
            let better = share.ended && !known.ended;
            let larger = share.ended == known.ended && share.tokens > known.tokens;
            if better || larger {
                *known = share;
            }
        }
        turns.values().map(|share| share.tokens).sum()
    }

    /// Returns whether a majority that was asked has the turn on disk, so that
    /// its first event may go to the caller.
    pub fn is_durable(&self) -> bool {
        self.replicas.majority(|at| {
            let slot = &self.slots[&at];
            let view = if self.asked { &slot.seen } else { &slot.noted };
            slot.synced && (self.budget.is_none() || whole(view))
        })
    }

    /// Returns whether some replica says that it has the turn before.
    pub fn previous_is_here(&self) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| {
            let noted = slot.noted.as_ref();
            noted.is_some_and(|view| view.previous == Presence::Here)
        })
    }
}

fn whole(view: &Option<View>) -> bool {
    view.as_ref().is_some_and(|view| view.whole)
}
