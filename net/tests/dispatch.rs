//! Requests that wait in a gateway while the servers of their service refuse
//! what they have no room for.

use std::iter::repeat_n;
use std::sync::Arc;

use limpetferry_lib::switches::Switches;
use limpetferry_testutils::platform_server::Behaviour;
use limpetferry_testutils::platform_site::Answer;
use limpetferry_testutils::platform_site::PlatformSite;

/// Refusals of each server, more in all than are tried in a row without a queue.
const REFUSALS: usize = 4;
/// Callers at once.
const CALLERS: usize = 12;

async fn site(queue: bool) -> Arc<PlatformSite> {
    let switches = Switches {
        queue,
        ..Switches::default()
    };
    Arc::new(PlatformSite::start_wired_switched(1, 3, 1, switches).await)
}

/// Returns a site with so many plain servers that one of them can be told to be
/// unlike the others.
async fn large_site() -> Arc<PlatformSite> {
    let mut site = site(true).await;
    let changed = Arc::get_mut(&mut site).expect("nobody else has it yet");
    changed.add_plain().await;
    changed.add_plain().await;
    site.wait_for_servers(0, 6).await;
    site
}

/// Has the plain servers refuse their next requests.
fn refuse(site: &PlatformSite, count: usize) {
    for server in &site.plain {
        server.behave(repeat_n(Behaviour::Shed, count));
    }
}

/// Sends a request that may not be repeated.
async fn write(site: &PlatformSite, attempt: &str, patience: &str) -> Answer {
    let headers = [("x-attempt-id", attempt), ("x-deadline-ms", patience)];
    let answer = site
        .send_raw(0, "POST", "/write/7", &headers, "transfer")
        .await;
    answer.expect("an answer")
}

/// Returns how often the plain servers ran an attempt.
fn runs(site: &PlatformSite, attempt: &str) -> usize {
    let servers = site.plain.iter();
    let runs = servers.flat_map(|server| server.runs());
    runs.filter(|run| run.attempt == attempt).count()
}

#[test]
fn a_call_waits_for_servers_that_are_full_for_a_while_and_runs_once() {
    smol::block_on(async {
        let site = site(true).await;
        refuse(&site, REFUSALS);

        let answer = write(&site, "one", "3000").await;

        assert_eq!((answer.status, runs(&site, "one")), (200, 1));
    });
}

#[test]
fn without_a_queue_the_same_call_is_refused_unrun() {
    smol::block_on(async {
        let site = site(false).await;
        refuse(&site, REFUSALS);

        let answer = write(&site, "one", "3000").await;

        assert_eq!((answer.status, runs(&site, "one")), (503, 0));
    });
}

#[test]
fn a_stream_waits_for_engines_that_are_full_for_a_while() {
    smol::block_on(async {
        let site = site(true).await;
        for engine in &site.engines {
            engine.behave(repeat_n(Behaviour::Shed, REFUSALS));
        }

        let answer = site
            .send(0, "POST", "/stream/resumable/a", &[], "one")
            .await;

        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.whole), (200, true));
    });
}

#[test]
fn callers_together_wait_for_servers_that_are_full_for_a_while() {
    smol::block_on(async {
        let site = site(true).await;
        refuse(&site, REFUSALS);
        let attempts: Vec<String> = (0..CALLERS).map(|n| format!("attempt-{n}")).collect();

        let calls = attempts.iter().map(|attempt| write(&site, attempt, "3000"));
        let answers = futures_util::future::join_all(calls).await;

        for (attempt, answer) in attempts.iter().zip(answers) {
            assert_eq!((answer.status, runs(&site, attempt)), (200, 1), "{attempt}");
        }
    });
}

#[test]
fn a_call_that_waits_in_vain_is_refused_unrun_and_told_when_to_come_back() {
    smol::block_on(async {
        let site = site(true).await;
        refuse(&site, 1_000);

        let answer = write(&site, "one", "400").await;

        assert_eq!((answer.status, runs(&site, "one")), (503, 0));
        assert!(answer.headers.contains_key("retry-after"));
        let metrics = site.metrics(0).await;
        assert!(
            metrics.contains("limpetferry_queue_refused_total{rank=\"2\"} 1"),
            "{metrics}"
        );
        site.wait_for_log("gateway-0", "event=refused").await;
    });
}

#[test]
fn calls_that_wait_while_a_server_dies_are_all_answered_and_none_runs_twice() {
    smol::block_on(async {
        let site = large_site().await;
        refuse(&site, 2 * CALLERS);
        let callers = (0..CALLERS).map(|number| {
            let site = site.clone();
            smol::spawn(async move {
                let attempt = format!("attempt-{number}");
                let answer = write(&site, &attempt, "3000").await;
                (attempt, answer)
            })
        });
        let callers: Vec<_> = callers.collect();
        site.wait_for_log("gateway-0", "why=Full").await;

        // Engines and plain servers were added in turn: the second is a plain one.
        let dead = &site.wires.servers[1];
        dead.set_cut(true);
        dead.reset();
        let answers = futures_util::future::join_all(callers).await;

        let served = answers.iter().filter(|(_, answer)| answer.status == 200);
        assert!(served.count() > 0);
        for (attempt, answer) in answers {
            let runs = runs(&site, &attempt);
            match answer.status {
                200 => assert_eq!(runs, 1, "{attempt}"),
                // It was at the server that died.
                504 => assert!(runs <= 1, "{attempt}"),
                other => panic!("{attempt} got {other}"),
            }
        }
    });
}
