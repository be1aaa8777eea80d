//! Tasks and threads that end by themselves, each case in a process of its own.

use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use limpetferry_net::essential;
use limpetferry_net::essential::Essential;
use limpetferry_net::essential::TASK_ENDED;
use limpetferry_net::log;
use limpetferry_net::panics;
use limpetferry_net::panics::POISONED;
use limpetferry_net::settings::LogSettings;
use limpetferry_net::timeout::within;

/// Variable with the case that the process is to run.
const CASE: &str = "LIMPETFERRY_TEST_CASE";
/// Longest life of the process of a case; one that should end earlier and does not
/// exits with zero then.
const LIFE: Duration = Duration::from_secs(20);

/// Runs a case in a process of its own until it ends.
fn run_case(case: &str) -> Output {
    let tests = std::env::current_exe().expect("a test has a path");
    let output = Command::new(tests)
        .args(["--exact", "process_of_a_case", "--ignored", "--nocapture"])
        .env(CASE, case)
        .output();
    output.expect("the test can be started")
}

fn lines_with(output: &Output, text: &str) -> Vec<String> {
    let log = String::from_utf8_lossy(&output.stdout);
    let lines = log.lines().filter(|line| line.contains(text));
    lines.map(str::to_owned).collect()
}

/// Asserts that the process ended because of a task, and said so once.
fn assert_task_ended(output: &Output, task: &str, why: &str) {
    assert_eq!(output.status.code(), Some(TASK_ENDED), "{output:?}");
    let lines = lines_with(output, "event=task_ended");
    assert_eq!(lines.len(), 1, "{lines:?}");
    let pairs = format!("node=keeper-1 event=task_ended task={task} why={why}");
    assert!(lines[0].contains(&pairs), "{lines:?}");
}

/// Panics while it holds a lock, and uses what the lock protects again.
fn poison() {
    let shared = Arc::new(Mutex::new(0));
    let other = shared.clone();
    let thread = std::thread::spawn(move || {
        let _held = other.lock().expect(POISONED);
        panic!("the first one");
    });
    assert!(thread.join().is_err());
    smol::spawn(async move { *shared.lock().expect(POISONED) += 1 }).detach();
}

#[test]
#[ignore = "the other tests run it in a process of its own"]
fn process_of_a_case() {
    log::init(&LogSettings::default()).expect("the log can be written");
    panics::install("keeper-1");
    let essential = Essential::new("keeper-1");
    match std::env::var(CASE).as_deref() {
        Ok("returns") => essential.spawn("store", async {}),
        Ok("panics") => essential.spawn("store", async { panic!("no such revision") }),
        Ok("stops") => {
            essential.stop();
            essential.spawn("store", async {});
            // The one thread of the executor takes tasks in their order.
            smol::block_on(smol::spawn(async {}));
            return;
        }
        Ok("drops") => {
            let (sender, receiver) = async_channel::bounded::<()>(1);
            essential.spawn("store", async move {
                let _ = receiver.recv().await;
            });
            drop(essential);
            drop(sender);
            smol::block_on(smol::spawn(async {}));
            return;
        }
        Ok("thread") => {
            let body = || essential::run_thread("keeper-1", "disk", || panic!("no such record"));
            std::thread::spawn(body);
        }
        Ok("request") => {
            smol::spawn(async { panic!("one request") }).detach();
            while panics::counter().get() == 0 {
                std::thread::yield_now();
            }
            log::flush();
            return;
        }
        Ok("poison") => poison(),
        case => panic!("no case {case:?}"),
    }
    smol::block_on(within(LIFE, std::future::pending::<()>()));
}

// Guards against processes that live and say that they are ready, and follow the store
// no more.
#[test]
fn a_process_ends_when_an_essential_task_panics() {
    let output = run_case("panics");

    assert_task_ended(&output, "store", "\"it panicked");
    assert_eq!(lines_with(&output, "event=panicked").len(), 1);
}

#[test]
fn a_process_ends_when_an_essential_task_returns() {
    let output = run_case("returns");

    assert_task_ended(&output, "store", "\"it returned\"");
}

#[test]
fn a_process_ends_when_an_essential_thread_panics() {
    let output = run_case("thread");

    assert_task_ended(&output, "disk", "\"it panicked");
}

// Guards against processes in which every request panics, as an earlier panic left a
// lock poisoned.
#[test]
fn a_process_ends_when_a_panic_left_shared_state_half_changed() {
    let output = run_case("poison");

    assert_task_ended(
        &output,
        "\"shared state\"",
        "\"a panic left it half changed\"",
    );
    assert_eq!(lines_with(&output, "event=panicked").len(), 2);
}

#[test]
fn essential_tasks_may_end_while_the_process_stops() {
    for case in ["stops", "drops"] {
        let output = run_case(case);

        assert_eq!(output.status.code(), Some(0), "{case}: {output:?}");
        let lines = lines_with(&output, "event=task_ended");
        assert_eq!(lines, Vec::<String>::new(), "{case}");
    }
}

#[test]
fn a_panic_of_one_request_ends_no_process() {
    let output = run_case("request");

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(lines_with(&output, "event=panicked").len(), 1);
}
