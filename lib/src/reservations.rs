//! Turns that were opened and that no server has taken yet.
//!
//! A reservation charges the most tokens of its turn to the program, so that of turns that
//! are opened at the same time one sees the other. It is kept in memory only, and ends
//! when the turn is recorded or released, when its time is over, or when the process that
//! opened it is gone: a turn that never reached a server then counts nothing, although
//! nobody is left who could say so.
//!
//! A turn brings its caller nothing before a majority of replicas has recorded it. A
//! replica that records it says whether the reservation was still there. If not, turns
//! may have started there that did not see it, and the budget is checked again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::allowance::ProcessStart;
use crate::ledger::Begin;
use crate::ledger::TurnUsage;
use crate::time::Time;

/// Memory of a reservation without its ids, in bytes.
const RESERVATION_BYTES: u64 = 160;
/// How long reservations outlive the link by which they were made: longer than a link
/// takes to be dialled anew.
const LINK_GRACE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Reservation {
    turn: Arc<str>,
    most: u64,
    process: ProcessStart,
    until: Time,
}

impl Reservation {
    fn bytes(&self) -> u64 {
        RESERVATION_BYTES + self.turn.len() as u64
    }
}

/// The reservations that one replica holds.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    programs: HashMap<Arc<str>, Vec<Reservation>>,
    count: usize,
    bytes: u64,
}

impl Reservations {
    /// Reserves the most tokens of a turn that `process` opens, for `longest` at most. For
    /// a turn that is reserved already the time begins anew.
    pub fn reserve(&mut self, now: Time, begin: &Begin, process: &ProcessStart, longest: Duration) {
        self.remove(&begin.program, &begin.turn);
        let reservation = Reservation {
            turn: begin.turn.clone(),
            most: begin.most,
            process: process.clone(),
            until: now + longest,
        };
        self.count += 1;
        self.bytes += reservation.bytes();
        let turns = self.programs.entry(begin.program.clone()).or_default();
        turns.push(reservation);
    }

    /// Ends the reservation of a turn.
    pub fn remove(&mut self, program: &str, turn: &str) {
        self.retain_in(program, |reservation| &*reservation.turn != turn);
    }

    /// Returns whether a turn is reserved.
    pub fn holds(&self, now: Time, program: &str, turn: &str) -> bool {
        let mut live = self.live(now, program);
        live.any(|reservation| &*reservation.turn == turn)
    }

    /// Returns what the reserved turns of a program charge to its budget, except the
    /// turn `excluded`.
    pub fn usage(&self, now: Time, program: &str, excluded: &str) -> Vec<TurnUsage> {
        let live = self.live(now, program);
        let others = live.filter(|reservation| &*reservation.turn != excluded);
        let usage = others.map(|reservation| TurnUsage {
            turn: reservation.turn.clone(),
            tokens: reservation.most,
            ended: false,
            reserved: true,
        });
        usage.collect()
    }

    /// Ends the reservations of earlier runs of a process.
    pub fn end_earlier_runs(&mut self, process: &ProcessStart) {
        self.retain(|reservation| {
            let owner = &reservation.process;
            owner.node != process.node || owner.boot == process.boot
        });
    }

    /// Applies that the link to a process is lost.
    pub fn lose_link(&mut self, now: Time, process: &ProcessStart) {
        let all = self.programs.values_mut().flatten();
        for reservation in all.filter(|reservation| reservation.process == *process) {
            reservation.until = reservation.until.min(now + LINK_GRACE);
        }
    }

    /// Drops the reservations whose time is over, and returns their number.
    pub fn expire(&mut self, now: Time) -> usize {
        self.retain(|reservation| now < reservation.until)
    }

    /// Returns the memory in use, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of reserved turns.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no turn is reserved.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn live(&self, now: Time, program: &str) -> impl Iterator<Item = &Reservation> {
        let turns = self.programs.get(program).into_iter().flatten();
        turns.filter(move |reservation| now < reservation.until)
    }

    fn retain(&mut self, keep: impl Fn(&Reservation) -> bool) -> usize {
        let before = self.count;
        let programs: Vec<Arc<str>> = self.programs.keys().cloned().collect();
        for program in programs {
            self.retain_in(&program, &keep);
        }
        before - self.count
    }

    fn retain_in(&mut self, program: &str, keep: impl Fn(&Reservation) -> bool) {
        let Some(turns) = self.programs.get_mut(program) else {
            return;
        };
        let dropped = turns.extract_if(.., |reservation| !keep(reservation));
        for reservation in dropped {
            self.count -= 1;
            self.bytes -= reservation.bytes();
        }
        if turns.is_empty() {
            self.programs.remove(program);
        }
    }
}
