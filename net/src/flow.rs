//! An event stream on its way from a server to a caller.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::stream::unfold;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use limpetferry_lib::events::Event;
use limpetferry_lib::events::Splitter;
use limpetferry_lib::gateway_budget::GatewayPart;
use limpetferry_lib::place::Place;
use limpetferry_lib::routing::Kind;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::stream_origin::StreamBinding;
use limpetferry_lib::stream_origin::StreamOrigin;
use limpetferry_platform::header;

use crate::attempt::Progress;
use crate::held::Hold;
use crate::http::Body;
use crate::http::Cut;
use crate::lease::Failure;
use crate::lease::Lease;
use crate::lease::Started;
use crate::refusal::RETRY_KEEPERS;
use crate::refusal::Refusal;
use crate::refusal::late;
use crate::relay::Job;
use crate::timeout::within;
use crate::turns::OpenTurn;

/// Bytes of an incomplete event that are not counted, so that streams with usual events go
/// on while others hold all that may be held.
const UNCOUNTED_EVENT: usize = 8 << 10;
/// Tokens of an event where the service does not say.
const USUAL_EVENT_TOKENS: u64 = 1;

/// One stream.
pub struct Flow {
    job: Arc<Job>,
    progress: Progress,
    body: Incoming,
    lease: Option<Lease>,
    splitter: Splitter,
    /// Its part of the bytes of incomplete events that the gateway holds.
    arriving: Hold,
    events: u64,
    /// Whether something of its answer went to the caller.
    begun: bool,
    event_tokens: u64,
    kept: bool,
    /// What the turn said so far, if its history is kept.
    output: BytesMut,
    /// Counts its output among the answers.
    output_hold: Hold,
    turn: Option<OpenTurn>,
}

/// What comes next of a stream.
enum Next {
    Events(Bytes),
    End,
}

impl Flow {
    /// Sends the request, and returns the answer once its first event may go
    /// to the caller.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets.
    pub async fn start(
        job: Arc<Job>,
        mut turn: Option<OpenTurn>,
        binding: StreamBinding,
    ) -> Result<Response<Body>, Refusal> {
        let mut progress = Progress {
            binding,
            ..Progress::default()
        };
        let started = job.start(&mut progress).await?;
        if started.head.status != StatusCode::OK {
            drop(turn);
            return Self::failed(&job, started).await;
        }
        if let Some(turn) = &mut turn {
            turn.record(progress.binding.expect(&started.lease.origin));
        }
        let service = {
            let known = job.gateway.site.known();
            let routing = known.routing.as_ref();
            routing.and_then(|routing| routing.service(&job.service).cloned())
        };
        let head = started.head;
        let mut flow = Self {
            event_tokens: service
                .and_then(|service| service.event_tokens)
                .unwrap_or(USUAL_EVENT_TOKENS),
            kept: job.route.retention.is_some(),
            progress,
            body: started.body,
            lease: Some(started.lease),
            splitter: Splitter::default(),
            arriving: job.gateway.arriving.none(),
            events: 0,
            begun: false,
            output: BytesMut::new(),
            output_hold: job.gateway.answers.hold(),
            turn,
            job,
        };
        let first = match flow.next().await {
            Ok(Next::Events(bytes)) => {
                flow.bind();
                Some(bytes)
            }
            Ok(Next::End) => None,
            Err(refusal) => return Err(refusal),
        };
        let fresh = flow.is_fresh();
        if let Some(lease) = flow.lease.as_mut().filter(|_| fresh) {
            lease.observe_first();
        }
        flow.wait_durable().await?;
        flow.job.observe_first_event();
        let mut response = Response::new(flow.into_body(first));
        *response.status_mut() = head.status;
        *response.headers_mut() = header::encode_answer(&head.headers);
        Ok(response)
    }

    async fn failed(job: &Job, started: Started) -> Result<Response<Body>, Refusal> {
        let to = started.lease.sent_to();
        let unanswered = match job.collect(started).await {
            Ok(response) => return Ok(response),
            Err(unanswered) => unanswered,
        };
        if matches!(unanswered.failure, Failure::Late) {
            return Err(late(1));
        }
        job.settle(&to, unanswered).await?;
        Err(Refusal::new(
            StatusCode::BAD_GATEWAY,
            "the server broke off in its answer",
        ))
    }

    /// Binds the stream to the origin of its first event, which is recorded before
    /// the event is sent to the caller.
    fn bind(&mut self) {
        self.begun = true;
        if let Some(lease) = &self.lease {
            let binding = &mut self.progress.binding;
            record_origin(&self.job, &mut self.turn, binding, &lease.origin);
            binding.deliver(&lease.origin);
        }
    }

    /// Returns whether one server has run it from its beginning.
    fn is_fresh(&self) -> bool {
        self.progress.runs == 0 && self.job.call.last_event.is_none()
    }

    /// Returns where the prompt is kept, while a server has the stream.
    fn place(&self) -> Option<Place> {
        let lease = self.lease.as_ref()?;
        lease.place(&self.job.call.parts, self.used())
    }

    async fn wait_durable(&mut self) -> Result<(), Refusal> {
        let Some(turn) = &mut self.turn else {
            return Ok(());
        };
        let result = turn.durable().await;
        if result.is_err() {
            // The engine has begun to work: "not run" would be untrue.
            self.events = 0;
            return Err(Refusal {
                status: StatusCode::BAD_GATEWAY,
                why: "too few keepers put the turn on disk; send it again".into(),
                after: Some(RETRY_KEEPERS),
            });
        }
        Ok(())
    }

    fn into_body(self, first: Option<Bytes>) -> Body {
        let state = (Some(self), first);
        let frames = unfold(state, |(flow, first)| async move {
            let mut flow = flow?;
            if let Some(bytes) = first {
                return Some((Ok(Frame::data(bytes)), (Some(flow), None)));
            }
            match flow.next().await {
                Ok(Next::Events(bytes)) => Some((Ok(Frame::data(bytes)), (Some(flow), None))),
                Ok(Next::End) => match flow.complete().await {
                    Ok(()) => None,
                    Err(cut) => Some((Err(cut), (None, None))),
                },
                Err(refusal) => {
                    flow.job.gateway.cut(&flow.job, flow.events, &refusal.why);
                    Some((Err(Cut), (None, None)))
                }
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Waits for whole events, going on at another server if this one breaks
    /// off and the route allows it.
    async fn next(&mut self) -> Result<Next, Refusal> {
        loop {
            if let Some(bytes) = self.take_events() {
                return Ok(Next::Events(bytes));
            }
            if !self.hold_incomplete() {
                let why = "too many bytes of incomplete events are held".to_owned();
                self.resume(Failure::Unknown(why)).await?;
                continue;
            }
            let failure = match within(self.job.left(), self.body.frame()).await {
                None => Failure::Late,
                Some(None) if self.splitter.has_partial_event() => {
                    Failure::Broken("the stream ended within an event".to_owned())
                }
                Some(None) => return Ok(Next::End),
                Some(Some(Err(error))) => Failure::Broken(error.to_string()),
                Some(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                    if self.splitter.exceeds_max_size() {
                        Failure::Unknown("an event has no end".to_owned())
                    } else if !self.hold_output() {
                        Failure::Unknown("the stream is too long to be kept".to_owned())
                    } else {
                        continue;
                    }
                }
            };
            self.resume(failure).await?;
        }
    }

    /// Counts the bytes of the incomplete event against those that the gateway may hold.
    /// Returns whether it may hold them.
    fn hold_incomplete(&mut self) -> bool {
        let bytes = self.splitter.buffered().saturating_sub(UNCOUNTED_EVENT);
        self.arriving.set(bytes, self.job.gateway.most_arriving())
    }

    /// Counts the output that is kept. Returns whether there is room for it.
    fn hold_output(&mut self) -> bool {
        let gateway = &self.job.gateway;
        let more = self.output.len().saturating_sub(self.output_hold.bytes());
        let all = gateway.budget().answers as usize;
        if more == 0 || self.output_hold.grow(more, all) {
            return self.output.len() <= gateway.most_output();
        }
        gateway.memory.lack(GatewayPart::Answers);
        false
    }

    /// Takes all whole events that are here, as one piece.
    fn take_events(&mut self) -> Option<Bytes> {
        let first = self.splitter.next_event()?;
        if let Some(lease) = &mut self.lease {
            lease.heard();
        }
        self.count(&first);
        let Some(second) = self.splitter.next_event() else {
            return Some(first.bytes);
        };
        let mut piece = BytesMut::from(&first.bytes[..]);
        let mut next = Some(second);
        while let Some(event) = next {
            self.count(&event);
            piece.extend_from_slice(&event.bytes);
            next = self.splitter.next_event();
        }
        Some(piece.freeze())
    }

    fn count(&mut self, event: &Event) {
        let Some(data) = &event.data else {
            return;
        };
        self.events += 1;
        self.progress.last_event = event.id.or(self.progress.last_event);
        if self.kept {
            self.output.extend_from_slice(data);
            self.output.extend_from_slice(b"\n");
        }
    }

    async fn resume(&mut self, failure: Failure) -> Result<(), Refusal> {
        let mut same = None;
        let late_now = matches!(failure, Failure::Late);
        if let Some(lease) = self.lease.take() {
            let to = lease.sent_to();
            self.job.gateway.attempt_failed(&self.job, &to, &failure);
            let settled = self.job.settle(&to, lease.fail(failure)).await?;
            if settled.has_ended {
                self.progress.tried.push(to.key);
            } else {
                same = Some(to.key);
            }
        }
        if late_now {
            return Err(late(1));
        }
        self.progress.runs += 1;
        let Kind::Stream { resumable: true } = self.job.route.kind else {
            return Err(Refusal::new(
                StatusCode::BAD_GATEWAY,
                "the server broke off; whether the turn ran is unknown",
            ));
        };
        // Another server would start the stream again, and the caller has events already.
        if self.begun && self.progress.last_event.is_none() {
            return Err(Refusal::new(
                StatusCode::BAD_GATEWAY,
                "the server broke off, and its events have no ids to continue from",
            ));
        }
        let job = self.job.clone();
        let again = match same {
            Some(key) => job.start_again(key, &self.progress).await,
            None => None,
        };
        let started = match again {
            Some(started) => started,
            None => {
                if let Some(same) = same {
                    self.progress.tried.push(same);
                    self.progress.broke_off += 1;
                }
                // As before the head: one more than the route allows.
                if self.progress.broke_off > job.route.max_attempts {
                    return Err(Refusal::new(
                        StatusCode::BAD_GATEWAY,
                        "the servers broke off, and the route allows no further one",
                    ));
                }
                job.start(&mut self.progress).await?
            }
        };
        if started.head.status != StatusCode::OK {
            return Err(Refusal::new(
                StatusCode::BAD_GATEWAY,
                "the server broke off, and another one could not go on",
            ));
        }
        let gateway = &self.job.gateway;
        let last_event = self.progress.last_event;
        gateway.stream_resumed(&self.job, &started.lease, last_event);
        self.splitter = Splitter::default();
        self.body = started.body;
        self.lease = Some(started.lease);
        Ok(())
    }

    fn used(&self) -> u64 {
        self.events.saturating_mul(self.event_tokens)
    }

    /// Ends a stream that is whole: its turn counts from then on.
    async fn complete(&mut self) -> Result<(), Cut> {
        let used = self.used();
        let place = self.place();
        if let Some(lease) = self.lease.take() {
            if self.is_fresh() {
                lease.observe_end(self.events);
            }
            self.job
                .gateway
                .answered(&self.job, &lease, StatusCode::OK, self.events);
            lease.end(ServerOutcome::Answered, true);
        }
        let Some(turn) = self.turn.take() else {
            return Ok(());
        };
        let output = std::mem::take(&mut self.output).freeze();
        if !self.kept {
            // Nobody continues from it; its tokens count at their most until
            // the end is known.
            smol::spawn(async move {
                turn.end(output, used, true, place).await;
            })
            .detach();
            return Ok(());
        }
        if turn.end(output, used, true, place).await {
            return Ok(());
        }
        self.job.gateway.cut(
            &self.job,
            self.events,
            "too few keepers have the end of the turn",
        );
        Err(Cut)
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        let used = self.used();
        if let Some(turn) = self.turn.take() {
            turn.end_unwatched(used, self.place());
        }
    }
}

/// Has keepers record the origin of a stream, if that is not what they were sent.
fn record_origin(
    job: &Job,
    turn: &mut Option<OpenTurn>,
    binding: &mut StreamBinding,
    origin: &StreamOrigin,
) {
    let Some(turn) = turn else {
        return;
    };
    if let Some(recorded) = binding.expect(origin) {
        if recorded.serial > 0 {
            job.gateway.meters.origin_changed.inc();
        }
        turn.record_origin(recorded);
    }
}
