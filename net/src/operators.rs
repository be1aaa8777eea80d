//! The operators' HTTP API.

use std::sync::Arc;

use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use limpetferry_lib::code::Code;
use limpetferry_lib::document::Document;
use limpetferry_lib::document::Envelope;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::Operator;
use limpetferry_lib::message::OutcomeDecision;
use limpetferry_lib::message::Reply;
use limpetferry_lib::message::Request as Ask;
use limpetferry_lib::outcome::Refusal;
use limpetferry_lib::patch;
use limpetferry_lib::patch::Applied;
use limpetferry_lib::patch::Patch;
use limpetferry_lib::patch::PatchError;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::answers::refusal_answer;
use crate::callers::program_json;
use crate::clock::unix_secs;
use crate::entry_node::EntryHandle;
use crate::entry_node::Piece;
use crate::http::Body;
use crate::http::BodyError;
use crate::http::Handler;
use crate::http::json as json_answer;
use crate::http::read_body;
use crate::keys;
use crate::status::status;
use crate::store::StoreError;
use crate::store::SwapEnd;

/// Tries to settle a swap whose answer was lost, or that another one beat.
const TRIES: usize = 8;

/// Returns what answers the operators' listener.
pub fn handler(handle: EntryHandle) -> Handler {
    Arc::new(move |request| {
        let handle = handle.clone();
        Box::pin(async move {
            match answer(&handle, request).await {
                Ok(response) => response,
                Err(refusal) => refusal_answer(&refusal),
            }
        })
    })
}

async fn answer(
    handle: &EntryHandle,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let operator = operator(handle, &request)?;
    let (head, body) = request.into_parts();
    let limit = handle.settings.limits.body;
    let body = read_body(body, limit).await.map_err(|error| match error {
        BodyError::TooLong => Refusal::new(Code::TooLarge),
        BodyError::Broken => Refusal::with_detail(Code::BadRequest, error.to_string()),
    })?;
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::GET, "/v1/config") => show(handle, &operator).await,
        (&Method::GET, "/v1/config/history") => history(handle, &operator).await,
        (&Method::POST, "/v1/config/check") => check(&body),
        (&Method::POST, "/v1/config/patches") => apply(handle, &operator, &body).await,
        (&Method::GET, "/v1/status") => status(handle, &operator).await,
        (&Method::GET, "/v1/programs") => programs(handle, &operator).await,
        (&Method::POST, "/v1/settle") => settle(handle, operator, &body).await,
        (method, path) => match path.strip_prefix("/v1/drains/") {
            Some(server) => drain(handle, &operator, method, &NodeId::new(server)).await,
            None => Err(Refusal::with_detail(
                Code::BadRequest,
                "no such path; see docs/operators.md",
            )),
        },
    }
}

fn operator(handle: &EntryHandle, request: &Request<Incoming>) -> Result<Operator, Refusal> {
    let refuse = || {
        Refusal::with_detail(
            Code::BadKey,
            "send an operator's key in the Authorization header",
        )
    };
    let header = request.headers().get("authorization").ok_or_else(refuse)?;
    let key = header
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "));
    let key = key.ok_or_else(refuse)?;
    let keys = &handle.settings.operator_keys;
    let found = keys.iter().find(|(_, known)| known.as_str() == key);
    found
        .map(|(operator, _)| operator.clone())
        .ok_or_else(refuse)
}

fn store_refusal(error: StoreError) -> Refusal {
    Refusal::with_detail(Code::StoreDown, error.to_string())
}

/// Reads an operator's envelope with its revision, zero if there is none.
async fn read(handle: &EntryHandle, operator: &Operator) -> Result<(Envelope, u64), Refusal> {
    let key = keys::config(operator);
    let (items, _) = handle.store.list(&key).await.map_err(store_refusal)?;
    let Some(item) = items.iter().find(|item| item.key == key) else {
        return Ok((patch::empty_envelope(operator), 0));
    };
    let envelope = serde_json::from_str(&item.value)
        .map_err(|error| Refusal::with_detail(Code::BadDocument, error.to_string()))?;
    Ok((envelope, item.revision))
}

async fn show(handle: &EntryHandle, operator: &Operator) -> Result<Response<Body>, Refusal> {
    let (envelope, _) = read(handle, operator).await?;
    let in_force = handle.documents().version(operator);
    let answer =
        json!({"version": envelope.version, "in_force": in_force, "document": envelope.document});
    Ok(json_answer(200, &answer))
}

async fn history(handle: &EntryHandle, operator: &Operator) -> Result<Response<Body>, Refusal> {
    let (items, _) = handle
        .store
        .list(&keys::audits(operator))
        .await
        .map_err(store_refusal)?;
    let lines: Vec<Value> = items
        .iter()
        .filter_map(|item| serde_json::from_str(&item.value).ok())
        .collect();
    Ok(json_answer(200, &json!({"lines": lines})))
}

fn check(body: &[u8]) -> Result<Response<Body>, Refusal> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|error| Refusal::with_detail(Code::BadRequest, error.to_string()))?;
    let faults: Vec<Value> = match Document::parse(&value) {
        Ok(_) => Vec::new(),
        Err(faults) => faults
            .iter()
            .map(|fault| json!({"path": fault.path, "remedy": fault.remedy}))
            .collect(),
    };
    Ok(json_answer(200, &json!({"faults": faults})))
}

/// Applies a patch by one compare-and-swap of document and audit line. A
/// lost answer is settled by reading, not by writing again.
async fn apply(
    handle: &EntryHandle,
    operator: &Operator,
    body: &[u8],
) -> Result<Response<Body>, Refusal> {
    let patch: Patch = serde_json::from_slice(body)
        .map_err(|error| Refusal::with_detail(Code::BadRequest, error.to_string()))?;
    let mut last = Refusal::new(Code::StoreDown);
    for _ in 0..TRIES {
        // A service that cannot be read now is not waited for: the operator
        // is told to come back.
        let (envelope, revision) = read(handle, operator).await?;
        let applied = patch::apply(&envelope, &patch, operator.as_str(), unix_secs());
        let (next, audit) = match applied.map_err(patch_refusal)? {
            Applied::AlreadyApplied(version) => return Ok(applied_answer(version.0)),
            Applied::New(next, audit) => (next, audit),
        };
        let writes = vec![
            (keys::config(operator), to_text(&*next)),
            (keys::audit(operator, next.version), to_text(&*audit)),
        ];
        match handle
            .store
            .swap(&keys::config(operator), revision, writes)
            .await
        {
            Ok(SwapEnd::Done(_)) => {
                let event = limpetferry_lib::entry::Event::Document(to_text(&*next));
                handle.event(event).await;
                return Ok(applied_answer(next.version.0));
            }
            Ok(SwapEnd::Conflict) => {}
            Err(error) => last = store_refusal(error),
        }
    }
    Err(last)
}

fn to_text(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn applied_answer(version: u64) -> Response<Body> {
    json_answer(200, &json!({"version": version}))
}

fn patch_refusal(error: PatchError) -> Refusal {
    let code = match &error {
        PatchError::Conflict { .. } => Code::VersionConflict,
        PatchError::IdReused(_) => Code::IdReused,
        PatchError::BadId(_) => Code::BadRequest,
        PatchError::Unfit(_) | PatchError::Faulty(_) => Code::BadDocument,
    };
    Refusal::with_detail(code, error.to_string())
}

async fn programs(handle: &EntryHandle, operator: &Operator) -> Result<Response<Body>, Refusal> {
    let operator = operator.clone();
    let list = handle
        .query(move |entry| {
            let owned = entry
                .owner()
                .heads()
                .filter(|(_, head)| head.operator == operator);
            let row = |(id, head): (
                limpetferry_lib::id::ProgramId,
                &limpetferry_lib::program::ProgramHead,
            )| {
                json!({"id": id.to_string(), "deployment": head.deployment, "next_call": head.next,
                       "ended": head.ended, "spent_tokens": head.budget.spent().tokens})
            };
            owned.take(1_000).map(row).collect::<Vec<Value>>()
        })
        .await;
    Ok(json_answer(
        200,
        &json!({"programs": list.unwrap_or_default()}),
    ))
}

/// Body of an operator's word on a call of unknown outcome.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettleBody {
    program: String,
    key: String,
    ran: bool,
}

async fn settle(
    handle: &EntryHandle,
    operator: Operator,
    body: &[u8],
) -> Result<Response<Body>, Refusal> {
    let body: SettleBody = serde_json::from_slice(body)
        .map_err(|error| Refusal::with_detail(Code::BadRequest, error.to_string()))?;
    let program = body
        .program
        .parse()
        .map_err(|error| Refusal::with_detail(Code::BadRequest, format!("{error}")))?;
    let judgement = OutcomeDecision {
        program,
        operator,
        call: CallId::derive(&body.program, &body.key),
        ran: body.ran,
    };
    let (pieces, _guard) = handle.ask(Ask::Judge(judgement), 0).await;
    match pieces.recv().await {
        Ok(Piece::End(Reply::Program(view))) => Ok(json_answer(200, &program_json(&view))),
        Ok(Piece::End(Reply::Refused(refusal))) => Err(refusal),
        _ => Err(Refusal::new(Code::Settling)),
    }
}

/// Drains a server that the operator's document names, or ends the drain.
async fn drain(
    handle: &EntryHandle,
    operator: &Operator,
    method: &Method,
    server: &NodeId,
) -> Result<Response<Body>, Refusal> {
    let (envelope, _) = read(handle, operator).await?;
    let ours = envelope.document["servers"].get(server.as_str()).is_some();
    if !ours {
        let detail = format!("{server} is no server of your document");
        return Err(Refusal::with_detail(Code::BadRequest, detail));
    }
    let key = keys::drain(server);
    match *method {
        Method::POST => {
            handle
                .store
                .put(&key, operator.as_str(), 0)
                .await
                .map_err(store_refusal)?;
        }
        Method::DELETE => handle.store.delete(&key).await.map_err(store_refusal)?,
        _ => return Err(Refusal::with_detail(Code::BadRequest, "use POST or DELETE")),
    }
    Ok(json_answer(
        200,
        &json!({"server": server, "draining": *method == Method::POST}),
    ))
}
