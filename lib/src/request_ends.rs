//! Records of servers that ended under a request.
//!
//! Keepers account them like the tokens of a program: the request is a program with
//! a budget of [`MAX_ENDS`], each end uses one of it, and so may each run that is
//! allowed while an earlier one has ended a server. The budget's admission
//! ([`crate::turn_admission`]) then bounds ends and such runs together, over
//! gateways, lost keepers and restarts. Runs of requests under which no server has
//! ended are not recorded.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::RequestFingerprint;
use crate::ledger::Begin;
use crate::ledger::Finish;
use crate::ledger::TurnUsage;
use crate::load_report::ServerStart;

/// Servers that may end under a request; then it is sent to none any more.
pub const MAX_ENDS: u64 = 3;
/// How long ends are counted after the last one: longer than a caller retries, and
/// short enough that a request that was refused by mistake is served again soon.
pub const RETENTION: Duration = Duration::from_secs(600);
/// How long a server is reserved for one request at most: longer than any route lets
/// a request run.
const RESERVATION: Duration = Duration::from_secs(30);

/// Separates the parts of an id. Header values cannot contain it, so no caller can
/// name one of these ids.
const SEPARATOR: char = '\u{1f}';
/// First part of the program of a request's ends.
const ENDS: &str = "ends";
/// First part of the program of a server's reservations.
const RESERVED: &str = "reserved";
/// Part of the id of a turn that forgives ends.
const FORGIVEN: &str = "forgiven";

/// Returns the program under which the ends of a request are recorded.
pub fn ends_program(request: RequestFingerprint) -> Arc<str> {
    format!("{SEPARATOR}{ENDS}{SEPARATOR}{request}").into()
}

/// Returns the request whose ends are recorded under a program; `None` if it is
/// another program.
pub fn request_of(program: &str) -> Option<RequestFingerprint> {
    let mut parts = program.split(SEPARATOR);
    match (parts.next(), parts.next(), parts.next()) {
        (Some(""), Some(ENDS), Some(request)) => RequestFingerprint::from_hex(request),
        _ => None,
    }
}

/// Returns how long records of a program are kept; `None` if it is a caller's.
pub fn retention_of(program: &str) -> Option<Duration> {
    let mut parts = program.split(SEPARATOR);
    match (parts.next(), parts.next()) {
        (Some(""), Some(ENDS)) => Some(RETENTION),
        (Some(""), Some(RESERVED)) => Some(RESERVATION),
        _ => None,
    }
}

/// Returns what records that a server may end under a request, while `serial` is
/// unique to the run.
pub fn begin_run(request: RequestFingerprint, serial: u64) -> Begin {
    begin(ends_program(request), &format!("run-{serial:016x}"), 1)
}

/// Returns what records that a server ended under a request whose run was not
/// recorded. Runs of the request that end together with one server count once.
pub fn record_end(request: RequestFingerprint, server: ServerStart) -> (Begin, Finish) {
    let begin = begin(
        ends_program(request),
        &format!("server-{:016x}", server.0),
        1,
    );
    let finish = finish(&begin, 1);
    (begin, finish)
}

/// Returns what records that the first `ends` of a request count no longer.
pub fn forgive(request: RequestFingerprint, ends: u64) -> (Begin, Finish) {
    let id = format!("{FORGIVEN}{SEPARATOR}{ends}");
    let begin = begin(ends_program(request), &id, 0);
    let finish = finish(&begin, 0);
    (begin, finish)
}

/// Returns what reserves a server for one run of a request that ends servers.
pub fn begin_reservation(server: ServerStart, serial: u64) -> Begin {
    let program = format!("{SEPARATOR}{RESERVED}{SEPARATOR}{:016x}", server.0);
    begin(program.into(), &format!("run-{serial:016x}"), 1)
}

fn begin(program: Arc<str>, id: &str, most: u64) -> Begin {
    Begin {
        turn: format!("{program}{SEPARATOR}{id}").into(),
        program,
        previous: None,
        input: Bytes::new(),
        most,
    }
}

fn finish(begin: &Begin, used: u64) -> Finish {
    Finish {
        turn: begin.turn.clone(),
        program: begin.program.clone(),
        output: Bytes::new(),
        used,
        whole: false,
    }
}

/// What is recorded of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndTally {
    /// Servers that ended, all since the records began.
    pub ended: u64,
    /// Runs that may still end a server.
    pub open: u64,
    /// Ends that count no longer.
    pub forgiven: u64,
}

impl EndTally {
    /// Sums up the records of a request.
    pub fn of<'a>(usage: impl IntoIterator<Item = &'a TurnUsage>) -> Self {
        let mut tally = Self::default();
        for turn in usage {
            let forgiven = forgiven_by(&turn.turn);
            match (forgiven, turn.ended) {
                (Some(ends), _) => tally.forgiven = tally.forgiven.max(ends),
                (None, true) => tally.ended = tally.ended.saturating_add(turn.tokens),
                (None, false) => tally.open = tally.open.saturating_add(turn.tokens),
            }
        }
        tally
    }

    /// Returns the ends that count.
    pub fn counted(&self) -> u64 {
        self.ended.saturating_sub(self.forgiven)
    }
}

fn forgiven_by(turn: &str) -> Option<u64> {
    let mut parts = turn.rsplit(SEPARATOR);
    let ends = parts.next()?.parse().ok()?;
    (parts.next() == Some(FORGIVEN)).then_some(ends)
}

/// What a keeper reports of a request to gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndNotice {
    /// The request.
    pub request: RequestFingerprint,
    /// Servers that ended under it.
    pub ended: u64,
    /// Ends that count no longer.
    pub forgiven: u64,
    /// Milliseconds since the last one was recorded.
    pub age_ms: u64,
}
