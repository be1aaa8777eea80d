//! `config`: shows, checks and patches the operator's document.

use std::fs;
use std::io::Read as _;
use std::path::PathBuf;

use clap::Args;
use clap::Subcommand;
use serde_json::Value;
use serde_json::json;

use crate::api::Failure;
use crate::api::Target;
use crate::api::exit;
use crate::api::text;

/// Shows, checks and patches the document.
#[derive(Clone, Debug, Args)]
pub struct ConfigArgs {
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Clone, Debug, Subcommand)]
enum ConfigCommand {
    /// Prints the current document with its version.
    Show,
    /// Prints the audit trail: who changed what, and when.
    History,
    /// Checks a document without applying it; exits with 2 if it has faults.
    Check {
        /// File with the document; `-` for standard input.
        file: PathBuf,
    },
    /// Applies a patch to the given version of the document, completely or not
    /// at all.
    Patch {
        /// File with the patch; `-` for standard input.
        file: PathBuf,
        /// Version of the document that the patch is based on.
        #[arg(long)]
        base: u64,
        /// Id of the patch; a repeated request with the same id returns the
        /// first result.
        #[arg(long)]
        id: String,
        /// Reads the file as a JSON patch (RFC 6902) instead of a merge patch
        /// (RFC 7396).
        #[arg(long)]
        steps: bool,
    },
}

fn read(file: &PathBuf) -> Result<Value, Failure> {
    let fail = |message: String| Failure { code: 1, message };
    let mut content = String::new();
    let read = if file.as_os_str() == "-" {
        std::io::stdin().read_to_string(&mut content).map(|_| ())
    } else {
        fs::read_to_string(file).map(|text| content = text)
    };
    read.map_err(|error| fail(format!("Error: cannot read {}: {error}", file.display())))?;
    serde_json::from_str(&content)
        .map_err(|error| fail(format!("Error: {} is not JSON: {error}", file.display())))
}

/// Runs `config`.
///
/// # Errors
///
/// Returns a [`Failure`] with the exit code.
pub fn cmd_config(target: &Target, args: &ConfigArgs) -> Result<(), Failure> {
    match &args.command {
        ConfigCommand::Show => {
            let answer = target.send("GET", "/v1/config", None)?;
            target.print(&answer, |value| {
                let document = serde_json::to_string_pretty(&value["document"]);
                vec![
                    format!(
                        "version {} (in force here: {})",
                        text(value, "version"),
                        text(value, "in_force")
                    ),
                    document.unwrap_or_default(),
                ]
            });
        }
        ConfigCommand::History => {
            let answer = target.send("GET", "/v1/config/history", None)?;
            target.print(&answer, |value| {
                let lines = value["lines"].as_array().cloned().unwrap_or_default();
                lines
                    .iter()
                    .map(|line| {
                        let fields = ["version", "base", "id", "who", "when", "difference"];
                        let pairs: Vec<String> = fields
                            .iter()
                            .map(|f| format!("{f}={}", text(line, f)))
                            .collect();
                        pairs.join(" ")
                    })
                    .collect()
            });
        }
        ConfigCommand::Check { file } => {
            let answer = target.send("POST", "/v1/config/check", Some(&read(file)?))?;
            let faults = answer["faults"].as_array().cloned().unwrap_or_default();
            target.print(&answer, |_| {
                faults
                    .iter()
                    .map(|fault| format!("{}: {}", text(fault, "path"), text(fault, "remedy")))
                    .collect()
            });
            if !faults.is_empty() {
                let message = format!(
                    "Error: {} fault(s)\nHint: correct each path above",
                    faults.len()
                );
                return Err(Failure {
                    code: exit::REFUSED,
                    message,
                });
            }
        }
        ConfigCommand::Patch {
            file,
            base,
            id,
            steps,
        } => {
            let kind = if *steps { "steps" } else { "merge" };
            let patch = json!({"id": id, "base": base, "change": {kind: read(file)?}});
            let answer = target.send("POST", "/v1/config/patches", Some(&patch))?;
            target.print(&answer, |value| {
                vec![format!("version {}", text(value, "version"))]
            });
        }
    }
    Ok(())
}
