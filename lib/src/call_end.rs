//! The end of a call: settles budgets, extends the history and replies to the
//! callers.

use crate::budget::Amount;
use crate::code::Code;
use crate::effect::LogEvent;
use crate::id::CallId;
use crate::id::Deployment;
use crate::id::Digest;
use crate::id::NodeId;
use crate::id::Operator;
use crate::id::ProgramId;
use crate::message::Change;
use crate::message::Message;
use crate::message::Reply;
use crate::message::Ticket;
use crate::outcome::Outcome;
use crate::outcome::Ran;
use crate::outcome::Refusal;
use crate::owner::Context;
use crate::owner::DeferredAction;
use crate::owner::Owner;
use crate::owner::State;
use crate::owner::Subscriber;
use crate::owner::ending_reply;
use crate::owner::history_update;
use crate::owner::limits_per_entry;
use crate::owner::outcome_label;
use crate::owner::reply;
use crate::owner::send_bytes;
use crate::owner::update;
use crate::program::CallRecord;
use crate::program::CallStage;

impl Owner {
    /// Refuses a call that is not running at any server.
    pub(crate) fn refuse(&mut self, cx: &mut Context<'_>, id: CallId, refusal: Refusal) {
        debug_assert!(refusal.code.ran() != Ran::Ran);
        self.record_outcome(cx, id, Outcome::Refused(refusal));
    }

    /// Cancels a call: immediately if it has not been sent to a server,
    /// otherwise through the server.
    pub(crate) fn cancel(&mut self, cx: &mut Context<'_>, id: CallId, code: Code) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match &call.state {
            State::AwaitingTurn | State::AwaitingAdmission | State::PersistingIntent { .. } => {
                self.refuse(cx, id, Refusal::new(code));
            }
            State::Running { server, .. } | State::Settling { server, .. } => {
                let message = Message::Cancel {
                    shard: self.epoch_of(call.shard),
                    call: id,
                    attempt: call.record.attempt,
                };
                let server = server.clone();
                cx.send(&server, message);
            }
            State::PersistingOutcome { .. } => {}
        }
    }

    /// Records the outcome of a call. The callers get the reply once the
    /// keeper has acknowledged the outcome.
    pub(crate) fn record_outcome(&mut self, cx: &mut Context<'_>, id: CallId, outcome: Outcome) {
        self.count_outstanding(id, false);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if matches!(call.state, State::PersistingOutcome { .. }) {
            return;
        }
        if let Outcome::Answer(answer) = &outcome {
            let received_len = call.bytes.len();
            let rest = answer.body.get(received_len..).unwrap_or_default().to_vec();
            call.bytes.extend_from_slice(&rest);
            for subscriber in &call.subscribers {
                send_bytes(
                    cx,
                    subscriber,
                    call.record.attempt,
                    &call.bytes,
                    received_len as u64,
                );
            }
        }
        let server = match &call.state {
            State::Running { server, .. } | State::Settling { server, .. } => Some(server.clone()),
            _ => None,
        };
        call.server.clone_from(&server);
        let was_awaiting_turn = call.state == State::AwaitingTurn;
        call.state = State::PersistingOutcome {
            outcome: outcome.clone(),
        };
        self.release_admission(cx, id);
        let Some(shard) = self.calls.get(&id).and_then(|call| call.shard) else {
            self.drop_server_record(cx, id);
            self.finish(cx, id);
            return;
        };
        let change = self.apply_outcome(cx, id, &outcome, server.as_ref(), was_awaiting_turn);
        let seq = self.replicate(cx, shard, change.unwrap_or(Change::Probe));
        self.run_after_ack(cx, shard, seq, DeferredAction::Finish(id));
    }

    /// Updates the program of a call that has ended. Returns the change for
    /// the keeper, if there is any.
    pub(crate) fn apply_outcome(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        outcome: &Outcome,
        server: Option<&NodeId>,
        was_awaiting_turn: bool,
    ) -> Option<Change> {
        let call = self.calls.get_mut(&id)?;
        call.record.stage = CallStage::Done(outcome.clone());
        let record = call.record.clone();
        let program_id = call.program;
        let need = record.need;
        let used = match outcome {
            Outcome::Answer(answer) => Amount::one_call(answer.tokens),
            Outcome::Refused(_) if outcome.is_not_run() => Amount::default(),
            Outcome::Refused(_) => need,
        };
        self.settle_budget(program_id, need, used);
        let above = self.budgets_above(program_id);
        let program = self.programs.get_mut(&program_id)?;
        program.last_active = cx.now;
        if was_awaiting_turn {
            program.queued.retain(|_, waiting| *waiting != id);
            return (program.running == Some(id)).then(|| {
                program.running = None;
                program.copy.head.next -= 1;
                update(&program.copy, above, None, Vec::new(), false)
            });
        }
        if outcome.is_not_run() {
            program.copy.head.next = record.number;
        }
        program.copy.put(record.clone());
        let (turns, replace) = history_update(&record, outcome);
        program.copy.extend_history(replace, turns.clone());
        if let Outcome::Answer(answer) = outcome {
            program.copy.head.attained += answer.tokens;
        }
        if let Some(server) = server.filter(|_| !record.turns.is_empty()) {
            self.record_cache_server(cx, program_id, server);
        }
        let program = self.programs.get(&program_id)?;
        Some(update(&program.copy, above, Some(record), turns, replace))
    }

    /// Records that `server` may now hold prompt cache for a program, whether
    /// the call succeeded or not. Releases the cache on the previous server,
    /// and on `server` too if the program has ended.
    pub(crate) fn record_cache_server(
        &mut self,
        cx: &mut Context<'_>,
        id: ProgramId,
        server: &NodeId,
    ) {
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        let head = &mut program.copy.head;
        let old = head.warm.replace(server.clone());
        let previous = old.filter(|old| old != server);
        let current = if head.ended { head.warm.take() } else { None };
        for node in previous.into_iter().chain(current) {
            cx.send(&node, Message::Release { program: id });
        }
    }

    pub(crate) fn release_admission(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let key = (call.operator.clone(), call.deployment.clone());
        if std::mem::take(&mut call.admitted) {
            self.admission.finish(&key);
        } else {
            self.admission.remove_queued(&key, id);
        }
        self.admit_next(cx, &key);
    }

    pub(crate) fn admit_next(&mut self, cx: &mut Context<'_>, key: &(Operator, Deployment)) {
        let Some(rules) = cx.documents.rules(&key.0, &key.1) else {
            return;
        };
        let limits = limits_per_entry(&rules.limits, cx.members.entries() + 1);
        if let Some(next) = self.admission.start_next(key, &limits) {
            if let Some(call) = self.calls.get_mut(&next) {
                call.admitted = true;
                self.place(cx, next);
            } else {
                self.admission.finish(key);
            }
        }
    }

    /// Replies to the callers of a call and starts the program's next call.
    pub(crate) fn finish(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let State::PersistingOutcome { outcome } = call.state else {
            return;
        };
        let digest = self
            .programs
            .get(&call.program)
            .map_or(Digest::default(), |program| program.copy.history.digest());
        for subscriber in &call.subscribers {
            reply(cx, subscriber, ending_reply(&call.record, &outcome, digest));
        }
        let event = LogEvent::new("call_ended")
            .with("call", id)
            .with("program", call.program)
            .with("number", call.record.number)
            .with("outcome", outcome_label(&outcome));
        cx.log(event);
        let Some(program) = self.programs.get_mut(&call.program) else {
            return;
        };
        if program.running == Some(id) {
            program.running = None;
        }
        self.start_next_call(cx, call.program);
    }

    pub(crate) fn replay_answer(
        &mut self,
        cx: &mut Context<'_>,
        subscriber: &Subscriber,
        program: ProgramId,
        record: &CallRecord,
        offset: u64,
    ) {
        let CallStage::Done(outcome) = &record.stage else {
            reply(cx, subscriber, Reply::Refused(Refusal::new(Code::Settling)));
            return;
        };
        if let Outcome::Answer(answer) = outcome {
            send_bytes(cx, subscriber, record.attempt, &answer.body, offset);
        }
        let digest = self
            .programs
            .get(&program)
            .map_or(Digest::default(), |program| program.copy.history.digest());
        reply(cx, subscriber, ending_reply(record, outcome, digest));
    }

    pub(crate) fn withdraw(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        ticket: Ticket,
        id: CallId,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.subscribers
            .retain(|subscriber| subscriber.ticket != ticket || subscriber.node != *from);
        let keyed = call.request.as_ref().is_none_or(|request| request.keyed);
        if call.subscribers.is_empty() && !keyed && call.record.idempotent {
            // No caller can fetch this answer any more.
            self.cancel(cx, id, Code::DeadlinePassed);
        }
    }
}
