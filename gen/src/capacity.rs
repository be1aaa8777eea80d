//! Works out `docs/CAPACITY.md` from the table of slopes.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use eyre::OptionExt as _;
use serde::Deserialize;

/// One slope or size that the page rests on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Input {
    name: String,
    value: f64,
    unit: String,
    kind: Kind,
    source: String,
}

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Target,
    Measured,
    Derived,
    Assumed,
}

/// A factor of a row: a number, or the name of an input, which a slash before
/// it makes a divisor.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Term {
    Number(f64),
    Name(String),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    role: String,
    what: String,
    terms: Vec<Term>,
    unit: String,
    by: String,
}

/// The table of slopes, and the rows that follow from it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    inputs: Vec<Input>,
    rows: Vec<Row>,
}

impl Capacity {
    /// Returns the page's text, with `prose` before the tables.
    ///
    /// # Errors
    ///
    /// Returns an error if a row names an input that is not there.
    pub fn page(&self, prose: &str) -> eyre::Result<String> {
        let values: BTreeMap<&str, f64> = self
            .inputs
            .iter()
            .map(|input| (input.name.as_str(), input.value))
            .collect();
        let mut text = format!(
            "{prose}\n## Rows\n\n| role | what | figure | unit | carried by |\n| --- | --- | --- | --- | --- |\n"
        );
        for row in &self.rows {
            let figure = figure(row, &values)?;
            writeln!(
                text,
                "| {} | {} | {} | {} | {} |",
                row.role,
                row.what,
                rounded(figure),
                row.unit,
                row.by
            )?;
        }
        text.push_str("\n## Slopes\n\n| name | value | unit | kind | source |\n| --- | --- | --- | --- | --- |\n");
        for input in &self.inputs {
            let kind = format!("{:?}", input.kind).to_lowercase();
            writeln!(
                text,
                "| `{}` | {} | {} | {kind} | {} |",
                input.name, input.value, input.unit, input.source
            )?;
        }
        Ok(text)
    }
}

fn figure(row: &Row, values: &BTreeMap<&str, f64>) -> eyre::Result<f64> {
    let mut product = 1.0;
    for term in &row.terms {
        match term {
            Term::Number(number) => product *= number,
            Term::Name(name) => {
                let divisor = name.strip_prefix('/');
                let value = values
                    .get(divisor.unwrap_or(name))
                    .ok_or_eyre(format!("{}: no input {name}", row.what))?;
                product = if divisor.is_some() {
                    product / value
                } else {
                    product * value
                };
            }
        }
    }
    Ok(product)
}

/// Returns a figure with three digits that count.
fn rounded(figure: f64) -> String {
    if figure == 0.0 {
        return "0".into();
    }
    let places = (2 - figure.abs().log10().floor() as i32).clamp(0, 6);
    format!("{figure:.*}", places as usize)
}
