//! How long the servers of a service take, learned from their answers.
//!
//! Engines of one site read prompts fifteen times as fast as those of another,
//! and what one more request costs there differs as much. So nothing of it is
//! written down: the time to the first event is a line in the prompt tokens
//! that had to be read and in the requests at the server, the pace of events is
//! one in the latter, and so is the time of a plain request.

use std::fmt;
use std::time::Duration;

use crate::regression::Regression;

/// Time to a first event before any is known, in ms: a prompt token reads in
/// 0.01 ms, half way between the slowest and the fastest engines met.
const FIRST_EVENT: [f64; 3] = [20.0, 10.0, 1.0];
/// Time of an event before any is known, in ms.
const EVENT: [f64; 2] = [10.0, 0.1];
/// Time of a plain request before any is known, in ms, at an empty server and
/// what a full one adds.
const PLAIN: [f64; 2] = [30.0, 100.0];
/// Events of a stream before any is known.
const EVENTS: f64 = 10.0;
/// Weight of the newest answer in means.
const NEWEST: f64 = 0.02;
/// Weight of the newest report in the mean load: a weak gateway hears some ten a
/// second, and a burst is there within two.
const NEWEST_LOAD: f64 = 0.05;
/// Least time that a prompt token reads in, in ms, and that one more request
/// costs, as part of a fair share of a server: load tells servers apart even
/// while nothing was learned of it.
const LEAST_READ: f64 = 0.000_1;
const LEAST_SHARE: f64 = 0.25;

/// What a request met at its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens that had to be read.
    pub cold: u64,
    /// Requests that were there already.
    pub others: f64,
    /// Requests that the server runs at once.
    pub slots: f64,
}

impl Work {
    fn first_input(&self) -> [f64; 3] {
        [1.0, self.cold as f64 / 1_000.0, self.others]
    }

    fn event_input(&self) -> [f64; 2] {
        [1.0, self.others]
    }

    fn plain_input(&self) -> [f64; 2] {
        [1.0, self.others / self.slots.max(1.0)]
    }

    /// Returns the requests that wait before this one.
    fn waiting(&self) -> f64 {
        (self.others + 1.0 - self.slots).max(0.0)
    }
}

/// Part of an answer whose time is measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Span {
    /// To the first event of a stream.
    FirstEvent,
    /// So many events after it.
    Events(u64),
    /// A whole plain answer.
    #[default]
    Whole,
}

/// What was learned of one service.
#[derive(Clone, Debug)]
pub struct ServiceTime {
    first: Regression<3>,
    event: Regression<2>,
    plain: Regression<2>,
    events: f64,
    /// Mean time to an answer's first byte or event, in ms.
    answer: f64,
    /// Mean of the requests at its servers.
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
    /// Learns from the first event of a stream.
    pub fn learn_first(&mut self, work: &Work, took: Duration) {
        self.first.learn(&work.first_input(), millis(took));
        self.answer += (millis(took) - self.answer) * NEWEST;
    }

    /// Learns from the end of a stream of `events` events, that took so long
    /// after its first one.
    pub fn learn_stream(&mut self, work: &Work, took: Duration, events: u64) {
        self.events += (events as f64 - self.events) * NEWEST;
        if events > 1 {
            let each = millis(took) / (events - 1) as f64;
            self.event.learn(&work.event_input(), each);
        }
    }

    /// Learns from a plain answer.
    pub fn learn_plain(&mut self, work: &Work, took: Duration) {
        self.plain.learn(&work.plain_input(), millis(took));
        self.answer += (millis(took) - self.answer) * NEWEST;
    }

    /// Learns from the load that a server reported, without this process's own
    /// requests.
    pub fn learn_load(&mut self, others: f64) {
        self.load += (others - self.load) * NEWEST_LOAD;
    }

    /// Returns the mean load of a server, without this process's own requests.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Returns the mean time to an answer.
    pub fn answer(&self) -> Duration {
        Duration::from_secs_f64(self.answer.max(0.0) / 1_000.0)
    }

    /// Returns the time that so many prompt tokens are read in, in ms.
    pub fn read(&self, tokens: u64) -> f64 {
        tokens as f64 * (self.first.weights()[1] / 1_000.0).max(LEAST_READ)
    }

    /// Returns the expected time to a stream's first event, in ms.
    pub fn first_event(&self, work: &Work) -> f64 {
        self.first
            .value(&work.first_input())
            .max(self.read(work.cold))
    }

    /// Returns how long a part of an answer takes at a usual server, in ms.
    pub fn expected(&self, work: &Work, span: Span) -> f64 {
        match span {
            Span::FirstEvent => self.first_event(work),
            Span::Events(count) => self.event.value(&work.event_input()) * count as f64,
            Span::Whole => self.plain.value(&work.plain_input()),
        }
    }

    /// Returns what a stream costs at a server, in ms: its own time, and what
    /// waits before it.
    pub fn stream_cost(&self, work: &Work) -> f64 {
        let alone = Work {
            others: 0.0,
            ..*work
        };
        let base = self.first_event(&alone) + self.event.value(&[1.0, 0.0]) * self.events;
        let slope = self.first.weights()[2] + self.event.weights()[1] * self.events;
        let share = base / work.slots.max(1.0);
        base + work.others * slope.max(LEAST_SHARE * share) + work.waiting() * share
    }

    /// Returns by how much a stream takes longer at a server with so many other
    /// requests than at an idle one, without its wait for a slot.
    pub fn slowdown(&self, others: f64, slots: f64) -> Duration {
        let idle = Work {
            slots,
            ..Work::default()
        };
        let most = (slots - 1.0).max(0.0);
        let busy = Work {
            others: others.min(most),
            ..idle
        };
        let slower = self.stream_cost(&busy) - self.stream_cost(&idle);
        Duration::from_secs_f64(slower.max(0.0) / 1_000.0)
    }

    /// Returns what a plain request costs at a server, in ms.
    pub fn plain_cost(&self, work: &Work) -> f64 {
        let base = self.plain.value(&[1.0, 0.0]).max(1.0);
        let share = base / work.slots.max(1.0);
        let slope = self.plain.weights()[1] / work.slots.max(1.0);
        base + work.others * slope.max(LEAST_SHARE * share) + work.waiting() * share
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
