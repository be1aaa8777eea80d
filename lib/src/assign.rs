//! Which shards an entry claims, takes over, hands on, or gives another
//! keeper. The plan of a block is computed anew from what is known at the
//! time and agreed by one compare-and-swap.

use std::time::Duration;

use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ShardId;
use crate::member::Member;
use crate::member::Role;
use crate::owner::Context;
use crate::owner::Held;
use crate::owner::Owner;
use crate::owner::Phase;
use crate::rank;
use crate::shard::Assignment;
use crate::shard::BLOCK_SHARDS;
use crate::shard::Block;

/// How long a shard stays where it is before it is moved for balance.
const REST: Duration = Duration::from_secs(10);
/// Shards that one swap moves for balance.
const MOVES: usize = 8;

/// The part of an entry that plans assignments.
#[derive(Clone, Debug)]
pub(crate) struct Planner {
    pub node: NodeId,
    /// Whether this entry gives all its shards away.
    pub leaving: bool,
}

impl Planner {
    /// Returns the assignments that `block` should have, if they differ from
    /// those that it has.
    pub(crate) fn plan(&self, cx: &Context<'_>, owner: &Owner, block: u16) -> Option<Block> {
        let mut value = cx.map.block(block);
        let mut moves = MOVES;
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
        now: &Assignment,
        held: Option<&Held>,
        moves: &mut usize,
    ) -> Option<Assignment> {
        let ours = now.owner.as_ref() == Some(&self.node);
        match (ours, held) {
            (true, Some(held)) if held.epoch == now.epoch => {
                self.plan_held(cx, shard, now, held, moves)
            }
            // Owned in an earlier life: only a new epoch tells its late
            // orders from new ones.
            (true, _) if self.leaving => self.give(cx, shard, now),
            (true, _) => Some(next(now, Some(self.node.clone()), now.keeper.clone())),
            (false, _) if self.leaving => None,
            (false, _) => self.plan_other(cx, shard, now),
        }
    }

    fn plan_other(&self, cx: &Context<'_>, shard: ShardId, now: &Assignment) -> Option<Assignment> {
        let wait = cx.rules.takeover_wait();
        let free = match &now.owner {
            None => true,
            Some(owner) => cx.members.is_silent(cx.now, owner, wait),
        };
        if !free || self.first_entry(cx, shard, false).as_ref() != Some(&self.node) {
            return None;
        }
        let keeper = match &now.keeper {
            Some(keeper) => Some(keeper.clone()),
            None => self.choose_keeper(cx, shard, None),
        };
        Some(next(now, Some(self.node.clone()), keeper))
    }

    fn plan_held(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        now: &Assignment,
        held: &Held,
        moves: &mut usize,
    ) -> Option<Assignment> {
        if held.phase == Phase::Adopting {
            return self.plan_adopting(cx, shard, now, held);
        }
        if self.leaving {
            return self.give(cx, shard, now);
        }
        if self.keeper_is_lost(cx, now, held) {
            let keeper = self.choose_keeper(cx, shard, now.keeper.as_ref());
            if keeper.is_some() {
                return Some(next(now, Some(self.node.clone()), keeper));
            }
        }
        let rested = cx.now.since(held.since) >= REST && held.unkept_for(cx.now).is_zero();
        if rested && *moves > 0 && now.keeper.is_some() {
            let best = self.first_entry(cx, shard, true)?;
            if best != self.node {
                *moves -= 1;
                return Some(next(now, Some(best), now.keeper.clone()));
            }
        }
        None
    }

    /// Gives the keeper's copy up when it has none, or stays away too long.
    fn plan_adopting(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        now: &Assignment,
        held: &Held,
    ) -> Option<Assignment> {
        let late = cx.now.since(held.since) >= cx.rules.cold_wait();
        let silent = |keeper: &NodeId| !cx.members.is_linked(keeper);
        let away = now.keeper.as_ref().is_none_or(silent);
        if !(held.hopeless || late && away) {
            return None;
        }
        let keeper = self.choose_keeper(cx, shard, None);
        let mut lost = next(now, Some(self.node.clone()), keeper);
        lost.lost = lost.epoch;
        lost.chosen = lost.epoch;
        Some(lost)
    }

    fn give(&self, cx: &Context<'_>, shard: ShardId, now: &Assignment) -> Option<Assignment> {
        let heir = self.first_entry(cx, shard, false)?;
        (heir != self.node).then(|| next(now, Some(heir), now.keeper.clone()))
    }

    fn keeper_is_lost(&self, cx: &Context<'_>, now: &Assignment, held: &Held) -> bool {
        let Some(keeper) = &now.keeper else {
            return true;
        };
        let wait = cx.rules.keeper_wait();
        let leaving = cx.members.get(keeper).is_some_and(Member::is_leaving);
        leaving || cx.members.is_silent(cx.now, keeper, wait) || held.unkept_for(cx.now) >= wait * 2
    }

    /// Returns the entry that ranks first for `shard` among those in
    /// service; this one counts unless it is leaving.
    fn first_entry(&self, cx: &Context<'_>, shard: ShardId, steady: bool) -> Option<NodeId> {
        let wait = cx.rules.takeover_wait();
        let serves = |member: &&Member| {
            let id = &member.node.id;
            let up = if steady {
                cx.members.in_service(cx.now, id)
            } else {
                !cx.members.is_silent(cx.now, id, wait)
            };
            member.node.role == Role::Entry && up && !member.is_leaving()
        };
        let others = cx.members.iter().filter(serves).map(|m| &m.node.id);
        let own = (!self.leaving).then_some(&self.node);
        rank::first(shard, others.chain(own)).cloned()
    }

    /// Returns a side process in service, in another data centre than most
    /// of this entry's where there is one.
    fn choose_keeper(
        &self,
        cx: &Context<'_>,
        shard: ShardId,
        not: Option<&NodeId>,
    ) -> Option<NodeId> {
        let home = cx.centre;
        let serves = |member: &&Member| {
            let id = &member.node.id;
            let side = member.node.role == Role::Side;
            side && Some(id) != not && cx.members.in_service(cx.now, id)
        };
        let sides = || cx.members.iter().filter(serves);
        let far = sides().filter(|member| member.node.centre != *home);
        let far = rank::first(shard, far.map(|member| &member.node.id));
        far.or_else(|| rank::first(shard, sides().map(|member| &member.node.id)))
            .cloned()
    }
}

fn next(now: &Assignment, owner: Option<NodeId>, keeper: Option<NodeId>) -> Assignment {
    let epoch = Epoch(now.epoch.0 + 1);
    Assignment {
        chosen: if keeper == now.keeper {
            now.chosen
        } else {
            epoch
        },
        owner,
        keeper,
        epoch,
        lost: now.lost,
    }
}
