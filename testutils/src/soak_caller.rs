//! A caller in the soak test. Runs programs of turns, with a lookup and a
//! transfer after each turn, over connections that are reused until they close.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use limpetferry_net::http::HttpError;
use limpetferry_net::http::Sender;
use limpetferry_net::http::connect;
use limpetferry_net::timeout::within;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::platform_server::EVENTS;
use crate::platform_server::Run;
use crate::platform_server::output;
use crate::platform_server::versions;
use crate::platform_server::whole_stream;
use crate::platform_server::without_versions;
use crate::platform_site::HOST;
use crate::platform_site::WORKSPACES;

/// Longest wait for an answer: the routes' time-out of 3 s plus the delay that
/// a frozen process adds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Tokens charged for an event according to the tests' routing document.
const EVENT_TOKENS: u64 = 10;
/// A caller's connection breaks at one in this many pieces of a stream that it may
/// resume.
const LEAVING: u32 = 8;
/// Number of times that a turn is sent before its program is abandoned.
const TRIES: usize = 3;
/// A lookup or transfer whose attempt number is a multiple of this is sent with
/// [`UNKNOWN_KEY`].
const UNKNOWN_KEY_INTERVAL: u64 = 7;
/// A key that belongs to no workspace.
const UNKNOWN_KEY: &str = "a-key-that-nobody-has";
/// Size of the prompt in a program's first input, in bytes; several of them fit
/// into one frame of a link.
const PROMPT_BYTES: usize = 6_000;

/// What kind of request an attempt was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A turn whose history is retained; it runs at most once.
    Turn,
    /// A stream that its caller resumes where it broke off.
    Draft,
    /// A request that runs at most once.
    Write,
    /// An idempotent request; it runs at most twice.
    Read,
}

/// An attempt as its caller observed it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Id of the attempt.
    pub attempt: String,
    /// Id of the program.
    pub program: String,
    /// The program's token budget, for turns.
    pub budget: Option<u64>,
    /// Name and key of the caller's workspace; `None` if it sent
    /// [`UNKNOWN_KEY`].
    pub workspace: Option<(&'static str, &'static str)>,
    kind: Kind,
    path: String,
    /// Body that a server must receive.
    expected_body: Bytes,
    /// Whether it continues a turn that was answered completely.
    continues_known_turn: bool,
    /// What the caller has of the stream that it resumes.
    received: String,
    status: Option<u16>,
    body: Bytes,
    /// Whether the answer arrived up to its end.
    complete: bool,
}

/// Records of all callers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Records(Arc<Mutex<Vec<Record>>>);

impl Records {
    /// Returns the records made so far.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn all(&self) -> Vec<Record> {
        self.0.lock().expect("no panic while locked").clone()
    }

    /// Adds a record.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn add(&self, record: Record) {
        self.0.lock().expect("no panic while locked").push(record);
    }
}

impl Record {
    /// Returns whether the answer is complete and successful.
    pub fn is_complete(&self) -> bool {
        self.status == Some(200) && self.complete
    }

    /// Returns whether it was refused as servers ended under it.
    pub fn is_refused_for_good(&self) -> bool {
        self.status == Some(400)
    }

    pub fn is_turn(&self) -> bool {
        self.kind == Kind::Turn
    }

    /// Returns whether it resumes a stream.
    pub fn is_resumed(&self) -> bool {
        !self.received.is_empty()
    }

    /// Returns whether it resumes a stream and brought an event of it.
    pub fn continues(&self) -> bool {
        self.is_resumed() && self.status == Some(200) && !self.body.is_empty()
    }

    /// Returns the number of tokens that the caller received.
    pub fn tokens(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.body);
        let events = text.matches("\n\n").count() as u64;
        if self.is_turn() && self.status == Some(200) {
            events * EVENT_TOKENS
        } else {
            0
        }
    }

    /// Returns the promises that this attempt and its runs on servers show to be
    /// broken.
    pub fn broken_promises(&self, runs: &[&Run]) -> Vec<String> {
        let mut broken = Vec::new();
        let mut fail = |what: &str| {
            let seen = (self.kind, self.status, self.complete, runs.len());
            broken.push(format!(
                "attempt {}: {what}; kind, status, complete, runs: {seen:?}",
                self.attempt
            ));
        };
        let allowed = match self.kind {
            Kind::Read => Some(2),
            Kind::Turn | Kind::Write => Some(1),
            // It is sent to its server again where it breaks off.
            Kind::Draft => None,
        };
        if allowed.is_some_and(|allowed| runs.len() > allowed) {
            fail("it ran more often than its kind allows");
        }
        if [402, 404, 408, 421, 429, 503].contains(&self.status.unwrap_or(0)) && !runs.is_empty() {
            fail("it ran, but the status says that it did not");
        }
        if self.is_complete() && runs.is_empty() {
            fail("it was answered completely, but no server ran it");
        }
        if self.workspace.is_none() && !runs.is_empty() {
            fail("it ran with an unknown key");
        }
        if self.workspace.is_some() && self.status == Some(401) {
            fail("a key that all documents contain was rejected as unknown");
        }
        if runs.iter().any(|run| !self.identifies_caller(run)) {
            fail("a server received another workspace's name or the caller's key");
        }
        if runs.iter().any(|run| run.body != self.expected_body) {
            fail("a server received a body other than history and input");
        }
        if self.status == Some(404) && self.continues_known_turn {
            fail("a completely answered turn was reported as not found");
        }
        if self.status == Some(200) && !self.is_correct() {
            fail("the answer differs from the server's output");
        }
        if versions(&self.whole_text()).len() > 1 {
            fail("the stream holds events of two versions");
        }
        broken
    }

    fn identifies_caller(&self, run: &Run) -> bool {
        let received = run.headers.get("x-tenant").map(|name| name.as_bytes());
        let own = self.workspace.map(|(name, _)| name.as_bytes());
        received == own && !run.headers.contains_key("authorization")
    }

    /// Returns whether the answer, which may be cut off, is correct so far.
    fn is_correct(&self) -> bool {
        let (expected, received) = match self.kind {
            Kind::Turn | Kind::Draft => (whole_stream(), without_versions(&self.whole_text())),
            Kind::Write | Kind::Read => (format!("answer to {}", self.path), self.whole_text()),
        };
        if self.complete {
            received == expected
        } else {
            expected.starts_with(&received)
        }
    }

    /// Returns what the caller has of the answer, with the attempts before.
    fn whole_text(&self) -> String {
        self.received.clone() + &String::from_utf8_lossy(&self.body)
    }
}

/// Returns the complete events of a stream that broke off.
fn whole_events(stream: &str) -> &str {
    stream.rfind("\n\n").map_or("", |at| &stream[..at + 2])
}

/// A caller with a connection to each gateway.
pub struct Caller {
    number: usize,
    workspace: (&'static str, &'static str),
    random: SmallRng,
    gateways: Vec<String>,
    connections: Vec<Option<Sender>>,
    records: Records,
    attempts: u64,
}

impl Caller {
    /// Largest number of tokens of one turn.
    pub const MAX_TURN_TOKENS: u64 = EVENTS * EVENT_TOKENS;

    /// Creates a caller of the gateways at these addresses.
    pub fn new(number: usize, seed: u64, gateways: Vec<String>, records: Records) -> Self {
        Self {
            number,
            workspace: WORKSPACES[number % WORKSPACES.len()],
            random: SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64)),
            connections: gateways.iter().map(|_| None).collect(),
            gateways,
            records,
            attempts: 0,
        }
    }

    /// Runs programs one after another until `stop` is closed.
    pub async fn run(mut self, stop: async_channel::Receiver<()>) {
        let mut number = 0;
        while !stop.is_closed() {
            self.run_program(number, &stop).await;
            number += 1;
        }
    }

    async fn run_program(&mut self, number: u64, stop: &async_channel::Receiver<()>) {
        let program = format!("program-{}-{number}", self.number);
        let budget = Self::MAX_TURN_TOKENS * self.random.random_range(1..5);
        let mut previous: Option<String> = None;
        let mut history = Vec::new();
        for turn in 0..self.random.random_range(1..6) {
            if stop.is_closed() {
                return;
            }
            let input = self.input(turn);
            let expected_body: Bytes = [&history[..], input.as_bytes()].concat().into();
            let Some((attempt, answer)) = self
                .send_turn(&program, budget, &previous, &input, expected_body)
                .await
            else {
                return;
            };
            previous = Some(attempt);
            history.extend_from_slice(input.as_bytes());
            history.extend_from_slice(output(&answer).as_bytes());
            self.send_calls(&program).await;
            self.send_draft(&format!("{program}-draft-{turn}")).await;
        }
    }

    /// Returns the input of a program's turn; the first one is longer.
    fn input(&mut self, turn: usize) -> String {
        let own = format!("input {} of caller {}", self.attempts, self.number);
        if turn > 0 {
            return own;
        }
        let prompt = (0..PROMPT_BYTES).map(|at| char::from(b'a' + (at * at % 23) as u8));
        prompt.chain(own.chars()).collect()
    }

    /// Sends a turn until it is answered completely, and returns the id of that
    /// attempt with its answer; `None` if the tries or the budget are used up.
    async fn send_turn(
        &mut self,
        program: &str,
        budget: u64,
        previous: &Option<String>,
        input: &str,
        expected_body: Bytes,
    ) -> Option<(String, String)> {
        for _ in 0..TRIES {
            let budget_text = budget.to_string();
            let mut headers = vec![
                ("x-program-id", program),
                ("x-session-id", "line"),
                ("x-token-budget", &budget_text),
                ("x-token-usage", "100,50"),
            ];
            headers.extend(
                previous
                    .as_ref()
                    .map(|turn| ("x-previous-turn", turn.as_str())),
            );
            let draft = Record {
                attempt: self.next_attempt(),
                program: program.to_owned(),
                budget: Some(budget),
                workspace: Some(self.workspace),
                kind: Kind::Turn,
                path: "/stream/kept/a".to_owned(),
                expected_body: expected_body.clone(),
                continues_known_turn: previous.is_some(),
                received: String::new(),
                status: None,
                body: Bytes::new(),
                complete: false,
            };
            let record = self.send(draft, "POST", &headers, input).await;
            if record.is_complete() {
                let text = record.whole_text();
                return Some((record.attempt, text));
            }
            if record.status == Some(402) {
                return None;
            }
            let pause = self.random.random_range(50..300);
            smol::Timer::after(Duration::from_millis(pause)).await;
        }
        None
    }

    /// Sends a stream, and resumes it where it breaks off. One that is refused is
    /// started again.
    async fn send_draft(&mut self, program: &str) {
        let mut first: Option<String> = None;
        let mut received = String::new();
        for _ in 0..TRIES {
            let last = received.matches("\n\n").count().to_string();
            let attempt = self.next_attempt();
            let draft = Record {
                attempt: attempt.clone(),
                program: program.to_owned(),
                budget: None,
                workspace: Some(self.workspace),
                kind: Kind::Draft,
                path: "/stream/resumable/a".to_owned(),
                expected_body: Bytes::from_static(b"draft"),
                continues_known_turn: false,
                received: received.clone(),
                status: None,
                body: Bytes::new(),
                complete: false,
            };
            let mut headers = vec![("x-program-id", program), ("x-token-usage", "100,50")];
            if let Some(first) = &first {
                headers.extend([("resumes", first.as_str()), ("last-event-id", &last)]);
            }
            let record = self.send(draft, "POST", &headers, "draft").await;
            if record.is_complete() {
                return;
            }
            if record.status == Some(200) {
                received = whole_events(&record.whole_text()).to_owned();
                if !received.is_empty() {
                    first.get_or_insert(attempt);
                }
            } else if record.status == Some(503) {
                (first, received) = (None, String::new());
            }
        }
    }

    /// Sends a lookup and a transfer.
    async fn send_calls(&mut self, program: &str) {
        let calls = [
            (Kind::Read, "GET", "read"),
            (Kind::Write, "POST", "write"),
            (Kind::Read, "GET", "fragile"),
        ];
        for (kind, method, name) in calls {
            let number = self.random.random_range(0..100);
            let mut path = format!("/{name}/{number}");
            if name == "fragile" {
                // It shares no server's end with the request of another caller.
                path = format!("{path}-{}-{}", self.number, self.attempts);
            }
            let body = if kind == Kind::Write { "transfer" } else { "" };
            let draft = Record {
                attempt: self.next_attempt(),
                program: program.to_owned(),
                budget: None,
                workspace: (!self.attempts.is_multiple_of(UNKNOWN_KEY_INTERVAL))
                    .then_some(self.workspace),
                kind,
                path,
                expected_body: Bytes::from_static(body.as_bytes()),
                continues_known_turn: false,
                received: String::new(),
                status: None,
                body: Bytes::new(),
                complete: false,
            };
            self.send(draft, method, &[("x-program-id", program)], body)
                .await;
        }
    }

    fn next_attempt(&mut self) -> String {
        self.attempts += 1;
        // Must differ from the ids that the site assigns to its own requests.
        format!("c{:03x}{:012x}", self.number, self.attempts)
    }

    /// Sends an attempt, and records the outcome.
    async fn send(
        &mut self,
        mut record: Record,
        method: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Record {
        let mut request = Request::builder().method(method).uri(&record.path);
        let key = record.workspace.map_or(UNKNOWN_KEY, |(_, key)| key);
        request = request
            .header("host", HOST)
            .header("authorization", format!("Token {key}"))
            // The gateway must ignore a workspace name that the caller sends.
            .header("x-tenant", "forged")
            .header("x-attempt-id", &record.attempt);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())));
        let request = request.expect("the headers are valid");
        let gateway = self.random.random_range(0..self.gateways.len());
        // After a time-out the record keeps the part that arrived.
        within(ANSWER_TIMEOUT, self.exchange(gateway, request, &mut record)).await;
        self.records.add(record.clone());
        record
    }

    async fn exchange(
        &mut self,
        gateway: usize,
        request: Request<Full<Bytes>>,
        record: &mut Record,
    ) {
        let Ok(mut sender) = self.connection(gateway).await else {
            return;
        };
        let Ok(response) = sender.send_request(request).await else {
            return;
        };
        let (head, mut body) = response.into_parts();
        record.status = Some(head.status.as_u16());
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return;
            };
            bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
            record.body = Bytes::copy_from_slice(&bytes);
            if record.kind == Kind::Draft && self.random.random_ratio(1, LEAVING) {
                // Its connection breaks between two events.
                return;
            }
        }
        record.complete = true;
        self.connections[gateway] = Some(sender);
    }

    async fn connection(&mut self, gateway: usize) -> Result<Sender, HttpError> {
        match self.connections[gateway].take() {
            Some(sender) if sender.is_ready() => Ok(sender),
            _ => connect(&self.gateways[gateway]).await,
        }
    }
}
