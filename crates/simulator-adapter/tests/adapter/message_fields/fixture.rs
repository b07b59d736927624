//! Messages with a changed field, and what the adapter does with them.

use crate::script::{Script, start};
use serde_json::Value;

/// What the adapter does with a message at the end of a batch that has started instance 4.
pub fn run_with(message: &str) -> Result<Vec<Value>, String> {
    let mut messages = start();
    messages.push(message.to_owned());
    let script = Script::default().batch(1, 100.0, &messages);
    let run = script.run();
    if run.output.status.success() {
        return Ok(script.messages());
    }
    assert_eq!(run.output.status.code(), Some(1), "{}", run.errors());
    Err(run.errors().trim_end().to_owned())
}

pub fn accept(message: &str) -> Vec<Value> {
    run_with(message).unwrap_or_else(|error| panic!("{message}: {error}"))
}

/// Checks that a message is refused with this text after the place of the error.
pub fn refuse(message: &str, text: &str) {
    let error = run_with(message).expect_err(message);
    assert_eq!(error, format!("simulator-adapter: line 5, batch 1: {text}"));
}

/// The message with a field replaced or, without a value, removed.
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

pub fn gossip() -> String {
    r#"{"t":"Memo","I":4,"Who":1,"Contents":"00"}"#.to_owned()
}
