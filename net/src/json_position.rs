//! Which value of a JSON text a position is in.

use std::ops::Range;

/// A value in a JSON text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JsonValue<'a> {
    /// Names from the outermost object to the value, with dots between them.
    pub path: String,
    /// Its text; empty for an object or a list.
    pub text: &'a str,
}

/// A step from a value to one in it.
enum Step<'a> {
    Field(Option<&'a str>),
    Index(usize),
}

/// Returns the value that ends or goes on at a position. `line` and `column` count from
/// one, the column in bytes.
pub fn value_at(json: &str, line: usize, column: usize) -> JsonValue<'_> {
    let mut steps = Vec::new();
    let mut value = 0..0;
    let end = offset(json, line, column);
    let mut at = 0;
    while at < end {
        let token = token(json, at);
        at = token.end;
        match &json[token.clone()] {
            "{" => steps.push(Step::Field(None)),
            "[" => steps.push(Step::Index(0)),
            "}" | "]" => {
                steps.pop();
                value = 0..0;
            }
            "," => {
                value = 0..0;
                match steps.last_mut() {
                    Some(Step::Field(name)) => *name = None,
                    Some(Step::Index(index)) => *index += 1,
                    None => {}
                }
            }
            text if text.trim_ascii().is_empty() || text == ":" => {}
            text => match steps.last_mut() {
                Some(Step::Field(name @ None)) => *name = Some(unquoted(text)),
                _ => value = token,
            },
        }
    }
    JsonValue {
        path: path(&steps),
        text: unquoted(&json[value]),
    }
}

fn offset(json: &str, line: usize, column: usize) -> usize {
    let lines = json.split_inclusive('\n').take(line.saturating_sub(1));
    let offset = lines.map(str::len).sum::<usize>() + column;
    offset.min(json.len())
}

/// Returns the range of the token at an offset: a mark, a space, a string, or a word.
fn token(json: &str, start: usize) -> Range<usize> {
    let rest = &json[start..];
    let is_word = |c: char| !c.is_ascii_whitespace() && !"{}[]:,\"".contains(c);
    let end = match rest.strip_prefix('"') {
        Some(inside) => 1 + string_end(inside),
        None => rest.find(|c| !is_word(c)).unwrap_or(rest.len()),
    };
    let first = rest.chars().next().map_or(0, char::len_utf8);
    start..start + end.max(first)
}

/// Returns the length of a string's inside with its closing quote.
fn string_end(inside: &str) -> usize {
    let mut is_escaped = false;
    for (at, c) in inside.char_indices() {
        if c == '"' && !is_escaped {
            return at + 1;
        }
        is_escaped = c == '\\' && !is_escaped;
    }
    inside.len()
}

fn unquoted(text: &str) -> &str {
    let inside = text.strip_prefix('"');
    inside.map_or(text, |inside| inside.strip_suffix('"').unwrap_or(inside))
}

fn path(steps: &[Step<'_>]) -> String {
    let names = steps.iter().filter_map(|step| match step {
        Step::Field(name) => name.map(str::to_owned),
        Step::Index(index) => Some(index.to_string()),
    });
    names.collect::<Vec<_>>().join(".")
}
