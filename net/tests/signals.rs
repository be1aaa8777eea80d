//! Which signals begin a planned stop, and which cut it short.

use limpetferry_net::signals::StopAction;
use limpetferry_net::signals::StopSignal;
use limpetferry_net::signals::StopSignals;

use StopAction::Begin;
use StopAction::CutShort;
use StopAction::NoteRepeated;
use StopAction::Nothing;
use StopSignal::Interrupt;
use StopSignal::Terminate;

fn actions(signals: &[StopSignal]) -> Vec<StopAction> {
    let mut stops = StopSignals::default();
    signals.iter().map(|signal| stops.take(*signal)).collect()
}

// Guards against a stop that a supervisor's repeated SIGTERM cuts short.
#[test]
fn a_repeated_terminate_is_noted_once_and_changes_nothing() {
    let actions = actions(&[Terminate; 5]);

    assert_eq!(actions, [Begin, NoteRepeated, Nothing, Nothing, Nothing]);
}

#[test]
fn only_a_second_interrupt_cuts_a_stop_short() {
    assert_eq!(actions(&[Interrupt, Interrupt]), [Begin, CutShort]);
    assert_eq!(actions(&[Interrupt, Terminate]), [Begin, NoteRepeated]);
    let mixed = actions(&[Terminate, Interrupt, Interrupt]);
    assert_eq!(mixed, [Begin, NoteRepeated, CutShort]);
}
