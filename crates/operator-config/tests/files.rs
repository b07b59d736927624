//! Parsing of whole files: the settings of valid files, and the errors of invalid ones.

use operator_config::{Effect, KEYWORDS, LogFormat, LogLevel, Settings, parse};
use proptest::prelude::*;
use std::time::Duration;

/// A valid file with every keyword.
const FULL: &str = "\
# An installation with both listeners.
log-format json
log-level  debug
gather-time 500us
listen-http2 127.0.0.1:8081   # without TLS
http2-connections 64
http2-streams 200
http2-connection-window 1MiB
http2-header-list 16KiB
";

/// Returns the error texts of an invalid file whose name is `f`.
fn errors(text: &str) -> Vec<String> {
    parse("f", text)
        .unwrap_err()
        .errors
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn file_with_every_keyword_is_parsed() {
    let settings = parse("f", FULL).unwrap();
    assert_eq!(
        (settings.log.format, settings.log.level),
        (LogFormat::Json, LogLevel::Debug)
    );
    assert_eq!(settings.gather_time, Some(Duration::from_micros(500)));
    let http2 = settings.http2.unwrap();
    assert_eq!(
        (http2.listen.port(), http2.connections, http2.streams),
        (8081, Some(64), Some(200))
    );
    assert_eq!(
        (http2.connection_window, http2.header_list),
        (Some(1 << 20), Some(16 << 10))
    );
    assert!(
        KEYWORDS.iter().all(|k| FULL.contains(k.name)),
        "the file must contain every keyword"
    );
    assert_eq!(parse("f", "").unwrap(), Settings::default());
}

/// All errors of a file are reported together, so that the operator can correct them in one edit.
#[test]
fn all_errors_are_reported_with_position_and_expected_value() {
    let text = "log-levle info\nlog-level loud\nlog-format json json\nhttp2-streams 0\nlog-level info\ngather-time\nx\u{e9}\"y 1\n";
    assert_eq!(
        errors(text),
        [
            "f:1:1: unknown keyword log-levle; did you mean log-level?",
            "f:2:11: invalid argument loud for log-level; expected one of error, warn, info, debug, trace",
            "f:3:17: unexpected second argument json for log-format; expected only logfmt or json",
            "f:4:1: http2-streams has no effect; it requires listen-http2",
            "f:4:15: invalid argument 0 for http2-streams; expected a whole number from 1 to 65536",
            "f:5:1: duplicate keyword log-level; first given on line 2",
            "f:6:1: gather-time requires an argument; expected a time, 0us to 50ms",
            "f:7:1: unknown keyword \"x\u{e9}\\\"y\"",
        ]
    );
}

#[test]
fn changes_are_grouped_by_effect_and_restart_settings_are_kept() {
    let old = parse("f", FULL).unwrap();
    let text = FULL
        .replace("8081", "9091")
        .replace("streams 200", "streams 100")
        .replace("debug", "info");
    let new = parse("f", &text).unwrap();
    let changes = old.changes(&new);
    assert_eq!(
        (changes.effective, changes.restart_required),
        (vec!["log-level", "http2-streams"], vec!["listen-http2"])
    );
    let adopted = old.adopt(&new);
    let http2 = adopted.http2.unwrap();
    assert_eq!(
        (http2.listen.port(), http2.streams, adopted.log.level),
        (8081, Some(100), LogLevel::Info)
    );
    // A change that needs a restart is reported each time the file is read until the restart.
    assert_eq!(adopted.changes(&new).restart_required, ["listen-http2"]);
    // The removal of the HTTP/2 listener needs a restart, too.
    assert_eq!(old.adopt(&parse("f", "").unwrap()).http2, old.http2);
    assert!(KEYWORDS.iter().any(|k| k.effect == Effect::NewConnections));
}

proptest! {
    /// Guards against panics and invalid positions: arbitrary text is parsed into settings or into
    /// one-line errors whose spans lie within the text.
    #[test]
    fn arbitrary_text_yields_settings_or_errors_within_the_text(text in "(log-level|listen-http2|http2-connection-window|[a-z-]{0,12}|\\PC{0,6}|#| |\t|\r|\n|7|64KiB|127.0.0.1:1){0,40}") {
        match parse("f", &text) {
            Ok(settings) => prop_assert_eq!(settings.changes(&settings), Default::default()),
            Err(errors) => for error in errors.errors {
                prop_assert!(text.get(error.span.clone()).is_some());
                prop_assert!(!error.to_string().contains('\n'));
            }
        }
    }
}
