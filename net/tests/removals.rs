//! Keepers that were out of reach while programs went on, with real processes.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use limpetferry_testutils::platform_site::Answer;
use limpetferry_testutils::platform_site::PlatformSite;

/// Programs of one test. One in twenty has its turns at those keepers that show the fault.
const PROGRAMS: usize = 100;
/// When the second turns are sent, of which the frozen keeper hears nothing.
const SECOND_AT: Duration = Duration::from_secs(40);
/// When the last turns are sent: what was idle from the first turns on is older than the
/// 75 s for which keepers store it, and the second turns are younger than the 60 s of the
/// route.
const LAST_AT: Duration = Duration::from_secs(92);
/// Time between turns of different programs.
const SEND_EVERY: Duration = Duration::from_millis(10);
/// How long before turns are sent a keeper freezes: its link is given up by then, so that
/// it does not read them when it wakes.
const FREEZE_BEFORE: Duration = Duration::from_millis(1_500);
/// How long a keeper stays frozen after they were sent.
const FREEZE_AFTER: Duration = Duration::from_secs(1);

/// One program, and its last turn that was answered whole.
struct Program {
    id: String,
    last: Option<String>,
}

fn programs() -> Vec<Program> {
    let ids = (0..PROGRAMS).map(|number| format!("program-{number}"));
    ids.map(|id| Program { id, last: None }).collect()
}

/// Sends a turn as a caller does: again while the answer tells to come back.
async fn send_turn(
    site: &PlatformSite,
    gateway: usize,
    program: &mut Program,
    budget: &str,
    continues: bool,
) -> Answer {
    loop {
        let id = site.attempt();
        let mut headers = vec![
            ("x-attempt-id", id.as_str()),
            ("x-program-id", program.id.as_str()),
            ("x-session-id", "line"),
            ("x-token-budget", budget),
            ("x-token-usage", "10,50"),
            ("x-deadline-ms", "3000"),
        ];
        let previous = program.last.clone().filter(|_| continues);
        if let Some(previous) = &previous {
            headers.push(("x-previous-turn", previous));
        }
        let sent = site
            .send_raw(gateway, "POST", "/stream/kept/a", &headers, "in;")
            .await;
        let answer = sent.expect("an answer");
        if answer.status == 503 {
            answer.wait_to_return().await;
            continue;
        }
        if answer.status == 200 && answer.whole {
            program.last = Some(id);
        }
        return answer;
    }
}

async fn send_all(
    site: &PlatformSite,
    gateway: usize,
    programs: &mut [Program],
    budget: &str,
    continues: bool,
) -> Vec<u16> {
    let programs = programs.iter_mut().enumerate();
    let each = programs.map(|(number, program)| async move {
        smol::Timer::after(SEND_EVERY * number as u32).await;
        let answer = send_turn(site, gateway, program, budget, continues).await;
        answer.status
    });
    join_all(each).await
}

async fn wait_until(start: Instant, at: Duration) {
    smol::Timer::at(start + at).await;
}

fn count(statuses: &[u16], wanted: u16) -> usize {
    statuses.iter().filter(|&&status| status == wanted).count()
}

// Guards against turns that are denied as a keeper, which was frozen over the next turn
// of the program, removed those before it.
#[test]
fn a_keeper_that_missed_a_turn_keeps_those_before_it() {
    smol::block_on(async {
        let mut site = PlatformSite::start(2, 3, 1).await;
        let mut programs = programs();
        let start = Instant::now();
        let first = send_all(&site, 0, &mut programs, "10000", true).await;

        wait_until(start, SECOND_AT - FREEZE_BEFORE).await;
        site.process("keeper-0").freeze();
        wait_until(start, SECOND_AT).await;
        let second = send_all(&site, 0, &mut programs, "10000", true).await;
        smol::Timer::after(FREEZE_AFTER).await;
        site.process("keeper-0").thaw();
        wait_until(start, LAST_AT).await;
        let last = send_all(&site, 1, &mut programs, "10000", true).await;

        assert_eq!(count(&first, 200), PROGRAMS);
        assert_eq!(count(&second, 200), PROGRAMS);
        assert_eq!(count(&last, 404), 0, "{last:?}");
        assert_eq!(count(&last, 200), PROGRAMS, "{last:?}");
    });
}

// Guards against budgets of which the tokens of earlier turns are forgotten as two
// keepers were frozen, one after the other.
#[test]
fn budgets_outlive_keepers_that_freeze_one_after_the_other() {
    smol::block_on(async {
        let mut site = PlatformSite::start(2, 3, 1).await;
        let mut programs = programs();
        let start = Instant::now();
        // Holds three turns, and no fourth one.
        let budget = "160";
        for _ in 0..2 {
            send_all(&site, 0, &mut programs, budget, false).await;
        }

        wait_until(start, SECOND_AT - FREEZE_BEFORE).await;
        site.process("keeper-0").freeze();
        wait_until(start, SECOND_AT).await;
        let third = send_all(&site, 0, &mut programs, budget, false).await;
        smol::Timer::after(FREEZE_AFTER).await;
        site.process("keeper-0").thaw();
        wait_until(start, LAST_AT - FREEZE_BEFORE).await;
        site.process("keeper-1").freeze();
        wait_until(start, LAST_AT).await;
        let fourth = send_all(&site, 1, &mut programs, budget, false).await;
        site.process("keeper-1").thaw();

        assert_eq!(count(&third, 200), PROGRAMS, "{third:?}");
        assert_eq!(count(&fourth, 402), PROGRAMS, "{fourth:?}");
    });
}
