//! Programs that check their settings before they do anything.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use serde_json::Value;

/// Reads an example below the workspace's `examples`.
///
/// # Panics
///
/// Panics if there is none, or it is no JSON.
pub fn example(name: &str) -> Value {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let text = std::fs::read_to_string(root.join(name)).expect("the example is there");
    serde_json::from_str(&text).expect("the example is JSON")
}

/// Lets `program` check `settings` only.
///
/// # Panics
///
/// Panics if the program cannot be started.
pub fn check(program: &str, settings: &Value) -> Output {
    let file = std::env::temp_dir().join(format!(
        "limpetferry-{}-{:x}.json",
        std::process::id(),
        rand::random::<u64>()
    ));
    std::fs::write(&file, settings.to_string()).expect("the folder can be written");
    let output = Command::new(program)
        .arg("--check")
        .arg("--settings")
        .arg(&file)
        .output();
    // What the system keeps of a temporary file does no harm.
    let _ = std::fs::remove_file(&file);
    output.expect("the program starts")
}
