//! Runs one fake of the platform or of a backend server, for manual tests.

use std::net::SocketAddr;

use clap::Parser;
use limpetferry_testutils::engine::EngineRules;
use limpetferry_testutils::engine::StandInEngine;
use limpetferry_testutils::listen::listen;
use limpetferry_testutils::service::StandInService;
use limpetferry_testutils::store::StandInStore;
use limpetferry_testutils::vms::StandInVms;

/// Runs a fake of the platform or of a backend server.
#[derive(Parser)]
struct Args {
    /// What to imitate.
    kind: Kind,
    /// IP address and port to listen at.
    #[arg(long)]
    listen: SocketAddr,
    /// Time that an engine takes for each token, in microseconds.
    #[arg(long, default_value_t = 0)]
    token_us: u64,
    /// Number of tokens in each answer of an engine.
    #[arg(long, default_value_t = 8)]
    tokens: u64,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Kind {
    Store,
    Vms,
    Engine,
    Service,
}

fn main() {
    let args = Args::parse();
    let handler = match args.kind {
        Kind::Store => StandInStore::default().handler(),
        Kind::Vms => StandInVms::default().handler(),
        Kind::Service => StandInService::default().handler(),
        Kind::Engine => {
            let engine = StandInEngine::default();
            engine.set_rules(EngineRules {
                token_us: args.token_us,
                tokens: args.tokens,
                ..EngineRules::default()
            });
            engine.handler()
        }
    };
    smol::block_on(async {
        let (address, _stop) = listen(args.listen, handler).await;
        println!("listening={address}");
        std::future::pending::<()>().await;
    });
}
