//! The path of a call from its arrival to a server: deduplication, order
//! within the program, history and budget checks, admission and placement.

use rand::Rng as _;

use crate::budget::Amount;
use crate::budget::Budget;
use crate::code::Code;
use crate::id::Boot;
use crate::id::CallId;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::id::ShardId;
use crate::message::Change;
use crate::message::Message;
use crate::message::Order;
use crate::message::Reply;
use crate::outcome::Ran;
use crate::outcome::Refusal;
use crate::owner::BYTES_PER_TOKEN;
use crate::owner::Call;
use crate::owner::CallLookup;
use crate::owner::Context;
use crate::owner::DeferredAction;
use crate::owner::Owner;
use crate::owner::State;
use crate::owner::Subscriber;
use crate::owner::candidates;
use crate::owner::estimate_tokens;
use crate::owner::limits_per_entry;
use crate::owner::reply;
use crate::owner::send_bytes;
use crate::owner::timeout;
use crate::owner::update;
use crate::placement::CallView;
use crate::placement::Placement;
use crate::placement::ServerView;
use crate::program::CallRecord;
use crate::program::CallRequest;
use crate::program::CallStage;
use crate::program::HistoryMode;
use crate::program::ProgramCopy;
use crate::program::ProgramHead;
use crate::program::Target;
use crate::program::Urgency;

impl Owner {
    pub(crate) fn accept_call(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        subscriber: Subscriber,
        request: Box<CallRequest>,
        offset: u64,
    ) {
        if let Some(call) = self.calls.get_mut(&request.call) {
            if call.record.digest != request.digest {
                reply(
                    cx,
                    &subscriber,
                    Reply::Refused(Refusal::new(Code::IdReused)),
                );
                return;
            }
            send_bytes(cx, &subscriber, call.record.attempt, &call.bytes, offset);
            if call.request.is_none() {
                call.deadline = cx.now + request.patience;
                call.request = Some(request);
            }
            call.subscribers.push(subscriber);
            return;
        }
        match self.look_up_call(cx, shard, &request) {
            Ok(CallLookup::New(number)) => {
                self.enqueue_call(cx, shard, subscriber, request, number)
            }
            Ok(CallLookup::Recorded(record)) => {
                self.replay_answer(cx, &subscriber, request.program, &record, offset)
            }
            Err(refusal) => self.refuse_request(cx, shard, subscriber, refusal),
        }
    }

    /// Refuses a request that does not belong to an open call. The refusal may
    /// rest on the absence of a record. It is therefore sent only after the
    /// keeper has confirmed that this process still owns the shard: a later
    /// owner may have the record. Refusals that state that the work ran need
    /// no confirmation.
    pub(crate) fn refuse_request(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        subscriber: Subscriber,
        refusal: Refusal,
    ) {
        match shard {
            Some(shard) if refusal.code.ran() != Ran::Ran => {
                let seq = self.replicate(cx, shard, Change::Probe);
                self.run_after_ack(cx, shard, seq, DeferredAction::Refuse(subscriber, refusal));
            }
            _ => reply(cx, &subscriber, Reply::Refused(refusal)),
        }
    }

    /// Looks for the record of an earlier call with the same id. If there is
    /// none, determines the number of the call in its program.
    pub(crate) fn look_up_call(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        request: &CallRequest,
    ) -> Result<CallLookup, Refusal> {
        let Some(shard) = shard else {
            return Ok(CallLookup::New(1));
        };
        if !self.programs.contains_key(&request.program) {
            self.open_single(cx, shard, request)?;
        }
        let Some(program) = self.programs.get_mut(&request.program) else {
            return Err(Refusal::new(Code::ProgramUnknown));
        };
        program.last_active = cx.now;
        let copy = &program.copy;
        if let Some(record) = copy.record(request.call) {
            if record.digest != request.digest {
                return Err(Refusal::new(Code::IdReused));
            }
            return Ok(CallLookup::Recorded(Box::new(record.clone())));
        }
        if let Some(past) = copy.past(request.call) {
            let code = if past.answered {
                Code::AnswerExpired
            } else {
                Code::OutcomeUnknown
            };
            return Err(Refusal::new(code));
        }
        if copy.head.ended {
            return Err(Refusal::new(Code::ProgramEnded));
        }
        let next = copy.head.next;
        let number = match request.number {
            Some(number) => number,
            None => (next..)
                .find(|number| !program.queued.contains_key(number))
                .unwrap_or(next),
        };
        if number < next || program.queued.contains_key(&number) {
            return Err(Refusal::with_detail(
                Code::OutOfTurn,
                format!("number {number} is taken"),
            ));
        }
        if number > next + cx.rules.turns_ahead {
            let detail = format!("number {number} is too far from the next one, {next}");
            return Err(Refusal::with_detail(Code::OutOfTurn, detail));
        }
        Ok(CallLookup::New(number))
    }

    pub(crate) fn open_single(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        request: &CallRequest,
    ) -> Result<(), Refusal> {
        if !request.program.is_single_call() {
            return Err(Refusal::new(Code::ProgramUnknown));
        }
        let copies_lost = self.shards.get(&shard).is_some_and(|held| held.copies_lost);
        if copies_lost && !request.idempotent && request.keyed {
            // The call may have been sent before and have run, and both copies
            // of its record may be lost. A call within a program is safe: a
            // lost program is refused as unknown.
            let detail = "records of earlier calls were lost; open a program for this call";
            return Err(Refusal::with_detail(Code::OutcomeUnknown, detail));
        }
        if self.programs.len() >= cx.rules.programs {
            return Err(Refusal::with_detail(
                Code::Overloaded,
                "too many programs are open",
            ));
        }
        let Some(rules) = cx.documents.rules(&request.operator, &request.deployment) else {
            return Err(Refusal::new(Code::BadKey));
        };
        let head = ProgramHead {
            operator: request.operator.clone(),
            deployment: request.deployment.clone(),
            parent: None,
            next: 1,
            budget: Budget::new(rules.program.amount()),
            ended: false,
            warm: None,
            attained: 0,
        };
        let copy = ProgramCopy::new(request.program, head);
        let change = Change::Program(Box::new(copy.clone()));
        self.insert_program(cx, copy);
        self.replicate(cx, shard, change);
        Ok(())
    }

    pub(crate) fn enqueue_call(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        subscriber: Subscriber,
        request: Box<CallRequest>,
        number: u64,
    ) {
        let id = request.call;
        let patience = request.patience;
        let record = CallRecord {
            call: id,
            number,
            digest: request.digest,
            attempt: 0,
            idempotent: request.idempotent,
            need: Amount::default(),
            turns: request.turns.clone(),
            replace: request.supply == HistoryMode::Full,
            stage: CallStage::Intended {
                server: self.node.clone(),
                boot: Boot::default(),
            },
        };
        let call = Call {
            shard,
            program: request.program,
            record,
            state: State::AwaitingTurn,
            subscribers: vec![subscriber],
            bytes: Vec::new(),
            deadline: cx.now + patience,
            tried: Vec::new(),
            server: None,
            admitted: false,
            operator: request.operator.clone(),
            deployment: request.deployment.clone(),
            request: Some(request),
        };
        let program = call.program;
        self.calls.insert(id, call);
        let wait = if shard.is_some() {
            patience.min(cx.rules.turn_wait())
        } else {
            patience
        };
        self.call_timers.insert((cx.now + wait, id));
        if shard.is_none() {
            self.admit(cx, id);
            return;
        }
        if let Some(program) = self.programs.get_mut(&program) {
            program.queued.insert(number, id);
        }
        self.start_next_call(cx, program);
    }

    /// Starts the call with the next number, if it has arrived and no call of
    /// the program runs.
    pub(crate) fn start_next_call(&mut self, cx: &mut Context<'_>, id: ProgramId) {
        loop {
            let Some(program) = self.programs.get_mut(&id) else {
                return;
            };
            if program.running.is_some() {
                return;
            }
            let Some(call) = program.queued.remove(&program.copy.head.next) else {
                return;
            };
            program.running = Some(call);
            program.copy.head.next += 1;
            match self.check_turn(cx, call) {
                Ok(need) => {
                    if let Some(call) = self.calls.get_mut(&call) {
                        call.record.need = need;
                    }
                    self.reserve(id, need);
                    self.admit(cx, call);
                    return;
                }
                Err(refusal) => self.refuse(cx, call, refusal),
            }
        }
    }

    /// Checks the history that a call continues and the budgets of its program
    /// and the programs above. Returns the amount to reserve.
    pub(crate) fn check_turn(&self, cx: &Context<'_>, id: CallId) -> Result<Amount, Refusal> {
        let missing = || Refusal::new(Code::ProgramUnknown);
        let call = self.calls.get(&id).ok_or_else(missing)?;
        let request = call.request.as_ref().ok_or_else(missing)?;
        let program = self.programs.get(&call.program).ok_or_else(missing)?;
        let history = &program.copy.history;
        history
            .verify()
            .map_err(|error| Refusal::with_detail(Code::HistoryMismatch, error.to_string()))?;
        if let HistoryMode::Append(Some(digest)) = request.supply
            && digest != history.digest()
        {
            let detail = format!("the history has {}", history.digest());
            return Err(Refusal::with_detail(Code::HistoryMismatch, detail));
        }
        if cx
            .documents
            .rules(&call.operator, &call.deployment)
            .is_none()
        {
            return Err(Refusal::new(Code::BadKey));
        }
        let need = Amount::one_call(estimate_tokens(request, history.size()));
        for ancestor in self.ancestry(call.program) {
            let Some(program) = self.programs.get(&ancestor) else {
                continue;
            };
            let budget = &program.copy.head.budget;
            budget
                .check(need)
                .map_err(|error| Refusal::with_detail(Code::BudgetSpent, error.to_string()))?;
        }
        Ok(need)
    }

    /// Returns a program and its ancestors, from the program upwards.
    pub(crate) fn ancestry(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut ancestry = vec![id];
        let mut at = id;
        while let Some(parent) = self.programs.get(&at).and_then(|p| p.copy.head.parent) {
            ancestry.push(parent);
            at = parent;
        }
        ancestry
    }

    pub(crate) fn reserve(&mut self, id: ProgramId, need: Amount) {
        for ancestor in self.ancestry(id) {
            if let Some(program) = self.programs.get_mut(&ancestor) {
                program.copy.head.budget.reserve(need);
            }
        }
    }

    pub(crate) fn settle_budget(&mut self, id: ProgramId, need: Amount, used: Amount) {
        for ancestor in self.ancestry(id) {
            if let Some(program) = self.programs.get_mut(&ancestor) {
                program.copy.head.budget.settle(need, used);
            }
        }
    }

    /// Starts a call if the deployment's limits allow; otherwise queues or
    /// refuses it.
    pub(crate) fn admit(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(rules) = cx.documents.rules(&call.operator, &call.deployment) else {
            self.refuse(cx, id, Refusal::new(Code::BadKey));
            return;
        };
        let urgency = call.request.as_ref().map_or(Urgency::Normal, |r| r.urgency);
        let limits = limits_per_entry(&rules.limits, cx.members.entries() + 1);
        let key = (call.operator.clone(), call.deployment.clone());
        if self.admission.try_start(&key, &limits) {
            call.admitted = true;
            self.place(cx, id);
        } else if self.admission.try_queue(&key, &limits, urgency, cx.now, id) {
            call.state = State::AwaitingAdmission;
        } else {
            self.refuse(cx, id, Refusal::new(Code::Overloaded));
        }
    }

    /// Chooses a server for a call and records the choice with the keeper
    /// before the call is sent.
    pub(crate) fn place(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some((server, boot)) = self.choose(cx, id) else {
            let was_refused = self
                .calls
                .get(&id)
                .is_some_and(|call| !call.tried.is_empty());
            let code = if was_refused {
                Code::Overloaded
            } else {
                Code::NoServer
            };
            self.refuse(cx, id, Refusal::new(code));
            return;
        };
        let attempt = self.rng.random();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.bytes.clear();
        call.record.attempt = attempt;
        call.record.stage = CallStage::Intended {
            server: server.clone(),
            boot,
        };
        call.state = State::PersistingIntent { server, boot };
        let Some(shard) = call.shard else {
            self.dispatch(cx, id);
            return;
        };
        let record = call.record.clone();
        let program = call.program;
        let above = self.budgets_above(program);
        let Some(program) = self.programs.get_mut(&program) else {
            return;
        };
        program.copy.put(record.clone());
        let change = update(&program.copy, above, Some(record), Vec::new(), false);
        let seq = self.replicate(cx, shard, change);
        self.run_after_ack(cx, shard, seq, DeferredAction::Dispatch(id));
    }

    pub(crate) fn choose(&mut self, cx: &Context<'_>, id: CallId) -> Option<(NodeId, Boot)> {
        let call = self.calls.get(&id)?;
        let request = call.request.as_ref()?;
        let rules = cx.documents.rules(&call.operator, &call.deployment)?;
        let names = match &request.target {
            Target::Model(model) => &rules.models.get(model)?.servers,
            Target::Service { service, .. } => &rules.services.get(service)?.servers,
        };
        let program = self.programs.get(&call.program);
        let prompt = program.map_or(0, |p| p.copy.history.size() as u64) / BYTES_PER_TOKEN;
        let warm = program.and_then(|program| program.copy.head.warm.as_ref());
        let mut nodes = Vec::new();
        let mut views = Vec::new();
        for name in candidates(names, warm, &mut self.rng) {
            if !cx.members.in_service(cx.now, name) || call.tried.contains(name) {
                continue;
            }
            let Some(boot) = cx.members.boot(name) else {
                continue;
            };
            let sent = self.outstanding.get(name).copied().unwrap_or_default();
            let member = cx.members.get(name);
            let load = member.map(|member| member.load()).unwrap_or_default();
            nodes.push((name.clone(), boot));
            views.push(ServerView {
                slots: cx.documents.server(name).map_or(1, |rules| rules.slots),
                active_calls: sent.calls.max(load.running + load.queued),
                backlog: sent.tokens.max(load.tokens),
                cached_tokens: if warm == Some(name) { prompt } else { 0 },
                pace: load.pace,
            });
        }
        let view = CallView {
            prompt,
            weights: rules.weights,
            program: call.program.leaf,
        };
        let index = self.placement.choose(&view, &views, &mut self.rng)?;
        nodes.get(index).cloned()
    }

    /// Sends a call to the chosen server, after the keeper has acknowledged
    /// the choice.
    pub(crate) fn dispatch(&mut self, cx: &mut Context<'_>, id: CallId) {
        let shard = self
            .calls
            .get(&id)
            .and_then(|call| self.epoch_of(call.shard));
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let State::PersistingIntent { server, boot } = call.state.clone() else {
            return;
        };
        let Some(request) = &call.request else {
            return;
        };
        let program = self.programs.get(&call.program);
        let continued = program.filter(|_| request.supply != HistoryMode::Full);
        let turns = continued
            .into_iter()
            .flat_map(|program| program.copy.history.turns());
        let order = Order {
            shard,
            boot,
            program: call.program,
            call: id,
            attempt: call.record.attempt,
            deployment: call.deployment.clone(),
            target: request.target.clone(),
            idempotent: request.idempotent,
            turns: turns.chain(&request.turns).cloned().collect(),
            body: request.body.clone(),
            tokens: request.tokens,
            urgency: request.urgency,
            attained: program.map_or(0, |program| program.copy.head.attained),
            patience: call.deadline.since(cx.now),
            timeout: timeout(cx.documents, request),
        };
        call.state = State::Running {
            server: server.clone(),
            boot,
        };
        let wait = order.patience.max(order.timeout) + cx.rules.settle_wait();
        self.call_timers.insert((cx.now + wait, id));
        self.count_outstanding(id, true);
        cx.send(&server, Message::Order(Box::new(order)));
    }

    pub(crate) fn count_outstanding(&mut self, id: CallId, started: bool) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let server = match &call.state {
            State::Running { server, .. } | State::Settling { server, .. } => server,
            _ => return,
        };
        let sent = self.outstanding.entry(server.clone()).or_default();
        let tokens = call.record.need.tokens;
        if started {
            sent.calls += 1;
            sent.tokens += tokens;
        } else {
            sent.calls = sent.calls.saturating_sub(1);
            sent.tokens = sent.tokens.saturating_sub(tokens);
        }
    }
}
