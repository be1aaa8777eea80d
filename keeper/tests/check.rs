//! The program checks its settings before it does anything.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use serde_json::Value;
use serde_json::json;

fn example() -> Value {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/platform/keeper.json");
    let text = std::fs::read_to_string(root).expect("the example is there");
    let mut settings: Value = serde_json::from_str(&text).expect("the example is JSON");
    settings["data"]["folder"] = json!(std::env::temp_dir());
    settings
}

fn check(name: &str, settings: &Value) -> Output {
    let file = std::env::temp_dir().join(format!(
        "limpetferry-keeper-{}-{name}.json",
        std::process::id()
    ));
    std::fs::write(&file, settings.to_string()).expect("the folder can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_limpetferry-keeper"))
        .arg("--check")
        .arg("--settings")
        .arg(&file)
        .output();
    let _ = std::fs::remove_file(&file);
    output.expect("the program starts")
}

#[test]
fn the_example_has_no_faults() {
    let output = check("good", &example());

    assert!(output.status.success(), "{output:?}");
}

#[test]
fn every_fault_is_listed_with_its_remedy() {
    let mut settings = example();
    settings["common"]["key"] = json!("short");
    settings["common"]["node"] = json!("two words");
    settings["common"]["stop_ms"] = json!(0);

    let output = check("faulty", &settings);

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
    let mut settings = example();
    settings["colour"] = json!("blue");

    let output = check("unknown", &settings);

    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("colour"));
}
