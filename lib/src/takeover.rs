//! Takeover of a shard from the keeper's copy, and release of a shard.

use crate::effect::LogEvent;
use crate::id::CallId;
use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ShardId;
use crate::message::Message;
use crate::message::Reply;
use crate::owner::Call;
use crate::owner::Context;
use crate::owner::DeferredAction;
use crate::owner::OwnedShard;
use crate::owner::Owner;
use crate::owner::ParkedRequest;
use crate::owner::Phase;
use crate::owner::State;
use crate::owner::reply;
use crate::program::CallStage;
use crate::program::ProgramCopy;
use crate::shard_map::Assignment;

impl Owner {
    /// Starts to own `shard` according to `assignment`. With `is_new`, there
    /// is no earlier state to take over.
    pub(crate) fn acquire(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        assignment: &Assignment,
        is_new: bool,
    ) {
        self.release(cx, shard);
        let phase = if is_new {
            Phase::Loaded
        } else {
            Phase::Adopting
        };
        let held = OwnedShard::new(cx.now, assignment, phase);
        self.shards.insert(shard, held);
        if is_new {
            self.send_full_copy(cx, shard);
        } else {
            self.request_copy(cx, shard);
        }
    }

    /// Continues to own `shard` under the next epoch, possibly with another
    /// keeper.
    pub(crate) fn renew(&mut self, cx: &mut Context<'_>, shard: ShardId, assignment: &Assignment) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        held.epoch = assignment.epoch;
        held.keeper.clone_from(&assignment.keeper);
        held.chosen = assignment.chosen;
        held.copies_lost = assignment.lost.0 > 0;
        if held.phase == Phase::Adopting {
            // Both copies are lost: the shard starts again without programs.
            held.phase = Phase::Loaded;
            held.incoming.clear();
            let parked = std::mem::take(&mut held.parked);
            self.send_full_copy(cx, shard);
            self.resume_parked(cx, shard, parked);
            return;
        }
        self.send_full_copy(cx, shard);
    }

    pub(crate) fn request_copy(&mut self, cx: &mut Context<'_>, shard: ShardId) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        if held.phase != Phase::Adopting {
            return;
        }
        if let Some(keeper) = held.keeper.clone() {
            let message = Message::Adopt {
                shard,
                epoch: held.epoch,
                chosen: held.chosen,
            };
            cx.send(&keeper, message);
        }
    }

    pub(crate) fn copy(&mut self, from: &NodeId, shard: ShardId, epoch: Epoch, copy: ProgramCopy) {
        if let Some(held) = self.shards.get_mut(&shard)
            && held.epoch == epoch
            && held.keeper.as_ref() == Some(from)
            && held.phase == Phase::Adopting
        {
            held.incoming.insert(copy.program, copy);
        }
    }

    pub(crate) fn copied(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        seq: Option<u64>,
    ) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        if held.epoch != epoch
            || held.keeper.as_ref() != Some(from)
            || held.phase != Phase::Adopting
        {
            return;
        }
        let Some(seq) = seq else {
            held.keeper_has_no_copy = true;
            held.incoming.clear();
            return;
        };
        held.seq = seq;
        held.phase = Phase::Loaded;
        let incoming = std::mem::take(&mut held.incoming);
        let parked = std::mem::take(&mut held.parked);
        let count = incoming.len();
        for copy in incoming.into_values() {
            self.install_program(cx, shard, copy);
        }
        cx.log(
            LogEvent::new("shard_adopted")
                .with("shard", shard)
                .with("epoch", epoch)
                .with("programs", count),
        );
        self.resume_parked(cx, shard, parked);
    }

    pub(crate) fn resume_parked(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        parked: Vec<ParkedRequest>,
    ) {
        for request in parked {
            self.accept(
                cx,
                shard,
                request.subscriber,
                request.request,
                request.offset,
            );
        }
    }

    /// Takes over a program. If one of its calls may be running, asks the
    /// server for the state of that call.
    pub(crate) fn install_program(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        copy: ProgramCopy,
    ) {
        let open = copy.open_call().cloned();
        let id = copy.program;
        let (operator, deployment) = (copy.head.operator.clone(), copy.head.deployment.clone());
        self.insert_program(cx, copy);
        let Some(record) = open else {
            return;
        };
        let CallStage::Intended { server, boot } = record.stage.clone() else {
            return;
        };
        if let Some(program) = self.programs.get_mut(&id) {
            program.running = Some(record.call);
        }
        let call = Call {
            request: None,
            shard: Some(shard),
            program: id,
            state: State::Settling {
                server,
                boot,
                since: cx.now,
            },
            subscribers: Vec::new(),
            bytes: Vec::new(),
            deadline: cx.now + cx.rules.retention(),
            tried: Vec::new(),
            server: None,
            admitted: false,
            operator,
            deployment,
            record,
        };
        let call_id = call.record.call;
        self.call_timers
            .insert((cx.now + cx.rules.settle_wait(), call_id));
        self.calls.insert(call_id, call);
        self.count_outstanding(call_id, true);
        self.query_attempt(cx, call_id);
    }

    pub(crate) fn query_attempt(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (State::Running { server, boot } | State::Settling { server, boot, .. }) = &call.state
        else {
            return;
        };
        let message = Message::Settle {
            shard: self.epoch_of(call.shard),
            boot: *boot,
            call: id,
            attempt: call.record.attempt,
        };
        let server = server.clone();
        cx.send(&server, message);
    }

    /// Stops owning `shard` and redirects the waiting submissions to the new
    /// owner.
    pub(crate) fn release(&mut self, cx: &mut Context<'_>, shard: ShardId) {
        let Some(held) = self.shards.remove(&shard) else {
            return;
        };
        for request in held.parked {
            reply(cx, &request.subscriber, Reply::Moved);
        }
        for (_, step) in held.deferred {
            if let DeferredAction::Answer(subscriber, _, _)
            | DeferredAction::Refuse(subscriber, _) = step
            {
                reply(cx, &subscriber, Reply::Moved);
            }
        }
        let calls: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.shard == Some(shard))
            .map(|(id, _)| *id)
            .collect();
        for id in calls {
            self.count_outstanding(id, false);
            let Some(call) = self.calls.remove(&id) else {
                continue;
            };
            let key = (call.operator.clone(), call.deployment.clone());
            if call.admitted {
                self.admission.finish(&key);
            } else {
                self.admission.remove_queued(&key, id);
            }
            for subscriber in &call.subscribers {
                reply(cx, subscriber, Reply::Moved);
            }
        }
        let count = cx.rules.shards;
        self.programs.retain(|id, _| id.shard(count) != shard);
    }
}
