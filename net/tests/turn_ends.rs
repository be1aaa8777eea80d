//! Turns whose callers leave before they run end all the same.

use std::time::Duration;

use limpetferry_testutils::platform_server::Behaviour;
use limpetferry_testutils::platform_site::Answer;
use limpetferry_testutils::platform_site::HOST;
use limpetferry_testutils::platform_site::PlatformSite;

/// Tokens that a program may output: two turns at their most.
const BUDGET: &str = "100";
/// Delay of links to keepers, less than they bear, in which a caller can leave.
const KEEPER_DELAY: Duration = Duration::from_millis(30);
/// Turns of a program that are sent at most until one is served.
const TRIES: usize = 200;

fn headers<'a>(id: &'a str, program: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("x-attempt-id", id),
        ("x-program-id", program),
        ("x-session-id", "line"),
        ("x-token-budget", BUDGET),
        ("x-token-usage", "10,50"),
        ("x-deadline-ms", "3000"),
    ]
}

/// Returns a turn as bytes on a connection.
fn raw_turn(site: &PlatformSite, program: &str) -> String {
    let id = site.attempt();
    let headers = headers(&id, program).into_iter();
    let lines = headers.map(|(name, value)| format!("{name}: {value}\r\n"));
    let lines: String = lines.collect();
    format!("POST /stream/kept/a HTTP/1.1\r\nhost: {HOST}\r\n{lines}content-length: 3\r\n\r\nin;")
}

/// Sends turns of a program until one is not refused for its budget.
async fn answer_within_budget(site: &PlatformSite, program: &str) -> Answer {
    let mut last = None;
    for _ in 0..TRIES {
        let id = site.attempt();
        let headers = headers(&id, program);
        let answer = site
            .send_raw(0, "POST", "/stream/kept/a", &headers, "in;")
            .await;
        let answer = answer.expect("an answer");
        if answer.status == 200 {
            return answer;
        }
        last = Some(answer);
    }
    last.expect("an answer")
}

fn runs(site: &PlatformSite) -> usize {
    site.engines.iter().map(|engine| engine.runs().len()).sum()
}

// Guards against programs that are told that their budget is spent by turns that
// brought their callers nothing.
#[test]
fn turns_given_up_before_their_first_event_leave_the_budget() {
    smol::block_on(async {
        let site = PlatformSite::start(1, 3, 1).await;
        site.engines
            .iter()
            .for_each(|engine| engine.behave([Behaviour::Hang; 2]));

        for count in 1..=2 {
            let connection = site.open(0, &raw_turn(&site, "program")).await;
            site.wait_until(|site| runs(site) >= count).await;
            drop(connection);
        }
        site.engines
            .iter()
            .for_each(|engine| engine.behave_normally());
        let answer = answer_within_budget(&site, "program").await;

        assert_eq!(answer.status, 200, "{answer:?}");
    });
}

// Guards against turns that stay open at keepers as their callers left while they were
// opened.
#[test]
fn turns_given_up_while_they_are_opened_leave_the_budget() {
    smol::block_on(async {
        let site = PlatformSite::start_wired(1, 3, 1).await;
        for keeper in &site.wires.keepers {
            keeper.set_delay(KEEPER_DELAY);
        }

        for number in 0..4 {
            let program = format!("program-{number}");
            for _ in 0..2 {
                drop(site.open(0, &raw_turn(&site, &program)).await);
            }
        }
        for number in 0..4 {
            let program = format!("program-{number}");
            let answer = answer_within_budget(&site, &program).await;

            assert_eq!(answer.status, 200, "{answer:?}");
        }
    });
}
