//! How long the servers of a service take, learned from their answers.
//!
//! The engines of one site prefill prompts fifteen times as fast as those of
//! another, and the cost of an additional request differs as much. Therefore
//! the durations are not configured but learned as linear functions: the time
//! to the first event depends on the prompt tokens to prefill and the number of
//! requests at the server, and the time per event and the time of a plain
//! request depend on the number of requests.

use std::fmt;
use std::time::Duration;

use crate::regression::Regression;
use crate::time::span_from_secs;

/// Initial estimate of the time to the first event, in ms: 0.01 ms per prompt
/// token, half way between the slowest and the fastest known engines.
const FIRST_EVENT: [f64; 3] = [20.0, 10.0, 1.0];
/// Initial estimate of the time per event, in ms.
const EVENT: [f64; 2] = [10.0, 0.1];
/// Initial estimate of the time of a plain request, in ms: at an empty server,
/// and the addition at a full one.
const PLAIN: [f64; 2] = [30.0, 100.0];
/// Initial estimate of the number of events of a stream.
const EVENTS: f64 = 10.0;
/// Weight of the newest answer in means.
const MEAN_WEIGHT: f64 = 0.02;
/// Weight of the newest report in the mean load: a small gateway receives about
/// ten a second, so that the mean follows a burst within two seconds.
const LOAD_WEIGHT: f64 = 0.05;
/// Minimum prefill time of a prompt token, in ms, and minimum cost of an
/// additional request as part of a fair share of a server, so that load affects
/// the choice of a server even while nothing was learned about it.
const MIN_TOKEN_MS: f64 = 0.000_1;
const MIN_SHARE: f64 = 0.25;

/// Conditions that a request met at its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestConditions {
    /// Prompt tokens that had to be prefilled.
    pub uncached: u64,
    /// Other requests at the server at that time.
    pub others: f64,
    /// Number of requests that the server runs concurrently.
    pub slots: f64,
}

impl RequestConditions {
    fn first_input(&self) -> [f64; 3] {
        [1.0, self.uncached as f64 / 1_000.0, self.others]
    }

    fn event_input(&self) -> [f64; 2] {
        [1.0, self.others]
    }

    fn plain_input(&self) -> [f64; 2] {
        [1.0, self.others / self.slots.max(1.0)]
    }

    /// Returns the number of requests queued before this one.
    fn queued_before(&self) -> f64 {
        (self.others + 1.0 - self.slots).max(0.0)
    }
}

/// A measured part of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Span {
    /// Until the first event of a stream.
    FirstEvent,
    /// The given number of events after the first one.
    Events(u64),
    /// A whole plain answer.
    #[default]
    Whole,
}

/// Estimates for one service.
#[derive(Clone, Debug)]
pub struct ServiceTime {
    first: Regression<3>,
    event: Regression<2>,
    plain: Regression<2>,
    events: f64,
    /// Mean time to an answer's first byte or event, in ms.
    answer: f64,
    /// Mean number of requests at its servers.
    load: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            first: Regression::new(FIRST_EVENT),
            event: Regression::new(EVENT),
            plain: Regression::new(PLAIN),
            events: EVENTS,
            answer: FIRST_EVENT[0],
            load: 0.0,
        }
    }
}

impl ServiceTime {
    /// Updates the estimates with the time to a stream's first event.
    pub fn learn_first(&mut self, work: &RequestConditions, took: Duration) {
        self.first.learn(&work.first_input(), millis(took));
        self.answer += (millis(took) - self.answer) * MEAN_WEIGHT;
    }

    /// Updates the estimates with a stream of `events` events that ended `took`
    /// after its first one.
    pub fn learn_stream(&mut self, work: &RequestConditions, took: Duration, events: u64) {
        self.events += (events as f64 - self.events) * MEAN_WEIGHT;
        if events > 1 {
            let each = millis(took) / (events - 1) as f64;
            self.event.learn(&work.event_input(), each);
        }
    }

    /// Updates the estimates with the duration of a plain answer.
    pub fn learn_plain(&mut self, work: &RequestConditions, took: Duration) {
        self.plain.learn(&work.plain_input(), millis(took));
        self.answer += (millis(took) - self.answer) * MEAN_WEIGHT;
    }

    /// Updates the mean load with the load that a server reported, less this
    /// process's own requests.
    pub fn learn_load(&mut self, others: f64) {
        self.load += (others - self.load) * LOAD_WEIGHT;
    }

    /// Returns the mean load of a server, without this process's own requests.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Returns the mean time to an answer's first byte or event.
    pub fn answer(&self) -> Duration {
        span_from_secs(self.answer / 1_000.0)
    }

    /// Returns the time to prefill the given number of prompt tokens, in ms.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * (self.first.weights()[1] / 1_000.0).max(MIN_TOKEN_MS)
    }

    /// Returns the expected time to a stream's first event, in ms.
    pub fn first_event(&self, work: &RequestConditions) -> f64 {
        self.first
            .value(&work.first_input())
            .max(self.prefill_ms(work.uncached))
    }

    /// Returns the expected time of a part of an answer at a typical server, in
    /// ms.
    pub fn expected(&self, work: &RequestConditions, span: Span) -> f64 {
        match span {
            Span::FirstEvent => self.first_event(work),
            Span::Events(count) => self.event.value(&work.event_input()) * count as f64,
            Span::Whole => self.plain.value(&work.plain_input()),
        }
    }

    /// Returns the cost of a stream at a server, in ms: its own duration, the
    /// delay of other requests, and the wait for a slot.
    pub fn stream_cost(&self, work: &RequestConditions) -> f64 {
        let alone = RequestConditions {
            others: 0.0,
            ..*work
        };
        let base = self.first_event(&alone) + self.event.value(&[1.0, 0.0]) * self.events;
        let slope = self.first.weights()[2] + self.event.weights()[1] * self.events;
        let share = base / work.slots.max(1.0);
        base + work.others * slope.max(MIN_SHARE * share) + work.queued_before() * share
    }

    /// Returns by how much a stream takes longer at a server with the given
    /// number of other requests than at an idle one, not counting the wait for a
    /// slot.
    pub fn slowdown(&self, others: f64, slots: f64) -> Duration {
        let idle = RequestConditions {
            slots,
            ..RequestConditions::default()
        };
        let max_others = (slots - 1.0).max(0.0);
        let busy = RequestConditions {
            others: others.min(max_others),
            ..idle
        };
        let slower = self.stream_cost(&busy) - self.stream_cost(&idle);
        span_from_secs(slower / 1_000.0)
    }

    /// Returns the cost of a plain request at a server, in ms.
    pub fn plain_cost(&self, work: &RequestConditions) -> f64 {
        let base = self.plain.value(&[1.0, 0.0]).max(1.0);
        let share = base / work.slots.max(1.0);
        let slope = self.plain.weights()[1] / work.slots.max(1.0);
        base + work.others * slope.max(MIN_SHARE * share) + work.queued_before() * share
    }
}

impl fmt::Display for ServiceTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.first.weights();
        let event = self.event.weights();
        let plain = self.plain.weights();
        write!(
            f,
            "first={:.1}+{:.1}k+{:.1}n~{:.0} event={:.1}+{:.2}n x{:.0} plain={:.1}+{:.1}s load={:.1}",
            first[0],
            first[1],
            first[2],
            self.first.error(),
            event[0],
            event[1],
            self.events,
            plain[0],
            plain[1],
            self.load,
        )
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
