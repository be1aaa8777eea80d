//! All servers of a service send without end to many callers, beside a service that
//! answers.

use std::sync::Arc;

use futures_util::future::join;
use futures_util::future::join_all;
use limpetferry_net::gateway_settings::GatewaySettings;
use limpetferry_testutils::endless;
use limpetferry_testutils::endless::Endless;
use limpetferry_testutils::platform_site::Answer;
use limpetferry_testutils::platform_site::HOST;
use limpetferry_testutils::platform_site::PlatformSite;
use limpetferry_testutils::platform_site::routing;
use serde_json::Value;
use serde_json::json;

/// Servers that send without end, and requests at them at once.
const BAD_SERVERS: usize = 4;
const BAD_REQUESTS: usize = 160;
/// Callers of the sound service, and the requests of each.
const CALLERS: usize = 4;
const REQUESTS: usize = 15;
/// Memory of a gateway of the smallest deployments, in megabytes.
const GATEWAY_MB: u64 = 88;
/// Half of it, in bytes: the other half is for callers.
const SERVERS_MEMORY: u64 = 44 << 20;
/// Path of a plain request, and that of a stream, at servers that send without end.
const PLAIN: &str = "/bad/1";
const STREAM: &str = "/badstream/1";

fn route(name: &str, kind: &str) -> Value {
    json!({
        "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Type": kind,
        "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 1, "Service": "bad",
        "MaxAttempts": 2, "Retained": false, "Sticky": false, "Resumable": false,
    })
}

fn push(document: &mut Value, list: &str, value: Value) {
    document[list].as_array_mut().expect("a list").push(value);
}

/// Starts a site with a service all of whose servers send without end.
async fn site(kind: Endless) -> Arc<PlatformSite> {
    let mut site = PlatformSite::start(1, 3, 1).await;
    let limit = |settings: &mut GatewaySettings| settings.memory_mb = Some(GATEWAY_MB);
    site.change_gateway(0, limit).await;
    let mut document = routing(2);
    push(&mut document, "Routes", route("bad", "idempotent"));
    push(&mut document, "Routes", route("badstream", "streaming"));
    let service = json!({"Name": "bad", "MaxConns": 1000});
    push(&mut document, "Services", service);
    site.store.put("op/config", &document);
    for number in 0..BAD_SERVERS {
        let address = endless::start(kind);
        let entry = json!({"Service": "bad", "Address": address.to_string(), "Zone": "here",
                           "Version": "v1", "Slots": 64, "State": "ready", "ColdLeftMs": 0, "Seq": 1});
        site.store.put(&format!("servers/bad-{number}"), &entry);
    }
    site.wait_for_servers(0, 4 + BAD_SERVERS as u64).await;
    site.wait_for_routing(0, 2).await;
    Arc::new(site)
}

async fn send(site: &PlatformSite, path: &str) -> Option<Answer> {
    let headers = [("x-deadline-ms", "2500")];
    site.send(0, "GET", path, &headers, "").await.ok()
}

async fn send_bad(site: &PlatformSite, path: &str) -> Vec<Option<Answer>> {
    join_all((0..BAD_REQUESTS).map(|_| send(site, path))).await
}

async fn send_ordinary(site: &PlatformSite) -> Vec<Option<Answer>> {
    let callers = (0..CALLERS).map(|_| async {
        let mut answers = Vec::new();
        for _ in 0..REQUESTS {
            answers.push(send(site, "/read/1").await);
        }
        answers
    });
    join_all(callers).await.concat()
}

/// Plays both kinds of requests at once, and checks that the ordinary ones are served and
/// the gateway uses less than `most` bytes.
fn play(kind: Endless, path: &str, most: u64) {
    smol::block_on(async {
        let site = site(kind).await;

        let (_, ordinary) = join(send_bad(&site, path), send_ordinary(&site)).await;

        let mut site = Arc::into_inner(site).expect("nobody else has it");
        let peak = site.process("gateway-0").peak_memory();
        for answer in ordinary {
            let answer = answer.expect("an answer");
            assert!(
                answer.status == 200 && answer.whole,
                "{kind:?}: {} {}",
                answer.status,
                answer.text()
            );
        }
        assert!(peak < most, "{kind:?}: {} kB", peak >> 10);
    });
}

// Guards against a gateway whose memory the read buffers of its connections use up.
#[test]
fn heads_without_end_at_many_connections_are_bounded_together() {
    for kind in [Endless::Interim, Endless::HeadLine] {
        play(kind, PLAIN, SERVERS_MEMORY);
    }
}

// Guards against a gateway whose memory events without an end use up.
#[test]
fn events_without_end_of_many_streams_are_bounded_together() {
    for kind in [Endless::Chunks, Endless::Unframed, Endless::Length] {
        play(kind, STREAM, SERVERS_MEMORY);
    }
}

#[test]
fn other_parts_of_answers_without_end_are_bounded_together() {
    for kind in [
        Endless::Head,
        Endless::Extension,
        Endless::Trailers,
        Endless::Excess,
        Endless::Noise,
    ] {
        play(kind, PLAIN, SERVERS_MEMORY);
    }
}
