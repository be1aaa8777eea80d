//! An answer that breaks off: what was ready before goes to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use futures_lite::stream;
use http::Response;
use hyper::body::Frame;
use limpetferry_net::http::Bounds;
use limpetferry_net::http::Cut;
use limpetferry_net::http::Handler;
use limpetferry_net::http::pieces;
use limpetferry_net::http::serve;
use limpetferry_net::timeout::within;
use smol::net::TcpListener;
use smol::net::TcpStream;

const EVENT: &str = "id: 1\ndata: one\n\n";
/// Longest wait for the end of a connection; a test that needs more has failed.
const LONGEST: Duration = Duration::from_secs(10);

/// Answers with one event and, at the same moment, a cut.
fn cut_at_once() -> Handler {
    Arc::new(|_| {
        let event = Ok(Frame::data(Bytes::from_static(EVENT.as_bytes())));
        let body = pieces(stream::iter([event, Err(Cut)]));
        Box::pin(async move { Response::new(body) })
    })
}

/// Asks the handler, and returns all that came until the connection ended.
async fn ask(handler: Handler) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
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

#[test]
fn an_event_that_is_ready_goes_out_before_a_cut() {
    let answer = smol::block_on(ask(cut_at_once()));

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer:?}");
    assert!(answer.contains(EVENT), "{answer:?}");
    assert!(!answer.ends_with("0\r\n\r\n"), "the answer looks whole");
}
