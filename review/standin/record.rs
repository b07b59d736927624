//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case, in milliseconds.
pub struct Record {
    start: Instant,
    output: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path, start: Instant) -> std::io::Result<Self> {
        let output = Mutex::new(File::create(path)?);
        Ok(Record { start, output })
    }

    /// Writes a line for something that happened at `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let elapsed = at.saturating_duration_since(self.start).as_secs_f64() * 1000.0;
        let mut output = self.output.lock().unwrap();
        let _ = writeln!(output, "{elapsed:10.1} {text}");
    }

    /// Writes a line for something that happens now.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }
}
