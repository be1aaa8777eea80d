//! Measures the CPU time that a gateway and the keepers use. Runs a site of real
//! processes with a fake platform and fake backend servers; callers send turns and
//! lookups in a closed loop.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use limpetferry_testutils::platform_site::PlatformSite;

/// Clock ticks per second (`USER_HZ`), the unit of CPU times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Turns per program, as in the specification of the users' platform.
const PROGRAM_TURNS: usize = 7;

/// Measures the CPU time of turns and lookups.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Number of concurrent callers.
    #[arg(long, default_value_t = 8)]
    callers: usize,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of lookups after each turn.
    #[arg(long, default_value_t = 2)]
    lookups: usize,
    /// Seconds between the output of the process ids and the start of the load, in
    /// which a profiler can be attached.
    #[arg(long, default_value_t = 0)]
    wait: u64,
}

/// Returns the CPU time that a process has used so far, in seconds.
fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Sends turns, each followed by lookups, until `stop` is set.
async fn run_caller(
    site: &PlatformSite,
    caller: usize,
    args: &Args,
    stop: &AtomicBool,
    completed: &AtomicU64,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
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
            completed.fetch_add(1, Ordering::Relaxed);
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
        let before = ids.map(cpu_seconds);
        let stop = AtomicBool::new(false);
        let completed = Arc::new(AtomicU64::new(0));
        let start = Instant::now();
        let callers =
            (0..args.callers).map(|caller| run_caller(&site, caller, &args, &stop, &completed));
        let set_stop = async {
            smol::Timer::after(Duration::from_secs(args.seconds)).await;
            stop.store(true, Ordering::Relaxed);
        };
        futures_lite::future::zip(futures_util::future::join_all(callers), set_stop).await;
        let turns = completed.load(Ordering::Relaxed) as f64;
        println!(
            "turns={turns} per_s={:.0}",
            turns / start.elapsed().as_secs_f64()
        );
        for ((node, id), before) in nodes.iter().zip(ids).zip(before) {
            let used = cpu_seconds(id) - before;
            println!(
                "node={node} processor_s={used:.2} us_per_turn={:.0}",
                used / turns * 1e6
            );
        }
    });
}
