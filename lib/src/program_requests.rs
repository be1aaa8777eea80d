//! Requests to the owner of a program: opening, reading and ending it, and
//! operators' decisions on calls of unknown outcome.

use std::collections::BTreeMap;

use crate::budget::Budget;
use crate::code::Code;
use crate::id::CallId;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::message::Change;
use crate::message::Message;
use crate::message::OpenRequest;
use crate::message::OutcomeDecision;
use crate::message::Reply;
use crate::message::Request;
use crate::message::Ticket;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::owner::Context;
use crate::owner::DeferredAction;
use crate::owner::Owner;
use crate::owner::ParkedRequest;
use crate::owner::Part;
use crate::owner::Phase;
use crate::owner::Program;
use crate::owner::Subscriber;
use crate::owner::is_stateless;
use crate::owner::reply;
use crate::owner::update;
use crate::program::CallStage;
use crate::program::ProgramCopy;
use crate::program::ProgramHead;

impl Owner {
    pub(crate) fn submit(
        &mut self,
        cx: &mut Context<'_>,
        from: &NodeId,
        ticket: Ticket,
        request: Request,
        offset: u64,
    ) {
        let subscriber = Subscriber {
            node: from.clone(),
            ticket,
        };
        if let Request::Call(call) = &request
            && is_stateless(call)
        {
            let Request::Call(call) = request else { return };
            self.accept_call(cx, None, subscriber, call, offset);
            return;
        }
        let shard = request.program().shard(cx.rules.shards);
        let Some(held) = self.shards.get_mut(&shard) else {
            reply(cx, &subscriber, Reply::Moved);
            return;
        };
        if held.phase == Phase::Adopting {
            if held.parked.len() < cx.rules.parked {
                held.parked.push(ParkedRequest {
                    subscriber,
                    request,
                    offset,
                });
            } else {
                reply(cx, &subscriber, Reply::Moved);
            }
            return;
        }
        self.accept(cx, shard, subscriber, request, offset);
    }

    pub(crate) fn accept(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        subscriber: Subscriber,
        request: Request,
        offset: u64,
    ) {
        if self.is_other_tenant(&request) {
            let refusal = Refusal::with_detail(Code::BadKey, "the program is another deployment's");
            self.refuse_request(cx, Some(shard), subscriber, refusal);
            return;
        }
        match request {
            Request::Call(call) => self.accept_call(cx, Some(shard), subscriber, call, offset),
            Request::Open(open) => self.open(cx, shard, subscriber, &open),
            Request::Read(request) => self.read(cx, shard, subscriber, request.program),
            Request::End(request) => self.end(cx, shard, subscriber, request.program),
            Request::Judge(decision) => self.judge(cx, shard, subscriber, &decision),
        }
    }

    /// Returns whether the requested program, or the parent of the program
    /// that is to be opened, belongs to another operator or deployment.
    fn is_other_tenant(&self, request: &Request) -> bool {
        let program_id = match request {
            Request::Open(open) => open.parent.unwrap_or(open.program),
            other => other.program(),
        };
        let (operator, deployment) = request.tenant();
        self.programs.get(&program_id).is_some_and(|program| {
            let head = &program.copy.head;
            head.operator != *operator || deployment.is_some_and(|name| head.deployment != *name)
        })
    }

    pub(crate) fn open(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        subscriber: Subscriber,
        open: &OpenRequest,
    ) {
        if self.programs.contains_key(&open.program) {
            // The request was sent before and its reply was lost.
            let seq = self.shards.get(&shard).map_or(0, |held| held.seq);
            self.run_after_ack(
                cx,
                shard,
                seq,
                DeferredAction::Answer(subscriber, open.program, Part::Head),
            );
            return;
        }
        let stuck = self
            .shards
            .get(&shard)
            .is_some_and(|held| held.has_ack_timed_out(cx));
        if stuck {
            reply(
                cx,
                &subscriber,
                Reply::Refused(Refusal::new(Code::NoKeeper)),
            );
            return;
        }
        if let Err(refusal) = self.check_open(cx, open) {
            self.refuse_request(cx, Some(shard), subscriber, refusal);
            return;
        }
        let head = ProgramHead {
            operator: open.operator.clone(),
            deployment: open.deployment.clone(),
            parent: open.parent,
            next: 1,
            budget: Budget::new(open.limit),
            ended: false,
            warm: None,
            attained: 0,
        };
        let copy = ProgramCopy::new(open.program, head);
        let change = Change::Program(Box::new(copy.clone()));
        self.insert_program(cx, copy);
        let seq = self.replicate(cx, shard, change);
        self.run_after_ack(
            cx,
            shard,
            seq,
            DeferredAction::Answer(subscriber, open.program, Part::Head),
        );
    }

    pub(crate) fn check_open(&self, cx: &Context<'_>, open: &OpenRequest) -> Result<(), Refusal> {
        if cx
            .documents
            .rules(&open.operator, &open.deployment)
            .is_none()
        {
            return Err(Refusal::new(Code::BadKey));
        }
        if self.programs.len() >= cx.rules.programs {
            return Err(Refusal::with_detail(
                Code::Overloaded,
                "too many programs are open",
            ));
        }
        let Some(parent) = open.parent else {
            return Ok(());
        };
        match self.programs.get(&parent) {
            None => Err(Refusal::with_detail(Code::ProgramUnknown, "the parent")),
            Some(program) if program.copy.head.ended => {
                Err(Refusal::with_detail(Code::ProgramEnded, "the parent"))
            }
            Some(_) => Ok(()),
        }
    }

    pub(crate) fn insert_program(&mut self, cx: &Context<'_>, copy: ProgramCopy) {
        let id = copy.program;
        let program = Program {
            copy,
            queued: BTreeMap::new(),
            running: None,
            last_active: cx.now,
        };
        self.program_timers.insert((cx.now, id));
        self.programs.insert(id, program);
    }

    pub(crate) fn read(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        subscriber: Subscriber,
        id: ProgramId,
    ) {
        let seq = self.replicate(cx, shard, Change::Probe);
        self.run_after_ack(
            cx,
            shard,
            seq,
            DeferredAction::Answer(subscriber, id, Part::Whole),
        );
    }

    pub(crate) fn end(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        subscriber: Subscriber,
        id: ProgramId,
    ) {
        if !self.programs.contains_key(&id) {
            self.refuse_request(
                cx,
                Some(shard),
                subscriber,
                Refusal::new(Code::ProgramUnknown),
            );
            return;
        }
        let seq = self.end_subtree(cx, shard, id);
        self.run_after_ack(
            cx,
            shard,
            seq,
            DeferredAction::Answer(subscriber, id, Part::Head),
        );
    }

    /// Ends a program and its sub-agents. Returns the sequence number of the
    /// last change.
    pub(crate) fn end_subtree(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        id: ProgramId,
    ) -> u64 {
        let mut seq = self.shards.get(&shard).map_or(0, |held| held.seq);
        for member in self.subtree(id) {
            let Some(program) = self.programs.get_mut(&member) else {
                continue;
            };
            program.last_active = cx.now;
            let warm = program.copy.head.warm.take();
            let waiting: Vec<CallId> = program.queued.values().copied().collect();
            let running = program.running;
            program.copy.head.ended = true;
            for call in waiting {
                self.refuse(cx, call, Refusal::new(Code::ProgramEnded));
            }
            if let Some(call) = running {
                self.cancel(cx, call, Code::ProgramEnded);
            }
            if let Some(server) = warm {
                cx.send(&server, Message::Release { program: member });
            }
            seq = self.replicate_head(cx, member);
        }
        seq
    }

    /// Returns a program and all its sub-agents. They share a root, so only
    /// programs with this root are searched.
    pub(crate) fn subtree(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut members = vec![id];
        let first = ProgramId {
            root: id.root,
            leaf: 0,
        };
        let last = ProgramId {
            root: id.root,
            leaf: u64::MAX,
        };
        let mut next = 0;
        while next < members.len() {
            let parent = members[next];
            for (child, program) in self.programs.range(first..=last) {
                if program.copy.head.parent == Some(parent) {
                    members.push(*child);
                }
            }
            next += 1;
        }
        members
    }

    /// Applies an operator's decision on a call of unknown outcome.
    pub(crate) fn judge(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        subscriber: Subscriber,
        decision: &OutcomeDecision,
    ) {
        let Some(program) = self.programs.get_mut(&decision.program) else {
            self.refuse_request(
                cx,
                Some(shard),
                subscriber,
                Refusal::new(Code::ProgramUnknown),
            );
            return;
        };
        let unknown = CallStage::Done(Outcome::refused(Code::OutcomeUnknown));
        let record = program.copy.record(decision.call);
        let Some(record) = record.filter(|record| record.stage == unknown) else {
            let detail = "the call's outcome is not unknown";
            reply(
                cx,
                &subscriber,
                Reply::Refused(Refusal::with_detail(Code::BadRequest, detail)),
            );
            return;
        };
        let mut record = record.clone();
        // `put` drops the record of a call that did not run, so that the
        // caller may send the call again.
        let code = if decision.ran {
            Code::AnswerExpired
        } else {
            Code::NoServer
        };
        record.stage = CallStage::Done(Outcome::refused(code));
        program.copy.put(record.clone());
        let change = update(&program.copy, Vec::new(), Some(record), Vec::new(), false);
        let seq = self.replicate(cx, shard, change);
        self.run_after_ack(
            cx,
            shard,
            seq,
            DeferredAction::Answer(subscriber, decision.program, Part::Head),
        );
    }
}
