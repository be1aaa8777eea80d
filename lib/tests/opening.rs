//! Sequences of events at the admission of a turn that the randomized tests
//! rarely produce.

use std::sync::Arc;

use assert_matches::assert_matches;
use limpetferry_lib::ledger::Presence;
use limpetferry_lib::ledger::TurnUsage;
use limpetferry_lib::membership::Membership;
use limpetferry_lib::stream_origin::OriginView;
use limpetferry_lib::turn_admission::NextAction;
use limpetferry_lib::turn_admission::ReplicaEvent;
use limpetferry_lib::turn_admission::ReplicaView;
use limpetferry_lib::turn_admission::TurnAdmission;

const BUDGET: u64 = 60;
const MOST: u64 = 30;

fn opening() -> TurnAdmission {
    opening_of(MOST)
}

/// Returns the admission of a turn that may use up to `most` tokens.
fn opening_of(most: u64) -> TurnAdmission {
    let mut list = Membership::default();
    for number in 0..3_u16 {
        let address = ([10, 0, 0, 1], 7_000 + number).into();
        let name = format!("keeper-{number}");
        list = list.join(&name, address, 1).expect("it is new");
    }
    TurnAdmission::new(list.replicas("program", 1), Some(BUDGET), most)
}

fn view(others: &[&str]) -> ReplicaView {
    let share = |turn: &&str| TurnUsage {
        turn: Arc::from(*turn),
        tokens: MOST,
        ended: false,
        reserved: false,
    };
    ReplicaView {
        whole: true,
        shares: others.iter().map(share).collect(),
        previous: Presence::Never,
    }
}

fn noted(others: &[&str]) -> ReplicaEvent {
    ReplicaEvent::Noted(view(others), OriginView::Unknown)
}

#[test]
fn three_turns_that_each_see_one_other_do_not_all_start() {
    // The first replica records `first` before `second`, the next one `second`
    // before `third`, the last one `third` before `first`. Each turn gets the
    // answers of two replicas.
    let mut turns = [opening(), opening(), opening()];
    let others = ["second", "third", "first"];

    let verdicts: Vec<NextAction> = turns
        .iter_mut()
        .zip(others)
        .map(|(turn, other)| {
            turn.step(0, noted(&[]));
            turn.step(1, noted(&[other]))
        })
        .collect();

    assert_eq!(verdicts, [NextAction::Ask; 3]);
    for turn in &mut turns {
        turn.step(0, ReplicaEvent::Seen(view(&["a", "b"])));
        let verdict = turn.step(1, ReplicaEvent::Seen(view(&["a", "b"])));
        assert_matches!(verdict, NextAction::Spent);
    }
}

#[test]
fn a_replica_without_second_query_does_not_make_a_turn_durable() {
    let mut turn = opening();
    turn.step(0, noted(&[]));
    turn.step(1, noted(&["other"]));
    turn.step(0, ReplicaEvent::Seen(view(&["other"])));
    let go = turn.step(1, ReplicaEvent::Seen(view(&["other"])));
    turn.step(2, noted(&[]));

    turn.step(1, ReplicaEvent::Synced);
    turn.step(2, ReplicaEvent::Synced);
    let before = turn.is_durable();
    turn.step(2, ReplicaEvent::Seen(view(&["other"])));

    assert_matches!(go, NextAction::Go);
    assert!(!before);
    assert!(turn.is_durable());
}

#[test]
fn a_lost_replica_counts_only_after_it_has_answered_again() {
    let mut turn = opening();
    turn.step(0, noted(&[]));
    turn.step(1, noted(&[]));
    turn.step(0, ReplicaEvent::Synced);

    turn.step(0, ReplicaEvent::Lost);
    turn.step(1, ReplicaEvent::Synced);
    let before = turn.is_durable();
    turn.step(0, noted(&[]));
    turn.step(0, ReplicaEvent::Synced);

    assert!(!before);
    assert!(turn.is_durable());
}

#[test]
fn earlier_answers_of_a_lost_replica_are_void() {
    let mut turn = opening();
    turn.step(0, noted(&[]));

    turn.step(0, ReplicaEvent::Lost);
    let verdict = turn.step(1, noted(&[]));

    assert_matches!(verdict, NextAction::Wait);
}

#[test]
fn the_view_of_a_replica_that_may_lack_turns_is_ignored_for_the_budget() {
    let mut turn = opening();
    let mut lacking = view(&[]);
    lacking.whole = false;
    turn.step(0, ReplicaEvent::Noted(lacking, OriginView::Unknown));

    let two = turn.step(1, noted(&[]));
    let three = turn.step(2, noted(&[]));

    assert_matches!(two, NextAction::Wait);
    assert_matches!(three, NextAction::Go);
}

#[test]
fn an_end_reported_by_one_replica_counts_with_the_tokens_used() {
    let mut turn = opening();
    let mut ended = view(&["other"]);
    ended.shares[0].tokens = 0;
    ended.shares[0].ended = true;
    turn.step(0, noted(&["other"]));

    let verdict = turn.step(1, ReplicaEvent::Noted(ended, OriginView::Unknown));

    assert_matches!(verdict, NextAction::Go);
}

// Guards against an only replica without its disk that stops all turns, or that admits
// those of which it knows nothing.
#[test]
fn an_only_replica_without_its_disk_admits_what_it_knows() {
    let list = Membership::default();
    let list = list.join("keeper", ([10, 0, 0, 1], 7_000).into(), 0);
    let replicas = list.expect("it is new").replicas("program", 0);
    let admit = |previous, is_first| {
        let mut turn = TurnAdmission::new(replicas.clone(), Some(BUDGET), MOST);
        turn = turn.with_first(is_first);
        let view = ReplicaView {
            whole: false,
            shares: Vec::new(),
            previous,
        };
        turn.step(0, ReplicaEvent::Noted(view, OriginView::Unknown))
    };

    assert_matches!(admit(Presence::Never, true), NextAction::Go);
    assert_matches!(admit(Presence::Here, false), NextAction::Go);
    assert_matches!(admit(Presence::Unsure, false), NextAction::Wait);
    let mut of_three = opening().with_first(true);
    let lost = ReplicaView {
        whole: false,
        ..view(&[])
    };
    for at in 0..3 {
        let noted = ReplicaEvent::Noted(lost.clone(), OriginView::Unknown);
        assert_matches!(of_three.step(at, noted), NextAction::Wait);
    }
}

// Guards against a turn that is let past its budget, as the sum of its tokens and those
// of the others wraps round.
#[test]
fn a_turn_that_may_use_any_number_of_tokens_is_not_started() {
    let mut turn = opening_of(u64::MAX);
    turn.step(0, noted(&["first"]));
    let first = turn.step(1, noted(&["first"]));
    turn.step(0, ReplicaEvent::Seen(view(&["first"])));

    let verdict = turn.step(1, ReplicaEvent::Seen(view(&["first"])));

    assert_matches!(first, NextAction::Ask);
    assert_matches!(verdict, NextAction::Spent);
}

// Guards against the same by turns of others, which any gateway may have recorded.
#[test]
fn the_tokens_of_other_turns_are_summed_up_without_wrapping_round() {
    let others = || {
        let mut view = view(&["first", "second"]);
        view.shares
            .iter_mut()
            .for_each(|share| share.tokens = u64::MAX);
        view
    };
    let mut turn = opening();
    turn.step(0, ReplicaEvent::Noted(others(), OriginView::Unknown));
    turn.step(1, ReplicaEvent::Noted(others(), OriginView::Unknown));
    turn.step(0, ReplicaEvent::Seen(others()));

    let verdict = turn.step(1, ReplicaEvent::Seen(others()));

    assert_matches!(verdict, NextAction::Spent);
}
