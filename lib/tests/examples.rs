//! The example documents pass the check that operators' documents pass, and
//! faulty ones are refused with every fault and its remedy.

use std::fs;
use std::path::Path;

use limpetferry_lib::document::Document;
use serde_json::Value;
use serde_json::json;

fn example(name: &str) -> Value {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let text = fs::read_to_string(root.join(name)).expect("the example is there");
    serde_json::from_str(&text).expect("the example is JSON")
}

#[test]
fn example_documents_have_no_faults() {
    for name in ["registrars.json", "clydeforth.json"] {
        let document = Document::parse(&example(name));

        assert!(document.is_ok(), "{name}: {document:?}");
    }
}

#[test]
fn every_fault_is_listed_with_its_path() {
    let mut document = example("registrars.json");
    document["deployments"]["register"]["limits"]["running"] = json!(0);
    document["deployments"]["register"]["models"]["cask-7b"]["servers"] = json!(["nobody"]);
    document["deployments"]["register"]["weights"]["waste"] = json!(-1.0);

    let faults = Document::parse(&document).expect_err("it is faulty");

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
fn unknown_fields_are_refused() {
    let mut document = example("clydeforth.json");
    document["deployments"]["drafts"]["limits"]["runing"] = json!(4);

    let faults = Document::parse(&document).expect_err("it is faulty");

    assert!(faults[0].remedy.contains("runing"), "{faults:?}");
}
