//! One caller's request, from its head to the last byte of its answer.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use limpetferry_lib::call::Call;
use limpetferry_lib::caller_connections::Phase;
use limpetferry_lib::fingerprint::RequestFingerprint;
use limpetferry_lib::gateway_budget::GatewayPart;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::routing::Kind;
use limpetferry_lib::routing::Route;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::stream_origin::Continuation;
use limpetferry_lib::stream_origin::StreamBinding;
use limpetferry_lib::time::Time;
use limpetferry_lib::workspace::Caller;
use limpetferry_platform::header;

use crate::allowances::Charge;
use crate::attempt::Progress;
use crate::connections::Connection;
use crate::flow::Flow;
use crate::gateway::Gateway;
use crate::handoff;
use crate::handoff::Arrival;
use crate::handoff::Served;
use crate::handoff_wire::Hop;
use crate::held::Hold;
use crate::held::held_bytes;
use crate::http::Body;
use crate::http::whole;
use crate::identity::RequestIdentity;
use crate::intake;
use crate::lease::Failure;
use crate::lease::Started;
use crate::lease::Unanswered;
use crate::refusal::RETRY_KEEPERS;
use crate::refusal::RETRY_RESERVED;
use crate::refusal::RETRY_UNKNOWN;
use crate::refusal::Refusal;
use crate::refusal::late;
use crate::steps::Step;
use crate::steps::Steps;
use crate::timeout::within;
use crate::turns::OpenTurn;
use crate::turns::TurnNote;
use crate::turns::TurnRefusal;

/// A request that was read, with all that is needed to send it.
pub struct Job {
    /// The gateway that took it.
    pub gateway: Arc<Gateway>,
    /// What it says of itself.
    pub call: Call,
    /// Who sent it.
    pub caller: Caller,
    /// What it counts against its workspace's allowance.
    pub charge: Option<Charge>,
    /// Its route.
    pub route: Arc<Route>,
    /// Service chosen among those of the route.
    pub service: Arc<str>,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// What the server is to receive.
    pub body: Bytes,
    /// When it came.
    pub start: Time,
    /// When its caller gets a last answer.
    pub limit: Time,
    /// Its part of what the gateway holds.
    pub hold: Hold,
    /// When it reached each step.
    pub steps: Steps,
    /// The way that it took, if another gateway handed it over.
    pub hop: Option<Hop>,
    /// Its part of the streams that the gateway serves.
    pub served: Option<Served>,
    /// What identifies it over attempts, once it was needed.
    identity: OnceLock<Arc<RequestIdentity>>,
}

/// Answers a caller's request, which may have come by another gateway.
pub async fn answer<B>(
    gateway: Arc<Gateway>,
    request: Request<B>,
    hop: Option<Hop>,
) -> Response<Body>
where
    B: hyper::body::Body<Data = Bytes> + Send + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let start = gateway.clock.now();
    let (head, body) = request.into_parts();
    let attempt = header::attempt(&head.headers).cloned();
    let call = header::decode_call(&head.headers);
    let call = call.map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error.to_string()));
    let read = call.as_ref().ok();
    let program = read.and_then(|call| call.program.as_ref());
    let program = program.map(|program| program.id.clone());
    let resumes = read.and_then(|call| call.resumes.clone());
    let answer = match call {
        Ok(call) => relay(&gateway, start, call, head, body, hop).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match answer {
        Ok(response) => response,
        Err(refusal) => {
            let id = attempt.as_ref().and_then(|value| value.to_str().ok());
            let (program, resumes) = (program.as_deref(), resumes.as_deref());
            gateway.refused(id, program, resumes, &refusal, start);
            let mut response = refusal.answer();
            if let Some(attempt) = attempt {
                header::set_attempt(response.headers_mut(), attempt);
            }
            response
        }
    };
    let status = response.status();
    gateway
        .meters
        .requests
        .with_label_values(&[status.as_str()])
        .inc();
    if gateway.turns_callers_away() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert("connection", close);
    }
    response
}

async fn relay<B>(
    gateway: &Arc<Gateway>,
    start: Time,
    call: Call,
    head: Parts,
    mut body: B,
    hop: Option<Hop>,
) -> Result<Response<Body>, Refusal>
where
    B: hyper::body::Body<Data = Bytes> + Send + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let target = intake::find_target(gateway, &head)?;
    let caller = intake::identify(gateway, &target, &head.headers)?;
    let spent = hop.as_ref().map_or(Duration::ZERO, |hop| hop.spent);
    let patience = intake::patience(&target.route, &call);
    let limit = start + patience.saturating_sub(spent);
    let size = body.size_hint().lower();
    let arrival = Arrival {
        head: &head,
        route: &target.route,
        version: target.routing.version,
        attempt: &call.attempt,
        start,
        limit,
        size,
        handed: hop.is_some(),
        continues: call.continues_stream(),
    };
    if let Some(response) = handoff::hand_over(gateway, &arrival, &mut body).await? {
        return Ok(response);
    }
    let charge = intake::charge(gateway, &caller, &call).await?;
    intake::admit(gateway, &target, &caller, &call, patience)?;
    let mut hold = intake::make_room(gateway, &target.routing, &body.size_hint()).await?;
    let served = gateway.serve(&target.route, start);
    let left = limit.since(gateway.clock.now());
    let limit_bytes = target.routing.limits.max_body_bytes;
    let connection = head.extensions.get::<Arc<Connection>>().cloned();
    let enter = |phase| connection.iter().for_each(|caller| caller.enter(phase));
    if !body.is_end_stream() {
        enter(Phase::Body);
    }
    let read = intake::read_held(gateway, &mut body, limit_bytes, &mut hold);
    let read = within(left, read).await;
    enter(Phase::Work);
    let Some(read) = read else {
        return Err(Refusal::new(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time; send it faster",
        ));
    };
    let mut job = Job {
        gateway: gateway.clone(),
        call,
        caller,
        charge,
        service: target.service,
        method: head.method,
        uri: path_only(&head.uri),
        headers: head.headers,
        body: read?,
        start,
        limit,
        route: target.route,
        hold,
        steps: Steps::default(),
        hop,
        served,
        identity: OnceLock::new(),
    };
    job.reach(Step::Read);
    match job.route.kind {
        Kind::Stream { .. } => {
            let open = job.open_turn().await?;
            let binding = job.bind_stream(open.as_ref())?;
            Flow::start(Arc::new(job), open, binding).await
        }
        _ => job.plain().await,
    }
}

fn path_only(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

impl Job {
    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.gateway.clock.now()
    }

    /// Returns whether it is a turn of a program whose first turn can be told
    /// from later ones.
    pub fn is_linked_turn(&self) -> bool {
        let program = self.call.program.as_ref();
        let timed = program.is_some_and(|program| program.remaining.is_some());
        timed && self.route.is_linked()
    }

    /// Notes that the request reached a step.
    pub fn reach(&self, step: Step) {
        self.steps.reach(step, self.now().since(self.start));
    }

    /// Returns what identifies it over attempts. Its body has to be what a server
    /// receives.
    pub fn identity(&self) -> &Arc<RequestIdentity> {
        self.identity.get_or_init(|| {
            Arc::new(RequestIdentity::new(
                &self.gateway.fingerprinter,
                &self.caller,
                &self.call,
                &self.method,
                &self.uri,
                &self.headers,
                &self.body,
            ))
        })
    }

    /// Returns its fingerprint.
    pub fn fingerprint(&self) -> RequestFingerprint {
        self.identity().fingerprint()
    }

    /// Returns the time that is left before the caller's last answer.
    pub fn left(&self) -> Duration {
        self.limit.since(self.now())
    }

    /// Returns whether its caller may continue its stream, so that the origin of the
    /// stream is recorded.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.kind == Kind::Stream { resumable: true }
    }

    /// Opens the turn of a stream whose tokens are counted, whose history is kept or
    /// that its caller may continue, and puts its history before its input.
    async fn open_turn(&mut self) -> Result<Option<OpenTurn>, Refusal> {
        let kept = self.route.retention.is_some();
        // The turn would be recorded with the events of the resumed attempt only.
        if self.call.continues_stream() && (kept || !self.is_resumable()) {
            return Err(Refusal::later(
                RETRY_UNKNOWN,
                "streams of the route cannot be resumed; start the stream again",
            ));
        }
        let program = self.call.program.as_ref();
        if program.is_none() && kept {
            return Err(Refusal::new(
                StatusCode::BAD_REQUEST,
                "the turn names no program; name it with each turn",
            ));
        }
        let budget = program.and_then(|program| program.budget);
        if !kept && budget.is_none() && !self.is_resumable() {
            return Ok(None);
        }
        let note = self.turn_note(kept);
        let turns = &self.gateway.turns;
        let asked = self.now();
        let open = turns.open(note, budget, self.limit).await;
        self.gateway.observe_answer(self.now().since(asked));
        let open = open.map_err(|refusal| match refusal {
            TurnRefusal::Spent => Refusal::new(
                StatusCode::PAYMENT_REQUIRED,
                "the program's budget does not hold this turn; give the program more",
            ),
            TurnRefusal::NoPrevious => Refusal::new(
                StatusCode::NOT_FOUND,
                "there is no such turn to continue from; begin a new chain",
            ),
            TurnRefusal::Unavailable => {
                Refusal::later(RETRY_KEEPERS, "too few keepers answer; come back")
            }
            TurnRefusal::Elsewhere => Refusal::later(
                program.map_or(RETRY_KEEPERS, |program| self.gateway.retry_after(program)),
                "too few keepers are within reach here; come back",
            ),
            TurnRefusal::Reserved => Refusal::later(
                RETRY_RESERVED,
                "other turns of the program may use up its budget; come back",
            ),
            TurnRefusal::Full(retry) => Refusal::later(
                retry,
                "the keepers have no room for another turn; come back",
            ),
        })?;
        self.reach(Step::Opened);
        let mut known = self.gateway.site.known();
        known.fleet.apply_places(self.now(), &open.places);
        drop(known);
        if kept {
            let history = open.prompt.len().saturating_sub(self.hold.bytes());
            if !self.hold.grow(history, self.gateway.most_held()) {
                self.gateway.memory.lack(GatewayPart::Bodies);
                return Err(intake::no_room());
            }
            let moved = handoff::moved(self.body.len(), open.prompt.len());
            self.gateway.observe_link_bytes(moved);
            self.body = open.prompt.clone();
        }
        Ok(Some(open))
    }

    /// Returns what keepers record of its turn. A stream without a program is
    /// recorded under the attempt that began it.
    fn turn_note(&self, kept: bool) -> TurnNote {
        let call = &self.call;
        let resumes = call.resumes.as_ref();
        let first = resumes.unwrap_or(&call.attempt);
        let program = call.program.as_ref().map_or(first, |program| &program.id);
        let previous = call.previous.as_ref().filter(|_| kept);
        let continuation = match resumes {
            _ if !call.continues_stream() => Continuation::None,
            Some(attempt) => Continuation::Attempt(self.caller.scope(attempt)),
            None => Continuation::Unnamed,
        };
        TurnNote {
            begin: Begin {
                turn: self.caller.scope(&call.attempt),
                program: self.caller.scope(program),
                previous: previous.map(|turn| self.caller.scope(turn)),
                input: if kept {
                    self.body.clone()
                } else {
                    Bytes::new()
                },
                most: call.max_tokens,
            },
            origin: None,
            continuation,
        }
    }

    /// Returns which servers may serve its stream.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a stream that no server may continue.
    fn bind_stream(&mut self, turn: Option<&OpenTurn>) -> Result<StreamBinding, Refusal> {
        let Some(turn) = turn.filter(|_| self.is_resumable()) else {
            return Ok(StreamBinding::unrecorded());
        };
        if !self.call.continues_stream() {
            return Ok(StreamBinding::begin());
        }
        let found = turn.origin.as_ref();
        let leads_there = found.is_some_and(|origin| self.route.leads_to(&origin.service));
        let label = match found {
            None => "unknown",
            Some(_) if leads_there => "known",
            Some(_) => "moved",
        };
        let resumed = &self.gateway.meters.caller_resumed;
        resumed.with_label_values(&[label]).inc();
        match found {
            Some(origin) if leads_there => {
                self.service = origin.service.clone();
                Ok(StreamBinding::resume(origin.clone()))
            }
            Some(origin) => Err(Refusal::later(
                RETRY_UNKNOWN,
                format!(
                    "the route no longer leads to service {}, where the stream began; start it again",
                    origin.service
                ),
            )),
            None => Err(Refusal::later(
                RETRY_UNKNOWN,
                "it is not known at which version of its servers the stream began; start it again",
            )),
        }
    }

    /// Answers with a whole body.
    async fn plain(&self) -> Result<Response<Body>, Refusal> {
        let mut progress = Progress::default();
        loop {
            let started = self.start(&mut progress).await?;
            let to = started.lease.sent_to();
            match self.collect(started).await {
                Ok(response) => {
                    self.gateway.quarantine.answered(self.fingerprint());
                    return Ok(response);
                }
                Err(Unanswered {
                    failure: Failure::Late,
                    ..
                }) => return Err(late(1)),
                Err(unanswered) => {
                    self.gateway.attempt_failed(self, &to, &unanswered.failure);
                    self.settle(&to, unanswered).await?;
                    progress.tried.push(to.key);
                    self.count_run(&mut progress.runs)?;
                }
            }
        }
    }

    /// Reads the rest of an answer, and makes that of the caller from it.
    ///
    /// # Errors
    ///
    /// Returns an [`Unanswered`] if it breaks off or does not come in time.
    pub async fn collect(&self, mut started: Started) -> Result<Response<Body>, Unanswered> {
        let read = within(self.left(), self.read_answer(&mut started.body)).await;
        let body = match read.unwrap_or(Err(Failure::Late)) {
            Ok(body) => body,
            Err(failure) => return Err(started.lease.fail(failure)),
        };
        started.lease.heard();
        let outcome = if started.head.status.is_server_error() {
            ServerOutcome::Failed
        } else {
            ServerOutcome::Answered
        };
        if started.head.status.is_success() {
            started.lease.observe_plain();
        }
        let status = started.head.status;
        self.gateway.answered(self, &started.lease, status, 0);
        started.lease.end(outcome, true);
        let mut response = Response::new(whole(body));
        *response.status_mut() = started.head.status;
        *response.headers_mut() = header::encode_answer(&started.head.headers);
        Ok(response)
    }

    /// Reads the body of an answer within the bytes that the gateway may hold, and waits
    /// while others have them.
    async fn read_answer(&self, body: &mut Incoming) -> Result<Bytes, Failure> {
        let gateway = &self.gateway;
        let most = gateway.budget().answer() as usize;
        let too_long = || Failure::Unknown("an answer is too long to be held".into());
        let size = hyper::body::Body::size_hint(body).lower() as usize;
        if size > most {
            return Err(too_long());
        }
        let mut hold = gateway.answers.hold();
        gateway.answers.wait(gateway, &mut hold, size).await;
        let mut read = BytesMut::with_capacity(size);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Failure::Broken(error.to_string()))?;
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let size = read.len() + bytes.len();
            if size > most {
                return Err(too_long());
            }
            gateway.answers.wait(gateway, &mut hold, size).await;
            read.extend_from_slice(bytes);
        }
        Ok(held_bytes(read.freeze(), hold))
    }

    /// Notes the time to the first event of a stream.
    pub fn observe_first_event(&self) {
        self.reach(Step::First);
        let time = self.now().since(self.start);
        self.gateway.meters.first_event.observe(time.as_secs_f64());
    }
}
