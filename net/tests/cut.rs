//! An answer that breaks off: what was ready before goes to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use futures_lite::stream;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use limpetferry_net::http::Bounds;
use limpetferry_net::http::Cut;
use limpetferry_net::http::Handler;
use limpetferry_net::http::serve;
use limpetferry_net::timeout::within;
use smol::net::TcpListener;
use smol::net::TcpStream;
use socket2::SockRef;

const EVENT: &str = "id: 1\ndata: one\n\n";
/// Events that are more than a connection takes at once.
const EVENTS: usize = 2_000;
/// Bytes that a connection holds for its caller.
const SMALL: usize = 4 << 10;
/// Longest wait for the end of a connection; a test that needs more has failed.
const LONGEST: Duration = Duration::from_secs(10);

/// Answers with events that are there at once, and a cut with them.
fn cut_after(events: &[&str]) -> Handler {
    let events: Vec<Bytes> = events
        .iter()
        .map(|event| Bytes::from(event.to_string()))
        .collect();
    Arc::new(move |_| {
        let events = events.clone().into_iter();
        let events = events.map(|event| Ok(Frame::data(event)));
        let body = StreamBody::new(stream::iter(events.chain([Err(Cut)])));
        Box::pin(async move { Response::new(body.boxed_unsync()) })
    })
}

/// Asks the handler, and returns all that came until the connection ended.
async fn ask(handler: Handler) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    // Accepted connections have the buffers of their listener.
    let socket = SockRef::from(&listener);
    socket.set_send_buffer_size(SMALL).expect("a small buffer");
    let address = listener.local_addr().expect("an address");
    let (_open, stop) = async_channel::bounded(1);
    smol::spawn(serve(listener, Bounds::SMALL, handler, stop)).detach();
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: agents.example\r\n\r\n";
    caller.write_all(request).await.expect("a request");
    let mut answer = Vec::new();
    let read = within(LONGEST, caller.read_to_end(&mut answer)).await;
    read.expect("an end").expect("an orderly end");
    String::from_utf8(answer).expect("text")
}

// Guards against a caller of a stream that is cut who sees neither its head nor
// the events that were ready, whichever part of the gateway made the answer.
#[test]
fn an_event_that_is_ready_goes_out_before_a_cut() {
    let answer = smol::block_on(ask(cut_after(&[EVENT])));

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer:?}");
    assert!(answer.contains(EVENT), "{answer:?}");
    assert!(!answer.ends_with("0\r\n\r\n"), "the answer looks whole");
}

// Guards against a cut that takes what was ready with it because the
// connection has no room for it at once.
#[test]
fn events_that_a_slow_caller_has_not_taken_go_out_before_a_cut() {
    let event = "x".repeat(1_000);
    let events = vec![&*event; EVENTS];

    let answer = smol::block_on(ask(cut_after(&events)));

    assert_eq!(answer.matches(&event).count(), EVENTS);
    assert!(!answer.ends_with("0\r\n\r\n"), "the answer looks whole");
}
