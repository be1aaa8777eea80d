//! A request at one server, and what became of it there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use limpetferry_lib::call::Part;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::load_report::ServerStart;
use limpetferry_lib::pace::WaitKey;
use limpetferry_lib::place::Place;
use limpetferry_lib::server::Server;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::server_version::ServerVersion;
use limpetferry_lib::service_time::RequestConditions;
use limpetferry_lib::service_time::Span;
use limpetferry_lib::stream_origin::StreamOrigin;
use limpetferry_lib::time::Time;

use crate::clearance::Clearance;
use crate::dispatch::Permit;
use crate::gateway::Gateway;
use crate::http::Sender;
use crate::identity::RequestIdentity;
use crate::quarantine::SuspectRun;

/// The start of a server that a request was sent to.
#[derive(Clone, Debug)]
pub struct SentTo {
    /// Identifies the start in this process.
    pub key: ServerKey,
    /// Id of the server.
    pub server: Arc<str>,
    /// Identifies the start in all processes.
    pub start: ServerStart,
    /// Version of its software.
    pub version: ServerVersion,
    /// Its address.
    pub address: SocketAddr,
}

/// A request at a server.
pub struct Lease {
    gateway: Arc<Gateway>,
    /// The server.
    pub key: ServerKey,
    /// Id of the server.
    pub server: Arc<str>,
    /// Identifies the start of the server in all processes.
    start: ServerStart,
    /// Address of the server.
    address: SocketAddr,
    /// Start time in the server's entry, if it has one.
    pub(crate) started_at: Option<u64>,
    /// Whether the request continues a stream that began at a known version.
    pub(crate) continues: bool,
    /// Origin of a stream that begins there.
    pub origin: StreamOrigin,
    pub(crate) sender: Option<Sender>,
    pub(crate) keep: Option<Duration>,
    over: bool,
    /// What the request met at the server.
    work: RequestConditions,
    /// When it was sent.
    pub(crate) sent: Time,
    /// Its wait for the first part of its answer.
    wait: Option<WaitKey>,
    /// When the first event of its answer came.
    first: Option<Time>,
    /// Its right to be there, if requests wait for one.
    permit: Option<Permit>,
    /// The permission to send it.
    pub(crate) clearance: Clearance,
    /// Its part of the suspects at the server.
    suspect: Option<SuspectRun>,
    identity: Arc<RequestIdentity>,
    was_sent: bool,
}

impl Lease {
    /// Creates a request that is sent to a server now, where it meets `work`.
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        now: Time,
        key: ServerKey,
        server: &Server,
        work: RequestConditions,
        clearance: Clearance,
        identity: Arc<RequestIdentity>,
    ) -> Self {
        Self {
            suspect: gateway.quarantine.enter(key, &clearance),
            clearance,
            identity,
            was_sent: false,
            gateway,
            key,
            server: server.id.clone(),
            start: server.start(),
            address: server.address,
            started_at: server.started_at,
            continues: false,
            origin: StreamOrigin::of(server),
            sender: None,
            keep: None,
            over: false,
            work,
            sent: now,
            wait: None,
            first: None,
            permit: None,
        }
    }

    /// Returns the start of the server that the request is sent to.
    pub fn sent_to(&self) -> SentTo {
        SentTo {
            key: self.key,
            server: self.server.clone(),
            start: self.start,
            version: self.origin.version.clone(),
            address: self.address,
        }
    }

    /// Notes that the request is sent now, and that its answer begins with
    /// `span`.
    pub(crate) fn begin_wait(&mut self, now: Time, span: Span) {
        self.heard();
        self.sent = now;
        self.was_sent = true;
        let mut known = self.gateway.site.known();
        self.wait = known.fleet.begin_wait(now, self.key, &self.work, span);
    }

    /// Notes that the first part of its answer came.
    pub fn heard(&mut self) {
        if let Some(wait) = self.wait.take() {
            let mut known = self.gateway.site.known();
            known.fleet.end_wait(self.key, wait);
        }
    }

    /// Takes the right to be at the server.
    pub(crate) fn set_permit(&mut self, mut permit: Option<Permit>) {
        if let Some(permit) = &mut permit {
            permit.set_server(self.key);
        }
        self.permit = permit;
    }

    /// Notes that the first event of a whole stream came.
    pub fn observe_first(&mut self) {
        let now = self.gateway.clock.now();
        self.first = Some(now);
        let took = now.since(self.sent);
        let mut known = self.gateway.site.known();
        known.fleet.first_event(now, self.key, &self.work, took);
    }

    /// Notes that a stream whose first event was noted has ended whole.
    pub fn observe_end(&self, events: u64) {
        let Some(first) = self.first else {
            return;
        };
        let now = self.gateway.clock.now();
        let took = now.since(first);
        let mut known = self.gateway.site.known();
        let fleet = &mut known.fleet;
        fleet.stream_end(now, self.key, &self.work, took, events);
    }

    /// Notes that a plain answer is here whole.
    pub fn observe_plain(&self) {
        let now = self.gateway.clock.now();
        let took = now.since(self.sent);
        let mut known = self.gateway.site.known();
        known.fleet.plain_end(now, self.key, &self.work, took);
    }

    /// Returns where the prompt is kept now, with `made` tokens of output.
    pub fn place(&self, parts: &[Part], made: u64) -> Option<Place> {
        let last = parts.last()?;
        let part = Part {
            id: last.id,
            tokens: last.tokens.saturating_add(made),
        };
        let now = self.gateway.clock.now();
        let mut known = self.gateway.site.known();
        let place = known.fleet.place(self.key, part)?;
        known.fleet.apply_places(now, &[place]);
        Some(place)
    }

    /// Ends the request; the connection is kept if it may be used again.
    pub fn end(mut self, outcome: ServerOutcome, reuse: bool) {
        self.close(outcome);
        if let Some(sender) = self.sender.take().filter(|_| reuse) {
            let now = self.gateway.clock.now();
            self.gateway.pool.put(now, self.key, sender, self.keep);
        }
    }

    /// Ends the request, which got no answer.
    pub(crate) fn fail(self, failure: Failure) -> Unanswered {
        let outcome = failure.outcome();
        self.fail_as(outcome, failure)
    }

    /// Ends the request, which got no answer, with an outcome other than that of the
    /// failure.
    pub(crate) fn fail_as(mut self, outcome: ServerOutcome, failure: Failure) -> Unanswered {
        // What the server does next decides about a request that is left there.
        let left = is_left(outcome);
        let clearance = (!left).then(|| std::mem::take(&mut self.clearance));
        self.end(outcome, false);
        Unanswered { failure, clearance }
    }

    fn close(&mut self, outcome: ServerOutcome) {
        if !std::mem::replace(&mut self.over, true) {
            let now = self.gateway.clock.now();
            let mut known = self.gateway.site.known();
            if let Some(wait) = self.wait.take() {
                known.fleet.abandon_wait(now, self.key, wait);
            }
            known.fleet.end(now, self.key, outcome);
            // The permit locks the queue, which locks the fleet.
            drop(known);
            if let Some(permit) = self.permit.take() {
                permit.end(outcome);
            }
            self.suspect = None;
            if self.was_sent && is_left(outcome) {
                let to = self.sent_to();
                let run = self.clearance.take_run();
                let request = self.identity.fingerprint();
                self.gateway.quarantine.leave(&to, request, run);
            }
        }
    }
}

/// Returns whether a request with this outcome is left at its server, which may still
/// work on it.
fn is_left(outcome: ServerOutcome) -> bool {
    matches!(outcome, ServerOutcome::Abandoned | ServerOutcome::Silent)
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.close(ServerOutcome::Abandoned);
    }
}

/// Why an attempt at one server gave no answer.
#[derive(Clone, Debug)]
pub enum Failure {
    /// No byte of it was sent.
    NotSent(String),
    /// It was not sent, as servers have ended under it meanwhile.
    Withheld,
    /// The server has no room, and did not run it.
    Full,
    /// The server says that it did not run it.
    NotRun(&'static str),
    /// Another server has the address, and did not run it.
    Replaced,
    /// The connection broke before its answer was complete, so that it may have
    /// run. The server may have ended.
    Broken(String),
    /// It may have run; what the server sent is no answer to it.
    Unknown(String),
    /// Nothing came for longer than answers take, and it may have run.
    Silent,
    /// The caller's time is over, and it may have run.
    Late,
}

impl Failure {
    /// Returns what it says of its server.
    pub fn outcome(&self) -> ServerOutcome {
        match self {
            Self::Late | Self::Withheld => ServerOutcome::Abandoned,
            Self::Silent => ServerOutcome::Silent,
            _ => ServerOutcome::Broken,
        }
    }

    /// Returns whether the server may have run the request.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Withheld => false,
            Self::Full | Self::NotRun(_) | Self::Replaced => false,
            Self::Broken(_) | Self::Unknown(_) | Self::Silent | Self::Late => true,
        }
    }

    /// Returns its name in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::Withheld => "withheld",
            Self::Full | Self::NotRun(_) | Self::Replaced => "not_run",
            Self::Broken(_) => "broken",
            Self::Unknown(_) => "unknown",
            Self::Silent => "silent",
            Self::Late => "late",
        }
    }
}

/// A request that got no answer from its server.
pub struct Unanswered {
    /// Why.
    pub failure: Failure,
    /// The permission to send it, unless the request was left at the server.
    pub clearance: Option<Clearance>,
}

/// The head of a server's answer, with its body still to be read.
pub struct Started {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Incoming,
    /// The request at the server.
    pub lease: Lease,
}
