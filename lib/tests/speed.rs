//! Slow and hung servers are detected by the chunks received from them, and get
//! fewer calls.

use std::time::Duration;

use limpetferry_lib::document::Weights;
use limpetferry_lib::effect::Effect;
use limpetferry_lib::id::Boot;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::Deployment;
use limpetferry_lib::id::Model;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::message::Message;
use limpetferry_lib::message::Order;
use limpetferry_lib::placement::Affinity;
use limpetferry_lib::placement::CallView;
use limpetferry_lib::placement::Placement as _;
use limpetferry_lib::placement::ServerView;
use limpetferry_lib::program::Target;
use limpetferry_lib::program::Urgency;
use limpetferry_lib::rules::Rules;
use limpetferry_lib::side::Event;
use limpetferry_lib::side::Side;
use limpetferry_lib::speed::Speed;
use limpetferry_lib::time::Time;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Returns the speed after `secs` seconds, with one report per second, in which
/// `calls` ran all the time and `chunks` were received per second.
fn measured(calls: u32, chunks: u32, secs: u32) -> Speed {
    let mut speed = Speed::default();
    for _ in 0..secs {
        speed.decay();
        speed.record(Duration::from_secs(1) * calls, chunks);
    }
    speed
}

fn server(pace: u32) -> ServerView {
    ServerView {
        slots: 8,
        pace,
        ..ServerView::default()
    }
}

fn choose(servers: &[ServerView], prompt: u64) -> Option<usize> {
    let call = CallView {
        prompt,
        weights: Weights::default(),
        program: 1,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    Affinity::default().choose(&call, servers, &mut rng)
}

#[test]
fn the_pace_is_the_running_time_per_chunk() {
    let steady = measured(8, 320, 10);

    assert_eq!(steady.pace(), 25_000);
}

#[test]
fn a_hung_server_is_detected_before_its_calls_end() {
    let mut speed = measured(8, 320, 10);
    for _ in 0..10 {
        speed.decay();
        speed.record(Duration::from_secs(8), 0);
    }

    assert!(speed.pace() > 10 * 25_000, "{}", speed.pace());
}

#[test]
fn the_pace_of_an_unused_server_becomes_unknown() {
    let mut speed = measured(8, 32, 10);
    assert!(speed.pace() > 0);
    for _ in 0..20 {
        speed.decay();
    }

    assert_eq!(speed.pace(), 0);
}

#[test]
fn a_slow_server_gets_no_call_while_faster_ones_are_free() {
    let servers = [server(250_000), server(25_000), server(26_000)];

    for prompt in [100, 4_000, 20_000] {
        assert_ne!(choose(&servers, prompt), Some(0));
    }
}

#[test]
fn a_program_moves_away_from_its_cache_on_a_slow_server() {
    let mut slow = server(250_000);
    slow.cached_tokens = 20_000;
    let servers = [slow, server(25_000), server(25_000)];

    assert_ne!(choose(&servers, 20_000), Some(0));
}

#[test]
fn small_differences_in_pace_do_not_move_a_program() {
    let mut warm = server(40_000);
    warm.cached_tokens = 4_000;
    let servers = [warm, server(25_000), server(25_000)];

    assert_eq!(choose(&servers, 4_000), Some(0));
}

/// Returns an order for a model.
fn order() -> Order {
    Order {
        shard: None,
        boot: Boot(1),
        program: ProgramId { root: 1, leaf: 2 },
        call: CallId(3),
        attempt: 4,
        deployment: Deployment::new("dep"),
        target: Target::Model(Model::new("m")),
        idempotent: true,
        turns: Vec::new(),
        body: Vec::new(),
        tokens: 1_000,
        urgency: Urgency::Normal,
        attained: 0,
        patience: Duration::from_secs(60),
        timeout: Duration::from_secs(60),
    }
}

#[test]
fn a_side_process_reports_the_pace_of_its_engine() {
    let mut side = Side::new(NodeId::new("engine-1"), Boot(1), Rules::default());
    let mut out = Vec::new();
    let entry = NodeId::new("entry-1");
    let start = Time::default() + Duration::from_secs(100);
    side.step(
        start,
        Event::LinkUp {
            node: entry.clone(),
        },
        &mut out,
    );
    side.step(start, Event::Tick, &mut out);
    let message = Message::Order(Box::new(order()));
    side.step(
        start,
        Event::Message {
            from: entry,
            message,
        },
        &mut out,
    );
    out.clear();

    for millis in (100..=10_000).step_by(100) {
        let now = start + Duration::from_millis(millis);
        let chunk = Event::BackendChunk {
            call: CallId(3),
            attempt: 4,
            bytes: b"x".to_vec(),
        };
        side.step(now, chunk, &mut out);
        side.step(now, Event::Tick, &mut out);
    }

    let last = out.iter().rev().find_map(|effect| match effect {
        Effect::Send {
            message: Message::Beat(beat),
            ..
        } => Some(beat.load.pace),
        _ => None,
    });
    assert_eq!(last, Some(100_000), "one chunk per 100 ms");
}
