//! What a request whose handler panics leaves to others.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Bytes;
use limpetferry_net::http::Bounds;
use limpetferry_net::http::Client;
use limpetferry_net::http::Handler;
use limpetferry_net::http::serve;
use limpetferry_net::http::whole;
use smol::net::TcpListener;

/// Longest wait for an answer; a test that needs longer fails.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

fn handler() -> Handler {
    Arc::new(|request: Request<hyper::body::Incoming>| {
        Box::pin(async move {
            assert_ne!(request.uri().path(), "/panics");
            Response::new(whole("served"))
        })
    })
}

fn request(path: &str, address: &str) -> Request<Full<Bytes>> {
    let request = Request::get(path).header("host", address);
    request.body(Full::default()).expect("a request")
}

// Guards against a listener that is full for ever, and a process that does not stop, as
// connections whose tasks panicked count as open.
#[test]
fn connections_whose_requests_panic_count_as_open_no_more() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (stop, stopped) = async_channel::bounded(1);
        let bounds = Bounds::SMALL;
        let serving = smol::spawn(serve(listener, bounds, handler(), stopped));

        for _ in 0..bounds.connections {
            let client = Client::default();
            let request = request("/panics", &address);
            let answer = client.exchange(&address, request, ANSWER_TIMEOUT).await;
            assert!(answer.is_err());
        }
        let client = Client::default();
        let answer = client
            .exchange(&address, request("/", &address), ANSWER_TIMEOUT)
            .await;

        assert_eq!(answer.expect("an answer").0, 200);
        drop(client);
        drop(stop);
        serving.await;
    });
}
