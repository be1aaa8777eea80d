//! Explanations of refusals, failures and delays from sample log lines.

use limpetferry_lib::explain::LogLine;
use limpetferry_lib::explain::explain;

fn lines(text: &str) -> Vec<LogLine> {
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines
        .map(|line| LogLine::parse(line).expect("a valid log line"))
        .collect()
}

fn cause(text: &str, id: &str) -> String {
    explain(&lines(text), id).causes.join("; ")
}

#[test]
fn quoted_values_and_a_collectors_prefix_are_parsed() {
    let line = LogLine::parse(
        r#"  12.5 edge-1 time=2026-10-18T01:02:03.500Z level=INFO node=edge-1 event=refused attempt=a1 why="it said \"no\" twice""#,
    );
    let line = line.expect("a valid log line");

    assert_eq!(line.time, 3_723.5);
    assert_eq!(line.get("attempt"), "a1");
    assert_eq!(line.get("why"), r#"it said "no" twice"#);
}

#[test]
fn foreign_lines_are_ignored() {
    assert_eq!(LogLine::parse("thread 'main' panicked"), None);
    assert_eq!(LogLine::parse("time=late event=refused"), None);
    assert_eq!(LogLine::parse("time=2026-10-18T01:02:03Z level=INFO"), None);
}

#[test]
fn a_turn_refused_by_a_gateway_that_alone_lost_its_keepers() {
    let text = r#"
        time=2026-10-18T10:00:00.000Z node=edge-1 event=keeper_lost keeper=keeper-1 why="no answer to a ping"
        time=2026-10-18T10:00:00.100Z node=edge-1 event=keeper_lost keeper=keeper-2 why="no answer to a ping"
        time=2026-10-18T10:00:00.300Z node=edge-1 event=refused attempt=a1 status=503 why="too few keepers are within reach here; come back"
    "#;
    assert_eq!(
        cause(text, "a1"),
        "only edge-1 lost its links to keeper-1, keeper-2: its network connection failed"
    );
}

#[test]
fn a_turn_refused_while_keepers_were_down() {
    let text = r#"
        time=2026-10-18T10:00:00.000Z node=edge-1 event=keeper_lost keeper=keeper-1 why=closed
        time=2026-10-18T10:00:00.010Z node=edge-2 event=keeper_lost keeper=keeper-1 why=closed
        time=2026-10-18T10:00:00.300Z node=edge-1 event=refused attempt=a1 status=503 why="too few keepers answer; come back"
    "#;
    let found = cause(text, "a1");
    assert!(
        found.contains("edge-1 and 1 more lost their links to keeper-1"),
        "{found}"
    );

    let started = "time=2026-10-18T10:00:00.200Z node=keeper-1 event=started role=keeper\n";
    let found = cause(&[text, started].concat(), "a1");
    assert!(found.contains("restarted: keeper-1"), "{found}");
}

#[test]
fn links_lost_long_before_a_refusal_are_not_its_cause() {
    let text = r#"
        time=2026-10-18T10:00:00.000Z node=edge-1 event=keeper_lost keeper=keeper-1 why=closed
        time=2026-10-18T10:00:30.000Z node=edge-1 event=refused attempt=a1 status=503 why="too few keepers answer; come back"
    "#;
    let found = cause(text, "a1");
    assert!(found.contains("had lost no link"), "{found}");
}

#[test]
fn a_turn_refused_by_an_overloaded_gateway() {
    let text = r#"
        time=2026-10-18T10:00:00.000Z node=edge-1 event=behind timers_ms=3 answers_ms=96
        time=2026-10-18T10:00:00.200Z node=edge-1 event=refused attempt=a1 status=503 why="more programs than this gateway can serve in time; come back"
    "#;
    assert_eq!(
        cause(text, "a1"),
        "edge-1 was overloaded: its timers were 3 ms late, and its keepers answered in 96 ms"
    );
}

#[test]
fn a_crashed_server_is_distinguished_from_a_lost_answer() {
    let failed = |attempt: &str, server: &str| {
        format!(
            r#"time=2026-10-18T10:00:00.000Z node=edge-1 event=attempt_failed attempt={attempt} server={server} why="Unknown(\"connection closed\")""#
        )
    };
    let gone = "time=2026-10-18T10:00:01.000Z node=edge-2 event=server_gone server=i-1";
    let text = [failed("a1", "i-1"), failed("a2", "i-2"), gone.to_owned()].join("\n");

    let crashed = cause(&text, "a1");
    let lost = cause(&text, "a2");

    assert!(
        crashed.contains("the server was removed from the list at that time"),
        "{crashed}"
    );
    assert!(lost.contains("a single answer was lost"), "{lost}");
}

#[test]
fn a_slow_program_is_explained_by_its_slowest_step_and_longest_gap() {
    let text = r#"
        time=2026-10-18T10:00:01.000Z node=edge-1 event=answered attempt=a1 program=p server=i-1 read_ms=1 opened_ms=10 sent_ms=12 head_ms=700 first_ms=701 waited_ms=900
        time=2026-10-18T10:00:05.000Z node=edge-2 event=answered attempt=a2 program=p server=i-2 read_ms=0 opened_ms=20 sent_ms=22 head_ms=500 first_ms=501 waited_ms=600
    "#;
    let found = explain(&lines(text), "p");

    assert_eq!(found.lines.len(), 2);
    let causes = found.causes.join("; ");
    assert!(
        causes.contains("most of it waiting for the server to start its answer (1166 ms)"),
        "{causes}"
    );
    assert!(
        causes.contains("the slowest, attempt a1, took 900 ms"),
        "{causes}"
    );
    assert!(causes.contains("for 3.4 s after attempt a1"), "{causes}");
}

#[test]
fn an_unknown_id_has_no_lines_and_no_causes() {
    let found = explain(
        &lines("time=2026-10-18T10:00:01.000Z node=e event=answered attempt=a1"),
        "b",
    );
    assert!(found.lines.is_empty() && found.causes.is_empty());
}

#[test]
fn a_refusal_by_the_allowance_states_how_much_was_used() {
    let text = r#"
        time=2026-10-18T10:00:00.000Z node=edge-2 event=over_allowance attempt=a0 workspace=red shortage=requests limit=129 used=as_last_asked
        time=2026-10-18T10:00:00.050Z node=edge-2 event=over_allowance attempt=b0 workspace=blue shortage=requests limit=10 used=as_last_asked
        time=2026-10-18T10:00:00.100Z node=edge-1 event=over_allowance attempt=a1 workspace=red shortage=programs limit=129 used=130 begun=5
    "#;
    assert_eq!(
        cause(text, "a1"),
        "workspace red has no allowance left for programs: of 129 requests per window it had used \
         130, for 5 programs that began; 2 requests were refused for this within 4 s"
    );
}
