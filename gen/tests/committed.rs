//! The committed files match the output that is generated from the tables.

use std::path::Path;
use std::process::Command;

#[test]
fn committed_files_are_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");

    let checked = Command::new(env!("CARGO_BIN_EXE_limpetferry-gen"))
        .arg("--check")
        .arg("--root")
        .arg(&root)
        .status();

    assert!(checked.expect("the generator starts").success());
}
