//! Validation of operators' documents: the example documents are valid, and for
//! an invalid document all faults are reported, each with its remedy.

use std::fs;
use std::path::Path;

use limpetferry_lib::document::Document;
use serde_json::Value;
use serde_json::json;

fn example(name: &str) -> Value {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let text = fs::read_to_string(root.join(name)).expect("the example file can be read");
    serde_json::from_str(&text).expect("the example is valid JSON")
}

#[test]
fn example_documents_have_no_faults() {
    for name in ["registrars.json", "clydeforth.json"] {
        let document = Document::parse(&example(name));

        assert!(document.is_ok(), "{name}: {document:?}");
    }
}

#[test]
fn every_fault_is_reported_with_its_path() {
    let mut document = example("registrars.json");
    document["deployments"]["register"]["limits"]["running"] = json!(0);
    document["deployments"]["register"]["models"]["cask-7b"]["servers"] = json!(["nobody"]);
    document["deployments"]["register"]["weights"]["waste"] = json!(-1.0);

    let faults = Document::parse(&document).expect_err("the document is invalid");

    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "deployments.register.models.cask-7b.servers",
            "deployments.register.limits.running",
            "deployments.register.weights.waste",
        ]
    );
    assert!(faults[0].remedy.contains("add it there"));
}

#[test]
fn unknown_fields_are_rejected() {
    let mut document = example("clydeforth.json");
    document["deployments"]["drafts"]["limits"]["runing"] = json!(4);

    let faults = Document::parse(&document).expect_err("the document is invalid");

    assert!(faults[0].remedy.contains("runing"), "{faults:?}");
}
