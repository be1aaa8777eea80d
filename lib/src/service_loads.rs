//! How loaded services are, as one gateway knows it: by its own requests, and by
//! what keepers say of those of others.

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
use crate::request_rates::Counts;
use crate::request_rates::RequestRates;
use crate::time::Time;

/// Age at which nothing is decided any more by what others reported: a burst
/// has come or gone within it.
const OLDEST: Duration = Duration::from_secs(1);
/// Mean age of the reports that an answer sums up: half of the time between
/// two reports.
const SUMMED_AGE: Duration = Duration::from_millis(50);
/// Part of the requests of others by which their growth since the answer
/// counts at most.
const MOST_GROWTH: f64 = 0.5;
/// Part of the gateways that another keeper hears from below which a keeper has
/// just started or is cut off, and what it says does not count.
const FEWER: f64 = 0.75;

/// What this process has at a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnUse {
    /// The service.
    pub service: Arc<str>,
    /// Requests that its servers run at once.
    pub slots: u32,
    /// Requests of this process.
    pub counts: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Own {
    slots: u32,
    counts: Counts,
    rates: RequestRates,
}

#[derive(Clone, Debug)]
struct Answer {
    /// When it was asked for.
    asked: Time,
    summary: LoadSummary,
}

/// The loads of services.
#[derive(Clone, Debug, Default)]
pub struct KnownLoads {
    own: BTreeMap<Arc<str>, Own>,
    own_at: Time,
    queued: HashMap<Arc<str>, u32>,
    /// The latest answer of each keeper.
    answers: HashMap<Arc<str>, Answer>,
}

impl KnownLoads {
    /// Takes what this process has at services now.
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
            let rates = earlier.map(|own| own.rates.next(&own.counts, &counts, gap));
            let rates = rates.unwrap_or_default();
            self.own.insert(
                service,
                Own {
                    slots,
                    counts,
                    rates,
                },
            );
        }
    }

    /// Takes how many requests for a service wait in this process for room.
    pub fn set_queued(&mut self, service: &Arc<str>, count: u32) {
        if count == 0 {
            self.queued.remove(service);
        } else {
            self.queued.insert(service.clone(), count);
        }
    }

    /// Takes that no requests wait in this process for room.
    pub fn clear_queued(&mut self) {
        self.queued.clear();
    }

    /// Returns how many requests for a service wait in this process for room.
    pub fn queued(&self, service: &str) -> u32 {
        self.queued.get(service).copied().unwrap_or(0)
    }

    /// Returns what this process reports of services: those that it has used
    /// since its start.
    pub fn uses(&self) -> Vec<ServiceUse> {
        let all = self.own.iter().map(|(service, own)| ServiceUse {
            service: service.clone(),
            running: own.counts.running,
            queued: self.queued(service),
            ended: own.counts.ended,
            shed: own.counts.shed,
        });
        let used = |told: &ServiceUse| {
            let counts = [told.running, told.queued, told.ended, told.shed];
            counts.iter().any(|&count| count > 0)
        };
        all.filter(used).collect()
    }

    /// Returns the requests of this process that are under way or wait.
    pub fn requests(&self) -> u32 {
        let running = self.own.values().map(|own| own.counts.running);
        let all = running.chain(self.queued.values().copied());
        all.fold(0, u32::saturating_add)
    }

    /// Takes a keeper's answer to the report that went at `asked`.
    pub fn hear(&mut self, keeper: &Arc<str>, asked: Time, summary: LoadSummary) {
        let known = self.answers.get(keeper);
        if known.is_none_or(|known| known.asked <= asked) {
            self.answers
                .retain(|_, answer| asked.since(answer.asked) < OLDEST);
            let answer = Answer { asked, summary };
            self.answers.insert(keeper.clone(), answer);
        }
    }

    /// Returns the latest answer of a keeper that hears from as many gateways
    /// as others do; `None` if all are too old.
    fn latest(&self, now: Time) -> Option<&Answer> {
        let fresh = || {
            let answers = self.answers.values();
            answers.filter(|answer| now.since(answer.asked) < OLDEST)
        };
        let most = fresh().map(|answer| answer.summary.reporters).max()?;
        let least = f64::from(most) * FEWER;
        let whole = fresh().filter(|answer| f64::from(answer.summary.reporters) >= least);
        whole.max_by_key(|answer| (answer.asked, answer.summary.reporters))
    }

    /// Returns the age of what is known of other gateways; `None` if it is too
    /// old.
    pub fn age(&self, now: Time) -> Option<Duration> {
        Some(now.since(self.latest(now)?.asked))
    }

    /// Returns how many gateways report, this one included.
    pub fn reporters(&self, now: Time) -> u32 {
        self.latest(now)
            .map_or(0, |answer| answer.summary.reporters)
    }

    /// Returns the other gateways that take requests, those with most room
    /// first; none if what is known of them is too old.
    pub fn gateways(&self, now: Time) -> Vec<GatewayState> {
        let latest = self.latest(now);
        latest.map_or_else(Vec::new, |answer| answer.summary.gateways.clone())
    }

    /// Returns what is known of each service that has servers.
    pub fn estimates(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, ServiceEstimate)> {
        let services = self.own.keys();
        services.filter_map(move |service| Some((service, self.estimate(now, service)?)))
    }
}

impl ServiceLoads for KnownLoads {
    fn estimate(&self, now: Time, service: &str) -> Option<ServiceEstimate> {
        let own = self.own.get(service)?;
        let answer = self.latest(now)?;
        let age = now.since(answer.asked);
        let mut services = answer.summary.services.iter();
        let others = services.find(|load| &*load.service == service);
        Some(ServiceEstimate {
            slots: f64::from(own.slots),
            running: f64::from(own.counts.running) + others.map_or(0.0, |load| grown(load, age)),
            queued: f64::from(self.queued(service))
                + others.map_or(0.0, |load| f64::from(load.queued)),
            rate: own.rates.rate + others.map_or(0.0, |load| f64::from(load.rate)),
            age,
        })
    }
}

/// Returns the requests of others now, so long after they were asked for.
fn grown(load: &ServiceLoad, age: Duration) -> f64 {
    let running = f64::from(load.running);
    let growth = f64::from(load.growth) * (age + SUMMED_AGE).as_secs_f64();
    let most = running * MOST_GROWTH;
    if !growth.is_finite() {
        return running;
    }
    running + growth.clamp(-most, most)
}
