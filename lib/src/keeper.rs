//! The second copies of shards that a side process holds.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::history::HistoryError;
use crate::id::Epoch;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::message::Change;
use crate::message::KeepFault;
use crate::program::ProgramCopy;

/// The copy of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    epoch: Epoch,
    complete: bool,
    seq: u64,
    programs: BTreeMap<ProgramId, ProgramCopy>,
}

/// One change of the copies, as a data folder stores it. Handling a stored
/// run of them again leads to the same copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyRecord {
    /// A change of the owner was taken.
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
    /// The copy was handed to an owner.
    Adopt {
        /// The shard.
        shard: ShardId,
        /// The owner's epoch.
        epoch: Epoch,
        /// Epoch at which this keeper was chosen.
        chosen: Epoch,
    },
    /// Another process keeps the shard now.
    Drop {
        /// The shard.
        shard: ShardId,
    },
    /// The copy as it stands, which replaces what was there.
    Whole {
        /// The shard.
        shard: ShardId,
        /// The copy.
        kept: Kept,
    },
}

/// The copies that a side process holds, and the epochs that it has heard of.
#[derive(Clone, Debug, Default)]
pub struct Keeper {
    fences: BTreeMap<ShardId, Epoch>,
    shards: BTreeMap<ShardId, Kept>,
}

impl Keeper {
    /// Returns the highest epoch that is known of `shard`.
    pub fn fence(&self, shard: ShardId) -> Epoch {
        self.fences.get(&shard).copied().unwrap_or_default()
    }

    /// Refuses everything below `epoch` from now on; returns whether `epoch`
    /// itself is not below.
    pub fn raise(&mut self, shard: ShardId, epoch: Epoch) -> bool {
        let fence = self.fences.entry(shard).or_default();
        *fence = (*fence).max(epoch);
        *fence == epoch
    }

    /// Returns the number of programs held.
    pub fn programs(&self) -> usize {
        self.shards.values().map(|kept| kept.programs.len()).sum()
    }

    /// Returns the bytes of all histories held.
    pub fn bytes(&self) -> usize {
        let programs = self.shards.values().flat_map(|kept| kept.programs.values());
        programs.map(|copy| copy.history.size()).sum()
    }

    /// Takes a change of the owner under `epoch`.
    ///
    /// # Errors
    ///
    /// Returns [`KeepFault::Fenced`] if a higher epoch is known, and
    /// [`KeepFault::Gap`] if an earlier change is missing.
    pub fn keep(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        seq: u64,
        change: Change,
    ) -> Result<u64, KeepFault> {
        if !self.raise(shard, epoch) {
            return Err(KeepFault::Fenced);
        }
        let kept = self.shards.entry(shard).or_default();
        if change == Change::Begin {
            if kept.epoch == epoch && seq <= kept.seq {
                return Ok(kept.seq);
            }
            *kept = Kept {
                epoch,
                seq,
                ..Kept::default()
            };
            return Ok(seq);
        }
        if kept.epoch != epoch {
            return Err(KeepFault::Gap);
        }
        if seq <= kept.seq {
            return Ok(kept.seq);
        }
        if seq != kept.seq + 1 {
            return Err(KeepFault::Gap);
        }
        kept.seq = seq;
        kept.apply(change);
        Ok(seq)
    }

    /// Hands the copy of `shard` to the owner of `epoch`, and refuses every
    /// earlier owner from now on. `chosen` is the epoch at which this keeper
    /// was chosen. Returns no copy if there is no complete one that is as
    /// young.
    ///
    /// # Errors
    ///
    /// Returns [`KeepFault::Fenced`] if a higher epoch is known.
    pub fn adopt(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        chosen: Epoch,
    ) -> Result<Option<(u64, Vec<ProgramCopy>)>, KeepFault> {
        if !self.raise(shard, epoch) {
            return Err(KeepFault::Fenced);
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

    /// Drops the copies of shards that `is_ours` says another keeps now, and
    /// returns those shards.
    pub fn drop_others(&mut self, is_ours: impl Fn(ShardId, Epoch) -> bool) -> Vec<ShardId> {
        let others = self.shards.iter().filter(|(s, k)| !is_ours(**s, k.epoch));
        let dropped: Vec<ShardId> = others.map(|(shard, _)| *shard).collect();
        for shard in &dropped {
            self.shards.remove(shard);
        }
        dropped
    }

    /// Returns the copies as the fewest records that lead to them.
    pub fn records(&self) -> impl Iterator<Item = CopyRecord> {
        self.shards.iter().map(|(shard, kept)| CopyRecord::Whole {
            shard: *shard,
            kept: kept.clone(),
        })
    }

    /// Handles a record again that an earlier life of the process stored.
    pub fn replay(&mut self, record: CopyRecord) {
        // A record was stored because it was taken; none is refused now.
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
                self.raise(shard, kept.epoch);
                self.shards.insert(shard, kept);
            }
        }
    }

    /// Checks the digest chain of every history.
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

impl Kept {
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
                copy.remember(replace, turns);
            }
            Change::Forget(program) => {
                self.programs.remove(&program);
            }
            Change::Complete => self.complete = true,
        }
    }
}
