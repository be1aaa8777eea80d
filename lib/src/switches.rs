//! Optional decisions about servers and callers, which can be switched off one by
//! one to measure the effect of each on a given deployment.

use serde::Deserialize;
use serde::Serialize;

/// Decisions that can be switched on and off one by one. Those that only pay off
/// under a kind of load that few deployments have are off by default; all others
/// are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switches {
    /// Learns from answers how long servers take.
    pub times: bool,
    /// Learns from a program's replicas which servers have its prompts cached.
    pub places: bool,
    /// Assumes the mean load of the service for servers whose load is unknown or
    /// out of date.
    pub loads: bool,
    /// Ejects servers that fail or do not respond while others answer.
    pub outliers: bool,
    /// Refuses new programs of a workspace that is near its limit, rather than
    /// requests of programs that have begun.
    pub programs: bool,
    /// Reports load to keepers and receives the reports of other gateways.
    pub reports: bool,
    /// Uses the server loads and cached prompt parts that other gateways report;
    /// needs `reports`.
    pub samples: bool,
    /// Learns the speed of each server relative to the others of its service,
    /// and uses the current pace that servers report.
    pub pace: bool,
    /// Restricts `pace` to services whose servers report that their work takes
    /// longer at times, because they share their VMs with other processes.
    pub shared_vms: bool,
    /// Queues requests in the gateway until a server has capacity, where servers
    /// refuse requests beyond their capacity.
    pub queue: bool,
    /// Refuses new programs while a service has more work than they have time
    /// for.
    pub overload: bool,
    /// Hands requests over to stronger gateways while this one is behind with
    /// its work.
    pub handoff: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            times: true,
            places: true,
            loads: true,
            outliers: true,
            programs: true,
            reports: false,
            samples: false,
            pace: false,
            shared_vms: false,
            queue: false,
            overload: false,
            handoff: false,
        }
    }
}
