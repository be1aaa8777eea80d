//! A keeper's memory while turns of any size come, end, are refused and expire, and
//! while its process starts again.

use std::time::Duration;

use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::ledger::Ledger;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::time::Time;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const SEEDS: u64 = 20;
const TURNS: usize = 2_000;
const LARGEST_TEXT: usize = 16 << 10;
/// Bytes of texts that a keeper may hold in memory.
const TEXT_BYTES: usize = 4 << 20;
const RETENTION: Duration = Duration::from_secs(75);

fn turn(rng: &mut SmallRng, number: usize) -> [Record; 2] {
    let text = |rng: &mut SmallRng| vec![7; rng.random_range(0..LARGEST_TEXT)].into();
    let turn = format!("turn-{number}");
    let program = format!("program-{}", number / 3);
    let begin = Begin {
        turn: turn.as_str().into(),
        program: program.as_str().into(),
        previous: None,
        input: text(rng),
        most: 50,
    };
    let finish = Finish {
        turn: turn.into(),
        program: program.into(),
        output: text(rng),
        used: 50,
        whole: rng.random_bool(0.8),
    };
    [Record::Begin(begin), Record::Finish(finish)]
}

// Guards against keepers that hold the texts of all turns in memory.
#[test]
fn texts_in_memory_are_bounded_whatever_a_keeper_stores() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = Ledger::default();
        let mut now = Time::default();
        for number in 0..TURNS {
            now = now + Duration::from_millis(rng.random_range(0..40));
            for record in turn(&mut rng, number) {
                ledger.apply(now, record);
            }
            ledger.expire(now, RETENTION);

            let bytes = ledger.bytes();
            assert!(bytes <= TEXT_BYTES, "seed {seed}, turn {number}: {bytes}");
        }
    }
}
