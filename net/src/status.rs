//! What an entry tells operators of itself and of the servers.

use http::Response;
use limpetferry_lib::entry::Entry;
use limpetferry_lib::id::Operator;
use limpetferry_lib::member::Role;
use limpetferry_lib::outcome::Refusal;
use serde_json::Value;
use serde_json::json;

use crate::entry_node::EntryHandle;
use crate::http::Body;
use crate::http::json as json_answer;

/// Answers with the state of the entry as the operator may see it.
///
/// # Errors
///
/// Never fails; the type is that of the other answers.
pub async fn status(handle: &EntryHandle, operator: &Operator) -> Result<Response<Body>, Refusal> {
    let node = handle.settings.common.node.clone();
    let operator = operator.clone();
    let calls = handle.store.calls();
    let answer = handle
        .query(move |entry| {
            json!({
                "node": node,
                "version": entry.documents().version(&operator),
                "shards_owned": entry.shards_owned(),
                "shards_kept": entry.owner().shards_kept(),
                "callers_waiting": entry.callers().len(),
                "calls_open": entry.owner().open_call_count(),
                "programs": entry.owner().program_count(),
                "store_calls": calls,
                "peers": peers(entry),
            })
        })
        .await;
    Ok(json_answer(200, &answer))
}

fn peers(entry: &Entry) -> Vec<Value> {
    let row = |member: &limpetferry_lib::member::Member| {
        let load = member.load();
        json!({
            "node": member.node.id,
            "role": if member.node.role == Role::Entry { "entry" } else { "side" },
            "centre": member.node.centre,
            "linked": member.boot().is_some(),
            "leaving": member.is_leaving(),
            "running": load.running,
            "queued": load.queued,
        })
    };
    entry.members().iter().map(row).collect()
}
