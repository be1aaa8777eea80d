//! Who is taken off the list of keepers, and by whom.

use std::sync::Arc;

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
