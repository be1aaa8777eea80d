//! Failures over real sockets and real processes: kills, freezes, stops,
//! outages, lost replies and races of operators.

use limpetferry_testutils::client::Got;
use limpetferry_testutils::engine::EngineRules;
use limpetferry_testutils::service::ServiceRules;
use limpetferry_testutils::site::Mode;
use limpetferry_testutils::site::Site;
use limpetferry_testutils::site::eventually;
use limpetferry_testutils::store::StoreFaults;
use serde_json::Value;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";
/// Streams under a planned stop.
const STREAMS: u64 = 1_000;
const TRANSFER: &str = "/v1/tools/transfers/move";

/// Sends a call through any of `entries`, again and again under its key, until
/// it has an outcome that is final.
async fn persist(site: &Site, entries: &[usize], program: &str, key: &str, path: &str) -> Got {
    let headers = [
        ("limpetferry-program", program),
        ("idempotency-key", key),
        ("limpetferry-history", "append"),
    ];
    let body = match path {
        TRANSFER => json!({"key": key}),
        _ => json!({"model": "cask-7b", "messages": [{"role": "user", "content": key}]}),
    };
    for round in 0..2_000 {
        let caller = site.caller(entries[round % entries.len()]);
        if let Ok(got) = caller.send("POST", path, &headers, &body).await {
            let again = [
                "settling",
                "no_owner",
                "no_keeper",
                "no_server",
                "overloaded",
                "stopping",
            ];
            if !again.contains(&got.code().as_str()) {
                return got;
            }
        }
        smol::Timer::after(std::time::Duration::from_millis(20)).await;
    }
    panic!("{key} never ended");
}

/// Returns the names of a program's owner and keeper.
fn holders(site: &Site, program: &str) -> (String, String) {
    let block = site.store.get("limpetferry/shards/00000");
    let block: Value = serde_json::from_str(&block.expect("shards are assigned")).expect("a block");
    let root = u64::from_str_radix(&program[2..18], 16).expect("a root");
    let shard = &block["shards"][(root % u64::from(site.rules.shards)) as usize];
    let name = |role: &str| shard[role].as_str().expect("there is one").to_owned();
    (name("owner"), name("keeper"))
}

fn most_runs(site: &Site) -> u64 {
    let runs = site
        .services
        .iter()
        .flat_map(|service| service.runs().into_values());
    runs.max().unwrap_or(0)
}

fn slow_engine(site: &Site) {
    for engine in &site.engines {
        engine.set_rules(EngineRules {
            tokens: 40,
            token_us: 20_000,
            ..EngineRules::default()
        });
    }
}

#[test]
fn a_killed_entry_loses_and_doubles_nothing() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 3, 1, 2).await;
        let mut victim = site.processes.remove("entry-1").expect("it runs");
        for service in &site.services {
            service.set_rules(ServiceRules {
                delay_ms: 30,
                hang: false,
            });
        }
        let mut programs = Vec::new();
        for index in 0..12 {
            programs.push(site.open_program(index % 3).await);
        }

        let calls = programs.iter().enumerate().map(|(index, program)| {
            let site = &site;
            async move {
                let mut ends = Vec::new();
                for number in 0..4 {
                    let key = format!("{index}-{number}");
                    ends.push(persist(site, &[1, 2], program, &key, TRANSFER).await);
                }
                ends
            }
        });
        let work = futures_util::future::join_all(calls);
        let killing = async {
            smol::Timer::after(std::time::Duration::from_millis(60)).await;
            victim.kill()
        };
        let (ends, _) = futures_lite::future::zip(work, killing).await;

        let ends: Vec<Got> = ends.into_iter().flatten().collect();
        assert_eq!(ends.len(), 48);
        assert!(ends.iter().all(|got| got.status == 200), "{ends:?}");
        assert_eq!(most_runs(&site), 1);
        let ran: usize = site
            .services
            .iter()
            .map(|service| service.runs().len())
            .sum();
        assert_eq!(ran, 48);
    });
}

#[test]
fn a_killed_side_process_leaves_an_honest_outcome() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 2, 1, 1).await;
        let program = site.open_program(0).await;
        site.services[0].set_rules(ServiceRules {
            delay_ms: 0,
            hang: true,
        });

        let mut victim = site.processes.remove("tool-1").expect("it runs");
        let call = persist(&site, &[0, 1], &program, "t1", TRANSFER);
        let killing = async {
            eventually("the call runs", async || most_runs(&site) == 1).await;
            victim.kill();
        };
        let (got, ()) = futures_lite::future::zip(call, killing).await;
        site.start_side("tool-1");
        let again = persist(&site, &[1], &program, "t1", TRANSFER).await;

        assert_eq!(got.code(), "outcome_unknown");
        assert_eq!(again.code(), "outcome_unknown");
        assert_eq!(most_runs(&site), 1);
    });
}

#[test]
fn a_frozen_entry_is_replaced_and_does_no_harm_when_it_wakes() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 2, 1, 1).await;
        let mut programs = Vec::new();
        for _ in 0..8 {
            programs.push(site.open_program(1).await);
        }

        site.process("entry-1").freeze();
        let mut ends = Vec::new();
        for program in &programs {
            ends.push(persist(&site, &[1], program, "t1", TRANSFER).await);
        }
        site.process("entry-1").thaw();
        for program in &programs {
            ends.push(persist(&site, &[0, 1], program, "t1", TRANSFER).await);
            ends.push(persist(&site, &[0, 1], program, "t2", TRANSFER).await);
        }

        assert!(ends.iter().all(|got| got.status == 200), "{ends:?}");
        assert_eq!(most_runs(&site), 1);
    });
}

#[test]
fn a_history_outlives_its_owner_and_its_keeper_in_turn() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 2, 2, 2).await;
        let program = site.open_program(0).await;

        let first = persist(&site, &[0, 1], &program, "m1", CHAT).await;
        site.process("entry-1").kill();
        let second = persist(&site, &[1], &program, "m2", CHAT).await;
        let (_, keeper) = holders(&site, &program);
        site.process(&keeper).kill();
        let third = persist(&site, &[1], &program, "m3", CHAT).await;
        let read = site
            .caller(1)
            .send("GET", &format!("/v1/programs/{program}"), &[], &Value::Null)
            .await
            .expect("an answer");

        assert_eq!([first.status, second.status, third.status], [200; 3]);
        let messages = read.json()["messages"]
            .as_array()
            .expect("messages")
            .clone();
        let asked: Vec<&str> = messages
            .iter()
            .filter(|message| message["role"] == "user")
            .filter_map(|message| message["content"].as_str())
            .collect();
        assert_eq!(asked, ["m1", "m2", "m3"]);
    });
}

#[test]
fn a_history_outlives_its_owner_and_its_keeper_killed_together() {
    smol::block_on(async {
        let mut site = Site::start_stored(2, 1, 1).await;
        let program = site.open_program(0).await;
        let first = persist(&site, &[0, 1], &program, "m1", CHAT).await;
        let moved = persist(&site, &[0, 1], &program, "t1", TRANSFER).await;
        assert_eq!([first.status, moved.status], [200, 200]);

        let (owner, keeper) = holders(&site, &program);
        let survivor = usize::from(owner == "entry-1");

        site.process(&owner).kill();
        site.process(&keeper).kill();
        site.start_side(&keeper);
        let again = persist(&site, &[survivor], &program, "t1", TRANSFER).await;
        let next = persist(&site, &[survivor], &program, "m2", CHAT).await;
        let path = format!("/v1/programs/{program}");
        let caller = site.caller(survivor);
        let read = caller.send("GET", &path, &[], &Value::Null).await;

        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(again.body, moved.body);
        assert_eq!(next.status, 200, "{next:?}");
        assert_eq!(most_runs(&site), 1);
        let history = read.expect("an answer").json()["messages"].clone();
        assert_eq!(history.as_array().map(Vec::len), Some(4), "{history}");
    });
}

#[test]
fn a_planned_stop_cuts_off_no_stream() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 2, 2, 0).await;
        let mut leaver = site.processes.remove("entry-1").expect("it runs");
        slow_engine(&site);
        let mut programs = Vec::new();
        for index in 0..20 {
            programs.push(site.open_program(index % 2).await);
        }
        let body = json!({"model": "cask-7b", "stream": true, "max_tokens": 40,
                          "messages": [{"role": "user", "content": "hello"}]});

        let streams = programs.iter().map(|program| {
            let (caller, body) = (site.caller(0), &body);
            async move {
                let headers = [("limpetferry-program", program.as_str())];
                caller.send("POST", CHAT, &headers, body).await
            }
        });
        let stopping = async {
            eventually("all streams run", async || {
                site.engines
                    .iter()
                    .map(|engine| engine.running())
                    .sum::<u64>()
                    == 20
            })
            .await;
            leaver.stop().await
        };
        let streams = futures_util::future::join_all(streams);
        let (ends, stopped_well) = futures_lite::future::zip(streams, stopping).await;

        assert!(stopped_well, "exit 0");
        for end in ends {
            let got = end.expect("no connection was cut");
            let text = String::from_utf8_lossy(&got.body).into_owned();
            assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        }
        let served: u64 = site.engines.iter().map(|engine| engine.served()).sum();
        assert_eq!(served, 20, "nothing ran twice");
    });
}

#[test]
fn a_planned_stop_under_a_thousand_streams_cuts_off_none() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 2, 2, 0).await;
        let slots =
            json!({"servers": {"engine-1": {"slots": 2_000}, "engine-2": {"slots": 2_000}}});
        let patch = json!({"id": "slots", "base": 1, "change": {"merge": slots}});
        let applied = site
            .operator(1)
            .send("POST", "/v1/config/patches", &[], &patch)
            .await;
        assert_eq!(applied.expect("an answer").status, 200);
        site.in_force_everywhere(2).await;
        let held = EngineRules {
            hold: true,
            ..EngineRules::default()
        };
        for engine in &site.engines {
            engine.set_rules(held.clone());
        }
        let mut leaver = site.processes.remove("entry-1").expect("it runs");
        let body = json!({"model": "cask-7b", "stream": true,
                          "messages": [{"role": "user", "content": "hello"}]});
        let running = || -> u64 { site.engines.iter().map(|engine| engine.running()).sum() };

        let streams = (0..STREAMS).map(|_| {
            let (caller, body) = (site.caller(0), &body);
            async move { caller.send("POST", CHAT, &[], body).await }
        });
        let stopping = async {
            eventually("all streams run", async || running() == STREAMS).await;
            leaver.ask_stop().await;
            for engine in &site.engines {
                engine.set_rules(EngineRules::default());
            }
            leaver.ended().await
        };
        let streams = futures_util::future::join_all(streams);
        let (ends, stopped_well) = futures_lite::future::zip(streams, stopping).await;

        assert!(stopped_well, "exit 0");
        let whole = ends.iter().filter(|end| {
            let body = end.as_ref().map(|got| got.body.as_ref());
            body.is_ok_and(|body| body.ends_with(b"data: [DONE]\n\n"))
        });
        assert_eq!(whole.count() as u64, STREAMS);
        let served: u64 = site.engines.iter().map(|engine| engine.served()).sum();
        assert_eq!(served, STREAMS, "nothing ran twice");
    });
}

#[test]
fn an_abandoned_program_is_ended_and_its_cache_released() {
    smol::block_on(async {
        let site = Site::start(1, 1, 0).await;
        let idle = json!({"deployments": {"register": {"program": {"idle_s": 1}}}});
        let patch = json!({"id": "idle", "base": 1, "change": {"merge": idle}});
        let applied = site
            .operator(0)
            .send("POST", "/v1/config/patches", &[], &patch)
            .await;
        assert_eq!(applied.expect("an answer").status, 200);
        let program = site.open_program(0).await;
        let got = persist(&site, &[0], &program, "m1", CHAT).await;
        assert_eq!(got.status, 200);
        assert!(site.engines[0].cached().contains(&program));

        eventually("the cache is released", async || {
            !site.engines[0].cached().contains(&program)
        })
        .await;
        let late = persist(&site, &[0], &program, "m2", CHAT).await;

        assert_eq!(late.code(), "program_ended");
    });
}

#[test]
fn a_leaving_server_gets_no_new_work_and_ends_what_it_has() {
    smol::block_on(async {
        let mut site = Site::start_as(Mode::Processes, 1, 2, 0).await;
        let mut leaver = site.processes.remove("engine-1").expect("it runs");
        slow_engine(&site);
        let body = json!({"model": "cask-7b", "messages": [{"role": "user", "content": "hello"}]});
        let call = || {
            let (caller, body) = (site.caller(0), body.clone());
            async move { caller.send("POST", CHAT, &[], &body).await }
        };
        let before = futures_util::future::join_all((0..10).map(|_| call()));

        let leaving = async {
            eventually("calls run at both", async || {
                site.engines.iter().all(|engine| engine.running() > 0)
                    && site
                        .engines
                        .iter()
                        .map(|engine| engine.running())
                        .sum::<u64>()
                        == 10
            })
            .await;
            leaver.ask_stop().await;
            let served = site.engines[0].served();
            let after = futures_util::future::join_all((0..10).map(|_| call())).await;
            (served, after, leaver.ended().await)
        };
        let (before, (served, after, stopped_well)) =
            futures_lite::future::zip(before, leaving).await;

        assert!(
            before
                .into_iter()
                .chain(after)
                .all(|end| end.is_ok_and(|got| got.status == 200))
        );
        assert!(stopped_well, "exit 0");
        assert!(
            site.engines[0].served() <= served + 10,
            "only what raced the notice"
        );
        let last = call().await.expect("an answer");
        assert_eq!(last.status, 200);
    });
}

#[test]
fn calls_go_on_while_the_store_is_out() {
    smol::block_on(async {
        let site = Site::start(2, 1, 1).await;
        let program = site.open_program(0).await;

        site.store.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        let transfer = persist(&site, &[0, 1], &program, "t1", TRANSFER).await;
        let chat = persist(&site, &[1], &program, "m1", CHAT).await;
        let opened = site.open_program(1).await;

        assert_eq!([transfer.status, chat.status], [200, 200]);
        assert!(opened.starts_with("p-"));
        site.store.set_faults(StoreFaults::default());
    });
}

#[test]
fn of_two_racing_patches_one_wins_and_the_other_is_told() {
    smol::block_on(async {
        let site = Site::start(2, 1, 0).await;
        let patch = |id: &str, tokens: u64| {
            json!({"id": id, "base": 1, "change": {"merge":
                {"deployments": {"register": {"program": {"tokens": tokens}}}}}})
        };
        let (first, second) = (patch("a", 100_000), patch("b", 120_000));
        let (left, right) = (site.operator(0), site.operator(1));

        let one = left.send("POST", "/v1/config/patches", &[], &first);
        let two = right.send("POST", "/v1/config/patches", &[], &second);
        let (one, two) = futures_lite::future::zip(one, two).await;
        let again = left.send("POST", "/v1/config/patches", &[], &first).await;

        let (one, two) = (one.expect("an answer"), two.expect("an answer"));
        let mut statuses = [one.status, two.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409]);
        let loser = if one.status == 409 { &one } else { &two };
        assert_eq!(loser.code(), "version_conflict");
        assert_eq!(
            again.expect("an answer").status,
            one.status,
            "the same id, the same result"
        );
        let history = left
            .send("GET", "/v1/config/history", &[], &Value::Null)
            .await;
        let history = history.expect("an answer").json();
        assert_eq!(history["lines"].as_array().map(Vec::len), Some(2));
    });
}

#[test]
fn a_patch_whose_reply_is_lost_applies_once() {
    smol::block_on(async {
        let site = Site::start(1, 1, 0).await;
        site.store.set_faults(StoreFaults {
            lose_replies: 1,
            ..StoreFaults::default()
        });
        let patch = json!({"id": "a", "base": 1, "change": {"merge":
            {"deployments": {"register": {"program": {"calls": 50}}}}}});

        let got = site
            .operator(0)
            .send("POST", "/v1/config/patches", &[], &patch)
            .await;

        let got = got.expect("an answer");
        assert_eq!(got.json(), json!({"version": 2}));
        let operator = site.operator(0);
        eventually("the patch is in force", async || {
            let status = operator.send("GET", "/v1/status", &[], &Value::Null).await;
            status.is_ok_and(|got| got.json()["version"] == 2)
        })
        .await;
        let history = operator
            .send("GET", "/v1/config/history", &[], &Value::Null)
            .await;
        assert_eq!(
            history.expect("an answer").json()["lines"]
                .as_array()
                .map(Vec::len),
            Some(2)
        );
    });
}

#[test]
fn an_ended_program_releases_its_stream_and_its_cache() {
    smol::block_on(async {
        let site = Site::start(2, 1, 0).await;
        slow_engine(&site);
        let program = site.open_program(0).await;
        let headers = [
            ("limpetferry-program", program.as_str()),
            ("idempotency-key", "m1"),
        ];
        let body = json!({"model": "cask-7b", "messages": [{"role": "user", "content": "hello"}]});
        let (caller, other) = (site.caller(0), site.caller(1));

        let call = caller.send("POST", CHAT, &headers, &body);
        let ending = async {
            eventually("the call runs", async || site.engines[0].running() == 1).await;
            let path = format!("/v1/programs/{program}");
            other.send("DELETE", &path, &[], &Value::Null).await
        };
        let (got, ended) = futures_lite::future::zip(call, ending).await;

        assert_eq!(ended.expect("an answer").json()["ended"], true);
        assert_eq!(got.expect("an answer").code(), "cancelled");
        eventually("the stream is cancelled", async || {
            site.engines[0].running() == 0
        })
        .await;
        eventually("the cache is released", async || {
            site.engines[0].cached().iter().all(|user| *user != program)
        })
        .await;
    });
}

#[test]
fn a_hung_tool_is_stopped_by_its_timeout() {
    smol::block_on(async {
        let site = Site::start(1, 0, 1).await;
        let patch = json!({"id": "short", "base": 1, "change": {"merge":
            {"deployments": {"register": {"services": {"transfers": {"timeout_ms": 100}}}}}}});
        let applied = site
            .operator(0)
            .send("POST", "/v1/config/patches", &[], &patch)
            .await;
        assert_eq!(applied.expect("an answer").status, 200);
        let program = site.open_program(0).await;
        site.services[0].set_rules(ServiceRules {
            delay_ms: 0,
            hang: true,
        });

        let write = persist(&site, &[0], &program, "t1", TRANSFER).await;
        let read = persist(&site, &[0], &program, "t2", "/v1/tools/transfers/lookup").await;

        assert_eq!(write.code(), "outcome_unknown");
        assert_eq!(read.code(), "timed_out");
    });
}
