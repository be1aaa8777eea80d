//! A call's way from its arrival to a server: its record, its number, its
//! turn, budgets, limits and place.

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
use crate::owner::Context;
use crate::owner::Entrance;
use crate::owner::Owner;
use crate::owner::State;
use crate::owner::Step;
use crate::owner::Watcher;
use crate::owner::candidates;
use crate::owner::need_tokens;
use crate::owner::reply;
use crate::owner::send_bytes;
use crate::owner::share;
use crate::owner::timeout;
use crate::owner::update;
use crate::placement::CallView;
use crate::placement::Placement;
use crate::placement::ServerView;
use crate::program::CallRecord;
use crate::program::CallRequest;
use crate::program::CallStage;
use crate::program::ProgramCopy;
use crate::program::ProgramHead;
use crate::program::Supply;
use crate::program::Target;
use crate::program::Urgency;

impl Owner {
    pub(crate) fn accept_call(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        watcher: Watcher,
        request: Box<CallRequest>,
        offset: u64,
    ) {
        if let Some(call) = self.calls.get_mut(&request.call) {
            if call.record.digest != request.digest {
                reply(cx, &watcher, Reply::Refused(Refusal::new(Code::IdReused)));
                return;
            }
            send_bytes(cx, &watcher, call.record.attempt, &call.bytes, offset);
            if call.request.is_none() {
                call.deadline = cx.now + request.patience;
                call.request = Some(request);
            }
            call.watchers.push(watcher);
            return;
        }
        match self.first_number(cx, shard, &request) {
            Ok(Entrance::Fresh(number)) => self.enter(cx, shard, watcher, request, number),
            Ok(Entrance::Known(record)) => {
                self.answer_again(cx, &watcher, request.program, &record, offset)
            }
            Err(refusal) => self.refuse_caller(cx, shard, watcher, refusal),
        }
    }

    /// Refuses a request that is no call under way. What rests on something
    /// not being known here is said once the keeper confirms that no later
    /// owner knows more.
    pub(crate) fn refuse_caller(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        watcher: Watcher,
        refusal: Refusal,
    ) {
        match shard {
            Some(shard) if refusal.code.ran() != Ran::Ran => {
                let seq = self.keep(cx, shard, Change::Probe);
                self.after(cx, shard, seq, Step::Refuse(watcher, refusal));
            }
            _ => reply(cx, &watcher, Reply::Refused(refusal)),
        }
    }

    /// Finds a call among those that have ended, or gives it its number.
    pub(crate) fn first_number(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        request: &CallRequest,
    ) -> Result<Entrance, Refusal> {
        let Some(shard) = shard else {
            return Ok(Entrance::Fresh(1));
        };
        if !self.programs.contains_key(&request.program) {
            self.open_single(cx, shard, request)?;
        }
        let Some(program) = self.programs.get_mut(&request.program) else {
            return Err(Refusal::new(Code::ProgramUnknown));
        };
        program.touched = cx.now;
        let copy = &program.copy;
        if let Some(record) = copy.record(request.call) {
            if record.digest != request.digest {
                return Err(Refusal::new(Code::IdReused));
            }
            return Ok(Entrance::Known(Box::new(record.clone())));
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
                .find(|number| !program.ahead.contains_key(number))
                .unwrap_or(next),
        };
        if number < next || program.ahead.contains_key(&number) {
            return Err(Refusal::with(
                Code::OutOfTurn,
                format!("number {number} is taken"),
            ));
        }
        if number > next + cx.rules.turns_ahead {
            let detail = format!("number {number} is too far from the next one, {next}");
            return Err(Refusal::with(Code::OutOfTurn, detail));
        }
        Ok(Entrance::Fresh(number))
    }

    pub(crate) fn open_single(
        &mut self,
        cx: &mut Context<'_>,
        shard: ShardId,
        request: &CallRequest,
    ) -> Result<(), Refusal> {
        if !request.program.is_single() {
            return Err(Refusal::new(Code::ProgramUnknown));
        }
        let lossy = self.shards.get(&shard).is_some_and(|held| held.lossy);
        if lossy && !request.idempotent && request.keyed {
            // An earlier sending may have run and both copies of it are
            // lost; only a program, whose absence tells, is safe here.
            let detail = "records of earlier calls were lost; open a program for this call";
            return Err(Refusal::with(Code::OutcomeUnknown, detail));
        }
        if self.programs.len() >= cx.rules.programs {
            return Err(Refusal::with(
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
        self.keep(cx, shard, change);
        Ok(())
    }

    pub(crate) fn enter(
        &mut self,
        cx: &mut Context<'_>,
        shard: Option<ShardId>,
        watcher: Watcher,
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
            replace: request.supply == Supply::Full,
            stage: CallStage::Intended {
                server: self.node.clone(),
                boot: Boot::default(),
            },
        };
        let call = Call {
            shard,
            program: request.program,
            record,
            state: State::Ahead,
            watchers: vec![watcher],
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
        let waits = if shard.is_some() {
            patience.min(cx.rules.turn_wait())
        } else {
            patience
        };
        self.timers.insert((cx.now + waits, id));
        if shard.is_none() {
            self.admit(cx, id);
            return;
        }
        if let Some(program) = self.programs.get_mut(&program) {
            program.ahead.insert(number, id);
        }
        self.next_turn(cx, program);
    }

    /// Gives the turn to the call with the next number, if it is there.
    pub(crate) fn next_turn(&mut self, cx: &mut Context<'_>, id: ProgramId) {
        loop {
            let Some(program) = self.programs.get_mut(&id) else {
                return;
            };
            if program.running.is_some() {
                return;
            }
            let Some(call) = program.ahead.remove(&program.copy.head.next) else {
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

    /// Checks the history that a call continues and the budgets that it
    /// draws on; returns what it needs.
    pub(crate) fn check_turn(&self, cx: &Context<'_>, id: CallId) -> Result<Amount, Refusal> {
        let missing = || Refusal::new(Code::ProgramUnknown);
        let call = self.calls.get(&id).ok_or_else(missing)?;
        let request = call.request.as_ref().ok_or_else(missing)?;
        let program = self.programs.get(&call.program).ok_or_else(missing)?;
        let history = &program.copy.history;
        history
            .verify()
            .map_err(|error| Refusal::with(Code::HistoryMismatch, error.to_string()))?;
        if let Supply::Append(Some(digest)) = request.supply
            && digest != history.digest()
        {
            let detail = format!("the history has {}", history.digest());
            return Err(Refusal::with(Code::HistoryMismatch, detail));
        }
        if cx
            .documents
            .rules(&call.operator, &call.deployment)
            .is_none()
        {
            return Err(Refusal::new(Code::BadKey));
        }
        let need = Amount::one_call(need_tokens(request, history.size()));
        for ancestor in self.line(call.program) {
            let Some(program) = self.programs.get(&ancestor) else {
                continue;
            };
            let budget = &program.copy.head.budget;
            budget
                .check(need)
                .map_err(|error| Refusal::with(Code::BudgetSpent, error.to_string()))?;
        }
        Ok(need)
    }

    /// Returns a program and those above it.
    pub(crate) fn line(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut line = vec![id];
        let mut at = id;
        while let Some(parent) = self.programs.get(&at).and_then(|p| p.copy.head.parent) {
            line.push(parent);
            at = parent;
        }
        line
    }

    pub(crate) fn reserve(&mut self, id: ProgramId, need: Amount) {
        for ancestor in self.line(id) {
            if let Some(program) = self.programs.get_mut(&ancestor) {
                program.copy.head.budget.reserve(need);
            }
        }
    }

    pub(crate) fn settle_budget(&mut self, id: ProgramId, need: Amount, used: Amount) {
        for ancestor in self.line(id) {
            if let Some(program) = self.programs.get_mut(&ancestor) {
                program.copy.head.budget.settle(need, used);
            }
        }
    }

    /// Lets a call run if the deployment's limits allow, or queues it.
    pub(crate) fn admit(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(rules) = cx.documents.rules(&call.operator, &call.deployment) else {
            self.refuse(cx, id, Refusal::new(Code::BadKey));
            return;
        };
        let urgency = call.request.as_ref().map_or(Urgency::Normal, |r| r.urgency);
        let limits = share(&rules.limits, cx.members.entries() + 1);
        let key = (call.operator.clone(), call.deployment.clone());
        if self.admission.enter(&key, &limits) {
            call.admitted = true;
            self.place(cx, id);
        } else if self.admission.wait(&key, &limits, urgency, cx.now, id) {
            call.state = State::Admitting;
        } else {
            self.refuse(cx, id, Refusal::new(Code::Overloaded));
        }
    }

    /// Chooses a server, and lets the keeper know before anything runs.
    pub(crate) fn place(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some((server, boot)) = self.choose(cx, id) else {
            let full = self
                .calls
                .get(&id)
                .is_some_and(|call| !call.tried.is_empty());
            let code = if full {
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
        call.state = State::Reserving { server, boot };
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
        let seq = self.keep(cx, shard, change);
        self.after(cx, shard, seq, Step::Dispatch(id));
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
            let sent = self.sent.get(name).copied().unwrap_or_default();
            let member = cx.members.get(name);
            let load = member.map(|member| member.load()).unwrap_or_default();
            nodes.push((name.clone(), boot));
            views.push(ServerView {
                slots: cx.documents.server(name).map_or(1, |rules| rules.slots),
                busy: sent.calls.max(load.running + load.queued),
                backlog: sent.tokens.max(load.tokens),
                cached: if warm == Some(name) { prompt } else { 0 },
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

    /// Gives a call to the server that was chosen, now that its intent is
    /// safe.
    pub(crate) fn dispatch(&mut self, cx: &mut Context<'_>, id: CallId) {
        let shard = self
            .calls
            .get(&id)
            .and_then(|call| self.epoch_of(call.shard));
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let State::Reserving { server, boot } = call.state.clone() else {
            return;
        };
        let Some(request) = &call.request else {
            return;
        };
        let program = self.programs.get(&call.program);
        let old = program.filter(|_| request.supply != Supply::Full);
        let turns = old
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
        let slack = order.patience.max(order.timeout) + cx.rules.settle_wait();
        self.timers.insert((cx.now + slack, id));
        self.count(id, true);
        cx.send(&server, Message::Order(Box::new(order)));
    }

    pub(crate) fn count(&mut self, id: CallId, more: bool) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let server = match &call.state {
            State::Running { server, .. } | State::Settling { server, .. } => server,
            _ => return,
        };
        let sent = self.sent.entry(server.clone()).or_default();
        let tokens = call.record.need.tokens;
        if more {
            sent.calls += 1;
            sent.tokens += tokens;
        } else {
            sent.calls = sent.calls.saturating_sub(1);
            sent.tokens = sent.tokens.saturating_sub(tokens);
        }
    }
}
