//! Load of the services as one gateway knows it: from its own requests, and from
//! the keepers' answers about the requests of other gateways.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::load_report::GatewayState;
use crate::load_report::LoadSummary;
use crate::load_report::ServiceEstimate;
use crate::load_report::ServiceLoad;
use crate::load_report::ServiceLoads;
use crate::load_report::ServiceUse;
use crate::request_rates::RequestCounts;
use crate::request_rates::RequestRates;
use crate::time::Time;

/// Age from which on data about other gateways is ignored: a burst can begin or
/// end within it.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Mean age of the reports that an answer summarizes: half of the time between
/// two reports.
const MEAN_REPORT_AGE: Duration = Duration::from_millis(50);
/// Limit of the estimated growth of the requests of other gateways since the
/// answer, relative to these requests.
const MAX_GROWTH: f64 = 0.5;
/// If a keeper receives reports from less than this share of the gateways that
/// another keeper receives them from, it has just started or is cut off, and its
/// answers are ignored.
const MIN_REPORTER_SHARE: f64 = 0.75;

/// The requests of this process at one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnUse {
    /// Name of the service.
    pub service: Arc<str>,
    /// Number of requests that the service's servers run at once.
    pub slots: u32,
    /// Requests of this process.
    pub counts: RequestCounts,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnLoad {
    slots: u32,
    counts: RequestCounts,
    rates: RequestRates,
}

#[derive(Clone, Debug)]
struct Answer {
    /// When the request for the answer was sent.
    requested_at: Time,
    summary: LoadSummary,
}

/// Known load of the services.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimator {
    own: BTreeMap<Arc<str>, OwnLoad>,
    own_at: Time,
    queued: HashMap<Arc<str>, u32>,
    /// The latest answer of each keeper.
    answers: HashMap<Arc<str>, Answer>,
}

impl LoadEstimator {
    /// Updates the requests of this process at the services.
    pub fn set_own(&mut self, now: Time, uses: impl IntoIterator<Item = OwnUse>) {
        let gap = now.since(std::mem::replace(&mut self.own_at, now));
        let before = std::mem::take(&mut self.own);
        for OwnUse {
            service,
            slots,
            counts,
        } in uses
        {
            let earlier = before.get(&service);
            let rates = earlier.map(|own| own.rates.updated(&own.counts, &counts, gap));
            let rates = rates.unwrap_or_default();
            self.own.insert(
                service,
                OwnLoad {
                    slots,
                    counts,
                    rates,
                },
            );
        }
    }

    /// Updates how many requests for a service are queued in this process.
    pub fn set_queued(&mut self, service: &Arc<str>, count: u32) {
        if count == 0 {
            self.queued.remove(service);
        } else {
            self.queued.insert(service.clone(), count);
        }
    }

    /// Records that no requests are queued in this process.
    pub fn clear_queued(&mut self) {
        self.queued.clear();
    }

    /// Returns how many requests for a service are queued in this process.
    pub fn queued(&self, service: &str) -> u32 {
        self.queued.get(service).copied().unwrap_or(0)
    }

    /// Returns the services that this process reports: those that it has used since
    /// its start.
    pub fn uses(&self) -> Vec<ServiceUse> {
        let all = self.own.iter().map(|(service, own)| ServiceUse {
            service: service.clone(),
            running: own.counts.running,
            queued: self.queued(service),
            ended: own.counts.ended,
            shed: own.counts.shed,
        });
        let used = |reported: &ServiceUse| {
            let counts = [
                reported.running,
                reported.queued,
                reported.ended,
                reported.shed,
            ];
            counts.iter().any(|&count| count > 0)
        };
        all.filter(used).collect()
    }

    /// Returns the number of requests of this process, under way or queued.
    pub fn requests(&self) -> u32 {
        let running = self.own.values().map(|own| own.counts.running);
        let all = running.chain(self.queued.values().copied());
        all.fold(0, u32::saturating_add)
    }

    /// Applies a keeper's answer to the report that was sent at `requested_at`.
    pub fn apply_summary(&mut self, keeper: &Arc<str>, requested_at: Time, summary: LoadSummary) {
        let known = self.answers.get(keeper);
        if known.is_none_or(|known| known.requested_at <= requested_at) {
            self.answers
                .retain(|_, answer| requested_at.since(answer.requested_at) < MAX_AGE);
            let answer = Answer {
                requested_at,
                summary,
            };
            self.answers.insert(keeper.clone(), answer);
        }
    }

    /// Returns the latest answer of a keeper that receives reports from about as many
    /// gateways as the others; `None` if all answers are too old.
    fn latest(&self, now: Time) -> Option<&Answer> {
        let fresh = || {
            let answers = self.answers.values();
            answers.filter(|answer| now.since(answer.requested_at) < MAX_AGE)
        };
        let most = fresh().map(|answer| answer.summary.reporters).max()?;
        let least = f64::from(most) * MIN_REPORTER_SHARE;
        let complete = fresh().filter(|answer| f64::from(answer.summary.reporters) >= least);
        complete.max_by_key(|answer| (answer.requested_at, answer.summary.reporters))
    }

    /// Returns the age of the data about other gateways; `None` if it is too old.
    pub fn age(&self, now: Time) -> Option<Duration> {
        Some(now.since(self.latest(now)?.requested_at))
    }

    /// Returns how many gateways send reports, including this one.
    pub fn reporters(&self, now: Time) -> u32 {
        self.latest(now)
            .map_or(0, |answer| answer.summary.reporters)
    }

    /// Returns the other gateways that accept requests, those with most spare
    /// capacity first; none if the data about them is too old.
    pub fn gateways(&self, now: Time) -> Vec<GatewayState> {
        let latest = self.latest(now);
        latest.map_or_else(Vec::new, |answer| answer.summary.gateways.clone())
    }

    /// Returns the estimates of all services that have servers.
    pub fn estimates(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, ServiceEstimate)> {
        let services = self.own.keys();
        services.filter_map(move |service| Some((service, self.estimate(now, service)?)))
    }
}

impl ServiceLoads for LoadEstimator {
    fn estimate(&self, now: Time, service: &str) -> Option<ServiceEstimate> {
        let own = self.own.get(service)?;
        let answer = self.latest(now)?;
        let age = now.since(answer.requested_at);
        let mut services = answer.summary.services.iter();
        let others = services.find(|load| &*load.service == service);
        Some(ServiceEstimate {
            slots: f64::from(own.slots),
            running: f64::from(own.counts.running)
                + others.map_or(0.0, |load| extrapolated_running(load, age)),
            queued: f64::from(self.queued(service))
                + others.map_or(0.0, |load| f64::from(load.queued)),
            rate: own.rates.rate + others.map_or(0.0, |load| f64::from(load.rate)),
            age,
        })
    }
}

/// Extrapolates the requests of other gateways by their growth since the answer.
fn extrapolated_running(load: &ServiceLoad, age: Duration) -> f64 {
    let running = f64::from(load.running);
    let growth = f64::from(load.growth) * (age + MEAN_REPORT_AGE).as_secs_f64();
    let most = running * MAX_GROWTH;
    if !growth.is_finite() {
        return running;
    }
    running + growth.clamp(-most, most)
}
