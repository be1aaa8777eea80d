//! One server as a place for the next request: what is known of its load, its
//! memory and its answers, and what a request would cost there.

use std::time::Duration;

use crate::cached::Cached;
use crate::call::Part;
use crate::hash;
use crate::load_report::ServerSample;
use crate::others::Others;
use crate::outlier::Health;
use crate::own_history::OwnHistory;
use crate::pace::Measure;
use crate::pace::Pace;
use crate::server::Load;
use crate::server::Outcome;
use crate::server::Server;
use crate::service_time::ServiceTime;
use crate::service_time::Work;
use crate::time::Time;
use crate::wish::ServerKey;
use crate::wish::Wish;

/// Part of a prompt's reading that each request at the server waits for: an
/// engine reads between the tokens of all that run.
const READ_HARM: f64 = 0.5;
/// Cost of leaving the data centre, in ms: two ways of 1.4 ms, and what the
/// operator pays for bytes and connections. Gateways that keep to the servers of
/// their data centre have a fifth of the connections; a queue of one request
/// still sends callers elsewhere. With 60 gateways and 86 servers in five data
/// centres: a tenth to a quarter fewer new connections, a quarter to a half fewer bytes
/// between data centres than with the two ways alone.
const FAR_MS: f64 = 15.0;
/// Cost of a new connection, in ms: a round trip of 2 ms before the request,
/// a place at the server for 1 ms, and work at both ends.
const CONNECT_MS: f64 = 4.0;
/// Gain of a server that handled the object before, in ms.
const OBJECT_MS: f64 = 8.0;
/// Age at which a reported load has lost half of its weight against the mean of
/// the service: turns last some 0.6 s.
const LOAD_AGE: Duration = Duration::from_millis(300);
/// First pause after a broken connection; doubled for each one in a row.
const BROKEN_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause: a server that is back is found within this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// Pause after a refusal for lack of room: some requests end within it.
const FULL_PAUSE: Duration = Duration::from_millis(40);

/// What is usual at the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usual<'a> {
    /// How long they take.
    pub(crate) times: &'a ServiceTime,
    /// Requests of other processes there.
    pub(crate) others: Others,
}

/// One server.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// How it describes itself.
    pub(crate) server: Server,
    /// Requests of this process that are under way there.
    own: u32,
    load: Load,
    /// Own requests under way when the load was reported.
    own_then: u32,
    load_at: Option<Time>,
    /// When it was last heard from, by this process or another one.
    heard_at: Option<Time>,
    /// Whether the load was reported to another process.
    by_others: bool,
    history: OwnHistory,
    broken: u32,
    pause_until: Option<Time>,
    /// When it may have room again after it refused for lack of it.
    full_until: Option<Time>,
    /// The entry is gone, and the server is to be kept until then only.
    pub(crate) lapsed: Option<Time>,
    pub(crate) cached: Cached,
    health: Health,
    /// Whether it came to a service that was in use already.
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
            own_then: 0,
            load_at: None,
            heard_at: None,
            by_others: false,
            history: OwnHistory::default(),
            broken: 0,
            pause_until: None,
            full_until: None,
            lapsed: None,
            cached: Cached::default(),
            health: Health::default(),
            pace: Pace::default(),
        }
    }

    /// Returns the requests of other processes there. What was reported gives
    /// way to the mean of the service with time: before many gateways each one
    /// hears of a server every few seconds, and one that it has not heard of is
    /// not idle. One that joined is: the others have no more reason to go there
    /// than this process had.
    fn others(&self, now: Time, others: Others) -> f64 {
        let usual = others.usual(now, self.heard_at);
        let Some(at) = self.load_at else {
            return if self.joined { 0.0 } else { usual };
        };
        let halves = now.since(at).as_secs_f64() / LOAD_AGE.as_secs_f64();
        usual + (self.reported() - usual) * (-halves).exp2()
    }

    /// Returns the requests of other processes that were last reported.
    fn reported(&self) -> f64 {
        other_requests(self.load, self.own_then)
    }

    /// Returns what a request would meet at this server.
    pub(crate) fn work(&self, now: Time, others: Others, parts: &[Part]) -> Work {
        Work {
            cold: self.cached.cold(parts),
            others: f64::from(self.own) + self.others(now, others),
            slots: f64::from(self.server.slots),
        }
    }

    /// Returns whether it is an outlier among the servers of its service.
    pub(crate) fn is_out(&self, now: Time, times: &ServiceTime) -> bool {
        self.health.is_out(now, self.own, times.answer())
    }

    /// Returns how many times as long as at its peers work takes there.
    pub(crate) fn pace(&self, now: Time, measure: &Measure<'_>) -> f64 {
        let peers = measure.peers;
        let factor = self.pace.factor(now, peers, &self.server.centre);
        let overdue = self.pace.overdue(now, peers).filter(|_| measure.waits);
        overdue.map_or(factor, |overdue| overdue.max(factor))
    }

    /// Returns what a request would cost there, in ms, where work takes `pace`
    /// times as long as at a usual server.
    pub(crate) fn cost(
        &self,
        now: Time,
        key: ServerKey,
        usual: &Usual<'_>,
        wish: &Wish<'_>,
        pace: f64,
    ) -> f64 {
        let times = usual.times;
        let work = self.work(now, usual.others, wish.parts);
        let mut cost = if wish.parts.is_empty() {
            times.plain_cost(&work)
        } else {
            times.stream_cost(&work) + READ_HARM * work.others * times.read(work.cold)
        };
        cost *= pace;
        if &*self.server.centre != wish.centre {
            cost += FAR_MS;
        }
        let connected = wish.connected;
        if connected.is_some_and(|connected| !connected.has(key)) {
            cost += CONNECT_MS;
        }
        if wish
            .object
            .is_some_and(|object| self.cached.has(digest(object)))
        {
            cost -= OBJECT_MS;
        }
        cost
    }

    /// Returns whether it just failed.
    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.pause_until.is_some_and(|until| now < until)
    }

    /// Returns how many requests of this process are under way there.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Returns whether it has been silent for longer than answers take, which is
    /// `usual` on the mean.
    pub(crate) fn is_silent(&self, now: Time, usual: Duration) -> bool {
        self.health.is_silent(now, usual)
    }

    /// Returns when it has room again as far as its refusals tell; now, if it
    /// refused nothing lately.
    pub(crate) fn opens(&self, now: Time) -> Time {
        self.full_until.map_or(now, |until| until.max(now))
    }

    /// Notes that a request of this process goes there, and returns what it
    /// meets.
    pub(crate) fn begin(&mut self, now: Time, others: Others, wish: &Wish<'_>) -> Work {
        let work = self.work(now, others, wish.parts);
        self.history.note(now, self.own);
        self.own += 1;
        self.health.sent(now);
        for part in wish.parts {
            self.cached.add(now, *part);
        }
        if let Some(object) = wish.object {
            let id = digest(object);
            self.cached.add(now, Part { id, tokens: 0 });
        }
        work
    }

    /// Notes how a request of this process ended, where answers take `usual` on
    /// the mean.
    pub(crate) fn end(&mut self, now: Time, outcome: Outcome, usual: Duration) {
        self.history.note(now, self.own);
        self.own = self.own.saturating_sub(1);
        match outcome {
            Outcome::Answered => {
                self.broken = 0;
                self.pause_until = None;
                self.full_until = None;
                self.health.observe(now, false);
            }
            Outcome::Failed => self.health.observe(now, true),
            Outcome::Full => {
                self.pause_until = Some(now + FULL_PAUSE);
                self.full_until = self.pause_until;
            }
            Outcome::Broken => {
                let pause = BROKEN_PAUSE * 2_u32.pow(self.broken.min(4));
                self.pause_until = Some(now + pause.min(LONGEST_PAUSE));
                self.broken += 1;
                self.health.observe(now, true);
            }
            Outcome::Replaced => self.pause_until = Some(now + LONGEST_PAUSE),
            // The caller left, or its time was over: it says something of the
            // server only if nothing came from there for long.
            Outcome::Abandoned if self.health.is_silent(now, usual) => {
                self.health.observe_silence(now);
            }
            Outcome::Silent => self.health.observe_silence(now),
            Outcome::Abandoned => {}
        }
        if outcome != Outcome::Abandoned || self.own == 0 {
            self.health.heard();
        }
    }

    /// Takes the load that it reported, and returns how much of it is not this
    /// process's own.
    pub(crate) fn report(&mut self, now: Time, load: Load) -> f64 {
        self.load = load;
        self.pace.tell(now, load.pace);
        self.load_at = Some(now);
        self.heard_at = Some(now);
        self.by_others = false;
        self.own_then = self.own;
        self.health.heard();
        self.reported()
    }

    /// Returns the load that it reported to this process after `since`, if
    /// nothing later is known. One that has been silent for longer than answers
    /// take, `usual` on the mean, is told of as full, so that the others do not take it for
    /// idle.
    pub(crate) fn sample(&self, since: Time, now: Time, usual: Duration) -> Option<ServerSample> {
        if self.health.is_silent(now, usual) {
            return Some(self.full_sample());
        }
        let at = self.load_at.filter(|&at| at > since && !self.by_others)?;
        Some(ServerSample {
            start: self.server.start(),
            load: self.load,
            age_ms: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
        })
    }

    fn full_sample(&self) -> ServerSample {
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

    /// Returns the parts of a prompt that others may share and that it has not met
    /// yet.
    pub(crate) fn unmet<'a>(&self, parts: &'a [Part]) -> impl Iterator<Item = &'a Part> {
        // The last part belongs to one line of turns.
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().filter(|part| !self.cached.has(part.id))
    }

    /// Takes the load that it reported to another process at a time, if that is
    /// later than what is known, and returns how much of it is not this
    /// process's own. What is told to all at once only warns of servers with
    /// more than `mean` requests: all would go to one that has fewer.
    pub(crate) fn hear(&mut self, at: Time, load: Load, mean: f64) -> Option<f64> {
        if self.heard_at.is_some_and(|known| known >= at) {
            return None;
        }
        self.heard_at = Some(at);
        self.pace.tell(at, load.pace);
        let own = self.history.count(at, self.own);
        let others = other_requests(load, own);
        if others > mean {
            self.load = load;
            self.load_at = Some(at);
            self.by_others = true;
            self.own_then = own;
        }
        Some(others)
    }
}

/// Returns the requests of a load that are not among the `own` ones of a process.
fn other_requests(load: Load, own: u32) -> f64 {
    let all = f64::from(load.running) + f64::from(load.waiting);
    (all - f64::from(own)).max(0.0)
}

fn digest(text: &str) -> u64 {
    hash::fnv(text.bytes())
}
