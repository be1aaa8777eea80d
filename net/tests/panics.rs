//! What the log says of a panic. The hook and the log are those of the process, so
//! this file holds one test.

use limpetferry_net::log;
use limpetferry_net::panics;
use limpetferry_net::settings::LogSettings;
use limpetferry_testutils::folder::Folder;

fn logged(file: &std::path::Path) -> Vec<String> {
    let text = std::fs::read_to_string(file).expect("the log can be read");
    text.lines().map(str::to_owned).collect()
}

/// Guards against processes that went on without a thread or a task, and said nothing
/// of it in their log.
#[test]
fn a_panic_is_one_line_of_the_log_and_is_counted() {
    let folder = Folder::default();
    let file = folder.join("node.log");
    let settings = LogSettings {
        file: Some(file.clone()),
        ..LogSettings::default()
    };
    log::init(&settings).expect("the log can be written");
    panics::install("keeper-1");
    let named = std::thread::Builder::new().name("disk".to_owned());

    let thread = named.spawn(|| panic!("no such {}\nevent=forged", "record"));
    let ended = thread.expect("a thread can be started").join();

    assert!(ended.is_err());
    assert_eq!(panics::counter().get(), 1);
    let lines = logged(&file);
    assert_eq!(lines.len(), 1, "{lines:?}");
    let line = &lines[0];
    assert!(line.contains("node=keeper-1 event=panicked thread=disk at=net/tests/panics.rs:"));
    assert!(
        line.ends_with(r#" why="no such record\nevent=forged""#),
        "{line}"
    );
}
