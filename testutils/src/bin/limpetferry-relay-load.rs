//! Measures what a gateway and the keepers cost: a site of real processes
//! before stand-ins, callers that send turns and lookups in a closed loop, and
//! the processor time of each process.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use limpetferry_testutils::platform_site::PlatformSite;

/// Clock ticks in a second, as the system counts processor time.
const TICKS: f64 = 100.0;

/// Turns of a program, as on the sheets.
const PROGRAM_TURNS: usize = 7;

/// Measures the processor time of turns and lookups.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Callers at once.
    #[arg(long, default_value_t = 8)]
    callers: usize,
    /// Seconds of load.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Lookups after each turn.
    #[arg(long, default_value_t = 2)]
    lookups: usize,
    /// Prints the processes and waits this long before the load, for a
    /// profiler.
    #[arg(long, default_value_t = 0)]
    wait: u64,
}

/// Returns the processor time of a process so far, in seconds.
fn processor(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS
}

async fn call(
    site: &PlatformSite,
    caller: usize,
    args: &Args,
    over: &AtomicBool,
    done: &AtomicU64,
) {
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        let program = format!("program-{caller}-{}", number / PROGRAM_TURNS);
        number += 1;
        let headers = [
            ("x-program-id", program.as_str()),
            ("x-session-id", "line"),
            ("x-token-budget", "1000000000"),
            ("x-token-usage", "100,50"),
        ];
        let turn = site
            .send(0, "POST", "/stream/kept/a", &headers, "input")
            .await;
        for _ in 0..args.lookups {
            if site.send(0, "GET", "/read/7", &[], "").await.is_err() {
                return;
            }
        }
        if turn.is_ok_and(|answer| answer.whole) {
            done.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn main() {
    let args = Args::parse();
    smol::block_on(async {
        let mut site = PlatformSite::start(1, 3, 1).await;
        let nodes = ["gateway-0", "keeper-0", "keeper-1", "keeper-2"];
        let ids = nodes.map(|node| site.process(node).id());
        println!("processes={ids:?}");
        smol::Timer::after(Duration::from_secs(args.wait)).await;
        let before = ids.map(processor);
        let over = AtomicBool::new(false);
        let done = Arc::new(AtomicU64::new(0));
        let start = Instant::now();
        let calls = (0..args.callers).map(|caller| call(&site, caller, &args, &over, &done));
        let stop = async {
            smol::Timer::after(Duration::from_secs(args.seconds)).await;
            over.store(true, Ordering::Relaxed);
        };
        futures_lite::future::zip(futures_util::future::join_all(calls), stop).await;
        let turns = done.load(Ordering::Relaxed) as f64;
        println!(
            "turns={turns} per_s={:.0}",
            turns / start.elapsed().as_secs_f64()
        );
        for ((node, id), before) in nodes.iter().zip(ids).zip(before) {
            let used = processor(id) - before;
            println!(
                "node={node} processor_s={used:.2} us_per_turn={:.0}",
                used / turns * 1e6
            );
        }
    });
}
