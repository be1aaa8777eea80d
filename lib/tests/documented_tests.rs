//! Checks that the tests listed in docs/promises.md exist.

use std::fs;
use std::path::Path;

/// Returns the texts of the test files in `folder`.
fn test_files(folder: &Path) -> Vec<String> {
    let entries = fs::read_dir(folder).into_iter().flatten();
    let files = entries.filter_map(|entry| Some(entry.ok()?.path()));
    let code = files.filter(|path| path.extension().is_some_and(|end| end == "rs"));
    code.map(|path| fs::read_to_string(path).expect("test files can be read"))
        .collect()
}

#[test]
fn tests_named_in_promises_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page =
        fs::read_to_string(root.join("docs/promises.md")).expect("docs/promises.md can be read");
    let code: String = ["lib/tests", "net/tests", "ctl/tests"]
        .iter()
        .flat_map(|folder| test_files(&root.join(folder)))
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
