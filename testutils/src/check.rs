//! Tests of the check of settings that each program does at its start.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use serde_json::Value;
use serde_json::json;

/// Reads an example from the workspace's `examples` folder.
///
/// # Panics
///
/// Panics if the example does not exist or is not JSON.
pub fn example(name: &str) -> Value {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let text = std::fs::read_to_string(root.join(name)).expect("the example exists");
    serde_json::from_str(&text).expect("the example is JSON")
}

/// Runs `program` with `--check`, which checks `settings` and exits.
///
/// # Panics
///
/// Panics if the program cannot be started.
pub fn check(program: &str, settings: &Value) -> Output {
    run(Command::new(program).arg("--check"), settings)
}

/// Runs a program with settings that let it end by itself.
fn run(command: &mut Command, settings: &Value) -> Output {
    let file = std::env::temp_dir().join(format!(
        "limpetferry-{}-{:x}.json",
        std::process::id(),
        rand::random::<u64>()
    ));
    std::fs::write(&file, settings.to_string()).expect("the temporary folder can be written");
    let output = command.arg("--settings").arg(&file).output();
    // A temporary file that stays does no harm.
    let _ = std::fs::remove_file(&file);
    output.expect("the program starts")
}

/// Asserts that the start of `program` ends with the exit code `code` and a single
/// line, which has each of `pairs`.
///
/// # Panics
///
/// Panics if it does not or cannot be started.
pub fn assert_start_fails(program: &str, settings: &Value, code: i32, pairs: &[&str]) {
    let output = run(&mut Command::new(program), settings);

    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
    for pair in pairs {
        assert!(text.contains(pair), "no {pair:?} in {text}");
    }
}

/// Asserts that a start of `program` with a faulty setting, and one that cannot write
/// its log, each end with a line that says why.
///
/// # Panics
///
/// Panics if they do not or it cannot be started.
pub fn assert_failed_starts_say_why(program: &str, settings: &Value) {
    let mut faulty = settings.clone();
    faulty["common"]["peers"] = json!("nowhere");
    let mut unlogged = settings.clone();
    unlogged["common"]["log"] = json!({ "file": "/dev/null/limpetferry.log" });
    let fault = [
        "level=ERROR",
        "event=start_failed code=5",
        "setting=common.peers value=nowhere why=",
        "remedy=",
    ];

    assert_start_fails(program, &faulty, 5, &fault);
    let unwritable = ["event=start_failed code=1", "name another log.file"];
    assert_start_fails(program, &unlogged, 1, &unwritable);
}

/// Asserts that `program` accepts `settings`.
///
/// # Panics
///
/// Panics if it rejects them or cannot be started.
pub fn assert_faultless(program: &str, settings: &Value) {
    let output = check(program, settings);

    assert!(output.status.success(), "{output:?}");
}

/// Asserts that `program` rejects `settings` and reports each of `faults`.
///
/// # Panics
///
/// Panics if it does not or cannot be started.
pub fn assert_faults(program: &str, settings: &Value, faults: &[&str]) {
    let output = check(program, settings);

    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    for fault in faults {
        assert!(text.contains(fault), "no {fault:?} in {text}");
    }
}

/// Asserts that `program`, of the users' platform, rejects settings with four
/// faults in the section that all processes share, and reports each with its
/// remedy.
///
/// # Panics
///
/// Panics if it does not or cannot be started.
pub fn assert_common_faults(program: &str, mut settings: Value) {
    settings["common"]["key"] = json!("short");
    settings["common"]["node"] = json!("two words");
    settings["common"]["stop_ms"] = json!(0);
    settings["common"]["watch_ms"] = json!(30_001);

    let faults = [
        "common.key: give at least 16",
        "common.node: give 1 to 64",
        "common.stop_ms: give a number above zero",
        "common.watch_ms: give a number from 1 to 30000",
    ];
    assert_faults(program, &settings, &faults);
}

/// Asserts that `program` rejects settings with an unknown field.
///
/// # Panics
///
/// Panics if it does not or cannot be started.
pub fn assert_unknown_refused(program: &str, mut settings: Value) {
    settings["colour"] = json!("blue");

    assert_faults(program, &settings, &["colour"]);
}
