//! The program checks its settings before it does anything.

use limpetferry_testutils::check::assert_faultless;
use limpetferry_testutils::check::assert_faults;
use limpetferry_testutils::check::example;
use serde_json::Value;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_limpetferry-keeper");

fn settings() -> Value {
    let mut settings = example("platform/keeper.json");
    settings["data"]["folder"] = json!(std::env::temp_dir());
    settings
}

#[test]
fn the_example_has_no_faults() {
    assert_faultless(PROGRAM, &settings());
}

#[test]
fn every_fault_is_listed_with_its_remedy() {
    let mut settings = settings();
    settings["common"]["key"] = json!("short");
    settings["common"]["node"] = json!("two words");
    settings["common"]["stop_ms"] = json!(0);

    let faults = [
        "common.key: give at least 16",
        "common.node: give 1 to 64",
        "common.stop_ms: give a number above zero",
    ];
    assert_faults(PROGRAM, &settings, &faults);
}

#[test]
fn unknown_fields_are_refused() {
    let mut settings = settings();
    settings["colour"] = json!("blue");

    assert_faults(PROGRAM, &settings, &["colour"]);
}
