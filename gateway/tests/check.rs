//! The program checks its settings before it does anything.

use limpetferry_testutils::check::check;
use limpetferry_testutils::check::example;
use serde_json::Value;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_limpetferry-gateway");

fn settings() -> Value {
    example("platform/gateway.json")
}

#[test]
fn the_example_has_no_faults() {
    let output = check(PROGRAM, &settings());

    assert!(output.status.success(), "{output:?}");
}

#[test]
fn every_fault_is_listed_with_its_remedy() {
    let mut settings = settings();
    settings["common"]["key"] = json!("short");
    settings["common"]["node"] = json!("two words");
    settings["common"]["stop_ms"] = json!(0);

    let output = check(PROGRAM, &settings);

    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    for fault in [
        "common.key: give at least 16",
        "common.node: give 1 to 64",
        "common.stop_ms: give a number above zero",
    ] {
        assert!(text.contains(fault), "no {fault:?} in {text}");
    }
}

#[test]
fn unknown_fields_are_refused() {
    let mut settings = settings();
    settings["colour"] = json!("blue");

    let output = check(PROGRAM, &settings);

    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("colour"));
}
