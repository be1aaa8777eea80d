//! A keeper's memory and disk while turns of any size come, end, are refused and
//! expire, and while its process starts again.

mod keeper_world;

use keeper_world::KeeperWorld;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::ledger::Ledger;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::ledger::StoredRecord;
use limpetferry_lib::text::Location;
use limpetferry_lib::time::Time;

const SEEDS: u64 = 60;
const STEPS: usize = 4_000;
/// Steps between two looks at all turns.
const LOOK_EVERY: usize = 400;
/// Bytes of two files, one that is written and one that is just full.
const OPEN_FILES: u64 = 512 << 10;
/// Sizes of the largest text: bounds on the index, on both and on texts bind.
const LARGEST_TEXTS: [usize; 3] = [0, 2 << 10, 24 << 10];

fn worlds() -> impl Iterator<Item = (u64, KeeperWorld)> {
    (0..SEEDS).map(|seed| {
        let largest = LARGEST_TEXTS[seed as usize % LARGEST_TEXTS.len()];
        (seed, KeeperWorld::new(seed, largest))
    })
}

fn begin() -> Begin {
    Begin {
        turn: "turn".into(),
        program: "program".into(),
        previous: None,
        input: vec![7; 1_000].into(),
        most: 50,
    }
}

fn location(segment: u64) -> Location {
    Location {
        segment,
        offset: 0,
        size: 1_040,
        text: 1_000,
    }
}

// Guards against keepers that hold the texts of all turns in memory, and that exceed
// the memory of their VMs at each start once they have stored more.
#[test]
fn memory_and_disk_are_bounded_and_no_turn_is_lost() {
    let mut refused = 0;
    for (seed, mut world) in worlds() {
        for step in 0..STEPS {
            world.step();

            let broken = world.broken();
            assert_eq!(broken, None, "seed {seed}, step {step}");
            if step % LOOK_EVERY == 0 {
                assert_eq!(world.lost(), None, "seed {seed}, step {step}");
            }
        }
        assert!(world.continued > 0, "seed {seed}");
        refused += usize::from(world.refused > 0);
    }
    // The bounds were reached.
    assert!(refused >= SEEDS as usize / 3, "{refused} of {SEEDS}");
}

// Guards against keepers that refuse turns for good once they were full.
#[test]
fn a_full_keeper_has_room_again_once_turns_expire() {
    for (seed, mut world) in worlds() {
        for _ in 0..STEPS {
            world.step();
        }
        world.expire_all();
        let (bytes, _) = world.disk_bytes();
        let served = (0..50).all(|_| world.serves_first_turn());

        assert_eq!(bytes, 0, "seed {seed}");
        assert!(served, "seed {seed}");
    }
}

// Guards against files of short programs that a long one holds for ever.
#[test]
fn files_are_freed_while_long_programs_go_on() {
    for seed in 0..SEEDS {
        let mut world = KeeperWorld::new(seed, 12 << 10);
        world.pass_with_long_program(150, 4);
        let (before, _) = world.disk_bytes();
        // The short programs expire.
        world.pass_with_long_program(80, 0);

        let (bytes, live) = world.disk_bytes();
        let bound = 4 * live + OPEN_FILES;
        assert!(bytes <= bound, "seed {seed}: {bytes}, needed {live}");
        assert!(before > 2 * bound, "seed {seed}: {before}");
        assert_eq!(world.lost(), None, "seed {seed}");
    }
}

// Guards against compactions that write records of which there is a later copy.
#[test]
fn a_record_is_compacted_only_where_it_was_written_last() {
    let begin: StoredRecord = Record::Begin(begin()).into();
    let (first, second) = (location(1), location(2));
    let mut ledger = Ledger::default();
    ledger.apply_stored(Time::default(), begin.clone());

    ledger.set_location(&begin.record, first);
    ledger.set_location(&begin.record, second);

    assert_eq!(ledger.compacted(begin.clone(), first), None);
    assert_eq!(ledger.compacted(begin.clone(), second), Some(begin));
    assert_eq!(ledger.disk().dead(2), [1]);
}

// Guards against inputs of refused turns that stay for as long as their programs.
#[test]
fn texts_of_turns_that_broke_off_leave_memory_and_disk() {
    let begin: StoredRecord = Record::Begin(begin()).into();
    let finish = Record::Finish(Finish {
        turn: "turn".into(),
        program: "program".into(),
        output: vec![8; 1_000].into(),
        used: 0,
        whole: false,
    });
    let location = location(1);
    let mut ledger = Ledger::default();
    ledger.apply_stored(Time::default(), begin.clone());
    ledger.set_location(&begin.record, location);
    let before = ledger.disk().total().live_bytes;

    ledger.apply(Time::default(), finish);
    let after = ledger.disk().total().live_bytes;
    let compacted = ledger.compacted(begin, location);

    assert_eq!((before, after), (1_040, 40));
    assert_eq!(ledger.bytes(), 0);
    let record = compacted.expect("the budget needs it").record;
    assert!(record.text().is_empty());
}
