//! One server as a candidate for a request: its load, caches and health as far
//! as this process knows them, and the cost of a request there.

use std::time::Duration;

use crate::cached::Cached;
use crate::call::Part;
use crate::criteria::Criteria;
use crate::criteria::ServerKey;
use crate::hash;
use crate::load_report::ServerSample;
use crate::other_load::OtherLoad;
use crate::outlier::Health;
use crate::own_history::OwnHistory;
use crate::pace::Pace;
use crate::pace::PaceContext;
use crate::server::Load;
use crate::server::Server;
use crate::server::ServerOutcome;
use crate::service_time::RequestConditions;
use crate::service_time::ServiceTime;
use crate::time::Time;

/// Share of a prompt's prefill time that delays each other request at the
/// server: engines interleave prefill with the decoding of running requests.
const PREFILL_INTERFERENCE: f64 = 0.5;
/// Cost of leaving the data centre, in ms: two ways of 1.4 ms each, and the
/// operator's cost of traffic and connections. Gateways that prefer the servers
/// of their own data centre hold a fifth of the connections, and a queue of one
/// request still sends callers elsewhere. With 60 gateways and 86 servers in
/// five data centres, this value gives a tenth to a quarter fewer new
/// connections, and a quarter to a half fewer bytes between data centres, than
/// the network time alone.
const FAR_MS: f64 = 15.0;
/// Cost of a new connection, in ms: a round trip of 2 ms before the request, a
/// connection slot at the server for 1 ms, and processor time at both ends.
const CONNECT_MS: f64 = 4.0;
/// Cost saved at a server that has handled the same object before, in ms.
const OBJECT_MS: f64 = 8.0;
/// Half-life of a reported load, which decays to the mean of the service. Turns
/// last about 0.6 s.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(300);
/// First pause after a broken connection; doubled for each consecutive one.
const BROKEN_PAUSE: Duration = Duration::from_millis(100);
/// Maximum such pause, and so the longest time to notice that a server is back.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);
/// Pause after a refusal for lack of capacity: some requests end within it.
const FULL_PAUSE: Duration = Duration::from_millis(40);

/// Averages over the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceStats<'a> {
    /// Learned durations.
    pub(crate) times: &'a ServiceTime,
    /// Load from other processes.
    pub(crate) others: OtherLoad,
}

/// A server with the state that this process keeps about it.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// The server's own description.
    pub(crate) server: Server,
    /// Requests of this process in flight there.
    own: u32,
    load: Load,
    /// Own requests in flight when the load was reported.
    own_at_load: u32,
    load_at: Option<Time>,
    /// When the server last reported its load to this or another process.
    last_report_at: Option<Time>,
    /// Whether the load was reported to another process.
    is_relayed: bool,
    history: OwnHistory,
    broken: u32,
    pause_until: Option<Time>,
    /// When it may accept requests again after a refusal for lack of capacity.
    full_until: Option<Time>,
    /// Set if the server's entry expired: when the server is removed.
    pub(crate) keep_until: Option<Time>,
    pub(crate) cached: Cached,
    health: Health,
    /// Whether it joined a service that already had load.
    joined: bool,
    pub(crate) pace: Pace,
}

impl Candidate {
    pub(crate) fn new(server: Server, joined: bool) -> Self {
        Self {
            server,
            joined,
            own: 0,
            load: Load::default(),
            own_at_load: 0,
            load_at: None,
            last_report_at: None,
            is_relayed: false,
            history: OwnHistory::default(),
            broken: 0,
            pause_until: None,
            full_until: None,
            keep_until: None,
            cached: Cached::default(),
            health: Health::default(),
            pace: Pace::default(),
        }
    }

    /// Returns the estimated requests of other processes there. A reported load
    /// decays to the mean of the service: with many gateways, each one receives
    /// a report from a given server only every few seconds, and a server without
    /// a recent report is not idle. A server that joined later and has not
    /// reported yet is assumed idle: other processes have no more reason to use
    /// it than this one.
    fn others(&self, now: Time, others: OtherLoad) -> f64 {
        let expected = others.expected(now, self.last_report_at);
        let Some(at) = self.load_at else {
            return if self.joined { 0.0 } else { expected };
        };
        let half_lives = now.since(at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        expected + (self.reported_others() - expected) * (-half_lives).exp2()
    }

    /// Returns the requests of other processes in the last reported load.
    fn reported_others(&self) -> f64 {
        other_requests(self.load, self.own_at_load)
    }

    /// Returns the conditions that a request would meet at this server.
    pub(crate) fn work(&self, now: Time, others: OtherLoad, parts: &[Part]) -> RequestConditions {
        RequestConditions {
            uncached: self.cached.uncached_tokens(parts),
            others: f64::from(self.own) + self.others(now, others),
            slots: f64::from(self.server.slots),
        }
    }

    /// Returns whether the server is ejected as an outlier.
    pub(crate) fn is_ejected(&self, now: Time, times: &ServiceTime) -> bool {
        self.health.is_ejected(now, self.own, times.answer())
    }

    /// Returns the time that work takes there relative to its peers.
    pub(crate) fn pace(&self, now: Time, context: &PaceContext<'_>) -> f64 {
        let baseline = context.baseline;
        let factor = self.pace.factor(now, baseline, &self.server.centre);
        let overdue = self
            .pace
            .overdue(now, baseline)
            .filter(|_| context.use_overdue);
        overdue.map_or(factor, |overdue| overdue.max(factor))
    }

    /// Returns the cost of a request there, in ms; `pace` is the time that work
    /// takes relative to a typical server.
    pub(crate) fn cost(
        &self,
        now: Time,
        key: ServerKey,
        stats: &ServiceStats<'_>,
        criteria: &Criteria<'_>,
        pace: f64,
    ) -> f64 {
        let times = stats.times;
        let work = self.work(now, stats.others, criteria.parts);
        let mut cost = if criteria.parts.is_empty() {
            times.plain_cost(&work)
        } else {
            times.stream_cost(&work)
                + PREFILL_INTERFERENCE * work.others * times.prefill_ms(work.uncached)
        };
        cost *= pace;
        if &*self.server.centre != criteria.centre {
            cost += FAR_MS;
        }
        let connected = criteria.idle_connections;
        if connected.is_some_and(|connected| !connected.has(key)) {
            cost += CONNECT_MS;
        }
        if criteria
            .object
            .is_some_and(|object| self.cached.contains(digest(object)))
        {
            cost -= OBJECT_MS;
        }
        cost
    }

    /// Returns whether it is paused after a recent failure.
    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.pause_until.is_some_and(|until| now < until)
    }

    /// Returns the number of requests of this process in flight there.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Returns whether it has not responded for longer than answers take;
    /// `mean_answer` is their mean time.
    pub(crate) fn is_silent(&self, now: Time, mean_answer: Duration) -> bool {
        self.health.is_silent(now, mean_answer)
    }

    /// Returns when it accepts requests again, judging by its refusals; `now` if
    /// it has not refused one recently.
    pub(crate) fn available_at(&self, now: Time) -> Time {
        self.full_until.map_or(now, |until| until.max(now))
    }

    /// Records that a request of this process is sent there, and returns the
    /// conditions it meets.
    pub(crate) fn begin(
        &mut self,
        now: Time,
        others: OtherLoad,
        criteria: &Criteria<'_>,
    ) -> RequestConditions {
        let work = self.work(now, others, criteria.parts);
        self.history.record(now, self.own);
        self.own += 1;
        self.health.record_sent(now);
        for part in criteria.parts {
            self.cached.add(now, *part);
        }
        if let Some(object) = criteria.object {
            let id = digest(object);
            self.cached.add(now, Part { id, tokens: 0 });
        }
        work
    }

    /// Records how a request of this process ended; `mean_answer` is the
    /// mean time of answers.
    pub(crate) fn end(&mut self, now: Time, outcome: ServerOutcome, mean_answer: Duration) {
        self.history.record(now, self.own);
        self.own = self.own.saturating_sub(1);
        match outcome {
            ServerOutcome::Answered => {
                self.broken = 0;
                self.pause_until = None;
                self.full_until = None;
                self.health.record_outcome(now, false);
            }
            ServerOutcome::Failed => self.health.record_outcome(now, true),
            ServerOutcome::Full => {
                self.pause_until = Some(now + FULL_PAUSE);
                self.full_until = self.pause_until;
            }
            ServerOutcome::Broken => {
                let pause = BROKEN_PAUSE * 2_u32.pow(self.broken.min(4));
                self.pause_until = Some(now + pause.min(MAX_PAUSE));
                self.broken += 1;
                self.health.record_outcome(now, true);
            }
            ServerOutcome::Replaced => self.pause_until = Some(now + MAX_PAUSE),
            // The caller disconnected or its deadline passed. This counts
            // against the server only if it has not responded for long.
            ServerOutcome::Abandoned if self.health.is_silent(now, mean_answer) => {
                self.health.record_silence(now);
            }
            ServerOutcome::Silent => self.health.record_silence(now),
            ServerOutcome::Abandoned => {}
        }
        if outcome != ServerOutcome::Abandoned || self.own == 0 {
            self.health.record_response();
        }
    }

    /// Applies a load that the server reported to this process, and returns the
    /// part of it that other processes cause.
    pub(crate) fn report(&mut self, now: Time, load: Load) -> f64 {
        self.load = load;
        self.pace.set_reported(now, load.pace);
        self.load_at = Some(now);
        self.last_report_at = Some(now);
        self.is_relayed = false;
        self.own_at_load = self.own;
        self.health.record_response();
        self.reported_others()
    }

    /// Returns the load that the server reported to this process after `since`,
    /// unless a later one is known from another process. A server that has not
    /// responded for longer than answers take (`mean_answer` on average) is reported
    /// as full, so that other processes do not assume that it is idle.
    pub(crate) fn sample(
        &self,
        since: Time,
        now: Time,
        mean_answer: Duration,
    ) -> Option<ServerSample> {
        if self.health.is_silent(now, mean_answer) {
            return Some(self.sample_as_full());
        }
        let at = self.load_at.filter(|&at| at > since && !self.is_relayed)?;
        Some(ServerSample {
            start: self.server.start(),
            load: self.load,
            age_ms: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
        })
    }

    fn sample_as_full(&self) -> ServerSample {
        let slots = self.server.slots;
        ServerSample {
            start: self.server.start(),
            load: Load {
                running: slots,
                waiting: slots,
                slots,
                pace: None,
            },
            age_ms: 0,
        }
    }

    /// Returns the shareable parts of a prompt that are not known to be cached
    /// there.
    pub(crate) fn uncached<'a>(&self, parts: &'a [Part]) -> impl Iterator<Item = &'a Part> {
        // The last part belongs to a single chain of turns.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().filter(|part| !self.cached.contains(part.id))
    }

    /// Applies a load that the server reported to another process at `at`, if it
    /// is newer than what is known, and returns the part of it that other
    /// processes than this one cause. Because all gateways receive such loads at
    /// once, only those above `mean` are applied: a lower one would make all of
    /// them choose the same server.
    pub(crate) fn apply_relayed_load(&mut self, at: Time, load: Load, mean: f64) -> Option<f64> {
        if self.last_report_at.is_some_and(|known| known >= at) {
            return None;
        }
        self.last_report_at = Some(at);
        self.pace.set_reported(at, load.pace);
        let own = self.history.count(at, self.own);
        let others = other_requests(load, own);
        if others > mean {
            self.load = load;
            self.load_at = Some(at);
            self.is_relayed = true;
            self.own_at_load = own;
        }
        Some(others)
    }
}

/// Returns the requests of a load that are not among a process's `own` ones.
fn other_requests(load: Load, own: u32) -> f64 {
    let all = f64::from(load.running) + f64::from(load.waiting);
    (all - f64::from(own)).max(0.0)
}

fn digest(text: &str) -> u64 {
    hash::fnv(text.bytes())
}
