//! The cost of a turn for a gateway: link bandwidth, processor time and the time
//! for which the turn is in flight.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How often the link carries the input of a turn whose history is stored: from
/// the caller, to three keepers and to the server.
const STORED_COPIES: f64 = 5.0;
/// How often the link carries a body that is forwarded unchanged.
const FORWARD_COPIES: f64 = 2.0;
/// Processor time of a turn on a full core, in seconds.
const TURN_CORE_S: f64 = 0.000_3;
/// Processor time of forwarding a request, as a share of that of a turn.
pub(crate) const FORWARD_SHARE: f64 = 0.2;
/// Assumed time in flight of a turn until some have ended.
const DEFAULT_STAY: Duration = Duration::from_secs(1);
/// Weight of the newest turn in means.
const MEAN_WEIGHT: f64 = 0.05;
/// Bytes per second in one Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Resources that a VM provides to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Power {
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
    /// Number of cores that the gateway may use.
    pub cores: f64,
}

impl Power {
    /// Returns the time for `bytes` on the link and `core` seconds on a full
    /// core, in seconds.
    fn time(self, bytes: f64, core: f64) -> f64 {
        bytes / (self.link_mbps * BYTES_PER_MBIT) + core / self.cores
    }
}

/// A request as described by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSize {
    /// Size of its body, in bytes.
    pub body: u64,
    /// Whether it is a turn whose history is stored.
    pub has_history: bool,
    /// Whether another gateway handed it over.
    pub handed_over: bool,
}

/// Learned costs of turns.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnCost {
    moved: Option<f64>,
    stay: Option<f64>,
}

impl TurnCost {
    /// Records the bytes that the link carried for a turn with stored history.
    pub fn observe_link_bytes(&mut self, bytes: u64) {
        update_mean(&mut self.moved, bytes as f64);
    }

    /// Records how long a turn was in flight, from its head to the end of its
    /// answer.
    pub fn observe_time_in_flight(&mut self, stay: Duration) {
        update_mean(&mut self.stay, stay.as_secs_f64());
    }

    /// Returns the mean time for which turns are in flight, in seconds.
    pub(crate) fn stay(&self) -> f64 {
        let stay = self.stay.unwrap_or(DEFAULT_STAY.as_secs_f64());
        stay.max(f64::MIN_POSITIVE)
    }

    /// Returns the capacity that a gateway uses to serve a request, in seconds.
    pub(crate) fn serve_time(&self, offer: RequestSize, power: Power) -> f64 {
        let body = offer.body as f64;
        let bytes = if offer.has_history {
            self.moved.unwrap_or(0.0).max(body * STORED_COPIES)
        } else {
            body * FORWARD_COPIES
        };
        power.time(bytes, TURN_CORE_S)
    }

    /// Returns the capacity that a gateway uses to forward a request, in seconds.
    pub(crate) fn forward_time(offer: RequestSize, power: Power) -> f64 {
        let bytes = offer.body as f64 * FORWARD_COPIES;
        power.time(bytes, TURN_CORE_S * FORWARD_SHARE)
    }
}

fn update_mean(value: &mut Option<f64>, new: f64) {
    *value = Some(value.map_or(new, |old| old + (new - old) * MEAN_WEIGHT));
}
