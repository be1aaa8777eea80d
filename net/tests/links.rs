//! What a process makes of links that come, go and cross.

use assert_matches::assert_matches;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::message::Heartbeat;
use limpetferry_lib::message::Message;
use limpetferry_net::links::LinkEvent;
use limpetferry_net::links::LinkTable;
use limpetferry_net::links::PeerEvent;

fn node() -> NodeId {
    NodeId::new("entry-1")
}

fn up(link: u64) -> (LinkEvent, async_channel::Receiver<Message>) {
    let (sender, outgoing) = async_channel::unbounded();
    let event = LinkEvent::Up {
        node: node(),
        boot: Boot(1),
        link,
        sender,
    };
    (event, outgoing)
}

fn beat(link: u64) -> LinkEvent {
    LinkEvent::Message {
        node: node(),
        link,
        message: Message::Beat(Heartbeat::default()),
    }
}

#[test]
fn a_replaced_link_is_closed_so_that_its_end_dials_anew() {
    let mut table = LinkTable::default();
    let (live, live_out) = up(1);
    let (stale, _stale_out) = up(2);

    table.take(live);
    let events = table.take(stale);

    // Were it left open, the other end would go on using a link whose
    // messages are dropped here.
    assert!(live_out.is_closed());
    assert_matches!(&events[..], [PeerEvent::Down { .. }, PeerEvent::Up { .. }]);
}

#[test]
fn messages_of_a_replaced_link_are_dropped() {
    let mut table = LinkTable::default();
    let (first, _first_out) = up(1);
    let (second, _second_out) = up(2);
    table.take(first);
    table.take(second);

    let late = table.take(beat(1));
    let current = table.take(beat(2));

    assert!(late.is_empty());
    assert_matches!(&current[..], [PeerEvent::Message { .. }]);
}

#[test]
fn the_end_of_a_replaced_link_is_no_loss() {
    let mut table = LinkTable::default();
    let (first, _first_out) = up(1);
    let (second, _second_out) = up(2);
    table.take(first);
    table.take(second);

    let down = |link| LinkEvent::Down {
        node: node(),
        link,
        why: "closed".into(),
    };
    let old = table.take(down(1));
    let current = table.take(down(2));

    assert!(old.is_empty());
    assert_matches!(&current[..], [PeerEvent::Down { .. }]);
    assert!(table.is_empty());
}
