//! How fast one server is beside the others of its service.
//!
//! [`ServiceTime`](crate::service_time::ServiceTime) says how long work takes at
//! a usual server. A [`Pace`] says how many times as long it takes at one
//! server: by its answers, by requests that wait there for longer than they
//! should, and by what the server says of the moment. All of it is kept as
//! logarithms, so that half as fast and twice as fast weigh alike.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::service_time::Span;
use crate::time::Time;

/// Time on the way and in timers that is none of the server's, in ms.
const WAY_MS: f64 = 4.0;
/// Most that one answer says beside those of the peers, as a factor: what part of
/// a prompt a server still has in memory is not always known.
const CLIP: f64 = 5.0;
/// Most that one answer says of all servers of a service, as a factor.
const LEVEL_CLIP: f64 = 3.0;
/// Weight of the newest answer in the level of a service.
const LEVEL_NEWEST: f64 = 0.2;
/// Answers of a kind from which on they tell servers apart: the first ones tell
/// more of the service's line.
const LEVEL_FIRST: u32 = 20;
/// Part of a server's evidence that is left after an answer.
const FORGET: f64 = 0.8;
/// Part of a data centre's evidence that is left after an answer there.
const CENTRE_FORGET: f64 = 0.9;
/// Answers that what is usual at a server's peers counts as.
const PRIOR: f64 = 1.0;
/// Usual difference between servers, as a factor: answers that scatter by more
/// than that count less.
const SPREAD: f64 = 1.5;
/// Weight of the newest answer in how much answers scatter.
const SCATTER_NEWEST: f64 = 0.02;
/// Time after which evidence counts half, so that a server that got no work
/// for being slow is tried again.
const RECALL: Duration = Duration::from_secs(2);
/// Age at which what a server says of the moment counts half.
const TOLD_AGE: Duration = Duration::from_millis(300);
/// Least that a server may say of the moment, as a factor: one that boasts does
/// not draw all work.
const LEAST_TOLD: f64 = 0.5;
/// Most that a server may say of the moment, as a factor.
const MOST_TOLD: f64 = 10.0;
/// Times its expected time from which a request without an answer is overdue.
const OVERDUE: f64 = 2.0;
/// Times its expected time from which a request is late: where requests of most
/// servers are, none of them is told from the others by overdue ones.
const LATE: f64 = 1.3;
/// Factor from which a server is noted as slow.
const SLOW: f64 = 2.0;
/// Factor below which a server that was slow is noted as recovered.
const RECOVERED: f64 = 1.4;
/// Least time between two notes on one server.
const NOTE_EVERY: Duration = Duration::from_secs(1);
/// What a server says of a moment at which nothing disturbs it.
const USUAL_PACE: u32 = 100;
/// Factor from which a server is counted as slow in summaries.
const COUNTED: f64 = 1.5;

new_key_type! {
    /// Names a request that waits for its answer at one server.
    pub struct WaitKey;
}

/// What a part of an answer took, and what it should have taken at a usual server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// The part.
    pub span: Span,
    /// Expected time, in ms.
    pub expected: f64,
    /// Observed time, in ms.
    pub observed: f64,
}

impl Sample {
    fn log(&self) -> f64 {
        let ratio = (self.observed.max(0.0) + WAY_MS) / (self.expected.max(0.0) + WAY_MS);
        ratio.ln()
    }
}

/// Mean of logarithms that forgets with answers and with time.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    sum: f64,
    weight: f64,
    at: Time,
}

impl Evidence {
    /// Returns the part of it that is left after the time since its last change.
    fn left(&self, now: Time) -> f64 {
        halved(now.since(self.at), RECALL)
    }

    fn add(&mut self, now: Time, log: f64, weight: f64, forget: f64) {
        let left = self.left(now) * forget;
        self.sum = self.sum * left + log * weight;
        self.weight = self.weight * left + weight;
        self.at = now;
    }

    /// Returns the mean, drawn towards `usual` by what is missing.
    fn mean(&self, now: Time, usual: f64) -> f64 {
        let left = self.left(now);
        (self.sum * left + usual * PRIOR) / (self.weight * left + PRIOR)
    }
}

/// How much longer all servers take than their service's line says.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    log: f64,
    count: u32,
    /// Mean square of what one answer misses its server's mean by.
    scatter: f64,
}

impl Level {
    fn learn(&mut self, log: f64, miss: f64) {
        self.count = self.count.saturating_add(1);
        let first = 1.0 / f64::from(self.count);
        self.log += log * LEVEL_NEWEST.max(first);
        self.scatter += (miss * miss - self.scatter) * SCATTER_NEWEST.max(first);
    }

    /// Returns how much an answer counts.
    fn weight(&self) -> f64 {
        let spread = SPREAD.ln();
        (spread * spread / self.scatter.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns whether enough is known of the line to tell servers apart.
    fn is_known(&self) -> bool {
        self.count > LEVEL_FIRST
    }
}

/// What the servers of a service have in common.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    first_event: Level,
    events: Level,
    whole: Level,
    centres: HashMap<Arc<str>, Evidence>,
    /// When the latest request was sent whose answer came.
    answered: Time,
    /// Whether any server said that work takes longer at a moment.
    disturbed: bool,
}

impl Peers {
    /// Takes how long work takes a server at a moment, in hundredths of its usual
    /// time.
    pub fn hear_moment(&mut self, pace: Option<u32>) {
        self.disturbed |= pace.is_some_and(|pace| pace > USUAL_PACE);
    }

    /// Returns whether work takes servers longer at some moments, as they say.
    pub fn are_disturbed(&self) -> bool {
        self.disturbed
    }

    fn level(&self, span: Span) -> &Level {
        match span {
            Span::FirstEvent => &self.first_event,
            Span::Events(_) => &self.events,
            Span::Whole => &self.whole,
        }
    }

    fn level_mut(&mut self, span: Span) -> &mut Level {
        match span {
            Span::FirstEvent => &mut self.first_event,
            Span::Events(_) => &mut self.events,
            Span::Whole => &mut self.whole,
        }
    }

    /// Learns from an answer that missed its server's mean by `miss`.
    fn learn(&mut self, now: Time, span: Span, centre: &Arc<str>, log: f64, miss: f64) {
        let clip = LEVEL_CLIP.ln();
        let log = log.clamp(-clip, clip);
        let level = self.level_mut(span);
        level.learn(log, miss.clamp(-clip, clip));
        if level.is_known() {
            let weight = level.weight();
            let evidence = self.centres.entry(centre.clone()).or_default();
            evidence.add(now, log, weight, CENTRE_FORGET);
        }
    }

    /// Notes that the answer to a request came.
    pub fn note_answer(&mut self, sent: Time) {
        self.answered = self.answered.max(sent);
    }

    /// Returns what is usual at the servers of a data centre.
    fn usual(&self, now: Time, centre: &str) -> f64 {
        let evidence = self.centres.get(centre);
        evidence.map_or(0.0, |evidence| evidence.mean(now, 0.0))
    }
}

/// What a server said of the moment.
#[derive(Clone, Copy, Debug)]
struct Told {
    log: f64,
    at: Time,
}

/// What the servers of a service are measured by.
#[derive(Clone, Copy, Debug)]
pub struct Measure<'a> {
    /// What they have in common.
    pub peers: &'a Peers,
    /// Whether overdue requests tell servers apart: where those of most servers
    /// are, it is not the servers.
    pub waits: bool,
}

/// A request that waits for the first part of its answer.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// When it was sent.
    pub sent: Time,
    /// The part.
    pub span: Span,
    /// Expected time of the wait at a usual server, in ms.
    pub expected: f64,
}

impl Wait {
    /// Returns how long it waits by now.
    pub fn sample(&self, now: Time) -> Sample {
        Sample {
            span: self.span,
            expected: self.expected,
            observed: now.since(self.sent).as_secs_f64() * 1_000.0,
        }
    }
}

/// A server that is slow beside its peers, or no longer.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// Id of the server.
    pub server: Arc<str>,
    /// Whether it is slow now.
    pub slow: bool,
    /// How many times as long as its peers it takes.
    pub factor: f64,
    /// The last time that says so.
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
    /// Counts a server.
    pub fn count(&mut self, factor: f64) {
        self.slow += usize::from(factor > COUNTED);
        self.largest = self.largest.max(factor);
    }
}

/// How fast one start of a server is beside the others of its service.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    own: Evidence,
    told: Option<Told>,
    waits: SlotMap<WaitKey, Wait>,
    /// The last time that was learned from, and what it said.
    last: Sample,
    last_log: f64,
    slow: bool,
    /// When it was last noted as slow or recovered.
    noted: Option<Time>,
}

impl Pace {
    /// Takes how long work took there at a time, in hundredths of its usual time,
    /// if the server said so and has said nothing since.
    pub fn tell(&mut self, at: Time, pace: Option<u32>) {
        let newer = self.told.is_none_or(|told| told.at <= at);
        if let Some(pace) = pace.filter(|_| newer) {
            let factor = f64::from(pace) / 100.0;
            let log = factor.clamp(LEAST_TOLD, MOST_TOLD).ln();
            self.told = Some(Told { log, at });
        }
    }

    /// Returns how many times as long as usual work takes there at the moment,
    /// as the server says.
    pub fn moment(&self, now: Time) -> f64 {
        self.moment_log(now).exp()
    }

    fn moment_log(&self, now: Time) -> f64 {
        self.told
            .map_or(0.0, |told| told.log * halved(now.since(told.at), TOLD_AGE))
    }

    /// Notes that a request waits for the first part of its answer.
    pub fn begin_wait(&mut self, wait: Wait) -> WaitKey {
        self.waits.insert(wait)
    }

    /// Notes that a request waits no longer.
    pub fn end_wait(&mut self, key: WaitKey) -> Option<Wait> {
        self.waits.remove(key)
    }

    /// Learns from an answer of the server in a data centre.
    pub fn observe(&mut self, now: Time, sample: Sample, peers: &mut Peers, centre: &Arc<str>) {
        let log = self.excess(now, peers, &sample);
        let miss = log - self.log(now, peers, centre);
        peers.learn(now, sample.span, centre, log, miss);
        let level = peers.level(sample.span);
        if level.is_known() {
            self.own.add(now, log, level.weight(), FORGET);
            self.last = sample;
            self.last_log = log;
        }
    }

    /// Learns from a request that ended without an answer: the answer would have
    /// taken at least as long.
    pub fn observe_least(
        &mut self,
        now: Time,
        sample: Sample,
        peers: &mut Peers,
        centre: &Arc<str>,
    ) {
        let log = self.excess(now, peers, &sample);
        if log > OVERDUE.ln().max(self.log(now, peers, centre)) {
            self.observe(now, sample, peers, centre);
        }
    }

    /// Returns how many times as long as at its peers work takes there, by its
    /// answers.
    pub fn factor(&self, now: Time, peers: &Peers, centre: &str) -> f64 {
        self.log(now, peers, centre).exp()
    }

    fn log(&self, now: Time, peers: &Peers, centre: &str) -> f64 {
        self.own.mean(now, peers.usual(now, centre))
    }

    /// Returns how many times as long as they should the overdue requests wait,
    /// if most of those that wait are overdue: a single one that hangs among
    /// others says little of the server. A request counts once one that was sent
    /// later has its answer; before that, all servers may be slow alike.
    pub fn overdue(&self, now: Time, peers: &Peers) -> Option<f64> {
        let counts = |wait: &&Wait| wait.sent < peers.answered && peers.level(wait.span).is_known();
        let logs = self.waits.values().filter(counts);
        let logs = logs.map(|wait| self.excess(now, peers, &wait.sample(now)));
        let (mut count, mut sum) = (0_usize, 0.0);
        for log in logs.filter(|&log| log > OVERDUE.ln()) {
            count += 1;
            sum += log;
        }
        (count * 2 > self.waits.len()).then(|| (sum / count as f64).exp())
    }

    /// Returns whether most of the requests that wait are late.
    pub fn is_late(&self, now: Time, peers: &Peers) -> bool {
        let logs = self.waits.values();
        let logs = logs.map(|wait| self.excess(now, peers, &wait.sample(now)));
        logs.filter(|&log| log > LATE.ln()).count() * 2 > self.waits.len()
    }

    /// Returns how much longer something took than at a usual server in the state
    /// that this one says it is in.
    fn excess(&self, now: Time, peers: &Peers, sample: &Sample) -> f64 {
        let log = sample.log() - peers.level(sample.span).log - self.moment_log(now);
        log.clamp(-CLIP.ln(), CLIP.ln())
    }

    /// Returns whether it is slow, by its answers, if that changed since it was last
    /// noted. Time alone makes evidence fade, but only an answer tells that the
    /// server has recovered.
    fn change(&mut self, now: Time, factor: f64) -> Option<bool> {
        let bound = if self.slow { RECOVERED } else { SLOW };
        let slow = factor > bound;
        let recovered = !slow && self.last_log < RECOVERED.ln();
        let soon = self.noted.is_some_and(|at| now.since(at) < NOTE_EVERY);
        if slow == self.slow || soon || !slow && !recovered {
            return None;
        }
        self.slow = slow;
        self.noted = Some(now);
        Some(slow)
    }

    /// Returns that the server of that id turned slow or recovered, if it did.
    pub fn note(
        &mut self,
        now: Time,
        peers: &Peers,
        server: &Arc<str>,
        centre: &str,
    ) -> Option<PaceChange> {
        let factor = self.factor(now, peers, centre);
        let slow = self.change(now, factor)?;
        Some(PaceChange {
            server: server.clone(),
            slow,
            factor,
            last: self.last,
        })
    }
}

/// Returns what is left of one after `age`, where half of it is left after `half`.
fn halved(age: Duration, half: Duration) -> f64 {
    (-age.as_secs_f64() / half.as_secs_f64()).exp2()
}
