//! The state that a keeper answers from.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use limpetferry_lib::ledger::ChainEntry;
use limpetferry_lib::ledger::Ledger;
use limpetferry_lib::ledger::Presence;
use limpetferry_lib::ledger::RecordEntry;
use limpetferry_lib::reservations::Reservations;
use limpetferry_lib::text_cache::TextCache;

/// Bytes of the texts in one part of a history. Who asked for it asks again for the turn
/// before the part.
const HISTORY_PART: usize = 1 << 20;

/// The turns of a keeper, and what it may say of those that it does not have.
pub struct State {
    /// The turns.
    pub ledger: Ledger,
    /// Turns that no server has taken yet.
    pub reservations: Reservations,
    /// The newest texts that are on disk.
    pub cache: TextCache,
    /// Whether it has all that it ever acknowledged.
    pub whole: bool,
    /// Whether it is a member by a list that was read from the store since the process
    /// started. Others may have committed turns without it before that.
    pub listed: bool,
}

impl State {
    /// Returns whether what the keeper does not store was never acknowledged by it, or
    /// was removed.
    pub fn is_certain(&self) -> bool {
        self.whole && self.listed
    }

    /// Returns the memory of the index, in bytes.
    pub fn index_bytes(&self) -> u64 {
        self.ledger.disk().total().index + self.reservations.bytes()
    }

    /// Returns whether the keeper stores a turn.
    pub fn presence(&self, turn: &str) -> Presence {
        if self.ledger.has_complete(turn) {
            Presence::Here
        } else if self.is_certain() {
            Presence::Never
        } else {
            Presence::Unsure
        }
    }

    /// Returns a turn and as many of its predecessors as one part of a history has, with
    /// the texts that are in memory.
    pub fn chain(&self, turn: &str) -> Vec<ChainEntry> {
        let mut chain = self.ledger.chain(turn);
        let mut bytes = 0;
        let fits = chain.iter().take_while(|entry| {
            bytes += entry.size();
            bytes <= HISTORY_PART
        });
        let count = fits.count().max(1);
        chain.truncate(count);
        for entry in &mut chain {
            entry.input = self.cache.look_up(entry.input.clone());
            entry.output = self.cache.look_up(entry.output.clone());
        }
        chain
    }

    /// Returns the records of some turns of a program, with the texts that are in memory.
    pub fn entries(&self, program: &str, turns: &[Arc<str>]) -> Vec<RecordEntry> {
        let mut entries = self.ledger.entries_of(program, turns);
        for entry in &mut entries {
            entry.text = self.cache.look_up(entry.text.clone());
        }
        entries
    }
}

/// The state, shared with the threads that write and read the disk.
#[derive(Clone)]
pub struct SharedState(Arc<Mutex<State>>);

impl SharedState {
    /// Shares a state.
    pub fn new(state: State) -> Self {
        Self(Arc::new(Mutex::new(state)))
    }

    /// Returns the state, locked.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic while locked")
    }
}
