//! What all gateways reported of load, as one keeper knows it.
//!
//! Nothing of it is stored: a keeper that starts has the whole again after one
//! report of each gateway. The work for a report does not grow with the number
//! of gateways: sums are kept, and samples are sorted out as they come.

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
use crate::request_rates::Counts;
use crate::request_rates::RequestRates;
use crate::server::Load;
use crate::time::Time;

/// Most servers that one answer tells of.
pub const MAX_SAMPLES: usize = 64;
/// Most gateways that one answer tells of.
const MAX_GATEWAYS: usize = 8;
/// Gateways whose reports are kept.
const MAX_REPORTERS: usize = 4_096;
/// Services that are told apart.
const MAX_SERVICES: usize = 1_024;
/// Age at which a report no longer counts: the gateway is gone, and so are its
/// requests. One without requests reports twice within it.
const REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Age at which a sample is no longer told.
const SAMPLE_AGE: Duration = Duration::from_secs(1);
/// Time in which samples that come are sorted out together.
const SLICE: Duration = Duration::from_millis(100);
/// Time between looks for what has aged, and between rankings of gateways.
const TIDY_EVERY: Duration = Duration::from_millis(100);
/// Lateness from which on a gateway takes no requests of others: it counts as
/// having caught up below it.
const LATE_MS: u32 = 25;
/// Weight of the newest sample in a service's usual utilization.
const NEWEST: f64 = 0.05;
/// Utilization above which servers are loaded alike.
const MOST_UTILIZATION: f64 = 8.0;

/// Tells to which service servers belong.
pub trait ServerServices {
    /// Returns the service of a server; `None` if the server is not known.
    fn service(&self, start: ServerStart) -> Option<&Arc<str>>;
}

/// One service in a gateway's report.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    counts: Counts,
    queued: u32,
    rates: RequestRates,
}

#[derive(Clone, Debug)]
struct Reporter {
    boot: Boot,
    state: GatewayState,
    services: BTreeMap<Arc<str>, Used>,
    at: Time,
    /// Serial number of its latest report.
    serial: u64,
}

/// What all reporters have at a service.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    running: u64,
    queued: u64,
    rates: RequestRates,
    reporters: u32,
}

impl Total {
    fn add(&mut self, used: &Used) {
        self.running += u64::from(used.counts.running);
        self.queued += u64::from(used.queued);
        self.rates.add(&used.rates);
        self.reporters += 1;
    }

    fn subtract(&mut self, used: &Used) {
        self.running = self.running.saturating_sub(u64::from(used.counts.running));
        self.queued = self.queued.saturating_sub(u64::from(used.queued));
        self.rates.subtract(&used.rates);
        self.reporters = self.reporters.saturating_sub(1);
    }
}

#[derive(Clone, Debug)]
struct Sample {
    /// Serial number of the report that it came with.
    serial: u64,
    /// Gateway that reported it.
    by: Arc<str>,
    at: Time,
    sample: ServerSample,
    /// How far the server's utilization is from its service's usual one.
    deviation: f64,
}

impl Sample {
    fn age(&self, now: Time) -> Duration {
        now.since(self.at) + Duration::from_millis(u64::from(self.sample.age_ms))
    }
}

/// Samples that came at about the same time.
#[derive(Clone, Debug)]
struct Slice {
    since: Time,
    samples: Vec<Sample>,
}

impl Slice {
    fn push(&mut self, sample: Sample) {
        self.samples.push(sample);
        if self.samples.len() >= 2 * MAX_SAMPLES {
            keep_most_telling(&mut self.samples, |sample| sample.deviation);
        }
    }
}

/// Keeps the samples that deviate most.
fn keep_most_telling<T>(samples: &mut Vec<T>, deviation: impl Fn(&T) -> f64) {
    samples.sort_by(|a, b| deviation(b).total_cmp(&deviation(a)));
    samples.truncate(MAX_SAMPLES);
}

/// The latest report of each gateway, and what they sum up to.
#[derive(Clone, Debug, Default)]
pub struct LoadMap {
    serial: u64,
    reporters: HashMap<Arc<str>, Reporter>,
    totals: BTreeMap<Arc<str>, Total>,
    slices: VecDeque<Slice>,
    places: PlaceLog,
    /// Usual utilization of the servers of each service.
    usual: HashMap<Arc<str>, f64>,
    /// Gateways that take requests, those with most room first.
    roomy: Vec<GatewayState>,
    tidied: Time,
}

impl LoadMap {
    /// Takes a gateway's report, and returns what it lacks of those of others.
    pub fn take(
        &mut self,
        now: Time,
        asker: &ProcessStart,
        report: &LoadReport,
        servers: &dyn ServerServices,
    ) -> LoadSummary {
        self.tidy(now);
        self.serial += 1;
        let told = self.replace(now, asker, report);
        for sample in &report.servers {
            self.keep(now, &asker.node, sample, servers);
        }
        self.places.put(self.serial, &asker.node, &report.places);
        LoadSummary {
            reporters: self.reporters.len() as u32,
            gateways: self.roomiest(&asker.node, &report.gateway.centre),
            services: self.others(&asker.node),
            servers: self.samples(now, &asker.node, told),
            places: self.places.after(told, &asker.node),
        }
    }

    /// Puts a report in the place of the gateway's earlier one, and returns the
    /// serial number of that.
    fn replace(&mut self, now: Time, asker: &ProcessStart, report: &LoadReport) -> u64 {
        let earlier = self.reporters.remove(&asker.node);
        for (service, used) in earlier.iter().flat_map(|earlier| &earlier.services) {
            if let Some(total) = self.totals.get_mut(service) {
                total.subtract(used);
            }
        }
        let earlier = earlier.filter(|earlier| earlier.boot == asker.boot);
        let told = earlier.as_ref().map_or(0, |earlier| earlier.serial);
        if self.reporters.len() >= MAX_REPORTERS {
            return told;
        }
        let mut services = BTreeMap::new();
        for told in &report.services {
            let known = self.totals.len() < MAX_SERVICES || self.totals.contains_key(&told.service);
            if !known || services.contains_key(&told.service) {
                continue;
            }
            let used = use_after(now, earlier.as_ref(), told);
            self.totals
                .entry(told.service.clone())
                .or_default()
                .add(&used);
            services.insert(told.service.clone(), used);
        }
        let state = GatewayState {
            node: asker.node.clone(),
            ..report.gateway.clone()
        };
        let reporter = Reporter {
            boot: asker.boot,
            state,
            services,
            at: now,
            serial: self.serial,
        };
        self.reporters.insert(asker.node.clone(), reporter);
        told
    }

    fn keep(
        &mut self,
        now: Time,
        by: &Arc<str>,
        sample: &ServerSample,
        servers: &dyn ServerServices,
    ) {
        let age = Duration::from_millis(u64::from(sample.age_ms));
        let Some(service) = servers.service(sample.start).filter(|_| age < SAMPLE_AGE) else {
            return;
        };
        let utilization = utilization(&sample.load);
        let usual = self.usual.entry(service.clone()).or_insert(utilization);
        let deviation = (utilization - *usual).abs();
        *usual += (utilization - *usual) * NEWEST;
        let newest = self.slices.back();
        if newest.is_none_or(|slice| now.since(slice.since) >= SLICE) {
            let samples = Vec::new();
            self.slices.push_back(Slice {
                since: now,
                samples,
            });
        }
        if let Some(slice) = self.slices.back_mut() {
            slice.push(Sample {
                serial: self.serial,
                by: by.clone(),
                at: now,
                sample: *sample,
                deviation,
            });
        }
    }

    /// Returns the services, without what the asker reported.
    fn others(&self, asker: &str) -> Vec<ServiceLoad> {
        let own = self.reporters.get(asker);
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

    /// Returns the latest sample of each server that others reported after the
    /// report `told`.
    fn samples(&self, now: Time, asker: &str, told: u64) -> Vec<ServerSample> {
        let all = self.slices.iter().flat_map(|slice| &slice.samples);
        let news = all.filter(|sample| sample.serial > told && &*sample.by != asker);
        let mut latest: BTreeMap<ServerStart, &Sample> = BTreeMap::new();
        for sample in news.filter(|sample| sample.age(now) < SAMPLE_AGE) {
            let known = latest.entry(sample.sample.start).or_insert(sample);
            if sample.age(now) < known.age(now) {
                *known = sample;
            }
        }
        let mut samples: Vec<&Sample> = latest.into_values().collect();
        keep_most_telling(&mut samples, |sample| sample.deviation);
        let told = samples.into_iter().map(|sample| ServerSample {
            age_ms: sample.age(now).as_millis() as u32,
            ..sample.sample
        });
        told.collect()
    }

    /// Returns the gateways with most room, those of the asker's data centre
    /// first.
    fn roomiest(&self, asker: &str, centre: &str) -> Vec<GatewayState> {
        let others = || self.roomy.iter().filter(|state| &*state.node != asker);
        let near = others().filter(|state| &*state.centre == centre);
        let far = others().filter(|state| &*state.centre != centre);
        near.chain(far).take(MAX_GATEWAYS).cloned().collect()
    }

    fn tidy(&mut self, now: Time) {
        if now.since(self.tidied) < TIDY_EVERY {
            return;
        }
        self.tidied = now;
        self.reporters
            .retain(|_, reporter| now.since(reporter.at) < REPORT_AGE);
        self.slices
            .retain(|slice| now.since(slice.since) < SAMPLE_AGE + SLICE);
        self.totals.clear();
        for (service, used) in self.reporters.values().flat_map(|r| &r.services) {
            self.totals.entry(service.clone()).or_default().add(used);
        }
        self.usual
            .retain(|service, _| self.totals.contains_key(service));
        self.rank();
    }

    /// Ranks the gateways by requests per capacity.
    fn rank(&mut self) {
        let states = self.reporters.values().map(|reporter| &reporter.state);
        let open = states.filter(|state| takes_requests(state));
        let mut roomy: Vec<GatewayState> = open.cloned().collect();
        let count = roomy.len() as f64;
        let mean = |of: fn(&GatewayState) -> u32| {
            roomy.iter().map(|state| f64::from(of(state))).sum::<f64>() / count
        };
        let (link, cpu) = (mean(|state| state.link_mbps), mean(|state| state.cpu_milli));
        let load = |state: &GatewayState| {
            let links = f64::from(state.link_mbps) / link;
            let cores = f64::from(state.cpu_milli) / cpu;
            (f64::from(state.requests) + 1.0) / links.min(cores)
        };
        roomy.sort_by(|a, b| {
            load(a)
                .total_cmp(&load(b))
                .then_with(|| a.node.cmp(&b.node))
        });
        self.roomy = roomy;
    }
}

/// Returns whether a gateway has a use for requests of others.
fn takes_requests(state: &GatewayState) -> bool {
    let has_capacity = state.link_mbps > 0 && state.cpu_milli > 0;
    state.address.is_some() && has_capacity && state.late_ms < LATE_MS
}

/// Returns what a gateway has at a service by its new report.
fn use_after(now: Time, earlier: Option<&Reporter>, told: &ServiceUse) -> Used {
    let counts = Counts {
        running: told.running,
        ended: told.ended,
        shed: told.shed,
    };
    let before = earlier.and_then(|earlier| {
        let used = earlier.services.get(&told.service)?;
        Some(
            used.rates
                .next(&used.counts, &counts, now.since(earlier.at)),
        )
    });
    Used {
        counts,
        queued: told.queued,
        rates: before.unwrap_or_default(),
    }
}

fn utilization(load: &Load) -> f64 {
    let requests = f64::from(load.running) + f64::from(load.waiting);
    (requests / f64::from(load.slots.max(1))).min(MOST_UTILIZATION)
}

fn saturate(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
