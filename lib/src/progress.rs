//! What side processes tell of calls under way.

use crate::code::Code;
use crate::id::CallId;
use crate::id::NodeId;
use crate::message::Message;
use crate::message::OrderFault;
use crate::message::Standing;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::owner::Call;
use crate::owner::Context;
use crate::owner::Owner;
use crate::owner::State;

impl Owner {
    /// Returns the call that an answer of `from` is for, if it is for the
    /// attempt under way and not a late or crossed one.
    pub(crate) fn current(&mut self, from: &NodeId, id: CallId, attempt: u64) -> Option<&mut Call> {
        let call = self.calls.get_mut(&id)?;
        let here = match &call.state {
            State::Running { server, .. } | State::Settling { server, .. } => server == from,
            _ => false,
        };
        (here && call.record.attempt == attempt).then_some(call)
    }

    pub(crate) fn order_chunk(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        offset: u64,
        bytes: &[u8],
    ) {
        let Some(call) = self.current(from, id, attempt) else {
            return;
        };
        let have = call.bytes.len() as u64;
        if offset > have || offset + (bytes.len() as u64) <= have {
            return;
        }
        let fresh = &bytes[(have - offset) as usize..];
        call.bytes.extend_from_slice(fresh);
        for watcher in &call.watchers {
            let message = Message::Chunk {
                ticket: watcher.ticket,
                attempt,
                offset: have,
                bytes: fresh.to_vec(),
            };
            cx.send(&watcher.node, message);
        }
    }

    pub(crate) fn order_done(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        outcome: Outcome,
    ) {
        // An end that belongs to no attempt under way is left alone: a later
        // owner may still ask the server for it.
        if self.current(from, id, attempt).is_none() {
            return;
        }
        self.conclude(cx, id, outcome);
    }

    pub(crate) fn order_refused(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        fault: OrderFault,
    ) {
        if self.current(from, id, attempt).is_none() {
            return;
        }
        if fault == OrderFault::Late {
            let program = self
                .calls
                .get(&id)
                .and_then(|call| self.programs.get(&call.program));
            let ended = program.is_some_and(|program| program.copy.head.ended);
            let code = if ended {
                Code::ProgramEnded
            } else {
                Code::DeadlinePassed
            };
            self.conclude(cx, id, Outcome::refused(code));
            return;
        }
        self.try_elsewhere(cx, id, from.clone());
    }

    /// Runs a call at another server, after it surely did not run at `not`.
    pub(crate) fn try_elsewhere(&mut self, cx: &mut Context<'_>, id: CallId, not: NodeId) {
        self.count(id, false);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = State::Admitting;
        call.tried.push(not);
        let ended = self
            .programs
            .get(&call.program)
            .is_some_and(|p| p.copy.head.ended);
        if ended {
            self.refuse(cx, id, Refusal::new(Code::ProgramEnded));
        } else if call.request.is_none() {
            // Taken over, and its caller has not come back: it counts as not
            // run, and comes anew when the caller does.
            self.conclude(cx, id, Outcome::refused(Code::NoOwner));
        } else if call.tried.len() >= cx.rules.tries as usize {
            self.refuse(cx, id, Refusal::new(Code::Overloaded));
        } else {
            self.place(cx, id);
        }
    }

    pub(crate) fn settled(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        standing: Standing,
    ) {
        let Some(call) = self.current(from, id, attempt) else {
            return;
        };
        match standing {
            Standing::Open => {
                if let State::Settling { server, boot, .. } = call.state.clone() {
                    call.state = State::Running { server, boot };
                }
            }
            Standing::Sealed => self.retry_after_seal(cx, id),
            Standing::OtherBoot => self.give_up(cx, id),
        }
    }

    /// Runs a call again that surely did not run.
    pub(crate) fn retry_after_seal(&mut self, cx: &mut Context<'_>, id: CallId) {
        self.count(id, false);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = State::Admitting;
        if call.request.is_none() {
            self.conclude(cx, id, Outcome::refused(Code::NoOwner));
        } else {
            self.place(cx, id);
        }
    }

    /// Ends a call whose server cannot say any more what became of it.
    pub(crate) fn give_up(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let code = if call.record.idempotent {
            Code::BackendFailed
        } else {
            Code::OutcomeUnknown
        };
        self.conclude(cx, id, Outcome::refused(code));
    }
}
