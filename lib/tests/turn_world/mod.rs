//! Keepers with disks, and turns that open and end at them, around the
//! decisions of `opening`, `ledger` and `membership`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::ledger::Ledger;
use limpetferry_lib::ledger::Presence;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::membership::Standing;
use limpetferry_lib::opening::Opening;
use limpetferry_lib::opening::Step;
use limpetferry_lib::opening::Verdict;
use limpetferry_lib::opening::View;
use limpetferry_lib::time::Time;

/// Turns after which a new program comes, as the budget of the one before is
/// about to end.
const PROGRAM_TURNS: usize = 4;
/// Tokens that all turns of one program may hand out.
const BUDGET: u64 = 60;
/// Tokens of one event.
const EVENT: u64 = 10;
/// Entries, each with a view of the list of its own.
const ENTRIES: usize = 3;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Some turns of a program begin at once, with bounds on their tokens.
    Start(u16, u16),
    /// Some messages arrive.
    Deliver(u16),
    /// A message arrives.
    DeliverOne(u16),
    /// A keeper's disk finishes what was written.
    Sync(u16),
    /// Turns ask the replicas that they have not asked yet.
    Ask,
    /// A turn hands out an event, if it may.
    Emit(u16),
    /// A turn ends.
    End(u16),
    /// A turn's entry dies.
    Abandon(u16),
    /// A keeper's process dies; what it wrote stays.
    Kill(u16),
    /// A keeper's VM loses power; what was not synced is gone.
    PowerCut(u16),
    /// A keeper loses its disk.
    Wipe(u16),
    /// A keeper is back.
    Restart(u16),
    /// A keeper copies from another one.
    Copy(u16, u16),
    /// A keeper copies from all others.
    CatchUp(u16),
    /// A new keeper comes.
    Join,
    /// A keeper is to leave.
    Leave(u16),
    /// An entry reads the list of keepers.
    Learn(u16),
}

/// What happened in a world, to see that it did something.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Turns that ended, on a majority.
    pub ended: usize,
    /// Turns that the budget did not hold.
    pub spent: usize,
    /// Turns that handed something out.
    pub handed: usize,
    /// Disks that were wiped.
    pub wiped: usize,
    /// Changes of the list that were completed.
    pub changed: usize,
}

impl Counts {
    /// Adds the counts of another world.
    pub fn add(&mut self, other: &Counts) {
        self.ended += other.ended;
        self.spent += other.spent;
        self.handed += other.handed;
        self.wiped += other.wiped;
        self.changed += other.changed;
    }
}

#[derive(Clone)]
enum Body {
    Note(Begin),
    Look,
    End(Option<Begin>, Finish),
    Noted(View),
    Seen(View),
    Synced,
    EndSynced,
    Unbegun,
    Stale(Membership),
    Lost,
}

struct Envelope {
    turn: usize,
    node: Arc<str>,
    life: u32,
    body: Body,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Waits {
    Nobody,
    Note,
    End,
}

#[derive(Default)]
struct KeeperNode {
    up: bool,
    life: u32,
    whole: bool,
    ledger: Ledger,
    disk: Vec<Record>,
    written: Vec<(Record, usize, Waits)>,
    membership: Membership,
    /// From whom it copied, and since which list programs had not moved then.
    copied: BTreeSet<(u64, Arc<str>)>,
    /// Whether the list was renewed since the disk was lost.
    renewed: bool,
}

impl KeeperNode {
    fn restart(&mut self) {
        self.ledger = Ledger::default();
        for record in &self.disk {
            self.ledger.apply(Time::default(), record.clone());
        }
        self.copied.clear();
        self.up = true;
    }

    fn view(&self, begin: &Begin) -> View {
        View {
            whole: self.whole,
            shares: self.ledger.shares(&begin.program, &begin.turn),
            previous: Presence::Never,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Opening,
    Running,
    Ending,
    Over,
}

struct Turn {
    begin: Begin,
    entry: usize,
    membership: Membership,
    opening: Opening,
    asked: BTreeMap<Arc<str>, u32>,
    noted: BTreeSet<Arc<str>>,
    looking: bool,
    phase: Phase,
    handed: u64,
    finish: Option<Finish>,
    ended: BTreeSet<Arc<str>>,
}

/// The world.
pub struct TurnWorld {
    faults: usize,
    keepers: BTreeMap<Arc<str>, KeeperNode>,
    list: Membership,
    known: [Membership; ENTRIES],
    turns: Vec<Turn>,
    mail: Vec<Envelope>,
    counted: BTreeSet<Arc<str>>,
    names: usize,
    /// What happened.
    pub counts: Counts,
}

/// Returns some numbers that follow from one.
fn draws(n: u16) -> impl Iterator<Item = u16> {
    let mut state = u32::from(n);
    (0..n % 24).map(move |_| {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (state >> 16) as u16
    })
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number as u16))
}

impl TurnWorld {
    /// Makes a world of so many keepers, of which `faults` may be lost.
    pub fn new(faults: usize, count: usize) -> Self {
        let mut list = Membership::default();
        let mut keepers = BTreeMap::new();
        for number in 0..count {
            let name: Arc<str> = format!("keeper-{number}").into();
            list = list
                .join(&name, address(number), faults)
                .expect("it is new");
            keepers.insert(
                name,
                KeeperNode {
                    up: true,
                    whole: true,
                    ..KeeperNode::default()
                },
            );
        }
        for keeper in &mut list.keepers {
            keeper.standing = Standing::Member;
            keeper.ready = true;
        }
        Self {
            faults,
            keepers,
            known: std::array::from_fn(|_| list.clone()),
            list,
            turns: Vec::new(),
            mail: Vec::new(),
            counted: BTreeSet::new(),
            names: count,
            counts: Counts::default(),
        }
    }

    /// Does one thing, and checks what must hold.
    pub fn step(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Start(count, most) => (0..=count % 3).for_each(|turn| self.start(most ^ turn)),
            Action::Deliver(n) => {
                for at in draws(n) {
                    self.deliver(at)?;
                }
            }
            Action::DeliverOne(n) => self.deliver(n)?,
            Action::Sync(n) => self.sync(n),
            Action::Ask => (0..self.turns.len()).for_each(|id| self.ask(id as u16)),
            Action::Emit(n) => self.emit(n),
            Action::End(n) => self.end(n),
            Action::Abandon(n) => self.abandon(n),
            Action::Kill(n) => self.stop(n, false, false),
            Action::PowerCut(n) => self.stop(n, true, false),
            Action::Wipe(n) => self.stop(n, true, true),
            Action::Restart(n) => self.restart(n),
            Action::Copy(n, from) => self.copy(n, from),
            Action::CatchUp(n) => {
                let count = self.keepers.len() as u16;
                (0..count).for_each(|from| self.copy(n, from));
            }
            Action::Join => self.join(),
            Action::Leave(n) => self.leave(n),
            Action::Learn(n) => {
                let entry = usize::from(n) % ENTRIES;
                self.known[entry] = self.list.clone();
            }
        }
        self.check()
    }

    fn name(&self, n: u16) -> Arc<str> {
        let at = usize::from(n) % self.keepers.len();
        self.keepers
            .keys()
            .nth(at)
            .expect("there are keepers")
            .clone()
    }

    fn start(&mut self, most: u16) {
        let entry = usize::from(most) % ENTRIES;
        let id = self.turns.len();
        let begin = Begin {
            turn: format!("turn-{id}").into(),
            program: format!("program-{}", id / PROGRAM_TURNS).into(),
            previous: None,
            input: Bytes::new(),
            most: if most.is_multiple_of(4) {
                EVENT
            } else {
                3 * EVENT
            },
        };
        let membership = self.known[entry].clone();
        let replicas = membership.replicas(&begin.program, self.faults);
        self.turns.push(Turn {
            opening: Opening::new(replicas, Some(BUDGET), begin.most),
            begin,
            entry,
            membership,
            asked: BTreeMap::new(),
            noted: BTreeSet::new(),
            looking: false,
            phase: Phase::Opening,
            handed: 0,
            finish: None,
            ended: BTreeSet::new(),
        });
        self.ask(id as u16);
    }

    /// Asks all replicas that were not asked, or whose link ended since.
    fn ask(&mut self, n: u16) {
        if self.turns.is_empty() {
            return;
        }
        let id = usize::from(n) % self.turns.len();
        let turn = &mut self.turns[id];
        if turn.phase == Phase::Over {
            return;
        }
        let replicas = turn.membership.replicas(&turn.begin.program, self.faults);
        for at in replicas.keepers {
            let node = turn.membership.keepers[at].node.clone();
            let Some(keeper) = self.keepers.get(&node).filter(|keeper| keeper.up) else {
                continue;
            };
            if turn.asked.contains_key(&node) || turn.ended.contains(&node) {
                continue;
            }
            turn.asked.insert(node.clone(), keeper.life);
            let body = match &turn.finish {
                None => Body::Note(turn.begin.clone()),
                Some(finish) => {
                    let full = !turn.noted.contains(&node);
                    Body::End(full.then(|| turn.begin.clone()), finish.clone())
                }
            };
            self.mail.push(Envelope {
                turn: id,
                life: keeper.life,
                node,
                body,
            });
        }
    }

    /// Delivers a message; those between a turn and a keeper keep their order.
    fn deliver(&mut self, n: u16) -> Result<(), String> {
        if self.mail.is_empty() {
            return Ok(());
        }
        let at = usize::from(n) % self.mail.len();
        let (turn, node) = (self.mail[at].turn, self.mail[at].node.clone());
        let first = self
            .mail
            .iter()
            .position(|mail| mail.turn == turn && mail.node == node)
            .expect("there is one at least");
        let envelope = self.mail.remove(first);
        match &envelope.body {
            Body::Note(_) | Body::Look | Body::End(..) => self.at_keeper(envelope),
            _ => self.at_turn(envelope)?,
        }
        Ok(())
    }

    fn reply(&mut self, to: &Envelope, body: Body) {
        self.mail.push(Envelope {
            turn: to.turn,
            node: to.node.clone(),
            life: to.life,
            body,
        });
    }

    fn at_keeper(&mut self, envelope: Envelope) {
        let epoch = self.turns[envelope.turn].membership.epoch;
        let Some(keeper) = self.keepers.get_mut(&envelope.node) else {
            return;
        };
        if !keeper.up || keeper.life != envelope.life {
            return;
        }
        let stale = epoch < keeper.membership.epoch;
        if stale && !matches!(envelope.body, Body::Look) {
            let list = keeper.membership.clone();
            self.reply(&envelope, Body::Stale(list));
            return;
        }
        let now = Time::default();
        match envelope.body.clone() {
            Body::Note(begin) => {
                let view = keeper.view(&begin);
                keeper.ledger.apply(now, Record::Begin(begin.clone()));
                let written = (Record::Begin(begin), envelope.turn, Waits::Note);
                keeper.written.push(written);
                self.reply(&envelope, Body::Noted(view));
            }
            Body::Look => {
                let view = keeper.view(&self.turns[envelope.turn].begin);
                self.reply(&envelope, Body::Seen(view));
            }
            Body::End(None, finish) if !keeper.ledger.has_begun(&finish.turn) => {
                self.reply(&envelope, Body::Unbegun);
            }
            Body::End(begin, finish) => {
                if let Some(record) = begin.map(Record::Begin) {
                    keeper.ledger.apply(now, record.clone());
                    keeper.written.push((record, envelope.turn, Waits::Nobody));
                }
                let record = Record::Finish(finish);
                keeper.ledger.apply(now, record.clone());
                keeper.written.push((record, envelope.turn, Waits::End));
            }
            _ => {}
        }
    }

    fn at_turn(&mut self, envelope: Envelope) -> Result<(), String> {
        let id = envelope.turn;
        let turn = &mut self.turns[id];
        let Some(at) = turn.membership.place(&envelope.node) else {
            return Ok(());
        };
        let step = match envelope.body {
            Body::Noted(view) => {
                turn.noted.insert(envelope.node.clone());
                Step::Noted(view)
            }
            Body::Seen(view) => Step::Seen(view),
            Body::Synced => Step::Synced,
            Body::EndSynced => {
                turn.ended.insert(envelope.node.clone());
                self.count_end(id);
                return Ok(());
            }
            Body::Stale(list) => {
                self.begin_anew(id, list);
                return Ok(());
            }
            Body::Unbegun => {
                turn.asked.remove(&envelope.node);
                turn.noted.remove(&envelope.node);
                return Ok(());
            }
            Body::Lost => {
                turn.asked.remove(&envelope.node);
                turn.noted.remove(&envelope.node);
                Step::Lost
            }
            _ => return Ok(()),
        };
        if turn.phase == Phase::Ending || turn.phase == Phase::Over {
            return Ok(());
        }
        let late = turn.looking && matches!(step, Step::Noted(_));
        match turn.opening.step(at, step) {
            Verdict::Ask => {
                turn.looking = true;
                let noted: Vec<Arc<str>> = turn.noted.iter().cloned().collect();
                noted.iter().for_each(|node| self.look(id, node));
            }
            Verdict::Go if turn.phase == Phase::Opening => turn.phase = Phase::Running,
            Verdict::Spent => {
                self.counts.spent += 1;
                self.finish(id, false);
            }
            Verdict::Go | Verdict::Wait if late => self.look(id, &envelope.node),
            Verdict::Go | Verdict::Wait => {}
        }
        Ok(())
    }

    fn look(&mut self, id: usize, node: &Arc<str>) {
        if let Some(&life) = self.turns[id].asked.get(node) {
            self.mail.push(Envelope {
                turn: id,
                node: node.clone(),
                life,
                body: Body::Look,
            });
        }
    }

    /// A turn goes by a newer list: one that is being opened starts anew, one
    /// that runs is broken off, one that ends asks the new replicas.
    fn begin_anew(&mut self, id: usize, list: Membership) {
        let turn = &mut self.turns[id];
        if self.known[turn.entry].epoch < list.epoch {
            self.known[turn.entry] = list;
        }
        match turn.phase {
            Phase::Opening => {
                turn.membership = self.known[turn.entry].clone();
                let replicas = turn.membership.replicas(&turn.begin.program, self.faults);
                turn.opening = Opening::new(replicas, Some(BUDGET), turn.begin.most);
                turn.looking = false;
                turn.asked.clear();
                turn.noted.clear();
                self.mail.retain(|mail| mail.turn != id);
            }
            Phase::Running => self.finish(id, false),
            Phase::Ending => {
                turn.membership = self.known[turn.entry].clone();
                turn.ended.clear();
                turn.asked.clear();
                self.mail.retain(|mail| mail.turn != id);
            }
            Phase::Over => {}
        }
    }

    fn emit(&mut self, n: u16) {
        let Some(id) = self.nth(n, |turn| turn.phase == Phase::Running) else {
            return;
        };
        let turn = &mut self.turns[id];
        if turn.opening.is_durable() {
            self.counts.handed += usize::from(turn.handed == 0);
            turn.handed = turn.begin.most;
        }
    }

    fn nth(&self, n: u16, wanted: impl Fn(&Turn) -> bool) -> Option<usize> {
        let found: Vec<usize> = (0..self.turns.len())
            .filter(|&id| wanted(&self.turns[id]))
            .collect();
        (!found.is_empty()).then(|| found[usize::from(n) % found.len()])
    }

    fn end(&mut self, n: u16) {
        let running = |turn: &Turn| turn.phase == Phase::Running && turn.opening.is_durable();
        if let Some(id) = self.nth(n, running) {
            self.finish(id, true);
        }
    }

    fn finish(&mut self, id: usize, whole: bool) {
        let turn = &mut self.turns[id];
        turn.finish = Some(Finish {
            turn: turn.begin.turn.clone(),
            program: turn.begin.program.clone(),
            output: Bytes::new(),
            used: turn.handed,
            whole,
        });
        turn.phase = Phase::Ending;
        turn.asked.clear();
        turn.membership = self.known[turn.entry].clone();
        self.ask(id as u16);
    }

    fn count_end(&mut self, id: usize) {
        let turn = &mut self.turns[id];
        let replicas = turn.membership.replicas(&turn.begin.program, self.faults);
        let done = |at: usize| turn.ended.contains(&turn.membership.keepers[at].node);
        if turn.phase == Phase::Ending && replicas.majority(done) {
            turn.phase = Phase::Over;
            if turn.finish.as_ref().is_some_and(|finish| finish.whole) {
                self.counted.insert(turn.begin.turn.clone());
                self.counts.ended += 1;
            }
        }
    }

    fn abandon(&mut self, n: u16) {
        if let Some(id) = self.nth(n, |turn| turn.phase != Phase::Over) {
            self.turns[id].phase = Phase::Over;
            self.mail.retain(|mail| mail.turn != id);
        }
    }

    fn sync(&mut self, n: u16) {
        let name = self.name(n);
        let keeper = self.keepers.get_mut(&name).expect("it was named");
        if !keeper.up {
            return;
        }
        let life = keeper.life;
        let written = std::mem::take(&mut keeper.written);
        for (record, turn, waits) in written {
            keeper.disk.push(record);
            let body = match waits {
                Waits::Nobody => continue,
                Waits::Note => Body::Synced,
                Waits::End => Body::EndSynced,
            };
            self.mail.push(Envelope {
                turn,
                node: name.clone(),
                life,
                body,
            });
        }
    }

    /// Stops a keeper. What it has written and not synced is lost with the
    /// power; a disk is wiped only while no more than may be lost lack
    /// something.
    fn stop(&mut self, n: u16, power: bool, wipe: bool) {
        let name = self.name(n);
        let lacking = self.keepers.iter();
        let lacking =
            lacking.filter(|(other, keeper)| **other != name && self.lacks(other, keeper));
        if wipe && lacking.count() >= self.faults {
            return;
        }
        let keeper = self.keepers.get_mut(&name).expect("it was named");
        if !keeper.up {
            return;
        }
        keeper.up = false;
        keeper.life += 1;
        let written = std::mem::take(&mut keeper.written);
        if !power {
            let records = written.into_iter().map(|(record, _, _)| record);
            keeper.disk.extend(records);
        }
        if wipe {
            keeper.disk.clear();
            keeper.whole = false;
            keeper.renewed = false;
            self.counts.wiped += 1;
        }
        self.mail.retain(|mail| mail.node != name);
        for id in 0..self.turns.len() {
            if self.turns[id].asked.contains_key(&name) {
                self.mail.push(Envelope {
                    turn: id,
                    node: name.clone(),
                    life: 0,
                    body: Body::Lost,
                });
            }
        }
    }

    /// Returns whether a keeper on the list may lack something.
    fn lacks(&self, name: &str, keeper: &KeeperNode) -> bool {
        self.list.place(name).is_some_and(|at| {
            let listed = &self.list.keepers[at];
            !keeper.whole || (self.list.is_changing() && !listed.ready)
        })
    }

    fn restart(&mut self, n: u16) {
        let name = self.name(n);
        let list = self.list.clone();
        let keeper = self.keepers.get_mut(&name).expect("it was named");
        if !keeper.up {
            keeper.restart();
            keeper.membership = list;
        }
    }

    /// Copies what a keeper has to hold from another one, and lets it count as
    /// whole once it has copied from enough.
    fn copy(&mut self, n: u16, from: u16) {
        let (name, other) = (self.name(n), self.name(from));
        let list = self.list.clone();
        let Some(at) = list.place(&name) else {
            return;
        };
        let own = &list.keepers[at];
        let keeper = &self.keepers[&name];
        let done = keeper.whole && (own.ready || !list.is_changing());
        if !keeper.up || done || own.standing == Standing::Leaving {
            return;
        }
        let had = own.standing == Standing::Member && !keeper.whole;
        if had && !keeper.renewed {
            self.list = list.renew();
            self.keepers.get_mut(&name).expect("it was named").renewed = true;
            return;
        }
        if keeper.membership.epoch < list.epoch {
            let keeper = self.keepers.get_mut(&name).expect("it was named");
            keeper.membership = list.clone();
        }
        self.copy_from(&name, &other, &list);
        let copied = &self.keepers[&name].copied;
        let others = list.keepers.iter();
        let others = others.filter(|k| k.node != name && k.standing != Standing::Joining);
        let missing = others
            .filter(|k| !copied.contains(&(list.moved, k.node.clone())))
            .count();
        if missing > list.may_miss(&name, had, self.faults) {
            return;
        }
        let keeper = self.keepers.get_mut(&name).expect("it was named");
        keeper.whole = true;
        if let Some(next) = list.ready(&name) {
            self.counts.changed += usize::from(!next.is_changing());
            self.list = next;
        }
    }

    fn copy_from(&mut self, name: &Arc<str>, other: &Arc<str>, list: &Membership) {
        let joining = |k: &limpetferry_lib::membership::Keeper| k.standing == Standing::Joining;
        let listed = list.place(other).map(|at| &list.keepers[at]);
        let giver = self.keepers.get_mut(other).expect("it was named");
        if name == other || !giver.up || !giver.whole || listed.is_none_or(joining) {
            return;
        }
        giver.membership = list.clone();
        let mut records = Vec::new();
        for program in giver.ledger.programs() {
            let replicas = list.replicas(program, self.faults);
            let mut places = replicas.keepers.iter();
            if places.any(|&at| list.keepers[at].node == *name) {
                records.extend(giver.ledger.records(program));
            }
        }
        let keeper = self.keepers.get_mut(name).expect("it was named");
        for record in records {
            if keeper.ledger.apply(Time::default(), record.clone()) {
                keeper.disk.push(record);
            }
        }
        keeper.copied.insert((list.moved, other.clone()));
    }

    fn join(&mut self) {
        if self.list.is_changing() || self.list.keepers.len() > 2 * self.faults + 3 {
            return;
        }
        let name: Arc<str> = format!("keeper-{}", self.names).into();
        let address = address(self.names);
        self.names += 1;
        let next = self.list.join(&name, address, self.faults);
        self.list = next.expect("it is new");
        let keeper = KeeperNode {
            up: true,
            membership: self.list.clone(),
            ..KeeperNode::default()
        };
        self.keepers.insert(name, keeper);
    }

    fn leave(&mut self, n: u16) {
        let staying = self.list.keepers.iter();
        let staying = staying.filter(|keeper| keeper.standing != Standing::Leaving);
        if staying.count() <= 2 * self.faults + 1 {
            return;
        }
        if let Some(next) = self.list.leave(&self.name(n)) {
            self.list = next;
        }
    }

    fn check(&self) -> Result<(), String> {
        let mut handed: HashMap<&str, u64> = HashMap::new();
        for turn in &self.turns {
            *handed.entry(&turn.begin.program).or_default() += turn.handed;
        }
        if let Some((program, tokens)) = handed.iter().find(|(_, tokens)| **tokens > BUDGET) {
            return Err(format!("{program} was handed {tokens} of {BUDGET} tokens"));
        }
        for list in &self.known {
            self.check_history(list)?;
        }
        Ok(())
    }

    /// A turn that counts is never taken for one that does not exist.
    fn check_history(&self, list: &Membership) -> Result<(), String> {
        for turn in &self.counted {
            let never = list.keepers.iter().filter(|listed| {
                let keeper = self.keepers.get(&listed.node);
                keeper.is_some_and(|keeper| keeper.up && keeper.whole && !keeper.ledger.has(turn))
            });
            let never = never.count();
            if never > 0 && never + self.faults >= list.keepers.len() {
                return Err(format!("{turn} counts, and {never} keepers say never"));
            }
        }
        Ok(())
    }
}
