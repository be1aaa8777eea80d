//! Isolation of tenants: only the operator that a program belongs to can read,
//! end or continue it, settle its calls or open sub-agents of it.

use std::time::Duration;

use limpetferry_lib::budget::Amount;
use limpetferry_lib::code::Code;
use limpetferry_lib::effect::CallerKey;
use limpetferry_lib::effect::Effect;
use limpetferry_lib::entry::Entry;
use limpetferry_lib::entry::Event;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::DataCentre;
use limpetferry_lib::id::Deployment;
use limpetferry_lib::id::Digest;
use limpetferry_lib::id::Epoch;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::Operator;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::id::Service;
use limpetferry_lib::member::Node;
use limpetferry_lib::member::Role;
use limpetferry_lib::message::Message;
use limpetferry_lib::message::OpenRequest;
use limpetferry_lib::message::OutcomeDecision;
use limpetferry_lib::message::ProgramRequest;
use limpetferry_lib::message::Reply;
use limpetferry_lib::message::Request;
use limpetferry_lib::program::CallRequest;
use limpetferry_lib::program::HistoryMode;
use limpetferry_lib::program::Target;
use limpetferry_lib::program::Urgency;
use limpetferry_lib::rules::Rules;
use limpetferry_lib::shard_map::Assignment;
use limpetferry_lib::shard_map::Block;
use limpetferry_lib::time::Time;
use serde_json::json;

const PROGRAM: ProgramId = ProgramId { root: 1, leaf: 2 };
const LIMIT: Amount = Amount {
    tokens: 10,
    calls: 5,
};

/// An entry whose keeper acknowledges every change immediately.
struct Fixture {
    entry: Entry,
    callers: u64,
}

fn at(millis: u64) -> Time {
    Time::default() + Duration::from_millis(millis)
}

fn document(operator: &str, key: char) -> String {
    json!({"operator": operator, "version": 1, "patches": [], "document": {
        "servers": {"tool-1": {"slots": 1}},
        "deployments": {"dep": {
            "key": key.to_string().repeat(64),
            "services": {"s": {"servers": ["tool-1"], "timeout_ms": 1_000}},
            "limits": {"running": 10, "waiting": 10},
            "program": {"tokens": 100, "calls": 10, "idle_s": 60},
        }},
    }})
    .to_string()
}

impl Fixture {
    fn new() -> Self {
        let rules = Rules::default();
        let own = NodeId::new("entry-1");
        let keeper = Node {
            id: NodeId::new("tool-1"),
            role: Role::Side,
            centre: DataCentre::new("dc"),
            address: "127.0.0.1:1".into(),
            vm: "vm".into(),
        };
        let assignment = Assignment {
            owner: Some(own.clone()),
            keeper: Some(keeper.id.clone()),
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
        let up = Event::LinkUp {
            node: keeper.id.clone(),
            boot: Boot(7),
        };
        let entry = Entry::new(own, DataCentre::new("dc"), Boot(1), rules, 1);
        let mut fixture = Self { entry, callers: 0 };
        fixture.step(Event::Registry(vec![keeper]));
        fixture.step(Event::Document(document("ours", 'a')));
        fixture.step(Event::Document(document("theirs", 'b')));
        fixture.step(up);
        fixture.step(block);
        fixture
    }

    /// Handles an event and acknowledges the resulting changes as the keeper.
    /// Returns the final reply to the caller, if there is one.
    fn step(&mut self, event: Event) -> Option<Reply> {
        let mut events = vec![event];
        let mut last_reply = None;
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.entry.step(at(1_000), event, &mut out);
            for effect in out {
                match effect {
                    Effect::Send {
                        to,
                        message:
                            Message::Keep {
                                shard, epoch, seq, ..
                            },
                    } => events.insert(
                        0,
                        Event::Message {
                            from: to,
                            message: Message::Kept { shard, epoch, seq },
                        },
                    ),
                    Effect::Finish { reply, .. } => last_reply = Some(reply),
                    _ => {}
                }
            }
        }
        last_reply
    }

    fn submit(&mut self, request: Request) -> Option<Reply> {
        self.callers += 1;
        let caller = CallerKey(self.callers);
        self.step(Event::Caller {
            caller,
            request,
            offset: 0,
        })
    }

    fn refusal(&mut self, request: Request) -> Option<Code> {
        match self.submit(request) {
            Some(Reply::Refused(refusal)) => Some(refusal.code),
            _ => None,
        }
    }
}

fn open(operator: &str, program: ProgramId, parent: Option<ProgramId>) -> Request {
    Request::Open(OpenRequest {
        program,
        parent,
        operator: Operator::new(operator),
        deployment: Deployment::new("dep"),
        limit: LIMIT,
    })
}

fn program_request(operator: &str) -> ProgramRequest {
    ProgramRequest {
        program: PROGRAM,
        operator: Operator::new(operator),
        deployment: Deployment::new("dep"),
    }
}

fn call(operator: &str) -> Request {
    Request::Call(Box::new(CallRequest {
        program: PROGRAM,
        call: CallId(5),
        number: None,
        keyed: true,
        digest: Digest::of(b"call"),
        operator: Operator::new(operator),
        deployment: Deployment::new("dep"),
        target: Target::Service {
            service: Service::new("s"),
            method: "POST".into(),
            path: "/".into(),
        },
        idempotent: false,
        supply: HistoryMode::Append(None),
        turns: Vec::new(),
        body: Vec::new(),
        tokens: 0,
        urgency: Urgency::Normal,
        patience: Duration::from_secs(10),
    }))
}

fn judgement(operator: &str) -> Request {
    Request::Judge(OutcomeDecision {
        program: PROGRAM,
        operator: Operator::new(operator),
        call: CallId(5),
        ran: true,
    })
}

#[test]
fn another_operator_cannot_access_a_program() {
    let mut fixture = Fixture::new();
    let opened = fixture.submit(open("ours", PROGRAM, None));
    assert!(matches!(opened, Some(Reply::Program(_))), "{opened:?}");
    let child = ProgramId { root: 1, leaf: 3 };

    let read = fixture.refusal(Request::Read(program_request("theirs")));
    let settled = fixture.refusal(judgement("theirs"));
    let called = fixture.refusal(call("theirs"));
    let attached = fixture.refusal(open("theirs", child, Some(PROGRAM)));
    let ended = fixture.refusal(Request::End(program_request("theirs")));

    let refusals = [read, settled, called, attached, ended];
    assert_eq!(refusals, [Some(Code::BadKey); 5]);
}

#[test]
fn another_operator_cannot_attach_to_a_running_call() {
    let mut fixture = Fixture::new();
    fixture.submit(open("ours", PROGRAM, None));
    let started = fixture.submit(call("ours"));
    assert_eq!(started, None, "the call is running");

    let other = fixture.refusal(call("theirs"));

    assert_eq!(other, Some(Code::BadKey));
}

#[test]
fn the_programs_operator_can_read_and_end_it() {
    let mut fixture = Fixture::new();
    fixture.submit(open("ours", PROGRAM, None));

    let read = fixture.submit(Request::Read(program_request("ours")));
    let ended = fixture.submit(Request::End(program_request("ours")));

    assert!(matches!(read, Some(Reply::Program(_))), "{read:?}");
    let view = match ended {
        Some(Reply::Program(view)) => view,
        other => panic!("{other:?}"),
    };
    assert!(view.ended);
}
