//! The operators' command-line tool.

use std::process::ExitCode;

use clap::CommandFactory as _;
use clap::Parser;
use clap::Subcommand;

mod api;
mod config;
mod drain;
mod explain;
mod requests;
mod settle;
mod status;

use api::Target;

/// Operates a limpetferry site: its document, its servers and its programs.
///
/// Exits with 0 on success, 1 if the command line is wrong, 2 if the request
/// was refused and nothing changed, and 3 if no response arrived.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(flatten)]
    target: Target,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    Config(config::ConfigArgs),
    /// Prints the state of an entry and of its peers.
    Status,
    /// Prints the programs that an entry owns.
    Programs,
    Drain(drain::DrainArgs),
    Requests(requests::RequestsArgs),
    Settle(settle::SettleArgs),
    Explain(explain::ExplainArgs),
    /// Prints a completion script for a shell.
    Completions {
        /// Shell to complete in.
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let args = match Args::try_parse() {
        Ok(args) => args,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(u8::from(error.use_stderr()));
        }
    };
    let target = &args.target;
    let result = match &args.command {
        Command::Config(args) => config::cmd_config(target, args),
        Command::Status => status::cmd_status(target),
        Command::Programs => status::cmd_programs(target),
        Command::Drain(args) => drain::cmd_drain(target, args),
        Command::Requests(args) => requests::cmd_requests(target, args),
        Command::Settle(args) => settle::cmd_settle(target, args),
        Command::Explain(args) => explain::cmd_explain(args),
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(
                *shell,
                &mut command,
                "limpetferry-ctl",
                &mut std::io::stdout(),
            );
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{}", failure.message);
            ExitCode::from(failure.code)
        }
    }
}
