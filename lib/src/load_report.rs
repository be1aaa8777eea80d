//! What gateways tell keepers about load, and what keepers tell them back.
//!
//! Every request passes through a gateway, so the sum of what gateways have
//! under way is the load of a service. Each gateway alone hears from a server
//! every few seconds; together they hear from each one many times a second.
//! A gateway reports to the keepers in charge of load, a few times a second, and
//! the answer holds what all others reported.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::place::Place;
use crate::server::Load;
use crate::time::Time;

/// Names one start of a server in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerStart(pub u64);

/// A gateway as a place for other gateways' callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayState {
    /// Its name.
    pub node: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Address at which it takes requests from other gateways; `None` if it
    /// takes none.
    pub address: Option<SocketAddr>,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Processor time that it may use, in thousandths of a core.
    pub cpu_milli: u32,
    /// How late it is with its work, in milliseconds.
    pub late_ms: u32,
    /// Requests under way.
    pub requests: u32,
}

/// What one gateway has under way at a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// The service.
    pub service: Arc<str>,
    /// Requests at its servers.
    pub running: u32,
    /// Requests that wait in the gateway for room.
    pub queued: u32,
    /// Requests that ended at its servers since the gateway's start, modulo
    /// 2^32, so that a report that was lost does not change the rate.
    pub ended: u32,
    /// Requests that its servers refused for lack of room since then.
    pub shed: u32,
}

/// The load that a server reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSample {
    /// The server.
    pub start: ServerStart,
    /// Its load.
    pub load: Load,
    /// Age of the sample, in milliseconds.
    pub age_ms: u32,
}

/// What a gateway reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The gateway.
    pub gateway: GatewayState,
    /// Services that it uses.
    pub services: Vec<ServiceUse>,
    /// Servers that it heard from since its last report, the latest load of each.
    pub servers: Vec<ServerSample>,
    /// Where parts of prompts were read for the first time since its last report.
    pub places: Vec<Place>,
}

/// What all gateways have under way at a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: Arc<str>,
    /// Requests at its servers.
    pub running: u32,
    /// Requests that wait in gateways for room.
    pub queued: u32,
    /// Requests that end at its servers, a second.
    pub rate: f32,
    /// Requests that its servers refuse for lack of room, a second.
    pub shed_rate: f32,
    /// Growth of the requests at its servers, a second.
    pub growth: f32,
}

/// What a keeper answers to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Gateways that report, the asker included.
    pub reporters: u32,
    /// Gateways that take requests from others, those with most room first.
    pub gateways: Vec<GatewayState>,
    /// Services, without what the asker reported itself.
    pub services: Vec<ServiceLoad>,
    /// Servers that others heard from since the asker's last report.
    pub servers: Vec<ServerSample>,
    /// Where others had parts of prompts read since then.
    pub places: Vec<Place>,
}

/// The load of a service as one gateway knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    /// Requests that its servers run at once.
    pub slots: f64,
    /// Requests at its servers, those of this gateway included.
    pub running: f64,
    /// Requests that wait in gateways.
    pub queued: f64,
    /// Requests that end at its servers, a second.
    pub rate: f64,
    /// Age of what is known of other gateways.
    pub age: Duration,
}

impl ServiceEstimate {
    /// Returns the share of its slots that requests take; above one if some
    /// wait.
    pub fn utilization(&self) -> f64 {
        (self.running + self.queued) / self.slots.max(1.0)
    }

    /// Returns how long requests that come now wait for a slot.
    pub fn wait(&self) -> Duration {
        let ahead = (self.running + self.queued - self.slots).max(0.0);
        if ahead == 0.0 || self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((ahead / self.rate).min(MAX_WAIT.as_secs_f64()))
    }
}

/// Longest wait that an estimate says: longer than any caller's patience.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Tells how loaded services are.
pub trait ServiceLoads {
    /// Returns what is known of a service; `None` if that is nothing, or too
    /// old to decide by.
    fn estimate(&self, now: Time, service: &str) -> Option<ServiceEstimate>;
}
