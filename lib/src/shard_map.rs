//! Assignment of shards of programs to owners and keepers.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ShardId;

/// Number of shards that are stored in one value of the key-value service.
pub const BLOCK_SHARDS: u16 = 256;

/// Assignment of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    /// Entry process that orders the shard's calls.
    pub owner: Option<NodeId>,
    /// Side process that holds the second copy.
    pub keeper: Option<NodeId>,
    /// Incremented with each change.
    pub epoch: Epoch,
    /// Epoch at which this keeper was chosen; a copy that it holds from an earlier
    /// epoch is stale.
    #[serde(default)]
    pub chosen: Epoch,
    /// Epoch at which both copies were last lost; zero if never.
    #[serde(default)]
    pub lost: Epoch,
}

/// One value of the key-value service: the assignments of consecutive shards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// Assignments, ordered by shard.
    pub shards: Vec<Assignment>,
}

/// The newest assignments that a process has received.
#[derive(Clone, Debug, Default)]
pub struct ShardMap {
    assignments: Vec<Assignment>,
    revisions: Vec<u64>,
}

impl ShardMap {
    /// Creates the map of `count` unassigned shards.
    pub fn new(count: u16) -> Self {
        let blocks = count.div_ceil(BLOCK_SHARDS);
        Self {
            assignments: vec![Assignment::default(); usize::from(count)],
            revisions: vec![0; usize::from(blocks)],
        }
    }

    /// Returns the number of shards.
    pub fn count(&self) -> u16 {
        self.assignments.len() as u16
    }

    /// Returns the number of blocks.
    pub fn blocks(&self) -> u16 {
        self.revisions.len() as u16
    }

    /// Returns the assignment of `shard`, if it exists.
    pub fn get(&self, shard: ShardId) -> Option<&Assignment> {
        self.assignments.get(usize::from(shard.0))
    }

    /// Returns all assignments with their shards.
    pub fn iter(&self) -> impl Iterator<Item = (ShardId, &Assignment)> {
        self.assignments
            .iter()
            .enumerate()
            .map(|(index, assignment)| (ShardId(index as u16), assignment))
    }

    /// Returns the key-value service's revision of `block`; zero if it was never
    /// read.
    pub fn revision(&self, block: u16) -> u64 {
        self.revisions.get(usize::from(block)).copied().unwrap_or(0)
    }

    /// Returns the current assignments of `block`.
    pub fn block(&self, block: u16) -> Block {
        let start = usize::from(block) * usize::from(BLOCK_SHARDS);
        let end = (start + usize::from(BLOCK_SHARDS)).min(self.assignments.len());
        Block {
            shards: self.assignments[start..end].to_vec(),
        }
    }

    /// Applies the value of `block` as of `revision`, and returns the shards that
    /// changed. Revisions and epochs that are not newer are ignored.
    pub fn update(&mut self, block: u16, revision: u64, value: &Block) -> Vec<ShardId> {
        let mut changed = Vec::new();
        let Some(known) = self.revisions.get_mut(usize::from(block)) else {
            return changed;
        };
        if revision <= *known {
            return changed;
        }
        *known = revision;
        let start = usize::from(block) * usize::from(BLOCK_SHARDS);
        for (offset, assignment) in value.shards.iter().enumerate() {
            let Some(slot) = self.assignments.get_mut(start + offset) else {
                break;
            };
            if assignment.epoch > slot.epoch {
                *slot = assignment.clone();
                changed.push(ShardId((start + offset) as u16));
            }
        }
        changed
    }
}
