//! What can happen in the world, as proptest draws it.

use proptest::prelude::*;

/// One step of a run. The numbers pick among what there is at the time.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// A message, a store's answer or a backend's end arrives.
    Deliver(u16),
    /// Everything that is under way arrives.
    Settle,
    /// A process notices that time passed.
    Tick(u16),
    /// Time passes, and every process notices.
    Wait(u16),
    /// A caller acts: sends its next call, or sends one again.
    Call(u16),
    /// A caller gives its connection up and sends the call elsewhere.
    Impatient(u16),
    /// A process dies; its successor starts later.
    Crash(u16),
    /// A dead process starts again.
    Restart(u16),
    /// A process stops noticing anything, for a while.
    Pause(u16),
    /// A paused process goes on.
    Resume(u16),
    /// A link breaks, with what was under way on it.
    Cut(u16),
    /// Two processes cannot reach each other any more.
    Part(u16),
    /// All processes can reach each other again.
    Mend,
    /// The key-value service stops or starts answering.
    Outage(bool),
    /// The answer to a write that took effect is lost.
    LoseReply(u16),
    /// A side process leaves.
    Leave(u16),
    /// A notice of the store comes a second time.
    Double(u16),
    /// The backend server breaks a call off.
    Break(u16),
    /// An operator's patch is applied in the key-value service.
    Patch,
}

/// Draws one step; ordinary ones are the most.
pub fn action() -> impl Strategy<Value = Action> {
    let pick = any::<u16>;
    prop_oneof![
        60 => pick().prop_map(Action::Deliver),
        8 => Just(Action::Settle),
        12 => pick().prop_map(Action::Tick),
        14 => pick().prop_map(Action::Wait),
        24 => pick().prop_map(Action::Call),
        3 => pick().prop_map(Action::Impatient),
        2 => pick().prop_map(Action::Crash),
        4 => pick().prop_map(Action::Restart),
        2 => pick().prop_map(Action::Pause),
        3 => pick().prop_map(Action::Resume),
        3 => pick().prop_map(Action::Cut),
        2 => pick().prop_map(Action::Part),
        3 => Just(Action::Mend),
        1 => Just(Action::Outage(true)),
        2 => Just(Action::Outage(false)),
        2 => pick().prop_map(Action::LoseReply),
        1 => pick().prop_map(Action::Leave),
        2 => pick().prop_map(Action::Double),
        2 => pick().prop_map(Action::Break),
        2 => Just(Action::Patch),
    ]
}
