//! What the owner sends its keeper, and what waits for the keeper's word.

use crate::budget::Budget;
use crate::code::Code;
use crate::effect::Effect;
use crate::id::CallId;
use crate::id::Epoch;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::message::Change;
use crate::message::KeepFault;
use crate::message::Message;
use crate::message::Reply;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::owner::Call;
use crate::owner::Context;
use crate::owner::Held;
use crate::owner::MAX_UNKEPT;
use crate::owner::Owner;
use crate::owner::Phase;
use crate::owner::State;
use crate::owner::Step;
use crate::owner::reply;
use crate::owner::update;
use crate::owner::view;
use crate::program::ProgramCopy;

impl Owner {
    /// Sends a change to the keeper and returns its number.
    pub(crate) fn keep(&mut self, cx: &mut Context<'_>, shard: ShardId, change: Change) -> u64 {
        let Some(held) = self.shards.get_mut(&shard) else {
            return 0;
        };
        held.seq += 1;
        held.waiting.get_or_insert(cx.now);
        if held.unkept.len() >= MAX_UNKEPT {
            // The keeper finds the gap when it is back and gets everything.
            held.unkept.clear();
            held.gap = true;
        }
        held.unkept.push_back((held.seq, change.clone()));
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

    pub(crate) fn keep_head(&mut self, cx: &mut Context<'_>, id: ProgramId) -> u64 {
        let Some(program) = self.programs.get(&id) else {
            return 0;
        };
        let change = update(&program.copy, Vec::new(), None, Vec::new(), false);
        self.keep(cx, id.shard(cx.rules.shards), change)
    }

    /// Returns the budgets of the programs above one.
    pub(crate) fn budgets_above(&self, id: ProgramId) -> Vec<(ProgramId, Budget)> {
        let line = self.line(id).into_iter().skip(1);
        line.filter_map(|id| Some((id, self.programs.get(&id)?.copy.head.budget)))
            .collect()
    }

    pub(crate) fn after(&mut self, cx: &mut Context<'_>, shard: ShardId, seq: u64, step: Step) {
        let Some(held) = self.shards.get_mut(&shard) else {
            return;
        };
        let safe = !held.gap && held.unkept.front().is_none_or(|(first, _)| *first > seq);
        if safe {
            self.take_step(cx, step);
        } else {
            held.steps.push_back((seq, step));
        }
    }

    pub(crate) fn take_step(&mut self, cx: &mut Context<'_>, step: Step) {
        match step {
            Step::Dispatch(call) => self.dispatch(cx, call),
            Step::Finish(call) => {
                self.forget_done(cx, call);
                self.finish(cx, call);
            }
            Step::Refuse(watcher, refusal) => reply(cx, &watcher, Reply::Refused(refusal)),
            Step::Answer(watcher, program, part) => {
                let word = match self.programs.get(&program) {
                    Some(program) => Reply::Program(Box::new(view(&program.copy, part))),
                    None => Reply::Refused(Refusal::new(Code::ProgramUnknown)),
                };
                reply(cx, &watcher, word);
            }
        }
    }

    /// Lets the server that ran a call forget it, since two copies of the
    /// outcome exist.
    pub(crate) fn forget_done(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Some(server) = call.server.clone() {
            let attempt = call.record.attempt;
            cx.send(&server, Message::Forget { call: id, attempt });
        }
    }

    pub(crate) fn kept(
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
        while held.unkept.front().is_some_and(|(first, _)| *first <= seq) {
            held.unkept.pop_front();
        }
        held.waiting = (!held.unkept.is_empty()).then_some(cx.now);
        let mut ready = Vec::new();
        while held.steps.front().is_some_and(|(first, _)| *first <= seq) {
            ready.extend(held.steps.pop_front().map(|(_, step)| step));
        }
        for step in ready {
            self.take_step(cx, step);
        }
    }

    /// Handles a keeper's refusal: fills its gap, or gives the shard up to
    /// the owner of the higher epoch.
    pub(crate) fn keep_refused(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        shard: ShardId,
        epoch: Epoch,
        fault: KeepFault,
    ) {
        let Some(held) = self.shards.get(&shard) else {
            return;
        };
        if held.epoch != epoch || held.keeper.as_ref() != Some(from) {
            return;
        }
        match fault {
            KeepFault::Gap if held.phase == Phase::Whole => self.fill(cx, shard),
            KeepFault::Gap => {}
            KeepFault::Fenced => self.release(cx, shard),
        }
    }

    /// Sends everything to the keeper anew, since it lacks what went before.
    pub(crate) fn fill(&mut self, cx: &mut Context<'_>, shard: ShardId) {
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
        held.unkept.clear();
        held.gap = false;
        held.waiting = None;
        self.keep(cx, shard, Change::Begin);
        for copy in copies {
            self.keep(cx, shard, Change::Program(Box::new(copy)));
        }
        let seq = self.keep(cx, shard, Change::Complete);
        // What waited for an earlier change now waits for the whole.
        if let Some(held) = self.shards.get_mut(&shard) {
            for step in &mut held.steps {
                step.0 = seq;
            }
        }
    }

    pub(crate) fn resend_unkept(&self, cx: &mut Context<'_>, shard: ShardId, held: &Held) {
        let Some(keeper) = &held.keeper else {
            return;
        };
        for (seq, change) in &held.unkept {
            let message = Message::Keep {
                shard,
                epoch: held.epoch,
                seq: *seq,
                change: change.clone(),
            };
            cx.send(keeper, message);
        }
    }

    /// While no keeper answers and none can be chosen, lets idempotent calls
    /// without a program go on, and refuses to start others: what only one
    /// process knows of a program would be lost with it. Who opens, reads or
    /// ends a program is told to come back. Calls that ran wait for a keeper,
    /// since their end must not be told before it is safe.
    pub(crate) fn go_on_alone(&mut self, cx: &mut Context<'_>) {
        let stuck: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, held)| held.is_stuck(cx))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stuck {
            let Some(held) = self.shards.get_mut(&shard) else {
                continue;
            };
            let steps = std::mem::take(&mut held.steps);
            for (seq, step) in steps {
                self.step_alone(cx, shard, seq, step);
            }
        }
    }

    pub(crate) fn step_alone(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        seq: u64,
        step: Step,
    ) {
        let call = match &step {
            Step::Dispatch(id) | Step::Finish(id) => self.calls.get_mut(id),
            Step::Refuse(..) | Step::Answer(..) => None,
        };
        let harmless = |call: &Call| call.program.is_single() && call.record.idempotent;
        match (step, call) {
            (step, Some(call)) if harmless(call) => self.take_step(cx, step),
            (Step::Dispatch(id), Some(_)) => {
                self.conclude(cx, id, Outcome::refused(Code::NoServer));
            }
            (Step::Finish(id), Some(call)) if call.is_refused() => {
                // Without the keeper's word, nobody can say "not run".
                let outcome = Outcome::refused(Code::NoKeeper);
                call.state = State::Recording { outcome };
                self.finish(cx, id);
            }
            (Step::Refuse(watcher, _) | Step::Answer(watcher, ..), _) => {
                reply(cx, &watcher, Reply::Refused(Refusal::new(Code::NoKeeper)));
            }
            (step @ Step::Finish(_), _) => {
                if let Some(held) = self.shards.get_mut(&shard) {
                    held.steps.push_back((seq, step));
                }
            }
            (Step::Dispatch(_), None) => {}
        }
    }
}
