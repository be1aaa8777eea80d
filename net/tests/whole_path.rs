//! The whole path over real sockets: caller, entry, side process, server.

use limpetferry_testutils::site::Site;
use serde_json::Value;
use serde_json::json;

fn question(text: &str) -> Value {
    json!({"model": "cask-7b", "messages": [{"role": "user", "content": text}]})
}

#[test]
fn a_program_runs_through_any_entry_in_order() {
    smol::block_on(async {
        let site = Site::start(2, 1, 1).await;
        let program = site.open_program(0).await;
        let headers = [
            ("limpetferry-program", program.as_str()),
            ("limpetferry-history", "append"),
        ];

        let first = site
            .caller(0)
            .send(
                "POST",
                "/v1/chat/completions",
                &headers,
                &question("cask 12?"),
            )
            .await;
        let second = site
            .caller(1)
            .send(
                "POST",
                "/v1/tools/transfers/move",
                &headers,
                &json!({"cask": 12}),
            )
            .await;
        let third = site
            .caller(1)
            .send(
                "POST",
                "/v1/chat/completions",
                &headers,
                &question("and 13?"),
            )
            .await;

        assert_eq!(first.expect("an answer").status, 200);
        assert_eq!(second.expect("an answer").status, 200);
        assert_eq!(third.expect("an answer").status, 200);
        let prompts = site.engines[0].prompts();
        let texts: Vec<&str> = prompts[1]
            .as_array()
            .expect("messages")
            .iter()
            .filter_map(|message| message["content"].as_str())
            .collect();
        assert_eq!(texts[0], "cask 12?");
        assert!(texts[1].starts_with("re: cask 12?"));
        assert_eq!(texts[2], "and 13?");
    });
}

#[test]
fn the_same_key_gets_the_same_answer_and_runs_once() {
    smol::block_on(async {
        let site = Site::start(2, 1, 1).await;
        let program = site.open_program(0).await;
        let headers = [
            ("limpetferry-program", program.as_str()),
            ("idempotency-key", "t1"),
        ];
        let body = json!({"cask": 12});

        let first = site
            .caller(0)
            .send("POST", "/v1/tools/transfers/move", &headers, &body)
            .await;
        let again = site
            .caller(1)
            .send("POST", "/v1/tools/transfers/move", &headers, &body)
            .await;
        let other = site
            .caller(1)
            .send(
                "POST",
                "/v1/tools/transfers/move",
                &headers,
                &json!({"cask": 13}),
            )
            .await;

        assert_eq!(first, again);
        assert_eq!(other.expect("an answer").code(), "id_reused");
        let runs: Vec<u64> = site.services[0].runs().into_values().collect();
        assert_eq!(runs, [1]);
    });
}
