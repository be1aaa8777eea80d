//! Computes `docs/CAPACITY.md` from the inputs and rows in `gen/capacity.json`.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use eyre::OptionExt as _;
use serde::Deserialize;

/// An input of the calculation: a slope or a size.
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

/// A factor of a row: a number or the name of an input. A leading slash makes
/// the input a divisor.
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

/// The inputs, and the rows that are computed from them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    inputs: Vec<Input>,
    rows: Vec<Row>,
}

impl Capacity {
    /// Returns the text of the page: `prose`, then the tables.
    ///
    /// # Errors
    ///
    /// Returns an error if a row names an input that does not exist.
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
                    .ok_or_eyre(format!("{}: unknown input {name}", row.what))?;
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

/// Formats a figure with as many decimals as three significant digits need, at
/// most six.
fn rounded(figure: f64) -> String {
    if figure == 0.0 {
        return "0".into();
    }
    let decimals = (2 - figure.abs().log10().floor() as i32).clamp(0, 6);
    format!("{figure:.*}", decimals as usize)
}
