//! The process validates its settings with `--check`.

use limpetferry_testutils::check::assert_common_faults;
use limpetferry_testutils::check::assert_failed_starts_say_why;
use limpetferry_testutils::check::assert_faultless;
use limpetferry_testutils::check::assert_unknown_refused;
use limpetferry_testutils::check::example;
use serde_json::Value;

const BINARY: &str = env!("CARGO_BIN_EXE_limpetferry-gateway");

fn settings() -> Value {
    example("platform/gateway.json")
}

#[test]
fn the_example_has_no_faults() {
    assert_faultless(BINARY, &settings());
}

#[test]
fn every_fault_is_listed_with_its_remedy() {
    assert_common_faults(BINARY, settings());
}

#[test]
fn unknown_fields_are_rejected() {
    assert_unknown_refused(BINARY, settings());
}

/// Guards against starts that end with a backtrace or with nothing that names a cause.
#[test]
fn failed_starts_say_why_in_one_line() {
    assert_failed_starts_say_why(BINARY, &settings());
}
