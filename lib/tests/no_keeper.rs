//! Replies of an owner while no keeper is available.

use std::time::Duration;

use limpetferry_lib::budget::Amount;
use limpetferry_lib::code::Code;
use limpetferry_lib::effect::CallerKey;
use limpetferry_lib::effect::Effect;
use limpetferry_lib::entry::Entry;
use limpetferry_lib::entry::Event;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::DataCentre;
use limpetferry_lib::id::Deployment;
use limpetferry_lib::id::Epoch;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::Operator;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::message::OpenRequest;
use limpetferry_lib::message::ProgramRequest;
use limpetferry_lib::message::Reply;
use limpetferry_lib::message::Request;
use limpetferry_lib::rules::Rules;
use limpetferry_lib::shard_map::Assignment;
use limpetferry_lib::shard_map::Block;
use limpetferry_lib::time::Time;
use serde_json::json;

const CALLER: CallerKey = CallerKey(1);

fn at(millis: u64) -> Time {
    Time::default() + Duration::from_millis(millis)
}

fn document() -> String {
    json!({"operator": "op", "version": 1, "patches": [], "document": {
        "servers": {"tool-1": {"slots": 1}},
        "deployments": {"dep": {
            "key": "0".repeat(64),
            "services": {"s": {"servers": ["tool-1"], "timeout_ms": 1_000}},
            "limits": {"running": 10, "waiting": 10},
            "program": {"tokens": 100, "calls": 10, "idle_s": 60},
        }},
    }})
    .to_string()
}

/// Returns an entry that owns all shards, none of which has a keeper.
fn lone_entry(rules: &Rules) -> Entry {
    let own = NodeId::new("entry-1");
    let assignment = Assignment {
        owner: Some(own.clone()),
        epoch: Epoch(1),
        ..Assignment::default()
    };
    let block = Event::Block {
        block: 0,
        revision: 1,
        value: Block {
            shards: vec![assignment; usize::from(rules.shards)],
        },
    };
    let mut entry = Entry::new(own, DataCentre::new("dc"), Boot(1), rules.clone(), 1);
    let mut out = Vec::new();
    entry.step(at(0), Event::Document(document()), &mut out);
    entry.step(at(0), block, &mut out);
    entry
}

fn open() -> Request {
    Request::Open(OpenRequest {
        program: ProgramId { root: 1, leaf: 2 },
        parent: None,
        operator: Operator::new("op"),
        deployment: Deployment::new("dep"),
        limit: Amount {
            tokens: 10,
            calls: 1,
        },
    })
}

/// Sends a request to an entry and ticks it until `end`. Returns the reply to
/// the caller with its time in milliseconds.
fn final_reply(entry: &mut Entry, request: Request, end: u64) -> Option<(u64, Reply)> {
    let mut out = Vec::new();
    let ask = Event::Caller {
        caller: CALLER,
        request,
        offset: 0,
    };
    entry.step(at(10), ask, &mut out);
    for now in (10..end).step_by(25) {
        entry.step(at(now), Event::Tick, &mut out);
        for effect in out.drain(..) {
            if let Effect::Finish { reply, .. } = effect {
                return Some((now, reply));
            }
        }
    }
    None
}

#[test]
fn an_opening_that_no_keeper_can_hold_is_refused_at_once() {
    let rules = Rules::default();
    let mut entry = lone_entry(&rules);

    let reply = final_reply(&mut entry, open(), 60_000);

    let (when, reply) = reply.expect("a reply");
    let Reply::Refused(refusal) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(refusal.code, Code::NoKeeper);
    assert!(when <= 10 + rules.alone_ms + 50, "only after {when} ms");
}

#[test]
fn a_reading_that_no_keeper_confirms_is_refused_at_once() {
    let rules = Rules::default();
    let mut entry = lone_entry(&rules);
    let read = Request::Read(ProgramRequest {
        program: ProgramId { root: 1, leaf: 2 },
        operator: Operator::new("op"),
        deployment: Deployment::new("dep"),
    });

    let reply = final_reply(&mut entry, read, 60_000);

    let (when, reply) = reply.expect("a reply");
    let Reply::Refused(refusal) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(refusal.code, Code::NoKeeper);
    assert!(when <= 10 + rules.alone_ms + 50, "only after {when} ms");
}
