//! Starts one stand-in by hand.

use std::net::SocketAddr;

use clap::Parser;
use limpetferry_testutils::engine::EngineRules;
use limpetferry_testutils::engine::StandInEngine;
use limpetferry_testutils::listen::listen;
use limpetferry_testutils::service::StandInService;
use limpetferry_testutils::store::StandInStore;
use limpetferry_testutils::vms::StandInVms;

/// Starts a stand-in for the platform or for a backend server.
#[derive(Parser)]
struct Args {
    /// What to stand in for.
    kind: Kind,
    /// IP address and port to listen at.
    #[arg(long)]
    listen: SocketAddr,
    /// Time for each token of an engine, in microseconds.
    #[arg(long, default_value_t = 0)]
    token_us: u64,
    /// Tokens of an engine's answer.
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
