//! Stand-in for a backend server of the users' platform: a plain service or an
//! engine that streams, with the faults that their pages name.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::stream::unfold;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use limpetferry_net::http::Body;
use limpetferry_net::http::Cut;
use limpetferry_net::http::whole;
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;

use crate::listen::any_port;

/// Events of each stream.
pub const EVENTS: u64 = 5;
/// Time between events.
const EVENT_PAUSE: Duration = Duration::from_millis(2);

/// Time between events of a slow stream.
const SLOW_PAUSE: Duration = Duration::from_millis(550);

/// What the server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers.
    Answer,
    /// It answers with a pause between events that a test can act in.
    Slowly,
    /// It answers, and cuts a stream off after so many events.
    CutAfter(u64),
    /// It runs the request, and closes the connection instead of answering.
    LoseAnswer,
    /// It runs the request and never answers.
    Hang,
    /// It has no room and does not run the request.
    Shed,
    /// Another server has its address, and does not run the request.
    Replaced,
    /// It runs the request and answers with this status of its own.
    Status(u16),
    /// It answers without its signature.
    Unsigned,
    /// It answers another attempt's request.
    Crossed,
    /// Something on the way encoded the body.
    Encoded,
}

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the attempt.
    pub attempt: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

#[derive(Default)]
struct State {
    next: VecDeque<Behaviour>,
    runs: Vec<Run>,
}

/// The stand-in; clones share their state.
#[derive(Clone, Default)]
pub struct StandInServer {
    state: Arc<Mutex<State>>,
}

impl StandInServer {
    /// Starts a server, and returns its address.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind(any_port()).await.expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has one");
        let this = self.clone();
        smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = this.clone();
                smol::spawn(async move { this.serve(stream).await }).detach();
            }
        })
        .detach();
        address
    }

    async fn serve(&self, stream: smol::net::TcpStream) {
        let service = hyper::service::service_fn(|request| {
            let this = self.clone();
            async move { this.answer(request).await }
        });
        // A connection that is cut on purpose ends with an error.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(FuturesIo::new(stream), service)
            .await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Says what the server does with the next requests; it answers those
    /// that come after them.
    pub fn behave(&self, next: impl IntoIterator<Item = Behaviour>) {
        self.lock().next.extend(next);
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let behaviour = self.lock().next.pop_front().unwrap_or(Behaviour::Answer);
        let refuse = |status: u16, header: &str| {
            let response = Response::builder().status(status).header(header, "1");
            Ok(response
                .body(whole(""))
                .expect("a constant answer is valid"))
        };
        match behaviour {
            Behaviour::Shed => return refuse(503, "x-not-executed"),
            Behaviour::Replaced => return refuse(421, "x-instance-id"),
            _ => {}
        }
        let run = self.run(request).await;
        match behaviour {
            Behaviour::LoseAnswer => return Err(Cut),
            Behaviour::Hang => futures_lite::future::pending::<()>().await,
            _ => {}
        }
        Ok(make(&run, behaviour))
    }

    async fn run(&self, request: Request<Incoming>) -> Run {
        let (head, body) = request.into_parts();
        let body = body.collect().await;
        let attempt = head.headers.get("x-attempt-id");
        let run = Run {
            attempt: attempt
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
            path: head.uri.to_string(),
            body: body.map(|body| body.to_bytes()).unwrap_or_default(),
            headers: head.headers,
        };
        self.lock().runs.push(run.clone());
        run
    }
}

fn make(run: &Run, behaviour: Behaviour) -> Response<Body> {
    let attempt = match behaviour {
        Behaviour::Crossed => "another",
        _ => &run.attempt,
    };
    let mut response = Response::builder()
        .header("x-attempt-id", attempt)
        .header("x-instance-load", "1,0,8");
    if behaviour != Behaviour::Unsigned {
        response = response.header("x-server-signature", "signed");
    }
    if let Behaviour::Status(status) = behaviour {
        response = response.status(status);
    }
    if behaviour == Behaviour::Encoded {
        response = response.header("content-encoding", "gzip");
    }
    let body = if run.path.starts_with("/stream/") {
        response = response.header("content-type", "text/event-stream");
        stream(run, behaviour)
    } else {
        whole(format!("answer to {}", run.path))
    };
    response.body(body).expect("constant headers are valid")
}

/// Makes the rest of a stream. Its events depend on nothing but their number,
/// so that a stream that goes on elsewhere is the same.
fn stream(run: &Run, behaviour: Behaviour) -> Body {
    let last = run.headers.get("last-event-id");
    let last: u64 = last
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let cut = match behaviour {
        Behaviour::CutAfter(events) => last + events,
        _ => EVENTS,
    };
    let pause = match behaviour {
        Behaviour::Slowly => SLOW_PAUSE,
        _ => EVENT_PAUSE,
    };
    let frames = unfold(last, move |number| async move {
        if number == EVENTS {
            return None;
        }
        if number >= cut {
            return Some((Err(Cut), EVENTS));
        }
        smol::Timer::after(pause).await;
        let number = number + 1;
        let event = format!("id: {number}\ndata: word {number}\n\n");
        Some((Ok(Frame::data(Bytes::from(event))), number))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Returns the text that the events of a whole stream make.
pub fn whole_stream() -> String {
    (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: word {number}\n\n"))
        .collect()
}

/// Returns what a turn adds to the history for a whole stream.
pub fn whole_output() -> String {
    (1..=EVENTS)
        .map(|number| format!("word {number}\n"))
        .collect()
}
