//! Handles the messages of side processes about running calls.

use crate::code::Code;
use crate::id::CallId;
use crate::id::NodeId;
use crate::message::AttemptStatus;
use crate::message::Message;
use crate::message::OrderRejection;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::owner::Call;
use crate::owner::Context;
use crate::owner::Owner;
use crate::owner::State;

impl Owner {
    /// Returns the call that a message of `from` belongs to, if `from` is
    /// running this attempt. Late messages and those for other attempts belong
    /// to none.
    pub(crate) fn current_attempt(
        &mut self,
        from: &NodeId,
        id: CallId,
        attempt: u64,
    ) -> Option<&mut Call> {
        let call = self.calls.get_mut(&id)?;
        let runs_at_sender = match &call.state {
            State::Running { server, .. } | State::Settling { server, .. } => server == from,
            _ => false,
        };
        (runs_at_sender && call.record.attempt == attempt).then_some(call)
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
        let Some(call) = self.current_attempt(from, id, attempt) else {
            return;
        };
        let received_len = call.bytes.len() as u64;
        if offset > received_len || offset + (bytes.len() as u64) <= received_len {
            return;
        }
        let new_bytes = &bytes[(received_len - offset) as usize..];
        call.bytes.extend_from_slice(new_bytes);
        for subscriber in &call.subscribers {
            let message = Message::Chunk {
                ticket: subscriber.ticket,
                attempt,
                offset: received_len,
                bytes: new_bytes.to_vec(),
            };
            cx.send(&subscriber.node, message);
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
        // An outcome that does not belong to the current attempt is ignored
        // without telling the server to forget it: a later owner may still ask
        // for it.
        if self.current_attempt(from, id, attempt).is_none() {
            return;
        }
        self.record_outcome(cx, id, outcome);
    }

    pub(crate) fn order_refused(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        id: CallId,
        attempt: u64,
        fault: OrderRejection,
    ) {
        if self.current_attempt(from, id, attempt).is_none() {
            return;
        }
        if fault == OrderRejection::Late {
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
            self.record_outcome(cx, id, Outcome::refused(code));
            return;
        }
        self.retry_on_other_server(cx, id, from.clone());
    }

    /// Runs a call at another server. It must be certain that the call did not
    /// run at `refused_by`.
    pub(crate) fn retry_on_other_server(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        refused_by: NodeId,
    ) {
        self.count_outstanding(id, false);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = State::AwaitingAdmission;
        call.tried.push(refused_by);
        let ended = self
            .programs
            .get(&call.program)
            .is_some_and(|p| p.copy.head.ended);
        if ended {
            self.refuse(cx, id, Refusal::new(Code::ProgramEnded));
        } else if call.request.is_none() {
            // The call was taken over and its caller has not sent it again.
            // It ends as not run, so the caller may send it again later.
            self.record_outcome(cx, id, Outcome::refused(Code::NoOwner));
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
        standing: AttemptStatus,
    ) {
        let Some(call) = self.current_attempt(from, id, attempt) else {
            return;
        };
        match standing {
            AttemptStatus::Open => {
                if let State::Settling { server, boot, .. } = call.state.clone() {
                    call.state = State::Running { server, boot };
                }
            }
            AttemptStatus::Sealed => self.retry_after_seal(cx, id),
            AttemptStatus::OtherBoot => self.conclude_without_result(cx, id),
        }
    }

    /// Runs a call again that the server has never seen and will refuse from
    /// now on, so that it cannot run twice.
    pub(crate) fn retry_after_seal(&mut self, cx: &mut Context<'_>, id: CallId) {
        self.count_outstanding(id, false);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.state = State::AwaitingAdmission;
        if call.request.is_none() {
            self.record_outcome(cx, id, Outcome::refused(Code::NoOwner));
        } else {
            self.place(cx, id);
        }
    }

    /// Ends a call whose server cannot report the outcome any more.
    pub(crate) fn conclude_without_result(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let code = if call.record.idempotent {
            Code::BackendFailed
        } else {
            Code::OutcomeUnknown
        };
        self.record_outcome(cx, id, Outcome::refused(code));
    }
}
