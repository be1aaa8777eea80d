//! The callers that wait at an entry: the owner that each request was
//! submitted to and the number of answer bytes that each caller has received.

use std::collections::BTreeMap;

use crate::code::Code;
use crate::effect::CallerKey;
use crate::effect::Effect;
use crate::id::Boot;
use crate::id::NodeId;
use crate::message::Message;
use crate::message::Reply;
use crate::message::Request;
use crate::message::Ticket;
use crate::outcome::Refusal;
use crate::owner::Context;
use crate::owner::is_stateless;
use crate::time::Time;

/// Interval at which a request without an owner is resubmitted.
const RETRY_INTERVAL_MS: u64 = 100;

#[derive(Debug)]
struct Waiter {
    caller: CallerKey,
    request: Request,
    /// The owner that the request was submitted to; `None` while there is
    /// none.
    owner: Option<NodeId>,
    /// Whether the request was ever submitted to an owner.
    submitted: bool,
    /// Number of answer bytes that the caller has received.
    offset: u64,
    /// The attempt that those bytes belong to.
    attempt: Option<u64>,
    /// When the request was last submitted or lost its owner.
    since: Time,
    /// When a request that was never submitted times out.
    submit_deadline: Time,
    /// When the request times out even if an owner has it.
    deadline: Time,
}

impl Waiter {
    /// Returns whether the request has timed out. A submitted request has
    /// more time, since its owner ends it at the caller's deadline and may
    /// then have to find out whether the call ran. A request that never left
    /// this process cannot have run.
    fn has_expired(&self, now: Time) -> bool {
        self.deadline <= now || !self.submitted && self.submit_deadline <= now
    }
}

/// The waiting callers of an entry.
#[derive(Debug)]
pub struct Callers {
    node: NodeId,
    boot: Boot,
    serial: u64,
    waiters: BTreeMap<Ticket, Waiter>,
    tickets: BTreeMap<CallerKey, Ticket>,
}

impl Callers {
    /// Creates an empty set of callers.
    pub(crate) fn new(node: NodeId, boot: Boot) -> Self {
        Self {
            node,
            boot,
            serial: 0,
            waiters: BTreeMap::new(),
            tickets: BTreeMap::new(),
        }
    }

    /// Returns the number of callers that wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no caller waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub(crate) fn on_request(
        &mut self,
        cx: &mut Context<'_>,
        caller: CallerKey,
        request: Request,
        offset: u64,
    ) {
        let patience = match &request {
            Request::Call(call) => call.patience,
            _ => cx.rules.cold_wait(),
        };
        // The owner ends a call at the end of the caller's patience. The
        // additional time lets it find out whether the call ran.
        let submit_deadline = cx.now + patience;
        let deadline = submit_deadline + cx.rules.settle_wait() * 2;
        let waiter = Waiter {
            caller,
            request,
            owner: None,
            submitted: false,
            offset,
            attempt: None,
            since: cx.now,
            submit_deadline,
            deadline,
        };
        self.submit(cx, waiter);
    }

    /// Submits a request to the owner of its program under a new ticket, so
    /// that late messages for an earlier submission are dropped.
    fn submit(&mut self, cx: &mut Context<'_>, mut waiter: Waiter) {
        self.serial += 1;
        let ticket = Ticket {
            boot: self.boot,
            serial: self.serial,
        };
        waiter.since = cx.now;
        waiter.owner = self.owner_of(cx, &waiter.request);
        if let Some(owner) = &waiter.owner {
            waiter.submitted = true;
            let message = Message::Submit {
                ticket,
                request: waiter.request.clone(),
                offset: waiter.offset,
            };
            cx.send(owner, message);
        }
        self.tickets.insert(waiter.caller, ticket);
        self.waiters.insert(ticket, waiter);
    }

    fn owner_of(&self, cx: &Context<'_>, request: &Request) -> Option<NodeId> {
        if matches!(request, Request::Call(call) if is_stateless(call)) {
            return Some(self.node.clone());
        }
        let shard = request.program().shard(cx.rules.shards);
        let owner = cx.map.get(shard)?.owner.as_ref()?;
        let reachable = *owner == self.node || cx.members.is_linked(owner);
        reachable.then(|| owner.clone())
    }

    pub(crate) fn on_disconnect(&mut self, cx: &mut Context<'_>, caller: CallerKey) {
        let Some(ticket) = self.tickets.remove(&caller) else {
            return;
        };
        let Some(waiter) = self.waiters.remove(&ticket) else {
            return;
        };
        if let (Some(owner), Request::Call(call)) = (&waiter.owner, &waiter.request) {
            let call = call.call;
            cx.send(owner, Message::Withdraw { ticket, call });
        }
    }

    pub(crate) fn chunk(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        ticket: Ticket,
        attempt: u64,
        offset: u64,
        bytes: &[u8],
    ) {
        let Some(waiter) = self.waiters.get_mut(&ticket) else {
            return;
        };
        if waiter.owner.as_ref() != Some(from) {
            return;
        }
        if waiter.attempt.is_some_and(|known| known != attempt) {
            self.refuse_restarted_answer(cx, ticket);
            return;
        }
        let end = offset + bytes.len() as u64;
        if offset > waiter.offset || end <= waiter.offset {
            return;
        }
        waiter.attempt = Some(attempt);
        let new_bytes = bytes[(waiter.offset - offset) as usize..].to_vec();
        waiter.offset = end;
        cx.out.push(Effect::Chunk {
            caller: waiter.caller,
            bytes: new_bytes,
        });
    }

    /// Refuses a request whose call was restarted after the caller had
    /// received a part of the answer, so that the caller never gets a mix of
    /// two answers.
    fn refuse_restarted_answer(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let detail = "the answer began anew; ask again with the same idempotency key from offset 0";
        self.finish(
            cx,
            ticket,
            Reply::Refused(Refusal::with_detail(Code::BackendFailed, detail)),
        );
    }

    pub(crate) fn reply(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        ticket: Ticket,
        reply: Reply,
    ) {
        let Some(waiter) = self.waiters.get_mut(&ticket) else {
            return;
        };
        if waiter.owner.as_ref() != Some(from) {
            return;
        }
        match &reply {
            Reply::Moved => {
                waiter.owner = None;
                waiter.since = cx.now;
            }
            Reply::Ended(ending) => {
                let other_attempt = waiter.attempt.is_some_and(|known| known != ending.attempt);
                if other_attempt || waiter.offset > ending.size {
                    self.refuse_restarted_answer(cx, ticket);
                } else if waiter.offset < ending.size {
                    // Bytes are missing. Resubmit to fetch the rest instead
                    // of ending with a truncated answer.
                    waiter.owner = None;
                    waiter.since = cx.now;
                } else {
                    self.finish(cx, ticket, reply);
                }
            }
            Reply::Refused(_) | Reply::Program(_) => self.finish(cx, ticket, reply),
        }
    }

    fn finish(&mut self, cx: &mut Context<'_>, ticket: Ticket, reply: Reply) {
        let Some(waiter) = self.waiters.remove(&ticket) else {
            return;
        };
        self.tickets.remove(&waiter.caller);
        cx.out.push(Effect::Finish {
            caller: waiter.caller,
            reply,
        });
    }

    pub(crate) fn link_down(&mut self, cx: &mut Context<'_>, node: &NodeId) {
        for waiter in self.waiters.values_mut() {
            if waiter.owner.as_ref() == Some(node) {
                waiter.owner = None;
                waiter.since = cx.now;
            }
        }
    }

    /// Resubmits requests without an owner and ends those that have timed
    /// out.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let retry = std::time::Duration::from_millis(RETRY_INTERVAL_MS);
        let due: Vec<Ticket> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| {
                let retry_due = waiter.owner.is_none() && cx.now.since(waiter.since) >= retry;
                retry_due || waiter.has_expired(cx.now)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(waiter) = self.waiters.remove(&ticket) else {
                continue;
            };
            if waiter.has_expired(cx.now) {
                let refusal = timeout_refusal(&waiter);
                self.waiters.insert(ticket, waiter);
                self.finish(cx, ticket, Reply::Refused(refusal));
            } else {
                self.submit(cx, waiter);
            }
        }
    }
}

/// Returns the refusal for a request that timed out. It states "not run" only
/// if the request never left this process and cannot have been sent before.
fn timeout_refusal(waiter: &Waiter) -> Refusal {
    let keyed = match &waiter.request {
        Request::Call(call) => call.keyed,
        // Opening uses a new program id, and reading has no side effects.
        Request::Open(_) | Request::Read(_) => false,
        Request::End(_) | Request::Judge(_) => true,
    };
    if waiter.submitted || keyed {
        Refusal::new(Code::Settling)
    } else {
        Refusal::new(Code::NoOwner)
    }
}
