//! Who is taken off the list of keepers, and by whom.

use std::sync::Arc;

use assert_matches::assert_matches;
use limpetferry_lib::membership::Membership;

const FAULTS: usize = 2;

fn keepers(count: u16) -> Membership {
    let mut list = Membership::default();
    for number in 0..count {
        let address = ([10, 0, 0, 1], 7_000 + number).into();
        let next = list.join(&name(number), address, FAULTS);
        list = next.expect("it is new");
    }
    list
}

fn name(number: u16) -> String {
    format!("keeper-{number}")
}

fn names(numbers: &[u16]) -> Vec<Arc<str>> {
    numbers.iter().map(|&number| name(number).into()).collect()
}

#[test]
fn a_keeper_that_is_silent_for_long_is_taken_off() {
    let list = keepers(9);
    let silent = names(&[3]);

    let gone = list.replaceable(&silent, &silent, FAULTS);

    assert_eq!(gone.map(|keeper| &*keeper.node), Some("keeper-3"));
}

#[test]
fn a_keeper_that_is_cut_off_takes_no_other_off() {
    // It hears of nobody; the first link was lost a little before the others,
    // so that only one has been silent for long.
    let list = keepers(9);
    let unheard = names(&[0, 1, 2, 3, 5, 6, 7, 8]);

    let gone = list.replaceable(&names(&[3]), &unheard, FAULTS);

    assert_eq!(gone, None);
}

#[test]
fn no_keeper_is_taken_off_if_too_few_stay() {
    let list = keepers(5);
    let silent = names(&[3]);

    assert_eq!(list.replaceable(&silent, &silent, FAULTS), None);
}

/// A list of which keepers were emptied and taken away.
fn left_of(count: u16, taken: &[u16]) -> Membership {
    let mut list = keepers(count);
    for &number in taken {
        list = list.leave(&name(number)).expect("it is in the list");
        while list.is_changing() {
            let waits = list.keepers.iter().find(|keeper| !keeper.ready);
            let node = waits.expect("one is not ready").node.clone();
            list = list.ready(&node).expect("it becomes ready");
        }
    }
    list
}

#[test]
fn those_that_are_left_go_on_if_no_majority_is() {
    let list = left_of(5, &[0]);

    let next = list.without_lost(&names(&[1, 2]), FAULTS);

    let next = next.expect("two of four are no majority");
    assert_eq!(next.keepers.len(), 2);
    assert!(next.epoch > list.epoch && !next.is_changing());
    let all = next.replicas("program", FAULTS);
    assert!(all.majority(|_| true) && !all.majority(|at| at == 0));
}

#[test]
fn none_is_dropped_while_a_majority_is_left() {
    assert_matches!(left_of(5, &[0]).without_lost(&names(&[1]), FAULTS), None);
    assert_matches!(keepers(5).without_lost(&names(&[1, 2]), FAULTS), None);
    assert_matches!(keepers(9).without_lost(&names(&[1, 2]), FAULTS), None);
}

#[test]
fn none_is_dropped_if_a_turn_might_be_at_none_of_the_others() {
    // More than may be lost at once; and two of three, which alone may hold
    // what counts.
    let four = left_of(5, &[0]);
    let three = left_of(5, &[0, 1]);

    assert_matches!(four.without_lost(&names(&[1, 2, 3]), FAULTS), None);
    assert_matches!(three.without_lost(&names(&[2, 3]), FAULTS), None);
}

#[test]
fn every_majority_before_meets_every_majority_after() {
    for faults in 1..4 {
        for all in 1..=2 * faults {
            let list = Membership {
                open: true,
                keepers: keepers(all as u16).keepers,
                ..Membership::default()
            };
            let mut list = list;
            for keeper in &mut list.keepers {
                keeper.standing = limpetferry_lib::membership::Standing::Member;
                keeper.ready = true;
            }
            for gone in 1..=all {
                let lost: Vec<u16> = (0..gone as u16).collect();
                let Some(next) = list.without_lost(&names(&lost), faults) else {
                    continue;
                };
                let before = all / 2 + 1;
                let after = next.keepers.len() / 2 + 1;
                // The fewest of a majority before that are left.
                let left = before.saturating_sub(gone);
                assert!(left + after > next.keepers.len(), "{all} less {gone}");
            }
        }
    }
}
