//! Texts whose beginnings are shared: each shared piece goes over a link, onto
//! a disk and into memory once.
//!
//! The pattern: an operator's programs of one kind begin with one of a few
//! prompts of some 12,600 bytes, then come some 1,700 bytes of their own.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Ledger;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::text::Piece;
use limpetferry_lib::text::Received;
use limpetferry_lib::text::Sent;
use limpetferry_lib::text::Text;
use limpetferry_lib::time::Time;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const PROMPT: usize = 12_600;
const REST: usize = 1_700;
const KINDS: u64 = 3;

fn noise(seed: u64, size: usize) -> Vec<u8> {
    let mut random = SmallRng::seed_from_u64(seed);
    (0..size).map(|_| random.random()).collect()
}

/// The first input of the program of this number.
fn input(number: u64) -> Bytes {
    let prompt = noise(number % KINDS, PROMPT);
    let rest = noise(1_000 + number, REST);
    [prompt, rest].concat().into()
}

/// Bytes that a shortened text takes, its digests included.
fn cost(text: &Text) -> usize {
    let bytes = serde_json::to_value(text).expect("a text can be written");
    let pieces = bytes["pieces"].as_array().expect("pieces").clone();
    let pieces = pieces.into_iter().map(|piece| {
        let piece: Piece = serde_json::from_value(piece).expect("a piece");
        match piece {
            Piece::Own(bytes) => bytes.len(),
            Piece::Shared { bytes, .. } => 16 + bytes.len(),
            Piece::Known(_) => 16,
        }
    });
    pieces.sum()
}

fn begin(number: u64) -> Record {
    Record::Begin(Begin {
        turn: format!("turn-{number}").into(),
        program: format!("program-{number}").into(),
        previous: None,
        input: Text::cut(input(number)),
        most: 50,
    })
}

#[test]
fn a_shared_prompt_goes_over_a_link_once() {
    let mut sent = Sent::default();
    let mut received = Received::default();
    let mut bytes = 0;
    let programs = 60;
    for number in 0..programs {
        let mut text = Text::cut(input(number));
        sent.shorten(&mut text);
        bytes += cost(&text);
        received.fill(&mut text).expect("each piece was sent");
        assert_eq!(text.bytes(), input(number));
    }
    let whole = programs as usize * (PROMPT + REST);
    // A digest for each kilobyte, and the piece in which two texts part.
    assert!(bytes * 4 < whole, "{bytes} of {whole} bytes were sent");
}

#[test]
fn a_shared_prompt_is_held_once_and_goes_with_its_last_program() {
    let mut ledger = Ledger::default();
    for number in 0..30 {
        assert!(ledger.apply(Time::default(), begin(number)));
        assert!(
            !ledger.apply(Time::default(), begin(number)),
            "known already"
        );
    }
    let whole = 30 * (PROMPT + REST);
    assert!(ledger.bytes() * 3 < whole, "{} bytes", ledger.bytes());
    let late = Time::default() + Duration::from_secs(50);
    ledger.apply(late, begin(30));

    assert_eq!(ledger.expire(late, Duration::from_secs(20)), 30);
    assert_eq!(ledger.bytes(), PROMPT + REST);
    let Some(Record::Begin(kept)) = ledger.records("program-30").pop() else {
        panic!("the last program is there");
    };
    assert_eq!(kept.input.bytes(), input(30));

    ledger.expire(late + Duration::from_secs(50), Duration::from_secs(20));
    assert_eq!(ledger.bytes(), 0);
    assert!(ledger.is_empty());
}

#[test]
fn a_link_that_begins_anew_knows_nothing() {
    let mut sent = Sent::default();
    sent.shorten(&mut Text::cut(input(0)));
    let mut text = Text::cut(input(0));
    sent.shorten(&mut text);

    let error = Received::default().fill(&mut text);

    error.expect_err("nothing was sent on this link");
}

#[test]
fn a_turn_after_the_first_gives_the_text_before_it_whole() {
    let text = Text::cut(input(1)).then(&Bytes::from_static(b"the answer"));
    let wanted = [&input(1)[..], b"the answer"].concat();
    assert_eq!(text.bytes(), wanted);
    assert_eq!(text.len(), wanted.len());
}

proptest! {
    #[test]
    fn texts_come_out_as_they_went_in(
        texts in prop::collection::vec((0_u64..90, 0_usize..40_000), 1..60),
    ) {
        // Ninety prompts of 20 kB are more than both ends remember.
        let mut sent = Sent::default();
        let mut received = Received::default();
        for (number, size) in texts {
            let whole: Arc<[u8]> = [noise(number, 20_000), noise(size as u64, size)].concat().into();
            let whole = Bytes::from(whole[..20_000.min(size) + size / 2].to_vec());
            let mut text = Text::cut(whole.clone());
            sent.shorten(&mut text);
            received.fill(&mut text).expect("each piece was sent");
            prop_assert_eq!(text.bytes(), whole);
        }
    }
}
