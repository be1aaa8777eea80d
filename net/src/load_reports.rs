//! What a gateway knows of load: its own requests, and what keepers tell of
//! those of other gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::load_estimator::LoadEstimator;
use limpetferry_lib::load_estimator::OwnUse;
use limpetferry_lib::load_report::GatewayState;
use limpetferry_lib::load_report::LoadSummary;
use limpetferry_lib::load_report::ServiceEstimate;
use limpetferry_lib::load_report::ServiceLoads;
use limpetferry_lib::load_report::ServiceUse;
use limpetferry_lib::time::Time;

use crate::dispatch::QueueState;

#[derive(Default)]
struct Inner {
    known: LoadEstimator,
    /// Where it takes requests from other gateways.
    address: Option<SocketAddr>,
    late: Duration,
}

/// What a gateway knows of load beyond its own requests. No other lock is
/// taken while it is read, so that it may be read under any.
#[derive(Default)]
pub struct LoadReports {
    inner: Mutex<Inner>,
}

impl LoadReports {
    /// Makes the record of a gateway that has heard nothing yet.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while locked")
    }

    /// Says where the gateway takes requests from others, if it does.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.inner().address = address;
    }

    /// Says how late the gateway is with its work.
    pub fn set_late(&self, late: Duration) {
        self.inner().late = late;
    }

    /// Says which requests wait in the gateway for room.
    pub fn set_queues(&self, queues: &[QueueState]) {
        let known = &mut self.inner().known;
        known.clear_queued();
        for queue in queues {
            let length = u32::try_from(queue.length).unwrap_or(u32::MAX);
            known.set_queued(&queue.service, length);
        }
    }

    /// Returns how many requests for a service wait in the gateway for room.
    pub fn queued(&self, service: &str) -> u32 {
        self.inner().known.queued(service)
    }

    /// Takes what the gateway has at services now.
    pub fn set_own(&self, now: Time, uses: impl IntoIterator<Item = OwnUse>) {
        self.inner().known.set_own(now, uses);
    }

    /// Takes a keeper's answer to the report that went at `asked`.
    pub fn apply_summary(&self, keeper: &Arc<str>, asked: Time, summary: LoadSummary) {
        self.inner().known.apply_summary(keeper, asked, summary);
    }

    /// Returns what the gateway has at each service that it has used.
    pub fn uses(&self) -> Vec<ServiceUse> {
        self.inner().known.uses()
    }

    /// Returns whether the gateway has requests.
    pub fn is_busy(&self) -> bool {
        self.inner().known.requests() > 0
    }

    /// Returns the gateway's state now, with what its settings say of it.
    pub fn state(&self, settled: &GatewayState) -> GatewayState {
        let inner = self.inner();
        GatewayState {
            address: inner.address,
            late_ms: u32::try_from(inner.late.as_millis()).unwrap_or(u32::MAX),
            requests: inner.known.requests(),
            ..settled.clone()
        }
    }

    /// Returns how many gateways report, this one included.
    pub fn reporters(&self, now: Time) -> u32 {
        self.inner().known.reporters(now)
    }

    /// Returns the age of what is known of other gateways; `None` if it is too
    /// old.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.inner().known.age(now)
    }

    /// Returns the utilization of the service that is loaded most; `None` if
    /// nothing is known.
    pub fn most_utilization(&self, now: Time) -> Option<f64> {
        let inner = self.inner();
        let estimates = inner.known.estimates(now);
        let shares = estimates.map(|(_, estimate)| estimate.utilization());
        shares.max_by(f64::total_cmp)
    }

    /// Returns the other gateways that take requests, those with most room
    /// first; none if what is known of them is too old.
    pub fn gateways(&self, now: Time) -> Vec<GatewayState> {
        self.inner().known.gateways(now)
    }

    /// Returns a line on each service whose load is known.
    pub fn notes(&self, now: Time) -> Vec<LogEvent> {
        let inner = self.inner();
        let estimates = inner.known.estimates(now);
        let notes = estimates.map(|(service, estimate)| {
            LogEvent::new("load")
                .with("service", service)
                .with("slots", estimate.slots)
                .with("running", estimate.running.round())
                .with("queued", estimate.queued)
                .with("rate", estimate.rate.round())
                .with("age_ms", estimate.age.as_millis())
        });
        notes.collect()
    }
}

impl ServiceLoads for LoadReports {
    fn estimate(&self, now: Time, service: &str) -> Option<ServiceEstimate> {
        self.inner().known.estimate(now, service)
    }
}
