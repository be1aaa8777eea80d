//! Index of one keeper: the turns of each program, where their inputs and outputs are
//! stored, and the tokens that each turn has used or may still use.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::disk_usage::DiskUsage;
use crate::hash;
use crate::place::Place;
use crate::place::Places;
use crate::removal::IdleProgram;
use crate::removal::ProgramActivity;
use crate::request_ends;
use crate::request_ends::EndNotice;
use crate::request_ends::EndTally;
use crate::routing::Routing;
use crate::stream_origin::Continuation;
use crate::stream_origin::OriginView;
use crate::stream_origin::RecordedOrigin;
use crate::text::Location;
use crate::text::Text;
use crate::text::TextError;
use crate::text::TextSource;
use crate::time::Time;

/// How long turns are stored while no route is known that wants them for longer.
const MIN_RETENTION: Duration = Duration::from_secs(75);
/// How much longer than a route wants them turns are stored: callers, queues and
/// the change of a keeper's list take some seconds.
const RETENTION_MARGIN: Duration = Duration::from_secs(15);
/// Memory of a turn and of its share of its program, without their ids, in bytes.
const TURN_BYTES: u64 = 640;
/// Memory of the end of a turn, in bytes.
const FINISH_BYTES: u64 = 16;

/// Returns how long the turns of a program are stored after its last one.
pub fn retention(routing: Option<&Routing>) -> Duration {
    let longest = routing.and_then(Routing::longest_retention);
    let wanted = longest.map_or(Duration::ZERO, |longest| longest + RETENTION_MARGIN);
    wanted.max(MIN_RETENTION)
}

/// The start of a turn, recorded before it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Id of the turn; equal to the id of the attempt.
    pub turn: Arc<str>,
    /// Id of its program.
    pub program: Arc<str>,
    /// The turn whose history it continues.
    pub previous: Option<Arc<str>>,
    /// New input from the caller; empty where no history is stored.
    pub input: Bytes,
    /// Maximum number of tokens that it may output.
    pub most: u64,
}

/// The end of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Id of the turn.
    pub turn: Arc<str>,
    /// Id of its program.
    pub program: Arc<str>,
    /// Data of its events, each followed by a line feed; empty where no history
    /// is stored.
    pub output: Bytes,
    /// Tokens that were output.
    pub used: u64,
    /// Whether the answer is complete, so that other turns may continue from it.
    pub whole: bool,
}

/// A durable change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A turn starts.
    Begin(Begin),
    /// A turn ends.
    Finish(Finish),
}

impl Record {
    /// Returns the id of the program that the record belongs to.
    pub fn program(&self) -> &Arc<str> {
        match self {
            Self::Begin(begin) => &begin.program,
            Self::Finish(finish) => &finish.program,
        }
    }

    /// Returns the id of the turn that the record belongs to.
    pub fn turn(&self) -> &Arc<str> {
        match self {
            Self::Begin(begin) => &begin.turn,
            Self::Finish(finish) => &finish.turn,
        }
    }

    /// Returns the input or output.
    pub fn text(&self) -> &Bytes {
        match self {
            Self::Begin(begin) => &begin.input,
            Self::Finish(finish) => &finish.output,
        }
    }

    /// Returns the record with another input or output.
    pub fn with_text(self, text: Bytes) -> Self {
        match self {
            Self::Begin(begin) => Self::Begin(Begin {
                input: text,
                ..begin
            }),
            Self::Finish(finish) => Self::Finish(Finish {
                output: text,
                ..finish
            }),
        }
    }

    /// Returns the memory that the index needs for the record at most, in bytes.
    pub fn index_bytes(&self) -> u64 {
        match self {
            Self::Begin(begin) => {
                let previous = begin.previous.as_ref().map_or(0, |previous| previous.len());
                TURN_BYTES + (begin.turn.len() + begin.program.len() + previous) as u64
            }
            Self::Finish(_) => FINISH_BYTES,
        }
    }
}

/// A record as it is stored on disk.
///
/// The origin is encoded behind the record: builds that know no origins read the
/// record and ignore what follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// Origin of the turn's stream, beside the start of the turn.
    pub origin: Option<RecordedOrigin>,
}

impl From<Record> for StoredRecord {
    fn from(record: Record) -> Self {
        Self {
            record,
            origin: None,
        }
    }
}

/// The origin of one turn's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnOrigin {
    /// Id of the turn.
    pub turn: Arc<str>,
    /// The origin.
    pub recorded: RecordedOrigin,
}

/// Tokens that one turn charges to its program's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnUsage {
    /// Id of the turn.
    pub turn: Arc<str>,
    /// Tokens that it used, or the maximum while it has not ended.
    pub tokens: u64,
    /// Whether it has ended.
    pub ended: bool,
    /// Whether the replica has it reserved, but not recorded. Messages name these turns
    /// beside the view, as earlier builds read usage without this field.
    #[serde(skip)]
    pub reserved: bool,
}

/// One turn of a chain, in the form that is sent to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainLink {
    /// Id of the turn.
    pub turn: Arc<str>,
    /// The previous turn of the chain.
    pub previous: Option<Arc<str>>,
    /// Its input, then its output.
    pub text: Bytes,
}

/// Whether a keeper stores a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// The complete turn is stored.
    Here,
    /// The keeper has lost nothing that it acknowledged, and the turn is not
    /// stored: it never acknowledged it, or removed it once a majority of its
    /// program's replicas had been inactive for the retention.
    Never,
    /// The turn is not stored, but the keeper may have lost it.
    Unsure,
}

/// Digest of a keeper's records of one program, so that keepers can compare
/// many programs in one message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramDigest {
    /// Id of the program.
    pub program: Arc<str>,
    /// Equal for equal sets of recorded starts, ends and origins of turns,
    /// independent of their order.
    pub digest: u64,
}

/// A turn of a chain, whose texts may have to be read.
#[derive(Clone, Debug)]
pub struct ChainEntry {
    /// Id of the turn.
    pub turn: Arc<str>,
    /// The previous turn of the chain.
    pub previous: Option<Arc<str>>,
    /// Its input.
    pub input: Text,
    /// Its output.
    pub output: Text,
}

impl ChainEntry {
    /// Returns the length of its texts in bytes.
    pub fn size(&self) -> usize {
        self.input.size() + self.output.size()
    }

    /// Returns whether a text of it has to be read from disk.
    pub fn is_on_disk(&self) -> bool {
        self.input.is_on_disk() || self.output.is_on_disk()
    }

    /// Returns the turn with its texts.
    ///
    /// # Errors
    ///
    /// Returns the error of `source`.
    pub fn read(self, source: &mut dyn TextSource) -> Result<ChainLink, TextError> {
        let input = self.input.read(source)?;
        let output = self.output.read(source)?;
        Ok(ChainLink {
            turn: self.turn,
            previous: self.previous,
            text: [&input[..], &output[..]].concat().into(),
        })
    }
}

/// A record of a program, whose text may have to be read.
#[derive(Clone, Debug)]
pub struct RecordEntry {
    /// The record, without its text.
    pub stored: StoredRecord,
    /// Its input or output.
    pub text: Text,
}

impl RecordEntry {
    /// Returns the record with its text.
    ///
    /// # Errors
    ///
    /// Returns the error of `source`.
    pub fn read(self, source: &mut dyn TextSource) -> Result<StoredRecord, TextError> {
        let text = self.text.read(source)?;
        Ok(StoredRecord {
            record: self.stored.record.with_text(text),
            origin: self.stored.origin,
        })
    }
}

#[derive(Clone, Debug)]
struct TurnBegin {
    most: u64,
    input: Text,
}

#[derive(Clone, Debug)]
struct TurnFinish {
    used: u64,
    whole: bool,
    output: Text,
}

#[derive(Clone, Debug)]
struct Turn {
    program: Arc<str>,
    previous: Option<Arc<str>>,
    begin: Option<TurnBegin>,
    finish: Option<TurnFinish>,
    origin: Option<Box<RecordedOrigin>>,
}

impl Turn {
    /// Applies an origin, and returns whether it replaces what was recorded.
    fn record_origin(&mut self, recorded: RecordedOrigin) -> bool {
        let known = self.origin.as_ref();
        let new = known.is_none_or(|known| known.serial < recorded.serial);
        if new {
            self.origin = Some(Box::new(recorded));
        }
        new
    }

    /// Returns whether it ended without an event.
    fn is_empty(&self) -> bool {
        let finish = self.finish.as_ref();
        finish.is_some_and(|finish| finish.used == 0)
    }

    /// Returns whether it ended incompletely, so that no turn continues from it.
    fn is_broken_off(&self) -> bool {
        let finish = self.finish.as_ref();
        finish.is_some_and(|finish| !finish.whole)
    }

    fn origin_view(&self) -> OriginView {
        let origin = self.origin.as_deref().cloned();
        origin.map_or(OriginView::Unknown, OriginView::Recorded)
    }

    fn tokens(&self) -> u64 {
        let most = self.begin.as_ref().map_or(0, |begin| begin.most);
        self.finish.as_ref().map_or(most, |finish| finish.used)
    }

    /// Returns its texts if it is complete.
    fn texts(&self) -> Option<(&Text, &Text)> {
        let begin = self.begin.as_ref()?;
        let finish = self.finish.as_ref().filter(|finish| finish.whole)?;
        Some((&begin.input, &finish.output))
    }

    fn text_mut(&mut self, part: TurnPart) -> Option<&mut Text> {
        match part {
            TurnPart::Begin => self.begin.as_mut().map(|begin| &mut begin.input),
            TurnPart::Finish => self.finish.as_mut().map(|finish| &mut finish.output),
        }
    }

    fn stored_texts(&self) -> impl Iterator<Item = &Text> {
        let parts = TurnPart::ALL.into_iter();
        parts.filter_map(|part| self.text(part))
    }

    fn text(&self, part: TurnPart) -> Option<&Text> {
        match part {
            TurnPart::Begin => self.begin.as_ref().map(|begin| &begin.input),
            TurnPart::Finish => self.finish.as_ref().map(|finish| &finish.output),
        }
    }
}

/// One of the two records of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnPart {
    Begin,
    Finish,
}

impl TurnPart {
    const ALL: [Self; 2] = [Self::Begin, Self::Finish];

    fn of(record: &Record) -> Self {
        match record {
            Record::Begin(_) => Self::Begin,
            Record::Finish(_) => Self::Finish,
        }
    }
}

#[derive(Clone, Debug)]
struct ProgramTurns {
    id: Arc<str>,
    turns: Vec<Arc<str>>,
    last_active: Time,
    /// Turns from which its own continue and that are not known to be its own.
    continues: Vec<Arc<str>>,
    /// Servers that cache its prompts. Not written to disk: a turn without this
    /// information only takes longer.
    places: Places,
}

impl ProgramTurns {
    /// Returns whether it has been inactive for longer than `retention`, or for longer
    /// than the retention of the system's own records.
    fn is_idle(&self, now: Time, retention: Duration) -> bool {
        let retention = request_ends::retention_of(&self.id).unwrap_or(retention);
        now.since(self.last_active) > retention
    }
}

/// All turns that one keeper stores.
///
/// A text is in memory until [`Ledger::set_location`] names the record on disk that
/// has it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    // Boxed, as a table that grows is copied while the smaller one still exists.
    turns: HashMap<Arc<str>, Box<Turn>>,
    programs: HashMap<Arc<str>, ProgramTurns>,
    /// Bytes of the texts in memory.
    bytes: usize,
    disk: DiskUsage,
}

impl Ledger {
    /// Applies a record and returns whether it was new; a duplicate changes
    /// nothing.
    pub fn apply(&mut self, now: Time, record: Record) -> bool {
        let id = record.turn().clone();
        let name = record.program();
        let program = match self.programs.get_mut(name) {
            Some(program) => program,
            None => self.programs.entry(name.clone()).or_insert(ProgramTurns {
                id: name.clone(),
                turns: Vec::new(),
                last_active: now,
                continues: Vec::new(),
                places: Places::default(),
            }),
        };
        if renews_retention(&record) {
            program.last_active = program.last_active.max(now);
        }
        if !self.turns.contains_key(&id) {
            program.turns.push(id.clone());
            let turn = Turn {
                program: program.id.clone(),
                previous: None,
                begin: None,
                finish: None,
                origin: None,
            };
            self.turns.insert(id.clone(), Box::new(turn));
        }
        let previous = match &record {
            Record::Begin(begin) => begin.previous.as_ref(),
            Record::Finish(_) => None,
        };
        // Shares the id of a turn that is stored.
        let known = previous.and_then(|previous| self.turns.get_key_value(previous));
        let is_own = known.is_some_and(|(_, turn)| turn.program == *name);
        let previous = known.map(|(id, _)| id).or(previous).cloned();
        if let Some(previous) = previous.as_ref().filter(|_| !is_own) {
            self.note_continued(record.program(), previous);
        }
        let Some(turn) = self.turns.get_mut(&id) else {
            return false;
        };
        let part = TurnPart::of(&record);
        if turn.text(part).is_some() {
            return false;
        }
        self.bytes += record.text().len();
        match record {
            Record::Begin(begin) => {
                turn.previous = previous;
                turn.begin = Some(TurnBegin {
                    most: begin.most,
                    input: Text::Memory(begin.input),
                });
            }
            Record::Finish(finish) => {
                turn.finish = Some(TurnFinish {
                    used: finish.used,
                    whole: finish.whole,
                    output: Text::Memory(finish.output),
                });
            }
        }
        if turn.is_broken_off() {
            self.drop_texts(&id);
        }
        true
    }

    /// Notes that a program continues from a turn that is not known to be its own.
    fn note_continued(&mut self, program: &str, turn: &Arc<str>) {
        if let Some(program) = self.programs.get_mut(program)
            && !program.continues.contains(turn)
        {
            program.continues.push(turn.clone());
        }
    }

    /// Drops the texts of a turn from which no other one can continue.
    fn drop_texts(&mut self, id: &str) {
        let Some(turn) = self.turns.get_mut(id) else {
            return;
        };
        for part in TurnPart::ALL {
            let Some(text) = turn.text_mut(part) else {
                continue;
            };
            let needed = !matches!(text, Text::Dropped(_));
            self.bytes -= text.memory_bytes();
            let location = text.location();
            *text = Text::Dropped(location);
            if let Some(location) = location.filter(|_| needed) {
                self.disk.release(location, true);
                self.disk.hold(location, false);
            }
        }
    }

    /// Counts a record that was written to disk; if the turn is stored, it is read from
    /// there from now on. Returns whether its text is still needed.
    pub fn set_location(&mut self, record: &Record, location: Location) -> bool {
        self.disk.add(location, record.index_bytes());
        let turn = self.turns.get_mut(record.turn());
        let Some(text) = turn.and_then(|turn| turn.text_mut(TurnPart::of(record))) else {
            return false;
        };
        let old = text.location();
        let had_text = !matches!(text, Text::Dropped(_));
        self.bytes -= text.memory_bytes();
        let needed = text.place(location);
        if let Some(old) = old {
            self.disk.release(old, had_text);
        }
        self.disk.hold(location, needed);
        needed
    }

    /// Applies a record that a start found on disk. Its text stays there.
    pub fn restore(&mut self, now: Time, stored: StoredRecord, location: Location) {
        let record = stored.record.with_text(Bytes::new());
        self.apply_stored(
            now,
            StoredRecord {
                record: record.clone(),
                origin: stored.origin,
            },
        );
        self.set_location(&record, location);
    }

    /// Returns the record that a compaction has to write in place of the one that was
    /// found at `location`; `None` if that is not needed any more.
    pub fn compacted(&self, found: StoredRecord, location: Location) -> Option<StoredRecord> {
        let turn = self.turns.get(found.record.turn())?;
        let text = turn.text(TurnPart::of(&found.record))?;
        if text.location() != Some(location) {
            return None;
        }
        let is_begin = matches!(found.record, Record::Begin(_));
        let origin = turn.origin.as_deref().filter(|_| is_begin).cloned();
        let record = match text {
            Text::Dropped(_) => found.record.with_text(Bytes::new()),
            Text::Memory(_) | Text::Disk(_) => found.record,
        };
        Some(StoredRecord { record, origin })
    }

    /// Returns what the files on disk hold.
    pub fn disk(&self) -> &DiskUsage {
        &self.disk
    }

    /// Forgets a file that was removed.
    pub fn remove_segment(&mut self, segment: u64) {
        self.disk.remove(segment);
    }

    /// Applies a record as it is stored, and returns whether something in it was
    /// new.
    pub fn apply_stored(&mut self, now: Time, stored: StoredRecord) -> bool {
        let StoredRecord { record, origin } = stored;
        let id = record.turn().clone();
        let new = self.apply(now, record);
        let turn = self.turns.get_mut(&id);
        let (Some(turn), Some(origin)) = (turn, origin) else {
            return new;
        };
        turn.record_origin(origin) || new
    }

    /// Returns what is recorded of the stream that the turn `excluded` of a
    /// program continues.
    pub fn origin(&self, program: &str, excluded: &str, continuation: &Continuation) -> OriginView {
        match continuation {
            Continuation::None => OriginView::Unknown,
            Continuation::Attempt(id) => {
                let turn = self.turns.get(id).filter(|turn| &*turn.program == program);
                turn.map_or(OriginView::Absent, |turn| turn.origin_view())
            }
            Continuation::Unnamed => self.only_origin(program, excluded),
        }
    }

    /// Returns the origin that all streams of a program have, except the turn
    /// `excluded` and turns that ended without an event.
    fn only_origin(&self, program: &str, excluded: &str) -> OriginView {
        let program = self.programs.get(program);
        let turns = program.into_iter().flat_map(|program| &program.turns);
        let mut found = OriginView::Absent;
        let others = turns.filter(|id| &***id != excluded);
        let others = others.map(|id| &self.turns[id]);
        for turn in others.filter(|turn| !turn.is_empty()) {
            let view = turn.origin_view();
            match (&found, &view) {
                (_, OriginView::Unknown | OriginView::Absent) => return OriginView::Unknown,
                (OriginView::Recorded(one), OriginView::Recorded(other))
                    if one.origin != other.origin =>
                {
                    return OriginView::Unknown;
                }
                _ => found = view,
            }
        }
        found
    }

    /// Returns the tokens that each turn of a program charges to its budget,
    /// except those of the turn `excluded`.
    pub fn usage(&self, program: &str, excluded: &str) -> Vec<TurnUsage> {
        let Some(program) = self.programs.get(program) else {
            return Vec::new();
        };
        let others = program.turns.iter().filter(|turn| &***turn != excluded);
        others
            .map(|id| {
                let turn = &self.turns[id];
                TurnUsage {
                    turn: id.clone(),
                    tokens: turn.tokens(),
                    ended: turn.finish.is_some(),
                    reserved: false,
                }
            })
            .collect()
    }

    /// Stores which server caches a prompt of a program; ignored if the program
    /// is unknown.
    pub fn put_place(&mut self, program: &str, place: Place) {
        if let Some(program) = self.programs.get_mut(program) {
            program.places.put(place);
        }
    }

    /// Returns the servers that cache prompts of a program.
    pub fn places(&self, program: &str) -> &[Place] {
        let program = self.programs.get(program);
        program.map_or(&[], |program| program.places.all())
    }

    /// Returns a turn and its predecessors, the latest first. The chain ends
    /// before the first turn that is not stored.
    pub fn chain(&self, turn: &str) -> Vec<ChainEntry> {
        let mut entries = Vec::new();
        let mut next = self.turns.get_key_value(turn);
        while let Some((id, turn)) = next {
            let Some((input, output)) = turn.texts() else {
                break;
            };
            entries.push(ChainEntry {
                turn: id.clone(),
                previous: turn.previous.clone(),
                input: input.clone(),
                output: output.clone(),
            });
            let previous = turn.previous.as_ref();
            next = previous.and_then(|previous| self.turns.get_key_value(previous));
        }
        entries
    }

    /// Returns whether the start of a turn is stored.
    pub fn has_start(&self, turn: &str) -> bool {
        let turn = self.turns.get(turn);
        turn.is_some_and(|turn| turn.begin.is_some())
    }

    /// Returns whether a stored turn, which is complete or may become so, continues
    /// from one that is not stored.
    pub fn lacks_previous(&self) -> bool {
        let turns = self.turns.values().filter(|turn| !turn.is_broken_off());
        let mut previous = turns.filter_map(|turn| turn.previous.as_deref());
        previous.any(|previous| !self.has_complete(previous))
    }

    /// Returns whether a turn is stored and complete.
    pub fn has_complete(&self, turn: &str) -> bool {
        let turn = self.turns.get(turn);
        turn.is_some_and(|turn| turn.texts().is_some())
    }

    /// Restarts the retention period of the program of a turn, because another
    /// program continues from that turn.
    pub fn renew_retention(&mut self, now: Time, turn: &str) {
        let Some(turn) = self.turns.get(turn) else {
            return;
        };
        if let Some(program) = self.programs.get_mut(&turn.program) {
            program.last_active = program.last_active.max(now);
        }
    }

    /// Takes over that a program was active at `time`, as another keeper reports.
    pub fn renew_program(&mut self, time: Time, program: &str) {
        if let Some(program) = self.programs.get_mut(program) {
            program.last_active = program.last_active.max(time);
        }
    }

    /// Passes the activity of each program on to those from which it continues.
    fn renew_continued(&mut self) {
        let mut pending = Vec::new();
        for program in self.programs.values() {
            let turns = program.continues.iter();
            pending.extend(turns.map(|turn| (program.last_active, turn.clone())));
        }
        while let Some((time, turn)) = pending.pop() {
            let Some(turn) = self.turns.get(&turn) else {
                continue;
            };
            let program = self.programs.get_mut(&turn.program);
            let Some(program) = program.filter(|program| program.last_active < time) else {
                continue;
            };
            program.last_active = time;
            let turns = program.continues.iter();
            pending.extend(turns.map(|turn| (time, turn.clone())));
        }
    }

    /// Returns the programs that have been inactive here for longer than `retention`,
    /// and that no active one continues from. Records of the system's own have a
    /// retention of their own.
    pub fn idle_programs(&mut self, now: Time, retention: Duration) -> Vec<IdleProgram> {
        self.renew_continued();
        let programs = self.programs.values();
        let idle = programs.filter(|program| program.is_idle(now, retention));
        let mut idle: Vec<&ProgramTurns> = idle.collect();
        // Programs that continue from each other are removed together.
        idle.sort_by_key(|program| program.last_active);
        let idle = idle.into_iter().map(|program| IdleProgram {
            program: program.id.clone(),
            turns: program.turns.iter().map(|turn| turn_hash(turn)).collect(),
        });
        idle.collect()
    }

    /// Returns hashes of the turns that are not stored here and from which programs
    /// other than `programs` continue.
    pub fn unresolved(&self, programs: &[IdleProgram]) -> Vec<u64> {
        let turns = self.continued_by_others(programs);
        let missing = turns.filter(|(turn, _)| !self.turns.contains_key(*turn));
        missing.map(|(turn, _)| turn_hash(turn)).collect()
    }

    /// Returns the turns from which programs other than `programs` continue, and when
    /// these were last active.
    fn continued_by_others<'a>(
        &'a self,
        programs: &'a [IdleProgram],
    ) -> impl Iterator<Item = (&'a Arc<str>, Time)> {
        let listed: HashSet<&Arc<str>> = programs.iter().map(|idle| &idle.program).collect();
        let others = self.programs.values();
        let others = others.filter(move |program| !listed.contains(&program.id));
        others.flat_map(|program| {
            let turns = program.continues.iter();
            turns.map(|turn| (turn, program.last_active))
        })
    }

    /// Returns which of some programs, which another keeper would remove together, are
    /// needed: those that are active here, and those that another program continues
    /// from, which is stored here or at the other keeper. `unresolved` are hashes of the
    /// turns from which its programs continue.
    pub fn activity(
        &self,
        now: Time,
        retention: Duration,
        programs: &[IdleProgram],
        unresolved: &[u64],
    ) -> Vec<ProgramActivity> {
        let theirs = unresolved.iter().map(|&turn| (turn, Time::default()));
        let mut continued: HashMap<u64, Time> = theirs.collect();
        for (turn, last) in self.continued_by_others(programs) {
            let time = continued.entry(turn_hash(turn)).or_default();
            *time = last.max(*time);
        }
        let needed = programs.iter().filter_map(|idle| {
            let own = self.programs.get(&idle.program);
            let turns = own.into_iter().flat_map(|program| &program.turns);
            let turns = turns.map(|turn| turn_hash(turn));
            let turns = turns.chain(idle.turns.iter().copied());
            let later = turns.filter_map(|turn| continued.get(&turn).copied());
            let active = own.filter(|program| !program.is_idle(now, retention));
            let times = active.map(|program| program.last_active).into_iter();
            let last = times.chain(later).max()?;
            Some(ProgramActivity {
                program: idle.program.clone(),
                idle_ms: now.since(last).as_millis() as u64,
            })
        });
        needed.collect()
    }

    /// Returns those of the programs that are still inactive for longer than
    /// `retention` and that no program continues from which stays.
    pub fn removable(
        &self,
        now: Time,
        retention: Duration,
        programs: &[Arc<str>],
    ) -> HashSet<Arc<str>> {
        let is_idle = |id: &&Arc<str>| {
            let program = self.programs.get(*id);
            program.is_some_and(|program| program.is_idle(now, retention))
        };
        let mut idle: HashSet<Arc<str>> = programs.iter().filter(is_idle).cloned().collect();
        let stay = self.programs.values();
        let stay = stay.filter(|program| !idle.contains(&program.id));
        let mut pending: Vec<&Arc<str>> = stay.flat_map(|program| &program.continues).collect();
        while let Some(turn) = pending.pop() {
            let Some(turn) = self.turns.get(turn) else {
                continue;
            };
            if idle.remove(&turn.program) {
                pending.extend(&self.programs[&turn.program].continues);
            }
        }
        idle
    }

    /// Removes those of the programs that are [`Ledger::removable`], and returns their
    /// number.
    pub fn expire(&mut self, now: Time, retention: Duration, programs: &[Arc<str>]) -> usize {
        let removable = self.removable(now, retention, programs);
        for id in &removable {
            self.drop_program(id);
        }
        removable.len()
    }

    fn drop_program(&mut self, id: &str) {
        let Some(program) = self.programs.remove(id) else {
            return;
        };
        for id in program.turns {
            let Some(turn) = self.turns.remove(&id) else {
                continue;
            };
            for text in turn.stored_texts() {
                self.bytes -= text.memory_bytes();
                if let Some(location) = text.location() {
                    let with_text = !matches!(text, Text::Dropped(_));
                    self.disk.release(location, with_text);
                }
            }
        }
    }

    /// Returns what is recorded of the request whose ends are those of `program`;
    /// `None` if it is another program, or no server has ended.
    pub fn end_notice(&self, now: Time, program: &str) -> Option<EndNotice> {
        let request = request_ends::request_of(program)?;
        let age = now.since(self.programs.get(program)?.last_active);
        let tally = EndTally::of(&self.usage(program, ""));
        (tally.ended > 0).then_some(EndNotice {
            request,
            ended: tally.ended,
            forgiven: tally.forgiven,
            age_ms: age.as_millis() as u64,
        })
    }

    /// Returns what is recorded of all requests under which a server ended.
    pub fn end_notices(&self, now: Time) -> Vec<EndNotice> {
        let programs = self.programs.keys();
        programs
            .filter_map(|program| self.end_notice(now, program))
            .collect()
    }

    /// Returns the ids of all programs.
    pub fn programs(&self) -> impl Iterator<Item = &Arc<str>> {
        self.programs.keys()
    }

    /// Returns all records of a program.
    pub fn entries(&self, program: &str) -> Vec<RecordEntry> {
        self.entries_of(program, &self.turns_after(program, None))
    }

    /// Returns the turns of a program in the order in which they came, those after the
    /// turn `after` if it is one of them.
    pub fn turns_after(&self, program: &str, after: Option<&str>) -> Vec<Arc<str>> {
        let program = self.programs.get(program);
        let turns = program.map_or(&[][..], |program| &program.turns);
        let at = after.and_then(|after| turns.iter().position(|turn| &**turn == after));
        turns[at.map_or(0, |at| at + 1)..].to_vec()
    }

    /// Returns the records of some turns of a program.
    pub fn entries_of(&self, program: &str, turns: &[Arc<str>]) -> Vec<RecordEntry> {
        let Some(program) = self.programs.get(program) else {
            return Vec::new();
        };
        let mut entries = Vec::new();
        for id in turns {
            let Some(turn) = self.turns.get(id) else {
                continue;
            };
            if let Some(begin) = &turn.begin {
                let record = Record::Begin(Begin {
                    turn: id.clone(),
                    program: program.id.clone(),
                    previous: turn.previous.clone(),
                    input: Bytes::new(),
                    most: begin.most,
                });
                let origin = turn.origin.as_deref().cloned();
                let stored = StoredRecord { record, origin };
                let text = begin.input.clone();
                entries.push(RecordEntry { stored, text });
            }
            if let Some(finish) = &turn.finish {
                let record = Record::Finish(Finish {
                    turn: id.clone(),
                    program: program.id.clone(),
                    output: Bytes::new(),
                    used: finish.used,
                    whole: finish.whole,
                });
                let text = finish.output.clone();
                let stored = record.into();
                entries.push(RecordEntry { stored, text });
            }
        }
        entries
    }

    /// Returns the digest of a program's records, zero if there are none.
    pub fn digest(&self, program: &str) -> u64 {
        let turns = self.programs.get(program).map(|program| &program.turns);
        let each = turns.into_iter().flatten().map(|id| {
            let turn = &self.turns[id];
            let begun = u64::from(turn.begin.is_some());
            let ended = u64::from(turn.finish.is_some());
            let origins = turn.origin.as_ref();
            let origins = origins.map_or(0, |last| u64::from(last.serial) + 1);
            let state = begun + 2 * ended + 4 * origins;
            hash::mixed_fnv(id.bytes()).wrapping_mul(2 * state + 1)
        });
        each.fold(0, u64::wrapping_add)
    }

    /// Returns the digests of at most `limit` programs in the order of their ids,
    /// starting after the id `after`, and whether more programs follow.
    pub fn digests(&self, after: Option<&str>, limit: usize) -> (Vec<ProgramDigest>, bool) {
        let mut programs: Vec<&Arc<str>> = self
            .programs
            .keys()
            .filter(|program| after.is_none_or(|after| ***program > *after))
            .collect();
        programs.sort_unstable();
        let more = programs.len() > limit;
        programs.truncate(limit);
        let digests = programs.into_iter().map(|program| ProgramDigest {
            program: program.clone(),
            digest: self.digest(program),
        });
        (digests.collect(), more)
    }

    /// Returns when the program that expires first does so at the earliest, if none is
    /// used any more; `None` if no caller's program is stored.
    pub fn next_expiry(&self, retention: Duration) -> Option<Time> {
        let callers = self
            .programs
            .values()
            .filter(|program| request_ends::retention_of(&program.id).is_none());
        let oldest = callers.map(|program| program.last_active).min();
        oldest.map(|oldest| oldest + retention)
    }

    /// Returns the length of a turn's texts in bytes.
    pub fn text_size(&self, turn: &str) -> usize {
        let turn = self.turns.get(turn);
        let texts = turn.into_iter().flat_map(|turn| turn.stored_texts());
        texts.map(Text::size).sum()
    }

    /// Returns whether records of a program are stored.
    pub fn has_program(&self, program: &str) -> bool {
        self.programs.contains_key(program)
    }

    /// Returns the number of bytes of the inputs and outputs in memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns whether there is no turn.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

fn turn_hash(id: &str) -> u64 {
    hash::mixed_fnv(id.bytes())
}

/// Joins records with the origins of their turns' streams.
pub fn with_origins(records: Vec<Record>, origins: Vec<TurnOrigin>) -> Vec<StoredRecord> {
    let origins = origins.into_iter();
    let mut origins: HashMap<Arc<str>, RecordedOrigin> = origins
        .map(|origin| (origin.turn, origin.recorded))
        .collect();
    let stored = records.into_iter().map(|record| {
        let origin = match &record {
            Record::Begin(begin) => origins.remove(&begin.turn),
            Record::Finish(_) => None,
        };
        StoredRecord { record, origin }
    });
    stored.collect()
}

/// Returns whether a record restarts the retention period of its program. Ends of
/// servers are counted from the last one, however often the request is sent.
fn renews_retention(record: &Record) -> bool {
    request_ends::retention_of(record.program()).is_none()
        || matches!(record, Record::Finish(finish) if finish.used > 0)
}
