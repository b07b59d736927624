//! SIGTERM: GOAWAY twice, what was taken is answered, the process ends.

use crate::rig::{lookup, rig, whole};
use futures_util::future::join_all;
use load_generator::raw_http2::{
    DATA, END_STREAM, GOAWAY, HEADERS, PING, RST_STREAM, RawHttp2Client, encode_frame,
    query_frames, response_status,
};
use std::time::Duration;

const ACK: u8 = 1;
const HIGHEST: u32 = 0x7fff_ffff;

#[test]
fn a_client_is_told_to_go_and_what_was_taken_is_answered() {
    let mut rig = rig(Duration::from_millis(300));
    let mut raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
    raw.send(&query_frames(1, "a"));
    rig.run(rig.attempts(1));
    rig.program.signal("TERM").unwrap();
    let first = raw.expect_frame(GOAWAY);
    assert_eq!((first.last_stream_id(), first.error_code()), (HIGHEST, 0));
    let ping = raw.expect_frame(PING);
    // What crosses the notice is served: it counts as taken.
    raw.send(&query_frames(3, "b"));
    raw.send(&encode_frame(PING, ACK, 0, &ping.payload));
    let mut answered = Vec::new();
    let mut last = None;
    while let Some(next) = raw.next_frame(Duration::from_secs(30)) {
        match next.frame_type {
            HEADERS => assert_eq!(response_status(&next), 200),
            DATA if next.flags & END_STREAM != 0 => answered.push(next.stream_id),
            GOAWAY => last = Some(next.last_stream_id()),
            _ => {}
        }
    }
    answered.sort_unstable();
    assert_eq!((answered, last), (vec![1, 3], Some(3)));
    assert!(rig.program.wait_for_exit().unwrap().success());
    rig.check_books();
}

/// A client that never confirms the notice is refused what it opens later, and does not keep the process.
#[test]
fn later_streams_are_refused_and_the_process_ends_in_time() {
    // Long enough that the first query is still being served when the second comes.
    let mut rig = rig(Duration::from_millis(1500));
    let mut raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
    raw.send(&query_frames(1, "a"));
    rig.run(rig.attempts(1));
    rig.program.signal("TERM").unwrap();
    assert_eq!(raw.expect_frame(GOAWAY).last_stream_id(), HIGHEST);
    // New connections are accepted for 600 ms; when they no longer are, new streams of old ones are refused too.
    rig.stops_listening();
    raw.send(&query_frames(3, "b"));
    let reset = raw.expect_frame(RST_STREAM);
    assert_eq!(
        (reset.stream_id, reset.error_code()),
        (3, 7),
        "REFUSED_STREAM"
    );
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
    raw.frames_until_close(Duration::from_secs(20));
    assert!(rig.program.wait_for_exit().unwrap().success());
    rig.fleet
        .attempt_log(|log| assert!(log.attempts().iter().all(|a| a.part_id.starts_with("a."))));
}

/// Idle clients, and ones that never said a word, do not keep the process either.
#[test]
fn idle_clients_do_not_keep_the_process() {
    let mut rig = rig(Duration::ZERO);
    let mut idle = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
    let mut silent = RawHttp2Client::connect(rig.program.http2.unwrap());
    let served = rig.run(async {
        let http2 = rig.connect().await;
        let asks: Vec<_> = (0..4).map(|n| lookup(&format!("q{n}"), &[n])).collect();
        let answers = join_all(asks.iter().map(|a| http2.send_query(a))).await;
        assert_eq!(answers[3], whole(&[3]));
        http2
    });
    rig.program.signal("TERM").unwrap();
    idle.frames_until_close(Duration::from_secs(20));
    silent.frames_until_close(Duration::from_secs(20));
    assert!(rig.program.wait_for_exit().unwrap().success());
    drop(served);
}

/// SIGHUP reads the operator's file anew: whole or not at all, and what waits for a restart is told.
#[test]
fn the_operators_file_is_read_anew_whole_or_not_at_all() {
    let mut rig = rig(Duration::ZERO);
    let streams = |rig: &crate::rig::Rig| {
        let mut raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
        let settings = raw.expect_frame(load_generator::raw_http2::SETTINGS);
        // Each setting has two bytes of name and four of value; 3 is SETTINGS_MAX_CONCURRENT_STREAMS.
        let setting = settings
            .payload
            .chunks(6)
            .find(|c| c[..2] == [0, 3])
            .unwrap();
        u32::from_be_bytes(setting[2..].try_into().unwrap())
    };
    assert_eq!(streams(&rig), 200);
    rig.program
        .replace_operator_config("listen-http2 127.0.0.1:0\nhttp2-streams 7\nlog-level debug\n")
        .unwrap();
    rig.program.signal("HUP").unwrap();
    rig.program
        .wait_for_log("event=operator_config_changed changed=log-level,http2-streams")
        .unwrap();
    assert_eq!(streams(&rig), 7);
    for (text, words) in [
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
        // An event has one line a second.
        std::thread::sleep(Duration::from_millis(1100));
        rig.program.replace_operator_config(text).unwrap();
        rig.program.signal("HUP").unwrap();
        rig.program.wait_for_log(words).unwrap();
        assert_eq!(streams(&rig), 7, "{text}");
    }
}
