//! The log of a broker process, read line by line.

use super::error::BrokerProcessError;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::ChildStderr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a line of the log; a slow machine needs far less.
const LINE_TIMEOUT: Duration = Duration::from_secs(30);

/// The log of the process, read by a thread of its own.
pub(super) struct ProcessLog {
    incoming: Receiver<String>,
    lines: VecDeque<String>,
}

impl ProcessLog {
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

    /// All lines so far.
    pub(super) fn lines(&mut self) -> &VecDeque<String> {
        self.lines.extend(self.incoming.try_iter());
        &self.lines
    }

    /// Waits for a line that holds one of these texts.
    pub(super) fn wait_for(&mut self, texts: &[&str]) -> Result<String, BrokerProcessError> {
        let deadline = Instant::now() + LINE_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.incoming.recv_timeout(remaining) else {
                return Err(BrokerProcessError::LogLineMissing {
                    words: texts.join(" or "),
                    seen: self.lines.clone(),
                });
            };
            self.lines.push_back(line.clone());
            if texts.iter().any(|text| line.contains(text)) {
                return Ok(line);
            }
        }
    }

    /// Waits for a line that holds one of these texts, and returns the address of the listener in
    /// it.
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

fn forward_lines(stderr: ChildStderr, sender: &Sender<String>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if sender.send(line).is_err() {
            return;
        }
    }
}
