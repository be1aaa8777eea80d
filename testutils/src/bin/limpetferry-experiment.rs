//! Compares the shipped policy with its baselines in virtual time.

use clap::Parser;
use limpetferry_testutils::experiment::Figures;
use limpetferry_testutils::experiment::Mix;
use limpetferry_testutils::experiment::Policy;
use limpetferry_testutils::experiment::Setup;
use limpetferry_testutils::experiment::run;

/// Compares the shipped policy with its baselines. Prints rows of comma-separated
/// values: means over the seeds, and the lowest and highest 95th percentile.
#[derive(Parser)]
struct Args {
    /// Number of seeds, starting from 1.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Loads, as shares of capacity.
    #[arg(long, value_delimiter = ',', default_values_t = [0.5, 0.8, 1.0, 1.2])]
    loads: Vec<f64>,
    /// Runs one engine at a tenth of its speed.
    #[arg(long)]
    slow: bool,
}

fn main() {
    let args = Args::parse();
    println!("mix,load,slow,policy,p50,p95,p95_least,p95_most,p99,waste,late");
    for mix in [Mix::Registrars, Mix::Clydeforth] {
        for load in &args.loads {
            for policy in Policy::ALL {
                let runs: Vec<Figures> = (1..=args.seeds)
                    .map(|seed| Setup {
                        mix,
                        load: *load,
                        slow: args.slow,
                        seed,
                    })
                    .map(|setup| run(setup, policy))
                    .collect();
                let mean = |value: fn(&Figures) -> f64| {
                    runs.iter().map(value).sum::<f64>() / runs.len() as f64
                };
                let least = runs.iter().map(|run| run.p95).fold(f64::INFINITY, f64::min);
                let most = runs.iter().map(|run| run.p95).fold(0.0, f64::max);
                println!(
                    "{mix:?},{load},{},{policy:?},{:.2},{:.2},{least:.2},{most:.2},{:.2},{:.3},{:.3}",
                    args.slow,
                    mean(|run| run.p50),
                    mean(|run| run.p95),
                    mean(|run| run.p99),
                    mean(|run| run.waste),
                    mean(|run| run.late),
                );
            }
        }
    }
}
