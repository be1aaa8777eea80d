//! Which programs begin while a service has more work than they have time for.
//!
//! A program is of use only whole and in its time, so a service is overloaded
//! when its slots are taken, or when programs lose more of their time to others
//! than they can spare, whichever comes first. The lost part is the delay of a
//! request, times the requests that programs send in the time that they are
//! given; no program has to be known beforehand. A gateway then begins as many
//! programs as end there, somewhat more while there is room and less while too
//! much waits. Programs that have begun go on.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::fair_refusal::Arrivals;
use crate::load_report::ServiceEstimate;
use crate::load_shed;
use crate::load_shed::LoadShed;
use crate::time::Time;

/// Part of their time that programs may lose at full load: a caller that gives
/// a program a third more than its time at idle servers can spare a quarter.
const MOST_LOST: f64 = 0.25;
/// Load from which on programs may be refused, and below which none is any
/// more: from the first on requests wait, beneath the second there is room for
/// what comes back.
const FULL: f64 = 1.0;
const ROOM: f64 = 0.85;
/// Utilization below which time that programs lose is not lost to a lack of
/// room: slow servers and long prompts cost time too.
const LEAST_USED: f64 = 0.85;
/// How much faster programs begin than end for each part of the load that is
/// missing, and how much slower for each part that is too much.
const GAIN: f64 = 2.0;
/// How fast the refused share may rise and fall, a second. It falls slower, so
/// that gateways that hear the same do not all open at once.
const RISE: f64 = 4.0;
const FALL: f64 = 1.0;
/// Time in which the counts of the present lose half of their weight: some
/// turns, so that they are smooth and still follow a burst.
const PRESENT: Duration = Duration::from_secs(1);
/// Programs that are added to those offered and to those begun, so that a
/// gateway that few come to refuses none on the word of one.
const FEW: f64 = 1.0;
/// How long an observation counts: an estimate is some tenths of a second old.
const FRESH: Duration = Duration::from_secs(1);
/// Time in which the counts that describe programs lose half of their weight:
/// some lengths of a program.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Programs that have to be counted before any is refused: after a start all
/// begin.
const LEAST_COUNTED: f64 = 10.0;
/// How long a service is remembered that nothing came for.
const MEMORY: Duration = Duration::from_secs(60);
/// Shortest and longest time after which a refused caller comes back: some
/// requests end within the one, and the other leaves a program time to run.
const SOONEST: Duration = Duration::from_millis(100);
const LATEST: Duration = Duration::from_millis(1_500);
/// A caller is asked to wait for this part of its time left at most, a third.
const WAIT_PART: u32 = 3;
/// Longest time that a service's work is taken to last.
const LONGEST_DRAIN: Duration = Duration::from_secs(10);
/// Spread of the times to come back around their mean, either way.
const SPREAD: f64 = 0.3;

/// What a service's load costs its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Strain {
    /// By how much a request that comes now takes longer than at idle servers.
    pub delay: Duration,
    /// Share of its slots that requests take; above one if some wait.
    pub utilization: f64,
    /// How long the service's work in hand takes.
    pub drain: Duration,
}

impl Strain {
    /// Makes the strain of a service whose servers take so much longer for a
    /// request than idle ones, beside its wait for them.
    pub fn new(estimate: &ServiceEstimate, slowdown: Duration) -> Self {
        let work = estimate.running + estimate.queued;
        let drain = if estimate.rate > 0.0 {
            (work / estimate.rate).min(LONGEST_DRAIN.as_secs_f64())
        } else {
            0.0
        };
        Self {
            delay: slowdown + estimate.wait(),
            utilization: estimate.utilization(),
            drain: Duration::from_secs_f64(drain),
        }
    }
}

/// A turn of a program.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its program.
    pub program: &'a Arc<str>,
    /// Whether it names no turn that it continues from.
    pub first: bool,
    /// Whether turns that continue name the one that they continue from, so
    /// that a first one is surely a program's first.
    pub linked: bool,
    /// The service that it needs.
    pub service: &'a Arc<str>,
    /// Its rank, 0 the highest.
    pub rank: u8,
    /// Its workspace, if it has one.
    pub workspace: Option<&'a Arc<str>>,
    /// Time until its program should have ended.
    pub remaining: Option<Duration>,
    /// How long its caller waits for an answer.
    pub patience: Duration,
}

/// Why a program is not begun, and when its caller is to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// This gateway is behind; another one may not be.
    Gateway(Duration),
    /// The service has more work than programs have time for.
    Service(Duration),
}

/// What is known of one service. All counts fade.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Programs that began.
    programs: f64,
    /// Their turns.
    turns: f64,
    /// Time that they were given, in seconds.
    given: f64,
    /// Programs that wanted to begin just now.
    offered: f64,
    /// Turns that ended just now.
    ended: f64,
    /// Until when the counts have faded.
    faded: Time,
    arrivals: Arrivals,
    strain: Option<Strain>,
    /// Share of the programs that is refused.
    refused: f64,
    overloaded: bool,
    /// When the strain was last told.
    observed: Time,
    /// When a turn last came.
    arrived: Time,
}

impl ServiceState {
    fn fade(&mut self, now: Time) {
        let passed = now.since(self.faded).as_secs_f64();
        let left = |half: Duration| (-passed / half.as_secs_f64()).exp2();
        self.faded = now;
        self.offered *= left(PRESENT);
        self.ended *= left(PRESENT);
        let left = left(HALF_LIFE);
        self.programs *= left;
        self.turns *= left;
        self.given *= left;
    }

    /// Returns which part of their time programs lose at the servers.
    fn lost(&self) -> f64 {
        let Some(strain) = self.strain.filter(|_| self.given > 0.0) else {
            return 0.0;
        };
        strain.delay.as_secs_f64() * self.turns.max(self.programs) / self.given
    }

    /// Returns the load, one being all that programs have time for.
    fn load(&self) -> f64 {
        let utilization = self.strain.map_or(0.0, |strain| strain.utilization);
        if utilization < LEAST_USED {
            return utilization;
        }
        utilization.max(self.lost() / MOST_LOST)
    }

    /// Returns the share of programs to refuse, so that as many begin as end,
    /// and more or less of them while there is room or too much to do.
    fn target(&self) -> f64 {
        let load = self.load();
        let from = if self.overloaded { ROOM } else { FULL };
        if load < from || self.programs < LEAST_COUNTED {
            return 0.0;
        }
        let turns = (self.turns / self.programs).max(1.0);
        let ending = self.ended / turns;
        let begin = ending * (1.0 + GAIN * (1.0 - load)).max(0.0);
        (1.0 - (begin + FEW) / (self.offered + FEW)).clamp(0.0, 1.0)
    }

    fn observe(&mut self, now: Time, strain: Option<Strain>) {
        self.fade(now);
        let passed = now.since(self.observed).min(FRESH).as_secs_f64();
        self.observed = now;
        self.strain = strain;
        if strain.is_none() {
            self.refused = 0.0;
            self.overloaded = false;
            return;
        }
        let target = self.target();
        self.refused = if target > self.refused {
            target.min(self.refused + RISE * passed)
        } else {
            target.max(self.refused - FALL * passed)
        };
        self.overloaded = self.refused > 0.0;
    }

    fn refused(&self, now: Time) -> f64 {
        if now.since(self.observed) > FRESH {
            return 0.0;
        }
        self.refused
    }

    /// Counts a program that wants to begin, and returns which part of its kind
    /// is refused.
    fn offered(&mut self, now: Time, arrival: &Arrival<'_>) -> f64 {
        self.offered += 1.0;
        let class = self.arrivals.observe(now, arrival.rank, arrival.workspace);
        self.arrivals.refused(class, self.refused(now))
    }

    /// Counts a turn that was taken.
    fn count(&mut self, begins: bool, remaining: Option<Duration>) {
        let Some(remaining) = remaining else {
            return;
        };
        self.turns += 1.0;
        if begins {
            self.programs += 1.0;
            self.given += remaining.as_secs_f64();
        }
    }

    /// Returns when a refused caller is to come back: when as much of the
    /// service's work is done as there is too much of it.
    fn come_back(&self, arrival: &Arrival<'_>, draw: f64) -> Duration {
        let drain = self.strain.map_or(Duration::ZERO, |strain| strain.drain);
        let excess = drain.mul_f64(self.refused).clamp(SOONEST, LATEST);
        let spread = 1.0 + SPREAD * (2.0 * draw - 1.0);
        let left = arrival.remaining.unwrap_or(Duration::MAX);
        let most = left.min(arrival.patience) / WAIT_PART;
        excess.mul_f64(spread).min(most)
    }
}

/// How a service does, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Whether programs are refused.
    pub overloaded: bool,
    /// Part of their time that programs lose at the servers.
    pub lost: f64,
    /// Load, one being all that programs have time for.
    pub load: f64,
    /// Share of programs that begin.
    pub admitted: f64,
}

/// Decides which programs begin.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    services: HashMap<Arc<str>, ServiceState>,
}

impl Overload {
    /// Returns the services that programs came for lately.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Forgets services that no program came for.
    pub fn expire(&mut self, now: Time) {
        self.services
            .retain(|_, state| now.since(state.arrived) < MEMORY);
    }

    /// Takes the strain of a service, `None` if it is not known. Returns how
    /// the service does, and whether that has changed.
    pub fn observe(
        &mut self,
        now: Time,
        service: &str,
        strain: Option<Strain>,
    ) -> Option<(State, bool)> {
        let state = self.services.get_mut(service)?;
        let before = state.overloaded;
        state.observe(now, strain);
        let shown = State {
            overloaded: state.overloaded,
            lost: state.lost(),
            load: state.load(),
            admitted: 1.0 - state.refused,
        };
        Some((shown, before != state.overloaded))
    }

    /// Takes a turn, or says why its program is not begun. The gateway's
    /// lateness and the service's load each say which share is refused, and
    /// the larger one counts. `draw` is a number from 0 up to 1.
    ///
    /// # Errors
    ///
    /// Returns a [`Refused`] for a program that has not begun.
    pub fn admit(
        &mut self,
        now: Time,
        shed: &mut LoadShed,
        arrival: &Arrival<'_>,
        draw: f64,
    ) -> Result<(), Refused> {
        let state = self.service(now, arrival.service);
        let begins = arrival.first && !shed.knows(arrival.program);
        let loaded = if begins && arrival.linked {
            state.offered(now, arrival)
        } else {
            0.0
        };
        let late = if begins { shed.share() } else { 0.0 };
        if draw < loaded.max(late) {
            return Err(if loaded >= late {
                Refused::Service(state.come_back(arrival, draw / loaded))
            } else {
                Refused::Gateway(load_shed::COME_BACK)
            });
        }
        shed.remember(arrival.program);
        if arrival.linked {
            state.count(begins, arrival.remaining);
        }
        Ok(())
    }

    /// Notes that a turn of a program ended.
    pub fn ended(&mut self, now: Time, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.fade(now);
            state.ended += 1.0;
        }
    }

    fn service(&mut self, now: Time, service: &Arc<str>) -> &mut ServiceState {
        let state = self.services.entry(service.clone()).or_default();
        state.arrived = now;
        state.fade(now);
        state
    }
}
