//! The committed output is what the tables yield.

use std::path::Path;
use std::process::Command;

#[test]
fn committed_output_agrees_with_its_tables() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");

    let checked = Command::new(env!("CARGO_BIN_EXE_limpetferry-gen"))
        .arg("--check")
        .arg("--root")
        .arg(&root)
        .status();

    assert!(checked.expect("the generator starts").success());
}
