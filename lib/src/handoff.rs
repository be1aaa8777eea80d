//! Which requests a gateway hands over to another gateway, and to which one.
//!
//! The platform sends each gateway about the same number of callers, regardless
//! of the capacity of its VM. Serving a turn costs a link several times the bytes
//! of its body, so forwarding it unchanged costs a weak gateway a fraction of
//! serving it. A request is handed over if it is expected to be answered sooner
//! that way, including the time on the way there and back.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::handoff_target::HopOutcome;
use crate::handoff_target::Target;
use crate::hash;
use crate::load_report::GatewayState;
use crate::time::Time;
use crate::turn_cost::FORWARD_SHARE;
use crate::turn_cost::Power;
use crate::turn_cost::RequestSize;
use crate::turn_cost::TurnCost;

/// Minimum time that a handoff must save, in seconds.
const MIN_GAIN: f64 = 0.005;
/// Minimum share of the local time that a handoff must save.
const MIN_GAIN_SHARE: f64 = 0.2;
/// Share of a target's capacity that is reserved for its own callers.
const RESERVED_SHARE: f64 = 0.3;
/// Utilization above which the estimated wait no longer increases.
const MAX_UTILIZATION: f64 = 0.9;
/// Utilization of a data centre above which its gateways hand requests over to
/// other data centres.
const OVERLOAD_UTILIZATION: f64 = 0.8;
/// Mean lateness of a data centre's gateways above which they hand requests over
/// to other data centres, in seconds.
const OVERLOAD_LATENESS: f64 = 0.05;
/// Share of these limits below which a data centre keeps its requests again.
const RECOVERY_SHARE: f64 = 0.6;
/// Maximum number of gateways in a data centre that one gateway hands requests to.
const MAX_TARGETS: usize = 12;
/// Maximum number of targets kept that are no longer in the reports.
const MAX_UNLISTED_TARGETS: usize = 256;

/// Static description of a gateway.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub node: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Resources that its VM provides.
    pub power: Power,
}

/// Current load of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLoad {
    /// How late it is with its work.
    pub late: Duration,
    /// Requests that it serves itself.
    pub requests: u32,
}

/// Decides which requests a gateway hands over.
#[derive(Clone, Debug)]
pub struct Handoff {
    own: Identity,
    cost: TurnCost,
    targets: BTreeMap<Arc<str>, Target>,
    centre_overloaded: bool,
}

/// A gateway that a request may be handed over to.
struct Choice<'a> {
    state: &'a GatewayState,
    /// Requests per second that it could serve in addition to its own.
    spare_rate: f64,
    /// Time until it has served the request, in seconds.
    time: f64,
}

impl Handoff {
    /// Makes the decision state of a gateway.
    pub fn new(own: Identity) -> Self {
        Self {
            own,
            cost: TurnCost::default(),
            targets: BTreeMap::new(),
            centre_overloaded: false,
        }
    }

    /// Returns the learned costs of turns.
    pub fn cost(&mut self) -> &mut TurnCost {
        &mut self.cost
    }

    /// Returns whether handing the request over may save time, so that it is
    /// worth comparing other gateways.
    pub fn is_worthwhile(&self, own: OwnLoad, offer: RequestSize) -> bool {
        !offer.handed_over && self.local_time(own, offer) > MIN_GAIN
    }

    /// Returns the gateway to hand a request over to; `None` if this one serves
    /// it. `draws` are two random numbers from 0 up to 1.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        own: OwnLoad,
        offer: RequestSize,
        gateways: &'a [GatewayState],
        draws: [f64; 2],
    ) -> Option<&'a GatewayState> {
        if !self.is_worthwhile(own, offer) {
            return None;
        }
        self.update_targets(now, gateways);
        self.update_centre_overload(own, offer, gateways);
        let near = self.pick(now, own, offer, self.choices(gateways, true), draws);
        if near.is_some() || !self.centre_overloaded {
            return near;
        }
        self.pick(now, own, offer, self.choices(gateways, false), draws)
    }

    /// Records that a request is handed over to a target.
    pub fn begin(&mut self, node: &Arc<str>) {
        self.targets.entry(node.clone()).or_default().begin();
    }

    /// Records how a request ended at a target.
    pub fn end(&mut self, now: Time, node: &str, end: HopOutcome) {
        if let Some(target) = self.targets.get_mut(node) {
            target.end(now, end);
        }
    }

    /// Records a measured round trip to a target.
    pub fn observe_round_trip(&mut self, node: &str, took: Duration) {
        if let Some(target) = self.targets.get_mut(node) {
            target.observe_round_trip(took);
        }
    }

    /// Returns whether the data centre is overloaded, so that other data centres
    /// take some of its requests.
    pub fn is_centre_overloaded(&self) -> bool {
        self.centre_overloaded
    }

    fn update_targets(&mut self, now: Time, gateways: &[GatewayState]) {
        for state in gateways {
            let target = self.targets.entry(state.node.clone()).or_default();
            target.update(state);
        }
        if self.targets.len() > gateways.len() + MAX_UNLISTED_TARGETS {
            let listed = |node: &Arc<str>| gateways.iter().any(|state| state.node == *node);
            self.targets
                .retain(|node, target| listed(node) || target.is_paused(now));
        }
    }

    /// Updates whether the data centre is overloaded, from the total load of its
    /// gateways.
    fn update_centre_overload(
        &mut self,
        own: OwnLoad,
        offer: RequestSize,
        gateways: &[GatewayState],
    ) {
        let rate = 1.0 / self.cost.serve_time(offer, self.own.power);
        let (mut rates, mut requests) = (rate, f64::from(own.requests));
        let mut late = own.late.as_secs_f64() * rate;
        for state in gateways.iter().filter(|state| self.is_near(state)) {
            let rate = 1.0 / self.cost.serve_time(offer, power(state));
            rates += rate;
            requests += f64::from(state.requests);
            late += f64::from(state.late_ms) / 1_000.0 * rate;
        }
        let utilization = requests / self.cost.stay() / rates;
        let pressure = (utilization / OVERLOAD_UTILIZATION).max(late / rates / OVERLOAD_LATENESS);
        self.centre_overloaded = pressure
            >= if self.centre_overloaded {
                RECOVERY_SHARE
            } else {
                1.0
            };
    }

    fn is_near(&self, state: &GatewayState) -> bool {
        state.centre == self.own.centre
    }

    /// Returns the gateways that this one may hand requests over to, in its own
    /// data centre or in others. Each gateway uses a small subset, so that the
    /// number of connections does not grow with the square of the number of
    /// gateways.
    fn choices<'a>(&self, gateways: &'a [GatewayState], near: bool) -> Vec<&'a GatewayState> {
        let is_target = |state: &&GatewayState| {
            state.address.is_some()
                && state.node != self.own.node
                && self.is_near(state) == near
                && state.link_mbps > 0
                && state.cpu_milli > 0
        };
        let mut list: Vec<&GatewayState> = gateways.iter().filter(is_target).collect();
        if list.len() > MAX_TARGETS {
            let weight = |state: &&GatewayState| {
                Reverse(hash::mixed_fnv(
                    self.own.node.bytes().chain(state.node.bytes()),
                ))
            };
            list.sort_by_cached_key(weight);
            list.truncate(MAX_TARGETS);
        }
        list
    }

    fn local_time(&self, own: OwnLoad, offer: RequestSize) -> f64 {
        let work = self.cost.serve_time(offer, self.own.power);
        let utilization = self.utilization(own.requests, work);
        own.late.as_secs_f64() + time_under_load(work, utilization)
    }

    /// Returns the share of a gateway's capacity used by requests that cost it
    /// `work` seconds each.
    fn utilization(&self, requests: u32, work: f64) -> f64 {
        f64::from(requests) * work / self.cost.stay()
    }

    fn choice<'a>(
        &self,
        now: Time,
        offer: RequestSize,
        state: &'a GatewayState,
    ) -> Option<Choice<'a>> {
        let target = self.targets.get(&state.node)?;
        if target.is_paused(now) {
            return None;
        }
        let work = self.cost.serve_time(offer, power(state));
        let utilization = self.utilization(target.requests(state), work);
        let late = f64::from(state.late_ms) / 1_000.0;
        Some(Choice {
            state,
            spare_rate: (1.0 - RESERVED_SHARE - utilization) / work,
            time: target.round_trip(self.is_near(state))
                + late
                + time_under_load(work, utilization),
        })
    }

    /// Picks two targets at random, weighted by their spare capacity, and returns
    /// the faster one if it saves enough time.
    fn pick<'a>(
        &self,
        now: Time,
        own: OwnLoad,
        offer: RequestSize,
        gateways: Vec<&'a GatewayState>,
        draws: [f64; 2],
    ) -> Option<&'a GatewayState> {
        let here = self.local_time(own, offer);
        let work = self.cost.serve_time(offer, self.own.power);
        let forward_time = TurnCost::forward_time(offer, self.own.power);
        let forwarding = own.late.as_secs_f64() * FORWARD_SHARE
            + time_under_load(forward_time, self.utilization(own.requests, work));
        let gains = |choice: &Choice<'_>| {
            let gain = here - forwarding - choice.time;
            choice.spare_rate > 0.0 && gain > MIN_GAIN && gain > here * MIN_GAIN_SHARE
        };
        let choices = gateways
            .into_iter()
            .filter_map(|state| self.choice(now, offer, state));
        let choices: Vec<Choice<'_>> = choices.filter(gains).collect();
        let two = draws.map(|draw| pick_weighted(&choices, draw));
        let best = two
            .into_iter()
            .flatten()
            .min_by(|a, b| a.time.total_cmp(&b.time));
        best.map(|choice| choice.state)
    }
}

fn power(state: &GatewayState) -> Power {
    Power {
        link_mbps: f64::from(state.link_mbps),
        cores: f64::from(state.cpu_milli) / 1_000.0,
    }
}

/// Returns the time that work takes at a gateway with the given utilization, in
/// seconds.
fn time_under_load(work: f64, utilization: f64) -> f64 {
    work / (1.0 - utilization.min(MAX_UTILIZATION))
}

fn pick_weighted<'c, 'a>(choices: &'c [Choice<'a>], draw: f64) -> Option<&'c Choice<'a>> {
    let all: f64 = choices.iter().map(|choice| choice.spare_rate).sum();
    let mut left = draw * all;
    let found = choices.iter().find(|choice| {
        left -= choice.spare_rate;
        left < 0.0
    });
    found.or(choices.last())
}
