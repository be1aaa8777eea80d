//! The callers that wait at an entry: to whom their requests went, and what
//! of their answers they have.

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
use crate::owner::is_free;
use crate::time::Time;

/// How often a request without an owner is submitted anew.
const RETRY_MILLIS: u64 = 100;

#[derive(Debug)]
struct Waiter {
    caller: CallerKey,
    request: Request,
    /// The owner that it was submitted to; `None` while there is none.
    owner: Option<NodeId>,
    /// Whether it was ever submitted.
    submitted: bool,
    /// Bytes that the caller has.
    offset: u64,
    /// Run of the call that those bytes belong to.
    attempt: Option<u64>,
    since: Time,
    /// End of the caller's patience.
    patience: Time,
    /// When it is given up though an owner has it.
    deadline: Time,
}

impl Waiter {
    /// Returns whether there is nothing left to wait for: an owner that has
    /// the request ends it, and settles what became of it; of one that never
    /// left this process there is nothing to settle.
    fn is_over(&self, now: Time) -> bool {
        self.deadline <= now || !self.submitted && self.patience <= now
    }
}

/// The waiting callers of one entry.
#[derive(Debug)]
pub struct Front {
    node: NodeId,
    boot: Boot,
    serial: u64,
    waiters: BTreeMap<Ticket, Waiter>,
    tickets: BTreeMap<CallerKey, Ticket>,
}

impl Front {
    /// Makes a front without callers.
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

    pub(crate) fn arrive(
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
        // The owner ends a call at its deadline; the wait beyond it is for
        // settling what became of it.
        let patience = cx.now + patience;
        let deadline = patience + cx.rules.settle_wait() * 2;
        let waiter = Waiter {
            caller,
            request,
            owner: None,
            submitted: false,
            offset,
            attempt: None,
            since: cx.now,
            patience,
            deadline,
        };
        self.submit(cx, waiter);
    }

    /// Submits a request to the owner of its program, under a new ticket, so
    /// that what comes for an older one goes nowhere.
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
        if matches!(request, Request::Call(call) if is_free(call)) {
            return Some(self.node.clone());
        }
        let shard = request.program().shard(cx.rules.shards);
        let owner = cx.map.get(shard)?.owner.as_ref()?;
        let here = *owner == self.node || cx.members.is_linked(owner);
        here.then(|| owner.clone())
    }

    pub(crate) fn gone(&mut self, cx: &mut Context<'_>, caller: CallerKey) {
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
            self.restarted(cx, ticket);
            return;
        }
        let end = offset + bytes.len() as u64;
        if offset > waiter.offset || end <= waiter.offset {
            return;
        }
        waiter.attempt = Some(attempt);
        let fresh = bytes[(waiter.offset - offset) as usize..].to_vec();
        waiter.offset = end;
        cx.out.push(Effect::Chunk {
            caller: waiter.caller,
            bytes: fresh,
        });
    }

    /// Ends a request whose answer began anew: a mix of two answers is never
    /// given.
    fn restarted(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let detail = "the answer began anew; ask again with the same idempotency key from offset 0";
        self.finish(
            cx,
            ticket,
            Reply::Refused(Refusal::with(Code::BackendFailed, detail)),
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
                let other = waiter.attempt.is_some_and(|known| known != ending.attempt);
                if other || waiter.offset > ending.size {
                    self.restarted(cx, ticket);
                } else if waiter.offset < ending.size {
                    // Bytes are missing: ask for the rest, never end short.
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

    /// Submits anew what has no owner, and ends what has waited too long.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let retry = std::time::Duration::from_millis(RETRY_MILLIS);
        let due: Vec<Ticket> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| {
                let again = waiter.owner.is_none() && cx.now.since(waiter.since) >= retry;
                again || waiter.is_over(cx.now)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(waiter) = self.waiters.remove(&ticket) else {
                continue;
            };
            if waiter.is_over(cx.now) {
                let refusal = given_up(&waiter);
                self.waiters.insert(ticket, waiter);
                self.finish(cx, ticket, Reply::Refused(refusal));
            } else {
                self.submit(cx, waiter);
            }
        }
    }
}

/// Returns the last word to a caller whose request reached no owner, or was
/// lost with one. "Not run" is said only of what never left this process and
/// cannot have been sent before.
fn given_up(waiter: &Waiter) -> Refusal {
    let keyed = match &waiter.request {
        Request::Call(call) => call.keyed,
        // The id of a program that is opened is new, and reading does no harm.
        Request::Open(_) | Request::Read(_) => false,
        Request::End(_) | Request::Judge(_) => true,
    };
    if waiter.submitted || keyed {
        Refusal::new(Code::Settling)
    } else {
        Refusal::new(Code::NoOwner)
    }
}
