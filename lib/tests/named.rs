//! The tests that docs/promises.md names exist.

use std::fs;
use std::path::Path;

#[test]
fn tests_named_in_promises_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = fs::read_to_string(root.join("docs/promises.md")).expect("the page is there");
    let files = [
        "lib/tests/promises.rs",
        "net/tests/failures.rs",
        "net/tests/whole_path.rs",
        "net/tests/errors.rs",
        "net/tests/peer.rs",
    ];
    let code: String = files
        .iter()
        .map(|file| fs::read_to_string(root.join(file)).expect("the test file is there"))
        .collect();

    let rows = page.lines().filter(|line| line.matches('|').count() == 6);
    let names: Vec<&str> = rows
        .filter_map(|row| {
            row.split('|')
                .nth(4)?
                .trim()
                .strip_prefix('`')?
                .strip_suffix('`')
        })
        .collect();

    assert!(names.len() > 10, "{names:?}");
    for name in names {
        assert!(code.contains(&format!("fn {name}()")), "no test {name}");
    }
}
