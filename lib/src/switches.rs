//! Which of the decisions about servers and callers are made, so that what each is worth
//! can be measured on the deployment at hand.

use serde::Deserialize;
use serde::Serialize;

/// Decisions that can be made or left out one by one. Those that concern load
/// that few deployments have are made only where the settings say so; all
/// others are, unless the settings say otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switches {
    /// Learns from answers how long servers take.
    pub times: bool,
    /// Learns from the replicas of a program where its prompts are kept.
    pub places: bool,
    /// Takes servers whose load is not known, or no longer, for as loaded as
    /// those of their service are on the mean.
    pub loads: bool,
    /// Leaves out servers that fail or are silent while others answer.
    pub outliers: bool,
    /// Refuses a workspace near its limit the programs that begin, rather than
    /// requests of those that have.
    pub programs: bool,
    /// Tells keepers about load and hears from them what other gateways told.
    pub reports: bool,
    /// Takes into account in the choice of a server what other gateways heard
    /// from servers; it needs `reports`.
    pub samples: bool,
    /// Learns how fast each server is beside the others of its service, and
    /// takes into account how fast it says that it is at the moment.
    pub pace: bool,
    /// Counts paces only at services whose servers say that work takes them longer
    /// at some moments, as they share their VMs with others.
    pub shared_vms: bool,
    /// Lets requests wait in the gateway for a server with room, where servers
    /// refuse what they have no room for.
    pub queue: bool,
    /// Refuses programs that begin while a service has more work than they
    /// have time for.
    pub overload: bool,
    /// Hands requests to stronger gateways while this one is behind its work.
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
