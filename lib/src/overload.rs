//! Decides which programs to admit while a service has more work than the
//! programs' time limits allow.
//!
//! A program is useful only if it completes within its time limit. A service is
//! therefore overloaded when all of its slots are taken, or when programs lose
//! more time to waiting and slowdown than they can spare, whichever comes first.
//! The lost share of the time is the delay of one request, times the requests
//! that a program sends, divided by the program's time limit; it is an average
//! over programs, so that nothing has to be known of a program in advance. Each
//! gateway then admits programs at the rate at which they end there, slightly
//! faster while there is spare capacity and slower while too much work waits.
//! Programs that have begun are always continued.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::fair_refusal::Arrivals;
use crate::load_report::ServiceEstimate;
use crate::load_shed;
use crate::load_shed::LoadShedder;
use crate::time::Time;
use crate::time::span_from_secs;

/// Largest share of their time that programs may lose at full load. A caller that
/// allows a program a third more time than it takes at idle servers can spare a
/// quarter of it.
const MAX_LOST: f64 = 0.25;
/// Loads between which the overloaded state has hysteresis: programs are refused
/// from `ENTER_LOAD` on, where requests begin to wait, until the load is below
/// `EXIT_LOAD`, where there is room for the retries of refused callers.
const ENTER_LOAD: f64 = 1.0;
const EXIT_LOAD: f64 = 0.85;
/// Utilization below which the time that programs lose is not attributed to a
/// lack of capacity: slow servers and long prompts cost time too.
const MIN_UTILIZATION: f64 = 0.85;
/// Gain of the control loop: relative change of the admission rate per unit of
/// load below or above full load.
const GAIN: f64 = 2.0;
/// Largest increase and decrease of the refused share per second. The decrease is
/// slower, so that gateways that receive the same load reports do not all start
/// to admit programs at once.
const MAX_RISE: f64 = 4.0;
const MAX_FALL: f64 = 1.0;
/// Half-life of the counts of offered programs and ended turns: several turns, so
/// that the counts are smooth and still follow a burst.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Added to the counts of offered and of admitted programs, so that a gateway
/// with few callers does not refuse programs because of a single sample.
const SMOOTHING_COUNT: f64 = 1.0;
/// Age at which an observation is ignored; estimates are some tenths of a second
/// old.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Half-life of the counts that describe the programs of a service: several times
/// the duration of a program.
const PROGRAM_HALF_LIFE: Duration = Duration::from_secs(20);
/// Programs that have to be counted before any is refused: after a start all are
/// admitted.
const MIN_PROGRAMS: f64 = 10.0;
/// Time without arrivals after which the state of a service is dropped.
const SERVICE_RETENTION: Duration = Duration::from_secs(60);
/// Bounds of the time after which a refused caller should retry: some requests
/// end within the shorter one, and after the longer one a program still has time
/// to run.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// A caller is asked to wait for at most a third of the time that it has left.
const PATIENCE_DIVISOR: u32 = 3;
/// Upper bound of the estimated time to complete a service's work.
const MAX_DRAIN: Duration = Duration::from_secs(10);
/// Relative jitter of retry times, in either direction.
const RETRY_JITTER: f64 = 0.3;

/// Congestion of a service: what its load costs a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Congestion {
    /// How much longer a request takes now than at idle servers.
    pub delay: Duration,
    /// Ratio of requests to slots; above one if some requests wait.
    pub utilization: f64,
    /// Time to complete the service's current work.
    pub drain: Duration,
}

impl Congestion {
    /// Computes the strain of a service. `slowdown` is how much longer than idle
    /// servers its servers take for a request, not counting the wait for a slot.
    pub fn new(estimate: &ServiceEstimate, slowdown: Duration) -> Self {
        let work = estimate.running + estimate.queued;
        let drain = if estimate.rate > 0.0 {
            span_from_secs(work / estimate.rate).min(MAX_DRAIN)
        } else {
            Duration::ZERO
        };
        Self {
            delay: slowdown + estimate.wait(),
            utilization: estimate.utilization(),
            drain,
        }
    }
}

/// A turn of a program.
#[derive(Clone, Copy, Debug)]
pub struct TurnArrival<'a> {
    /// The turn's program.
    pub program: &'a Arc<str>,
    /// Whether the turn names no previous turn.
    pub first: bool,
    /// Whether later turns always name their previous turn, so that a turn without
    /// one is certainly the first of its program.
    pub turns_linked: bool,
    /// The service that the turn needs.
    pub service: &'a Arc<str>,
    /// Rank of the turn; 0 is served first.
    pub rank: u8,
    /// The program's workspace, if there is one.
    pub workspace: Option<&'a Arc<str>>,
    /// Time until the program's deadline.
    pub remaining: Option<Duration>,
    /// How long the caller waits for an answer.
    pub patience: Duration,
}

/// Why a program is not admitted, and after which time its caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramRefusal {
    /// This gateway is late with its work; another gateway may not be.
    Gateway(Duration),
    /// The service has more work than the programs' time limits allow.
    Service(Duration),
}

/// State of one service. All counts decay over time.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Programs that were admitted.
    programs: f64,
    /// Turns of these programs.
    turns: f64,
    /// Sum of the programs' time limits, in seconds.
    allotted: f64,
    /// Programs that recently asked to begin.
    offered: f64,
    /// Turns that recently ended.
    ended: f64,
    /// When the counts were last decayed.
    decayed_at: Time,
    arrivals: Arrivals,
    congestion: Option<Congestion>,
    /// Share of new programs that is refused.
    refused_share: f64,
    overloaded: bool,
    /// When the strain was last updated.
    observed_at: Time,
    /// When the latest turn arrived.
    last_arrival: Time,
}

impl ServiceState {
    fn decay(&mut self, now: Time) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        let left = |half: Duration| (-passed / half.as_secs_f64()).exp2();
        self.decayed_at = now;
        self.offered *= left(RECENT_HALF_LIFE);
        self.ended *= left(RECENT_HALF_LIFE);
        let left = left(PROGRAM_HALF_LIFE);
        self.programs *= left;
        self.turns *= left;
        self.allotted *= left;
    }

    /// Returns the share of their time that programs lose at the servers.
    fn lost_share(&self) -> f64 {
        let Some(congestion) = self.congestion.filter(|_| self.allotted > 0.0) else {
            return 0.0;
        };
        congestion.delay.as_secs_f64() * self.turns.max(self.programs) / self.allotted
    }

    /// Returns the load; one is what the programs' time limits allow.
    fn load(&self) -> f64 {
        let utilization = self
            .congestion
            .map_or(0.0, |congestion| congestion.utilization);
        if utilization < MIN_UTILIZATION {
            return utilization;
        }
        utilization.max(self.lost_share() / MAX_LOST)
    }

    /// Returns the share of new programs to refuse. At full load as many programs
    /// are admitted as end, at lower load more and at higher load fewer.
    fn target(&self) -> f64 {
        let load = self.load();
        let from = if self.overloaded {
            EXIT_LOAD
        } else {
            ENTER_LOAD
        };
        if load < from || self.programs < MIN_PROGRAMS {
            return 0.0;
        }
        let turns = (self.turns / self.programs).max(1.0);
        let ending = self.ended / turns;
        let begin = ending * (1.0 + GAIN * (1.0 - load)).max(0.0);
        (1.0 - (begin + SMOOTHING_COUNT) / (self.offered + SMOOTHING_COUNT)).clamp(0.0, 1.0)
    }

    fn observe(&mut self, now: Time, congestion: Option<Congestion>) {
        self.decay(now);
        let passed = now.since(self.observed_at).min(MAX_AGE).as_secs_f64();
        self.observed_at = now;
        self.congestion = congestion;
        if congestion.is_none() {
            self.refused_share = 0.0;
            self.overloaded = false;
            return;
        }
        let target = self.target();
        self.refused_share = if target > self.refused_share {
            target.min(self.refused_share + MAX_RISE * passed)
        } else {
            target.max(self.refused_share - MAX_FALL * passed)
        };
        self.overloaded = self.refused_share > 0.0;
    }

    fn current_refused_share(&self, now: Time) -> f64 {
        if now.since(self.observed_at) > MAX_AGE {
            return 0.0;
        }
        self.refused_share
    }

    /// Counts a program that asks to begin, and returns the refused share of its
    /// class.
    fn count_offered(&mut self, now: Time, arrival: &TurnArrival<'_>) -> f64 {
        self.offered += 1.0;
        let class = self.arrivals.count(now, arrival.rank, arrival.workspace);
        self.arrivals
            .refused_share(class, self.current_refused_share(now))
    }

    /// Counts an admitted turn.
    fn count_admitted(&mut self, begins: bool, remaining: Option<Duration>) {
        let Some(remaining) = remaining else {
            return;
        };
        self.turns += 1.0;
        if begins {
            self.programs += 1.0;
            self.allotted += remaining.as_secs_f64();
        }
    }

    /// Returns after which time a refused caller should retry: when the service has
    /// completed its excess work.
    fn retry_after(&self, arrival: &TurnArrival<'_>, draw: f64) -> Duration {
        let drain = self
            .congestion
            .map_or(Duration::ZERO, |congestion| congestion.drain);
        let excess = drain
            .mul_f64(self.refused_share)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let spread = 1.0 + RETRY_JITTER * (2.0 * draw - 1.0);
        let left = arrival.remaining.unwrap_or(Duration::MAX);
        let most = left.min(arrival.patience) / PATIENCE_DIVISOR;
        excess.mul_f64(spread).min(most)
    }
}

/// Admission state of a service, for log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadState {
    /// Whether programs are refused.
    pub overloaded: bool,
    /// Share of their time that programs lose at the servers.
    pub lost_share: f64,
    /// Load; one is what the programs' time limits allow.
    pub load: f64,
    /// Share of new programs that is admitted.
    pub admitted: f64,
}

/// Admission control of programs by the load of services.
#[derive(Clone, Debug, Default)]
pub struct OverloadControl {
    services: HashMap<Arc<str>, ServiceState>,
}

impl OverloadControl {
    /// Returns the services for which turns arrived recently.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Drops services for which no turn arrived recently.
    pub fn expire(&mut self, now: Time) {
        self.services
            .retain(|_, state| now.since(state.last_arrival) < SERVICE_RETENTION);
    }

    /// Updates the strain of a service, `None` if it is unknown. Returns the
    /// service's state, and whether it became overloaded or ceased to be; `None` for
    /// a service without recent turns.
    pub fn observe(
        &mut self,
        now: Time,
        service: &str,
        congestion: Option<Congestion>,
    ) -> Option<(OverloadState, bool)> {
        let state = self.services.get_mut(service)?;
        let before = state.overloaded;
        state.observe(now, congestion);
        let shown = OverloadState {
            overloaded: state.overloaded,
            lost_share: state.lost_share(),
            load: state.load(),
            admitted: 1.0 - state.refused_share,
        };
        Some((shown, before != state.overloaded))
    }

    /// Admits a turn, or refuses its program. The gateway's lateness and the
    /// service's load each determine a refused share, of which the larger applies.
    /// `draw` is a random number from 0 up to 1.
    ///
    /// # Errors
    ///
    /// Returns a [`ProgramRefusal`] for a program that has not begun.
    pub fn admit(
        &mut self,
        now: Time,
        shed: &mut LoadShedder,
        arrival: &TurnArrival<'_>,
        draw: f64,
    ) -> Result<(), ProgramRefusal> {
        let state = self.service(now, arrival.service);
        let begins = arrival.first && !shed.has_begun(arrival.program);
        let loaded = if begins && arrival.turns_linked {
            state.count_offered(now, arrival)
        } else {
            0.0
        };
        let late = if begins { shed.refused_share() } else { 0.0 };
        if draw < loaded.max(late) {
            return Err(if loaded >= late {
                ProgramRefusal::Service(state.retry_after(arrival, draw / loaded))
            } else {
                ProgramRefusal::Gateway(load_shed::RETRY_AFTER)
            });
        }
        shed.note_begun(arrival.program);
        if arrival.turns_linked {
            state.count_admitted(begins, arrival.remaining);
        }
        Ok(())
    }

    /// Counts a turn that ended.
    pub fn turn_ended(&mut self, now: Time, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.decay(now);
            state.ended += 1.0;
        }
    }

    fn service(&mut self, now: Time, service: &Arc<str>) -> &mut ServiceState {
        let state = self.services.entry(service.clone()).or_default();
        state.last_arrival = now;
        state.decay(now);
        state
    }
}
