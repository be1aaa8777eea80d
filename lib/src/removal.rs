//! Agreement of a program's replicas on its removal.
//!
//! A keeper that was out of reach while a program went on knows only when it heard of
//! the program itself. It therefore removes a program only once a majority of the
//! program's replicas knows of no activity: any turn that was acknowledged is at a
//! majority, and any two majorities share a replica.
//!
//! Programs may continue from turns of others. A replica agrees to the removal of some
//! programs only if it stores no other program that continues from one of them. If not
//! all of them may be removed, the rest is put to the vote anew: one that stays may
//! continue from others in a way that only some replica knows.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::membership::Membership;

/// A program that a keeper would remove.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleProgram {
    /// Its id.
    pub program: Arc<str>,
    /// Hashes of the ids of its turns: others may know turns of other programs that
    /// continue from one of them, without the program itself.
    pub turns: Vec<u64>,
}

/// A program that is still needed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramActivity {
    /// Its id.
    pub program: Arc<str>,
    /// Time since its last activity, in milliseconds.
    pub idle_ms: u64,
}

/// The vote on the removal of some programs.
#[derive(Clone, Debug)]
pub struct RemovalVote {
    membership: Arc<Membership>,
    faults: usize,
    programs: Vec<Arc<str>>,
    /// Keepers by which all programs are inactive but those in `active`.
    agreed: HashSet<Arc<str>>,
    active: HashSet<Arc<str>>,
}

impl RemovalVote {
    /// Starts a vote, by a list of keepers of which `faults` may be lost at once.
    pub fn new(membership: Arc<Membership>, faults: usize, programs: Vec<Arc<str>>) -> Self {
        Self {
            membership,
            faults,
            programs,
            agreed: HashSet::new(),
            active: HashSet::new(),
        }
    }

    /// Returns the replicas of the programs, each with the programs that it stores.
    pub fn voters(&self) -> HashMap<Arc<str>, Vec<Arc<str>>> {
        let mut voters: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
        for program in &self.programs {
            for at in self.membership.replicas(program, self.faults).keepers {
                let node = self.membership.keepers[at].node.clone();
                voters.entry(node).or_default().push(program.clone());
            }
        }
        voters
    }

    /// Returns whether each program has the same replicas.
    pub fn all_share_replicas(&self) -> bool {
        self.membership.keepers.len() <= 2 * self.faults + 1
    }

    /// Counts the vote of a keeper that has lost nothing: it knows of no activity of
    /// the programs, but for those that are passed to [`RemovalVote::keep`].
    pub fn agree(&mut self, node: &Arc<str>) {
        self.agreed.insert(node.clone());
    }

    /// Excludes a program that is still in use.
    pub fn keep(&mut self, program: &Arc<str>) {
        self.active.insert(program.clone());
    }

    /// Returns the programs that may be removed.
    pub fn removable(&self) -> Vec<Arc<str>> {
        let inactive = self.programs.iter();
        let inactive = inactive.filter(|program| !self.active.contains(*program));
        let agreed = inactive.filter(|program| {
            let replicas = self.membership.replicas(program, self.faults);
            replicas.majority(|at| self.agreed.contains(&self.membership.keepers[at].node))
        });
        agreed.cloned().collect()
    }
}
