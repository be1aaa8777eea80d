//! A demonstration in one process: simulated backend servers on loopback, two
//! entries, side processes, and an agent program that sends its calls to them.

use std::time::Duration;

use clap::Parser;
use eyre::WrapErr as _;
use limpetferry_testutils::client::Caller;
use limpetferry_testutils::client::Got;
use limpetferry_testutils::site::Site;
use serde_json::Value;
use serde_json::json;

/// Runs an agent program through a small site on loopback.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Pause between two calls of the program, in milliseconds.
    #[arg(long, default_value_t = 1_500)]
    pause_ms: u64,
}

const CHAT: &str = "/v1/chat/completions";

struct Demo {
    site: Site,
    callers: [Caller; 2],
}

fn print_response(step: &str, got: &Got) {
    println!(
        "{step}\n    {} {}",
        got.status,
        String::from_utf8_lossy(&got.body).trim()
    );
}

fn chat_body(text: &str) -> Value {
    json!({"model": "cask-7b", "messages": [{"role": "user", "content": text}]})
}

impl Demo {
    async fn send(
        &self,
        entry: usize,
        step: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> eyre::Result<Value> {
        let method = if body.is_null() && path.starts_with("/v1/programs/") {
            "DELETE"
        } else {
            "POST"
        };
        let got = self.callers[entry]
            .send(method, path, headers, body)
            .await
            .wrap_err("cannot send the request to the entry")?;
        print_response(step, &got);
        eyre::ensure!(
            got.status == 200,
            "the demonstration expects 200, got {}",
            got.status
        );
        Ok(got.json())
    }

    async fn run(&self, pause: Duration) -> eyre::Result<()> {
        let opened = self
            .send(
                0,
                "opens a program at entry 1",
                "/v1/programs",
                &[],
                &Value::Null,
            )
            .await?;
        let program = opened["id"].as_str().unwrap_or_default().to_owned();
        let headers = [
            ("limpetferry-program", program.as_str()),
            ("limpetferry-history", "append"),
        ];
        self.send(
            0,
            "sends a chat request to a model",
            CHAT,
            &headers,
            &chat_body("Where is cask 12?"),
        )
        .await?;

        let keyed = [headers[0], ("idempotency-key", "transfer-12")];
        let transfer = "/v1/tools/transfers/move";
        let body = json!({"cask": 12, "to": "Osijek"});
        self.send(
            0,
            "sends a transfer, which must not run twice",
            transfer,
            &keyed,
            &body,
        )
        .await?;
        self.send(
            1,
            "sends it again through entry 2 and gets the same answer",
            transfer,
            &keyed,
            &body,
        )
        .await?;
        let runs: u64 = self
            .site
            .services
            .iter()
            .flat_map(|s| s.runs().into_values())
            .sum();
        println!("    the service ran it {runs} time(s)");
        eyre::ensure!(runs == 1, "a transfer ran {runs} times");

        let child = self
            .send(
                1,
                "opens a sub-agent that shares its parent's budget",
                "/v1/programs",
                &[],
                &json!({"parent": program}),
            )
            .await?;
        let child = child["id"].as_str().unwrap_or_default().to_owned();
        self.send(
            1,
            "the sub-agent sends a chat request to a model",
            CHAT,
            &[("limpetferry-program", &child)],
            &chat_body("Draft the paper."),
        )
        .await?;

        println!("the program pauses for {pause:?}");
        smol::Timer::after(pause).await;
        self.send(
            1,
            "continues at entry 2, sending only the new messages",
            CHAT,
            &headers,
            &chat_body("And cask 13?"),
        )
        .await?;
        self.patch().await?;
        self.send(
            0,
            "ends the program",
            &format!("/v1/programs/{program}"),
            &[],
            &Value::Null,
        )
        .await?;
        Ok(())
    }

    async fn patch(&self) -> eyre::Result<()> {
        let change = json!({"deployments": {"register": {"program": {"calls": 50}}}});
        let patch = json!({"id": "fewer-calls", "base": 1, "change": {"merge": change}});
        let got = self
            .site
            .operator(0)
            .send("POST", "/v1/config/patches", &[], &patch)
            .await?;
        print_response("an operator patches version 1", &got);
        let start = std::time::Instant::now();
        self.site.in_force_everywhere(2).await;
        println!(
            "    version 2 is in force in every process after {:?}",
            start.elapsed()
        );
        let stale = json!({"id": "late", "base": 1, "change": {"merge": {}}});
        let got = self
            .site
            .operator(1)
            .send("POST", "/v1/config/patches", &[], &stale)
            .await?;
        print_response("another patch of version 1 is refused", &got);
        Ok(())
    }
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    smol::block_on(async {
        let site = Site::start(2, 2, 1).await;
        let callers = [site.caller(0), site.caller(1)];
        let demo = Demo { site, callers };
        demo.run(Duration::from_millis(args.pause_ms)).await?;
        println!("done");
        Ok(())
    })
}
