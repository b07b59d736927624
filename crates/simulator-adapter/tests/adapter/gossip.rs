//! Gossip between aggregators.

use crate::script::{Script, begin_batch, launch, of_type, part, query, start};
use serde_json::Value;

/// The launch of an instance that may exchange gossip.
fn launch_with_gossip() -> String {
    launch(4).replace("\"Cancel\":true", "\"Cancel\":true,\"Peers\":true")
}

/// The messages that start an instance that may exchange gossip.
fn start_with_gossip() -> Vec<String> {
    let mut messages = start();
    messages[0] = launch_with_gossip();
    messages
}

/// Gossip from instance 1 with these contents.
fn gossip(contents: &str) -> String {
    format!(r#"{{"t":"Memo","I":4,"Who":1,"Contents":"{contents}"}}"#)
}

/// The first gossip message that the adapter sends.
fn sent_gossip(script: &Script) -> Option<Value> {
    let messages = script.messages();
    of_type(&messages, "WritePeer").first().copied().cloned()
}

#[test]
fn gossip_is_written_and_read_as_hexadecimal_digits() {
    let work = [query("t/q", 1), part("t/p", 1)];
    let script = Script::default()
        .batch(1, 100.0, &start_with_gossip())
        .batch(2, 105.0, &work);
    let sent = sent_gossip(&script).expect("work in flight is reported");
    assert_eq!(sent["Dst"], "all");
    let contents = sent["Contents"].as_str().unwrap();
    let is_hexadecimal = contents.chars().all(|c| c.is_ascii_hexdigit());
    assert!(contents.len() == 6 && is_hexadecimal, "{contents}");

    // Malformed contents are dropped.
    let mut second_batch = vec![gossip("abc"), gossip("xyzxyz"), gossip(contents)];
    second_batch.extend(work.clone());
    let script = Script::default()
        .batch(1, 100.0, &start_with_gossip())
        .batch(2, 105.0, &second_batch)
        .batch(3, 110.0, &[]);
    assert!(sent_gossip(&script).is_some());

    // An instance that may not exchange gossip sends none.
    let mut second_batch = vec![gossip(contents)];
    second_batch.extend(work);
    let script = Script::default()
        .batch(1, 100.0, &start())
        .batch(2, 105.0, &second_batch);
    assert!(sent_gossip(&script).is_none());
}

#[test]
fn gossip_without_contents_is_an_error() {
    let without_contents = r#"{"t":"Memo","I":4,"Who":1}"#;
    let begin = begin_batch(1, 100.0);
    let run = Script::of_lines(&[&begin, &launch_with_gossip(), without_contents]).run();
    let errors = run.errors();
    assert!(!run.output.status.success(), "{errors}");
    assert!(
        errors.contains("Memo") && errors.contains("Contents"),
        "{errors}"
    );
}
