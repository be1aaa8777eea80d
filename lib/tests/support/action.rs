//! The steps of a simulation and their proptest strategy.

use proptest::prelude::*;

/// One step of a simulation. The numbers select among the processes, links or
/// messages that exist at the time.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Delivers a message, a reply of the store or a backend's result.
    Deliver(u16),
    /// Delivers all messages in transit.
    Settle,
    /// Ticks one process.
    Tick(u16),
    /// Advances the time and ticks every process.
    Wait(u16),
    /// A caller sends its next call, or an open one again.
    Call(u16),
    /// A caller closes its connection; it may send the call elsewhere later.
    AbandonRequest(u16),
    /// A process crashes.
    Crash(u16),
    /// A crashed process starts again.
    Restart(u16),
    /// A process stops handling events.
    Pause(u16),
    /// A paused process resumes.
    Resume(u16),
    /// A link breaks; messages in transit on it are lost.
    Cut(u16),
    /// A link breaks and cannot be established again.
    Partition(u16),
    /// All links can be established again.
    HealPartitions,
    /// The key-value service stops or starts answering.
    Outage(bool),
    /// The reply to the next successful write is lost.
    LoseReply(u16),
    /// A side process starts to leave.
    Leave(u16),
    /// A notification of the store is delivered twice.
    DuplicateNotification(u16),
    /// A call fails at its backend server.
    FailRun(u16),
    /// An operator's patch is stored in the key-value service.
    Patch,
}

/// Generates one step; failures are rarer than ordinary steps.
pub fn action() -> impl Strategy<Value = Action> {
    let pick = any::<u16>;
    prop_oneof![
        60 => pick().prop_map(Action::Deliver),
        8 => Just(Action::Settle),
        12 => pick().prop_map(Action::Tick),
        14 => pick().prop_map(Action::Wait),
        24 => pick().prop_map(Action::Call),
        3 => pick().prop_map(Action::AbandonRequest),
        2 => pick().prop_map(Action::Crash),
        4 => pick().prop_map(Action::Restart),
        2 => pick().prop_map(Action::Pause),
        3 => pick().prop_map(Action::Resume),
        3 => pick().prop_map(Action::Cut),
        2 => pick().prop_map(Action::Partition),
        3 => Just(Action::HealPartitions),
        1 => Just(Action::Outage(true)),
        2 => Just(Action::Outage(false)),
        2 => pick().prop_map(Action::LoseReply),
        1 => pick().prop_map(Action::Leave),
        2 => pick().prop_map(Action::DuplicateNotification),
        2 => pick().prop_map(Action::FailRun),
        2 => Just(Action::Patch),
    ]
}
