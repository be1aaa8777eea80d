//! Positions in JSON texts, as errors give them.

use limpetferry_net::json_position::value_at;

const TEXT: &str = r#"{
  "node": "a \"b\" ü",
  "seeds": ["one", "two"],
  "inner": { "stop_ms": 8.0000, "empty": {} }
}"#;

/// Returns the path and the text of the value that ends where `mark` ends.
fn found(mark: &str) -> (String, &'static str) {
    let end = TEXT.find(mark).expect("the text has it") + mark.len();
    let before = &TEXT[..end];
    let line = before.split('\n').count();
    let column = before.len() - before.rfind('\n').map_or(0, |at| at + 1);
    let value = value_at(TEXT, line, column);
    (value.path, value.text)
}

#[test]
fn a_value_is_found_at_its_end() {
    let cases = [
        ("8.0000", "inner.stop_ms", "8.0000"),
        ("\"two\"", "seeds.1", "two"),
        ("ü\"", "node", r#"a \"b\" ü"#),
        ("{}", "inner.empty", ""),
        ("{} }", "inner", ""),
    ];
    for (mark, path, text) in cases {
        assert_eq!(found(mark), (path.to_owned(), text), "{mark}");
    }
}

#[test]
fn no_position_is_too_odd() {
    let odd = ["", "{", "\"", "{\"a", "]]}}", "{\"a\": [1, }", TEXT];
    for text in odd {
        for line in 0..8 {
            for column in 0..60 {
                value_at(text, line, column);
            }
        }
    }
}
