//! What a keeper has room for, and what it answers when it has none.

use std::sync::Mutex;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::keeper_budget::KeeperBudget;
use limpetferry_lib::keeper_budget::KeeperUsage;
use limpetferry_lib::keeper_budget::RecordClass;
use limpetferry_lib::keeper_budget::Shortage;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::request_ends;
use limpetferry_lib::time::Time;

use crate::keeper_node::Asker;
use crate::keeper_node::Keeper;

/// The bounds of a keeper, and what is known of how far it is from them.
pub struct Room {
    budget: KeeperBudget,
    /// When the next program expires, if none is used any more.
    expiry: Mutex<Option<Time>>,
    /// What was last logged as short.
    noted: Mutex<Option<Shortage>>,
}

impl Room {
    /// Makes the room of a keeper.
    pub fn new(budget: KeeperBudget) -> Self {
        Self {
            budget,
            expiry: Mutex::default(),
            noted: Mutex::default(),
        }
    }

    /// Returns the bounds.
    pub fn budget(&self) -> &KeeperBudget {
        &self.budget
    }

    /// Notes when the next program expires.
    pub fn set_expiry(&self, expiry: Option<Time>) {
        *self.expiry.lock().expect("no panic while locked") = expiry;
    }

    /// Notes what is short, and returns whether that has changed.
    fn note(&self, shortage: Option<Shortage>) -> bool {
        let mut noted = self.noted.lock().expect("no panic while locked");
        std::mem::replace(&mut *noted, shortage) != shortage
    }
}

impl Keeper {
    fn usage(&self) -> KeeperUsage {
        KeeperUsage {
            index: self.state().index_bytes(),
            unwritten: self.disk.unwritten(),
            disk: self.disk.bytes(),
        }
    }

    /// Returns whether room is short, so that files are worth compacting sooner.
    pub(crate) fn is_pressed(&self) -> bool {
        self.room.budget.is_pressed(&self.usage())
    }

    /// Logs once that there is room again for first turns.
    pub(crate) fn note_room(&self) {
        let usage = self.usage();
        let first = self.room.budget.shortage(&usage, RecordClass::FirstTurn);
        if first.is_none() && self.room.note(None) {
            self.meters.full.set(0);
            self.note(LogEvent::new("has_room"));
        }
    }

    /// Returns the class of a turn that is to be stored.
    pub(crate) fn class(&self, begin: &Begin) -> RecordClass {
        let state = self.state();
        let is_own = request_ends::retention_of(&begin.program).is_some();
        let (now, reservations) = (self.clock.now(), &state.reservations);
        let is_admitted = state.ledger.has_start(&begin.turn)
            || reservations.holds(now, &begin.program, &begin.turn);
        if is_own || is_admitted {
            RecordClass::Stored
        } else if begin.previous.is_some() || state.ledger.has_program(&begin.program) {
            RecordClass::LaterTurn
        } else {
            RecordClass::FirstTurn
        }
    }

    /// Returns what there is no room in for records of a class.
    pub(crate) fn shortage(&self, class: RecordClass) -> Option<Shortage> {
        let usage = self.usage();
        let shortage = self.room.budget.shortage(&usage, class)?;
        if self.room.note(Some(shortage)) {
            self.meters.full.set(1);
            let note = LogEvent::new("full").with("short", shortage.label());
            let note = note.with("disk_bytes", usage.disk);
            let note = note.with("index_bytes", usage.index);
            let note = note.with("unwritten_bytes", usage.unwritten);
            self.note(note.with("remedy", shortage.remedy()));
        }
        Some(shortage)
    }

    /// Returns the answer to a process whose record there is no room for.
    pub(crate) fn refuse(&self, shortage: Shortage, asker: &Asker) -> KeeperReply {
        let label = shortage.label();
        self.meters.refused.with_label_values(&[label]).inc();
        if !asker.understands_full {
            let why = format!("no room ({label}); {}", shortage.remedy());
            return KeeperReply::Failed(why);
        }
        let expiry = *self.room.expiry.lock().expect("no panic while locked");
        let left = expiry.map(|expiry| expiry.since(self.clock.now()));
        let retry = shortage.retry_after(left.unwrap_or_default());
        KeeperReply::Full {
            retry_ms: retry.as_millis() as u64,
        }
    }
}
