//! What a turn costs a gateway: its link, its processor, and how long the turn
//! stays there.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Times that the link carries the input of a turn whose history is kept: from
/// the caller, to three keepers, and to the server.
const KEPT_COPIES: f64 = 5.0;
/// Times that the link carries a body that is passed on as it came.
const PASSED_COPIES: f64 = 2.0;
/// Processor time of a turn on a whole core, in seconds.
const TURN_CORE: f64 = 0.000_3;
/// Processor time of passing a request on, as a share of that of a turn.
pub(crate) const PASSED_SHARE: f64 = 0.2;
/// Time that a turn is taken to stay until some have ended.
const USUAL_STAY: Duration = Duration::from_secs(1);
/// Weight of the newest turn in means.
const NEWEST: f64 = 0.05;
/// Bytes that a Mbit/s carries in a second.
const MBIT: f64 = 125_000.0;

/// What a VM gives a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Power {
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
    /// Cores that it may use.
    pub cores: f64,
}

impl Power {
    /// Returns the time that `bytes` on the link and `core` seconds of a whole
    /// core take, in seconds.
    fn time(self, bytes: f64, core: f64) -> f64 {
        bytes / (self.link_mbps * MBIT) + core / self.cores
    }
}

/// A request as far as its head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Bytes of its body.
    pub body: u64,
    /// Whether it is a turn whose history is kept.
    pub kept: bool,
    /// Whether another gateway handed it over.
    pub handed: bool,
}

/// Learns what turns cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnCost {
    moved: Option<f64>,
    stay: Option<f64>,
}

impl TurnCost {
    /// Notes the bytes that the link carried for a turn with kept history.
    pub fn observe_moved(&mut self, bytes: u64) {
        mean(&mut self.moved, bytes as f64);
    }

    /// Notes how long a turn stayed, from its head to the end of its answer.
    pub fn observe_stay(&mut self, stay: Duration) {
        mean(&mut self.stay, stay.as_secs_f64());
    }

    /// Returns how long turns stay, in seconds.
    pub(crate) fn stay(&self) -> f64 {
        let stay = self.stay.unwrap_or(USUAL_STAY.as_secs_f64());
        stay.max(f64::MIN_POSITIVE)
    }

    /// Returns the seconds that a request takes of a gateway which serves it.
    pub(crate) fn served(&self, offer: Offer, power: Power) -> f64 {
        let body = offer.body as f64;
        let bytes = if offer.kept {
            self.moved.unwrap_or(0.0).max(body * KEPT_COPIES)
        } else {
            body * PASSED_COPIES
        };
        power.time(bytes, TURN_CORE)
    }

    /// Returns the seconds that a request takes of a gateway which passes it on.
    pub(crate) fn passed(offer: Offer, power: Power) -> f64 {
        let bytes = offer.body as f64 * PASSED_COPIES;
        power.time(bytes, TURN_CORE * PASSED_SHARE)
    }
}

fn mean(value: &mut Option<f64>, new: f64) {
    *value = Some(value.map_or(new, |old| old + (new - old) * NEWEST));
}
