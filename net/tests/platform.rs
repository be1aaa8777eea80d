//! The whole path on the users' platform: caller, gateway, server, with turns
//! at keepers, and what is said when something fails on the way.

use limpetferry_testutils::platform_server::Behaviour;
use limpetferry_testutils::platform_server::Run;
use limpetferry_testutils::platform_server::whole_output;
use limpetferry_testutils::platform_server::whole_stream;
use limpetferry_testutils::platform_site::Answer;
use limpetferry_testutils::platform_site::PlatformSite;
use limpetferry_testutils::platform_site::routing;
use serde_json::json;

/// Headers of a turn of a program.
fn turn<'a>(program: &'a str, budget: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("x-program-id", program),
        ("x-session-id", "line"),
        ("x-token-budget", budget),
        ("x-token-usage", "100,50"),
        ("x-deadline-ms", "3000"),
    ]
}

async fn site() -> PlatformSite {
    PlatformSite::start(2, 3, 1).await
}

fn plain_runs(site: &PlatformSite) -> Vec<Run> {
    site.plain.iter().flat_map(|server| server.runs()).collect()
}

fn engine_runs(site: &PlatformSite) -> Vec<Run> {
    site.engines
        .iter()
        .flat_map(|server| server.runs())
        .collect()
}

/// Makes all plain servers do the same with their next request.
fn plain_behave(site: &PlatformSite, behaviour: Behaviour) {
    for server in &site.plain {
        server.behave([behaviour]);
    }
}

fn engines_behave(site: &PlatformSite, behaviour: Behaviour) {
    for server in &site.engines {
        server.behave([behaviour]);
    }
}

async fn write(site: &PlatformSite) -> Answer {
    let answer = site.send(0, "POST", "/write/7?a=b", &[], "transfer").await;
    answer.expect("an answer")
}

async fn read(site: &PlatformSite) -> Answer {
    let answer = site.send(0, "GET", "/read/7", &[], "").await;
    answer.expect("an answer")
}

#[test]
fn a_request_reaches_a_server_unchanged_and_its_answer_comes_back() {
    smol::block_on(async {
        let site = site().await;
        let forged = [
            ("x-attempt-id", "attempt-1"),
            ("x-deadline-ms", "2000"),
            ("x-pin-ms", "9000"),
            ("kv-from", "10.0.0.1:1/2"),
            ("x-mine", "kept"),
        ];

        let answer = site
            .send_raw(0, "POST", "/write/7?a=b", &forged, "transfer")
            .await;

        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(answer.text(), "answer to /write/7?a=b");
        assert_eq!(answer.headers["x-server-signature"], "signed");
        let runs = plain_runs(&site);
        assert_eq!(runs.len(), 1);
        let run = &runs[0];
        assert_eq!(run.path, "/write/7?a=b");
        assert_eq!(run.body, "transfer");
        assert_eq!(run.headers["x-mine"], "kept");
        assert_eq!(run.attempt, "attempt-1");
        let left: u64 = run.headers["x-deadline-ms"]
            .to_str()
            .expect("text")
            .parse()
            .expect("a number");
        assert!(left <= 2_000, "{left}");
        assert!(run.headers.contains_key("x-expect-instance"));
        for name in ["x-pin-ms", "kv-from"] {
            assert!(
                !run.headers.contains_key(name),
                "{name} is the system's to set"
            );
        }
    });
}

#[test]
fn a_turn_gets_the_whole_chain_before_it_through_any_gateway() {
    smol::block_on(async {
        let site = site().await;
        let first_id = site.attempt();
        let mut headers = turn("program", "1000");
        headers.push(("x-attempt-id", &first_id));
        let first = site
            .send_raw(0, "POST", "/stream/kept/a", &headers, "one;")
            .await;
        let second_id = site.attempt();
        let mut headers = turn("program", "1000");
        headers.extend([
            ("x-attempt-id", &*second_id),
            ("x-previous-turn", &first_id),
        ]);

        let second = site
            .send_raw(1, "POST", "/stream/kept/a", &headers, "two;")
            .await;
        let mut headers = turn("another program", "1000");
        headers.push(("x-previous-turn", &second_id));
        let third = site
            .send(0, "POST", "/stream/kept/a", &headers, "three;")
            .await;

        for answer in [first, second, third] {
            let answer = answer.expect("an answer");
            assert_eq!((answer.status, answer.whole), (200, true));
            assert_eq!(answer.text(), whole_stream());
        }
        let output = whole_output();
        let bodies: Vec<String> = engine_runs(&site)
            .iter()
            .map(|run| String::from_utf8_lossy(&run.body).into_owned())
            .collect();
        for body in [
            "one;".to_owned(),
            format!("one;{output}two;"),
            format!("one;{output}two;{output}three;"),
        ] {
            assert!(bodies.contains(&body), "{body:?} is not among {bodies:?}");
        }
    });
}

#[test]
fn a_turn_that_continues_from_none_that_exists_is_refused_for_good() {
    smol::block_on(async {
        let site = site().await;
        let mut headers = turn("program", "1000");
        headers.push(("x-previous-turn", "nobody"));

        let answer = site.send(0, "POST", "/stream/kept/a", &headers, "x").await;

        assert_eq!(answer.expect("an answer").status, 404);
        assert!(engine_runs(&site).is_empty());
    });
}

#[test]
fn a_budget_holds_through_both_gateways() {
    smol::block_on(async {
        let site = site().await;
        // Each turn hands out 50 tokens.
        let headers = turn("program", "120");

        let mut statuses = Vec::new();
        for number in 0..4 {
            let answer = site
                .send(number % 2, "POST", "/stream/resumable/a", &headers, "x")
                .await;
            statuses.push(answer.expect("an answer").status);
        }

        assert_eq!(statuses, [200, 200, 402, 402]);
        assert_eq!(engine_runs(&site).len(), 2);
    });
}

#[test]
fn a_request_that_may_run_once_is_sent_on_only_where_it_was_not_run() {
    smol::block_on(async {
        let site = site().await;
        site.plain[0].behave([Behaviour::Shed, Behaviour::Shed]);
        site.plain[1].behave([Behaviour::Replaced, Behaviour::Answer]);

        let answer = write(&site).await;

        // Both refused; whichever was asked first, nothing has run.
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(plain_runs(&site).is_empty());
    });
}

#[test]
fn a_lost_answer_to_a_request_that_may_run_once_is_no_promise() {
    smol::block_on(async {
        let site = site().await;
        plain_behave(&site, Behaviour::LoseAnswer);

        let answer = write(&site).await;

        assert_eq!(answer.status, 502);
        assert_eq!(plain_runs(&site).len(), 1);
    });
}

#[test]
fn an_idempotent_request_does_not_wait_for_a_silent_server_to_its_end() {
    smol::block_on(async {
        let site = site().await;
        plain_behave(&site, Behaviour::Hang);

        let first = read(&site).await;
        let second = read(&site).await;

        // Both servers are silent at first; no more of them are tried than the
        // route allows.
        assert_eq!((first.status, second.status), (504, 200));
        assert_eq!(plain_runs(&site).len(), 3);
    });
}

#[test]
fn a_lost_answer_to_an_idempotent_request_is_asked_for_again() {
    smol::block_on(async {
        let site = site().await;
        site.plain[0].behave([Behaviour::LoseAnswer]);
        site.plain[1].behave([Behaviour::LoseAnswer, Behaviour::Answer]);

        let first = read(&site).await;
        let second = read(&site).await;

        // Two servers may run one attempt; both lost the first one's answer.
        assert_eq!(first.status, 502);
        assert_eq!(second.status, 200);
        assert_eq!(plain_runs(&site).len(), 3);
    });
}

#[test]
fn answers_that_are_not_the_servers_own_are_no_success() {
    for behaviour in [
        Behaviour::Unsigned,
        Behaviour::Crossed,
        Behaviour::Encoded,
        Behaviour::Status(503),
        Behaviour::Status(429),
    ] {
        smol::block_on(async {
            let site = site().await;
            plain_behave(&site, behaviour);

            let answer = write(&site).await;

            assert_eq!(answer.status, 502, "{behaviour:?}");
            assert_eq!(plain_runs(&site).len(), 1, "{behaviour:?}");
        });
    }
}

#[test]
fn a_servers_own_failure_is_passed_on_as_it_is() {
    smol::block_on(async {
        let site = site().await;
        plain_behave(&site, Behaviour::Status(500));

        let answer = write(&site).await;

        assert_eq!(answer.status, 500);
        assert_eq!(answer.headers["x-server-signature"], "signed");
    });
}

#[test]
fn a_resumable_stream_goes_on_at_the_same_server() {
    smol::block_on(async {
        let site = site().await;
        engines_behave(&site, Behaviour::CutAfter(2));

        let headers = turn("program", "1000");
        let answer = site
            .send(0, "POST", "/stream/resumable/a", &headers, "x")
            .await;

        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(answer.text(), whole_stream());
        let used = site
            .engines
            .iter()
            .filter(|engine| !engine.runs().is_empty());
        assert_eq!(used.count(), 1, "the route allows one server");
        let runs = engine_runs(&site);
        let last = runs[1].headers["last-event-id"].to_str().expect("text");
        // An event that was cut together with its connection may be lost.
        assert!(["1", "2"].contains(&last), "{last}");
        assert_eq!(runs.len(), 2);
    });
}

#[test]
fn a_stream_that_may_not_go_on_is_cut_where_its_caller_sees_it() {
    smol::block_on(async {
        let site = site().await;
        engines_behave(&site, Behaviour::CutAfter(2));
        let attempt = site.attempt();
        let mut headers = turn("program", "1000");
        headers.push(("x-attempt-id", &attempt));

        let answer = site
            .send_raw(0, "POST", "/stream/kept/a", &headers, "x")
            .await;
        let mut headers = turn("program", "1000");
        headers.push(("x-previous-turn", &attempt));
        let next = site.send(0, "POST", "/stream/kept/a", &headers, "y").await;

        assert!(!answer.expect("an answer").whole);
        assert_eq!(
            next.expect("an answer").status,
            404,
            "a turn that was cut does not count"
        );
    });
}

#[test]
fn malformed_and_oversized_requests_reach_no_server() {
    smol::block_on(async {
        let site = site().await;
        let long = "x".repeat(100_001);

        let without_id = site.send_raw(0, "GET", "/read/7", &[], "").await;
        let too_long = site.send(0, "POST", "/write/7", &[], &long).await;
        let no_route = site.send(0, "GET", "/nowhere/7", &[], "").await;
        let bad_usage = [("x-token-usage", "many")];
        let bad_usage = site.send(0, "POST", "/stream/kept/a", &bad_usage, "").await;

        assert_eq!(without_id.expect("an answer").status, 400);
        assert_eq!(too_long.expect("an answer").status, 413);
        assert_eq!(no_route.expect("an answer").status, 404);
        assert_eq!(bad_usage.expect("an answer").status, 400);
        assert!(plain_runs(&site).is_empty() && engine_runs(&site).is_empty());
    });
}

#[test]
fn a_length_that_is_too_long_is_refused_before_the_body_comes() {
    smol::block_on(async {
        let site = site().await;
        let head = "POST /write/7 HTTP/1.1\r\nhost: agents.example\r\nx-attempt-id: a\r\n\
                    content-length: 1073741824\r\n\r\n";

        let answer = site.send_bytes(0, head).await;

        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    });
}

#[test]
fn a_malformed_chunk_is_the_callers_fault() {
    smol::block_on(async {
        let site = site().await;
        let head = "POST /write/7 HTTP/1.1\r\nhost: agents.example\r\nx-attempt-id: a\r\n\
                    transfer-encoding: chunked\r\n\r\nno number\r\nabc\r\n";

        let answer = site.send_bytes(0, head).await;

        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(plain_runs(&site).is_empty());
    });
}

#[test]
fn a_server_that_drains_or_is_gone_gets_no_new_work() {
    smol::block_on(async {
        let site = site().await;
        site.set_state("plain-0", "draining");
        site.wait_for_servers(0, 3).await;

        for _ in 0..6 {
            assert_eq!(write(&site).await.status, 200);
        }
        let drained = site.plain[0].runs().len();
        site.store.remove("servers/plain-1");
        site.wait_for_servers(0, 2).await;
        let none = write(&site).await;

        assert_eq!(drained, 0);
        assert_eq!(none.status, 503);
        assert!(none.headers.contains_key("retry-after"));
    });
}

#[test]
fn a_new_routing_is_in_force_everywhere_and_an_older_one_never_again() {
    smol::block_on(async {
        let site = site().await;
        let mut newer = routing(5);
        newer["Routes"][3]["PathPrefix"] = json!("/moved/");

        site.store.put("op/config", &newer);
        for gateway in 0..2 {
            site.wait_for_routing(gateway, 5).await;
        }
        site.store.put("op/config", &routing(4));
        site.set_state("plain-0", "draining");
        for gateway in 0..2 {
            site.wait_for_servers(gateway, 3).await;
        }

        for gateway in 0..2 {
            let old = site.send(gateway, "POST", "/write/7", &[], "").await;
            let new = site.send(gateway, "POST", "/moved/7", &[], "").await;
            assert_eq!(old.expect("an answer").status, 404);
            assert_eq!(new.expect("an answer").status, 200);
        }
    });
}
