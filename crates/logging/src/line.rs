//! The text of a log line.

use serde_json::{Map, Value};
use std::fmt::{Debug, Write};
use tracing::Level;
use tracing::field::{Field, Visit};

/// Maximum length of a field's text, in bytes. A longer text is truncated, and an ellipsis is
/// appended.
const MAX_TEXT_BYTES: usize = 512;
/// Key under which [`Line::suppressed`] appears in the log.
const SUPPRESSED_KEY: &str = "left_out";
const ELLIPSIS: char = '\u{2026}';

/// The fields of an event or a span, in the order in which they were recorded.
#[derive(Default)]
pub(crate) struct Fields(Vec<(&'static str, Value)>);

impl Fields {
    /// Adds the fields of an enclosing span, except those whose keys are present already.
    pub(crate) fn add_missing(&mut self, span_fields: &Fields) {
        for (key, value) in &span_fields.0 {
            if !self.0.iter().any(|(present, _)| present == key) {
                self.0.push((key, value.clone()));
            }
        }
    }

    /// Sets the value of a field, which replaces an earlier value of the same field.
    fn set(&mut self, field: &Field, value: Value) {
        match self.0.iter_mut().find(|(key, _)| *key == field.name()) {
            Some((_, present)) => *present = value,
            None => self.0.push((field.name(), value)),
        }
    }

    fn set_text(&mut self, field: &Field, mut text: String) {
        if text.len() > MAX_TEXT_BYTES {
            text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
            text.push(ELLIPSIS);
        }
        self.set(field, Value::String(text));
    }
}

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.set_text(field, format!("{value:?}"));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.set_text(field, value.to_owned());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.set(field, value.into());
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.set(field, value.into());
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.set(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.set(field, value.into());
    }
}

/// The content of a log line.
pub(crate) struct Line<'a> {
    pub(crate) level: &'a Level,
    pub(crate) event: &'a str,
    pub(crate) fields: &'a Fields,
    /// Number of lines of this event that were left out since its last line.
    pub(crate) suppressed: u64,
}

impl Line<'_> {
    /// Returns the line as `key=value` pairs, with a line feed at the end.
    pub(crate) fn to_logfmt(&self) -> String {
        let mut line = format!("level={} event={}", level_name(*self.level), self.event);
        for (key, value) in &self.fields.0 {
            let text = match value {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            let _ = if is_safe_unquoted(&text) {
                write!(line, " {key}={text}")
            } else {
                write!(line, " {key}={text:?}")
            };
        }
        if self.suppressed > 0 {
            let _ = write!(line, " {SUPPRESSED_KEY}={}", self.suppressed);
        }
        line + "\n"
    }

    /// Returns the line as a JSON object, with a line feed at the end.
    pub(crate) fn to_json(&self) -> String {
        let mut object = Map::new();
        object.insert("level".into(), level_name(*self.level).into());
        object.insert("event".into(), self.event.into());
        for (key, value) in &self.fields.0 {
            object.insert((*key).to_owned(), value.clone());
        }
        if self.suppressed > 0 {
            object.insert(SUPPRESSED_KEY.into(), self.suppressed.into());
        }
        Value::Object(object).to_string() + "\n"
    }
}

/// Returns `true` if a text needs no quotes in logfmt. Any other text is quoted and escaped, so
/// that text from clients or servers cannot forge a field or a line.
fn is_safe_unquoted(text: &str) -> bool {
    let is_safe = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'=' | b'\\');
    !text.is_empty() && text.bytes().all(is_safe)
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::ERROR => "error",
        Level::WARN => "warn",
        Level::INFO => "info",
        Level::DEBUG => "debug",
        Level::TRACE => "trace",
    }
}
