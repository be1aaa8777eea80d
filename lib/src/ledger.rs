//! What one keeper knows of programs: their turns, what each was given and
//! gave, and the tokens that it used or may still use.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::place::Place;
use crate::place::Places;
use crate::time::Time;

/// A turn that is about to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Id of the turn: that of the attempt.
    pub turn: Arc<str>,
    /// Its program.
    pub program: Arc<str>,
    /// The turn that it continues from.
    pub previous: Option<Arc<str>>,
    /// What the caller sent anew; empty where no history is kept.
    pub input: Bytes,
    /// Most tokens that it may hand out.
    pub most: u64,
}

/// A turn that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Id of the turn.
    pub turn: Arc<str>,
    /// Its program.
    pub program: Arc<str>,
    /// Data of its events, a line feed after each; empty where no history is
    /// kept.
    pub output: Bytes,
    /// Tokens that were handed out.
    pub used: u64,
    /// Whether the answer was whole, so that others may continue from it.
    pub whole: bool,
}

/// A change that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A turn is about to run.
    Begin(Begin),
    /// A turn has ended.
    Finish(Finish),
}

impl Record {
    /// Returns the program that it belongs to.
    pub fn program(&self) -> &Arc<str> {
        match self {
            Self::Begin(begin) => &begin.program,
            Self::Finish(finish) => &finish.program,
        }
    }

    /// Returns the bytes of its texts, for bounds on memory.
    pub fn size(&self) -> usize {
        match self {
            Self::Begin(begin) => begin.input.len(),
            Self::Finish(finish) => finish.output.len(),
        }
    }
}

/// What one turn counts against its program's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Id of the turn.
    pub turn: Arc<str>,
    /// Tokens that it used, or the most that it may use.
    pub tokens: u64,
    /// Whether it has ended.
    pub ended: bool,
}

/// One turn of a chain, as a server is to receive it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Id of the turn.
    pub turn: Arc<str>,
    /// The turn before.
    pub previous: Option<Arc<str>>,
    /// Its input, then its output.
    pub text: Bytes,
}

/// Whether a keeper has a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It has it whole.
    Here,
    /// It has everything that it ever acknowledged, and this is not in it.
    Never,
    /// It may have lost it.
    Unsure,
}

/// What a keeper has of one program, short enough to compare many.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramDigest {
    /// Id of the program.
    pub program: Arc<str>,
    /// The same for the same beginnings and ends of turns, in any order.
    pub digest: u64,
}

#[derive(Clone, Debug)]
struct Turn {
    program: Arc<str>,
    begin: Option<Begin>,
    finish: Option<Finish>,
}

impl Turn {
    fn tokens(&self) -> u64 {
        let most = self.begin.as_ref().map_or(0, |begin| begin.most);
        self.finish.as_ref().map_or(most, |finish| finish.used)
    }

    fn link(&self) -> Option<Link> {
        let begin = self.begin.as_ref()?;
        let finish = self.finish.as_ref().filter(|finish| finish.whole)?;
        Some(Link {
            turn: begin.turn.clone(),
            previous: begin.previous.clone(),
            text: [&begin.input[..], &finish.output[..]].concat().into(),
        })
    }
}

#[derive(Clone, Debug)]
struct ProgramTurns {
    turns: Vec<Arc<str>>,
    active: Time,
    /// Where its prompts are kept; not on disk, since a turn without it only
    /// takes longer.
    places: Places,
}

/// The turns that one keeper has.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    turns: HashMap<Arc<str>, Turn>,
    programs: HashMap<Arc<str>, ProgramTurns>,
    bytes: usize,
}

impl Ledger {
    /// Takes a record; one that is there already changes nothing. Returns
    /// whether it was new.
    pub fn apply(&mut self, now: Time, record: Record) -> bool {
        let id = match &record {
            Record::Begin(begin) => begin.turn.clone(),
            Record::Finish(finish) => finish.turn.clone(),
        };
        let name = record.program().clone();
        let size = record.size();
        let program = self.programs.entry(name.clone()).or_insert(ProgramTurns {
            turns: Vec::new(),
            active: now,
            places: Places::default(),
        });
        program.active = program.active.max(now);
        let turn = self.turns.entry(id.clone()).or_insert_with(|| {
            program.turns.push(id);
            Turn {
                program: name,
                begin: None,
                finish: None,
            }
        });
        let new = match record {
            Record::Begin(begin) => fill(&mut turn.begin, begin),
            Record::Finish(finish) => fill(&mut turn.finish, finish),
        };
        if new {
            self.bytes += size;
        }
        new
    }

    /// Returns what each turn of a program counts against its budget, but for
    /// the turn `without`.
    pub fn shares(&self, program: &str, without: &str) -> Vec<Share> {
        let Some(program) = self.programs.get(program) else {
            return Vec::new();
        };
        let others = program.turns.iter().filter(|turn| &***turn != without);
        others
            .map(|id| {
                let turn = &self.turns[id];
                Share {
                    turn: id.clone(),
                    tokens: turn.tokens(),
                    ended: turn.finish.is_some(),
                }
            })
            .collect()
    }

    /// Takes where a prompt of a program that is here is kept.
    pub fn put_place(&mut self, program: &str, place: Place) {
        if let Some(program) = self.programs.get_mut(program) {
            program.places.put(place);
        }
    }

    /// Returns where the prompts of a program are kept.
    pub fn places(&self, program: &str) -> &[Place] {
        let program = self.programs.get(program);
        program.map_or(&[], |program| program.places.all())
    }

    /// Returns a turn and those before it, the latest first, up to the first
    /// one that is not here or that is in `known`.
    pub fn chain(&self, turn: &str, known: impl Fn(&str) -> bool) -> Vec<Link> {
        let mut links = Vec::new();
        let mut next = Some(Arc::<str>::from(turn));
        while let Some(id) = next.take_if(|id| !known(id)) {
            let Some(link) = self.turns.get(&id).and_then(Turn::link) else {
                break;
            };
            next.clone_from(&link.previous);
            links.push(link);
        }
        links
    }

    /// Returns whether the beginning of a turn is here.
    pub fn has_begun(&self, turn: &str) -> bool {
        let turn = self.turns.get(turn);
        turn.is_some_and(|turn| turn.begin.is_some())
    }

    /// Returns whether a turn is here and whole.
    pub fn has(&self, turn: &str) -> bool {
        let turn = self.turns.get(turn);
        turn.is_some_and(|turn| turn.link().is_some())
    }

    /// Keeps the program of a turn for another retention, as another program
    /// continues from it.
    pub fn touch(&mut self, now: Time, turn: &str) {
        let Some(turn) = self.turns.get(turn) else {
            return;
        };
        if let Some(program) = self.programs.get_mut(&turn.program) {
            program.active = program.active.max(now);
        }
    }

    /// Drops the programs that were last active longer ago than `retention`.
    /// Returns how many.
    pub fn expire(&mut self, now: Time, retention: Duration) -> usize {
        let old: HashSet<Arc<str>> = self
            .programs
            .iter()
            .filter(|(_, program)| now.since(program.active) > retention)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &old {
            self.drop_program(id);
        }
        old.len()
    }

    fn drop_program(&mut self, id: &str) {
        let Some(program) = self.programs.remove(id) else {
            return;
        };
        for id in program.turns {
            let Some(turn) = self.turns.remove(&id) else {
                continue;
            };
            self.bytes -= turn.begin.map_or(0, |begin| begin.input.len());
            self.bytes -= turn.finish.map_or(0, |finish| finish.output.len());
        }
    }

    /// Returns the ids of all programs.
    pub fn programs(&self) -> impl Iterator<Item = &Arc<str>> {
        self.programs.keys()
    }

    /// Returns the records of a program.
    pub fn records(&self, program: &str) -> Vec<Record> {
        let turns = self.programs.get(program).map(|program| &program.turns);
        let mut records = Vec::new();
        for id in turns.into_iter().flatten() {
            let turn = &self.turns[id];
            records.extend(turn.begin.clone().map(Record::Begin));
            records.extend(turn.finish.clone().map(Record::Finish));
        }
        records
    }

    /// Returns the digest of what is here of a program, zero if nothing is.
    pub fn digest(&self, program: &str) -> u64 {
        let turns = self.programs.get(program).map(|program| &program.turns);
        let each = turns.into_iter().flatten().map(|id| {
            let turn = &self.turns[id];
            let begun = u64::from(turn.begin.is_some());
            let ended = u64::from(turn.finish.is_some());
            let mark = begun + 2 * ended;
            hash::spread(id.bytes()).wrapping_mul(2 * mark + 1)
        });
        each.fold(0, u64::wrapping_add)
    }

    /// Returns digests of at most `most` programs after `after`, in the order
    /// of their ids, and whether there are more.
    pub fn digests(&self, after: Option<&str>, most: usize) -> (Vec<ProgramDigest>, bool) {
        let mut programs: Vec<&Arc<str>> = self
            .programs
            .keys()
            .filter(|program| after.is_none_or(|after| ***program > *after))
            .collect();
        programs.sort_unstable();
        let more = programs.len() > most;
        programs.truncate(most);
        let digests = programs.into_iter().map(|program| ProgramDigest {
            program: program.clone(),
            digest: self.digest(program),
        });
        (digests.collect(), more)
    }

    /// Returns the bytes of all texts.
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

fn fill<T>(slot: &mut Option<T>, value: T) -> bool {
    let new = slot.is_none();
    slot.get_or_insert(value);
    new
}
