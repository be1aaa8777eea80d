//! Which requests a gateway hands over to another one, and to which.
//!
//! The platform gives each gateway about as many callers, whatever its VM can
//! do. A turn costs a link several times the bytes of its body, so that passing
//! it on as it came costs a weak gateway a fraction of serving it. A request is
//! handed over where it is expected to be served sooner so, the way there and
//! back included.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::handoff_target::HopEnd;
use crate::handoff_target::Target;
use crate::hash;
use crate::load_report::GatewayState;
use crate::time::Time;
use crate::turn_cost::Offer;
use crate::turn_cost::PASSED_SHARE;
use crate::turn_cost::Power;
use crate::turn_cost::TurnCost;

/// Least time that handing over has to save, in seconds.
const LEAST_GAIN: f64 = 0.005;
/// Share of the time here that handing over has to save.
const GAIN_SHARE: f64 = 0.2;
/// Share of a target's capacity that is left for its own callers.
const OWN_SHARE: f64 = 0.3;
/// Utilisation above which waits are no longer told apart.
const MOST_USED: f64 = 0.9;
/// Utilisation of a data centre from which on its gateways hand requests to
/// others.
const RUSHED_USE: f64 = 0.8;
/// Lateness of a data centre's gateways from which on they hand requests to
/// others, in seconds.
const RUSHED_LATE: f64 = 0.05;
/// Share of these bounds below which a data centre keeps its requests again.
const CALM: f64 = 0.6;
/// Gateways of a data centre to which one gateway hands requests at most.
const MAX_TARGETS: usize = 12;
/// Targets remembered beyond those that are told of.
const MAX_KNOWN: usize = 256;

/// What a gateway is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub node: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// What its VM gives it.
    pub power: Power,
}

/// What a gateway has to do.
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
    rushed: bool,
}

/// A gateway that may take a request.
struct Choice<'a> {
    state: &'a GatewayState,
    /// Requests a second that it could take beside its own.
    room: f64,
    /// Seconds until it has served the request.
    time: f64,
}

impl Handoff {
    /// Makes what decides for a gateway.
    pub fn new(own: Identity) -> Self {
        Self {
            own,
            cost: TurnCost::default(),
            targets: BTreeMap::new(),
            rushed: false,
        }
    }

    /// Returns what is known of the cost of turns.
    pub fn cost(&mut self) -> &mut TurnCost {
        &mut self.cost
    }

    /// Returns whether a request may gain by being handed over, so that other
    /// gateways are to be looked at.
    pub fn may_gain(&self, own: OwnLoad, offer: Offer) -> bool {
        !offer.handed && self.time_here(own, offer) > LEAST_GAIN
    }

    /// Returns the gateway that is to serve a request instead of this one;
    /// `None` if this one serves it. `draws` are two numbers from 0 up to 1.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        own: OwnLoad,
        offer: Offer,
        gateways: &'a [GatewayState],
        draws: [f64; 2],
    ) -> Option<&'a GatewayState> {
        if !self.may_gain(own, offer) {
            return None;
        }
        self.see(now, gateways);
        self.look_at_centre(own, offer, gateways);
        let near = self.pick(now, own, offer, self.choices(gateways, true), draws);
        if near.is_some() || !self.rushed {
            return near;
        }
        self.pick(now, own, offer, self.choices(gateways, false), draws)
    }

    /// Notes that a request goes to a target.
    pub fn begin(&mut self, node: &Arc<str>) {
        self.targets.entry(node.clone()).or_default().begin();
    }

    /// Notes how a request ended at a target.
    pub fn end(&mut self, now: Time, node: &str, end: HopEnd) {
        if let Some(target) = self.targets.get_mut(node) {
            target.end(now, end);
        }
    }

    /// Notes the round trip to a target.
    pub fn observe_way(&mut self, node: &str, took: Duration) {
        if let Some(target) = self.targets.get_mut(node) {
            target.observe_way(took);
        }
    }

    /// Returns whether the data centre is rushed, so that others help it.
    pub fn is_rushed(&self) -> bool {
        self.rushed
    }

    fn see(&mut self, now: Time, gateways: &[GatewayState]) {
        for state in gateways {
            let target = self.targets.entry(state.node.clone()).or_default();
            target.see(state);
        }
        if self.targets.len() > gateways.len() + MAX_KNOWN {
            let told = |node: &Arc<str>| gateways.iter().any(|state| state.node == *node);
            self.targets
                .retain(|node, target| told(node) || target.is_paused(now));
        }
    }

    /// Looks whether the data centre is rushed, by what all of its gateways
    /// have to do together.
    fn look_at_centre(&mut self, own: OwnLoad, offer: Offer, gateways: &[GatewayState]) {
        let rate = 1.0 / self.cost.served(offer, self.own.power);
        let (mut rates, mut requests) = (rate, f64::from(own.requests));
        let mut late = own.late.as_secs_f64() * rate;
        for state in gateways.iter().filter(|state| self.is_near(state)) {
            let rate = 1.0 / self.cost.served(offer, power(state));
            rates += rate;
            requests += f64::from(state.requests);
            late += f64::from(state.late_ms) / 1_000.0 * rate;
        }
        let used = requests / self.cost.stay() / rates;
        let pressure = (used / RUSHED_USE).max(late / rates / RUSHED_LATE);
        self.rushed = pressure >= if self.rushed { CALM } else { 1.0 };
    }

    fn is_near(&self, state: &GatewayState) -> bool {
        state.centre == self.own.centre
    }

    /// Returns the gateways to which this one may hand requests, in its data
    /// centre or in others: each gateway has its own few, so that connections
    /// do not grow with the square of their number.
    fn choices<'a>(&self, gateways: &'a [GatewayState], near: bool) -> Vec<&'a GatewayState> {
        let takes = |state: &&GatewayState| {
            state.address.is_some()
                && state.node != self.own.node
                && self.is_near(state) == near
                && state.link_mbps > 0
                && state.cpu_milli > 0
        };
        let mut list: Vec<&GatewayState> = gateways.iter().filter(takes).collect();
        if list.len() > MAX_TARGETS {
            let weight = |state: &&GatewayState| {
                Reverse(hash::spread(
                    self.own.node.bytes().chain(state.node.bytes()),
                ))
            };
            list.sort_by_cached_key(weight);
            list.truncate(MAX_TARGETS);
        }
        list
    }

    fn time_here(&self, own: OwnLoad, offer: Offer) -> f64 {
        let work = self.cost.served(offer, self.own.power);
        let used = self.used(own.requests, work);
        own.late.as_secs_f64() + waited(work, used)
    }

    /// Returns the share of a gateway's capacity that requests take which cost
    /// it `work` seconds each.
    fn used(&self, requests: u32, work: f64) -> f64 {
        f64::from(requests) * work / self.cost.stay()
    }

    fn choice<'a>(&self, now: Time, offer: Offer, state: &'a GatewayState) -> Option<Choice<'a>> {
        let target = self.targets.get(&state.node)?;
        if target.is_paused(now) {
            return None;
        }
        let work = self.cost.served(offer, power(state));
        let used = self.used(target.requests(state), work);
        let late = f64::from(state.late_ms) / 1_000.0;
        Some(Choice {
            state,
            room: (1.0 - OWN_SHARE - used) / work,
            time: target.way(self.is_near(state)) + late + waited(work, used),
        })
    }

    /// Picks two targets by their room, and returns the faster one if it gains
    /// enough.
    fn pick<'a>(
        &self,
        now: Time,
        own: OwnLoad,
        offer: Offer,
        gateways: Vec<&'a GatewayState>,
        draws: [f64; 2],
    ) -> Option<&'a GatewayState> {
        let here = self.time_here(own, offer);
        let work = self.cost.served(offer, self.own.power);
        let passed = TurnCost::passed(offer, self.own.power);
        let pass =
            own.late.as_secs_f64() * PASSED_SHARE + waited(passed, self.used(own.requests, work));
        let gains = |choice: &Choice<'_>| {
            let gain = here - pass - choice.time;
            choice.room > 0.0 && gain > LEAST_GAIN && gain > here * GAIN_SHARE
        };
        let choices = gateways
            .into_iter()
            .filter_map(|state| self.choice(now, offer, state));
        let choices: Vec<Choice<'_>> = choices.filter(gains).collect();
        let two = draws.map(|draw| weighted(&choices, draw));
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

/// Returns the seconds that work takes at a gateway of which others use a share.
fn waited(work: f64, used: f64) -> f64 {
    work / (1.0 - used.min(MOST_USED))
}

fn weighted<'c, 'a>(choices: &'c [Choice<'a>], draw: f64) -> Option<&'c Choice<'a>> {
    let all: f64 = choices.iter().map(|choice| choice.room).sum();
    let mut left = draw * all;
    let found = choices.iter().find(|choice| {
        left -= choice.room;
        left < 0.0
    });
    found.or(choices.last())
}
