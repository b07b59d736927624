//! Tests of the lines that a process writes to standard error. Each test runs this test program
//! again as a child process, with the log enabled, and reads its output.

use logging::{Format, init, reconfigure};
use std::process::{Command, Stdio};
use tracing::{Level, debug, debug_span, error, info, warn};

/// Environment variable that enables the log in the child process and sets its format.
const FORMAT_VARIABLE: &str = "LOGGING_TEST_FORMAT";

/// Logs the events that the other tests expect. This is not a test by itself: it does nothing
/// unless it runs in the child process of another test.
#[test]
fn child() {
    let Ok(format) = std::env::var(FORMAT_VARIABLE) else {
        return;
    };
    let format = if format == "json" {
        Format::Json
    } else {
        Format::Logfmt
    };
    init(format, Level::INFO);
    info!(name: "plain", target: "broker::test", count = 3, words = "two", server = %"s1");
    // The line feed and the quotes in the value must not begin a new line or field.
    warn!(name: "forged", target: "broker::test", words = "x\nlevel=error event=fire a=\"b\"");
    // Left out, because the level is INFO.
    debug!(name: "below", target: "broker::test", n = 1);
    // Only the first line is written: an event has at most one line per second.
    (0..3).for_each(|n| error!(name: "often", target: "broker::test", n));
    reconfigure(format, Level::DEBUG);
    // The line contains the fields of the span, except `conn`: the event has a field of that name.
    let span = debug_span!(target: "broker::test", "query", query = 7, conn = 2);
    span.in_scope(|| debug!(name: "sent", target: "broker::test", conn = 9, part = 1));
    // Left out, because `h2` is a library.
    warn!(name: "foreign", target: "h2::proto", n = 1);
    // Truncated: the value has 600 characters of two bytes each, and the maximum is 512 bytes.
    info!(name: "long", target: "broker::test", words = "\u{e9}".repeat(600));
}

/// Returns the lines that the child process writes in the given format.
fn child_lines(format: &str) -> Vec<String> {
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "child", "--nocapture", "--test-threads=1"])
        .env(FORMAT_VARIABLE, format)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .output()
        .unwrap();
    String::from_utf8(output.stderr)
        .unwrap()
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn logfmt_lines_hold_all_fields_and_cannot_be_forged() {
    let lines = child_lines("logfmt");
    let expected = [
        "level=info event=plain count=3 words=two server=s1",
        "level=warn event=forged words=\"x\\nlevel=error event=fire a=\\\"b\\\"\"",
        "level=error event=often n=0",
        "level=debug event=sent conn=9 part=1 query=7",
    ];
    assert_eq!(lines[..4], expected);
    assert!(
        lines[4].starts_with("level=info event=long words=\"") && lines[4].chars().count() < 300,
        "expected the event `long` with its value truncated, found: {}",
        lines[4]
    );
    assert_eq!(lines.len(), 5);
}

#[test]
fn json_lines_hold_the_same_fields_as_logfmt() {
    let lines = child_lines("json");
    let values: Vec<serde_json::Value> = lines
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(values[0]["count"], 3);
    assert_eq!(values[1]["words"], "x\nlevel=error event=fire a=\"b\"");
    assert_eq!(
        (&values[3]["query"], &values[3]["conn"]),
        (&7.into(), &9.into())
    );
    assert_eq!(values.len(), 5);
}
