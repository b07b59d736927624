//! SIGHUP: the operator's file is read again.

use crate::fixture::Fixture;
use load_generator::raw_http2::SETTINGS;
use std::time::Duration;

/// `SETTINGS_MAX_CONCURRENT_STREAMS` (RFC 9113, section 6.5.2).
const MAX_CONCURRENT_STREAMS: [u8; 2] = [0, 3];

/// An event has one line a second in the log.
const LOG_INTERVAL: Duration = Duration::from_millis(1100);

/// The limit of streams that a new connection is given.
fn stream_limit(fixture: &Fixture) -> u32 {
    let settings = fixture.connect_raw().expect_frame(SETTINGS);
    // Each setting has two bytes of name and four of value.
    let setting = settings
        .payload
        .chunks(6)
        .find(|setting| setting[..2] == MAX_CONCURRENT_STREAMS)
        .unwrap();
    u32::from_be_bytes(setting[2..].try_into().unwrap())
}

/// Replaces the operator's file and waits until the log holds these words.
fn reload(fixture: &mut Fixture, operator_config: &str, log_words: &str) {
    fixture
        .broker
        .replace_operator_config(operator_config)
        .unwrap();
    fixture.broker.signal("HUP").unwrap();
    fixture.broker.wait_for_log(log_words).unwrap();
}

/// What waits for a restart is logged.
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
    for (operator_config, log_words) in [
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
        reload(&mut fixture, operator_config, log_words);
        assert_eq!(stream_limit(&fixture), 7, "{operator_config}");
    }
}
