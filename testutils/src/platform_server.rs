//! Fake of a backend server of the users' platform: a plain service or an engine
//! that streams, with the faults that the platform specifies.

use std::collections::BTreeSet;
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

use crate::listen::any_loopback;

/// Number of events in each stream.
pub const EVENTS: u64 = 5;
/// Time between events.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// Path at which a server says what it is and does.
const REPORT_PATH: &str = "/api/report";
/// Pause before an address is tried again that another server has.
const BIND_PAUSE: Duration = Duration::from_millis(1);
/// Time between events of a slow stream, in which a test can act.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(550);

/// What the server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes the request and answers.
    Answer,
    /// Answers with a stream whose events come so slowly that a test can act
    /// between them.
    Slowly,
    /// Answers, and aborts the stream after this number of events.
    CutAfter(u64),
    /// Aborts a stream from its beginning after this number of events, and loses the
    /// answer of one that is resumed.
    BreakOff(u64),
    /// Answers with events without ids, and aborts the stream after this number of
    /// them.
    CutWithoutIds(u64),
    /// Executes the request, and closes the connection instead of answering.
    LoseAnswer,
    /// Executes the request and never answers.
    Hang,
    /// Has no capacity, and refuses the request without executing it.
    Shed,
    /// Answers as a different server that now has the address; that one does not
    /// execute the request.
    Replaced,
    /// Executes the request and answers with this status.
    Status(u16),
    /// Answers without the header of its signature.
    Unsigned,
    /// Answers with the id of another attempt.
    Crossed,
    /// Answers as if an intermediary had encoded the body.
    Encoded,
}

/// Prefix of the last segment of a path that ends the process of each server that
/// executes the request: `fatal-0` before its answer, `fatal-2` after two events,
/// `fatal-whole` after the complete answer, `fatal-sometimes` before every second
/// answer.
pub const FATAL: &str = "fatal-";

/// When a request ends its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fatal {
    AfterEvents(u64),
    AfterAnswer,
    Sometimes,
}

impl Fatal {
    fn of(path: &str) -> Option<Self> {
        let path = path.split('?').next().unwrap_or_default();
        let when = path.rsplit('/').next()?.strip_prefix(FATAL)?;
        let when = when.split('-').next()?;
        Some(match when {
            "whole" => Self::AfterAnswer,
            "sometimes" => Self::Sometimes,
            events => Self::AfterEvents(events.parse().ok()?),
        })
    }
}

/// A request that the server executed.
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

/// What a server answers to `GET /api/report`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Report {
    /// A report without its start, as of a server that never started again.
    #[default]
    WithoutStart,
    /// A report with the Unix time of its start in milliseconds.
    Start(u64),
    /// It has no reports.
    Missing,
}

#[derive(Default)]
struct State {
    next: VecDeque<Behaviour>,
    runs: Vec<Run>,
    /// Requests that were refused for lack of capacity.
    shed: usize,
    /// What it says of itself.
    report: Report,
    /// Version of its software, which its events name; `None` if they name none.
    version: Option<&'static str>,
    /// Its listener, while its process runs.
    listener: Option<smol::Task<()>>,
    connections: Vec<smol::Task<()>>,
    /// Paths of the requests without a complete answer.
    unfinished: Vec<String>,
    /// Those of them when its process ended.
    ended_under: Vec<String>,
    ended: bool,
    /// Is closed when its process ends.
    end: Option<async_channel::Sender<()>>,
    /// Receives the paths under which its process ends.
    end_reports: Option<async_channel::Sender<String>>,
}

/// The fake server; clones share their state.
#[derive(Clone, Default)]
pub struct StandInServer {
    state: Arc<Mutex<State>>,
}

impl StandInServer {
    /// Starts to listen, and returns the address.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind(any_loopback()).await;
        self.listen(listener.expect("a port is free"))
    }

    /// Starts to listen at an address that another server has just left.
    pub async fn start_at(&self, address: SocketAddr) {
        loop {
            match TcpListener::bind(address).await {
                Ok(listener) => {
                    self.listen(listener);
                    return;
                }
                Err(_) => smol::Timer::after(BIND_PAUSE).await,
            };
        }
    }

    fn listen(&self, listener: TcpListener) -> SocketAddr {
        let address = listener.local_addr().expect("a bound listener has one");
        let server = self.clone();
        let accepting = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = server.clone();
                let connection = smol::spawn(async move { serving.serve(stream).await });
                let mut state = server.lock();
                state.connections.retain(|task| !task.is_finished());
                state.connections.push(connection);
            }
        });
        self.lock().listener = Some(accepting);
        address
    }

    /// Ends the server as its process would end: nobody listens any more, then all
    /// connections break.
    pub fn end(&self) {
        let server = self.clone();
        let mut state = self.lock();
        if !std::mem::replace(&mut state.ended, true) {
            state.ended_under = state.unfinished.clone();
            for path in &state.ended_under {
                if let Some(reports) = &state.end_reports {
                    // Nobody may wait for it any more.
                    let _ = reports.try_send(path.clone());
                }
            }
        }
        drop(state);
        // A connection may be the one that asks.
        smol::spawn(async move {
            let (listener, connections) = {
                let mut state = server.lock();
                (
                    state.listener.take(),
                    std::mem::take(&mut state.connections),
                )
            };
            if let Some(listener) = listener {
                listener.cancel().await;
            }
            for connection in connections {
                connection.cancel().await;
            }
            server.lock().end = None;
        })
        .detach();
    }

    /// Returns whether its process has ended.
    pub fn has_ended(&self) -> bool {
        self.lock().ended
    }

    /// Returns whether its process ended under a request with this path.
    pub fn has_ended_under(&self, path: &str) -> bool {
        self.lock().ended_under.iter().any(|under| under == path)
    }

    /// Returns a receiver that closes when its process ends.
    pub fn wait_end(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.lock().end = Some(sender);
        receiver
    }

    /// Sends the paths under which its process ends, before its connections break.
    pub fn report_ends(&self, reports: async_channel::Sender<String>) {
        self.lock().end_reports = Some(reports);
    }

    async fn serve(&self, stream: smol::net::TcpStream) {
        let service = hyper::service::service_fn(|request| {
            let server = self.clone();
            async move { server.answer(request).await }
        });
        // Serving fails for connections that a behaviour closes on purpose.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(FuturesIo::new(stream), service)
            .await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Queues behaviours, one for each of the next requests. Once the queue is
    /// empty, requests get [`Behaviour::Answer`].
    pub fn behave(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        self.lock().next.extend(behaviours);
    }

    /// Drops the behaviours that are queued.
    pub fn behave_normally(&self) {
        self.lock().next.clear();
    }

    /// Sets what the server says of itself.
    pub fn set_report(&self, report: Report) {
        self.lock().report = report;
    }

    /// Makes the server's events name the version of its software.
    pub fn set_version(&self, version: &'static str) {
        self.lock().version = Some(version);
    }

    /// Returns the requests that the server executed, in their order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns how many requests the server refused for lack of capacity.
    pub fn shed(&self) -> usize {
        self.lock().shed
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        if request.uri().path() == REPORT_PATH {
            return Ok(self.report());
        }
        let behaviour = self.lock().next.pop_front().unwrap_or(Behaviour::Answer);
        let refuse = |status: u16, header: &str| {
            let response = Response::builder().status(status).header(header, "1");
            Ok(response
                .body(whole(""))
                .expect("a constant answer is valid"))
        };
        match behaviour {
            Behaviour::Shed => {
                self.lock().shed += 1;
                return refuse(503, "x-not-executed");
            }
            Behaviour::Replaced => return refuse(421, "x-instance-id"),
            _ => {}
        }
        let run = self.run(request).await;
        let fatal = Fatal::of(&run.path);
        let unfinished = fatal.map(|_| Unfinished::new(self, &run.path));
        let ends_now = match fatal {
            Some(Fatal::AfterEvents(0)) => true,
            Some(Fatal::Sometimes) => self.runs().len().is_multiple_of(2),
            _ => false,
        };
        if ends_now {
            self.end();
            futures_lite::future::pending::<()>().await;
        }
        let resumed = run.headers.contains_key("last-event-id");
        match behaviour {
            Behaviour::LoseAnswer => return Err(Cut),
            Behaviour::BreakOff(_) if resumed => return Err(Cut),
            Behaviour::Hang => futures_lite::future::pending::<()>().await,
            _ => {}
        }
        let version = self.lock().version;
        let response = build_response(&run, behaviour, version);
        Ok(match fatal.zip(unfinished) {
            Some((fatal, unfinished)) => response.map(|body| end_within(fatal, unfinished, body)),
            None => response,
        })
    }

    fn report(&self) -> Response<Body> {
        let text = match self.lock().report {
            Report::WithoutStart => r#"{"Phase":"both","Seq":2}"#.to_owned(),
            Report::Start(born) => format!(r#"{{"Phase":"both","Seq":2,"born":{born}}}"#),
            Report::Missing => String::new(),
        };
        let mut response = Response::new(whole(text.clone()));
        if text.is_empty() {
            *response.status_mut() = http::StatusCode::NOT_FOUND;
        }
        response
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

/// A request without a complete answer, until this is dropped.
struct Unfinished {
    server: StandInServer,
    path: String,
}

impl Unfinished {
    fn new(server: &StandInServer, path: &str) -> Self {
        server.lock().unfinished.push(path.to_owned());
        Self {
            server: server.clone(),
            path: path.to_owned(),
        }
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        let unfinished = &mut self.server.lock().unfinished;
        if let Some(at) = unfinished.iter().position(|one| *one == self.path) {
            unfinished.swap_remove(at);
        }
    }
}

/// Ends a server at some point of a body.
fn end_within(fatal: Fatal, unfinished: Unfinished, body: Body) -> Body {
    let state = (body, 0, Some(unfinished));
    let frames = unfold(state, move |(mut body, sent, mut unfinished)| async move {
        let server = unfinished.as_ref().map(|one| one.server.clone())?;
        if fatal == Fatal::AfterEvents(sent) {
            server.end();
            futures_lite::future::pending::<()>().await;
        }
        let frame = body.frame().await;
        if frame.is_none() {
            unfinished = None;
            if fatal == Fatal::AfterAnswer {
                server.end();
            }
        }
        frame.map(|frame| (frame, (body, sent + 1, unfinished)))
    });
    StreamBody::new(frames).boxed_unsync()
}

fn build_response(
    run: &Run,
    behaviour: Behaviour,
    version: Option<&'static str>,
) -> Response<Body> {
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
        stream(run, behaviour, version)
    } else {
        whole(format!("answer to {}", run.path))
    };
    response.body(body).expect("constant headers are valid")
}

/// Builds the stream from the event after `Last-Event-ID`. Each event depends only
/// on its number and the server's version, so that a stream resumed at another
/// server of that version has the same content.
fn stream(run: &Run, behaviour: Behaviour, version: Option<&'static str>) -> Body {
    let last = run.headers.get("last-event-id");
    let last: u64 = last
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let abort_at = match behaviour {
        Behaviour::CutAfter(events)
        | Behaviour::BreakOff(events)
        | Behaviour::CutWithoutIds(events) => last + events,
        _ => EVENTS,
    };
    let interval = match behaviour {
        Behaviour::Slowly => SLOW_EVENT_INTERVAL,
        _ => EVENT_INTERVAL,
    };
    let frames = unfold(last, move |number| async move {
        if number == EVENTS {
            return None;
        }
        if number >= abort_at {
            return Some((Err(Cut), EVENTS));
        }
        smol::Timer::after(interval).await;
        let number = number + 1;
        let by = version.map_or_else(String::new, |version| format!(" of {version}"));
        let id = match behaviour {
            Behaviour::CutWithoutIds(_) => String::new(),
            _ => format!("id: {number}\n"),
        };
        let event = format!("{id}data: word {number}{by}\n\n");
        Some((Ok(Frame::data(Bytes::from(event))), number))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Returns the text of all events of a complete stream.
pub fn whole_stream() -> String {
    (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: word {number}\n\n"))
        .collect()
}

/// Returns the versions that the events of a stream name.
pub fn versions(stream: &str) -> BTreeSet<String> {
    let events = stream.lines().filter(|line| line.starts_with("data:"));
    let named = events.filter_map(|line| line.rsplit_once(" of "));
    named.map(|(_, version)| version.to_owned()).collect()
}

/// Returns a stream without the versions that its events name.
pub fn without_versions(stream: &str) -> String {
    let lines = stream.split_inclusive('\n').map(|line| {
        let named = line.starts_with("data:").then(|| line.rsplit_once(" of "));
        match named.flatten() {
            Some((data, _)) => format!("{data}\n"),
            None => line.to_owned(),
        }
    });
    lines.collect()
}

/// Returns what a turn with this complete stream adds to the history.
pub fn output(stream: &str) -> String {
    let data = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    data.map(|data| format!("{data}\n")).collect()
}

/// Returns what a turn with a complete stream adds to the history.
pub fn whole_output() -> String {
    (1..=EVENTS)
        .map(|number| format!("word {number}\n"))
        .collect()
}
