//! The load that all gateways reported, as one keeper sees it.
//!
//! The load map is not stored: after a start, a keeper has it complete once each
//! gateway has sent a report. The work for a report does not grow with the number
//! of gateways: sums are updated incrementally, and samples are filtered as they
//! arrive.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::allowance::ProcessStart;
use crate::id::Boot;
use crate::load_report::GatewayState;
use crate::load_report::LoadReport;
use crate::load_report::LoadSummary;
use crate::load_report::ServerSample;
use crate::load_report::ServerStart;
use crate::load_report::ServiceLoad;
use crate::load_report::ServiceUse;
use crate::place_log::PlaceLog;
use crate::request_rates::RequestCounts;
use crate::request_rates::RequestRates;
use crate::server::Load;
use crate::time::Time;

/// Largest number of servers in one answer.
pub const MAX_SAMPLES: usize = 64;
/// Largest number of gateways in one answer.
const MAX_GATEWAYS: usize = 8;
/// Largest number of gateways whose reports are kept.
const MAX_REPORTERS: usize = 4_096;
/// Largest number of services that are tracked.
const MAX_SERVICES: usize = 1_024;
/// Age from which on a report is ignored: the gateway has stopped, and its
/// requests have ended. A gateway without requests reports twice within this time.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Age from which on a sample is ignored.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);
/// Period over which incoming samples are filtered together.
const BATCH_SPAN: Duration = Duration::from_millis(100);
/// Time between removals of old data, and between rankings of the gateways.
const EXPIRE_EVERY: Duration = Duration::from_millis(100);
/// Lateness from which on a gateway is not offered requests of other gateways;
/// below it, a gateway counts as having caught up with its work.
const MAX_LATE_MS: u32 = 25;
/// Weight of the newest sample in the mean utilization of a service's servers.
const EWMA_WEIGHT: f64 = 0.05;
/// Utilization above which servers count as equally loaded.
const MAX_UTILIZATION: f64 = 8.0;

/// Maps servers to services.
pub trait ServiceOfServer {
    /// Returns the service of a server; `None` if the server is not known.
    fn service_of(&self, start: ServerStart) -> Option<&Arc<str>>;
}

/// A gateway's use of one service, by its latest report.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedUse {
    counts: RequestCounts,
    queued: u32,
    rates: RequestRates,
}

#[derive(Clone, Debug)]
struct Reporter {
    boot: Boot,
    state: GatewayState,
    services: BTreeMap<Arc<str>, ReportedUse>,
    at: Time,
    /// Serial number of the gateway's latest report.
    serial: u64,
}

/// Sum over all reporting gateways for one service.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    running: u64,
    queued: u64,
    rates: RequestRates,
    reporters: u32,
}

impl Total {
    fn add(&mut self, used: &ReportedUse) {
        self.running += u64::from(used.counts.running);
        self.queued += u64::from(used.queued);
        self.rates.add(&used.rates);
        self.reporters += 1;
    }

    fn subtract(&mut self, used: &ReportedUse) {
        self.running = self.running.saturating_sub(u64::from(used.counts.running));
        self.queued = self.queued.saturating_sub(u64::from(used.queued));
        self.rates.subtract(&used.rates);
        self.reporters = self.reporters.saturating_sub(1);
    }
}

#[derive(Clone, Debug)]
struct Sample {
    /// Serial number of the report that contained the sample.
    serial: u64,
    /// Gateway that reported the sample.
    by: Arc<str>,
    at: Time,
    sample: ServerSample,
    /// Difference between the server's utilization and the mean of its service.
    deviation: f64,
}

impl Sample {
    fn age(&self, now: Time) -> Duration {
        now.since(self.at) + Duration::from_millis(u64::from(self.sample.age_ms))
    }
}

/// Samples that arrived at about the same time.
#[derive(Clone, Debug)]
struct Batch {
    since: Time,
    samples: Vec<Sample>,
}

impl Batch {
    fn push(&mut self, sample: Sample) {
        self.samples.push(sample);
        if self.samples.len() >= 2 * MAX_SAMPLES {
            keep_most_deviating(&mut self.samples, |sample| sample.deviation);
        }
    }
}

/// Keeps the samples that deviate most.
fn keep_most_deviating<T>(samples: &mut Vec<T>, deviation: impl Fn(&T) -> f64) {
    samples.sort_by(|a, b| deviation(b).total_cmp(&deviation(a)));
    samples.truncate(MAX_SAMPLES);
}

/// The latest report of each gateway, and the sums of these reports.
#[derive(Clone, Debug, Default)]
pub struct LoadMap {
    serial: u64,
    reporters: HashMap<Arc<str>, Reporter>,
    totals: BTreeMap<Arc<str>, Total>,
    batches: VecDeque<Batch>,
    places: PlaceLog,
    /// Mean utilization of the servers of each service.
    mean_utilization: HashMap<Arc<str>, f64>,
    /// Gateways that accept requests, those with most spare capacity first.
    available: Vec<GatewayState>,
    expired_at: Time,
}

impl LoadMap {
    /// Applies a gateway's report, and returns what other gateways reported since
    /// its previous one.
    pub fn apply_report(
        &mut self,
        now: Time,
        sender: &ProcessStart,
        report: &LoadReport,
        servers: &dyn ServiceOfServer,
    ) -> LoadSummary {
        self.expire(now);
        self.serial += 1;
        let last_serial = self.replace(now, sender, report);
        for sample in &report.servers {
            self.add_sample(now, &sender.node, sample, servers);
        }
        self.places.add(self.serial, &sender.node, &report.places);
        LoadSummary {
            reporters: self.reporters.len() as u32,
            gateways: self.most_available(&sender.node, &report.gateway.centre),
            services: self.other_loads(&sender.node),
            servers: self.newer_samples(now, &sender.node, last_serial),
            places: self.places.newer(last_serial, &sender.node),
        }
    }

    /// Replaces the gateway's previous report, and returns the serial number of that
    /// report; zero if the gateway has restarted since.
    fn replace(&mut self, now: Time, sender: &ProcessStart, report: &LoadReport) -> u64 {
        let earlier = self.reporters.remove(&sender.node);
        for (service, used) in earlier.iter().flat_map(|earlier| &earlier.services) {
            if let Some(total) = self.totals.get_mut(service) {
                total.subtract(used);
            }
        }
        let earlier = earlier.filter(|earlier| earlier.boot == sender.boot);
        let last_serial = earlier.as_ref().map_or(0, |earlier| earlier.serial);
        if self.reporters.len() >= MAX_REPORTERS {
            return last_serial;
        }
        let mut services = BTreeMap::new();
        for reported in &report.services {
            let known =
                self.totals.len() < MAX_SERVICES || self.totals.contains_key(&reported.service);
            if !known || services.contains_key(&reported.service) {
                continue;
            }
            let used = updated_use(now, earlier.as_ref(), reported);
            self.totals
                .entry(reported.service.clone())
                .or_default()
                .add(&used);
            services.insert(reported.service.clone(), used);
        }
        let state = GatewayState {
            node: sender.node.clone(),
            ..report.gateway.clone()
        };
        let reporter = Reporter {
            boot: sender.boot,
            state,
            services,
            at: now,
            serial: self.serial,
        };
        self.reporters.insert(sender.node.clone(), reporter);
        last_serial
    }

    fn add_sample(
        &mut self,
        now: Time,
        by: &Arc<str>,
        sample: &ServerSample,
        servers: &dyn ServiceOfServer,
    ) {
        let age = Duration::from_millis(u64::from(sample.age_ms));
        let Some(service) = servers
            .service_of(sample.start)
            .filter(|_| age < MAX_SAMPLE_AGE)
        else {
            return;
        };
        let utilization = utilization(&sample.load);
        let mean_utilization = self
            .mean_utilization
            .entry(service.clone())
            .or_insert(utilization);
        let deviation = (utilization - *mean_utilization).abs();
        *mean_utilization += (utilization - *mean_utilization) * EWMA_WEIGHT;
        let newest = self.batches.back();
        if newest.is_none_or(|batch| now.since(batch.since) >= BATCH_SPAN) {
            let samples = Vec::new();
            self.batches.push_back(Batch {
                since: now,
                samples,
            });
        }
        if let Some(batch) = self.batches.back_mut() {
            batch.push(Sample {
                serial: self.serial,
                by: by.clone(),
                at: now,
                sample: *sample,
                deviation,
            });
        }
    }

    /// Returns the load of each service, excluding the sender's own.
    fn other_loads(&self, sender: &str) -> Vec<ServiceLoad> {
        let own = self.reporters.get(sender);
        let loads = self.totals.iter().filter_map(|(service, total)| {
            let mut total = *total;
            if let Some(used) = own.and_then(|own| own.services.get(service)) {
                total.subtract(used);
            }
            (total.reporters > 0).then(|| ServiceLoad {
                service: service.clone(),
                running: saturate(total.running),
                queued: saturate(total.queued),
                rate: total.rates.rate.max(0.0) as f32,
                shed_rate: total.rates.shed_rate.max(0.0) as f32,
                growth: total.rates.growth as f32,
            })
        });
        loads.collect()
    }

    /// Returns the latest sample of each server that other gateways reported after
    /// the report `last_serial`.
    fn newer_samples(&self, now: Time, sender: &str, last_serial: u64) -> Vec<ServerSample> {
        let all = self.batches.iter().flat_map(|batch| &batch.samples);
        let newer = all.filter(|sample| sample.serial > last_serial && &*sample.by != sender);
        let mut latest: BTreeMap<ServerStart, &Sample> = BTreeMap::new();
        for sample in newer.filter(|sample| sample.age(now) < MAX_SAMPLE_AGE) {
            let known = latest.entry(sample.sample.start).or_insert(sample);
            if sample.age(now) < known.age(now) {
                *known = sample;
            }
        }
        let mut samples: Vec<&Sample> = latest.into_values().collect();
        keep_most_deviating(&mut samples, |sample| sample.deviation);
        let aged = samples.into_iter().map(|sample| ServerSample {
            age_ms: sample.age(now).as_millis() as u32,
            ..sample.sample
        });
        aged.collect()
    }

    /// Returns the other gateways with most spare capacity, those of the sender's
    /// data centre first.
    fn most_available(&self, sender: &str, centre: &str) -> Vec<GatewayState> {
        let others = || self.available.iter().filter(|state| &*state.node != sender);
        let near = others().filter(|state| &*state.centre == centre);
        let far = others().filter(|state| &*state.centre != centre);
        near.chain(far).take(MAX_GATEWAYS).cloned().collect()
    }

    fn expire(&mut self, now: Time) {
        if now.since(self.expired_at) < EXPIRE_EVERY {
            return;
        }
        self.expired_at = now;
        self.reporters
            .retain(|_, reporter| now.since(reporter.at) < MAX_REPORT_AGE);
        self.batches
            .retain(|batch| now.since(batch.since) < MAX_SAMPLE_AGE + BATCH_SPAN);
        self.totals.clear();
        for (service, used) in self.reporters.values().flat_map(|r| &r.services) {
            self.totals.entry(service.clone()).or_default().add(used);
        }
        self.mean_utilization
            .retain(|service, _| self.totals.contains_key(service));
        self.rank_gateways();
    }

    /// Ranks the gateways by their requests relative to their capacity.
    fn rank_gateways(&mut self) {
        let states = self.reporters.values().map(|reporter| &reporter.state);
        let open = states.filter(|state| takes_requests(state));
        let mut available: Vec<GatewayState> = open.cloned().collect();
        let count = available.len() as f64;
        let mean = |of: fn(&GatewayState) -> u32| {
            available
                .iter()
                .map(|state| f64::from(of(state)))
                .sum::<f64>()
                / count
        };
        let (link, cpu) = (mean(|state| state.link_mbps), mean(|state| state.cpu_milli));
        let load = |state: &GatewayState| {
            let links = f64::from(state.link_mbps) / link;
            let cores = f64::from(state.cpu_milli) / cpu;
            (f64::from(state.requests) + 1.0) / links.min(cores)
        };
        available.sort_by(|a, b| {
            load(a)
                .total_cmp(&load(b))
                .then_with(|| a.node.cmp(&b.node))
        });
        self.available = available;
    }
}

/// Returns whether a gateway can serve requests of other gateways.
fn takes_requests(state: &GatewayState) -> bool {
    let has_capacity = state.link_mbps > 0 && state.cpu_milli > 0;
    state.address.is_some() && has_capacity && state.late_ms < MAX_LATE_MS
}

/// Returns a gateway's use of a service after a new report.
fn updated_use(now: Time, earlier: Option<&Reporter>, reported: &ServiceUse) -> ReportedUse {
    let counts = RequestCounts {
        running: reported.running,
        ended: reported.ended,
        shed: reported.shed,
    };
    let rates = earlier.and_then(|earlier| {
        let used = earlier.services.get(&reported.service)?;
        Some(
            used.rates
                .updated(&used.counts, &counts, now.since(earlier.at)),
        )
    });
    ReportedUse {
        counts,
        queued: reported.queued,
        rates: rates.unwrap_or_default(),
    }
}

fn utilization(load: &Load) -> f64 {
    let requests = f64::from(load.running) + f64::from(load.waiting);
    (requests / f64::from(load.slots.max(1))).min(MAX_UTILIZATION)
}

fn saturate(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
