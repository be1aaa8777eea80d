//! A request at one server after the other.

use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::dispatch_queue::QueuedRequest;
use limpetferry_lib::request_ends::MAX_ENDS;
use limpetferry_lib::routing::Kind;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::service_time::Span;
use limpetferry_lib::start_doubts::StartEvidence;
use limpetferry_lib::stream_origin::StreamBinding;
use limpetferry_lib::stream_origin::StreamOrigin;
use limpetferry_lib::suspects::Standing;
use limpetferry_lib::urgency;
use limpetferry_platform::header;
use limpetferry_platform::header::Dispatch;

use crate::clearance::Clearance;
use crate::dispatch::Permit;
use crate::http::Sender;
use crate::lease::Failure;
use crate::lease::Lease;
use crate::lease::SentTo;
use crate::lease::Started;
use crate::lease::Unanswered;
use crate::pool::Absence;
use crate::quarantine::Quarantine;
use crate::quarantine::Withheld;
use crate::refusal::RETRY_FULL;
use crate::refusal::RETRY_KEEPERS;
use crate::refusal::RETRY_UNKNOWN;
use crate::refusal::Refusal;
use crate::refusal::late;
use crate::relay::Job;
use crate::steps::Step;
use crate::timeout::within;

/// Tries at servers that refuse for lack of room before the caller is told to
/// come back.
const MAX_REFUSALS: usize = 3;
/// Pause before a server that is full is asked again to go on with a stream.
const SAME_PAUSE: Duration = Duration::from_millis(40);
/// Times that the servers of a service may refuse a request that waits for room,
/// each one; what none has room for alone, such as a prompt beyond their memory,
/// is not asked for any longer.
const MAX_ROUNDS: usize = 16;
/// First pause before a request under which servers ended is tried again, while
/// other runs of it are under way; doubled each time.
pub(crate) const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Longest such pause.
const MAX_BUSY_PAUSE: Duration = Duration::from_millis(320);
/// Time left below which a request is not sent any more.
pub(crate) const LEAST_LEFT: Duration = Duration::from_millis(5);

/// Returns the refusal of a request that no server takes, of which `refusals` did
/// not run it.
fn no_server(progress: &Progress, refusals: usize) -> Refusal {
    if progress.runs > 0 {
        return Refusal::new(
            StatusCode::BAD_GATEWAY,
            "the server broke off, and no other one is there",
        );
    }
    if refusals > 0 {
        return Refusal::later(RETRY_FULL, "all servers are full; come back");
    }
    match progress.binding.origin() {
        Some(origin) => Refusal::later(
            RETRY_UNKNOWN,
            format!(
                "no server of version {} is there, where the stream began; try later, or start it again",
                origin.version
            ),
        ),
        None => Refusal::later(
            RETRY_UNKNOWN,
            "no server of the service is there; come back",
        ),
    }
}

/// What a failed run of a request shows.
pub struct Settled {
    /// Why there was no answer.
    pub failure: Failure,
    /// Whether its server has ended.
    pub has_ended: bool,
    /// The permission to send it, if it was not sent or not run.
    clearance: Option<Clearance>,
}

/// How far a request has come at servers.
#[derive(Default)]
pub struct Progress {
    /// Servers at which it is not tried again.
    pub tried: Vec<ServerKey>,
    /// Number of servers that may have run it.
    pub runs: u32,
    /// Number of servers that run on and broke off within its answer.
    pub broke_off: u32,
    /// Last event that its caller was sent.
    pub last_event: Option<u64>,
    /// Servers that may serve its stream.
    pub binding: StreamBinding,
}

impl Job {
    /// Returns the permission to send the request once.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request under which too many servers ended, or that
    /// may not be sent in time.
    async fn clear(&self, runs: u32) -> Result<Clearance, Refusal> {
        let quarantine = &self.gateway.quarantine;
        let mut pause = BUSY_PAUSE;
        loop {
            let withheld = match quarantine.clear(|| self.fingerprint()).await {
                Ok(clearance) => return Ok(clearance),
                Err(withheld) => withheld,
            };
            if withheld == Withheld::Busy && self.left() > pause + LEAST_LEFT {
                smol::Timer::after(pause).await;
                pause = (pause * 2).min(MAX_BUSY_PAUSE);
                continue;
            }
            return Err(self.withheld(withheld, runs));
        }
    }

    /// Returns the refusal of a request that is not sent, and may have run `runs`
    /// times.
    fn withheld(&self, withheld: Withheld, runs: u32) -> Refusal {
        self.gateway.withheld(self, withheld);
        if withheld == Withheld::Refused {
            return Refusal::new(
                StatusCode::BAD_REQUEST,
                format!(
                    "{MAX_ENDS} servers ended while they ran this request, and it is not sent again; \
                     change it, or have an operator release request {}",
                    self.fingerprint()
                ),
            );
        }
        if runs > 0 {
            return Refusal::new(
                StatusCode::BAD_GATEWAY,
                "servers ended under the request, and it cannot be sent again now",
            );
        }
        Refusal::later(
            RETRY_KEEPERS,
            "too few keepers answer to know how many servers ended under the request; come back",
        )
    }

    /// Sends the request to a server that answers and may serve its stream, and
    /// returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets.
    pub async fn start(&self, progress: &mut Progress) -> Result<Started, Refusal> {
        let mut refusals = 0;
        let mut rounds = 0;
        let mut clearance = None;
        loop {
            if self.left() < LEAST_LEFT {
                return Err(late(progress.runs));
            }
            let permit = self.permit(progress).await?;
            let cleared = match clearance.take() {
                Some(clearance) => clearance,
                None => self.clear(progress.runs).await?,
            };
            let Some(mut lease) = self.place(progress, cleared).await else {
                return Err(no_server(progress, refusals));
            };
            let to = lease.sent_to();
            lease.set_permit(permit);
            let patience = self.patience(progress.runs);
            let unanswered = match self.send(lease, progress.last_event, patience).await {
                Ok(started) => {
                    if !started.head.status.is_server_error() {
                        self.gateway.earn_retry(&self.service);
                    }
                    return Ok(started);
                }
                Err(unanswered) => unanswered,
            };
            self.gateway.attempt_failed(self, &to, &unanswered.failure);
            let settled = self.settle(&to, unanswered).await?;
            let failure = settled.failure;
            clearance = settled.clearance;
            if matches!(failure, Failure::Withheld) {
                continue;
            }
            if self.may_wait(&failure, &mut rounds) {
                // A stream that continues is not in the queue, whose head would wait
                // for servers of one version while others have room.
                if progress.binding.origin().is_some() {
                    if self.left() < self.usual_work() + LEAST_LEFT {
                        return Err(no_server(progress, rounds));
                    }
                    smol::Timer::after(SAME_PAUSE).await;
                }
                continue;
            }
            progress.tried.push(to.key);
            let runs = &mut progress.runs;
            match failure {
                Failure::NotSent(_) if *runs == 0 && !self.gateway.take_retry(&self.service) => {
                    return Err(Refusal::later(
                        RETRY_UNKNOWN,
                        "too many servers of the service fail; come back",
                    ));
                }
                Failure::NotSent(_)
                | Failure::Withheld
                | Failure::NotRun(_)
                | Failure::Replaced
                | Failure::Full => {
                    refusals += 1;
                    if refusals >= MAX_REFUSALS && *runs == 0 {
                        return Err(Refusal::later(RETRY_FULL, "servers are full; come back"));
                    }
                }
                Failure::Late => return Err(late(1)),
                Failure::Broken(_) | Failure::Unknown(_) | Failure::Silent => {
                    self.count_run(runs)?;
                }
            }
        }
    }

    /// Returns the right to be at a server, if requests wait for one. A stream that
    /// continues does not wait: the queue grants room at any server.
    async fn permit(&self, progress: &Progress) -> Result<Option<Permit>, Refusal> {
        if progress.binding.origin().is_none() {
            return self.wait_for_room(progress.runs).await;
        }
        Ok(self.permit_now())
    }

    /// Returns the right to be at a server without waiting, if requests need one.
    fn permit_now(&self) -> Option<Permit> {
        let dispatch = &self.gateway.dispatch;
        let on = dispatch.is_on();
        on.then(|| dispatch.enter_now(&self.service))
    }

    /// Returns how long its answer usually takes, at most its target.
    fn usual_work(&self) -> Duration {
        let usual = self.gateway.site.known().fleet.mean_answer(&self.service);
        usual.min(self.route.latency_target)
    }

    /// Waits until a server has room, where servers refused for lack of it.
    async fn wait_for_room(&self, runs: u32) -> Result<Option<Permit>, Refusal> {
        let dispatch = &self.gateway.dispatch;
        if !dispatch.is_on() {
            return Ok(None);
        }
        let work = self.usual_work();
        let rank = urgency::queue_rank(self.priority(), self.remains());
        let asked = self.now();
        let waiting = QueuedRequest {
            workspace: self.caller.workspace().map(|one| one.name.clone()),
            rank,
            arrived_at: self.start,
            send_by: asked + self.left().saturating_sub(work + LEAST_LEFT),
            work,
            bytes: self.body.len(),
        };
        let entered = dispatch.enter(&self.service, waiting).await;
        self.steps.wait(self.now().since(asked));
        entered.map(Some).map_err(|why| {
            let refused = &self.gateway.meters.queue_refused;
            refused.with_label_values(&[rank.to_string()]).inc();
            if runs == 0 {
                return Refusal::later(why.retry_after(), why.to_string());
            }
            Refusal::new(
                StatusCode::BAD_GATEWAY,
                "the server broke off, and no other one has room",
            )
        })
    }

    /// Returns whether a request that was not run waits for room; counts how
    /// often servers had none.
    fn may_wait(&self, failure: &Failure, refused: &mut usize) -> bool {
        if !self.gateway.dispatch.is_on() || !matches!(failure, Failure::Full) {
            return false;
        }
        *refused += 1;
        let servers = self.gateway.site.known().fleet.ready(&self.service);
        *refused < MAX_ROUNDS * servers.max(1)
    }

    /// Returns how long the head of an answer is waited for at one server. A
    /// request that may run again does not wait for a silent server until its
    /// caller gives up, which takes eight times the aim of a lookup.
    fn patience(&self, runs: u32) -> Duration {
        let left = self.left();
        if self.route.kind != Kind::Idempotent || !self.may_repeat(runs + 1) {
            return left;
        }
        let known = self.gateway.site.known();
        known.fleet.silence(&self.service).min(left)
    }

    /// Sends a stream that broke off to the same server, for what comes after the
    /// last event. The route's attempts count servers, and a server that
    /// lives still has the prompt in its memory.
    ///
    /// # Errors
    ///
    /// Returns `None` if the server is gone or takes nothing, and the stream
    /// may go on at another one.
    pub async fn start_again(&self, key: ServerKey, progress: &Progress) -> Option<Started> {
        let mut tries = 0;
        while self.left() > LEAST_LEFT {
            let mut clearance = self.clear(progress.runs).await.ok()?;
            let quarantine = &self.gateway.quarantine;
            if Quarantine::goes_alone(&clearance) {
                let start = self.gateway.site.known().fleet.server(key)?.start();
                clearance.reserve(quarantine.reserve(start).await.ok()?);
            }
            let mut lease = self.lease(key, &progress.binding, clearance)?;
            let to = lease.sent_to();
            lease.set_permit(self.permit_now());
            let unanswered = match self.send(lease, progress.last_event, self.left()).await {
                Ok(started) => return Some(started),
                Err(unanswered) => unanswered,
            };
            self.gateway.attempt_failed(self, &to, &unanswered.failure);
            let settled = self.settle(&to, unanswered).await.ok()?;
            tries += 1;
            let full = matches!(
                settled.failure,
                Failure::NotRun(_) | Failure::Replaced | Failure::Full
            );
            if !full || tries > MAX_REFUSALS {
                return None;
            }
            smol::Timer::after(SAME_PAUSE).await;
        }
        None
    }

    /// Finds out whether a server ended under the request, and records it.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is sent to no further server.
    pub async fn settle(&self, to: &SentTo, unanswered: Unanswered) -> Result<Settled, Refusal> {
        let Unanswered { failure, clearance } = unanswered;
        let quarantine = &self.gateway.quarantine;
        let mut settled = Settled {
            clearance: None,
            has_ended: false,
            failure,
        };
        match &settled.failure {
            Failure::Broken(_) => {
                let request = self.fingerprint();
                let run = clearance.and_then(|mut clearance| clearance.take_run());
                let settling = quarantine.settle_break(to, &self.call.attempt, request, run);
                // It goes on if the caller leaves meanwhile.
                settled.has_ended = settling.recv().await.unwrap_or(false);
                if settled.has_ended && quarantine.standing(|| request) == Standing::Refused {
                    return Err(self.withheld(Withheld::Refused, 1));
                }
            }
            Failure::NotSent(_) => {
                if quarantine.is_watching(to.key) {
                    quarantine.probe_soon(to);
                }
                settled.clearance = clearance;
            }
            Failure::Replaced => {
                quarantine.end_left_runs(to);
                settled.clearance = clearance;
            }
            Failure::Full | Failure::NotRun(_) => settled.clearance = clearance,
            Failure::Withheld | Failure::Unknown(_) | Failure::Silent | Failure::Late => {}
        }
        Ok(settled)
    }

    /// Counts a server that may have run the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets if it may not run again.
    pub fn count_run(&self, runs: &mut u32) -> Result<(), Refusal> {
        *runs += 1;
        if self.may_repeat(*runs) {
            if self.gateway.take_retry(&self.service) {
                return Ok(());
            }
            return Err(Refusal::new(
                StatusCode::BAD_GATEWAY,
                "the server broke off, and too many of the service do for another try",
            ));
        }
        Err(Refusal::new(
            StatusCode::BAD_GATEWAY,
            "the server broke off; whether the request ran is unknown",
        ))
    }

    /// Returns whether its answer is lost for good if a connection breaks.
    pub(crate) fn runs_once(&self) -> bool {
        self.route.kind != Kind::Idempotent
    }

    /// Returns whether a request that may have run `runs` times may run again.
    fn may_repeat(&self, runs: u32) -> bool {
        match self.route.kind {
            Kind::Idempotent => runs < self.route.max_attempts,
            Kind::Once => false,
            Kind::Stream { resumable } => resumable && runs <= self.route.max_attempts,
        }
    }

    async fn send(
        &self,
        mut lease: Lease,
        last_event: Option<u64>,
        patience: Duration,
    ) -> Result<Started, Unanswered> {
        let server = {
            let known = self.gateway.site.known();
            known.fleet.server(lease.key).map(|server| server.address)
        };
        let Some(address) = server else {
            let gone = Failure::NotSent("the server is gone".to_owned());
            return Err(lease.fail_as(ServerOutcome::Broken, gone));
        };
        let once = self.runs_once();
        let meters = &self.gateway.meters;
        let taken = self.gateway.pool.take(self.now(), lease.key, once);
        if matches!(taken, Err(Absence::Closed)) {
            let now = self.now();
            self.gateway.doubts().lose_connection(now, lease.key);
        }
        let source = taken
            .as_ref()
            .map_or_else(|absence| absence.label(), |_| "kept");
        meters.connections.with_label_values(&[source]).inc();
        let mut kept = taken.ok();
        let mut asked = false;
        loop {
            let idle = kept.as_ref().map(|kept| kept.idle);
            let mut sender = match kept.take() {
                Some(kept) => kept.sender,
                None => match self.gateway.pool.connect(address).await {
                    Ok(sender) => sender,
                    Err(error) => return Err(lease.fail(Failure::NotSent(error.to_string()))),
                },
            };
            if !asked && self.needs_start_check(&lease) {
                match self.check_start(&mut sender, &lease).await {
                    StartEvidence::Same => {}
                    StartEvidence::Other => {
                        return Err(lease.fail_as(ServerOutcome::Replaced, Failure::Replaced));
                    }
                    // The server may have closed the kept connection.
                    StartEvidence::Unknown if idle.is_some() => continue,
                    StartEvidence::Unknown if lease.continues => {
                        let why = "its version is not known for certain";
                        return Err(lease.fail_as(ServerOutcome::Abandoned, Failure::NotRun(why)));
                    }
                    StartEvidence::Unknown => {
                        lease.origin = StreamOrigin::unknown(&lease.origin.service);
                        asked = true;
                        // A late report may still arrive on this connection.
                        continue;
                    }
                }
            }
            match self.send_on(sender, &mut lease, last_event, patience).await {
                Ok(started) => return self.check(started, lease),
                // The kept connection was closed before a byte went out.
                Err(Failure::NotSent(_)) if idle.is_some() => {
                    let label = "new_closed_at_use";
                    meters.connections.with_label_values(&[label]).inc();
                }
                Err(failure) => {
                    if let (Some(idle), Failure::Broken(_) | Failure::Unknown(_)) = (idle, &failure)
                    {
                        let now = self.now();
                        let pool = &self.gateway.pool;
                        pool.note_break(now, idle, now.since(lease.sent));
                    }
                    return Err(lease.fail(failure));
                }
            }
        }
    }

    async fn send_on(
        &self,
        mut sender: Sender,
        lease: &mut Lease,
        last_event: Option<u64>,
        patience: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        let dispatch = Dispatch {
            server: &lease.server,
            left: Some(self.left()),
            urgency: self.urgency(),
            last_event: last_event.or(self.call.last_event),
            caller: &self.caller,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = header::encode_dispatch(&self.headers, &dispatch);
        if sender.ready().await.is_err() {
            return Err(Failure::NotSent(
                "the kept connection was closed".to_owned(),
            ));
        }
        // Each way to a server ends here.
        let quarantine = &self.gateway.quarantine;
        if !quarantine.permits(&lease.clearance, || self.fingerprint()) {
            return Err(Failure::Withheld);
        }
        if let Some(charge) = &self.charge {
            charge.sent();
        }
        self.reach(Step::Sent);
        lease.begin_wait(self.now(), self.span());
        let sent = within(patience, sender.try_send_request(request)).await;
        match sent {
            None if self.left() > LEAST_LEFT => Err(Failure::Silent),
            None => Err(Failure::Late),
            Some(Ok(response)) => {
                self.reach(Step::Head);
                lease.sender = Some(sender);
                Ok(response)
            }
            Some(Err(mut error)) => Err(if error.take_message().is_some() {
                Failure::NotSent(error.error().to_string())
            } else if error.error().is_parse() {
                Failure::Unknown(error.error().to_string())
            } else {
                Failure::Broken(error.error().to_string())
            }),
        }
    }

    /// Sorts out answers that are none to this request, or that say that it
    /// was not run.
    fn check(&self, response: Response<Incoming>, mut lease: Lease) -> Result<Started, Unanswered> {
        let (head, body) = response.into_parts();
        let answer = header::decode_answer(head.status, &head.headers, &self.call.attempt);
        if !answer.own {
            return Err(lease.fail(Failure::Unknown(
                "an answer to another request came".to_owned(),
            )));
        }
        if let Some(load) = answer.load {
            self.steps.report(load);
            let mut known = self.gateway.site.known();
            known.fleet.report(self.now(), lease.key, load);
        }
        if answer.not_run {
            let (outcome, failure) = match head.status {
                StatusCode::MISDIRECTED_REQUEST => (ServerOutcome::Replaced, Failure::Replaced),
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    (ServerOutcome::Full, Failure::Full)
                }
                _ => (
                    ServerOutcome::Full,
                    Failure::NotRun("it takes no such request"),
                ),
            };
            return Err(lease.fail_as(outcome, failure));
        }
        let success = head.status.is_success();
        let promise = [408, 421, 429, 503].contains(&head.status.as_u16());
        if answer.encoded || (success && !answer.signed) || promise {
            return Err(lease.fail(Failure::Unknown(format!(
                "an answer with status {} that cannot be passed on",
                head.status.as_u16()
            ))));
        }
        lease.keep = answer.keep;
        if answer.closing {
            let label = "closed_by_answer";
            self.gateway
                .meters
                .connections
                .with_label_values(&[label])
                .inc();
            lease.sender = None;
        }
        Ok(Started { head, body, lease })
    }

    /// Returns what its answer begins with.
    fn span(&self) -> Span {
        match self.route.kind {
            Kind::Stream { .. } => Span::FirstEvent,
            _ => Span::Whole,
        }
    }

    /// Returns the rank of the request among those of its server.
    fn urgency(&self) -> Option<u8> {
        let engine = matches!(self.route.kind, Kind::Stream { .. });
        engine.then(|| urgency::engine_rank(self.priority(), self.remains()))
    }

    /// Returns what remains of its program's time.
    fn remains(&self) -> Option<Duration> {
        let program = self.call.program.as_ref();
        let then = program.and_then(|program| program.remaining);
        then.map(|all| all.saturating_sub(self.now().since(self.start)))
    }

    /// Returns its workspace's priority, or that of its route.
    fn priority(&self) -> u8 {
        let workspace = self.caller.workspace();
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.route.priority)
    }
}
