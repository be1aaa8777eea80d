//! Connections that go silent for good while new ones work, servers that
//! flap, and callers that do not read.

use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use limpetferry_testutils::client::Got;
use limpetferry_testutils::engine::EngineRules;
use limpetferry_testutils::service::ServiceRules;
use limpetferry_testutils::site::CALLER_KEY;
use limpetferry_testutils::site::Site;
use limpetferry_testutils::site::eventually;
use limpetferry_testutils::wire::Way;
use limpetferry_testutils::wire::Wire;
use serde_json::Value;
use serde_json::json;
use smol::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";
const TRANSFER: &str = "/v1/tools/transfers/move";

/// Puts a wire before a side process and waits until both entries use it.
async fn wired(site: &Site, name: &str) -> Wire {
    let wire = site.put_wire(name).await;
    let links = site.entries.len() as u64;
    eventually("the entries use the wire", async || wire.made() >= links).await;
    site.whole().await;
    wire
}

/// Sends a call under its key until it has an end.
async fn persist(site: &Site, path: &str, headers: &[(&str, &str)], body: &Value) -> Got {
    for _ in 0..2_000 {
        let sent = site.caller(0).send("POST", path, headers, body).await;
        if let Ok(got) = sent
            && got.json()["error"]["retry_after"].is_null()
        {
            return got;
        }
        smol::Timer::after(std::time::Duration::from_millis(20)).await;
    }
    panic!("the call never ended");
}

/// Sends a call by a connection of its own, and reads nothing.
async fn send_raw(site: &Site, body: &str) -> TcpStream {
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(site.entries[0].callers)
        .await
        .expect("the entry listens");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the entry takes it");
    stream
}

/// Makes the connections to the tool's side process silent while a transfer
/// runs, and returns its end with the number of runs.
async fn transfer_over_silence(way: Way) -> (Got, u64) {
    let site = Site::start(2, 1, 1).await;
    let wire = wired(&site, "tool-1").await;
    let before = wire.made();
    let program = site.open_program(0).await;
    site.services[0].set_rules(ServiceRules {
        delay_ms: 300,
        hang: false,
    });
    let headers = [
        ("limpetferry-program", program.as_str()),
        ("idempotency-key", "t1"),
    ];
    let body = json!({"cask": 12});

    let call = persist(&site, TRANSFER, &headers, &body);
    let silence = async {
        eventually("the transfer runs", async || {
            site.services[0].runs().len() == 1
        })
        .await;
        wire.silence(way);
        eventually("new links are made", async || wire.made() > before).await;
    };
    let (got, ()) = futures_lite::future::zip(call, silence).await;
    let runs = site.services[0].runs().into_values().sum();
    (got, runs)
}

#[test]
fn a_transfer_over_a_connection_gone_silent_runs_once_and_is_answered() {
    smol::block_on(async {
        for way in [Way::Both, Way::Forth, Way::Back] {
            let (got, runs) = transfer_over_silence(way).await;

            assert_eq!(got.status, 200, "{way:?} {got:?}");
            assert_eq!(runs, 1, "{way:?}");
        }
    });
}

#[test]
fn a_stream_over_a_connection_gone_silent_comes_whole() {
    smol::block_on(async {
        let site = Site::start(1, 1, 1).await;
        let wire = wired(&site, "engine-1").await;
        let program = site.open_program(0).await;
        site.engines[0].set_rules(EngineRules {
            tokens: 60,
            token_us: 10_000,
            ..EngineRules::default()
        });
        let headers = [("limpetferry-program", program.as_str())];
        let body = json!({"model": "cask-7b", "stream": true, "max_tokens": 60,
                          "messages": [{"role": "user", "content": "hello"}]});
        let caller = site.caller(0);
        let first = json!({"model": "cask-7b", "messages": [{"role": "user", "content": "x"}]});
        let up = persist(&site, CHAT, &[], &first).await;
        assert_eq!(up.status, 200);

        let call = caller.send("POST", CHAT, &headers, &body);
        let silence = async {
            eventually("the stream runs", async || site.engines[0].running() == 1).await;
            wire.silence(Way::Both);
        };
        let (got, ()) = futures_lite::future::zip(call, silence).await;

        let got = got.expect("the entry answers");
        let text = String::from_utf8_lossy(&got.body).into_owned();
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        let pieces = text.lines().filter(|line| line.contains("\"delta\""));
        assert!(pieces.count() >= 60, "{text}");
        assert_eq!(site.engines[0].served(), 2, "nothing ran twice");
    });
}

#[test]
fn a_caller_that_does_not_read_holds_nobody_up() {
    smol::block_on(async {
        let site = Site::start(1, 1, 0).await;
        site.engines[0].set_rules(EngineRules {
            tokens: 500,
            ..EngineRules::default()
        });
        let body = json!({"model": "cask-7b", "stream": true, "max_tokens": 500,
                          "messages": [{"role": "user", "content": "hello"}]})
        .to_string();
        let mut slow = Vec::new();
        for _ in 0..40 {
            slow.push(send_raw(&site, &body).await);
        }
        let question = json!({"model": "cask-7b", "max_tokens": 4,
                              "messages": [{"role": "user", "content": "hello"}]});

        let quick = site
            .caller(0)
            .send("POST", CHAT, &[], &question)
            .await
            .expect("the entry answers");
        let mut late = String::new();
        let mut bytes = vec![0; 64 << 10];
        while !late.contains("[DONE]") {
            let size = slow[0].read(&mut bytes).await.expect("it is open");
            assert!(size > 0, "cut off after {late}");
            late.push_str(&String::from_utf8_lossy(&bytes[..size]));
        }

        assert_eq!(quick.status, 200);
        eventually("all have run", async || site.engines[0].served() == 41).await;
    });
}

#[test]
fn a_caller_that_closes_half_its_connection_is_let_go() {
    smol::block_on(async {
        let site = Site::start(1, 1, 0).await;
        site.engines[0].set_rules(EngineRules {
            hold: true,
            ..EngineRules::default()
        });
        let body = json!({"model": "cask-7b", "stream": true,
                          "messages": [{"role": "user", "content": "hello"}]})
        .to_string();
        let stream = send_raw(&site, &body).await;
        eventually("the call runs", async || site.engines[0].running() == 1).await;

        let closed = stream.shutdown(std::net::Shutdown::Write);

        closed.expect("it was open");
        eventually("its stream is cancelled", async || {
            site.engines[0].running() == 0
        })
        .await;
    });
}

#[test]
fn a_list_that_has_every_server_leaving_is_not_believed() {
    smol::block_on(async {
        let site = Site::start(1, 2, 0).await;
        let question = json!({"model": "cask-7b", "messages": [{"role": "user", "content": "x"}]});
        let ask = async || {
            let sent = site.caller(0).send("POST", CHAT, &[], &question).await;
            sent.expect("the entry answers").status
        };
        site.vms.set("vm-engine-1", "leaving");
        eventually("the one that leaves gets nothing more", async || {
            // Were it in service, it would hardly be left out so often.
            let served = site.engines[0].served();
            for _ in 0..60 {
                assert_eq!(ask().await, 200);
            }
            site.engines[0].served() == served
        })
        .await;

        site.vms.set("vm-engine-2", "leaving");
        eventually("both get work again", async || {
            let served = site.engines[0].served();
            for _ in 0..60 {
                assert_eq!(ask().await, 200);
            }
            site.engines[0].served() > served
        })
        .await;
    });
}
