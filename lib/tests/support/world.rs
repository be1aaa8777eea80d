//! Entries, side processes and everything around them, driven step by step.

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
use limpetferry_lib::keeper::CopyRecord;
use limpetferry_lib::member::Node;
use limpetferry_lib::member::Role;
use limpetferry_lib::message::Message;
use limpetferry_lib::rules::Rules;
use limpetferry_lib::side;
use limpetferry_lib::side::Side;
use limpetferry_lib::time::Time;
use serde_json::json;

use super::action::Action;
use super::backend::Backends;
use super::caller::Callers;
use super::caller::Fault;
use super::invariant;
use super::net::Net;
use super::net::Notice;
use super::store::Store;
use super::store::StoreRequest;

/// What each program may spend.
pub const LIMIT: Amount = Amount {
    tokens: 100_000,
    calls: 12,
};

/// Lines that a report holds.
const TRACED: usize = 4_000;
/// The operator of the one deployment.
const OPERATOR: &str = "op";
const ENTRIES: usize = 3;
const SIDES: usize = 3;
/// Side processes that have a data folder.
const STORING: usize = 2;
const PROGRAMS: usize = 6;

enum Reducer {
    Entry(Box<Entry>),
    Side(Box<Side>),
}

struct Process {
    node: Node,
    life: u64,
    reducer: Option<Reducer>,
    paused: bool,
    /// What it stored, if it is one that has a data folder.
    disk: Vec<CopyRecord>,
}

/// Returns the pick of a call that, over a run of numbers, lets each program
/// in turn go on through one entry after the other.
pub fn next_call(number: u16) -> u16 {
    let programs = PROGRAMS as u16;
    number % programs + programs * 251 * 2 * (number / programs % 7)
}

/// The world.
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
    /// Highest epoch that each process knew of each shard.
    pub epochs: BTreeMap<(NodeId, ShardId), Epoch>,
    rules: Rules,
    /// Text of the newest document, and its version.
    document: String,
    version: u64,
    /// Highest version that each life of a process had in force.
    pub versions: BTreeMap<(NodeId, u64), Version>,
    fault: Option<Fault>,
    /// Steps taken.
    pub steps: u64,
    /// What happened last, for the report of a failed run.
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

/// Returns the line of an effect that matters for who runs what.
fn traced(effect: &Effect) -> Option<String> {
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
        Effect::Chunk { .. } | Effect::Note(_) => None,
        other => Some(short(format!("{other:?}"))),
    }
}

fn short(text: String) -> String {
    text.chars().take(420).collect()
}

impl World {
    /// Makes a world in which every process has just started.
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
            fault: None,
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
        world.calm(20);
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
            life: 0,
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

    /// Returns the entries that live.
    pub fn entries(&self) -> impl Iterator<Item = (&NodeId, &Entry)> {
        self.processes
            .iter()
            .filter_map(|process| match &process.reducer {
                Some(Reducer::Entry(entry)) => Some((&process.node.id, &**entry)),
                _ => None,
            })
    }

    /// Returns the side processes that live.
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
        let reading = self.store.reading();
        let registry: Vec<Node> = self.processes.iter().map(|p| p.node.clone()).collect();
        let document = self.document.clone();
        let process = &mut self.processes[index];
        process.life = boot;
        process.paused = false;
        let id = process.node.id.clone();
        match process.node.role {
            Role::Entry => {
                let centre = process.node.centre.clone();
                let entry = Entry::new(id.clone(), centre, Boot(boot), self.rules.clone(), boot);
                process.reducer = Some(Reducer::Entry(Box::new(entry)));
                // Links may be made before the registry has been read.
                let registered = entry::Event::Registry(registry);
                self.store.answers.push((id, registered));
                self.entry_event(index, entry::Event::Document(document));
                self.entry_event(index, reading);
            }
            Role::Side => {
                let mut side = Side::new(id, Boot(boot), self.rules.clone());
                if index >= ENTRIES + SIDES - STORING {
                    side.recover(process.disk.iter().cloned());
                }
                process.reducer = Some(Reducer::Side(Box::new(side)));
                if let entry::Event::Block {
                    block,
                    revision,
                    value,
                } = reading
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

    /// Notes a line for the report of a failed run.
    fn trace(&mut self, line: String) {
        if self.trace.len() >= TRACED {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:?} {line}", self.now));
    }

    fn report(&mut self) -> Result<(), Fault> {
        let Some(fault) = self.fault.take() else {
            return Ok(());
        };
        let lines: Vec<String> = self.trace.iter().cloned().collect();
        Err(format!(
            "{fault}\ntrace:\n{}\nend of trace",
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
        let life = self.processes[index].life;
        for effect in out {
            if let Some(line) = traced(&effect) {
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
                    let lossy = |program: limpetferry_lib::id::ProgramId| {
                        block.shards[usize::from(program.shard(shards).0)].lost.0 > 0
                    };
                    if let Err(fault) = self.callers.finish(caller, &reply, runs, lossy) {
                        self.fault.get_or_insert(fault);
                    }
                }
                Effect::Swap {
                    revision, value, ..
                } => {
                    let request = StoreRequest::Swap(revision, value);
                    self.store.ask(id.clone(), request);
                }
                Effect::Reread { .. } => {
                    self.store.ask(id.clone(), StoreRequest::Read);
                }
                Effect::Start {
                    call,
                    attempt,
                    work,
                } => {
                    self.backends.start((id.clone(), life), call, attempt, work);
                    self.check_run();
                }
                Effect::Abort { call, attempt } => self.backends.abort(&id, call, attempt),
                Effect::Release { program } => {
                    self.backends.caches.remove(&(id.clone(), program));
                }
                Effect::Store(record) => self.processes[index].disk.push(*record),
                Effect::Note(_) => {}
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
            if let Err(fault) = check {
                self.fault.get_or_insert(fault);
            }
        }
    }

    fn index_of(&self, id: &NodeId) -> Option<usize> {
        self.processes
            .iter()
            .position(|process| process.node.id == *id)
    }

    fn is_awake(&self, id: &NodeId) -> bool {
        let process = self.index_of(id).map(|index| &self.processes[index]);
        process.is_some_and(|process| process.reducer.is_some() && !process.paused)
    }

    // Steps.

    /// Takes one step.
    ///
    /// # Errors
    ///
    /// Returns the first promise that was broken.
    pub fn step(&mut self, action: Action) -> Result<(), Fault> {
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
            Action::Impatient(pick) => self.impatient(pick),
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
            Action::Part(pick) => self.cut(pick, true),
            Action::Mend => self.net.mend(),
            Action::Outage(down) => self.store.down = down,
            Action::LoseReply(pick) => self.store.lose = u32::from(pick % 2),
            Action::Leave(pick) => {
                let index = ENTRIES + usize::from(pick) % SIDES;
                self.side_event(index, side::Event::Leave);
            }
            Action::Double(pick) => self.double(pick),
            Action::Break(pick) => self.break_off(pick),
            Action::Patch if self.store.down => {}
            Action::Patch => self.patch(),
        }
        for check in [invariant::epochs_grow, invariant::versions_grow] {
            if let Err(fault) = check(self) {
                self.fault.get_or_insert(fault);
            }
        }
        self.report()
    }

    fn deliver(&mut self, pick: u16) {
        let directions = self.net.waiting(|to| self.is_awake(to));
        let total = directions.len()
            + self.store.requests.len()
            + self.store.answers.len()
            + self.backends.pending.len();
        if total == 0 {
            return;
        }
        let mut at = usize::from(pick) % total;
        if let Some(direction) = directions.get(at) {
            self.notice(direction);
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
            if self.is_awake(&id) {
                self.store.answers.remove(at);
                if let Some(index) = self.index_of(&id) {
                    self.entry_event(index, event);
                }
            }
            return;
        }
        at -= self.store.answers.len();
        let (id, life, event) = self.backends.advance(at);
        self.backend_event(&id, life, event);
    }

    fn backend_event(&mut self, id: &NodeId, life: u64, event: side::Event) {
        let index = self.index_of(id);
        if let Some(index) = index.filter(|index| self.processes[*index].life == life) {
            self.side_event(index, event);
        }
    }

    fn notice(&mut self, direction: &(NodeId, NodeId)) {
        let Some(notice) = self.net.take(direction) else {
            return;
        };
        let Some(index) = self.index_of(&direction.1) else {
            return;
        };
        let is_entry = self.processes[index].node.role == Role::Entry;
        match notice {
            Notice::Up(node) if is_entry => {
                let other = self
                    .index_of(&node)
                    .map_or(0, |other| self.processes[other].life);
                let boot = Boot(other);
                self.entry_event(index, entry::Event::LinkUp { node, boot });
            }
            Notice::Up(node) => self.side_event(index, side::Event::LinkUp { node }),
            Notice::Down(node) if is_entry => {
                self.entry_event(index, entry::Event::LinkDown { node });
            }
            Notice::Down(node) => self.side_event(index, side::Event::LinkDown { node }),
            Notice::Message(from, message) if is_entry => {
                let message = *message;
                self.entry_event(index, entry::Event::Message { from, message });
            }
            Notice::Message(from, message) => {
                let message = *message;
                self.side_event(index, side::Event::Message { from, message });
            }
        }
    }

    fn settle(&mut self) {
        for pick in 0..400 {
            let directions = self.net.waiting(|to| self.is_awake(to));
            let Some(direction) = directions.get(pick % directions.len().max(1)) else {
                return;
            };
            let direction = direction.clone();
            self.notice(&direction);
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
        self.dial();
        for index in 0..self.processes.len() {
            self.tick(index);
        }
    }

    /// Makes the links that are missing.
    fn dial(&mut self) {
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
        let entry = (process.node.id.clone(), process.life);
        if let Some((caller, request)) = self.callers.act(pick, entry) {
            let event = entry::Event::Caller {
                caller,
                request,
                offset: 0,
            };
            self.entry_event(index, event);
        }
    }

    fn impatient(&mut self, pick: u16) {
        let keys: Vec<_> = self.callers.waiting.keys().copied().collect();
        let Some(key) = keys.get(usize::from(pick) % keys.len().max(1)) else {
            return;
        };
        if let Some(waiting) = self.callers.waiting.remove(key)
            && let Some(index) = self.index_of(&waiting.entry.0)
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
            self.net.part(a, b);
        } else {
            self.net.cut(a, b);
        }
    }

    /// Applies a patch; every entry's watch brings it, in any order.
    fn patch(&mut self) {
        self.version += 1;
        let sides = self.names(Role::Side);
        self.document = document(&sides, self.version);
        for id in self.names(Role::Entry) {
            let event = entry::Event::Document(self.document.clone());
            self.store.answers.push((id, event));
        }
    }

    /// Returns the version in force in each process that lives.
    pub fn in_force(&self) -> Vec<((NodeId, u64), Version)> {
        let operator = Operator::new(OPERATOR);
        let mut versions = Vec::new();
        for process in &self.processes {
            let documents = match &process.reducer {
                Some(Reducer::Entry(entry)) => entry.documents(),
                Some(Reducer::Side(side)) => side.documents(),
                None => continue,
            };
            let life = (process.node.id.clone(), process.life);
            versions.push((life, documents.version(&operator)));
        }
        versions
    }

    fn double(&mut self, pick: u16) {
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

    fn break_off(&mut self, pick: u16) {
        let count = self.backends.pending.len();
        if count > 0 {
            let (id, life, event) = self.backends.break_off(usize::from(pick) % count);
            self.backend_event(&id, life, event);
        }
    }

    // The end.

    /// Lets everything under way come to rest, in small steps of time.
    pub fn calm(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.wait(Duration::from_millis(100));
            self.settle();
            while !self.store.requests.is_empty() && !self.store.down {
                let watchers = self.names(Role::Entry);
                self.store.handle(0, &watchers);
            }
            while let Some((id, event)) = self.store.answers.pop() {
                if let Some(index) = self.index_of(&id) {
                    self.entry_event(index, event);
                }
            }
            while !self.backends.pending.is_empty() {
                let (id, life, event) = self.backends.advance(0);
                self.backend_event(&id, life, event);
            }
            self.settle();
        }
    }

    /// Ends all faults, lets callers send what is open again, and checks that
    /// every call gets its last word.
    ///
    /// # Errors
    ///
    /// Returns what never came to an end, or a promise that was broken.
    pub fn heal(&mut self) -> Result<(), Fault> {
        self.store.down = false;
        self.store.lose = 0;
        self.net.mend();
        for index in 0..self.processes.len() {
            self.processes[index].paused = false;
            // A side process that left is followed by another one.
            let left = matches!(&self.processes[index].reducer, Some(Reducer::Side(_)));
            if left || self.processes[index].reducer.is_none() {
                if left {
                    self.crash(index);
                }
                self.calm(20);
                self.start(index);
            }
        }
        self.calm(300);
        for round in 0..60_u16 {
            for program in 0..PROGRAMS as u16 {
                self.step(Action::Call(next_call(program + round * PROGRAMS as u16)))?;
            }
            self.calm(15);
            self.report()?;
        }
        self.calm(200);
        self.report()?;
        if !self.callers.waiting.is_empty() {
            return Err(format!("calls_end: {:?} wait", self.callers.waiting));
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
            Err(format!("work_ends: {busy:?} are busy"))
        }
    }
}
