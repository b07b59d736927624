//! Changes a field of a message, and checks whether the adapter accepts or refuses the message.

use crate::script::{Script, start_instance};
use serde_json::Value;

/// Runs the adapter with one batch that starts instance 4 and ends with `message`. Returns the
/// messages that the adapter writes or, if it fails, its error.
pub fn run_with_message(message: &str) -> Result<Vec<Value>, String> {
    let mut messages = start_instance();
    messages.push(message.to_owned());
    let script = Script::default().batch(1, 100.0, &messages);
    let run = script.run();
    if run.output.status.success() {
        return Ok(script.messages());
    }
    assert_eq!(run.output.status.code(), Some(1), "{}", run.errors());
    Err(run.errors().trim_end().to_owned())
}

/// Checks that the adapter accepts a message, and returns the messages that it writes.
pub fn assert_accepted(message: &str) -> Vec<Value> {
    run_with_message(message)
        .unwrap_or_else(|error| panic!("the adapter must accept {message}, found: {error}"))
}

/// Checks that the adapter refuses a message, and that `text` is all that its error says after the
/// line and the batch. The message is in line 5 of the input: the beginning of the batch and the
/// three messages that start the instance come before it.
pub fn assert_refused(message: &str, text: &str) {
    let error = run_with_message(message).expect_err(&format!(
        "the adapter must refuse {message}, found its output"
    ));
    assert_eq!(
        error,
        format!("simulator-adapter: line 5, batch 1: {text}"),
        "{message}"
    );
}

/// Returns the message with a field set to `value` or, if that is `None`, removed. In a declared
/// endpoint list, the field is that of the first entry, unless the list itself has it.
pub fn with_field(message: &str, field: &str, value: Option<&Value>) -> String {
    let mut message: Value = serde_json::from_str(&message.replace('\n', "")).unwrap();
    let fields = match message.pointer_mut("/MembersList/0") {
        Some(entry) if field != "Slot" && field != "MembersList" => entry,
        _ => &mut message,
    };
    match value {
        Some(value) => fields[field] = value.clone(),
        None => drop(fields.as_object_mut().unwrap().remove(field)),
    }
    message.to_string()
}

/// Returns a gossip message from aggregator 1 to instance 4.
pub fn gossip() -> String {
    r#"{"t":"Memo","I":4,"Who":1,"Contents":"00"}"#.to_owned()
}
