//! Load reports that gateways send to keepers, and the keepers' answers.
//!
//! Every request passes through a gateway, so the load of a service is the sum of
//! the requests that all gateways have under way. A single gateway receives a
//! server's load every few seconds; together they receive it many times a second.
//! A gateway sends reports to the keepers in charge of load a few times a second,
//! and the answer contains what all other gateways reported.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::place::Place;
use crate::server::Load;
use crate::time::Time;
use crate::time::span_from_secs;

/// Identifies one start of a server, in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerStart(pub u64);

/// A gateway to which other gateways may hand over requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayState {
    /// Name of the gateway.
    pub node: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Address at which it accepts requests from other gateways; `None` if it accepts
    /// none.
    pub address: Option<SocketAddr>,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// Its lateness, in milliseconds.
    pub late_ms: u32,
    /// Requests under way.
    pub requests: u32,
}

/// The requests of one gateway for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// Name of the service.
    pub service: Arc<str>,
    /// Requests at the service's servers.
    pub running: u32,
    /// Requests that are queued in the gateway because no server has room.
    pub queued: u32,
    /// Requests that ended at the servers since the gateway started, modulo 2^32. As
    /// this is a running total, a lost report does not change the rate.
    pub ended: u32,
    /// Requests that the servers refused for lack of room since the gateway started.
    pub shed: u32,
}

/// The load that a server reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSample {
    /// The server.
    pub start: ServerStart,
    /// The server's load.
    pub load: Load,
    /// Age of the sample, in milliseconds.
    pub age_ms: u32,
}

/// Load report of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The gateway.
    pub gateway: GatewayState,
    /// Services that the gateway uses.
    pub services: Vec<ServiceUse>,
    /// Servers that sent their load since the last report, with the latest load.
    pub servers: Vec<ServerSample>,
    /// Prompt parts that servers processed for the first time since the last report.
    pub places: Vec<Place>,
}

/// The requests of all gateways for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: Arc<str>,
    /// Requests at the service's servers.
    pub running: u32,
    /// Requests that are queued in gateways because no server has room.
    pub queued: u32,
    /// Requests per second that end at the servers.
    pub rate: f32,
    /// Requests per second that the servers refuse for lack of room.
    pub shed_rate: f32,
    /// Growth per second of the requests at the servers.
    pub growth: f32,
}

/// A keeper's answer to a load report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Number of gateways that send reports, including the receiver of this answer.
    pub reporters: u32,
    /// Gateways that accept requests from others, those with most spare capacity
    /// first.
    pub gateways: Vec<GatewayState>,
    /// Services, excluding what the receiver reported itself.
    pub services: Vec<ServiceLoad>,
    /// Servers whose load others reported since the receiver's last report.
    pub servers: Vec<ServerSample>,
    /// Prompt parts that others reported since then.
    pub places: Vec<Place>,
}

/// Estimate by one gateway of the load of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    /// Number of requests that the service's servers run at once.
    pub slots: f64,
    /// Requests at the servers, including those of this gateway.
    pub running: f64,
    /// Requests that are queued in gateways.
    pub queued: f64,
    /// Requests per second that end at the servers.
    pub rate: f64,
    /// Age of the data about other gateways.
    pub age: Duration,
}

impl ServiceEstimate {
    /// Returns the ratio of requests to slots; above one if some requests wait.
    pub fn utilization(&self) -> f64 {
        (self.running + self.queued) / self.slots.max(1.0)
    }

    /// Returns how long a new request would wait for a slot.
    pub fn wait(&self) -> Duration {
        let ahead = (self.running + self.queued - self.slots).max(0.0);
        if ahead == 0.0 || self.rate <= 0.0 {
            return Duration::ZERO;
        }
        span_from_secs(ahead / self.rate).min(MAX_WAIT)
    }
}

/// Upper bound of estimated waits: longer than the patience of any caller.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Estimates the load of services.
pub trait ServiceLoads {
    /// Returns the estimate for a service; `None` if there is no data, or only data
    /// that is too old to base decisions on.
    fn estimate(&self, now: Time, service: &str) -> Option<ServiceEstimate>;
}
