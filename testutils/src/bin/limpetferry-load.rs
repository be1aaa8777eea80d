//! Measures a site on loopback: added latency per call, throughput, memory and
//! recovery time. The amount of work or the duration of each run is limited.

use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use clap::Subcommand;
use hdrhistogram::Histogram;
use limpetferry_testutils::client::Caller;
use limpetferry_testutils::engine::EngineRules;
use limpetferry_testutils::listen::any_port;
use limpetferry_testutils::listen::listen;
use limpetferry_testutils::probe::cpu_time;
use limpetferry_testutils::probe::loopback_bytes;
use limpetferry_testutils::probe::memory;
use limpetferry_testutils::site::Mode;
use limpetferry_testutils::site::Site;
use serde_json::Value;
use serde_json::json;

/// Measures a site of real processes, with fake backend servers, on loopback.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Compares calls through an entry and a side process with direct calls of the
    /// fake engine.
    Added {
        /// Number of concurrent callers.
        #[arg(long, default_value_t = 4)]
        callers: usize,
        /// Number of calls of each caller.
        #[arg(long, default_value_t = 2_000)]
        calls: usize,
        /// Number of tokens in each answer.
        #[arg(long, default_value_t = 1)]
        tokens: u64,
        /// Time that the engine takes for each token, in microseconds.
        #[arg(long, default_value_t = 0)]
        token_us: u64,
    },
    /// Holds calls at the engine and reports the memory used per call.
    Waiting {
        /// Number of concurrent calls; each needs several file descriptors.
        #[arg(long, default_value_t = 400)]
        count: usize,
    },
    /// Compares calls that the keeper has to record with calls that need no keeper.
    Keeper {
        /// Number of calls of each kind.
        #[arg(long, default_value_t = 2_000)]
        calls: usize,
        /// Runs the side processes with data folders.
        #[arg(long)]
        data: bool,
    },
    /// Opens programs and reports the memory used per program by owner and keepers.
    Programs {
        /// Number of programs.
        #[arg(long, default_value_t = 5_000)]
        count: usize,
        /// Size of each program's history, in bytes; 0 for none.
        #[arg(long, default_value_t = 0)]
        history: usize,
    },
    /// Reports the CPU time, memory, traffic and store calls of an idle site.
    Idle {
        /// Number of side processes.
        #[arg(long, default_value_t = 8)]
        sides: usize,
        /// Number of entries.
        #[arg(long, default_value_t = 2)]
        entries: usize,
    },
    /// Applies patches and reports the time until they are in force in all processes.
    Patch {
        /// Number of patches.
        #[arg(long, default_value_t = 50)]
        count: u64,
        /// Number of entries.
        #[arg(long, default_value_t = 4)]
        entries: usize,
        /// Number of side processes.
        #[arg(long, default_value_t = 20)]
        sides: usize,
    },
    /// Measures the time of one entry's decisions per call, without sockets.
    Decide {
        /// Number of backend servers.
        #[arg(long, default_value_t = 12)]
        workers: usize,
        /// Number of programs that the entry owns.
        #[arg(long, default_value_t = 1_000)]
        programs: u64,
    },
    /// Kills a process and reports the time until calls of the programs succeed
    /// again.
    Takeover {
        /// Number of programs.
        #[arg(long, default_value_t = 200)]
        programs: usize,
        /// Name of the process to kill: `entry-1` or a side process.
        #[arg(long, default_value = "entry-1")]
        victim: String,
        /// Also kills and restarts all side processes; they have data folders.
        #[arg(long)]
        pairs: bool,
    },
}

const CHAT: &str = "/v1/chat/completions";
const LOOKUP: &str = "/v1/tools/transfers/lookup";
const TRANSFER: &str = "/v1/tools/transfers/move";
/// Largest latency that a histogram can record, in microseconds; longer ones are
/// counted as this one.
const MAX_LATENCY_US: u64 = 60_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid")
}

/// Formats the number and the quantiles of `times` as `key=value` pairs.
fn latency_fields(name: &str, times: &Histogram<u64>) -> String {
    format!(
        "{name}_count={} {name}_p50_us={} {name}_p99_us={} {name}_max_us={}",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    )
}

/// Sends `calls` calls one after the other and records the latency of those that
/// succeed.
async fn run_calls(
    caller: &Caller,
    calls: usize,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Histogram<u64> {
    let mut times = histogram();
    for _ in 0..calls {
        let start = Instant::now();
        let result = caller.send("POST", path, headers, body).await;
        let latency_us = start.elapsed().as_micros() as u64;
        match result {
            Ok(response) if response.status == 200 => times.saturating_record(latency_us),
            other => eprintln!("failed={other:?}"),
        }
    }
    times
}

/// Runs all callers concurrently; returns the latencies of their calls and the
/// total duration.
async fn run_callers(
    callers: Vec<Caller>,
    calls: usize,
    path: &str,
    body: &Value,
) -> (Histogram<u64>, Duration) {
    let start = Instant::now();
    let runs = callers
        .iter()
        .map(|caller| run_calls(caller, calls, path, &[], body));
    let mut all = histogram();
    for times in futures_util::future::join_all(runs).await {
        all.add(times).expect("the bounds are equal");
    }
    (all, start.elapsed())
}

async fn added(callers: usize, calls: usize, tokens: u64, token_us: u64) {
    let mut site = Site::start_as(Mode::Processes, 1, 1, 0).await;
    let rules = EngineRules {
        tokens,
        token_us,
        ..EngineRules::default()
    };
    site.engines[0].set_rules(rules);
    let (engine_address, _stop) = listen(any_port(), site.engines[0].handler()).await;
    let body = json!({"model": "cask-7b", "messages": [{"role": "user", "content": "hello"}]});
    let ids = [site.process("entry-1").id(), site.process("engine-1").id()];
    for round in 1..=3 {
        let direct = (0..callers)
            .map(|_| Caller::new(engine_address, "none"))
            .collect();
        let (direct, direct_time) = run_callers(direct, calls, CHAT, &body).await;
        let before = ids.map(cpu_time);
        let through = (0..callers).map(|_| site.caller(0)).collect();
        let (through, through_time) = run_callers(through, calls, CHAT, &body).await;
        let used = [cpu_time(ids[0]) - before[0], cpu_time(ids[1]) - before[1]];
        let total = (callers * calls) as f64;
        println!(
            "round={round} callers={callers} tokens={tokens} {} {} direct_calls_s={:.0} through_calls_s={:.0} entry_cpu_us={:.0} side_cpu_us={:.0}",
            latency_fields("direct", &direct),
            latency_fields("through", &through),
            total / direct_time.as_secs_f64(),
            total / through_time.as_secs_f64(),
            used[0].as_secs_f64() * 1e6 / total,
            used[1].as_secs_f64() * 1e6 / total,
        );
    }
}

/// Opens programs through the first entry and returns the ids of those that were
/// opened.
async fn open_programs(site: &Site, count: usize) -> Vec<String> {
    let mut programs = Vec::new();
    for _ in 0..count {
        let result = site
            .caller(0)
            .send("POST", "/v1/programs", &[], &Value::Null)
            .await;
        match result {
            Ok(response) if response.status == 200 => {
                programs.push(
                    response.json()["id"]
                        .as_str()
                        .unwrap_or_default()
                        .to_owned(),
                );
            }
            other => eprintln!("failed=open got={other:?}"),
        }
    }
    programs
}

async fn keeper(calls: usize, data: bool) {
    let site = if data {
        Site::start_stored(1, 1, 2).await
    } else {
        Site::start_as(Mode::Processes, 1, 1, 2).await
    };
    let caller = site.caller(0);
    let body = json!({"cask": 12});
    for round in 1..=3 {
        let before = site.store.calls().values().sum::<u64>();
        let lookups = run_calls(&caller, calls, LOOKUP, &[], &body).await;
        let mut transfers = histogram();
        for _ in 0..calls / 50 {
            let program = open_programs(&site, 1).await.remove(0);
            let headers = [("limpetferry-program", program.as_str())];
            transfers
                .add(run_calls(&caller, 50, TRANSFER, &headers, &body).await)
                .expect("the bounds are equal");
        }
        let store = site.store.calls().values().sum::<u64>() - before;
        println!(
            "round={round} {} {} store_calls={store}",
            latency_fields("lookup", &lookups),
            latency_fields("transfer", &transfers)
        );
    }
}

async fn programs(count: usize, history: usize) {
    let mut site = Site::start_as(Mode::Processes, 1, 1, 1).await;
    let names = ["entry-1", "engine-1", "tool-1"];
    let memories = |site: &mut Site| names.map(|name| memory(site.process(name).id()));
    let before = memories(&mut site);
    let ids = open_programs(&site, count).await;
    if history > 0 {
        let text = "x".repeat(history);
        let body = json!({"model": "cask-7b", "max_tokens": 1, "messages": [{"role": "user", "content": text}]});
        for id in &ids {
            let headers = [("limpetferry-program", id.as_str())];
            run_calls(&site.caller(0), 1, CHAT, &headers, &body).await;
        }
    }
    let after = memories(&mut site);
    let growth: Vec<u64> = (0..3).map(|i| after[i].saturating_sub(before[i])).collect();
    println!(
        "programs={count} history={history} entry_start={} entry_bytes_each={} keepers_bytes_each={}",
        before[0],
        growth[0] / count as u64,
        (growth[1] + growth[2]) / count as u64
    );
}

async fn waiting(count: usize) {
    let mut site = Site::start_as(Mode::Processes, 1, 1, 0).await;
    let slots = json!({"servers": {"engine-1": {"slots": 10_000}}});
    let patch = json!({"id": "slots", "base": 1, "change": {"merge": slots}});
    let _ = site
        .operator(0)
        .send("POST", "/v1/config/patches", &[], &patch)
        .await;
    site.in_force_everywhere(2).await;
    let holding = EngineRules {
        hold: true,
        ..EngineRules::default()
    };
    site.engines[0].set_rules(holding);
    let ids = [site.process("entry-1").id(), site.process("engine-1").id()];
    let before = ids.map(memory);
    let body = json!({"model": "cask-7b", "messages": [{"role": "user", "content": "hello"}]});
    let callers: Vec<Caller> = (0..count).map(|_| site.caller(0)).collect();
    let calls = futures_util::future::join_all(
        callers
            .iter()
            .map(|caller| run_calls(caller, 1, CHAT, &[], &body)),
    );
    let measure = async {
        while site.engines[0].running() < count as u64 {
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        let after = ids.map(memory);
        site.engines[0].set_rules(EngineRules::default());
        after
    };
    let (times, after) = futures_lite::future::zip(calls, measure).await;
    let answered: u64 = times.iter().map(Histogram::len).sum();
    println!(
        "waiting={count} answered={answered} entry_bytes_each={} side_bytes_each={}",
        (after[0] - before[0]) / count as u64,
        (after[1] - before[1]) / count as u64
    );
}

async fn idle(entries: usize, sides: usize) {
    let mut site = Site::start_as(Mode::Processes, entries, sides, 0).await;
    smol::Timer::after(Duration::from_secs(3)).await;
    let ids = [site.process("entry-1").id(), site.process("engine-1").id()];
    let (cpu, bytes, store) = (ids.map(cpu_time), loopback_bytes(), site.store.calls());
    let span = Duration::from_secs(20);
    smol::Timer::after(span).await;
    let secs = span.as_secs_f64();
    let used = [cpu_time(ids[0]) - cpu[0], cpu_time(ids[1]) - cpu[1]];
    let calls: u64 = site.store.calls().values().sum::<u64>() - store.values().sum::<u64>();
    println!(
        "entries={entries} sides={sides} entry_cpu_pct={:.2} side_cpu_pct={:.2} lo_bytes_s={:.0} store_calls={calls} entry_memory={} side_memory={}",
        used[0].as_secs_f64() * 100.0 / secs,
        used[1].as_secs_f64() * 100.0 / secs,
        (loopback_bytes() - bytes) as f64 / secs,
        memory(ids[0]),
        memory(ids[1]),
    );
}

async fn patch(count: u64, entries: usize, sides: usize) {
    let site = Site::start_as(Mode::Processes, entries, sides, 0).await;
    let operator = site.operator(0);
    let mut times = histogram();
    for base in 1..=count {
        let change = json!({"deployments": {"register": {"program": {"tokens": 150_000 + base}}}});
        let patch = json!({"id": format!("p{base}"), "base": base, "change": {"merge": change}});
        let start = Instant::now();
        let result = operator
            .send("POST", "/v1/config/patches", &[], &patch)
            .await;
        if !result.is_ok_and(|response| response.status == 200) {
            eprintln!("failed=patch base={base}");
            continue;
        }
        site.in_force_everywhere(base + 1).await;
        times.saturating_record(start.elapsed().as_micros() as u64);
    }
    println!(
        "entries={entries} sides={sides} {}",
        latency_fields("patch", &times)
    );
}

async fn takeover(count: usize, victim: &str, pairs: bool) {
    let mut site = if pairs {
        Site::start_stored(3, 1, 4).await
    } else {
        Site::start_as(Mode::Processes, 3, 1, 4).await
    };
    let programs = open_programs(&site, count).await;
    let last = site.entries.len() - 1;
    site.process(victim).kill();
    if pairs {
        let sides = ["engine-1", "tool-1", "tool-2", "tool-3", "tool-4"];
        for side in sides {
            site.process(side).kill();
        }
        for side in sides {
            site.start_side(side);
        }
    }
    let start = Instant::now();
    let site = &site;
    let recoveries = programs.iter().map(|program| async move {
        let caller = site.caller(last);
        let headers = [
            ("limpetferry-program", program.as_str()),
            ("idempotency-key", "t1"),
        ];
        loop {
            let result = caller.send("POST", TRANSFER, &headers, &json!({})).await;
            if result.is_ok_and(|response| response.status == 200) {
                return start.elapsed().as_micros() as u64;
            }
            smol::Timer::after(Duration::from_millis(50)).await;
        }
    });
    let mut times = histogram();
    for recovery_us in futures_util::future::join_all(recoveries).await {
        times.saturating_record(recovery_us);
    }
    let runs: Vec<u64> = site
        .services
        .iter()
        .flat_map(|service| service.runs().into_values())
        .collect();
    let doubled = runs.iter().filter(|count| **count > 1).count();
    println!(
        "victim={victim} {} lost={} doubled={doubled}",
        latency_fields("again", &times),
        count - runs.len()
    );
}

/// Measures the reducer of an entry alone, with a keeper and backend servers that
/// answer immediately.
mod decide {
    use std::time::Duration;
    use std::time::Instant;

    use limpetferry_lib::budget::Amount;
    use limpetferry_lib::effect::CallerKey;
    use limpetferry_lib::effect::Effect;
    use limpetferry_lib::entry::Entry;
    use limpetferry_lib::entry::Event;
    use limpetferry_lib::id::*;
    use limpetferry_lib::member::Node;
    use limpetferry_lib::member::Role;
    use limpetferry_lib::message::Message;
    use limpetferry_lib::message::OpenRequest;
    use limpetferry_lib::message::Request;
    use limpetferry_lib::outcome::Answer;
    use limpetferry_lib::outcome::Outcome;
    use limpetferry_lib::program::CallRequest;
    use limpetferry_lib::program::HistoryMode;
    use limpetferry_lib::program::Target;
    use limpetferry_lib::program::Urgency;
    use limpetferry_lib::rules::Rules;
    use limpetferry_lib::shard_map::Assignment;
    use limpetferry_lib::shard_map::Block;
    use limpetferry_lib::time::Time;
    use serde_json::json;

    /// Number of calls that are measured.
    const CALLS: u64 = 20_000;

    struct Bench {
        entry: Entry,
        now: Time,
        /// Time spent in the reducer.
        spent: Duration,
    }

    impl Bench {
        /// Steps the reducer with `event` and then with the answers of the keeper and
        /// the servers, until there are none left. Only the time that the reducer
        /// takes is counted.
        fn step(&mut self, event: Event) {
            let mut events = vec![event];
            while let Some(event) = events.pop() {
                self.now = self.now + Duration::from_micros(1);
                let mut out = Vec::new();
                let start = Instant::now();
                self.entry.step(self.now, event, &mut out);
                self.spent += start.elapsed();
                events.extend(out.into_iter().filter_map(reply_to));
            }
        }
    }

    /// Returns the answer of the keeper or of a backend server to an effect.
    fn reply_to(effect: Effect) -> Option<Event> {
        let Effect::Send { to, message } = effect else {
            return None;
        };
        let message = match message {
            Message::Keep {
                shard, epoch, seq, ..
            } => Message::Kept { shard, epoch, seq },
            Message::Order(order) => Message::OrderDone {
                call: order.call,
                attempt: order.attempt,
                outcome: Outcome::Answer(Answer {
                    status: 200,
                    kind: "text/plain".into(),
                    body: b"ok".to_vec(),
                    turn: None,
                    tokens: 0,
                }),
            },
            _ => return None,
        };
        Some(Event::Message { from: to, message })
    }

    /// Returns an entry that owns all shards, with these backend servers in its
    /// document and linked to it.
    fn new_entry(workers: usize) -> Entry {
        let node_id = |index: usize| NodeId::new(format!("w{index:05}"));
        let rules = Rules {
            shards: 64,
            programs: 10_000_000,
            ..Rules::default()
        };
        let me = NodeId::new("e");
        let mut entry = Entry::new(me.clone(), DataCentre::new("a"), Boot(1), rules, 1);
        let mut out = Vec::new();
        let nodes: Vec<Node> = (0..workers)
            .map(|index| Node {
                id: node_id(index),
                role: Role::Side,
                centre: DataCentre::new("b"),
                address: "-".into(),
                vm: "-".into(),
            })
            .collect();
        let servers: serde_json::Map<String, serde_json::Value> = nodes
            .iter()
            .map(|node| (node.id.to_string(), json!({"slots": 1000})))
            .collect();
        let names: Vec<&String> = servers.keys().collect();
        let envelope = json!({"operator": "op", "version": 1, "patches": [], "document": {
            "servers": servers, "deployments": {"dep": {"key": "0".repeat(64),
            "services": {"s": {"servers": names, "timeout_ms": 1000}},
            "limits": {"running": 1_000_000, "waiting": 1_000_000},
            "program": {"tokens": 1_000_000, "calls": 1_000_000, "idle_s": 3600}}}}});
        let now = Time::from_millis(1);
        entry.step(now, Event::Registry(nodes.clone()), &mut out);
        for node in &nodes {
            entry.step(
                now,
                Event::LinkUp {
                    node: node.id.clone(),
                    boot: Boot(1),
                },
                &mut out,
            );
        }
        entry.step(now, Event::Document(envelope.to_string()), &mut out);
        let assignment = Assignment {
            owner: Some(me),
            keeper: Some(node_id(0)),
            epoch: Epoch(1),
            chosen: Epoch(1),
            lost: Epoch(0),
        };
        let value = Block {
            shards: vec![assignment; 64],
        };
        entry.step(
            now,
            Event::Block {
                block: 0,
                revision: 1,
                value,
            },
            &mut out,
        );
        entry
    }

    fn call_request(program: ProgramId, serial: u64) -> Request {
        Request::Call(Box::new(CallRequest {
            program,
            call: CallId(u128::from(serial) + (1 << 64)),
            number: None,
            keyed: true,
            digest: Digest::default(),
            operator: Operator::new("op"),
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
            patience: Duration::from_secs(60),
        }))
    }

    /// Prints the mean time that the reducer takes for a call of a program, from its
    /// arrival to its end, and for a tick.
    pub fn run(workers: usize, programs: u64) {
        let mut bench = Bench {
            entry: new_entry(workers),
            now: Time::from_millis(2),
            spent: Duration::ZERO,
        };
        let ids: Vec<ProgramId> = (1..=programs)
            .map(|leaf| ProgramId {
                root: leaf.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                leaf,
            })
            .collect();
        // The first acknowledgement completes the initial copy of a shard to the keeper.
        for shard in 0..64 {
            let message = Message::Kept {
                shard: ShardId(shard),
                epoch: Epoch(1),
                seq: 2,
            };
            bench.step(Event::Message {
                from: NodeId::new("w00000"),
                message,
            });
        }
        let mut serial = 0;
        let mut send_request = |bench: &mut Bench, request: Request| {
            serial += 1;
            bench.step(Event::Caller {
                caller: CallerKey(serial),
                request,
                offset: 0,
            });
        };
        for id in &ids {
            let open = OpenRequest {
                program: *id,
                parent: None,
                operator: Operator::new("op"),
                deployment: Deployment::new("dep"),
                limit: Amount {
                    tokens: 1_000_000,
                    calls: 1_000_000,
                },
            };
            send_request(&mut bench, Request::Open(open));
        }
        let opened = bench.entry.owner().program_count();
        bench.spent = Duration::ZERO;
        for serial in 0..CALLS {
            let id = ids[(serial.wrapping_mul(7_919) % programs) as usize];
            send_request(&mut bench, call_request(id, serial));
        }
        let call_us = bench.spent.as_secs_f64() * 1e6 / CALLS as f64;
        let ticks = 50;
        bench.spent = Duration::ZERO;
        for _ in 0..ticks {
            bench.now = bench.now + Duration::from_millis(25);
            bench.step(Event::Tick);
        }
        let tick_us = bench.spent.as_secs_f64() * 1e6 / f64::from(ticks);
        println!("workers={workers} programs={opened} call_us={call_us:.2} tick_us={tick_us:.1}");
    }
}

fn main() {
    let args = Args::parse();
    smol::block_on(async {
        match args.command {
            Command::Added {
                callers,
                calls,
                tokens,
                token_us,
            } => added(callers, calls, tokens, token_us).await,
            Command::Waiting { count } => waiting(count).await,
            Command::Keeper { calls, data } => keeper(calls, data).await,
            Command::Programs { count, history } => programs(count, history).await,
            Command::Idle { sides, entries } => idle(entries, sides).await,
            Command::Patch {
                count,
                entries,
                sides,
            } => patch(count, entries, sides).await,
            Command::Decide { workers, programs } => decide::run(workers, programs),
            Command::Takeover {
                programs,
                victim,
                pairs,
            } => takeover(programs, &victim, pairs).await,
        }
    });
}
