//! The process of the program, with its configuration file and its log.

use crate::WAIT_TIMEOUT;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Time between two checks of whether the process has exited.
const EXIT_POLL: Duration = Duration::from_millis(5);

/// A running broker. When it is dropped, its process is killed and its configuration file removed.
pub(crate) struct BrokerProcess {
    child: Child,
    /// Lines of the log as they arrive.
    log: Receiver<String>,
    /// Lines of the log that a wait has already read.
    lines_read: VecDeque<String>,
    /// Address at which clients connect.
    address: SocketAddr,
    /// Path of the configuration file.
    file: PathBuf,
    /// The configuration at the start, with the address of discovery that
    /// [`Self::replace_discovery`] has set last.
    config: Value,
}

impl BrokerProcess {
    /// Writes `config` to a file, starts the program with it, and waits until the program listens.
    /// At the start, the environment variable `RELAY_DISCOVERY` overrides the address of discovery
    /// in the file with `discovery`. At a reload the program ignores the variable and uses the
    /// address in the file, which [`Self::replace_discovery`] can change.
    pub(crate) fn start(config: Value, discovery: SocketAddr) -> Self {
        let file = std::env::temp_dir().join(format!(
            "query-broker-{}-{discovery}.json",
            std::process::id()
        ));
        std::fs::write(&file, config.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_query-broker"))
            .env("RELAY_CONFIG", &file)
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN")
            .env("RELAY_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut broker = BrokerProcess {
            log: read_lines(&mut child),
            child,
            lines_read: VecDeque::new(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            file,
            config,
        };
        broker.address = broker.wait_until_started();
        broker
    }

    /// Waits for the log event `broker_started`, and returns the address in its field `listen`.
    fn wait_until_started(&mut self) -> SocketAddr {
        self.expect_log_line(&["event=broker_started"]);
        let line = self.lines_read.back().expect("a line was just read");
        line.split(' ')
            .find_map(|pair| pair.strip_prefix("listen="))
            .and_then(|address| address.parse().ok())
            .unwrap_or_else(|| panic!("expected a field listen=ADDRESS in {line:?}"))
    }

    /// Opens a connection of a client.
    pub(crate) fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    /// Waits until the program accepts no more connections of clients.
    pub(crate) fn expect_not_listening(&self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while TcpStream::connect(self.address).is_ok() {
            assert!(
                Instant::now() < until,
                "expected the broker to refuse connections within {WAIT_TIMEOUT:?}"
            );
        }
    }

    /// Waits for a line of the log that contains all these words. Lines that an earlier wait has read
    /// are not searched again.
    pub(crate) fn expect_log_line<S: AsRef<str> + std::fmt::Debug>(&mut self, words: &[S]) {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let time_left = until.saturating_duration_since(Instant::now());
            let Ok(line) = self.log.recv_timeout(time_left) else {
                panic!(
                    "expected a log line with all of {words:?}, found {:?}",
                    self.lines_read
                )
            };
            self.lines_read.push_back(line.clone());
            if words.iter().all(|word| line.contains(word.as_ref())) {
                return;
            }
        }
    }

    /// Waits until the process exits, and checks that it does so with success.
    pub(crate) fn expect_exit(&mut self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return assert!(
                    status.success(),
                    "expected the broker to exit with success, found {status}"
                );
            }
            assert!(
                Instant::now() < until,
                "expected the broker to exit within {WAIT_TIMEOUT:?}, but it is running"
            );
            std::thread::sleep(EXIT_POLL);
        }
    }

    /// Sends the process a signal, given by its name without `SIG`.
    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -s {name} {}", self.child.id())])
            .status()
            .unwrap();
        assert!(
            sent.success(),
            "cannot send SIG{name} to the broker: kill ended with {sent}"
        );
    }

    /// Replaces the configuration file with one that has this address of discovery.
    pub(crate) fn replace_discovery(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = json!(discovery.to_string());
        self.replace_config_text(&self.config.to_string());
    }

    /// Replaces the text of the configuration file. As in deployments, a new file is written and moved
    /// over the old one.
    pub(crate) fn replace_config_text(&self, text: &str) {
        let new = self.file.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &self.file).unwrap();
    }
}

impl Drop for BrokerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts a thread that reads the log until the process exits, and returns its lines as they arrive.
fn read_lines(child: &mut Child) -> Receiver<String> {
    let (sender, receiver) = channel();
    let stderr = BufReader::new(child.stderr.take().expect("stderr is piped"));
    std::thread::spawn(move || {
        stderr
            .lines()
            .map_while(Result::ok)
            .try_for_each(|line| sender.send(line))
    });
    receiver
}
