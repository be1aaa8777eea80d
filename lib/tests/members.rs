//! Which processes count as available, for any order of links, registrations and
//! notices.

use std::time::Duration;

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
use limpetferry_lib::member::Members;
use limpetferry_lib::member::Node;
use limpetferry_lib::member::Role;
use limpetferry_lib::message::Message;
use limpetferry_lib::message::ProgramRequest;
use limpetferry_lib::message::Reply;
use limpetferry_lib::message::Request;
use limpetferry_lib::rules::Rules;
use limpetferry_lib::shard_map::Assignment;
use limpetferry_lib::shard_map::Block;
use limpetferry_lib::time::Time;

fn node(name: &str, role: Role) -> Node {
    Node {
        id: NodeId::new(name),
        role,
        centre: DataCentre::new("osijek"),
        address: "127.0.0.1:1".into(),
        vm: format!("vm-{name}"),
    }
}

fn at(millis: u64) -> Time {
    Time::default() + Duration::from_millis(millis)
}

/// Returns the block of all shards, owned by `owner`.
fn owned_by(owner: &str, shards: u16) -> Block {
    let assignment = Assignment {
        owner: Some(NodeId::new(owner)),
        epoch: Epoch(1),
        ..Assignment::default()
    };
    Block {
        shards: vec![assignment; usize::from(shards)],
    }
}

#[test]
fn a_link_made_before_the_registration_was_read_counts() {
    let peer = node("tool-1", Role::Side);
    let mut members = Members::default();

    members.link_up(at(0), &peer.id, Boot(7));
    members.register(at(10), [&peer]);

    assert_eq!(members.boot(&peer.id), Some(Boot(7)));
    assert!(members.in_service(at(10), &peer.id));
    assert!(!members.has_no_link_for(at(5_000), &peer.id, Duration::from_secs(1)));
}

#[test]
fn a_link_lost_before_the_registration_was_read_does_not_count() {
    let peer = node("tool-1", Role::Side);
    let mut members = Members::default();

    members.link_up(at(0), &peer.id, Boot(7));
    members.link_down(at(5), &peer.id);
    members.register(at(10), [&peer]);

    assert_eq!(members.boot(&peer.id), None);
    assert!(!members.in_service(at(10), &peer.id));
}

#[test]
fn a_request_goes_to_an_owner_linked_before_its_registration() {
    let rules = Rules::default();
    let shards = rules.shards;
    let own = NodeId::new("entry-2");
    let centre = DataCentre::new("osijek");
    let mut entry = Entry::new(own, centre, Boot(2), rules, 1);
    let mut out = Vec::new();
    let owner = node("entry-1", Role::Entry);
    let up = Event::LinkUp {
        node: owner.id.clone(),
        boot: Boot(1),
    };
    let block = Event::Block {
        block: 0,
        revision: 1,
        value: owned_by("entry-1", shards),
    };
    entry.step(at(0), up, &mut out);
    entry.step(at(1), Event::Registry(vec![owner.clone()]), &mut out);
    entry.step(at(2), block, &mut out);
    out.clear();

    let ask = Event::Caller {
        caller: CallerKey(1),
        request: Request::Read(ProgramRequest {
            program: ProgramId { root: 1, leaf: 2 },
            operator: Operator::new("op"),
            deployment: Deployment::new("dep"),
        }),
        offset: 0,
    };
    entry.step(at(3), ask, &mut out);

    let submitted = out.iter().any(|effect| {
        matches!(effect, Effect::Send { to, message: Message::Submit { .. } } if *to == owner.id)
    });
    assert!(submitted, "{out:?}");
}

/// Returns members with linked side processes that have these names.
fn linked_sides(names: &[&str]) -> Members {
    let mut members = Members::default();
    for name in names {
        let side = node(name, Role::Side);
        members.register(at(0), [&side]);
        members.link_up(at(0), &side.id, Boot(1));
    }
    members
}

/// Loses and re-establishes the link to `name` `times` times, ending at `end`.
fn flap(members: &mut Members, name: &str, times: u64, end: u64) {
    let id = NodeId::new(name);
    for turn in (1..=times).rev() {
        members.link_down(at(end - turn * 10), &id);
        members.link_up(at(end - turn * 10 + 5), &id, Boot(1));
    }
}

#[test]
fn a_flapping_server_gets_work_after_a_growing_delay() {
    let mut members = linked_sides(&["tool-1", "tool-2", "tool-3"]);
    let id = NodeId::new("tool-1");

    flap(&mut members, "tool-1", 1, 10_000);
    let after_one = [10_100, 10_300].map(|now| members.in_service(at(now), &id));
    flap(&mut members, "tool-1", 4, 20_000);
    let after_five = [20_300, 23_000, 24_100].map(|now| members.in_service(at(now), &id));

    assert_eq!(after_one, [false, true]);
    assert_eq!(after_five, [false, false, true]);
}

#[test]
fn flapping_excludes_at_most_half_of_the_servers() {
    let mut members = linked_sides(&["tool-1", "tool-2"]);
    let in_service = |members: &Members| {
        ["tool-1", "tool-2"].map(|name| members.in_service(at(10_100), &NodeId::new(name)))
    };

    flap(&mut members, "tool-1", 3, 10_000);
    let one = in_service(&members);
    flap(&mut members, "tool-2", 3, 10_000);
    let both = in_service(&members);

    assert_eq!(one, [false, true]);
    assert_eq!(both, [true, true]);
}

#[test]
fn a_drained_server_gets_no_work_even_if_it_is_the_only_one() {
    let mut members = linked_sides(&["tool-1"]);

    members.set_drained(&[NodeId::new("tool-1")]);

    assert!(!members.in_service(at(10_000), &NodeId::new("tool-1")));
}

#[test]
fn a_request_that_never_reached_an_owner_times_out() {
    let rules = Rules::default();
    let cold = rules.cold_ms;
    let block = Event::Block {
        block: 0,
        revision: 1,
        value: owned_by("entry-1", rules.shards),
    };
    let centre = DataCentre::new("osijek");
    let mut entry = Entry::new(NodeId::new("entry-2"), centre, Boot(2), rules, 1);
    let mut out = Vec::new();
    entry.step(at(0), block, &mut out);
    let request = Request::Read(ProgramRequest {
        program: ProgramId { root: 1, leaf: 2 },
        operator: Operator::new("op"),
        deployment: Deployment::new("dep"),
    });

    let ask = Event::Caller {
        caller: CallerKey(1),
        request,
        offset: 0,
    };
    entry.step(at(0), ask, &mut out);
    entry.step(at(cold - 1), Event::Tick, &mut out);
    let early = out
        .iter()
        .any(|effect| matches!(effect, Effect::Finish { .. }));
    entry.step(at(cold), Event::Tick, &mut out);

    let codes = out.iter().filter_map(|effect| match effect {
        Effect::Finish {
            reply: Reply::Refused(refusal),
            ..
        } => Some(refusal.code),
        _ => None,
    });
    assert!(!early);
    assert_eq!(codes.collect::<Vec<_>>(), [Code::NoOwner]);
}
