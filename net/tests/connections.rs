//! Which connections of a listener give way to others.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use futures_util::StreamExt as _;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Bytes;
use hyper::body::Frame;
use limpetferry_lib::gateway_budget::GatewayPart;
use limpetferry_lib::time::Time;
use limpetferry_net::clock::Clock;
use limpetferry_net::connections::Connections;
use limpetferry_net::http::Bounds;
use limpetferry_net::http::Cut;
use limpetferry_net::http::Handler;
use limpetferry_net::http::serve_counted;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Longer than a caller may take no byte before it counts as one that does not read.
const SERVER_PAUSE: Duration = Duration::from_millis(700);
/// Time between two looks at the clock.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";

/// Answers with a stream of what `events` brings.
fn handler(events: async_channel::Receiver<&'static str>) -> Handler {
    Arc::new(move |_| {
        let frames = events
            .clone()
            .map(|event| Ok::<_, Cut>(Frame::data(Bytes::from(event))));
        Box::pin(async move { Response::new(StreamBody::new(frames).boxed_unsync()) })
    })
}

/// Reads until `text` has come. Returns whether it came.
async fn read_until(stream: &mut TcpStream, text: &str) -> bool {
    let mut read = Vec::new();
    let mut buffer = [0; 1024];
    while !String::from_utf8_lossy(&read).contains(text) {
        match stream.read(&mut buffer).await {
            Ok(size) if size > 0 => read.extend_from_slice(&buffer[..size]),
            _ => return false,
        }
    }
    true
}

/// A listener, and a caller that has read the first event of its stream.
struct Site {
    clock: Clock,
    connections: Arc<Connections>,
    caller: TcpStream,
    say: async_channel::Sender<&'static str>,
    _stop: async_channel::Sender<()>,
}

impl Site {
    async fn start() -> Self {
        let clock = Clock::default();
        let connections = Connections::new(2, usize::MAX, clock, Box::new(|_| ()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (say, events) = async_channel::unbounded();
        let (stop, stopped) = async_channel::bounded(1);
        let serving = serve_counted(
            listener,
            Bounds::SMALL,
            connections.clone(),
            handler(events),
            stopped,
        );
        smol::spawn(serving).detach();
        let mut caller = TcpStream::connect(address).await.expect("it listens");
        caller.write_all(REQUEST).await.expect("it reads");
        say.send("first").await.expect("the stream is read");
        assert!(read_until(&mut caller, "first").await);
        Self {
            clock,
            connections,
            caller,
            say,
            _stop: stop,
        }
    }

    async fn wait_past(&self, since: Time) {
        while self.clock.now().since(since) < SERVER_PAUSE {
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
}

// Guards against streams that are cut for lack of memory, as their server pauses between two
// events while their callers have read all that came.
#[test]
fn a_stream_whose_server_pauses_is_not_closed_for_others() {
    smol::block_on(async {
        let mut site = Site::start().await;

        site.wait_past(site.clock.now()).await;
        let closed = [GatewayPart::Answers, GatewayPart::Connections]
            .map(|part| site.connections.close_one(part));
        site.say.send("second").await.expect("the stream is read");

        assert_eq!(closed, [false, false]);
        assert!(read_until(&mut site.caller, "second").await);
    });
}

// Guards against connections that are never closed for new ones once they had an answer.
#[test]
fn a_connection_is_idle_once_its_answer_is_over() {
    smol::block_on(async {
        let mut site = Site::start().await;
        site.say.close();
        assert!(read_until(&mut site.caller, "0\r\n\r\n").await);

        site.wait_past(site.clock.now()).await;

        assert!(site.connections.close_one(GatewayPart::Connections));
    });
}
