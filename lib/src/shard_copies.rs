//! Copies of shards that a side process stores as their keeper.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::history::HistoryError;
use crate::id::Epoch;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::message::Change;
use crate::message::ChangeRejection;
use crate::program::ProgramCopy;

/// The copy of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCopy {
    epoch: Epoch,
    complete: bool,
    seq: u64,
    programs: BTreeMap<ProgramId, ProgramCopy>,
}

/// One change of the shard copies as written to the data folder. Replaying the
/// records in order restores the copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyRecord {
    /// A change from the shard's owner was applied.
    Keep {
        /// The shard.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// Number of the change.
        seq: u64,
        /// The change.
        change: Change,
    },
    /// The copy was sent to a new owner.
    Adopt {
        /// The shard.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// Epoch at which this keeper was chosen.
        chosen: Epoch,
    },
    /// Another process is the shard's keeper now.
    Drop {
        /// The shard.
        shard: ShardId,
    },
    /// A snapshot of the copy, which replaces any earlier one.
    Whole {
        /// The shard.
        shard: ShardId,
        /// The copy.
        kept: ShardCopy,
    },
}

/// The shard copies of a side process, and the highest epoch known of each
/// shard.
#[derive(Clone, Debug, Default)]
pub struct ShardCopies {
    fences: BTreeMap<ShardId, Epoch>,
    shards: BTreeMap<ShardId, ShardCopy>,
}

impl ShardCopies {
    /// Returns the highest known epoch of `shard`; lower ones are rejected.
    pub fn fence(&self, shard: ShardId) -> Epoch {
        self.fences.get(&shard).copied().unwrap_or_default()
    }

    /// Rejects all epochs of `shard` below `epoch` from now on. Returns whether
    /// `epoch` itself is accepted, that is, no higher epoch is known.
    pub fn raise_fence(&mut self, shard: ShardId, epoch: Epoch) -> bool {
        let fence = self.fences.entry(shard).or_default();
        *fence = (*fence).max(epoch);
        *fence == epoch
    }

    /// Returns the number of programs in all copies.
    pub fn programs(&self) -> usize {
        self.shards.values().map(|kept| kept.programs.len()).sum()
    }

    /// Returns the total size of all histories, in bytes.
    pub fn bytes(&self) -> usize {
        let programs = self.shards.values().flat_map(|kept| kept.programs.values());
        programs.map(|copy| copy.history.size()).sum()
    }

    /// Applies the change numbered `seq` of the owner with `epoch`. Returns the
    /// number of the last change applied; a change applied before is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeRejection::Fenced`] if a higher epoch is known, and
    /// [`ChangeRejection::Gap`] if an earlier change is missing.
    pub fn keep(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        seq: u64,
        change: Change,
    ) -> Result<u64, ChangeRejection> {
        if !self.raise_fence(shard, epoch) {
            return Err(ChangeRejection::Fenced);
        }
        let kept = self.shards.entry(shard).or_default();
        if change == Change::Begin {
            if kept.epoch == epoch && seq <= kept.seq {
                return Ok(kept.seq);
            }
            *kept = ShardCopy {
                epoch,
                seq,
                ..ShardCopy::default()
            };
            return Ok(seq);
        }
        if kept.epoch != epoch {
            return Err(ChangeRejection::Gap);
        }
        if seq <= kept.seq {
            return Ok(kept.seq);
        }
        if seq != kept.seq + 1 {
            return Err(ChangeRejection::Gap);
        }
        kept.seq = seq;
        kept.apply(change);
        Ok(seq)
    }

    /// Returns the copy of `shard`, with the number of its last change, for the
    /// new owner with `epoch`, and rejects every earlier owner from now on.
    /// `chosen` is the epoch at which this process became the keeper. Returns
    /// `None` if the copy is incomplete or older than `chosen`.
    ///
    /// # Errors
    ///
    /// Returns [`ChangeRejection::Fenced`] if a higher epoch is known.
    pub fn adopt(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        chosen: Epoch,
    ) -> Result<Option<(u64, Vec<ProgramCopy>)>, ChangeRejection> {
        if !self.raise_fence(shard, epoch) {
            return Err(ChangeRejection::Fenced);
        }
        let Some(kept) = self.shards.get_mut(&shard) else {
            return Ok(None);
        };
        if !kept.complete || kept.epoch < chosen {
            return Ok(None);
        }
        kept.epoch = epoch;
        Ok(Some((kept.seq, kept.programs.values().cloned().collect())))
    }

    /// Drops the copies for which `is_assigned` returns false, given the shard
    /// and the copy's epoch. Returns the shards that were dropped.
    pub fn drop_unassigned(
        &mut self,
        is_assigned: impl Fn(ShardId, Epoch) -> bool,
    ) -> Vec<ShardId> {
        let unassigned = self
            .shards
            .iter()
            .filter(|(s, k)| !is_assigned(**s, k.epoch));
        let dropped: Vec<ShardId> = unassigned.map(|(shard, _)| *shard).collect();
        for shard in &dropped {
            self.shards.remove(shard);
        }
        dropped
    }

    /// Returns one snapshot record for each copy.
    pub fn records(&self) -> impl Iterator<Item = CopyRecord> {
        self.shards.iter().map(|(shard, kept)| CopyRecord::Whole {
            shard: *shard,
            kept: kept.clone(),
        })
    }

    /// Applies a record that was written by a previous run of the process.
    pub fn replay(&mut self, record: CopyRecord) {
        // Only accepted changes are written, so none is refused now.
        match record {
            CopyRecord::Keep {
                shard,
                epoch,
                seq,
                change,
            } => {
                let _ = self.keep(shard, epoch, seq, change);
            }
            CopyRecord::Adopt {
                shard,
                epoch,
                chosen,
            } => {
                let _ = self.adopt(shard, epoch, chosen);
            }
            CopyRecord::Drop { shard } => {
                self.shards.remove(&shard);
            }
            CopyRecord::Whole { shard, kept } => {
                self.raise_fence(shard, kept.epoch);
                self.shards.insert(shard, kept);
            }
        }
    }

    /// Verifies the digest chain of every history.
    ///
    /// # Errors
    ///
    /// Returns the first [`HistoryError`] found.
    pub fn verify(&self) -> Result<(), HistoryError> {
        let programs = self.shards.values().flat_map(|kept| kept.programs.values());
        for copy in programs {
            copy.history.verify()?;
        }
        Ok(())
    }
}

impl ShardCopy {
    fn apply(&mut self, change: Change) {
        match change {
            Change::Begin | Change::Probe => {}
            Change::Program(copy) => {
                self.programs.insert(copy.program, *copy);
            }
            Change::Update {
                program,
                head,
                above,
                record,
                turns,
                replace,
            } => {
                for (ancestor, budget) in above {
                    if let Some(copy) = self.programs.get_mut(&ancestor) {
                        copy.head.budget = budget;
                    }
                }
                let Some(copy) = self.programs.get_mut(&program) else {
                    return;
                };
                copy.head = *head;
                if let Some(record) = record {
                    copy.put(*record);
                }
                copy.extend_history(replace, turns);
            }
            Change::Forget(program) => {
                self.programs.remove(&program);
            }
            Change::Complete => self.complete = true,
        }
    }
}
