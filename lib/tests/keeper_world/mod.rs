//! A keeper with a disk in memory: records are written later than they come, files are
//! compacted, and the process starts again at any moment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use limpetferry_lib::keeper_budget::KeeperBudget;
use limpetferry_lib::keeper_budget::KeeperUsage;
use limpetferry_lib::keeper_budget::RecordClass;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::ledger::Ledger;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::ledger::StoredRecord;
use limpetferry_lib::text::Location;
use limpetferry_lib::text::Text;
use limpetferry_lib::text::TextError;
use limpetferry_lib::text::TextSource;
use limpetferry_lib::text_cache::TextCache;
use limpetferry_lib::time::Time;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Memory of the keeper.
const MEMORY: u64 = 2 << 20;
/// Disk of the keeper.
const DISK: u64 = 12 << 20;
const SEGMENT_BYTES: u64 = 256 << 10;
const RETENTION: Duration = Duration::from_secs(75);
/// Longest text of a program that never ends.
const SHORT_TEXT: usize = 100;
/// Bytes of a record beside its text and ids, at most.
const HEAD_BYTES: usize = 24;

/// The keeper's files.
#[derive(Default)]
struct FakeDisk {
    files: BTreeMap<u64, Vec<(StoredRecord, Location)>>,
    current: u64,
    offset: u64,
}

impl FakeDisk {
    fn append(&mut self, stored: StoredRecord) -> Location {
        if self.offset >= SEGMENT_BYTES {
            self.rotate();
        }
        let record = &stored.record;
        let text = record.text().len();
        let ids = record.turn().len() + record.program().len();
        let location = Location {
            segment: self.current,
            offset: self.offset as u32,
            size: (text + ids + HEAD_BYTES) as u32,
            text: text as u32,
        };
        self.offset += u64::from(location.size);
        let file = self.files.entry(self.current).or_default();
        file.push((stored, location));
        location
    }

    fn rotate(&mut self) {
        self.current += 1;
        self.offset = 0;
    }

    fn bytes(&self) -> u64 {
        let records = self.files.values().flatten();
        records.map(|(_, location)| u64::from(location.size)).sum()
    }
}

impl TextSource for FakeDisk {
    fn text(&mut self, location: Location) -> Result<Bytes, TextError> {
        let file = self.files.get(&location.segment);
        let mut records = file.into_iter().flatten();
        let found = records.find(|(_, at)| *at == location);
        let (stored, _) = found.ok_or(TextError::Moved(location))?;
        Ok(stored.record.text().clone())
    }
}

/// A turn that a caller may continue.
struct KeptTurn {
    program: Arc<str>,
    text: Vec<u8>,
}

/// The keeper and what its callers know.
pub struct KeeperWorld {
    rng: SmallRng,
    now: Time,
    budget: KeeperBudget,
    ledger: Ledger,
    cache: TextCache,
    disk: FakeDisk,
    unwritten: VecDeque<StoredRecord>,
    kept: HashMap<Arc<str>, KeptTurn>,
    last_active: HashMap<Arc<str>, Time>,
    next: usize,
    largest_text: usize,
    /// Turns that were stored.
    pub stored: usize,
    /// Turns that were refused for lack of room.
    pub refused: usize,
    /// Turns that were continued.
    pub continued: usize,
    /// Files that were compacted.
    pub compacted: usize,
}

impl KeeperWorld {
    /// Creates a keeper whose callers send texts of up to `largest_text` bytes.
    pub fn new(seed: u64, largest_text: usize) -> Self {
        let budget = KeeperBudget::new(MEMORY, DISK);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::default(),
            budget,
            ledger: Ledger::default(),
            cache: TextCache::new(budget.cache as usize),
            disk: FakeDisk::default(),
            unwritten: VecDeque::new(),
            kept: HashMap::new(),
            last_active: HashMap::new(),
            next: 0,
            largest_text,
            stored: 0,
            refused: 0,
            continued: 0,
            compacted: 0,
        }
    }

    /// Lets one thing happen.
    pub fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..55 => self.first_turn(),
            55..75 => self.later_turn(),
            75..95 => self.write(),
            95..97 => self.pass(Duration::from_secs(2)),
            97..99 => self.tidy(),
            _ if self.rng.random_bool(0.05) => self.restart(),
            _ => self.pass(Duration::from_millis(100)),
        }
    }

    fn usage(&self) -> KeeperUsage {
        let unwritten = self.unwritten.iter().map(|stored| stored.record.text());
        KeeperUsage {
            index: self.ledger.disk().total().index,
            unwritten: unwritten.map(|text| text.len() as u64).sum(),
            disk: self.disk.bytes(),
        }
    }

    fn text(&mut self) -> Vec<u8> {
        let size = self.rng.random_range(0..=self.largest_text);
        vec![self.rng.random(); size]
    }

    fn first_turn(&mut self) {
        let program = format!("program-{}", self.next).into();
        self.turn(program, None, RecordClass::FirstTurn);
    }

    fn later_turn(&mut self) {
        let Some((previous, program)) = self.any_kept() else {
            return;
        };
        if self.turn(program, Some(previous), RecordClass::LaterTurn) {
            self.continued += 1;
        }
    }

    fn any_kept(&mut self) -> Option<(Arc<str>, Arc<str>)> {
        let mut live: Vec<&Arc<str>> = self.kept.keys().filter(|turn| self.is_kept(turn)).collect();
        live.sort();
        let count = live.len();
        // Mostly one of a few programs that never end.
        let at = match count {
            0 => return None,
            _ if self.rng.random_bool(0.5) => self.rng.random_range(0..count.min(4)),
            _ => self.rng.random_range(0..count),
        };
        let turn = live[at].clone();
        let program = self.kept[&turn].program.clone();
        Some((turn, program))
    }

    /// Returns whether a turn has to be found.
    fn is_kept(&self, turn: &str) -> bool {
        let program = &self.kept[turn].program;
        self.now.since(self.last_active[program]) < RETENTION
    }

    fn turn(&mut self, program: Arc<str>, previous: Option<Arc<str>>, class: RecordClass) -> bool {
        if self.budget.shortage(&self.usage(), class).is_some() {
            self.refused += 1;
            return false;
        }
        let turn: Arc<str> = format!("turn-{:06}", self.next).into();
        self.next += 1;
        let (input, output) = (self.text(), self.text());
        let begin = Begin {
            turn: turn.clone(),
            program: program.clone(),
            previous,
            input: input.clone().into(),
            most: 50,
        };
        self.keep(Record::Begin(begin));
        self.last_active.insert(program.clone(), self.now);
        if self.rng.random_bool(0.1) {
            // It never ends.
            return true;
        }
        let whole = self.rng.random_bool(0.8);
        let finish = Finish {
            turn: turn.clone(),
            program: program.clone(),
            output: output.clone().into(),
            used: 50,
            whole,
        };
        if self
            .budget
            .shortage(&self.usage(), RecordClass::Stored)
            .is_some()
        {
            return true;
        }
        self.keep(Record::Finish(finish));
        if whole {
            self.stored += 1;
            let text = [input, output].concat();
            self.kept.insert(turn, KeptTurn { program, text });
        }
        true
    }

    fn keep(&mut self, record: Record) {
        let stored = StoredRecord::from(record);
        if self.ledger.apply_stored(self.now, stored.clone()) {
            self.unwritten.push_back(stored);
        }
    }

    /// Writes what waits, or a part of it.
    fn write(&mut self) {
        let count = self.rng.random_range(0..=self.unwritten.len());
        self.write_first(count);
    }

    fn write_first(&mut self, count: usize) {
        for stored in self.unwritten.drain(..count) {
            let location = self.disk.append(stored.clone());
            if self.ledger.set_location(&stored.record, location) {
                self.cache.put(location, stored.record.text().clone());
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Drops what has expired, removes files and compacts one.
    pub fn tidy(&mut self) {
        let idle = self.ledger.idle_programs(self.now, RETENTION).into_iter();
        let idle: Vec<Arc<str>> = idle.map(|idle| idle.program).collect();
        self.ledger.expire(self.now, RETENTION, &idle);
        self.remove_dead();
        let is_pressed = self.budget.is_pressed(&self.usage());
        let disk = self.ledger.disk();
        let sparsest = disk.sparsest(self.disk.current, is_pressed, &BTreeSet::new());
        let Some(segment) = sparsest else {
            return;
        };
        self.compacted += 1;
        for (stored, location) in self.disk.files[&segment].clone() {
            if let Some(stored) = self.ledger.compacted(stored, location) {
                let moved = self.disk.append(stored.clone());
                self.ledger.set_location(&stored.record, moved);
            }
        }
        self.remove_dead();
        assert!(!self.disk.files.contains_key(&segment));
    }

    fn remove_dead(&mut self) {
        for segment in self.ledger.disk().dead(self.disk.current) {
            self.disk.files.remove(&segment);
            self.ledger.remove_segment(segment);
        }
    }

    /// Ends the process: what was not written was never acknowledged.
    fn restart(&mut self) {
        for stored in self.unwritten.drain(..) {
            self.kept.remove(stored.record.turn());
        }
        self.disk.rotate();
        self.ledger = Ledger::default();
        self.cache = TextCache::new(self.budget.cache as usize);
        for (stored, location) in self.disk.files.values().flatten() {
            self.ledger.restore(self.now, stored.clone(), *location);
        }
        self.last_active.values_mut().for_each(|last| {
            *last = (*last).min(self.now);
        });
    }

    /// Sends the first turn of a program, and returns whether it is stored and written.
    pub fn serves_first_turn(&mut self) -> bool {
        let refused = self.refused;
        self.first_turn();
        self.write_first(self.unwritten.len());
        self.refused == refused
    }

    /// Passes seconds in which a program that never ends has a short turn, beside some
    /// programs of one turn.
    pub fn pass_with_long_program(&mut self, seconds: usize, short_programs: usize) {
        let long: Arc<str> = "long".into();
        for second in 0..seconds {
            for _ in 0..short_programs {
                self.first_turn();
            }
            let largest = std::mem::replace(&mut self.largest_text, SHORT_TEXT);
            self.turn(long.clone(), None, RecordClass::LaterTurn);
            self.largest_text = largest;
            self.write_first(self.unwritten.len());
            self.pass(Duration::from_secs(1));
            if second % 5 == 0 {
                self.tidy_all();
            }
        }
    }

    /// Passes the time for which everything is kept, and tidies until nothing changes.
    pub fn expire_all(&mut self) {
        self.write_first(self.unwritten.len());
        self.disk.rotate();
        self.pass(RETENTION + RETENTION);
        self.tidy();
    }

    /// Tidies for as long as that compacts something.
    pub fn tidy_all(&mut self) {
        let mut before = usize::MAX;
        while before != self.compacted {
            before = self.compacted;
            self.tidy();
        }
    }

    /// Returns the bytes of all files, and those that are needed.
    pub fn disk_bytes(&self) -> (u64, u64) {
        (self.disk.bytes(), self.ledger.disk().total().live_bytes)
    }

    /// Returns what does not hold.
    pub fn broken(&mut self) -> Option<String> {
        let usage = self.usage();
        let slack = 2 * self.largest_text as u64 + 2_048;
        let total = self.ledger.disk().total();
        let bounds = [
            ("index", usage.index, self.budget.index),
            (
                "texts in memory",
                self.ledger.bytes() as u64,
                self.budget.unwritten,
            ),
            ("unwritten", usage.unwritten, self.budget.unwritten),
            ("cache", self.cache.bytes() as u64, self.budget.cache),
            ("disk", usage.disk, self.budget.disk + SEGMENT_BYTES),
        ];
        for (name, used, bound) in bounds {
            if used > bound + slack {
                return Some(format!("{name}: {used} of {bound}"));
            }
        }
        if total.bytes != usage.disk {
            return Some(format!("{} counted, {} on disk", total.bytes, usage.disk));
        }
        None
    }

    /// Returns a kept turn whose text is not found as it was sent.
    pub fn lost(&mut self) -> Option<String> {
        let mut turns: Vec<Arc<str>> = self.kept.keys().cloned().collect();
        turns.retain(|turn| self.is_kept(turn));
        for turn in turns {
            let chain = self.ledger.chain(&turn);
            let Some(mut entry) = chain.into_iter().next() else {
                return Some(format!("{turn} is not stored"));
            };
            let cached = |text: &Text| self.cache.look_up(text.clone());
            (entry.input, entry.output) = (cached(&entry.input), cached(&entry.output));
            match entry.read(&mut self.disk) {
                Ok(link) if link.text == self.kept[&turn].text => {}
                Ok(_) => return Some(format!("{turn} has another text")),
                Err(error) => return Some(format!("{turn}: {error}")),
            }
        }
        None
    }
}
