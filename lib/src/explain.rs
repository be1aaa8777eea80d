//! Explains from the log lines of many processes what happened to a request or
//! a program.
//!
//! The lines may be in any order. Causes are derived only from what the lines
//! state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

/// Seconds before a refusal in which its cause is searched: the loss of a link
/// is logged within half a second, and keepers are removed from the list after
/// three seconds.
const CAUSE_WINDOW_S: f64 = 4.0;
/// Seconds before and after a failed attempt in which other failures at the same
/// server are counted as related.
const RELATED_WINDOW_S: f64 = 2.0;

/// Shortest time without a request that is reported, in seconds: tools and
/// pauses of programs take less.
const MIN_GAP_S: f64 = 1.0;

/// One line of a log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogLine {
    /// Seconds since midnight, by the clock of the process.
    pub time: f64,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` if it is not a log line of this system. Text before
    /// the first pair, such as the time that a log collector adds, is ignored.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = BTreeMap::new();
        let mut rest = text;
        while let Some((before, after)) = rest.split_once('=') {
            let key = before.rsplit(' ').next().unwrap_or_default();
            let (value, remaining) = parse_value(after);
            fields.insert(key.to_owned(), value);
            rest = remaining;
        }
        let time = seconds_of_day(fields.get("time")?)?;
        fields.get("event")?;
        Some(Self { time, fields })
    }

    /// Returns the value of a field; empty if the line does not have it.
    pub fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    fn number(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or(0)
    }

    fn has_event(&self, event: &str) -> bool {
        self.get("event") == event
    }

    fn is_about(&self, id: &str) -> bool {
        self.get("attempt") == id || self.get("program") == id
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} {} {}",
            self.time,
            self.get("node"),
            self.get("event")
        )?;
        let in_prefix = ["time", "level", "node", "event"];
        let pairs = self.fields.iter();
        for (key, value) in pairs.filter(|(key, _)| !in_prefix.contains(&key.as_str())) {
            write!(f, " {key}={value}")?;
        }
        Ok(())
    }
}

/// Parses a value, quoted or not, at the beginning of `text`. Returns it with the
/// text that follows.
fn parse_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find([' ', '\n']).unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, char)| char)),
            _ => value.push(char),
        }
    }
    (value, "")
}

/// Returns the seconds since midnight of a time such as
/// `2026-10-18T16:13:22.772Z`.
fn seconds_of_day(time: &str) -> Option<f64> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes) = (parts.next()??, parts.next()??);
    Some(hours * 3_600.0 + minutes * 60.0 + parts.next()??)
}

/// What the log lines state about an id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// The lines that name the id, by time.
    pub lines: Vec<LogLine>,
    /// The causes of delays and failures, one sentence each.
    pub causes: Vec<String>,
}

/// Explains what happened to the attempt or program with `id`.
pub fn explain(all: &[LogLine], id: &str) -> Explanation {
    let mut lines: Vec<LogLine> = all
        .iter()
        .filter(|line| line.is_about(id))
        .cloned()
        .collect();
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let mut causes: Vec<String> = Vec::new();
    for line in &lines {
        let cause = match line.get("event") {
            "refused" => explain_refusal(all, line),
            "attempt_failed" => Some(explain_failure(all, line)),
            "over_allowance" => Some(explain_over_allowance(all, line)),
            "cut" => Some(format!(
                "{} ended a stream early: {}",
                line.get("node"),
                line.get("why")
            )),
            _ => None,
        };
        causes.extend(cause);
    }
    causes.extend(slowest_step(&lines));
    causes.extend(longest_gap(&lines));
    causes.dedup();
    Explanation { lines, causes }
}

/// Returns the lines of `event` at most `CAUSE_WINDOW_S` seconds before `line`.
fn preceding<'a>(
    all: &'a [LogLine],
    line: &'a LogLine,
    event: &'a str,
) -> impl Iterator<Item = &'a LogLine> {
    all.iter().filter(move |other| {
        other.has_event(event) && other.time <= line.time && other.time > line.time - CAUSE_WINDOW_S
    })
}

/// Explains a refusal.
fn explain_refusal(all: &[LogLine], line: &LogLine) -> Option<String> {
    let why = line.get("why");
    if why.contains("keepers") {
        return Some(explain_lost_keepers(all, line));
    }
    if why.contains("more programs") {
        let behind =
            preceding(all, line, "behind").filter(|other| other.get("node") == line.get("node"));
        let latest = behind.last();
        return Some(latest.map_or_else(
            || format!("{} was overloaded", line.get("node")),
            |behind| {
                format!(
                    "{} was overloaded: its timers were {} ms late, and its keepers answered in {} ms",
                    line.get("node"),
                    behind.get("timers_ms"),
                    behind.get("answers_ms"),
                )
            },
        ));
    }
    Some(format!(
        "{} answered {}: {why}",
        line.get("node"),
        line.get("status")
    ))
}

/// Explains a refusal by the allowance of a workspace: how much of it was used,
/// and how many of the workspace's requests were refused.
fn explain_over_allowance(all: &[LogLine], line: &LogLine) -> String {
    let workspace = line.get("workspace");
    let same = preceding(all, line, "over_allowance");
    let same = same.filter(|other| other.get("workspace") == workspace);
    let used = match line.get("used") {
        "as_last_asked" => "as many as the keeper in charge last reported".to_owned(),
        used => format!("{used}, for {} programs that began", line.get("begun")),
    };
    format!(
        "workspace {workspace} has no allowance left for {}: of {} requests per window it had used {used}; {} requests were refused for this within {CAUSE_WINDOW_S} s",
        line.get("shortage"),
        line.get("limit"),
        same.count(),
    )
}

/// Explains a refusal for lack of keepers.
fn explain_lost_keepers(all: &[LogLine], line: &LogLine) -> String {
    let node = line.get("node");
    let losses: Vec<&LogLine> = preceding(all, line, "keeper_lost").collect();
    let lost_keepers = losses.iter().filter(|other| other.get("node") == node);
    let lost_keepers: BTreeSet<&str> = lost_keepers.map(|other| other.get("keeper")).collect();
    let other_nodes = losses
        .iter()
        .filter(|other| lost_keepers.contains(other.get("keeper")));
    let other_nodes: BTreeSet<&str> = other_nodes
        .map(|other| other.get("node"))
        .filter(|&other| other != node)
        .collect();
    let started =
        preceding(all, line, "started").filter(|other| lost_keepers.contains(other.get("node")));
    let started: BTreeSet<&str> = started.map(|other| other.get("node")).collect();
    if lost_keepers.is_empty() {
        return format!(
            "too few keepers answered {node}, although it had lost no link to a keeper: they were slow"
        );
    }
    let names: Vec<&str> = lost_keepers.iter().copied().collect();
    let names = names.join(", ");
    if !started.is_empty() {
        let started: Vec<&str> = started.into_iter().collect();
        return format!(
            "keepers were down: {node} lost its links to {names}; restarted: {}",
            started.join(", ")
        );
    }
    if other_nodes.is_empty() {
        return format!("only {node} lost its links to {names}: its network connection failed");
    }
    format!(
        "{node} and {} more lost their links to {names}: those keepers or their network were down",
        other_nodes.len()
    )
}

/// Explains an attempt that failed at a server.
fn explain_failure(all: &[LogLine], line: &LogLine) -> String {
    let server = line.get("server");
    let is_related = |other: &&LogLine| (other.time - line.time).abs() < RELATED_WINDOW_S;
    let same = all
        .iter()
        .filter(is_related)
        .filter(|other| other.has_event("attempt_failed") && other.get("server") == server);
    let count = same.count();
    let gone = all
        .iter()
        .filter(is_related)
        .any(|other| other.has_event("server_gone") && other.get("server") == server);
    let why = line.get("why");
    let kind = why.split('(').next().unwrap_or_default();
    let what = match kind {
        "NotSent" => "could not be reached",
        "NotRun" => "refused to run it",
        "Late" => "did not answer in time",
        _ => "failed after the attempt was sent, so it may have run",
    };
    let scope = match (gone, count) {
        (true, _) => "the server was removed from the list at that time: it stopped",
        (false, 1) => "no other attempt at it failed at that time: a single answer was lost",
        (false, _) => "other attempts at it failed too: the server was down or full",
    };
    format!("server {server} {what} ({why}); {scope} ({count} failed within {RELATED_WINDOW_S} s)")
}

/// Describes the step in which the answered requests waited longest in total.
fn slowest_step(lines: &[LogLine]) -> Option<String> {
    let answered: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.has_event("answered"))
        .collect();
    let mut spent: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &answered {
        let mut last = 0;
        for (key, step) in STEPS {
            let reached = line.number(key);
            if reached >= last && reached > 0 {
                *spent.entry(step).or_default() += reached - last;
                last = reached;
            }
        }
    }
    let total: u64 = answered.iter().map(|line| line.number("waited_ms")).sum();
    let (step, millis) = spent.into_iter().max_by_key(|&(_, millis)| millis)?;
    let worst = answered
        .iter()
        .max_by_key(|line| line.number("waited_ms"))?;
    Some(format!(
        "{} answers took {total} ms in total, most of it waiting for {step} ({millis} ms); the slowest, attempt {}, took {} ms at server {} through {}",
        answered.len(),
        worst.get("attempt"),
        worst.get("waited_ms"),
        worst.get("server"),
        worst.get("node"),
    ))
}

/// Describes the longest time without a request at any gateway.
fn longest_gap(lines: &[LogLine]) -> Option<String> {
    let mut gap = (MIN_GAP_S, None);
    let mut last: Option<&LogLine> = None;
    for line in lines {
        let begun = line.time - line.number("waited_ms") as f64 / 1_000.0;
        if let Some(last) = last
            && begun - last.time > gap.0
        {
            gap = (begun - last.time, Some(last));
        }
        if last.is_none_or(|last| last.time < line.time) {
            last = Some(line);
        }
    }
    let (seconds, after) = gap;
    let after = after?;
    Some(format!(
        "no gateway had a request of the program for {seconds:.1} s after attempt {}: the program paused, or its caller could not reach a gateway",
        after.get("attempt"),
    ))
}

/// The steps of a request in order: the key of each in the log line, and what the
/// request waited for until then.
const STEPS: [(&str, &str); 6] = [
    ("read_ms", "the caller's body"),
    ("opened_ms", "the keepers"),
    ("sent_ms", "a connection to a server"),
    ("head_ms", "the server to start its answer"),
    ("first_ms", "the turn to be written to disk"),
    ("waited_ms", "the rest of the answer"),
];
