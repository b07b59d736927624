//! Gossip between aggregators.

use crate::script::{Script, begin_batch, launch, messages_of_type, part, query, start_instance};
use serde_json::Value;

/// Returns the launch of instance 4 with settings that allow gossip.
fn launch_with_gossip() -> String {
    launch(4).replace("\"Cancel\":true", "\"Cancel\":true,\"Peers\":true")
}

/// Returns the messages that start instance 4 with settings that allow gossip.
fn start_with_gossip() -> Vec<String> {
    let mut messages = start_instance();
    messages[0] = launch_with_gossip();
    messages
}

/// Returns a gossip message from aggregator 1 to instance 4.
fn gossip(contents: &str) -> String {
    format!(r#"{{"t":"Memo","I":4,"Who":1,"Contents":"{contents}"}}"#)
}

/// Runs the script and returns the first gossip message that the adapter sends, if any.
fn sent_gossip(script: &Script) -> Option<Value> {
    let messages = script.messages();
    messages_of_type(&messages, "WritePeer")
        .first()
        .copied()
        .cloned()
}

#[test]
fn gossip_is_written_and_read_as_hexadecimal_digits() {
    let work = [query("t/q", 1), part("t/p", 1)];
    let script = Script::default()
        .batch(1, 100.0, &start_with_gossip())
        .batch(2, 105.0, &work);
    let sent = sent_gossip(&script).expect("gossip about the work in flight is sent");
    assert_eq!(sent["Dst"], "all");
    let contents = sent["Contents"].as_str().unwrap();
    let is_hexadecimal = contents.chars().all(|c| c.is_ascii_hexdigit());
    // The contents are one entry of three bytes, about the server that the part was sent to.
    assert!(
        contents.len() == 6 && is_hexadecimal,
        "expected six hexadecimal digits, found {contents:?}"
    );

    // A gossip message with malformed contents is dropped and does not end the run.
    let mut second_batch = vec![gossip("abc"), gossip("xyzxyz"), gossip(contents)];
    second_batch.extend(work.clone());
    let script = Script::default()
        .batch(1, 100.0, &start_with_gossip())
        .batch(2, 105.0, &second_batch)
        .batch(3, 110.0, &[]);
    assert!(sent_gossip(&script).is_some());

    // An instance whose settings do not allow gossip sends none, even after it has received some.
    let mut second_batch = vec![gossip(contents)];
    second_batch.extend(work);
    let script =
        Script::default()
            .batch(1, 100.0, &start_instance())
            .batch(2, 105.0, &second_batch);
    assert!(sent_gossip(&script).is_none());
}

#[test]
fn gossip_without_contents_is_an_error() {
    let without_contents = r#"{"t":"Memo","I":4,"Who":1}"#;
    let begin = begin_batch(1, 100.0);
    let run = Script::from_lines(&[&begin, &launch_with_gossip(), without_contents]).run();
    let errors = run.errors();
    assert!(!run.output.status.success(), "{errors}");
    assert!(
        errors.contains("Memo") && errors.contains("Contents"),
        "{errors}"
    );
}
