//! When a request reached each step of its way and what its server told of
//! its load, for its line in the log.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::server::Load;
use limpetferry_lib::service_time::RequestConditions;

/// Milliseconds from a request's first byte to each step, those that it waited
/// for a server with room, and the requests that
/// its server ran and had waiting, the prompt tokens that it was expected to
/// read and the requests that were expected there; zero where it did not come to it.
#[derive(Debug, Default)]
pub struct Steps {
    read: AtomicU32,
    opened: AtomicU32,
    queued: AtomicU32,
    sent: AtomicU32,
    head: AtomicU32,
    first: AtomicU32,
    running: AtomicU32,
    waiting: AtomicU32,
    cold: AtomicU32,
    others: AtomicU32,
}

/// A step of a request's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It was read whole.
    Read,
    /// Its keepers have noted its turn.
    Opened,
    /// It was sent to the server that answered.
    Sent,
    /// The head of the server's answer came.
    Head,
    /// The first event came and may go to the caller.
    First,
}

impl Steps {
    fn slot(&self, step: Step) -> &AtomicU32 {
        match step {
            Step::Read => &self.read,
            Step::Opened => &self.opened,
            Step::Sent => &self.sent,
            Step::Head => &self.head,
            Step::First => &self.first,
        }
    }

    /// Notes that a step was reached `since` the request's first byte.
    pub fn reach(&self, step: Step, since: Duration) {
        let millis = u32::try_from(since.as_millis()).unwrap_or(u32::MAX);
        self.slot(step).store(millis, Ordering::Relaxed);
    }

    /// Notes that the request waited for a server with room, once more if it did
    /// so before.
    pub fn wait(&self, time: Duration) {
        let millis = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        self.queued.fetch_add(millis, Ordering::Relaxed);
    }

    /// Notes the load that the server reported with its answer.
    pub fn report(&self, load: Load) {
        self.running.store(load.running, Ordering::Relaxed);
        self.waiting.store(load.waiting, Ordering::Relaxed);
    }

    /// Notes what the request was expected to meet at its server.
    pub fn expect(&self, work: &RequestConditions) {
        let cold = u32::try_from(work.uncached).unwrap_or(u32::MAX);
        self.cold.store(cold, Ordering::Relaxed);
        self.others.store(work.others as u32, Ordering::Relaxed);
    }

    /// Adds the steps to a line.
    pub fn tell(&self, note: LogEvent) -> LogEvent {
        let number = |slot: &AtomicU32| slot.load(Ordering::Relaxed);
        note.with("read_ms", number(&self.read))
            .with("opened_ms", number(&self.opened))
            .with("queued_ms", number(&self.queued))
            .with("sent_ms", number(&self.sent))
            .with("head_ms", number(&self.head))
            .with("first_ms", number(&self.first))
            .with("running", number(&self.running))
            .with("waiting", number(&self.waiting))
            .with("cold", number(&self.cold))
            .with("others", number(&self.others))
    }
}
