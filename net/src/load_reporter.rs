//! Tells keepers what a gateway has under way, and hears from them what others
//! have. No request waits for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::keeper_protocol::KeeperReply;
use limpetferry_lib::keeper_protocol::KeeperRequest;
use limpetferry_lib::load_report::GatewayState;
use limpetferry_lib::load_report::LoadReport;
use limpetferry_lib::report_schedule::KeeperRole;
use limpetferry_lib::report_schedule::ReportSchedule;
use limpetferry_lib::time::Time;

use crate::clock::Clock;
use crate::gateway_settings::GatewaySettings;
use crate::load_reports::LoadReports;
use crate::log;
use crate::replicas::HeardSender;
use crate::replicas::Replicas;
use crate::site::Site;
use crate::timeout::within;

/// Name by which the keepers in charge of load are chosen.
const LOAD: &str = "load";
/// Time between looks whether a report is due.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Shares of it that it varies between, so that gateways that started together
/// do not report together.
const JITTER: std::ops::Range<f64> = 0.7..1.3;
/// Longest wait for an answer: a later one is no longer used.
const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Age of the oldest samples that are reported; keepers take no older ones.
const SAMPLE_AGE: Duration = Duration::from_secs(1);

/// Returns what a gateway's settings say of it; one without a capacity has no
/// room for requests of others.
pub fn settled_state(settings: &GatewaySettings) -> GatewayState {
    let capacity = settings.capacity;
    GatewayState {
        node: settings.common.node.as_str().into(),
        centre: settings.common.centre.as_str().into(),
        address: None,
        link_mbps: capacity.map_or(0, |capacity| capacity.link_mbps.round() as u32),
        cpu_milli: capacity.map_or(0, |capacity| (capacity.cpu_share * 1_000.0).round() as u32),
        late_ms: 0,
        requests: 0,
    }
}

/// Reports the load of a gateway for as long as it runs.
pub struct LoadReporter {
    loads: Arc<LoadReports>,
    site: Arc<Site>,
    replicas: Arc<Replicas>,
    clock: Clock,
    /// What its settings say of the gateway.
    settled: GatewayState,
    /// The keepers that hear from it, and when they did last.
    times: HashMap<Arc<str>, ReportSchedule>,
    is_known: bool,
}

impl LoadReporter {
    /// Makes the reporter of a gateway; `settled` is what its settings say of it.
    pub fn new(
        loads: Arc<LoadReports>,
        site: Arc<Site>,
        replicas: Arc<Replicas>,
        clock: Clock,
        settled: GatewayState,
    ) -> Self {
        Self {
            loads,
            site,
            replicas,
            clock,
            settled,
            times: HashMap::new(),
            is_known: false,
        }
    }

    /// Reports for as long as the process runs.
    pub async fn follow(mut self) {
        loop {
            self.look();
            smol::Timer::after(LOOK_EVERY.mul_f64(rand::random_range(JITTER))).await;
        }
    }

    fn look(&mut self) {
        let now = self.clock.now();
        let uses: Vec<_> = self.site.known().fleet.own_uses().collect();
        self.loads.set_own(now, uses);
        self.note_change(now);
        let keepers = self.keepers();
        self.times.retain(|node, _| keepers.contains(node));
        let busy = self.loads.is_busy();
        let reporters = self.loads.reporters(now);
        for (keeper, duty) in keepers
            .iter()
            .zip([KeeperRole::Primary, KeeperRole::Standby])
        {
            let times = self.times.entry(keeper.clone()).or_default();
            if times.is_due(now, duty, busy, reporters) {
                let since = times.last();
                times.record(now, busy);
                self.report(now, keeper, since);
            }
        }
    }

    /// Returns the keepers in charge of load, of those within reach.
    fn keepers(&self) -> Vec<Arc<str>> {
        let listed = self.site.known().keepers.clone();
        let order = listed.ranked_for(LOAD).into_iter();
        let order = order.filter(|keeper| self.replicas.takes_load(&keeper.node));
        order.take(2).map(|keeper| keeper.node.clone()).collect()
    }

    fn report(&self, now: Time, keeper: &Arc<str>, since: Option<Time>) {
        let since = since.unwrap_or_default().max(now.before(SAMPLE_AGE));
        let known = self.site.known();
        let report = LoadReport {
            gateway: self.loads.state(&self.settled),
            services: self.loads.uses(),
            servers: known.fleet.samples(since, now),
            places: known.fleet.new_places(since),
        };
        drop(known);
        let (sender, heard) = async_channel::bounded(1);
        if self.ask(keeper, report, &sender) {
            let (loads, site) = (self.loads.clone(), self.site.clone());
            smol::spawn(async move {
                let Some(Ok(heard)) = within(ANSWER_WAIT, heard.recv()).await else {
                    return;
                };
                if let Some(KeeperReply::Loads(summary)) = heard.reply {
                    let mut known = site.known();
                    known.fleet.apply_peer_loads(now, &summary.servers);
                    known.fleet.apply_peer_places(now, &summary.places);
                    drop(known);
                    loads.apply_summary(&heard.node, now, summary);
                }
            })
            .detach();
        }
    }

    fn ask(&self, keeper: &str, report: LoadReport, sender: &HeardSender) -> bool {
        self.replicas
            .ask(keeper, KeeperRequest::Load(report), sender)
    }

    /// Notes that the load of others is known from now on, or no longer.
    fn note_change(&mut self, now: Time) {
        let is_known = self.loads.age(now).is_some();
        if std::mem::replace(&mut self.is_known, is_known) == is_known {
            return;
        }
        let note = LogEvent::new(if is_known {
            "load_known"
        } else {
            "load_unknown"
        });
        let mut keepers: Vec<&str> = self.times.keys().map(|node| &**node).collect();
        keepers.sort_unstable();
        let note = note
            .with("keepers", keepers.join(","))
            .with("gateways", self.loads.reporters(now));
        log::note(&self.settled.node, &note);
    }
}
