//! Renders the settings templates in `deploy/` as the users' platform does.

use std::iter;

use serde_json::Value;

/// A placeholder, a section or the text between them.
enum Part<'a> {
    Text(&'a str),
    Value(&'a str),
    Json(&'a str),
    Key,
    Comma,
    Section(&'a str, Vec<Part<'a>>),
    Inverted(&'a str, Vec<Part<'a>>),
}

/// An entry that a section is rendered for, or all fields.
struct Scope<'a> {
    entry: &'a Value,
    key: String,
    is_last: bool,
}

/// Renders `template` from the fields of a machine.
///
/// # Panics
///
/// Panics if the template is not well formed.
pub fn render(template: &str, fields: &Value) -> String {
    assert!(
        !template.contains("{{{"),
        "a brace before a placeholder needs a space after it"
    );
    let mut rest = template;
    let parts = parse(&mut rest, None);
    let mut scopes = vec![Scope {
        entry: fields,
        key: String::new(),
        is_last: true,
    }];
    let mut text = String::new();
    write(&parts, &mut scopes, &mut text);
    text
}

/// Parses up to the end of the section `name`, or of the template.
fn parse<'a>(rest: &mut &'a str, name: Option<&str>) -> Vec<Part<'a>> {
    let mut parts = Vec::new();
    while let Some((text, placeholder)) = rest.split_once("{{") {
        parts.push(Part::Text(text));
        let (tag, after) = placeholder
            .split_once("}}")
            .expect("every placeholder is closed");
        *rest = after;
        if let Some(section) = tag.strip_prefix('#') {
            parts.push(Part::Section(section, parse(rest, Some(section))));
        } else if let Some(section) = tag.strip_prefix('^') {
            parts.push(Part::Inverted(section, parse(rest, Some(section))));
        } else if let Some(end) = tag.strip_prefix('/') {
            assert_eq!(Some(end), name, "sections are nested");
            return parts;
        } else if tag == "@" {
            parts.push(Part::Key);
        } else if tag == "," {
            parts.push(Part::Comma);
        } else if let Some(value) = tag.strip_suffix("|json") {
            parts.push(Part::Json(value));
        } else {
            parts.push(Part::Value(tag));
        }
    }
    assert_eq!(name, None, "every section is closed");
    parts.push(Part::Text(rest));
    parts
}

fn write<'a>(parts: &[Part<'_>], scopes: &mut Vec<Scope<'a>>, text: &mut String) {
    for part in parts {
        match part {
            Part::Text(plain) => text.push_str(plain),
            Part::Value(name) => text.push_str(&find(name, scopes).map_or_else(String::new, plain)),
            Part::Json(name) => {
                text.push_str(&find(name, scopes).map_or_else(String::new, Value::to_string));
            }
            Part::Key => text.push_str(&current(scopes).key),
            Part::Comma if current(scopes).is_last => {}
            Part::Comma => text.push(','),
            Part::Section(name, inner) => {
                for scope in entries(find(name, scopes)) {
                    scopes.push(scope);
                    write(inner, scopes, text);
                    scopes.pop();
                }
            }
            Part::Inverted(name, inner) => {
                if matches!(find(name, scopes), None | Some(Value::Bool(false))) {
                    write(inner, scopes, text);
                }
            }
        }
    }
}

fn current<'a, 'b>(scopes: &'b [Scope<'a>]) -> &'b Scope<'a> {
    scopes.last().expect("all fields are a scope")
}

/// Returns the value of a name: of the innermost entry that has it.
fn find<'a>(name: &str, scopes: &[Scope<'a>]) -> Option<&'a Value> {
    if name == "." {
        return Some(current(scopes).entry);
    }
    let mut scopes = scopes.iter().rev();
    let value = scopes.find_map(|scope| {
        name.split('.')
            .try_fold(scope.entry, |value, part| match value {
                Value::Object(table) => table.get(part),
                Value::Array(list) => list.get(part.parse::<usize>().ok()?),
                _ => None,
            })
    });
    value.filter(|value| !value.is_null())
}

fn entries(value: Option<&Value>) -> Vec<Scope<'_>> {
    let entries: Vec<(String, &Value)> = match value {
        None | Some(Value::Bool(false)) => Vec::new(),
        Some(Value::Array(list)) => {
            let keys = (0..list.len()).map(|index| index.to_string());
            keys.zip(list).collect()
        }
        Some(Value::Object(table)) => table
            .iter()
            .map(|(key, entry)| (key.clone(), entry))
            .collect(),
        Some(single) => iter::once((String::new(), single)).collect(),
    };
    let count = entries.len();
    let entries = entries.into_iter().enumerate();
    entries
        .map(|(index, (key, entry))| Scope {
            entry,
            key,
            is_last: index + 1 == count,
        })
        .collect()
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(plain).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
