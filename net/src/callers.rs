//! The callers' HTTP API.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use bytes::Bytes;
use futures_util::stream::unfold;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use limpetferry_lib::budget::Amount;
use limpetferry_lib::code::Code;
use limpetferry_lib::document::DeploymentRules;
use limpetferry_lib::history::Turn;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::Deployment;
use limpetferry_lib::id::Digest;
use limpetferry_lib::id::Model;
use limpetferry_lib::id::Operator;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::id::Service;
use limpetferry_lib::message::AnswerEnd;
use limpetferry_lib::message::OpenRequest;
use limpetferry_lib::message::ProgramRequest;
use limpetferry_lib::message::ProgramView;
use limpetferry_lib::message::Reply;
use limpetferry_lib::message::Request as Ask;
use limpetferry_lib::outcome::Refusal;
use limpetferry_lib::program::CallRequest;
use limpetferry_lib::program::HistoryMode;
use limpetferry_lib::program::Target;
use limpetferry_lib::program::Urgency;
use limpetferry_lib::sse::Assembler;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use sha2::Digest as _;
use sha2::Sha256;

use crate::answers::refusal_answer;
use crate::answers::refusal_json;
use crate::entry_node::CallerGuard;
use crate::entry_node::EntryHandle;
use crate::entry_node::Piece;
use crate::http::Body;
use crate::http::BodyError;
use crate::http::Cut;
use crate::http::Handler;
use crate::http::json as json_answer;
use crate::http::read_body;
use crate::http::whole;

/// Header that names the program of a call.
pub const PROGRAM: &str = "limpetferry-program";
/// Header with the number of a call in its program.
pub const NUMBER: &str = "limpetferry-call";
/// Header with the key under which a call may be sent again.
pub const KEY: &str = "idempotency-key";
/// Header that says how soon a call is needed.
pub const URGENCY: &str = "limpetferry-urgency";
/// Header with the time that the caller waits, in milliseconds.
pub const PATIENCE: &str = "limpetferry-patience-ms";
/// Header that says whether the messages are all, or new ones only.
pub const HISTORY: &str = "limpetferry-history";
/// Header with the digest of the history that new messages continue.
pub const BASE: &str = "limpetferry-base";
/// Header with the number of bytes of the answer that the caller has.
pub const OFFSET: &str = "limpetferry-offset";
/// Header of an answer with the digest of the history after the call.
pub const DIGEST: &str = "limpetferry-digest";

/// Time that a caller waits who does not say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(300);
/// Longest idempotency key.
const MAX_KEY: usize = 256;

/// Returns what answers the callers' listener.
pub fn handler(handle: EntryHandle) -> Handler {
    Arc::new(move |request| {
        let handle = handle.clone();
        Box::pin(async move {
            let result = answer(&handle, request).await;
            let (word, response) = match result {
                Ok(response) => ("answer", response),
                Err(refusal) => (refusal.code.as_str(), refusal_answer(&refusal)),
            };
            handle.metrics.requests.with_label_values(&[word]).inc();
            response
        })
    })
}

/// Who sent a request.
struct Scope {
    operator: Operator,
    deployment: Deployment,
    rules: DeploymentRules,
}

impl Scope {
    /// Returns the request about a program in this deployment's name.
    fn of(&self, program: ProgramId) -> ProgramRequest {
        ProgramRequest {
            program,
            operator: self.operator.clone(),
            deployment: self.deployment.clone(),
        }
    }
}

async fn answer(
    handle: &EntryHandle,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let scope = scope(handle, request.headers())?;
    let (head, body) = request.into_parts();
    let limit = handle.settings.limits.body;
    let body = read_body(body, limit).await.map_err(|error| match error {
        BodyError::TooLong => {
            Refusal::with_detail(Code::TooLarge, format!("the body may have {limit} bytes"))
        }
        BodyError::Broken => Refusal::with_detail(Code::BadRequest, error.to_string()),
    })?;
    let path = head.uri.path().to_owned();
    let with_query = head
        .uri
        .path_and_query()
        .map_or(path.as_str(), |whole| whole.as_str());
    if path == "/v1/chat/completions" && head.method == Method::POST {
        return chat(handle, &scope, &head.headers, &body).await;
    }
    if let Some(rest) = with_query.strip_prefix("/v1/tools/") {
        return tool(
            handle,
            &scope,
            &head.headers,
            head.method.as_str(),
            rest,
            body,
        )
        .await;
    }
    if path == "/v1/programs" && head.method == Method::POST {
        return open(handle, &scope, &body).await;
    }
    if let Some(id) = path.strip_prefix("/v1/programs/") {
        let program = program_id(id)?;
        let ask = match head.method {
            Method::GET => Ask::Read(scope.of(program)),
            Method::DELETE => Ask::End(scope.of(program)),
            _ => return Err(Refusal::with_detail(Code::BadRequest, "use GET or DELETE")),
        };
        return program_answer(handle, ask).await;
    }
    Err(Refusal::with_detail(
        Code::BadRequest,
        "no such path; see docs/callers.md",
    ))
}

fn scope(handle: &EntryHandle, headers: &HeaderMap) -> Result<Scope, Refusal> {
    let refuse = || Refusal::new(Code::BadKey);
    let key = text(headers, "authorization")?.ok_or_else(refuse)?;
    let key = key.strip_prefix("Bearer ").ok_or_else(refuse)?;
    let documents = handle.documents();
    let digest = key_digest(key);
    let (operator, deployment) = documents.deployment_of(&digest).ok_or_else(refuse)?;
    let rules = documents.rules(operator, deployment).ok_or_else(refuse)?;
    Ok(Scope {
        operator: operator.clone(),
        deployment: deployment.clone(),
        rules: rules.clone(),
    })
}

/// Returns the SHA-256 of a key as hexadecimal digits.
pub fn key_digest(key: &str) -> String {
    let bytes = Sha256::digest(key);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some).map_err(|_| {
        Refusal::with_detail(Code::BadRequest, format!("header {name} is no plain text"))
    })
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        Refusal::with_detail(
            Code::BadRequest,
            format!("header {name} is no whole number"),
        )
    })
}

fn program_id(text: &str) -> Result<ProgramId, Refusal> {
    text.parse()
        .map_err(|error| Refusal::with_detail(Code::BadRequest, format!("{error}")))
}

fn urgency(headers: &HeaderMap) -> Result<Urgency, Refusal> {
    match text(headers, URGENCY)? {
        None | Some("normal") => Ok(Urgency::Normal),
        Some("urgent") => Ok(Urgency::Urgent),
        Some("background") => Ok(Urgency::Background),
        Some(_) => {
            let detail = format!("header {URGENCY} is urgent, normal or background");
            Err(Refusal::with_detail(Code::BadRequest, detail))
        }
    }
}

/// What the headers of a call say, whatever it is for.
struct CallHead {
    program: Option<ProgramId>,
    number: Option<u64>,
    call: CallId,
    keyed: bool,
    urgency: Urgency,
    patience: Duration,
    offset: u64,
}

impl CallHead {
    fn read(handle: &EntryHandle, scope: &Scope, headers: &HeaderMap) -> Result<Self, Refusal> {
        let program = text(headers, PROGRAM)?.map(program_id).transpose()?;
        let key = text(headers, KEY)?;
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY) {
            let detail = format!("header {KEY} has 1 to {MAX_KEY} characters");
            return Err(Refusal::with_detail(Code::BadRequest, detail));
        }
        let place = match program {
            Some(program) => program.to_string(),
            None => format!("{}/{}", scope.operator, scope.deployment),
        };
        let call = match key {
            Some(key) => CallId::derive(&place, key),
            None => CallId(rand::random()),
        };
        let most = Duration::from_millis(handle.settings.limits.patience_ms);
        let patience = number(headers, PATIENCE)?.map_or(DEFAULT_PATIENCE, Duration::from_millis);
        Ok(Self {
            program,
            number: number(headers, NUMBER)?,
            call,
            keyed: key.is_some(),
            urgency: urgency(headers)?,
            patience: patience.min(most),
            offset: number(headers, OFFSET)?.unwrap_or(0),
        })
    }

    fn request(&self, scope: &Scope, what: What) -> Box<CallRequest> {
        let parts = serde_json::json!([what.target, what.supply, what.turns, what.tokens]);
        let digest = Digest::of(parts.to_string().as_bytes()).then(&what.body);
        Box::new(CallRequest {
            program: self
                .program
                .unwrap_or(ProgramId::for_single_call(self.call)),
            call: self.call,
            number: self.number,
            keyed: self.keyed,
            digest,
            operator: scope.operator.clone(),
            deployment: scope.deployment.clone(),
            target: what.target,
            idempotent: what.idempotent,
            supply: what.supply,
            turns: what.turns,
            body: what.body,
            tokens: what.tokens,
            urgency: self.urgency,
            patience: self.patience,
        })
    }
}

/// What a call asks for, as its body says.
struct What {
    target: Target,
    idempotent: bool,
    supply: HistoryMode,
    turns: Vec<Turn>,
    body: Vec<u8>,
    tokens: u64,
}

fn supply(headers: &HeaderMap) -> Result<HistoryMode, Refusal> {
    let base = text(headers, BASE)?.map(digest).transpose()?;
    match text(headers, HISTORY)? {
        None | Some("full") if base.is_none() => Ok(HistoryMode::Full),
        Some("append") | None => Ok(HistoryMode::Append(base)),
        Some(_) => {
            let detail =
                format!("header {HISTORY} is full or append, and only append takes {BASE}");
            Err(Refusal::with_detail(Code::BadRequest, detail))
        }
    }
}

fn digest(text: &str) -> Result<Digest, Refusal> {
    let refuse = || Refusal::with_detail(Code::BadRequest, format!("header {BASE} is no digest"));
    if text.len() != 32 || !text.is_ascii() {
        return Err(refuse());
    }
    let mut bytes = [0; 16];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).map_err(|_| refuse())?;
    }
    Ok(Digest(bytes))
}

fn what_chat(scope: &Scope, headers: &HeaderMap, body: &[u8]) -> Result<(What, bool), Refusal> {
    let bad = |detail: &str| Refusal::with_detail(Code::BadRequest, detail);
    let mut body: Value = serde_json::from_slice(body).map_err(|_| bad("the body is no JSON"))?;
    let fields = body
        .as_object_mut()
        .ok_or_else(|| bad("the body is no object"))?;
    let model = fields.remove("model");
    let model = model
        .as_ref()
        .and_then(Value::as_str)
        .ok_or_else(|| bad("model is missing"))?;
    let model = Model::new(model);
    let rules = scope
        .rules
        .models
        .get(&model)
        .ok_or_else(|| Refusal::new(Code::UnknownModel))?;
    let messages = match fields.remove("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err(bad("messages is missing or empty")),
    };
    let stream = match fields.remove("stream") {
        None => false,
        Some(value) => value.as_bool().ok_or_else(|| bad("stream is no boolean"))?,
    };
    let tokens = match fields.remove("max_tokens") {
        None => rules.tokens,
        Some(value) => value
            .as_u64()
            .ok_or_else(|| bad("max_tokens is no whole number"))?,
    };
    let what = What {
        target: Target::Model(model),
        idempotent: true,
        supply: supply(headers)?,
        turns: messages
            .iter()
            .map(|message| Turn::new(message.to_string()))
            .collect(),
        tokens: tokens.clamp(1, rules.tokens),
        body: body.to_string().into_bytes(),
    };
    Ok((what, stream))
}

async fn chat(
    handle: &EntryHandle,
    scope: &Scope,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Response<Body>, Refusal> {
    let head = CallHead::read(handle, scope, headers)?;
    let (what, stream) = what_chat(scope, headers, body)?;
    let start = Instant::now();
    let offset = if stream { head.offset } else { 0 };
    let request = Ask::Call(head.request(scope, what));
    let (pieces, guard) = handle.ask(request, offset).await;
    let first = pieces
        .recv()
        .await
        .map_err(|_| Refusal::new(Code::Stopping))?;
    handle.metrics.observe_first_byte(start.elapsed());
    if stream {
        stream_answer(first, pieces, guard)
    } else {
        whole_answer(&head, first, pieces, guard).await
    }
}

fn stream_answer(
    first: Piece,
    pieces: Receiver<Piece>,
    guard: CallerGuard,
) -> Result<Response<Body>, Refusal> {
    if let Piece::End(Reply::Refused(refusal)) = first {
        return Err(refusal);
    }
    let state = (Some(first), pieces, guard, false);
    let frames = unfold(state, |(next, pieces, guard, over)| async move {
        if over {
            return None;
        }
        let piece = match next {
            Some(piece) => piece,
            None => pieces.recv().await.ok()?,
        };
        let (bytes, over) = match piece {
            Piece::Bytes(bytes) => (Bytes::from(bytes), false),
            Piece::End(reply) => (Bytes::from(end_mark(&reply)), true),
        };
        let frame: Result<Frame<Bytes>, Cut> = Ok(Frame::data(bytes));
        Some((frame, (None, pieces, guard, over)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    Ok(response)
}

/// Returns what ends a stream: the end mark after a whole answer only, the
/// error otherwise.
fn end_mark(reply: &Reply) -> String {
    match reply {
        Reply::Ended(ending) => format!(
            ": end call={} number={} size={} digest={}\n\ndata: [DONE]\n\n",
            ending.call, ending.number, ending.size, ending.digest
        ),
        Reply::Refused(refusal) => format!("data: {}\n\n", refusal_json(refusal)),
        Reply::Program(_) | Reply::Moved => String::new(),
    }
}

/// Waits for the end of an answer and returns it whole.
async fn gather(first: Piece, pieces: &Receiver<Piece>) -> Result<(Vec<u8>, Reply), Refusal> {
    let mut bytes = Vec::new();
    let mut next = first;
    loop {
        match next {
            Piece::Bytes(more) => bytes.extend_from_slice(&more),
            Piece::End(reply) => return Ok((bytes, reply)),
        }
        next = pieces
            .recv()
            .await
            .map_err(|_| Refusal::new(Code::Settling))?;
    }
}

async fn whole_answer(
    head: &CallHead,
    first: Piece,
    pieces: Receiver<Piece>,
    guard: CallerGuard,
) -> Result<Response<Body>, Refusal> {
    let (bytes, reply) = gather(first, &pieces).await?;
    drop(guard);
    let ending = ending(reply)?;
    if ending.status != 200 {
        return Ok(plain_answer(&ending, bytes));
    }
    let mut assembler = Assembler::default();
    assembler.push(&bytes);
    let mut response = json_answer(200, &assembler.completion(&head.call.to_string()));
    add_headers(&mut response, &ending);
    Ok(response)
}

fn ending(reply: Reply) -> Result<AnswerEnd, Refusal> {
    match reply {
        Reply::Ended(ending) => Ok(ending),
        Reply::Refused(refusal) => Err(refusal),
        Reply::Program(_) | Reply::Moved => Err(Refusal::new(Code::Settling)),
    }
}

fn plain_answer(ending: &AnswerEnd, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(whole(bytes));
    *response.status_mut() =
        http::StatusCode::from_u16(ending.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    if let Ok(kind) = HeaderValue::from_str(&ending.kind) {
        response.headers_mut().insert("content-type", kind);
    }
    add_headers(&mut response, ending);
    response
}

fn add_headers(response: &mut Response<Body>, ending: &AnswerEnd) {
    let headers = response.headers_mut();
    let values = [
        ("limpetferry-call-id", ending.call.to_string()),
        (NUMBER, ending.number.to_string()),
        (DIGEST, ending.digest.to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
}

async fn tool(
    handle: &EntryHandle,
    scope: &Scope,
    headers: &HeaderMap,
    method: &str,
    rest: &str,
    body: Bytes,
) -> Result<Response<Body>, Refusal> {
    let (service, path) = match rest.find(['/', '?']) {
        Some(end) => rest.split_at(end),
        None => (rest, "/"),
    };
    let service = Service::new(service);
    let rules = scope.rules.services.get(&service);
    let rules = rules.ok_or_else(|| Refusal::new(Code::UnknownService))?;
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let head = CallHead::read(handle, scope, headers)?;
    let what = What {
        idempotent: rules.is_idempotent(method, &path),
        target: Target::Service {
            service,
            method: method.to_owned(),
            path,
        },
        supply: HistoryMode::Append(None),
        turns: Vec::new(),
        body: body.to_vec(),
        tokens: 0,
    };
    let start = Instant::now();
    let (pieces, guard) = handle.ask(Ask::Call(head.request(scope, what)), 0).await;
    let first = pieces
        .recv()
        .await
        .map_err(|_| Refusal::new(Code::Stopping))?;
    handle.metrics.observe_first_byte(start.elapsed());
    let (bytes, reply) = gather(first, &pieces).await?;
    drop(guard);
    Ok(plain_answer(&ending(reply)?, bytes))
}

/// Body of a request that opens a program.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct OpenBody {
    parent: Option<String>,
    tokens: Option<u64>,
    calls: Option<u64>,
}

async fn open(handle: &EntryHandle, scope: &Scope, body: &[u8]) -> Result<Response<Body>, Refusal> {
    let body = if body.is_empty() { b"{}" } else { body };
    let body: OpenBody = serde_json::from_slice(body)
        .map_err(|error| Refusal::with_detail(Code::BadRequest, error.to_string()))?;
    let parent = body.parent.as_deref().map(program_id).transpose()?;
    let most = scope.rules.program.amount();
    let limit = Amount {
        tokens: body.tokens.unwrap_or(most.tokens),
        calls: body.calls.unwrap_or(most.calls),
    };
    // Zero would mean a call without a program.
    let leaf = rand::random_range(1..=u64::MAX);
    let request = OpenRequest {
        program: ProgramId {
            root: parent.map_or_else(rand::random, |parent| parent.root),
            leaf,
        },
        parent,
        operator: scope.operator.clone(),
        deployment: scope.deployment.clone(),
        limit: limit.at_most(most),
    };
    program_answer(handle, Ask::Open(request)).await
}

async fn program_answer(handle: &EntryHandle, ask: Ask) -> Result<Response<Body>, Refusal> {
    let (pieces, _guard) = handle.ask(ask, 0).await;
    match pieces.recv().await {
        Ok(Piece::End(Reply::Program(view))) => Ok(json_answer(200, &program_json(&view))),
        Ok(Piece::End(Reply::Refused(refusal))) => Err(refusal),
        _ => Err(Refusal::new(Code::Settling)),
    }
}

/// Returns the JSON form of a program.
pub fn program_json(view: &ProgramView) -> Value {
    let messages: Vec<Value> = view
        .turns
        .iter()
        .filter_map(|turn| serde_json::from_str(&turn.text).ok())
        .collect();
    let amount = |amount: Amount| json!({"tokens": amount.tokens, "calls": amount.calls});
    json!({
        "id": view.program.to_string(),
        "parent": view.parent.map(|parent| parent.to_string()),
        "next_call": view.next,
        "ended": view.ended,
        "digest": view.digest.to_string(),
        "budget": {
            "limit": amount(view.budget.limit()),
            "spent": amount(view.budget.spent()),
            "left": amount(view.budget.left()),
        },
        "messages": messages,
    })
}
