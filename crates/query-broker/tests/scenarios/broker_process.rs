//! The program as a process, with its configuration's file and its log.

use crate::BOUND;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Pause between two looks at a process that is to end.
const EXIT_POLL: Duration = Duration::from_millis(5);

/// A running broker. Dropped, it is killed and its file is removed.
pub(crate) struct BrokerProcess {
    child: Child,
    log: Receiver<String>,
    /// Lines of the log that were read so far.
    seen: VecDeque<String>,
    /// Where clients connect.
    address: SocketAddr,
    file: PathBuf,
    config: Value,
}

impl BrokerProcess {
    /// Starts the program with this configuration and the discovery that its environment names, and
    /// waits until it listens.
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
            seen: VecDeque::new(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            file,
            config,
        };
        broker.address = broker.wait_until_started();
        broker
    }

    /// Waits for the line that says where the program listens.
    fn wait_until_started(&mut self) -> SocketAddr {
        self.expect_log_line(&["event=broker_started"]);
        let line = self.seen.back().expect("a line was just seen");
        line.split(' ')
            .find_map(|pair| pair.strip_prefix("listen="))
            .and_then(|address| address.parse().ok())
            .unwrap_or_else(|| panic!("no address in {line}"))
    }

    /// Connects as a client does.
    pub(crate) fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    /// Waits until no client can connect any more.
    pub(crate) fn expect_not_listening(&self) {
        let until = Instant::now() + BOUND;
        while TcpStream::connect(self.address).is_ok() {
            assert!(Instant::now() < until, "it still listens");
        }
    }

    /// Waits for a line of the log that holds these words.
    pub(crate) fn expect_log_line<S: AsRef<str> + std::fmt::Debug>(&mut self, words: &[S]) {
        let until = Instant::now() + BOUND;
        loop {
            let time_left = until.saturating_duration_since(Instant::now());
            let Ok(line) = self.log.recv_timeout(time_left) else {
                panic!(
                    "the log has no line with {words:?}; its lines are {:?}",
                    self.seen
                )
            };
            self.seen.push_back(line.clone());
            if words.iter().all(|word| line.contains(word.as_ref())) {
                return;
            }
        }
    }

    /// Waits until the process has ended, with success.
    pub(crate) fn expect_exit(&mut self) {
        let until = Instant::now() + BOUND;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return assert!(status.success(), "{status}");
            }
            assert!(Instant::now() < until, "the process did not exit in time");
            std::thread::sleep(EXIT_POLL);
        }
    }

    /// Sends a signal, by its name.
    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -s {name} {}", self.child.id())])
            .status()
            .unwrap();
        assert!(sent.success());
    }

    /// Replaces the configuration by one that names this discovery.
    pub(crate) fn replace_discovery(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = json!(discovery.to_string());
        self.replace_config_text(&self.config.to_string());
    }

    /// Replaces the configuration's text, as deployments do it: the new file is moved over the old
    /// one.
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

/// Reads the log on a thread of its own, until the process ends.
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
