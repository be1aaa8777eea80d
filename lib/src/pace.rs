//! Speed of a server relative to the others of its service.
//!
//! [`ServiceTime`](crate::service_time::ServiceTime) estimates how long work
//! takes at a typical server. A [`Pace`] is the factor by which it takes longer
//! at one server. It is derived from the server's answers, from requests that
//! have waited there for longer than expected, and from the current pace that
//! the server reports. Factors are kept as logarithms, so that half as fast and
//! twice as fast have the same weight.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::service_time::Span;
use crate::time::Time;

/// Time in the network and in timers, which the server does not cause, in ms.
const OVERHEAD_MS: f64 = 4.0;
/// Maximum effect of one answer relative to those of the peers, as a factor: how
/// much of a prompt a server still has cached is not always known.
const CLIP: f64 = 5.0;
/// Maximum effect of one answer on the estimates for the whole service, as a
/// factor.
const BIAS_CLIP: f64 = 3.0;
/// Weight of the newest answer in a service's bias.
const BIAS_WEIGHT: f64 = 0.2;
/// Answers of a kind after which they are used to compare servers: the first
/// ones mostly correct the service's own estimate.
const MIN_ANSWERS: u32 = 20;
/// Factor by which each answer reduces the weight of a server's earlier ones.
const DECAY: f64 = 0.8;
/// Factor by which each answer in a data centre reduces the weight of the
/// earlier ones there.
const CENTRE_DECAY: f64 = 0.9;
/// Weight of the peers' mean in a server's mean, in answers.
const PRIOR_WEIGHT: f64 = 1.0;
/// Typical difference between servers, as a factor: answers that vary by more
/// than that have less weight.
const SPREAD: f64 = 1.5;
/// Weight of the newest answer in the variance of answers.
const VARIANCE_WEIGHT: f64 = 0.02;
/// Half-life of a server's evidence, so that a server that got no work because
/// it was slow is tried again.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Half-life of the pace that a server reports.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);
/// Minimum factor that a server may report: one that claims to be very fast must
/// not attract all work.
const MIN_REPORTED: f64 = 0.5;
/// Maximum factor that a server may report.
const MAX_REPORTED: f64 = 10.0;
/// Multiple of its expected time after which an unanswered request is overdue.
const OVERDUE: f64 = 2.0;
/// Multiple of its expected time after which a request is late. If most servers
/// have late requests, overdue requests are not used to compare servers.
const LATE: f64 = 1.3;
/// Factor above which a server is logged as slow.
const SLOW: f64 = 2.0;
/// Factor below which a slow server is logged as recovered.
const RECOVERED: f64 = 1.4;
/// Minimum time between two log entries about one server.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Pace that a server reports while nothing disturbs it.
const UNDISTURBED_PACE: u32 = 100;
/// Factor above which a server counts as slow in summaries.
const SUMMARY_SLOW: f64 = 1.5;

new_key_type! {
    /// Identifies a request that waits for its answer at one server.
    pub struct WaitKey;
}

/// The time that a part of an answer took, and the time expected at a typical
/// server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// The measured part.
    pub span: Span,
    /// Expected time, in ms.
    pub expected: f64,
    /// Observed time, in ms.
    pub observed: f64,
}

impl Sample {
    fn log(&self) -> f64 {
        let ratio = (self.observed.max(0.0) + OVERHEAD_MS) / (self.expected.max(0.0) + OVERHEAD_MS);
        ratio.ln()
    }
}

/// Mean of logarithms whose weights decay with each answer and with time.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    sum: f64,
    weight: f64,
    at: Time,
}

impl Evidence {
    /// Returns the share of the weight that is left since the last change.
    fn remaining(&self, now: Time) -> f64 {
        decayed(now.since(self.at), EVIDENCE_HALF_LIFE)
    }

    fn add(&mut self, now: Time, log: f64, weight: f64, decay: f64) {
        let remaining = self.remaining(now) * decay;
        self.sum = self.sum * remaining + log * weight;
        self.weight = self.weight * remaining + weight;
        self.at = now;
    }

    /// Returns the mean, with `prior` added at a constant weight.
    fn mean(&self, now: Time, prior: f64) -> f64 {
        let remaining = self.remaining(now);
        (self.sum * remaining + prior * PRIOR_WEIGHT) / (self.weight * remaining + PRIOR_WEIGHT)
    }
}

/// By how much all servers exceed the estimate of their service.
#[derive(Clone, Copy, Debug, Default)]
struct Bias {
    log: f64,
    count: u32,
    /// Mean square difference between an answer and its server's mean.
    variance: f64,
}

impl Bias {
    fn learn(&mut self, log: f64, residual: f64) {
        self.count = self.count.saturating_add(1);
        let first = 1.0 / f64::from(self.count);
        self.log += log * BIAS_WEIGHT.max(first);
        self.variance += (residual * residual - self.variance) * VARIANCE_WEIGHT.max(first);
    }

    /// Returns the weight of an answer.
    fn weight(&self) -> f64 {
        let spread = SPREAD.ln();
        (spread * spread / self.variance.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns whether enough is known of the bias to compare servers.
    fn is_known(&self) -> bool {
        self.count > MIN_ANSWERS
    }
}

/// What the servers of a service are compared with.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    first_event: Bias,
    events: Bias,
    whole: Bias,
    centres: HashMap<Arc<str>, Evidence>,
    /// When the latest request was sent that was answered.
    answered: Time,
    /// Whether any server has reported that its work takes longer at times.
    interference: bool,
}

impl Baseline {
    /// Applies the current pace that a server reported, in hundredths of its
    /// usual time.
    pub fn observe_reported(&mut self, pace: Option<u32>) {
        self.interference |= pace.is_some_and(|pace| pace > UNDISTURBED_PACE);
    }

    /// Returns whether servers report that their work takes longer at times.
    pub fn interference_reported(&self) -> bool {
        self.interference
    }

    fn bias(&self, span: Span) -> &Bias {
        match span {
            Span::FirstEvent => &self.first_event,
            Span::Events(_) => &self.events,
            Span::Whole => &self.whole,
        }
    }

    fn bias_mut(&mut self, span: Span) -> &mut Bias {
        match span {
            Span::FirstEvent => &mut self.first_event,
            Span::Events(_) => &mut self.events,
            Span::Whole => &mut self.whole,
        }
    }

    /// Updates the estimates with an answer that differs from its server's mean
    /// by `residual`.
    fn learn(&mut self, now: Time, span: Span, centre: &Arc<str>, log: f64, residual: f64) {
        let clip = BIAS_CLIP.ln();
        let log = log.clamp(-clip, clip);
        let bias = self.bias_mut(span);
        bias.learn(log, residual.clamp(-clip, clip));
        if bias.is_known() {
            let weight = bias.weight();
            let evidence = self.centres.entry(centre.clone()).or_default();
            evidence.add(now, log, weight, CENTRE_DECAY);
        }
    }

    /// Records that a request that was sent at `sent` was answered.
    pub fn record_answer(&mut self, sent: Time) {
        self.answered = self.answered.max(sent);
    }

    /// Returns the mean of the servers in a data centre.
    fn centre_mean(&self, now: Time, centre: &str) -> f64 {
        let evidence = self.centres.get(centre);
        evidence.map_or(0.0, |evidence| evidence.mean(now, 0.0))
    }
}

/// The current pace that a server reported.
#[derive(Clone, Copy, Debug)]
struct Reported {
    log: f64,
    at: Time,
}

/// What a server's pace is compared with.
#[derive(Clone, Copy, Debug)]
pub struct PaceContext<'a> {
    /// Estimates for all servers of the service.
    pub baseline: &'a Baseline,
    /// Whether overdue requests are used to compare servers. They are not if
    /// most servers have late ones, since the cause is then not the server.
    pub use_overdue: bool,
}

/// A request that waits for the first part of its answer.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// When it was sent.
    pub sent: Time,
    /// The part that it waits for.
    pub span: Span,
    /// Expected time of the wait at a typical server, in ms.
    pub expected: f64,
}

impl Wait {
    /// Returns the wait until `now` as a sample.
    pub fn sample(&self, now: Time) -> Sample {
        Sample {
            span: self.span,
            expected: self.expected,
            observed: now.since(self.sent).as_secs_f64() * 1_000.0,
        }
    }
}

/// A server that became slow relative to its peers, or recovered.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// Id of the server.
    pub server: Arc<str>,
    /// Whether it is slow now.
    pub slow: bool,
    /// Time that work takes there relative to its peers.
    pub factor: f64,
    /// The latest sample that led to the change.
    pub last: Sample,
}

/// How many servers of a service are slow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceSummary {
    /// Servers that are slow.
    pub slow: usize,
    /// Largest factor.
    pub largest: f64,
}

impl PaceSummary {
    /// Adds a server to the summary.
    pub fn count(&mut self, factor: f64) {
        self.slow += usize::from(factor > SUMMARY_SLOW);
        self.largest = self.largest.max(factor);
    }
}

/// Speed of one start of a server relative to the others of its service.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    own: Evidence,
    reported: Option<Reported>,
    waits: SlotMap<WaitKey, Wait>,
    /// The latest sample learned from, and its logarithm relative to the peers.
    last: Sample,
    last_log: f64,
    slow: bool,
    /// When the server was last logged as slow or recovered.
    logged_at: Option<Time>,
}

impl Pace {
    /// Applies the pace that the server reported at `at`, in hundredths of its
    /// usual time, unless a later one is known.
    pub fn set_reported(&mut self, at: Time, pace: Option<u32>) {
        let newer = self.reported.is_none_or(|reported| reported.at <= at);
        if let Some(pace) = pace.filter(|_| newer) {
            let factor = f64::from(pace) / 100.0;
            let log = factor.clamp(MIN_REPORTED, MAX_REPORTED).ln();
            self.reported = Some(Reported { log, at });
        }
    }

    /// Returns the factor by which work takes longer at present, as reported by
    /// the server.
    pub fn reported_factor(&self, now: Time) -> f64 {
        self.reported_log(now).exp()
    }

    fn reported_log(&self, now: Time) -> f64 {
        self.reported.map_or(0.0, |report| {
            report.log * decayed(now.since(report.at), REPORT_HALF_LIFE)
        })
    }

    /// Records that a request waits for the first part of its answer.
    pub fn begin_wait(&mut self, wait: Wait) -> WaitKey {
        self.waits.insert(wait)
    }

    /// Records that a request waits no longer.
    pub fn end_wait(&mut self, key: WaitKey) -> Option<Wait> {
        self.waits.remove(key)
    }

    /// Updates the estimates with an answer of the server, which is in `centre`.
    pub fn observe(
        &mut self,
        now: Time,
        sample: Sample,
        baseline: &mut Baseline,
        centre: &Arc<str>,
    ) {
        let log = self.excess(now, baseline, &sample);
        let residual = log - self.log(now, baseline, centre);
        baseline.learn(now, sample.span, centre, log, residual);
        let bias = baseline.bias(sample.span);
        if bias.is_known() {
            self.own.add(now, log, bias.weight(), DECAY);
            self.last = sample;
            self.last_log = log;
        }
    }

    /// Updates the estimates with a request that ended without an answer, which
    /// would have taken at least as long.
    pub fn observe_minimum(
        &mut self,
        now: Time,
        sample: Sample,
        baseline: &mut Baseline,
        centre: &Arc<str>,
    ) {
        let log = self.excess(now, baseline, &sample);
        if log > OVERDUE.ln().max(self.log(now, baseline, centre)) {
            self.observe(now, sample, baseline, centre);
        }
    }

    /// Returns the factor by which work takes longer there than at its peers, as
    /// learned from its answers.
    pub fn factor(&self, now: Time, baseline: &Baseline, centre: &str) -> f64 {
        self.log(now, baseline, centre).exp()
    }

    fn log(&self, now: Time, baseline: &Baseline, centre: &str) -> f64 {
        self.own.mean(now, baseline.centre_mean(now, centre))
    }

    /// Returns the mean factor by which overdue requests exceed their expected
    /// time, if most of the waiting requests are overdue: a single one that hangs
    /// is weak evidence. A request counts only once one that was sent
    /// later has been answered; until then all servers may be equally slow.
    pub fn overdue(&self, now: Time, baseline: &Baseline) -> Option<f64> {
        let counts =
            |wait: &&Wait| wait.sent < baseline.answered && baseline.bias(wait.span).is_known();
        let logs = self.waits.values().filter(counts);
        let logs = logs.map(|wait| self.excess(now, baseline, &wait.sample(now)));
        let (mut count, mut sum) = (0_usize, 0.0);
        for log in logs.filter(|&log| log > OVERDUE.ln()) {
            count += 1;
            sum += log;
        }
        (count * 2 > self.waits.len()).then(|| (sum / count as f64).exp())
    }

    /// Returns whether most of the waiting requests are late.
    pub fn is_late(&self, now: Time, baseline: &Baseline) -> bool {
        let logs = self.waits.values();
        let logs = logs.map(|wait| self.excess(now, baseline, &wait.sample(now)));
        logs.filter(|&log| log > LATE.ln()).count() * 2 > self.waits.len()
    }

    /// Returns the logarithm of the factor by which a sample exceeds the time of
    /// a typical server with the pace that this one reports.
    fn excess(&self, now: Time, baseline: &Baseline, sample: &Sample) -> f64 {
        let log = sample.log() - baseline.bias(sample.span).log - self.reported_log(now);
        log.clamp(-CLIP.ln(), CLIP.ln())
    }

    /// Returns whether the server is slow, judging by its answers, if that
    /// changed since it was last logged. Evidence decays with time alone, but
    /// recovery is only logged once an answer shows it.
    fn slow_transition(&mut self, now: Time, factor: f64) -> Option<bool> {
        let bound = if self.slow { RECOVERED } else { SLOW };
        let slow = factor > bound;
        let recovered = !slow && self.last_log < RECOVERED.ln();
        let soon = self
            .logged_at
            .is_some_and(|at| now.since(at) < MIN_LOG_INTERVAL);
        if slow == self.slow || soon || !slow && !recovered {
            return None;
        }
        self.slow = slow;
        self.logged_at = Some(now);
        Some(slow)
    }

    /// Returns the change if the server became slow or recovered.
    pub fn slow_change(
        &mut self,
        now: Time,
        baseline: &Baseline,
        server: &Arc<str>,
        centre: &str,
    ) -> Option<PaceChange> {
        let factor = self.factor(now, baseline, centre);
        let slow = self.slow_transition(now, factor)?;
        Some(PaceChange {
            server: server.clone(),
            slow,
            factor,
            last: self.last,
        })
    }
}

/// Returns the share that is left after `age` of a weight with this half-life.
fn decayed(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
