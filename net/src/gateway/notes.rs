//! What a gateway says of itself: lines of its log, and metrics.

use hyper::StatusCode;
use limpetferry_lib::allowance::Shortage;
use limpetferry_lib::allowance::UsageReply;
use limpetferry_lib::call::Call;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::request_ends::MAX_ENDS;
use limpetferry_lib::time::Time;
use limpetferry_lib::workspace::Workspace;
use prometheus::core::Collector as _;

use super::Gateway;
use crate::lease::Failure;
use crate::lease::Lease;
use crate::lease::SentTo;
use crate::log;
use crate::quarantine::Withheld;
use crate::refusal::Refusal;
use crate::relay::Job;

/// Looks for idle connections between two lines about queues.
const QUEUE_ROUNDS: u32 = 4;

impl Gateway {
    /// Writes a line.
    pub fn note(&self, note: LogEvent) {
        log::note(&self.node, &note);
    }

    fn waited(&self, start: Time) -> u128 {
        self.clock.now().since(start).as_millis()
    }

    /// Notes that a request got an answer of the system's own.
    pub fn refused(
        &self,
        attempt: Option<&str>,
        program: Option<&str>,
        resumes: Option<&str>,
        refusal: &Refusal,
        start: Time,
    ) {
        let after = refusal.after.map_or(0, |after| after.as_millis());
        let note = LogEvent::new("refused")
            .with("attempt", attempt.unwrap_or("none"))
            .with("program", program.unwrap_or("none"))
            .with("status", refusal.status.as_u16())
            .with("why", &refusal.why)
            .with("after_ms", after)
            .with("waited_ms", self.waited(start));
        self.note(note.with_some("resumes", resumes));
    }

    /// Notes that an allowance had no room for a request, by what the keeper in
    /// charge counted.
    pub fn over_allowance(
        &self,
        call: &Call,
        workspace: &Workspace,
        shortage: Shortage,
        counted: Option<&UsageReply>,
    ) {
        let allowance = workspace.allowance.as_ref();
        let limit = allowance.map_or(0, |allowance| self.allowances.limit(allowance));
        let note = LogEvent::new("over_allowance")
            .with("attempt", &call.attempt)
            .with("workspace", &workspace.name)
            .with("shortage", shortage.label())
            .with("limit", limit);
        self.note(match counted {
            Some(counted) => note.with("used", counted.used).with("begun", counted.begun),
            None => note.with("used", "as_last_asked"),
        });
    }

    /// Notes that an attempt at one server gave no answer.
    pub fn attempt_failed(&self, job: &Job, to: &SentTo, failure: &Failure) {
        self.meters
            .failures
            .with_label_values(&[failure.label()])
            .inc();
        if matches!(failure, Failure::Broken(_) | Failure::NotSent(_)) {
            self.doubts().lose_connection(self.clock.now(), to.key);
        }
        let note = LogEvent::new("attempt_failed")
            .with("attempt", &job.call.attempt)
            .with("server", &to.server)
            .with("version", &to.version)
            .with("why", format!("{failure:?}"));
        let request = failure.may_have_run().then(|| job.fingerprint());
        self.note(note.with_some("request", request));
    }

    /// Notes that a request is not sent to a server, as servers ended under it.
    pub fn withheld(&self, job: &Job, withheld: Withheld) {
        let label = withheld.label();
        self.meters.withheld.with_label_values(&[label]).inc();
        self.note(
            LogEvent::new("withheld")
                .with("attempt", &job.call.attempt)
                .with("route", &job.route.name)
                .with("request", job.fingerprint())
                .with("why", label),
        );
    }

    /// Shows how many requests servers ended under, and how many are refused.
    pub(super) fn show_suspects(&self) {
        let views = self.quarantine.views();
        let refused = views.iter().filter(|view| view.ends >= MAX_ENDS).count();
        self.meters.suspects.set(views.len() as i64);
        self.meters.refused_requests.set(refused as i64);
    }

    /// Notes that a server's answer went to the caller.
    pub fn answered(&self, job: &Job, lease: &Lease, status: StatusCode, events: u64) {
        let now = self.clock.now();
        let time = now.since(job.start);
        self.meters.request_time.observe(time.as_secs_f64());
        if status == StatusCode::OK
            && job.is_linked_turn()
            && let Some(mut overload) = self.overload()
        {
            overload.turn_ended(now, &job.service);
        }
        let note = self
            .about(LogEvent::new("answered"), job)
            .with("server", &lease.server)
            .with("version", &lease.origin.version)
            .with("status", status.as_u16())
            .with("events", events);
        self.note(note);
    }

    /// Notes that a stream continues at another server, or at the same one again,
    /// after the event `last_event`.
    pub fn stream_resumed(&self, job: &Job, lease: &Lease, last_event: Option<u64>) {
        self.meters.resumed.inc();
        self.note(
            LogEvent::new("stream_resumed")
                .with("attempt", &job.call.attempt)
                .with("server", &lease.server)
                .with("version", &lease.origin.version)
                .with("after_event", last_event.map_or(-1, |id| id as i64)),
        );
    }

    /// Notes that a stream was broken off.
    pub fn cut(&self, job: &Job, events: u64, why: &str) {
        self.meters.cut.inc();
        let note = self
            .about(LogEvent::new("cut"), job)
            .with("events", events)
            .with("why", why);
        self.note(note);
    }

    /// Adds what a line says of every request that was read.
    fn about(&self, note: LogEvent, job: &Job) -> LogEvent {
        let program = job.call.program.as_ref();
        let remains = program.and_then(|program| program.remaining);
        let note = note
            .with("attempt", &job.call.attempt)
            .with("program", program.map_or("none", |program| &*program.id))
            .with("route", &job.route.name)
            .with(
                "remains_ms",
                remains.map_or(-1, |remains| remains.as_millis() as i64),
            )
            .with("waited_ms", self.waited(job.start));
        let hop = job.hop.as_ref();
        job.steps
            .tell(note)
            .with_some("last_event", job.call.last_event)
            .with_some("resumes", job.call.resumes.as_ref())
            .with_some("taken_over", hop.map(|hop| &hop.from))
    }

    /// Notes the counts so far, for those who have only the log lines.
    pub(super) fn summarise(&self) {
        let mut sources = Vec::new();
        for family in self.meters.connections.collect() {
            for metric in family.get_metric() {
                let source = metric
                    .get_label()
                    .first()
                    .map(|label| label.value().to_owned());
                let count = metric.get_counter().get_value();
                sources.push(format!("{}:{count}", source.unwrap_or_default()));
            }
        }
        let note = LogEvent::new("summary").with("connections", sources.join(","));
        self.note(note.with("held_bytes", self.held.bytes()));
        let learned: Vec<LogEvent> = {
            let known = self.site.known();
            let all = known.fleet.service_times();
            all.map(|(service, times)| {
                let note = LogEvent::new("learned")
                    .with("service", service)
                    .with("times", times);
                match known.fleet.pace_summary(self.clock.now(), service) {
                    Some(paces) => note
                        .with("slow", paces.slow)
                        .with("slowest", format!("{:.2}", paces.largest)),
                    None => note,
                }
            })
            .collect()
        };
        learned.into_iter().for_each(|note| self.note(note));
        let loads = self.loads.notes(self.clock.now());
        loads.into_iter().for_each(|note| self.note(note));
    }

    /// Shows what is known of load; -1 is nothing.
    pub(super) fn show_load(&self) {
        let now = self.clock.now();
        let age = self.loads.age(now).map(|age| age.as_millis() as i64);
        self.meters.load_age.set(age.unwrap_or(-1));
        let share = self.loads.most_utilization(now);
        let percent = share.map(|share| (share * 100.0).round() as i64);
        self.meters.utilization.set(percent.unwrap_or(-1));
    }

    /// Notes the servers that turned slow beside their peers, or recovered.
    pub(super) fn note_paces(&self) {
        let changes = self.site.known().fleet.pace_changes();
        for change in changes {
            let event = if change.slow {
                "server_slow"
            } else {
                "server_recovered"
            };
            self.note(
                LogEvent::new(event)
                    .with("server", &change.server)
                    .with("factor", format!("{:.2}", change.factor))
                    .with("expected_ms", change.last.expected.round())
                    .with("observed_ms", change.last.observed.round()),
            );
        }
    }

    /// Shows what waits for servers, in the log too once in a while.
    pub(super) fn show_queues(&self, round: u32) {
        let states = self.dispatch.states();
        let length: usize = states.iter().map(|state| state.length).sum();
        let oldest = states.iter().map(|state| state.oldest).max();
        self.meters.queued.set(length as i64);
        let oldest = oldest.unwrap_or_default().as_millis();
        self.meters.queue_oldest.set(oldest as i64);
        if round.is_multiple_of(QUEUE_ROUNDS) {
            states.iter().for_each(|state| self.note(state.note()));
        }
    }
}
