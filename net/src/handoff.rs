//! Hands requests over to other gateways, and takes those that they hand over.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt as _;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::handoff::Handoff;
use limpetferry_lib::handoff::Identity;
use limpetferry_lib::handoff::OwnLoad;
use limpetferry_lib::handoff_target::HopOutcome;
use limpetferry_lib::load_report::GatewayState;
use limpetferry_lib::routing::Kind;
use limpetferry_lib::routing::Route;
use limpetferry_lib::time::Time;
use limpetferry_lib::turn_cost::Power;
use limpetferry_lib::turn_cost::RequestSize;

use crate::gateway::Gateway;
use crate::gateway_settings::GatewaySettings;
use crate::handoff_links::HandoffError;
use crate::handoff_links::HandoffLinks;
use crate::handoff_links::Link;
use crate::handoff_wire::take_took;
use crate::http::Body;
use crate::refusal::RETRY_UNKNOWN;
use crate::refusal::Refusal;
use crate::refusal::late;

/// Time of the caller's that is kept back for the way of a last answer, so that
/// the target can give it.
const LAST_WAY: Duration = Duration::from_millis(10);

/// The part of a gateway that hands requests over.
pub struct Handoffs {
    address: SocketAddr,
    decision: Mutex<Handoff>,
    links: Arc<HandoffLinks>,
    /// Streams that are served here.
    serving: AtomicU32,
}

/// A request with what is known of it before its body is read.
pub struct Arrival<'a> {
    /// Its head.
    pub head: &'a Parts,
    /// Its route.
    pub route: &'a Route,
    /// Version of the routing by which it was found.
    pub version: u64,
    /// Id of the attempt.
    pub attempt: &'a str,
    /// When it came.
    pub start: Time,
    /// When its caller gets a last answer.
    pub limit: Time,
    /// Bytes of its body, as far as it says.
    pub size: u64,
    /// Whether another gateway handed it over.
    pub handed: bool,
    /// Whether it continues a stream of an earlier attempt.
    pub continues: bool,
}

impl Arrival<'_> {
    fn offer(&self) -> RequestSize {
        RequestSize {
            body: self.size,
            has_history: self.route.retention.is_some(),
            handed_over: self.handed,
        }
    }
}

/// Counts a stream as one that is served here, until it is dropped.
pub struct Served {
    handoffs: Arc<Handoffs>,
    gateway: Arc<Gateway>,
    start: Time,
}

impl Drop for Served {
    fn drop(&mut self) {
        self.handoffs.serving.fetch_sub(1, Ordering::Relaxed);
        let stay = self.gateway.clock.now().since(self.start);
        self.handoffs.decision().cost().observe_time_in_flight(stay);
    }
}

impl Handoffs {
    /// Makes the part for a gateway whose settings ask for it.
    pub fn new(settings: &GatewaySettings) -> Option<Arc<Self>> {
        let capacity = settings.capacity.filter(|_| settings.switches.handoff)?;
        let common = &settings.common;
        let own = Identity {
            node: common.node.as_str().into(),
            centre: common.centre.as_str().into(),
            power: Power {
                link_mbps: capacity.link_mbps,
                cores: capacity.cpu_share,
            },
        };
        Some(Arc::new(Self {
            address: common.reachable(),
            decision: Mutex::new(Handoff::new(own)),
            links: HandoffLinks::new(&common.node, common.key_digest()),
            serving: AtomicU32::new(0),
        }))
    }

    /// Returns the address at which other gateways hand requests over.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many streams are served here.
    pub fn serving(&self) -> u32 {
        self.serving.load(Ordering::Relaxed)
    }

    /// Counts a stream as one that is served here.
    pub fn serve(self: &Arc<Self>, gateway: &Arc<Gateway>, start: Time) -> Served {
        self.serving.fetch_add(1, Ordering::Relaxed);
        Served {
            handoffs: self.clone(),
            gateway: gateway.clone(),
            start,
        }
    }

    /// Notes the bytes that the link carried for a turn with kept history.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn observe_link_bytes(&self, bytes: u64) {
        self.decision().cost().observe_link_bytes(bytes);
    }

    /// Closes connections that were idle for too long.
    pub fn expire(&self, now: Time) {
        self.links.expire(now);
    }

    fn decision(&self) -> MutexGuard<'_, Handoff> {
        self.decision.lock().expect("no panic while locked")
    }

    fn choose(&self, gateway: &Gateway, arrival: &Arrival<'_>) -> Option<GatewayState> {
        let own = OwnLoad {
            late: gateway.lateness(),
            requests: self.serving(),
        };
        let offer = arrival.offer();
        if !self.decision().is_worthwhile(own, offer) {
            return None;
        }
        let now = gateway.clock.now();
        let gateways = gateway.loads.gateways(now);
        let draws = [rand::random(), rand::random()];
        let mut decision = self.decision();
        decision.choose(now, own, offer, &gateways, draws).cloned()
    }

    /// Returns the connection to a target. If there is none, it is made for
    /// later requests, so that none waits for it.
    fn link(self: &Arc<Self>, gateway: &Arc<Gateway>, target: &GatewayState) -> Option<Link> {
        let address = target.address?;
        let link = self.links.take(gateway.clock.now(), address);
        if link.is_none() && self.links.begin(address) {
            let (this, gateway) = (self.clone(), gateway.clone());
            let node = target.node.clone();
            smol::spawn(async move { this.connect(&gateway, &node, address).await }).detach();
        }
        link
    }

    async fn connect(&self, gateway: &Gateway, node: &Arc<str>, address: SocketAddr) {
        let made = self.links.connect(gateway.clock.now(), address).await;
        let mut decision = self.decision();
        match made {
            Ok(way) => decision.observe_round_trip(node, way),
            Err(error) => {
                decision.end(gateway.clock.now(), node, HopOutcome::Failed);
                drop(decision);
                let note = LogEvent::new("handoff_unreachable").with("target", node);
                gateway.note(note.with("why", error));
            }
        }
    }

    fn end(&self, gateway: &Gateway, node: &str, end: HopOutcome) {
        self.decision().end(gateway.clock.now(), node, end);
    }

    async fn send<B>(
        &self,
        gateway: &Gateway,
        target: &GatewayState,
        link: Link,
        arrival: &Arrival<'_>,
        body: &mut B,
    ) -> Result<Response<Body>, HandoffError>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        let sent = gateway.clock.now();
        let spent = sent.since(arrival.start) + LAST_WAY;
        let left = arrival.limit.since(sent);
        self.decision().begin(&target.node);
        let sending = self
            .links
            .send(link, arrival.head, body, spent, arrival.version, left);
        let result = sending.await;
        let end = match &result {
            Ok(_) | Err(HandoffError::Caller) => None,
            Err(HandoffError::NotRun { .. }) => Some(HopOutcome::Full),
            Err(HandoffError::Unknown(_) | HandoffError::Late) => Some(HopOutcome::Failed),
        };
        if let Some(end) = end {
            self.end(gateway, &target.node, end);
        }
        let mut response = result?;
        let took = take_took(response.headers_mut());
        let hop = gateway.clock.now().since(sent).saturating_sub(took);
        let late = gateway.lateness();
        self.end(gateway, &target.node, HopOutcome::Answered { hop, late });
        gateway.meters.hop_time.observe(hop.as_secs_f64());
        Ok(response.map(|body| body.boxed_unsync()))
    }
}

/// Hands a request over if another gateway serves it sooner; `None` if it is to
/// be served here.
///
/// # Errors
///
/// Returns the refusal of a request that got no answer from the other gateway.
pub async fn hand_over<B>(
    gateway: &Arc<Gateway>,
    arrival: &Arrival<'_>,
    body: &mut B,
) -> Result<Option<Response<Body>>, Refusal>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let Some(handoffs) = &gateway.handoffs else {
        return Ok(None);
    };
    if arrival.handed || !matches!(arrival.route.kind, Kind::Stream { .. }) {
        return Ok(None);
    }
    // The other gateway's build may not know that a stream is bound to a version.
    if arrival.continues {
        return Ok(None);
    }
    let Some(target) = handoffs.choose(gateway, arrival) else {
        return Ok(None);
    };
    let Some(link) = handoffs.link(gateway, &target) else {
        count(gateway, "no_link");
        return Ok(None);
    };
    let result = handoffs.send(gateway, &target, link, arrival, body).await;
    tell(gateway, arrival, &target.node, &result);
    match result {
        Ok(response) => Ok(Some(response)),
        Err(HandoffError::NotRun { kept: true, .. }) => Ok(None),
        Err(error) => Err(refusal(&error)),
    }
}

fn refusal(error: &HandoffError) -> Refusal {
    match error {
        HandoffError::NotRun { .. } => Refusal::later(
            RETRY_UNKNOWN,
            "the gateway that was to serve it did not take it; come back",
        ),
        HandoffError::Unknown(_) => Refusal::new(
            StatusCode::BAD_GATEWAY,
            "the gateway that served it broke off; whether the request ran is unknown",
        ),
        HandoffError::Caller => Refusal::new(
            StatusCode::BAD_REQUEST,
            "the body broke off or is malformed; send it whole",
        ),
        HandoffError::Late => late(1),
    }
}

fn count(gateway: &Gateway, outcome: &str) {
    let counter = &gateway.meters.handed_over;
    counter.with_label_values(&[outcome]).inc();
}

/// Notes what became of a request that was handed over.
fn tell(
    gateway: &Gateway,
    arrival: &Arrival<'_>,
    target: &str,
    result: &Result<Response<Body>, HandoffError>,
) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(HandoffError::NotRun { .. }) => "not_run",
        Err(HandoffError::Unknown(_)) => "unknown",
        Err(HandoffError::Caller) => "caller",
        Err(HandoffError::Late) => "late",
    };
    count(gateway, outcome);
    let note = LogEvent::new("handed_over")
        .with("attempt", arrival.attempt)
        .with("target", target)
        .with("outcome", outcome);
    let waited = gateway.clock.now().since(arrival.start);
    let note = note.with("waited_ms", waited.as_millis());
    gateway.note(match result {
        Ok(response) => note.with("status", response.status().as_u16()),
        Err(error) => note.with("why", error),
    });
}

/// Returns the bytes that a link carries for a turn: its input from the caller
/// and to three keepers, its history from a keeper, and all to the server.
pub fn moved(input: usize, prompt: usize) -> u64 {
    let history = prompt.saturating_sub(input);
    (4 * input + history + prompt) as u64
}
