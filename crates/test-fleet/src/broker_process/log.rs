//! The log that a broker process writes to standard error.

use super::error::BrokerProcessError;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::ChildStderr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait for a log line. It is far longer than a slow machine needs.
const LINE_TIMEOUT: Duration = Duration::from_secs(30);

/// Log of a broker process. A thread reads its lines, so that the process never blocks on a full
/// pipe.
pub(super) struct ProcessLog {
    /// Lines that the thread has read and that are not in `lines` yet.
    incoming: Receiver<String>,
    lines: VecDeque<String>,
}

impl ProcessLog {
    /// Starts the thread that reads the log. Without `stderr` the log is empty.
    pub(super) fn read(stderr: Option<ChildStderr>) -> Self {
        let (sender, incoming) = channel();
        if let Some(stderr) = stderr {
            thread::spawn(move || forward_lines(stderr, &sender));
        }
        ProcessLog {
            incoming,
            lines: VecDeque::new(),
        }
    }

    /// Returns all lines that have arrived so far. A later `wait_for` does not search them.
    pub(super) fn lines(&mut self) -> &VecDeque<String> {
        self.lines.extend(self.incoming.try_iter());
        &self.lines
    }

    /// Waits for the next line that contains one of `texts`, and returns it. Lines that an earlier
    /// call received are not searched again.
    pub(super) fn wait_for(&mut self, texts: &[&str]) -> Result<String, BrokerProcessError> {
        let deadline = Instant::now() + LINE_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.incoming.recv_timeout(remaining) else {
                return Err(BrokerProcessError::LogLineMissing {
                    expected: quote(texts),
                    timeout: LINE_TIMEOUT,
                    lines: self.lines.clone(),
                });
            };
            self.lines.push_back(line.clone());
            if texts.iter().any(|text| line.contains(text)) {
                return Ok(line);
            }
        }
    }

    /// Waits for the next line that contains one of `texts`, and returns the address in its field
    /// `listen`.
    pub(super) fn wait_for_listener(
        &mut self,
        texts: &[&str],
    ) -> Result<SocketAddr, BrokerProcessError> {
        let line = self.wait_for(texts)?;
        let address = line
            .split(' ')
            .find_map(|pair| pair.strip_prefix("listen="));
        address
            .and_then(|address| address.parse().ok())
            .ok_or(BrokerProcessError::AddressMissing(line))
    }
}

/// Formats `texts` for an error message, as in `"a" or "b"`.
fn quote(texts: &[&str]) -> String {
    let quoted: Vec<String> = texts.iter().map(|text| format!("{text:?}")).collect();
    quoted.join(" or ")
}

/// Sends each line to the receiver, until the process closes its standard error or the receiver is
/// dropped.
fn forward_lines(stderr: ChildStderr, sender: &Sender<String>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if sender.send(line).is_err() {
            return;
        }
    }
}
