//! Requests that wait for a server with room: bursts beyond the capacity of a
//! service's servers, from workspaces of very unequal size.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use limpetferry_lib::concurrency_limit::ConcurrencyLimit;
use limpetferry_lib::dispatch_queue::DispatchQueue;
use limpetferry_lib::dispatch_queue::QueueBounds;
use limpetferry_lib::dispatch_queue::QueueRefusal;
use limpetferry_lib::dispatch_queue::QueuedRequest;
use limpetferry_lib::server::ServerOutcome;
use limpetferry_lib::time::Time;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Rank of urgent calls.
const URGENT: u8 = 0;
/// Rank of the calls of a chat.
const CHAT: u8 = 2;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn queue<T>(length: usize) -> DispatchQueue<T> {
    DispatchQueue::new(QueueBounds {
        length,
        bytes: 1 << 20,
    })
}

/// Returns a call of a workspace that arrived at `arrived_at`, with a late deadline.
fn call(workspace: &str, rank: u8, since: u64) -> QueuedRequest {
    QueuedRequest {
        workspace: Some(Arc::from(workspace)),
        rank,
        arrived_at: at(since),
        send_by: at(since + 60_000),
        work: millis(10),
        bytes: 100,
    }
}

fn push<T>(queue: &mut DispatchQueue<T>, waiting: QueuedRequest, owner: T) {
    let now = waiting.arrived_at;
    let pushed = queue.push(now, waiting, None, owner);
    assert!(pushed.is_ok_and(|pushed| pushed.displaced.is_empty()));
}

fn pop<T>(queue: &mut DispatchQueue<T>, now: u64) -> Option<T> {
    queue.pop(at(now))
}

/// Servers of a small site.
const SERVERS: usize = 8;
/// Calls that each server runs at once.
const SLOTS: usize = 6;
/// Calls that each server holds, running or waiting, before it refuses.
const PLACES: usize = SLOTS + 3;
/// Gateways in front of the servers.
const GATEWAYS: usize = 24;
/// Duration of a call.
const WORK_MS: u64 = 40;
/// Time limit that callers set for a call.
const PATIENCE_MS: u64 = 1_200;
/// Length of the burst.
const BURST_MS: u64 = 3_000;
/// Pause before a server that refused is tried again.
const PAUSE_MS: u64 = 40;
/// How many servers are tried one after another without a queue, after which time
/// a refused caller retries, and how often it tries.
const MAX_ATTEMPTS: usize = 3;
const RETRY_AFTER_MS: u64 = 120;
const TRIES: u32 = 2;

#[derive(Clone, Copy)]
struct Sent {
    gateway: usize,
    at: u64,
}

/// Servers that run some calls, hold a few more and refuse the rest.
#[derive(Default)]
struct Servers {
    running: [Vec<(u64, Sent)>; SERVERS],
    held: [std::collections::VecDeque<Sent>; SERVERS],
}

impl Servers {
    fn takes(&mut self, now: u64, server: usize, sent: Sent) -> bool {
        if self.running[server].len() < SLOTS {
            self.running[server].push((now + WORK_MS, sent));
            return true;
        }
        let room = self.load(server) < PLACES;
        if room {
            self.held[server].push_back(sent);
        }
        room
    }

    fn load(&self, server: usize) -> usize {
        self.running[server].len() + self.held[server].len()
    }

    /// Returns the less loaded of two servers, as the load that they report with
    /// their answers shows it.
    fn less_loaded(&self, one: usize, other: usize) -> usize {
        if self.load(one) <= self.load(other) {
            one
        } else {
            other
        }
    }

    /// Completes the calls that are due, and returns them.
    fn end(&mut self, now: u64) -> Vec<Sent> {
        let mut ended = Vec::new();
        for server in 0..SERVERS {
            let done = self.running[server].extract_if(.., |(due, _)| *due <= now);
            ended.extend(done.map(|(_, sent)| sent));
            while self.running[server].len() < SLOTS
                && let Some(next) = self.held[server].pop_front()
            {
                self.running[server].push((now + WORK_MS, next));
            }
        }
        ended
    }
}

/// A call, and how often its caller has tried.
#[derive(Clone, Copy, Debug)]
struct Call {
    at: u64,
    due: u64,
    tries: u32,
}

impl Call {
    /// Schedules a retry, and returns whether the caller makes one.
    fn schedule_retry(self, now: u64, scheduled: &mut Vec<Self>) -> bool {
        let again = Self {
            at: now + RETRY_AFTER_MS,
            tries: self.tries + 1,
            ..self
        };
        let retries = self.tries < TRIES;
        scheduled.extend(retries.then_some(again));
        retries
    }
}

/// Returns the calls of the burst, 1.2 times what the servers can run.
fn arrivals() -> Vec<Call> {
    let each_ms = 1.2 * (SERVERS * SLOTS) as f64 / WORK_MS as f64;
    let count = (BURST_MS as f64 * each_ms) as u64;
    let times = (0..count).map(|number| (number as f64 / each_ms) as u64);
    let calls = times.map(|at| Call {
        at,
        due: at + PATIENCE_MS,
        tries: 1,
    });
    calls.collect()
}

fn due(scheduled: &mut Vec<Call>, now: u64) -> Vec<Call> {
    scheduled.extract_if(.., |one| one.at <= now).collect()
}

/// A gateway of the small site.
struct Gateway {
    number: usize,
    queue: DispatchQueue<Call>,
    limit: ConcurrencyLimit,
    paused: [u64; SERVERS],
}

impl Gateway {
    fn new(number: usize) -> Self {
        Self {
            number,
            queue: queue(1_000),
            limit: ConcurrencyLimit::default(),
            paused: [0; SERVERS],
        }
    }

    /// Queues the call, and returns whether it was accepted.
    fn push(&mut self, now: u64, one: Call) -> bool {
        let waiting = QueuedRequest {
            send_by: at(one.due - WORK_MS),
            ..call("all", CHAT, now)
        };
        let rate = self.limit.rate(at(now));
        self.queue.push(at(now), waiting, rate, one).is_ok()
    }

    fn end(&mut self, now: u64, sent: u64, outcome: ServerOutcome) {
        let wait = self.queue.oldest(at(now));
        let places = (SERVERS * PLACES) as u32;
        self.limit.end(at(now), at(sent), outcome, places, wait);
    }

    /// Sends the calls for which there is room, and returns how many failed.
    fn send(&mut self, now: u64, servers: &mut Servers, random: &mut SmallRng) -> usize {
        let mut failed = self.queue.expire(at(now)).len();
        while self.limit.has_room(0) {
            let open = (0..SERVERS).filter(|&server| self.paused[server] <= now);
            let open: Vec<usize> = open.collect();
            let mut any = || open[random.random_range(0..open.len())];
            let Some(one) = (!open.is_empty())
                .then(|| self.queue.pop(at(now)))
                .flatten()
            else {
                break;
            };
            let server = servers.less_loaded(any(), any());
            let sent = Sent {
                gateway: self.number,
                at: now,
            };
            self.limit.begin();
            if !servers.takes(now, server, sent) {
                self.paused[server] = now + PAUSE_MS;
                self.end(now, now, ServerOutcome::Full);
                failed += usize::from(!self.push(now, one));
            }
        }
        failed
    }
}

/// Simulates the burst with a queue in each gateway, and returns how many calls
/// failed.
fn simulate_with_queue(seed: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut servers = Servers::default();
    let mut scheduled = arrivals();
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(Gateway::new).collect();
    let mut failed = 0;
    for now in 0..BURST_MS + 2 * PATIENCE_MS {
        for sent in servers.end(now) {
            gateways[sent.gateway].end(now, sent.at, ServerOutcome::Answered);
        }
        for one in due(&mut scheduled, now) {
            let gateway = random.random_range(0..GATEWAYS);
            if !gateways[gateway].push(now, one) && !one.schedule_retry(now, &mut scheduled) {
                failed += 1;
            }
        }
        for gateway in &mut gateways {
            failed += gateway.send(now, &mut servers, &mut random);
        }
    }
    failed
}

/// Simulates the burst where servers are tried one after another without a queue,
/// and returns how many calls failed.
fn simulate_without_queue(seed: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut servers = Servers::default();
    let mut scheduled = arrivals();
    let mut failed = 0;
    for now in 0..BURST_MS + 2 * PATIENCE_MS {
        servers.end(now);
        for one in due(&mut scheduled, now) {
            let first = random.random_range(0..SERVERS);
            let sent = Sent {
                gateway: 0,
                at: now,
            };
            let mut attempts = (0..MAX_ATTEMPTS).map(|step| (first + step) % SERVERS);
            let taken = attempts.any(|server| servers.takes(now, server, sent));
            failed += usize::from(!taken && !one.schedule_retry(now, &mut scheduled));
        }
    }
    failed
}

#[test]
fn a_burst_of_a_fifth_too_many_calls_fails_without_a_queue_and_is_served_with_one() {
    for seed in 1..=3 {
        let without = simulate_without_queue(seed);
        let with = simulate_with_queue(seed);

        assert!(without > 0, "seed {seed}");
        assert_eq!(with, 0, "seed {seed}; {without} without a queue");
    }
}

#[test]
fn calls_of_other_workspaces_are_served_between_those_of_a_flooding_one() {
    let mut queue = queue(1_000);
    let names = ["flood", "a", "b", "c"];
    let mut served: HashMap<&str, f64> = HashMap::new();
    let mut sent: HashMap<&str, f64> = HashMap::new();
    for round in 0..400_u64 {
        // Twice as many calls arrive as are served, 17 of 20 from one workspace.
        for number in 0..20 {
            let name = if number < 17 {
                "flood"
            } else {
                names[number - 16]
            };
            *sent.entry(name).or_default() += 1.0;
            let _ = queue.push(at(round * 10), call(name, CHAT, round * 10), None, name);
        }
        for _ in 0..10 {
            let name = pop(&mut queue, round * 10).expect("calls wait");
            *served.entry(name).or_default() += 1.0;
        }
    }

    let all = served.values().sum::<f64>() / sent.values().sum::<f64>();
    for name in ["a", "b", "c"] {
        let own = served[name] / sent[name];
        assert!(own >= 0.99, "{name}: {own}, all: {all}");
    }
    assert!(served["flood"] / sent["flood"] < all);
}

#[test]
fn workspaces_with_long_and_short_calls_get_the_same_work_done() {
    let mut queue = queue(1_000);
    for number in 0..200 {
        let long = QueuedRequest {
            work: millis(50),
            ..call("long", CHAT, number)
        };
        push(&mut queue, long, 50);
        push(&mut queue, call("short", CHAT, number), 10);
    }

    let work: Vec<u64> = (0..60).filter_map(|_| pop(&mut queue, 300)).collect();

    let long: u64 = work.iter().filter(|&&work| work == 50).sum();
    let short: u64 = work.iter().filter(|&&work| work == 10).sum();
    assert!(long.abs_diff(short) <= 100, "{long} and {short}");
}

#[test]
fn a_workspace_alone_uses_everything() {
    let mut queue = queue(10);

    for number in 0..10 {
        push(&mut queue, call("alone", CHAT, 0), number);
    }

    let all: Vec<u32> = (0..10).filter_map(|_| pop(&mut queue, 1)).collect();
    assert_eq!(all, (0..10).collect::<Vec<u32>>());
}

#[test]
fn an_urgent_call_goes_before_a_chats_calls_that_came_earlier() {
    let mut queue = queue(100);
    for _ in 0..50 {
        push(&mut queue, call("chat", CHAT, 0), "chat");
    }
    push(&mut queue, call("alarms", URGENT, 5), "urgent");

    assert_eq!(pop(&mut queue, 5), Some("urgent"));
}

#[test]
fn the_more_urgent_of_two_floods_is_served_more_often() {
    let mut queue = queue(200);
    let (mut urgent, mut chat) = (0, 0);
    for now in 0..5_000 {
        let _ = queue.push(at(now), call("a", URGENT, now), None, URGENT);
        let _ = queue.push(at(now), call("a", CHAT, now), None, CHAT);
        match pop(&mut queue, now) {
            Some(URGENT) => urgent += 1,
            _ => chat += 1,
        }
    }

    // One call in eight is served by age.
    assert!(urgent >= 7 * chat, "{urgent} urgent calls, {chat} of chats");
}

#[test]
fn a_chats_call_is_not_starved_by_a_flood_of_urgent_ones() {
    let mut queue = queue(1_000);
    push(&mut queue, call("chat", CHAT, 0), CHAT);
    for now in 0..800 {
        push(&mut queue, call("alarms", URGENT, now), URGENT);
    }

    let mut served = (0..).map(|now| pop(&mut queue, 600 + now));

    let place = served.position(|rank| rank == Some(CHAT));
    assert!(place.is_some_and(|place| place < 8), "{place:?}");
}

#[test]
fn the_call_with_least_time_goes_first_and_equals_go_in_order() {
    let mut queue = queue(10);
    push(&mut queue, call("a", CHAT, 0), "first");
    push(&mut queue, call("a", CHAT, 0), "second");
    let hasty = QueuedRequest {
        send_by: at(100),
        ..call("a", CHAT, 0)
    };
    push(&mut queue, hasty, "hasty");

    let order: Vec<&str> = (0..3).filter_map(|_| pop(&mut queue, 1)).collect();

    assert_eq!(order, ["hasty", "first", "second"]);
}

#[test]
fn a_full_queue_refuses_the_newest_call_of_the_largest_workspace_in_the_lowest_rank() {
    let mut queue = queue(5);
    push(&mut queue, call("urgent", URGENT, 0), "urgent 1");
    push(&mut queue, call("urgent", URGENT, 0), "urgent 2");
    push(&mut queue, call("flood", CHAT, 1), "flood 1");
    push(&mut queue, call("flood", CHAT, 2), "flood 2");
    push(&mut queue, call("small", CHAT, 3), "small");

    let small = queue.push(at(4), call("other", CHAT, 4), None, "other");
    let flood = queue.push(at(5), call("flood", CHAT, 5), Some(1_000.0), "flood 3");

    let displaced = small.expect("it displaces another one").displaced;
    assert_eq!(displaced, ["flood 2"]);
    assert_matches!(flood, Err(QueueRefusal::Full { .. }));
}

#[test]
fn a_queue_full_of_bytes_refuses_as_one_full_of_calls() {
    let mut queue = DispatchQueue::new(QueueBounds {
        length: 100,
        bytes: 250,
    });
    push(&mut queue, call("a", CHAT, 0), 1);
    push(&mut queue, call("a", CHAT, 0), 2);

    let third = queue.push(at(0), call("a", CHAT, 0), None, 3);

    assert_matches!(third, Err(QueueRefusal::Full { .. }));
    assert_eq!((queue.len(), queue.bytes()), (2, 200));
}

#[test]
fn a_call_expires_when_its_time_left_is_shorter_than_its_work() {
    let mut queue = queue(10);
    let waiting = QueuedRequest {
        send_by: at(500),
        ..call("a", CHAT, 0)
    };
    push(&mut queue, waiting, ());

    assert!(queue.expire(at(500)).is_empty());
    assert_eq!(queue.expire(at(501)).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn a_call_that_cannot_be_served_in_time_is_refused_immediately() {
    let mut queue = queue(1_000);
    let hasty = |workspace, until| QueuedRequest {
        send_by: at(until),
        ..call(workspace, CHAT, 0)
    };
    for _ in 0..100 {
        push(&mut queue, hasty("a", 900), ());
    }

    let too_late = queue.push(at(0), hasty("a", 900), Some(100.0), ());
    let unknown = queue.push(at(0), hasty("a", 900), None, ());
    let other_share = queue.push(at(0), hasty("b", 900), Some(100.0), ());
    let hastier = queue.push(at(0), hasty("a", 800), Some(100.0), ());

    // A hundred calls take a second, 100 ms more than the call has.
    assert_matches!(too_late, Err(QueueRefusal::Slow { retry_after }) if retry_after >= millis(100));
    assert!(unknown.is_ok(), "nothing is known of the rate");
    assert!(
        other_share.is_ok(),
        "it shares with the workspace that waits"
    );
    assert!(hastier.is_ok(), "it goes before those that have more time");
}

#[test]
fn a_removed_call_takes_no_room() {
    let mut queue = queue(10);
    let pushed = queue.push(at(0), call("a", CHAT, 0), None, ());
    let key = pushed.expect("there is room").key;

    assert!(queue.remove(key).is_some());

    assert!(queue.remove(key).is_none());
    assert_eq!((queue.len(), queue.bytes()), (0, 0));
    assert_eq!(queue.oldest(at(100)), Duration::ZERO);
    assert_eq!(pop(&mut queue, 0), None);
}

#[test]
fn servers_that_refuse_nothing_are_not_limited() {
    let mut limit = ConcurrencyLimit::default();

    for _ in 0..10_000 {
        limit.begin();
    }

    assert!(limit.has_room(0));
    assert_eq!(limit.limit(), None);
}

#[test]
fn simultaneous_refusals_lower_the_limit_once() {
    let mut limit = ConcurrencyLimit::default();
    (0..100).for_each(|_| limit.begin());

    (0..50).for_each(|_| limit.end(at(10), at(0), ServerOutcome::Full, 72, Duration::ZERO));

    assert!(limit.limit().is_some_and(|limit| limit > 50.0));
}

#[test]
fn refusals_leave_room_for_one_request() {
    let mut limit = ConcurrencyLimit::default();

    for now in 0..100 {
        limit.begin();
        limit.end(at(now), at(now), ServerOutcome::Full, 72, Duration::ZERO);
    }

    assert!(limit.has_room(0));
}

#[test]
fn requests_at_a_failed_server_do_not_block_requests_to_others() {
    let mut limit = ConcurrencyLimit::default();
    (0..10).for_each(|_| limit.begin());
    limit.end(at(10), at(0), ServerOutcome::Full, 72, Duration::ZERO);

    assert!(!limit.has_room(0));
    assert!(limit.has_room(5));
}

#[test]
fn answers_raise_a_limit_that_is_reached_and_time_without_refusals_lifts_it() {
    let mut limit = ConcurrencyLimit::default();
    limit.begin();
    limit.end(at(0), at(0), ServerOutcome::Full, 72, Duration::ZERO);

    for now in 0..200 {
        while limit.has_room(0) {
            limit.begin();
        }
        limit.end(
            at(now),
            at(now),
            ServerOutcome::Answered,
            72,
            Duration::ZERO,
        );
    }

    assert!(limit.limit().is_some_and(|limit| limit > 5.0));
    limit.end(
        at(2_500),
        at(0),
        ServerOutcome::Answered,
        72,
        Duration::ZERO,
    );
    limit.lift_if_idle(at(2_500));
    assert_eq!(limit.limit(), None);
}

#[derive(Clone, Debug)]
enum Step {
    Push(u8, u8, u16, usize),
    Pop,
    Remove(usize),
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    let push = (0..3_u8, 0..4_u8, 0..400_u16, 0..200_usize);
    prop_oneof![
        4 => push.prop_map(|(rank, name, time, bytes)| Step::Push(rank, name, time, bytes)),
        1 => Just(Step::Pop),
        1 => (0..50_usize).prop_map(Step::Remove),
        1 => Just(Step::Expire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn the_bounds_hold_and_each_call_leaves_once(steps in prop::collection::vec(step(), 1..200)) {
        let bounds = QueueBounds { length: 12, bytes: 1_000 };
        let mut queue = DispatchQueue::new(bounds);
        let mut keys = Vec::new();
        let mut left = Vec::new();
        let mut refused = 0;
        let mut pushed = 0;
        for (number, step) in steps.into_iter().enumerate() {
            let now = number as u64 * 10;
            match step {
                Step::Push(rank, name, time, bytes) => {
                    let waiting = QueuedRequest {
                        send_by: at(now + u64::from(time)),
                        bytes,
                        ..call(&name.to_string(), rank, now)
                    };
                    pushed += 1;
                    match queue.push(at(now), waiting, None, number) {
                        Ok(done) => {
                            keys.push(done.key);
                            left.extend(done.displaced);
                        }
                        Err(_) => refused += 1,
                    }
                }
                Step::Pop => left.extend(pop(&mut queue, now)),
                Step::Remove(place) => {
                    let key = keys.get(place).copied();
                    let removed = key.and_then(|key| queue.remove(key));
                    left.extend(removed);
                }
                Step::Expire => {
                    left.extend(queue.expire(at(now)));
                }
            }
            prop_assert!(queue.len() <= bounds.length && queue.bytes() <= bounds.bytes);
        }
        while let Some(owner) = pop(&mut queue, 10_000) {
            left.push(owner);
        }
        let all = left.len();
        left.sort_unstable();
        left.dedup();
        prop_assert_eq!(left.len(), all);
        prop_assert_eq!(left.len() + refused, pushed);
        prop_assert_eq!(queue.bytes(), 0);
    }
}
