//! A keeper's part in the removal of programs: it asks the other replicas whether they
//! are still in use, and answers when others ask.

use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::ledger;
use limpetferry_lib::removal::IdleProgram;
use limpetferry_lib::removal::RemovalVote;
use limpetferry_lib::time::Time;

use crate::disk::Job;
use crate::keeper_node::Keeper;
use crate::replicas::Heard;
use crate::replicas::Replicas;
use crate::timeout::within;

/// Time between looks for programs that are no longer wanted.
const REMOVE_EVERY: Duration = Duration::from_secs(5);
/// Longest wait for the votes of other keepers. After twice the wait, as when the process
/// was frozen, a vote is void: programs may have gone on since.
const VOTE_WAIT: Duration = Duration::from_millis(2_000);
/// Votes on the same programs, each on those that the one before left.
const MAX_VOTES: usize = 4;
/// Programs in one vote: a question of some 50 kB.
const MAX_VOTED: usize = 512;

/// Removes programs of one keeper.
pub struct Removals {
    keeper: Arc<Keeper>,
    replicas: Arc<Replicas>,
    faults: usize,
}

impl Removals {
    /// Makes the part of `keeper`, where `faults` keepers may be lost at once.
    pub fn new(keeper: Arc<Keeper>, replicas: Arc<Replicas>, faults: usize) -> Self {
        Self {
            keeper,
            replicas,
            faults,
        }
    }

    /// Removes programs that are no longer wanted, for as long as the process runs.
    pub async fn follow(self) {
        let mut waits = false;
        loop {
            smol::Timer::after(REMOVE_EVERY).await;
            let idle = self.idle_programs();
            let mut dropped = 0;
            for programs in idle.chunks(MAX_VOTED) {
                dropped += self.remove(programs).await;
            }
            self.make_room();
            let keeper = &self.keeper;
            if dropped > 0 {
                let live = keeper.state().ledger.disk().total().live_bytes;
                let note = LogEvent::new("programs_expired").with("count", dropped);
                let note = note.with("live_bytes", live);
                keeper.note(note.with("disk_bytes", keeper.disk.bytes()));
            }
            let kept = idle.len() - dropped;
            if waits != (kept > 0) {
                waits = kept > 0;
                // In use elsewhere, or too few of the other replicas answer.
                keeper.note(LogEvent::new("removals_kept").with("count", kept));
            }
        }
    }

    fn retention(&self) -> Duration {
        ledger::retention(self.keeper.site.known().routing.as_deref())
    }

    fn idle_programs(&self) -> Vec<IdleProgram> {
        let (now, retention) = (self.keeper.clock.now(), self.retention());
        self.keeper.state().ledger.idle_programs(now, retention)
    }

    /// Has the disk look for files that hold nothing any more.
    fn make_room(&self) {
        let expiry = self.keeper.state().ledger.next_expiry(self.retention());
        self.keeper.room.set_expiry(expiry);
        self.keeper.note_room();
        let is_pressed = self.keeper.is_pressed();
        self.keeper.disk.send(Job::Tidy { is_pressed });
    }

    /// Removes programs that a majority of their replicas has no use for, and returns
    /// their number.
    async fn remove(&self, programs: &[IdleProgram]) -> usize {
        let mut programs = programs.to_vec();
        for _ in 0..MAX_VOTES {
            let started = self.keeper.clock.now();
            let membership = self.keeper.site.known().keepers.clone();
            let names: Vec<Arc<str>> = programs.iter().map(|idle| idle.program.clone()).collect();
            let mut vote = RemovalVote::new(membership, self.faults, names);
            self.gather(&mut vote, &programs, started).await;
            let now = self.keeper.clock.now();
            if now.since(started) > VOTE_WAIT * 2 {
                return 0;
            }
            let (retention, agreed) = (self.retention(), vote.removable());
            let mut state = self.keeper.state();
            let removable = state.ledger.removable(now, retention, &agreed);
            if removable.len() == programs.len() {
                return state.ledger.expire(now, retention, &agreed);
            }
            programs.retain(|idle| removable.contains(&idle.program));
        }
        0
    }

    async fn gather(&self, vote: &mut RemovalVote, programs: &[IdleProgram], started: Time) {
        let (sender, heard) = async_channel::unbounded();
        let mut missing = 0;
        // Where programs have different replicas, another keeper's turns are mostly not
        // those from which programs of this one continue.
        let unresolved = if vote.all_share_replicas() {
            self.keeper.state().ledger.unresolved(programs)
        } else {
            Vec::new()
        };
        for (node, stored) in vote.voters() {
            if *node == *self.keeper.node {
                if self.keeper.state().is_certain() {
                    vote.agree(&node);
                }
                continue;
            }
            if self.replicas.removes_alone(&node) {
                vote.agree(&node);
                continue;
            }
            let asked = programs.iter();
            let asked = asked.filter(|idle| stored.contains(&idle.program));
            let question = KeeperRequest::Idle {
                programs: asked.cloned().collect(),
                unresolved: unresolved.clone(),
            };
            missing += usize::from(self.replicas.ask(&node, question, &sender));
        }
        while missing > 0 {
            let left = VOTE_WAIT.saturating_sub(self.keeper.clock.now().since(started));
            let Some(Ok(Heard { node, reply })) = within(left, heard.recv()).await else {
                return;
            };
            missing -= 1;
            let Some(KeeperReply::Active { whole, programs }) = reply else {
                continue;
            };
            let mut state = self.keeper.state();
            for active in programs {
                let last = started.before(Duration::from_millis(active.idle_ms));
                state.ledger.renew_program(last, &active.program);
                vote.keep(&active.program);
            }
            drop(state);
            if whole {
                vote.agree(&node);
            }
        }
    }
}

impl Keeper {
    /// Answers which programs, which another keeper would remove, are needed here.
    pub(crate) fn active_programs(
        &self,
        programs: &[IdleProgram],
        unresolved: &[u64],
    ) -> KeeperReply {
        let retention = ledger::retention(self.site.known().routing.as_deref());
        let now = self.clock.now();
        let state = self.state();
        KeeperReply::Active {
            whole: state.is_certain(),
            programs: state.ledger.activity(now, retention, programs, unresolved),
        }
    }
}
