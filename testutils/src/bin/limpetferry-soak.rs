//! Runs the soak test with many seeds.

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use limpetferry_testutils::soak;

/// Lines that are shown of a run that broke a promise.
const MAX_SHOWN: usize = 100;

/// Runs gateways and keepers under faults, and checks what callers and servers
/// observed. Exits with status 1 if a promise was broken.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Duration of the faults in each run, in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let length = Duration::from_secs(args.seconds);
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        match smol::block_on(soak::run(seed, length)) {
            Ok(summary) => println!(
                "seed={seed} held attempts={} answered={} faults={} resumed={} continued={} \
                 refused={} ended={} most_ended={}",
                summary.attempts,
                summary.answered,
                summary.faults,
                summary.resumed,
                summary.continued,
                summary.refused,
                summary.ended,
                summary.most_ended
            ),
            Err(broken) => {
                failed += 1;
                for what in broken.iter().take(MAX_SHOWN) {
                    println!("seed={seed} BROKEN {what}");
                }
            }
        }
    }
    println!("seeds={} broken={failed}", args.seeds);
    ExitCode::from(u8::from(failed > 0))
}
