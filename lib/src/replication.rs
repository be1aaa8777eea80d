//! Replication of an owner's shards to their keepers, and the steps that wait
//! for a keeper's acknowledgement.

use crate::budget::Budget;
use crate::code::Code;
use crate::effect::Effect;
use crate::id::CallId;
use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::message::Change;
use crate::message::ChangeRejection;
use crate::message::Message;
use crate::message::Reply;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::owner::Call;
use crate::owner::Context;
use crate::owner::DeferredAction;
use crate::owner::MAX_UNACKED;
use crate::owner::OwnedShard;
use crate::owner::Owner;
use crate::owner::Phase;
use crate::owner::State;
use crate::owner::reply;
use crate::owner::update;
use crate::owner::view;
use crate::program::ProgramCopy;

impl Owner {
    /// Sends a change to the shard's keeper and returns the change's number.
    pub(crate) fn replicate(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        change: Change,
    ) -> u64 {
        let Some(held) = self.shards.get_mut(&shard) else {
            return 0;
        };
        held.seq += 1;
        held.ack_wait_since.get_or_insert(cx.now);
        if held.unacked.len() >= MAX_UNACKED {
            // Once the keeper is reachable, it detects the gap and is sent the
            // whole shard.
            held.unacked.clear();
            held.gap = true;
        }
        held.unacked.push_back((held.seq, change.clone()));
        if let Some(keeper) = &held.keeper {
            let message = Message::Keep {
                shard,
                epoch: held.epoch,
                seq: held.seq,
                change,
            };
            cx.out.push(Effect::Send {
                to: keeper.clone(),
                message,
            });
        }
        held.seq
    }

    /// Replicates the state of a program without its calls and messages.
    pub(crate) fn replicate_head(&mut self, cx: &mut Context<'_>, id: ProgramId) -> u64 {
        let Some(program) = self.programs.get(&id) else {
            return 0;
        };
        let change = update(&program.copy, Vec::new(), None, Vec::new(), false);
        self.replicate(cx, id.shard(cx.rules.shards), change)
    }

    /// Returns the budgets of a program's ancestors.
    pub(crate) fn budgets_above(&self, id: ProgramId) -> Vec<(ProgramId, Budget)> {
        let ancestry = self.ancestry(id).into_iter().skip(1);
        ancestry
            .filter_map(|id| Some((id, self.programs.get(&id)?.copy.head.budget)))
            .collect()
    }

    /// Runs `step` once the keeper has acknowledged change `seq`.
    pub(crate) fn run_after_ack(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        seq: u64,
        step: DeferredAction,
    ) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        let acknowledged = !held.gap && held.unacked.front().is_none_or(|(first, _)| *first > seq);
        if acknowledged {
            self.run_step(cx, step);
        } else {
            held.deferred.push_back((seq, step));
        }
    }

    pub(crate) fn run_step(&mut self, cx: &mut Context<'_>, step: DeferredAction) {
        match step {
            DeferredAction::Dispatch(call) => self.dispatch(cx, call),
            DeferredAction::Finish(call) => {
                self.drop_server_record(cx, call);
                self.finish(cx, call);
            }
            DeferredAction::Refuse(subscriber, refusal) => {
                reply(cx, &subscriber, Reply::Refused(refusal))
            }
            DeferredAction::Answer(subscriber, program, part) => {
                let message = match self.programs.get(&program) {
                    Some(program) => Reply::Program(Box::new(view(&program.copy, part))),
                    None => Reply::Refused(Refusal::new(Code::ProgramUnknown)),
                };
                reply(cx, &subscriber, message);
            }
        }
    }

    /// Tells the side process that ran a call to drop its record, since owner
    /// and keeper both have the outcome.
    pub(crate) fn drop_server_record(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(server) = call.server.clone() {
            let attempt = call.record.attempt;
            cx.send(&server, Message::Forget { call: id, attempt });
        }
    }

    /// Handles a keeper's acknowledgement of all changes up to `seq`.
    pub(crate) fn handle_ack(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        seq: u64,
    ) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        if held.epoch != epoch || held.keeper.as_ref() != Some(from) || held.gap {
            return;
        }
        while held.unacked.front().is_some_and(|(first, _)| *first <= seq) {
            held.unacked.pop_front();
        }
        held.ack_wait_since = (!held.unacked.is_empty()).then_some(cx.now);
        let mut ready = Vec::new();
        while held
            .deferred
            .front()
            .is_some_and(|(first, _)| *first <= seq)
        {
            ready.extend(held.deferred.pop_front().map(|(_, step)| step));
        }
        for step in ready {
            self.run_step(cx, step);
        }
    }

    /// Handles a keeper's refusal: sends it the whole shard if it lacks changes,
    /// or releases the shard if an owner with a higher epoch exists.
    pub(crate) fn handle_rejection(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        fault: ChangeRejection,
    ) {
        let Some(held) = self.shards.get(&shard) else {
            return;
        };
        if held.epoch != epoch || held.keeper.as_ref() != Some(from) {
            return;
        }
        match fault {
            ChangeRejection::Gap if held.phase == Phase::Loaded => self.send_full_copy(cx, shard),
            ChangeRejection::Gap => {}
            ChangeRejection::Fenced => self.release(cx, shard),
        }
    }

    /// Sends the whole shard to the keeper, replacing its copy.
    pub(crate) fn send_full_copy(&mut self, cx: &mut Context<'_>, shard: ShardId) {
        let count = cx.rules.shards;
        let copies: Vec<ProgramCopy> = self
            .programs
            .values()
            .filter(|program| program.copy.program.shard(count) == shard)
            .map(|program| program.copy.clone())
            .collect();
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        held.unacked.clear();
        held.gap = false;
        held.ack_wait_since = None;
        self.replicate(cx, shard, Change::Begin);
        for copy in copies {
            self.replicate(cx, shard, Change::Program(Box::new(copy)));
        }
        let seq = self.replicate(cx, shard, Change::Complete);
        // Steps that waited for an earlier change now wait for the whole copy.
        if let Some(held) = self.shards.get_mut(&shard) {
            for step in &mut held.deferred {
                step.0 = seq;
            }
        }
    }

    /// Sends all unacknowledged changes of a shard to its keeper again.
    pub(crate) fn resend_unacked(&self, cx: &mut Context<'_>, shard: ShardId, held: &OwnedShard) {
        let Some(keeper) = &held.keeper else {
            return;
        };
        for (seq, change) in &held.unacked {
            let message = Message::Keep {
                shard,
                epoch: held.epoch,
                seq: *seq,
                change: change.clone(),
            };
            cx.send(keeper, message);
        }
    }

    /// Handles the shards whose changes have gone unacknowledged for too long
    /// because no keeper answers and none can be chosen. Idempotent calls
    /// without a program proceed. Other calls are not started, because program
    /// state that only this process holds would be lost with it. Requests to
    /// open, read or end a program are refused, to be retried later. Calls that
    /// ran wait for a keeper, since an outcome must not be reported before it is
    /// replicated.
    pub(crate) fn proceed_without_keeper(&mut self, cx: &mut Context<'_>) {
        let stuck: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, held)| held.has_ack_timed_out(cx))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stuck {
            let Some(held) = self.shards.get_mut(&shard) else {
                continue;
            };
            let steps = std::mem::take(&mut held.deferred);
            for (seq, step) in steps {
                self.run_step_without_keeper(cx, shard, seq, step);
            }
        }
    }

    pub(crate) fn run_step_without_keeper(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        seq: u64,
        step: DeferredAction,
    ) {
        let call = match &step {
            DeferredAction::Dispatch(id) | DeferredAction::Finish(id) => self.calls.get_mut(id),
            DeferredAction::Refuse(..) | DeferredAction::Answer(..) => None,
        };
        let repeatable = |call: &Call| call.program.is_single_call() && call.record.idempotent;
        match (step, call) {
            (step, Some(call)) if repeatable(call) => self.run_step(cx, step),
            (DeferredAction::Dispatch(id), Some(_)) => {
                self.record_outcome(cx, id, Outcome::refused(Code::NoServer));
            }
            (DeferredAction::Finish(id), Some(call)) if call.is_refused() => {
                // "Not run" may only be reported once the keeper has recorded
                // it.
                let outcome = Outcome::refused(Code::NoKeeper);
                call.state = State::PersistingOutcome { outcome };
                self.finish(cx, id);
            }
            (DeferredAction::Refuse(subscriber, _) | DeferredAction::Answer(subscriber, ..), _) => {
                reply(
                    cx,
                    &subscriber,
                    Reply::Refused(Refusal::new(Code::NoKeeper)),
                );
            }
            (step @ DeferredAction::Finish(_), _) => {
                if let Some(held) = self.shards.get_mut(&shard) {
                    held.deferred.push_back((seq, step));
                }
            }
            (DeferredAction::Dispatch(_), None) => {}
        }
    }
}
