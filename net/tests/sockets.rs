//! Outgoing connections, which take no address from a process that wants to listen there.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

use limpetferry_lib::id::Boot;
use limpetferry_lib::id::Digest;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::time::Time;
use limpetferry_net::addresses::listen;
use limpetferry_net::handoff_links::HandoffLinks;
use limpetferry_net::http;
use limpetferry_net::peer;
use limpetferry_net::peer::Hello;
use limpetferry_net::server_probe;
use limpetferry_net::sockets;
use limpetferry_testutils::listen::any_loopback;

const START: Time = Time::from_millis(7_000);
/// Connections of which one has a port that no other program uses.
const CONNECTIONS: usize = 50;
/// Connections within which the system has tried each port that it gives to them.
const MOST_CONNECTIONS: usize = 300_000;
/// An even port among those that the system gives to outgoing connections.
const EPHEMERAL_PORT: u16 = 47_316;

/// Ways by which the processes connect to others.
#[derive(Clone, Copy, Debug)]
enum Way {
    Http,
    Link,
    Handoff,
    Probe,
}

const WAYS: [Way; 4] = [Way::Http, Way::Link, Way::Handoff, Way::Probe];

/// A connection, with both of its ends.
struct Open {
    dial: smol::Task<()>,
    accepted: TcpStream,
}

/// Connects to a listener that never answers. Returns the address at this end of the
/// connection, and the connection.
async fn outgoing(way: Way) -> (SocketAddr, Open) {
    let listener = TcpListener::bind(any_loopback()).expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has one");
    let accept = smol::unblock(move || listener.accept().expect("a connection"));
    let dial = smol::spawn(async move {
        match way {
            Way::Http => {
                let _open = http::connect(&address.to_string()).await;
                std::future::pending().await
            }
            Way::Link => {
                let hello = Hello::new(NodeId::new("a"), Boot(1), Digest::of(b"key"));
                drop(peer::dial(&address.to_string(), &hello).await);
            }
            Way::Handoff => {
                let links = HandoffLinks::new("a", Digest::of(b"key"));
                drop(links.connect(START, address).await);
            }
            Way::Probe => drop(server_probe::probe(address).await),
        }
    });
    let (accepted, from) = accept.await;
    (from, Open { dial, accepted })
}

/// Closes a connection at this end first, which then keeps its address for a minute.
async fn close_first(open: Open) {
    let Open { dial, accepted } = open;
    dial.cancel().await;
    let read = smol::unblock(move || {
        let mut bytes = [0; 1_024];
        while std::io::Read::read(&mut &accepted, &mut bytes).is_ok_and(|size| size > 0) {}
    });
    read.await;
}

/// Returns whether `works` does for any of many connections: what other programs of the
/// machine have at the same port, which the system gives out more than once, is not ours.
async fn any_of_many(works: impl AsyncFn() -> bool) -> bool {
    for _ in 0..CONNECTIONS {
        if works().await {
            return true;
        }
    }
    false
}

// Guards against a start that a connection of the system's own keeps from its address.
#[test]
fn a_listener_takes_the_address_of_an_open_connection_of_ours() {
    smol::block_on(async {
        for way in WAYS {
            let taken = any_of_many(async || {
                let (from, _open) = outgoing(way).await;
                listen(from).is_ok()
            });
            assert!(taken.await, "{way:?}");
        }
    });
}

// Guards against a start that such a connection delays for 60 s after its end.
#[test]
fn a_listener_takes_the_address_of_a_closed_connection_of_ours() {
    smol::block_on(async {
        for way in WAYS {
            let taken = any_of_many(async || {
                let (from, open) = outgoing(way).await;
                close_first(open).await;
                listen(from).is_ok()
            });
            assert!(taken.await, "{way:?}");
        }
    });
}

// Guards against a process that takes itself for a peer where nobody listens.
#[test]
fn a_connection_to_itself_counts_as_refused() {
    let address = SocketAddr::from(([127, 0, 0, 1], EPHEMERAL_PORT));

    smol::block_on(async {
        // The system tries one port after the other, until it is the one that is asked for.
        for _ in 0..MOST_CONNECTIONS {
            let connected = sockets::connect(address).await;
            let error = connected.expect_err("nobody listens");
            assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
            if error.to_string().contains("itself") {
                return;
            }
        }
        panic!("the system made no connection to itself");
    });
}
