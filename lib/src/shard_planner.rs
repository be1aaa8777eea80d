//! Plans which shards an entry claims, takes over or hands over, and which get
//! another keeper. The plan of a block is recomputed from the current state each
//! time, and committed by one compare-and-swap.

use std::time::Duration;

use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ShardId;
use crate::member::Member;
use crate::member::Role;
use crate::owner::Context;
use crate::owner::OwnedShard;
use crate::owner::Owner;
use crate::owner::Phase;
use crate::rank;
use crate::shard_map::Assignment;
use crate::shard_map::BLOCK_SHARDS;
use crate::shard_map::Block;

/// Minimum time that an entry owns a shard before it is moved for balance.
const BALANCE_REST: Duration = Duration::from_secs(10);
/// Maximum number of shards that one compare-and-swap moves for balance.
const MAX_MOVES: usize = 8;

/// The part of an entry that plans assignments.
#[derive(Clone, Debug)]
pub(crate) struct Planner {
    pub node: NodeId,
    /// Whether this entry hands over all its shards.
    pub leaving: bool,
}

impl Planner {
    /// Returns the planned assignments of `block`, if they differ from the current
    /// ones.
    pub(crate) fn plan(&self, cx: &Context<'_>, owner: &Owner, block: u16) -> Option<Block> {
        let mut value = cx.map.block(block);
        let mut moves = MAX_MOVES;
        let mut changed = false;
        for (offset, assignment) in value.shards.iter_mut().enumerate() {
            let shard = ShardId(block * BLOCK_SHARDS + offset as u16);
            let held = owner.shards.get(&shard);
            let next = self.plan_shard(cx, shard, assignment, held, &mut moves);
            if let Some(next) = next {
                *assignment = next;
                changed = true;
            }
        }
        changed.then_some(value)
    }

    fn plan_shard(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        current: &Assignment,
        held: Option<&OwnedShard>,
        moves: &mut usize,
    ) -> Option<Assignment> {
        let is_own = current.owner.as_ref() == Some(&self.node);
        match (is_own, held) {
            (true, Some(held)) if held.epoch == current.epoch => {
                self.plan_held(cx, shard, current, held, moves)
            }
            // Owned before a restart of this process: only a new epoch
            // distinguishes late orders of the previous run from new ones.
            (true, _) if self.leaving => self.hand_over(cx, shard, current),
            (true, _) => Some(next(
                current,
                Some(self.node.clone()),
                current.keeper.clone(),
            )),
            (false, _) if self.leaving => None,
            (false, _) => self.plan_other(cx, shard, current),
        }
    }

    fn plan_other(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        current: &Assignment,
    ) -> Option<Assignment> {
        let wait = cx.rules.takeover_wait();
        let free = match &current.owner {
            None => true,
            Some(owner) => cx.members.has_no_link_for(cx.now, owner, wait),
        };
        if !free || self.first_entry(cx, shard, false).as_ref() != Some(&self.node) {
            return None;
        }
        let keeper = match &current.keeper {
            Some(keeper) => Some(keeper.clone()),
            None => self.choose_keeper(cx, shard, None),
        };
        Some(next(current, Some(self.node.clone()), keeper))
    }

    fn plan_held(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        current: &Assignment,
        held: &OwnedShard,
        moves: &mut usize,
    ) -> Option<Assignment> {
        if held.phase == Phase::Adopting {
            return self.plan_adopting(cx, shard, current, held);
        }
        if self.leaving {
            return self.hand_over(cx, shard, current);
        }
        if self.keeper_is_lost(cx, current, held) {
            let keeper = self.choose_keeper(cx, shard, current.keeper.as_ref());
            if keeper.is_some() {
                return Some(next(current, Some(self.node.clone()), keeper));
            }
        }
        let has_rested =
            cx.now.since(held.since) >= BALANCE_REST && held.ack_wait(cx.now).is_zero();
        if has_rested && *moves > 0 && current.keeper.is_some() {
            let best = self.first_entry(cx, shard, true)?;
            if best != self.node {
                *moves -= 1;
                return Some(next(current, Some(best), current.keeper.clone()));
            }
        }
        None
    }

    /// Gives up the keeper's copy if the keeper has no complete one, or has no link
    /// when the wait for the copy ends.
    fn plan_adopting(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        current: &Assignment,
        held: &OwnedShard,
    ) -> Option<Assignment> {
        let late = cx.now.since(held.since) >= cx.rules.cold_wait();
        let is_unlinked = |keeper: &NodeId| !cx.members.is_linked(keeper);
        let has_no_link = current.keeper.as_ref().is_none_or(is_unlinked);
        if !(held.keeper_has_no_copy || late && has_no_link) {
            return None;
        }
        let keeper = self.choose_keeper(cx, shard, None);
        let mut lost = next(current, Some(self.node.clone()), keeper);
        lost.lost = lost.epoch;
        lost.chosen = lost.epoch;
        Some(lost)
    }

    fn hand_over(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        current: &Assignment,
    ) -> Option<Assignment> {
        let new_owner = self.first_entry(cx, shard, false)?;
        (new_owner != self.node).then(|| next(current, Some(new_owner), current.keeper.clone()))
    }

    fn keeper_is_lost(&self, cx: &Context<'_>, current: &Assignment, held: &OwnedShard) -> bool {
        let Some(keeper) = &current.keeper else {
            return true;
        };
        let wait = cx.rules.keeper_wait();
        let leaving = cx.members.get(keeper).is_some_and(Member::is_leaving);
        leaving
            || cx.members.has_no_link_for(cx.now, keeper, wait)
            || held.ack_wait(cx.now) >= wait * 2
    }

    /// Returns the first-ranked entry for `shard` among the eligible ones; this
    /// entry is one of them unless it is leaving. Entries that may get no new work
    /// are not eligible if `in_service_only`, otherwise those that have had no link
    /// for the takeover wait.
    fn first_entry(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        in_service_only: bool,
    ) -> Option<NodeId> {
        let wait = cx.rules.takeover_wait();
        let is_eligible = |member: &&Member| {
            let id = &member.node.id;
            let up = if in_service_only {
                cx.members.in_service(cx.now, id)
            } else {
                !cx.members.has_no_link_for(cx.now, id, wait)
            };
            member.node.role == Role::Entry && up && !member.is_leaving()
        };
        let others = cx.members.iter().filter(is_eligible).map(|m| &m.node.id);
        let own = (!self.leaving).then_some(&self.node);
        rank::first(shard, others.chain(own)).cloned()
    }

    /// Returns the first-ranked side process in service, preferably one outside the
    /// data centre of this entry.
    fn choose_keeper(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        excluded: Option<&NodeId>,
    ) -> Option<NodeId> {
        let home = cx.centre;
        let is_eligible = |member: &&Member| {
            let id = &member.node.id;
            let side = member.node.role == Role::Side;
            side && Some(id) != excluded && cx.members.in_service(cx.now, id)
        };
        let sides = || cx.members.iter().filter(is_eligible);
        let remote = sides().filter(|member| member.node.centre != *home);
        let remote = rank::first(shard, remote.map(|member| &member.node.id));
        remote
            .or_else(|| rank::first(shard, sides().map(|member| &member.node.id)))
            .cloned()
    }
}

fn next(current: &Assignment, owner: Option<NodeId>, keeper: Option<NodeId>) -> Assignment {
    let epoch = Epoch(current.epoch.0 + 1);
    Assignment {
        chosen: if keeper == current.keeper {
            current.chosen
        } else {
            epoch
        },
        owner,
        keeper,
        epoch,
        lost: current.lost,
    }
}
