//! The refusals that callers and operators meet, each brought about over real
//! sockets.

use limpetferry_testutils::client::Caller;
use limpetferry_testutils::client::Got;
use limpetferry_testutils::engine::EngineRules;
use limpetferry_testutils::service::ServiceRules;
use limpetferry_testutils::site::CALLER_KEY;
use limpetferry_testutils::site::Mode;
use limpetferry_testutils::site::Site;
use limpetferry_testutils::site::eventually;
use limpetferry_testutils::store::StoreFaults;
use serde_json::Value;
use serde_json::json;
use smol::io::AsyncReadExt as _;
use smol::io::AsyncWriteExt as _;

const CHAT: &str = "/v1/chat/completions";
const TRANSFER: &str = "/v1/tools/transfers/move";

async fn send(
    caller: &Caller,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Got {
    let sent = caller.send(method, path, headers, body).await;
    sent.expect("the entry answers")
}

async fn open_program(caller: &Caller, body: &Value) -> String {
    let got = send(caller, "POST", "/v1/programs", &[], body).await;
    got.json()["id"].as_str().expect("an id").to_owned()
}

fn question() -> Value {
    json!({"model": "cask-7b", "messages": [{"role": "user", "content": "hello"}]})
}

/// Applies a merge patch as version `base` plus one.
async fn patch(site: &Site, base: u64, change: Value) {
    let body = json!({"id": format!("p{base}"), "base": base, "change": {"merge": change}});
    let got = send(&site.operator(0), "POST", "/v1/config/patches", &[], &body).await;
    assert_eq!(got.status, 200, "{got:?}");
}

fn assert_refused(got: &Got, status: u16, code: &str, ran: &str) {
    let error = &got.json()["error"];
    assert_eq!(got.status, status, "{got:?}");
    assert_eq!(error["code"], code);
    assert_eq!(error["ran"], ran);
    assert!(
        error["remedy"]
            .as_str()
            .is_some_and(|text| !text.is_empty())
    );
}

#[test]
fn malformed_requests_are_refused_before_anything_runs() {
    smol::block_on(async {
        let site = Site::start(1, 1, 1).await;
        let caller = site.caller(0);
        let stranger = Caller::new(site.entries[0].callers, "no such key");
        let long = json!({"model": "cask-7b", "messages": [{"role": "user", "content": "x".repeat(5 << 20)}]});

        let bad_key = send(&stranger, "POST", CHAT, &[], &question()).await;
        let bad_body = send(&caller, "POST", CHAT, &[], &json!([1])).await;
        let bad_number = send(
            &caller,
            "POST",
            CHAT,
            &[("limpetferry-call", "x")],
            &question(),
        )
        .await;
        let model = json!({"model": "none", "messages": [{"role": "user", "content": "x"}]});
        let bad_model = send(&caller, "POST", CHAT, &[], &model).await;
        let bad_service = send(&caller, "POST", "/v1/tools/none/x", &[], &json!({})).await;
        let too_large = send(&caller, "POST", CHAT, &[], &long).await;

        assert_refused(&bad_key, 401, "bad_key", "not_run");
        assert_refused(&bad_body, 400, "bad_request", "not_run");
        assert_refused(&bad_number, 400, "bad_request", "not_run");
        assert_refused(&bad_model, 404, "unknown_model", "not_run");
        assert_refused(&bad_service, 404, "unknown_service", "not_run");
        assert_refused(&too_large, 413, "too_large", "not_run");
        assert_eq!(site.engines[0].served(), 0);
    });
}

#[test]
fn a_programs_own_rules_are_kept() {
    smol::block_on(async {
        let site = Site::start(1, 1, 1).await;
        let caller = site.caller(0);
        let program = open_program(&caller, &json!({"calls": 1})).await;
        let own = ("limpetferry-program", program.as_str());
        let stale = ("limpetferry-base", "00000000000000000000000000000001");
        let append = ("limpetferry-history", "append");

        let mismatch = send(&caller, "POST", CHAT, &[own, append, stale], &question()).await;
        let early = [own, ("limpetferry-call", "40")];
        let out_of_turn = send(&caller, "POST", TRANSFER, &early, &json!({})).await;
        let first = send(&caller, "POST", TRANSFER, &[own], &json!({})).await;
        let budget = send(&caller, "POST", TRANSFER, &[own], &json!({})).await;
        let path = format!("/v1/programs/{program}");
        send(&caller, "DELETE", &path, &[], &Value::Null).await;
        let ended = send(&caller, "POST", TRANSFER, &[own], &json!({})).await;
        let nobody = "/v1/programs/p-0000000000000001-0000000000000001";
        let unknown = send(&caller, "GET", nobody, &[], &Value::Null).await;

        assert_refused(&mismatch, 409, "history_mismatch", "not_run");
        assert_refused(&out_of_turn, 409, "out_of_turn", "not_run");
        assert_eq!(first.status, 200);
        assert_refused(&budget, 429, "budget_spent", "not_run");
        assert_refused(&ended, 409, "program_ended", "not_run");
        assert_refused(&unknown, 404, "program_unknown", "unknown");
        assert_eq!(site.services[0].runs().len(), 1);
    });
}

#[test]
fn a_sub_agent_draws_on_its_parents_budget() {
    smol::block_on(async {
        let site = Site::start(2, 1, 1).await;
        let caller = site.caller(0);
        let parent = open_program(&caller, &json!({"calls": 2})).await;
        let child = open_program(&site.caller(1), &json!({"parent": parent})).await;
        let of_child = [("limpetferry-program", child.as_str())];
        let of_parent = [("limpetferry-program", parent.as_str())];

        let first = send(&site.caller(1), "POST", TRANSFER, &of_child, &json!({})).await;
        let second = send(&caller, "POST", TRANSFER, &of_parent, &json!({})).await;
        let third = send(&site.caller(1), "POST", TRANSFER, &of_child, &json!({})).await;

        assert_eq!([first.status, second.status], [200, 200]);
        assert_refused(&third, 429, "budget_spent", "not_run");
    });
}

#[test]
fn more_than_the_limits_allow_is_refused_at_once() {
    smol::block_on(async {
        let site = Site::start(1, 1, 0).await;
        let limits = json!({"deployments": {"register": {"limits": {"running": 1, "waiting": 1}}}});
        patch(&site, 1, limits).await;
        let held = EngineRules {
            hold: true,
            ..EngineRules::default()
        };
        site.engines[0].set_rules(held);
        let body = question();
        let short = [("limpetferry-patience-ms", "50")];
        let callers = [site.caller(0), site.caller(0), site.caller(0)];

        let first = send(&callers[0], "POST", CHAT, &[], &body);
        let rest = async {
            eventually("the first call runs", async || {
                site.engines[0].running() == 1
            })
            .await;
            let late = send(&callers[1], "POST", CHAT, &short, &body).await;
            // Of these two, one waits until the first has ended.
            let pair = [1, 2].map(|index| send(&callers[index], "POST", CHAT, &[], &body));
            let mut pair = pair.map(Box::pin).into_iter().collect::<Vec<_>>();
            let (refused, _, waiting) = futures_util::future::select_all(pair.drain(..)).await;
            site.engines[0].set_rules(EngineRules::default());
            let waited = futures_util::future::join_all(waiting).await.remove(0);
            (late, refused, waited)
        };
        let (first, (late, refused, waited)) = futures_lite::future::zip(first, rest).await;

        assert_refused(&late, 504, "deadline_passed", "not_run");
        assert_refused(&refused, 503, "overloaded", "not_run");
        assert_eq!([first.status, waited.status], [200, 200]);
    });
}

#[test]
fn without_a_server_in_service_nothing_runs() {
    smol::block_on(async {
        let mut site = Site::start(1, 1, 1).await;
        assert!(site.process("tool-1").stop().await);
        let caller = site.caller(0);

        let got = send(
            &caller,
            "POST",
            "/v1/tools/transfers/lookup",
            &[],
            &json!({}),
        )
        .await;

        assert_refused(&got, 503, "no_server", "not_run");
        assert_eq!(got.json()["error"]["retry_after"], 2);
    });
}

#[test]
fn operators_are_told_what_is_wrong() {
    smol::block_on(async {
        let site = Site::start(1, 1, 0).await;
        let stranger = Caller::new(site.entries[0].operators, "no such key at all");
        let operator = site.operator(0);
        let faulty = json!({"id": "x", "base": 1, "change": {"merge":
            {"deployments": {"register": {"program": {"tokens": 5}}}}}});

        let bad_key = send(&stranger, "GET", "/v1/config", &[], &Value::Null).await;
        let refused = send(&operator, "POST", "/v1/config/patches", &[], &faulty).await;
        let drained = send(&operator, "POST", "/v1/drains/nobody", &[], &Value::Null).await;

        assert_refused(&bad_key, 401, "bad_key", "not_run");
        assert_refused(&refused, 422, "bad_document", "not_run");
        assert!(
            refused.json()["error"]["message"]
                .to_string()
                .contains("raise program.tokens")
        );
        assert_refused(&drained, 400, "bad_request", "not_run");
    });
}

#[test]
fn an_answer_that_is_no_longer_kept_is_told_so() {
    smol::block_on(async {
        let site = Site::start(1, 1, 1).await;
        let caller = site.caller(0);
        let program = open_program(&caller, &Value::Null).await;
        let own = ("limpetferry-program", program.as_str());
        for number in 0..10 {
            let key = format!("t{number}");
            let headers = [own, ("idempotency-key", key.as_str())];
            let got = send(&caller, "POST", TRANSFER, &headers, &json!({})).await;
            assert_eq!(got.status, 200);
        }

        let first = [own, ("idempotency-key", "t0")];
        let again = send(&caller, "POST", TRANSFER, &first, &json!({})).await;

        assert_refused(&again, 410, "answer_expired", "ran");
        assert_eq!(site.services[0].runs().len(), 10);
    });
}

#[test]
fn an_engine_that_breaks_off_gives_no_half_answer() {
    smol::block_on(async {
        let site = Site::start(1, 1, 0).await;
        site.engines[0].set_rules(EngineRules {
            break_at: 3,
            ..EngineRules::default()
        });

        let got = send(&site.caller(0), "POST", CHAT, &[], &question()).await;

        assert_refused(&got, 502, "backend_failed", "ran");
    });
}

#[test]
fn a_patch_without_the_key_value_service_says_to_come_back() {
    smol::block_on(async {
        let site = Site::start(1, 1, 0).await;
        site.store.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        let patch = json!({"id": "p", "base": 1, "change": {"merge": {}}});

        let got = send(&site.operator(0), "POST", "/v1/config/patches", &[], &patch).await;

        assert_refused(&got, 503, "store_down", "unknown");
        assert_eq!(got.json()["error"]["retry_after"], 2);
    });
}

#[test]
fn without_any_keeper_programs_are_told_to_come_back() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 1, 0, 1).await;
        site.process("tool-1").kill();
        let caller = site.caller(0);

        let got = send(&caller, "POST", "/v1/programs", &[], &Value::Null).await;

        assert_refused(&got, 503, "no_keeper", "unknown");
        assert_eq!(got.json()["error"]["retry_after"], 2);
    });
}

#[test]
fn a_call_whose_owner_cannot_be_reached_gets_an_honest_word() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 2, 0, 2).await;
        // Without the key-value service nobody takes the dead owner's shards.
        site.store.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        site.process("entry-1").kill();
        let caller = site.caller(1);
        let path = "/v1/tools/transfers/lookup";
        let short = ("limpetferry-patience-ms", "10");
        let keyed = ("idempotency-key", "k");

        let mut codes = std::collections::BTreeSet::new();
        while codes.len() < 2 {
            let id = rand::random::<u64>();
            let program = format!("p-{id:016x}-0000000000000001");
            let own = ("limpetferry-program", program.as_str());
            let unkeyed = send(&caller, "POST", path, &[own, short], &json!({})).await;
            if unkeyed.code() == "program_unknown" {
                // Its shard is the living entry's.
                continue;
            }
            let keyed = send(&caller, "POST", path, &[own, short, keyed], &json!({})).await;
            assert_refused(&unkeyed, 503, "no_owner", "not_run");
            assert_refused(&keyed, 503, "settling", "unknown");
            codes.extend([unkeyed.code(), keyed.code()]);
        }

        assert!(site.services.iter().all(|tool| tool.runs().is_empty()));
    });
}

#[test]
fn an_operator_settles_a_call_of_unknown_outcome() {
    smol::block_on(async {
        let site = Site::start(1, 0, 1).await;
        let timeout = json!({"deployments": {"register": {"services":
            {"transfers": {"timeout_ms": 100}}}}});
        patch(&site, 1, timeout).await;
        let caller = site.caller(0);
        let program = open_program(&caller, &Value::Null).await;
        let own = ("limpetferry-program", program.as_str());
        site.services[0].set_rules(ServiceRules {
            delay_ms: 0,
            hang: true,
        });
        let keys = [("idempotency-key", "ran"), ("idempotency-key", "not")];
        for key in keys {
            let got = send(&caller, "POST", TRANSFER, &[own, key], &json!({})).await;
            assert_refused(&got, 502, "outcome_unknown", "unknown");
        }
        site.services[0].set_rules(ServiceRules::default());

        let operator = site.operator(0);
        for (key, ran) in [("ran", true), ("not", false)] {
            let word = json!({"program": program, "key": key, "ran": ran});
            let got = send(&operator, "POST", "/v1/settle", &[], &word).await;
            assert_eq!(got.status, 200, "{got:?}");
        }
        let ran = send(&caller, "POST", TRANSFER, &[own, keys[0]], &json!({})).await;
        let not = send(&caller, "POST", TRANSFER, &[own, keys[1]], &json!({})).await;

        assert_refused(&ran, 410, "answer_expired", "ran");
        assert_eq!(not.status, 200, "{not:?}");
        let mut runs: Vec<u64> = site.services[0].runs().into_values().collect();
        runs.sort_unstable();
        assert_eq!(runs, [1, 2], "only what did not run was run again");
    });
}

/// Sends bytes with a caller's key to an entry, and returns what comes back.
async fn send_bytes(site: &Site, head: &str) -> String {
    let stream = smol::net::TcpStream::connect(site.entries[0].callers).await;
    let mut stream = stream.expect("the entry listens");
    let text = head.replace("KEY", CALLER_KEY);
    stream.write_all(text.as_bytes()).await.expect("it reads");
    let mut answer = vec![0; 1_024];
    let size = stream.read(&mut answer).await.expect("it answers");
    String::from_utf8_lossy(&answer[..size]).into_owned()
}

#[test]
fn a_body_that_says_that_it_is_too_long_is_refused_before_it_comes() {
    smol::block_on(async {
        let site = Site::start(1, 1, 1).await;
        let head = "POST /v1/programs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer KEY\r\n\
                    content-length: 1073741824\r\n\r\n";

        let answer = send_bytes(&site, head).await;

        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    });
}

#[test]
fn a_malformed_chunk_is_a_bad_request() {
    smol::block_on(async {
        let site = Site::start(1, 1, 1).await;
        let head = "POST /v1/programs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer KEY\r\n\
                    transfer-encoding: chunked\r\n\r\nno number\r\nabc\r\n";

        let answer = send_bytes(&site, head).await;

        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    });
}
