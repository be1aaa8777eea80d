//! Metrics of a gateway and of a keeper. Labels take a few fixed values, so
//! that their number does not grow with callers, servers or routes.

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::panics;

/// Bounds of the buckets of times, in seconds: from a cached lookup to the
/// longest timeout of a route.
const SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// What the gauge of an unread routing document shows.
const ROUTING_UNREAD: &str = "Whether the newest routing document cannot be read";

struct Maker {
    registry: Registry,
}

impl Maker {
    fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("limpetferry".into()), None)?;
        registry.register(Box::new(panics::counter()))?;
        Ok(Self { registry })
    }

    fn counters(&self, name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
        let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauges(&self, name: &str, help: &str, label: &str) -> prometheus::Result<IntGaugeVec> {
        let gauge = IntGaugeVec::new(Opts::new(name, help), &[label])?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn seconds(&self, name: &str, help: &str) -> prometheus::Result<Histogram> {
        let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
        let histogram = Histogram::with_opts(opts)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}

/// Metrics of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayMeters {
    /// All of them.
    pub registry: Registry,
    /// Callers' requests by status of the answer.
    pub requests: IntCounterVec,
    /// Time from a request to the end of its answer.
    pub request_time: Histogram,
    /// Time from a request to the first event of its stream.
    pub first_event: Histogram,
    /// Attempts at servers that gave no answer, by what is known of them.
    pub failures: IntCounterVec,
    /// Servers whose connection broke under a request, by what a new connection
    /// shows.
    pub probes: IntCounterVec,
    /// Requests that were not sent as servers had ended under them, by why.
    pub withheld: IntCounterVec,
    /// Requests under which servers ended lately.
    pub suspects: IntGauge,
    /// Those of them that are refused.
    pub refused_requests: IntGauge,
    /// Connections to servers by where they came from.
    pub connections: IntCounterVec,
    /// Streams that went on after their server broke off.
    pub resumed: IntCounter,
    /// Streams that callers resumed, by whether a server may continue them.
    pub caller_resumed: IntCounterVec,
    /// Servers in doubt that were asked which start they are, by what they told.
    pub start_checks: IntCounterVec,
    /// Streams whose origin was recorded again, because another version began them.
    pub origin_changed: IntCounter,
    /// Streams that were broken off.
    pub cut: IntCounter,
    /// Requests without a key that is in force.
    pub unidentified: IntCounter,
    /// Requests that their workspace's allowance did not hold, by what it had no
    /// room for.
    pub over_allowance: IntCounterVec,
    /// Programs that were not begun, by what was behind.
    pub not_begun: IntCounterVec,
    /// Share of programs that begin, in hundredths, at the service with the
    /// least.
    pub admitted: IntGauge,
    /// Tries at further servers that were left out for want of budget.
    pub not_retried: IntCounter,
    /// Requests that wait for a server with room.
    pub queued: IntGauge,
    /// Milliseconds that the oldest of them has been there.
    pub queue_oldest: IntGauge,
    /// Requests that waited in vain or found the queue full, by rank.
    pub queue_refused: IntCounterVec,
    /// Requests that were to be handed over to other gateways, by what became
    /// of them there.
    pub handed_over: IntCounterVec,
    /// Requests that other gateways handed over.
    pub taken_over: IntCounter,
    /// Time that the way to another gateway and back took.
    pub hop_time: Histogram,
    /// Version of the routing in force.
    pub routing: IntGauge,
    /// Whether the newest routing document cannot be read.
    pub routing_unread: IntGauge,
    /// Servers that take requests.
    pub servers: IntGauge,
    /// Entries that name no server.
    pub unread: IntGauge,
    /// Whether the process takes callers.
    pub ready: IntGauge,
    /// Milliseconds by which timers are late.
    pub lag: IntGauge,
    /// Milliseconds since the load of other gateways was asked for.
    pub load_age: IntGauge,
    /// Utilization of the service that is loaded most, in percent.
    pub utilization: IntGauge,
    /// Memory by part of the budget, in bytes.
    pub memory: IntGaugeVec,
    /// Times that a part of the memory was used up.
    pub memory_lacks: IntCounterVec,
}

impl GatewayMeters {
    /// Makes the metrics, all zero.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let make = Maker::new()?;
        Ok(Self {
            requests: make.counters("requests_total", "Requests by status", "status")?,
            request_time: make.seconds("request_seconds", "From a request to its answer's end")?,
            first_event: make
                .seconds("first_event_seconds", "From a request to the first event")?,
            failures: make.counters("attempt_failures_total", "Attempts without answer", "kind")?,
            probes: make.counters(
                "servers_probed_total",
                "Servers whose connection broke under a request",
                "result",
            )?,
            withheld: make.counters(
                "requests_withheld_total",
                "Requests not sent as servers ended under them",
                "why",
            )?,
            suspects: make.gauge("suspect_requests", "Requests under which servers ended")?,
            refused_requests: make.gauge(
                "refused_requests",
                "Requests refused as servers ended under them",
            )?,
            connections: make.counters("connections_total", "Connections used", "source")?,
            resumed: make.counter("streams_resumed_total", "Streams that went on")?,
            caller_resumed: make.counters(
                "streams_resumed_by_callers_total",
                "Streams that callers resumed",
                "origin",
            )?,
            start_checks: make.counters(
                "server_start_checks_total",
                "Servers in doubt that were asked which start they are",
                "result",
            )?,
            origin_changed: make.counter(
                "stream_origins_changed_total",
                "Streams that another version began than was expected",
            )?,
            cut: make.counter("streams_cut_total", "Streams that were broken off")?,
            unidentified: make.counter("unidentified_total", "Requests without a key in force")?,
            over_allowance: make.counters(
                "over_allowance_total",
                "Requests beyond their workspace's allowance",
                "shortage",
            )?,
            not_begun: make.counters(
                "programs_not_begun_total",
                "Programs that were refused at their first turn",
                "behind",
            )?,
            admitted: make.gauge(
                "programs_admitted_percent",
                "Share of programs that begin, at the service with the least",
            )?,
            not_retried: make.counter(
                "retries_left_out_total",
                "Tries at further servers beyond the retry budget",
            )?,
            queued: make.gauge("queued", "Requests that wait for a server with room")?,
            queue_oldest: make.gauge("queue_oldest_ms", "Age of the oldest that waits")?,
            queue_refused: make.counters(
                "queue_refused_total",
                "Requests that waited in vain or found the queue full",
                "rank",
            )?,
            handed_over: make.counters(
                "handed_over_total",
                "Requests handed over to other gateways",
                "outcome",
            )?,
            taken_over: make.counter("taken_over_total", "Requests from other gateways")?,
            hop_time: make.seconds("hop_seconds", "Way to another gateway and back")?,
            routing: make.gauge("routing_version", "Version of the routing in force")?,
            routing_unread: make.gauge("routing_unread", ROUTING_UNREAD)?,
            servers: make.gauge("servers_ready", "Servers that take requests")?,
            unread: make.gauge("server_entries_unread", "Entries that name no server")?,
            ready: make.gauge("ready", "Whether the process takes callers")?,
            lag: make.gauge("timer_lag_ms", "Lateness of timers")?,
            load_age: make.gauge("load_age_ms", "Age of what is known of load, -1: nothing")?,
            utilization: make.gauge(
                "utilization_percent",
                "Utilization of the service loaded most, -1: not known",
            )?,
            memory: make.gauges("memory_bytes", "Memory by part of the budget", "part")?,
            memory_lacks: make.counters(
                "memory_lacks_total",
                "Times that a part of the memory was used up",
                "part",
            )?,
            registry: make.registry,
        })
    }
}

/// Metrics of a keeper.
#[derive(Clone, Debug)]
pub struct KeeperMeters {
    /// All of them.
    pub registry: Registry,
    /// Questions by kind.
    pub questions: IntCounterVec,
    /// Turns held.
    pub turns: IntGauge,
    /// Turns that no server has taken yet.
    pub reserved: IntGauge,
    /// Reservations that neither a record nor a release ended in time.
    pub reservations_expired: IntCounter,
    /// Bytes of their texts.
    pub text_bytes: IntGauge,
    /// Bytes on disk.
    pub disk_bytes: IntGauge,
    /// Bytes of memory by part of the budget.
    pub memory: IntGaugeVec,
    /// Whether turns are refused for lack of room.
    pub full: IntGauge,
    /// Records that were refused for lack of room, by what was short.
    pub refused: IntCounterVec,
    /// Jobs that wait for the disk.
    pub disk_waiting: IntGauge,
    /// Whether everything that was ever acknowledged is here.
    pub whole: IntGauge,
    /// Epoch of the list of keepers.
    pub epoch: IntGauge,
    /// Whether the newest routing document cannot be read.
    pub routing_unread: IntGauge,
    /// Whether a call of its own watches the platform's store.
    pub watching: IntGauge,
    /// Whether it is to be emptied while too few others would remain.
    pub removal_blocked: IntGauge,
}

impl KeeperMeters {
    /// Makes the metrics, all zero.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let make = Maker::new()?;
        Ok(Self {
            questions: make.counters("questions_total", "Questions by kind", "kind")?,
            turns: make.gauge("turns", "Turns held")?,
            reserved: make.gauge("turns_reserved", "Turns that no server has taken yet")?,
            reservations_expired: make.counter(
                "reservations_expired_total",
                "Reservations of turns that were neither recorded nor released",
            )?,
            text_bytes: make.gauge("turn_text_bytes", "Bytes of the texts of turns")?,
            disk_bytes: make.gauge("disk_bytes", "Bytes on disk")?,
            memory: make.gauges("memory_bytes", "Memory by part of the budget", "part")?,
            full: make.gauge("full", "Whether turns are refused for lack of room")?,
            refused: make.counters(
                "records_refused_total",
                "Records refused for lack of room",
                "short",
            )?,
            disk_waiting: make.gauge("disk_jobs_waiting", "Jobs that wait for the disk")?,
            whole: make.gauge("whole", "Whether nothing acknowledged is missing here")?,
            epoch: make.gauge("keepers_epoch", "Epoch of the list of keepers")?,
            routing_unread: make.gauge("routing_unread", ROUTING_UNREAD)?,
            watching: make.gauge("store_watching", "Whether it watches the platform's store")?,
            removal_blocked: make.gauge(
                "removal_blocked",
                "Whether it is to be emptied while too few others would remain",
            )?,
            registry: make.registry,
        })
    }
}
