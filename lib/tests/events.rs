//! Event streams yield the same events wherever the bytes are split into pieces.

use limpetferry_lib::events::Event;
use limpetferry_lib::events::Splitter;
use proptest::prelude::*;

fn stream() -> Vec<u8> {
    let mut text = String::new();
    for number in 1..=4 {
        text.push_str(&format!(
            "x-weight-versions: 2\nid: {number}\ndata: word {number}\n\n"
        ));
    }
    text.push_str("id: 5\r\ndata: a\r\ndata: b\r\n\r\n: only a comment\n\n");
    text.into_bytes()
}

fn split(pieces: &[&[u8]]) -> Vec<Event> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    events
}

#[test]
fn an_event_has_its_id_and_its_data() {
    let whole = stream();

    let events = split(&[&whole]);

    assert_eq!(events.len(), 6);
    assert_eq!(events[0].id, Some(1));
    assert_eq!(events[0].data.as_deref(), Some(&b"word 1"[..]));
    assert_eq!(events[4].data.as_deref(), Some(&b"a\nb"[..]));
    assert_eq!(events[5].data, None);
    let bytes: Vec<u8> = events
        .iter()
        .flat_map(|event| event.bytes.to_vec())
        .collect();
    assert_eq!(bytes, whole);
}

#[test]
fn a_stream_that_ends_within_an_event_is_detected() {
    let whole = stream();
    let mut splitter = Splitter::default();

    splitter.push(&whole[..whole.len() - 1]);
    while splitter.next_event().is_some() {}

    assert!(splitter.has_partial_event());
}

proptest! {
    #[test]
    fn events_do_not_depend_on_where_a_stream_is_split(cuts in prop::collection::vec(0_usize..150, 0..6)) {
        let whole = stream();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(whole.len())).collect();
        cuts.sort_unstable();
        let mut pieces = Vec::new();
        let mut start = 0;
        for cut in cuts {
            pieces.push(&whole[start..cut]);
            start = cut;
        }
        pieces.push(&whole[start..]);

        prop_assert_eq!(split(&pieces), split(&[&whole]));
    }
}
