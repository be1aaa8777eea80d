//! What a gateway reports of load to keepers, and what it hears of others.

use std::sync::Arc;

use limpetferry_lib::load_report::GatewayState;
use limpetferry_lib::load_report::ServiceEstimate;
use limpetferry_lib::load_report::ServiceLoads;
use limpetferry_lib::time::Time;

/// What a gateway knows of load beyond its own requests.
#[derive(Default)]
pub struct LoadReports {}

impl LoadReports {
    /// Makes the record of a gateway that has heard nothing yet.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Returns the other gateways that take requests, those with most room
    /// first; none if what is known of them is too old.
    pub fn gateways(&self, _now: Time) -> Vec<GatewayState> {
        Vec::new()
    }
}

impl ServiceLoads for LoadReports {
    fn estimate(&self, _now: Time, _service: &str) -> Option<ServiceEstimate> {
        None
    }
}
