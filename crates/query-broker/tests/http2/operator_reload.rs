//! Test of the reload of the operator's file on SIGHUP.

use crate::fixture::Fixture;
use load_generator::raw_http2::SETTINGS;
use std::time::Duration;

/// `SETTINGS_MAX_CONCURRENT_STREAMS` (RFC 9113, section 6.5.2).
const MAX_CONCURRENT_STREAMS: [u8; 2] = [0, 3];

/// Time between two reloads. The log has at most one line a second for the same event, so a shorter
/// time could leave out a line for which the test waits.
const LOG_INTERVAL: Duration = Duration::from_millis(1100);

/// Returns the stream limit in the SETTINGS of a new connection.
fn stream_limit(fixture: &Fixture) -> u32 {
    let settings = fixture.connect_raw().expect_frame(SETTINGS);
    // A setting consists of an identifier of two bytes and a value of four bytes.
    let setting = settings
        .payload
        .chunks(6)
        .find(|setting| setting[..2] == MAX_CONCURRENT_STREAMS)
        .unwrap();
    u32::from_be_bytes(setting[2..].try_into().unwrap())
}

/// Replaces the operator's file, sends SIGHUP, and waits until the log has a line with `log_text`.
fn reload(fixture: &mut Fixture, operator_config: &str, log_text: &str) {
    fixture
        .broker
        .replace_operator_config(operator_config)
        .unwrap();
    fixture.broker.signal("HUP").unwrap();
    fixture.broker.wait_for_log(log_text).unwrap();
}

/// A valid file takes effect for new connections. Guards against a file of which only a part takes
/// effect. A file must leave the stream limit unchanged, and the reason must be logged, if the file has
/// an error, needs more resources than the platform grants, or changes a keyword that needs a restart.
#[test]
fn operator_config_is_reloaded_completely_or_not_at_all() {
    let mut fixture = Fixture::with_part_duration(Duration::ZERO);
    assert_eq!(stream_limit(&fixture), 200);
    reload(
        &mut fixture,
        "listen-http2 127.0.0.1:0\nhttp2-streams 7\nlog-level debug\n",
        "event=operator_config_changed changed=log-level,http2-streams",
    );
    assert_eq!(stream_limit(&fixture), 7);
    for (operator_config, log_text) in [
        (
            "listen-http2 127.0.0.1:0\nhttp2-streams 9\nlog-levle info\n",
            "event=reload_failed",
        ),
        (
            "listen-http2 127.0.0.1:0\nhttp2-streams 60000\nhttp2-connection-window 64MiB\n",
            "lower http2-streams",
        ),
        (
            "listen-http2 127.0.0.1:9\nhttp2-streams 7\nlog-level debug\n",
            "event=restart_required changed=listen-http2",
        ),
    ] {
        std::thread::sleep(LOG_INTERVAL);
        reload(&mut fixture, operator_config, log_text);
        assert_eq!(stream_limit(&fixture), 7, "{operator_config}");
    }
}
