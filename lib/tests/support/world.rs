//! A simulation of entries, side processes and their environment, advanced
//! step by step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use limpetferry_lib::budget::Amount;
use limpetferry_lib::effect::Effect;
use limpetferry_lib::entry;
use limpetferry_lib::entry::Entry;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::DataCentre;
use limpetferry_lib::id::Epoch;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::Operator;
use limpetferry_lib::id::ShardId;
use limpetferry_lib::id::Version;
use limpetferry_lib::member::Node;
use limpetferry_lib::member::Role;
use limpetferry_lib::message::Message;
use limpetferry_lib::rules::Rules;
use limpetferry_lib::shard_copies::CopyRecord;
use limpetferry_lib::side;
use limpetferry_lib::side::Side;
use limpetferry_lib::time::Time;
use serde_json::json;

use super::action::Action;
use super::backend::Backends;
use super::caller::Callers;
use super::caller::Violation;
use super::invariant;
use super::net::LinkEvent;
use super::net::Net;
use super::store::Store;
use super::store::StoreRequest;

/// Budget of each program.
pub const LIMIT: Amount = Amount {
    tokens: 100_000,
    calls: 12,
};

/// Number of latest trace lines that the report of a failed run contains.
const MAX_TRACE_LINES: usize = 4_000;
/// The operator of the one deployment.
const OPERATOR: &str = "op";
const ENTRIES: usize = 3;
const SIDES: usize = 3;
/// Number of side processes that have a data folder.
const SIDES_WITH_DISK: usize = 2;
const PROGRAMS: usize = 6;

enum Reducer {
    Entry(Box<Entry>),
    Side(Box<Side>),
}

struct Process {
    node: Node,
    boot: u64,
    reducer: Option<Reducer>,
    paused: bool,
    /// Stored records; only read by side processes with a data folder.
    disk: Vec<CopyRecord>,
}

/// Returns the value for [`Action::Call`] in the step `number` of a sequence
/// in which the programs take turns, and each round uses the next entry.
pub fn call_pick(number: u16) -> u16 {
    let programs = PROGRAMS as u16;
    number % programs + programs * 251 * 2 * (number / programs % 7)
}

/// The simulation.
pub struct World {
    now: Time,
    processes: Vec<Process>,
    net: Net,
    /// The key-value service.
    pub store: Store,
    /// The backend servers.
    pub backends: Backends,
    /// The callers.
    pub callers: Callers,
    /// Latest epoch of each shard in each process.
    pub epochs: BTreeMap<(NodeId, ShardId), Epoch>,
    rules: Rules,
    /// Text of the newest settings document.
    document: String,
    version: u64,
    /// Latest settings version in force in each process, by name and boot
    /// number.
    pub versions: BTreeMap<(NodeId, u64), Version>,
    violation: Option<Violation>,
    /// Number of steps so far.
    pub steps: u64,
    /// The latest events, for the report of a failed run.
    trace: VecDeque<String>,
}

fn document(sides: &[NodeId], version: u64) -> String {
    let servers: BTreeMap<&str, _> = sides
        .iter()
        .map(|id| (id.as_str(), json!({"slots": 2})))
        .collect();
    let names: Vec<&str> = sides.iter().map(NodeId::as_str).collect();
    json!({"operator": OPERATOR, "version": version, "patches": [], "document": {
        "servers": servers,
        "deployments": {"dep": {
            "key": "0".repeat(64),
            "models": {"m": {"servers": names, "tokens": 100, "timeout_ms": 5000}},
            "services": {"s": {"servers": names, "timeout_ms": 5000}},
            "limits": {"running": 100, "waiting": 100},
            "program": {"tokens": LIMIT.tokens, "calls": LIMIT.calls, "idle_s": 3600},
        }},
    }})
    .to_string()
}

/// Returns the trace line of an effect; `None` for effects that do not show
/// which process runs which call.
fn trace_line(effect: &Effect) -> Option<String> {
    match effect {
        Effect::Send { message, .. } => match message {
            Message::Beat(_)
            | Message::Document(_)
            | Message::Block { .. }
            | Message::Chunk { .. }
            | Message::OrderChunk { .. } => None,
            other => Some(short(
                format!("{effect:?}").replace(&format!("{other:?}"), &short(format!("{other:?}"))),
            )),
        },
        Effect::Chunk { .. } | Effect::Log(_) => None,
        other => Some(short(format!("{other:?}"))),
    }
}

fn short(text: String) -> String {
    text.chars().take(420).collect()
}

impl World {
    /// Creates a simulation in which all processes are started and connected.
    pub fn new() -> Self {
        let mut world = Self {
            now: Time::from_millis(1_000),
            processes: Vec::new(),
            net: Net::default(),
            store: Store::default(),
            backends: Backends::default(),
            callers: Callers::new(PROGRAMS),
            epochs: BTreeMap::new(),
            rules: Rules {
                shards: 2,
                ..Rules::default()
            },
            document: String::new(),
            version: 1,
            versions: BTreeMap::new(),
            violation: None,
            steps: 0,
            trace: VecDeque::new(),
        };
        for index in 0..ENTRIES + SIDES {
            world.add(index);
        }
        let sides: Vec<NodeId> = world.names(Role::Side);
        world.document = document(&sides, world.version);
        for index in 0..world.processes.len() {
            world.start(index);
        }
        world.run_without_faults(20);
        world
    }

    fn add(&mut self, index: usize) {
        let (role, name) = if index < ENTRIES {
            (Role::Entry, format!("e{index}"))
        } else {
            (Role::Side, format!("s{}", index - ENTRIES))
        };
        self.processes.push(Process {
            node: Node {
                id: NodeId::new(&name),
                role,
                centre: DataCentre::new(format!("dc{}", index % 2)),
                address: name.clone(),
                vm: name,
            },
            boot: 0,
            reducer: None,
            paused: false,
            disk: Vec::new(),
        });
    }

    fn names(&self, role: Role) -> Vec<NodeId> {
        let fits = self
            .processes
            .iter()
            .filter(|process| process.node.role == role);
        fits.map(|process| process.node.id.clone()).collect()
    }

    /// Returns the running entries.
    pub fn entries(&self) -> impl Iterator<Item = (&NodeId, &Entry)> {
        self.processes
            .iter()
            .filter_map(|process| match &process.reducer {
                Some(Reducer::Entry(entry)) => Some((&process.node.id, &**entry)),
                _ => None,
            })
    }

    /// Returns the running side processes.
    pub fn sides(&self) -> impl Iterator<Item = (&NodeId, &Side)> {
        self.processes
            .iter()
            .filter_map(|process| match &process.reducer {
                Some(Reducer::Side(side)) => Some((&process.node.id, &**side)),
                _ => None,
            })
    }

    fn start(&mut self, index: usize) {
        let boot = self.store.boot();
        let block_event = self.store.block_event();
        let registry: Vec<Node> = self.processes.iter().map(|p| p.node.clone()).collect();
        let document = self.document.clone();
        let process = &mut self.processes[index];
        process.boot = boot;
        process.paused = false;
        let id = process.node.id.clone();
        match process.node.role {
            Role::Entry => {
                let centre = process.node.centre.clone();
                let entry = Entry::new(id.clone(), centre, Boot(boot), self.rules.clone(), boot);
                process.reducer = Some(Reducer::Entry(Box::new(entry)));
                // Links may be established before the registry is read, so
                // that event is delivered later.
                let registered = entry::Event::Registry(registry);
                self.store.answers.push((id, registered));
                self.entry_event(index, entry::Event::Document(document));
                self.entry_event(index, block_event);
            }
            Role::Side => {
                let mut side = Side::new(id, Boot(boot), self.rules.clone());
                if index >= ENTRIES + SIDES - SIDES_WITH_DISK {
                    side.recover(process.disk.iter().cloned());
                }
                process.reducer = Some(Reducer::Side(Box::new(side)));
                if let entry::Event::Block {
                    block,
                    revision,
                    value,
                } = block_event
                {
                    let event = side::Event::Block {
                        block,
                        revision,
                        value,
                    };
                    self.side_event(index, event);
                }
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let id = self.processes[index].node.id.clone();
        self.processes[index].reducer = None;
        self.net.drop_node(&id);
        self.callers.disconnect(&id);
        self.store.requests.retain(|(node, _)| *node != id);
        self.store.answers.retain(|(node, _)| *node != id);
        self.epochs.retain(|(node, _), _| *node != id);
    }

    /// Adds a line to the report of a failed run.
    fn trace(&mut self, line: String) {
        if self.trace.len() >= MAX_TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:?} {line}", self.now));
    }

    fn report(&mut self) -> Result<(), Violation> {
        let Some(violation) = self.violation.take() else {
            return Ok(());
        };
        let lines: Vec<String> = self.trace.iter().cloned().collect();
        Err(format!(
            "{violation}\ntrace:\n{}\nend of trace",
            lines.join("\n")
        ))
    }

    // Events and effects.

    fn entry_event(&mut self, index: usize, event: entry::Event) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(Reducer::Entry(entry)) = &mut self.processes[index].reducer {
            entry.step(now, event, &mut out);
        }
        self.perform(index, out);
    }

    fn side_event(&mut self, index: usize, event: side::Event) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(Reducer::Side(side)) = &mut self.processes[index].reducer {
            side.step(now, event, &mut out);
        }
        self.perform(index, out);
    }

    fn perform(&mut self, index: usize, out: Vec<Effect>) {
        let id = self.processes[index].node.id.clone();
        let boot = self.processes[index].boot;
        for effect in out {
            if let Some(line) = trace_line(&effect) {
                self.trace(format!("{id}: {line}"));
            }
            match effect {
                Effect::Send { to, message } => self.net.send(&id, &to, message),
                Effect::Chunk { caller, bytes } => self.callers.chunk(caller, &bytes),
                Effect::Finish { caller, reply } => {
                    let counts = &self.backends.counts;
                    let runs = |call| counts.get(&call).copied().unwrap_or(0);
                    let (_, block) = self.store.block();
                    let shards = self.rules.shards;
                    let copies_lost = |program: limpetferry_lib::id::ProgramId| {
                        block.shards[usize::from(program.shard(shards).0)].lost.0 > 0
                    };
                    if let Err(violation) = self.callers.finish(caller, &reply, runs, copies_lost) {
                        self.violation.get_or_insert(violation);
                    }
                }
                Effect::Swap {
                    revision, value, ..
                } => {
                    let request = StoreRequest::Swap(revision, value);
                    self.store.enqueue(id.clone(), request);
                }
                Effect::ReadBlock { .. } => {
                    self.store.enqueue(id.clone(), StoreRequest::Read);
                }
                Effect::Start {
                    call,
                    attempt,
                    work,
                } => {
                    self.backends.start((id.clone(), boot), call, attempt, work);
                    self.check_run();
                }
                Effect::Abort { call, attempt } => self.backends.abort(&id, call, attempt),
                Effect::Release { program } => {
                    self.backends.caches.remove(&(id.clone(), program));
                }
                Effect::Store(record) => self.processes[index].disk.push(*record),
                Effect::Log(_) => {}
            }
        }
    }

    fn check_run(&mut self) {
        let runs = &self.backends.runs;
        let checks = [
            invariant::at_most_once(&self.callers, &self.backends.counts),
            invariant::calls_in_order(&self.callers, runs),
            invariant::history_whole(&self.callers, runs),
            invariant::budget_holds(&self.callers, runs),
        ];
        for check in checks {
            if let Err(violation) = check {
                self.violation.get_or_insert(violation);
            }
        }
    }

    fn process_index(&self, id: &NodeId) -> Option<usize> {
        self.processes
            .iter()
            .position(|process| process.node.id == *id)
    }

    fn is_responsive(&self, id: &NodeId) -> bool {
        let process = self.process_index(id).map(|index| &self.processes[index]);
        process.is_some_and(|process| process.reducer.is_some() && !process.paused)
    }

    // Steps.

    /// Takes one step.
    ///
    /// # Errors
    ///
    /// Returns the first violated guarantee.
    pub fn step(&mut self, action: Action) -> Result<(), Violation> {
        self.steps += 1;
        if !matches!(
            action,
            Action::Deliver(_) | Action::Settle | Action::Tick(_)
        ) {
            self.trace(format!("{action:?}"));
        }
        self.now = self.now + Duration::from_millis(1);
        match action {
            Action::Deliver(pick) => self.deliver(pick),
            Action::Settle => self.settle(),
            Action::Tick(pick) => self.tick(usize::from(pick) % self.processes.len()),
            Action::Wait(pick) => self.wait(Duration::from_millis(u64::from(pick % 700))),
            Action::Call(pick) => self.call(pick),
            Action::AbandonRequest(pick) => self.abandon_request(pick),
            Action::Crash(pick) => self.crash(usize::from(pick) % self.processes.len()),
            Action::Restart(pick) => {
                let index = usize::from(pick) % self.processes.len();
                if self.processes[index].reducer.is_none() && !self.store.down {
                    self.start(index);
                }
            }
            Action::Pause(pick) => {
                let index = usize::from(pick) % self.processes.len();
                self.processes[index].paused = true;
            }
            Action::Resume(pick) => {
                let index = usize::from(pick) % self.processes.len();
                self.processes[index].paused = false;
            }
            Action::Cut(pick) => self.cut(pick, false),
            Action::Partition(pick) => self.cut(pick, true),
            Action::HealPartitions => self.net.heal_partitions(),
            Action::Outage(down) => self.store.down = down,
            Action::LoseReply(pick) => self.store.lost_replies = u32::from(pick % 2),
            Action::Leave(pick) => {
                let index = ENTRIES + usize::from(pick) % SIDES;
                self.side_event(index, side::Event::ShutDown);
            }
            Action::DuplicateNotification(pick) => self.duplicate_notification(pick),
            Action::FailRun(pick) => self.fail_run(pick),
            Action::Patch if self.store.down => {}
            Action::Patch => self.patch(),
        }
        for check in [invariant::epochs_grow, invariant::versions_grow] {
            if let Err(violation) = check(self) {
                self.violation.get_or_insert(violation);
            }
        }
        self.report()
    }

    fn deliver(&mut self, pick: u16) {
        let directions = self.net.pending_directions(|to| self.is_responsive(to));
        let total = directions.len()
            + self.store.requests.len()
            + self.store.answers.len()
            + self.backends.pending.len();
        if total == 0 {
            return;
        }
        let mut at = usize::from(pick) % total;
        if let Some(direction) = directions.get(at) {
            self.deliver_link_event(direction);
            return;
        }
        at -= directions.len();
        if at < self.store.requests.len() {
            let watchers = self.names(Role::Entry);
            self.store.handle(at, &watchers);
            return;
        }
        at -= self.store.requests.len();
        if at < self.store.answers.len() {
            let (id, event) = self.store.answers[at].clone();
            if self.is_responsive(&id) {
                self.store.answers.remove(at);
                if let Some(index) = self.process_index(&id) {
                    self.entry_event(index, event);
                }
            }
            return;
        }
        at -= self.store.answers.len();
        let (id, boot, event) = self.backends.advance(at);
        self.backend_event(&id, boot, event);
    }

    fn backend_event(&mut self, id: &NodeId, boot: u64, event: side::Event) {
        let index = self.process_index(id);
        if let Some(index) = index.filter(|index| self.processes[*index].boot == boot) {
            self.side_event(index, event);
        }
    }

    fn deliver_link_event(&mut self, direction: &(NodeId, NodeId)) {
        let Some(notice) = self.net.pop(direction) else {
            return;
        };
        let Some(index) = self.process_index(&direction.1) else {
            return;
        };
        let is_entry = self.processes[index].node.role == Role::Entry;
        match notice {
            LinkEvent::Up(node) if is_entry => {
                let other = self
                    .process_index(&node)
                    .map_or(0, |other| self.processes[other].boot);
                let boot = Boot(other);
                self.entry_event(index, entry::Event::LinkUp { node, boot });
            }
            LinkEvent::Up(node) => self.side_event(index, side::Event::LinkUp { node }),
            LinkEvent::Down(node) if is_entry => {
                self.entry_event(index, entry::Event::LinkDown { node });
            }
            LinkEvent::Down(node) => self.side_event(index, side::Event::LinkDown { node }),
            LinkEvent::Message(from, message) if is_entry => {
                let message = *message;
                self.entry_event(index, entry::Event::Message { from, message });
            }
            LinkEvent::Message(from, message) => {
                let message = *message;
                self.side_event(index, side::Event::Message { from, message });
            }
        }
    }

    fn settle(&mut self) {
        for pick in 0..400 {
            let directions = self.net.pending_directions(|to| self.is_responsive(to));
            let Some(direction) = directions.get(pick % directions.len().max(1)) else {
                return;
            };
            let direction = direction.clone();
            self.deliver_link_event(&direction);
        }
    }

    fn tick(&mut self, index: usize) {
        let process = &self.processes[index];
        if process.paused {
            return;
        }
        match process.node.role {
            Role::Entry => self.entry_event(index, entry::Event::Tick),
            Role::Side => self.side_event(index, side::Event::Tick),
        }
    }

    fn wait(&mut self, span: Duration) {
        self.now = self.now + span;
        self.connect_all();
        for index in 0..self.processes.len() {
            self.tick(index);
        }
    }

    /// Establishes missing links.
    fn connect_all(&mut self) {
        let alive: Vec<(NodeId, Role)> = self
            .processes
            .iter()
            .filter(|process| process.reducer.is_some() && !process.paused)
            .map(|process| (process.node.id.clone(), process.node.role))
            .collect();
        for (index, (a, role)) in alive.iter().enumerate() {
            for (b, other) in &alive[index + 1..] {
                if *role == Role::Entry || *other == Role::Entry {
                    self.net.connect(a, b);
                }
            }
        }
    }

    fn call(&mut self, pick: u16) {
        let index = usize::from(pick / 3) % ENTRIES;
        let process = &self.processes[index];
        if process.reducer.is_none() {
            return;
        }
        let entry = (process.node.id.clone(), process.boot);
        if let Some((caller, request)) = self.callers.act(pick, entry) {
            let event = entry::Event::Caller {
                caller,
                request,
                offset: 0,
            };
            self.entry_event(index, event);
        }
    }

    fn abandon_request(&mut self, pick: u16) {
        let keys: Vec<_> = self.callers.waiting.keys().copied().collect();
        let Some(key) = keys.get(usize::from(pick) % keys.len().max(1)) else {
            return;
        };
        if let Some(waiting) = self.callers.waiting.remove(key)
            && let Some(index) = self.process_index(&waiting.entry.0)
        {
            self.entry_event(index, entry::Event::CallerGone(*key));
        }
    }

    fn cut(&mut self, pick: u16, part: bool) {
        let links = self.net.links();
        let Some((a, b)) = links.get(usize::from(pick) % links.len().max(1)) else {
            return;
        };
        if part {
            self.net.partition(a, b);
        } else {
            self.net.cut(a, b);
        }
    }

    /// Stores a patched document. Each entry gets a notification of it, in any
    /// order.
    fn patch(&mut self) {
        self.version += 1;
        let sides = self.names(Role::Side);
        self.document = document(&sides, self.version);
        for id in self.names(Role::Entry) {
            let event = entry::Event::Document(self.document.clone());
            self.store.answers.push((id, event));
        }
    }

    /// Returns the settings version in force in each running process.
    pub fn in_force(&self) -> Vec<((NodeId, u64), Version)> {
        let operator = Operator::new(OPERATOR);
        let mut versions = Vec::new();
        for process in &self.processes {
            let documents = match &process.reducer {
                Some(Reducer::Entry(entry)) => entry.documents(),
                Some(Reducer::Side(side)) => side.documents(),
                None => continue,
            };
            let key = (process.node.id.clone(), process.boot);
            versions.push((key, documents.version(&operator)));
        }
        versions
    }

    fn duplicate_notification(&mut self, pick: u16) {
        let notice = |(_, event): &&(NodeId, entry::Event)| {
            matches!(
                event,
                entry::Event::Block { .. } | entry::Event::Document(_)
            )
        };
        let notices: Vec<_> = self.store.answers.iter().filter(notice).cloned().collect();
        if let Some(copy) = notices.get(usize::from(pick) % notices.len().max(1)) {
            self.store.answers.push(copy.clone());
        }
    }

    fn fail_run(&mut self, pick: u16) {
        let count = self.backends.pending.len();
        if count > 0 {
            let (id, boot, event) = self.backends.fail_run(usize::from(pick) % count);
            self.backend_event(&id, boot, event);
        }
    }

    // Steady state and end of a run.

    /// Advances the time in small steps and delivers everything in transit,
    /// without further failures.
    pub fn run_without_faults(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.wait(Duration::from_millis(100));
            self.settle();
            while !self.store.requests.is_empty() && !self.store.down {
                let watchers = self.names(Role::Entry);
                self.store.handle(0, &watchers);
            }
            while let Some((id, event)) = self.store.answers.pop() {
                if let Some(index) = self.process_index(&id) {
                    self.entry_event(index, event);
                }
            }
            while !self.backends.pending.is_empty() {
                let (id, boot, event) = self.backends.advance(0);
                self.backend_event(&id, boot, event);
            }
            self.settle();
        }
    }

    /// Ends all failures, lets callers send their open calls again, and checks
    /// that every call gets its final reply.
    ///
    /// # Errors
    ///
    /// Returns what never ended, or a violated guarantee.
    pub fn heal(&mut self) -> Result<(), Violation> {
        self.store.down = false;
        self.store.lost_replies = 0;
        self.net.heal_partitions();
        for index in 0..self.processes.len() {
            self.processes[index].paused = false;
            // A side process may have left; it is replaced by a new one.
            let is_side = matches!(&self.processes[index].reducer, Some(Reducer::Side(_)));
            if is_side || self.processes[index].reducer.is_none() {
                if is_side {
                    self.crash(index);
                }
                self.run_without_faults(20);
                self.start(index);
            }
        }
        self.run_without_faults(300);
        for round in 0..60_u16 {
            for program in 0..PROGRAMS as u16 {
                self.step(Action::Call(call_pick(program + round * PROGRAMS as u16)))?;
            }
            self.run_without_faults(15);
            self.report()?;
        }
        self.run_without_faults(200);
        self.report()?;
        if !self.callers.waiting.is_empty() {
            return Err(format!("calls_end: no reply to {:?}", self.callers.waiting));
        }
        invariant::newest_everywhere(self, Version(self.version))?;
        let busy: BTreeSet<&NodeId> = self
            .sides()
            .filter(|(_, side)| side.load().running + side.load().queued > 0)
            .map(|(id, _)| id)
            .collect();
        if busy.is_empty() {
            Ok(())
        } else {
            Err(format!("work_ends: {busy:?} still have calls"))
        }
    }
}
