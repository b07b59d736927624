//! A broker as a process of its own, beside a fleet.

mod error;
mod log;
mod resource_usage;

pub use error::BrokerProcessError;

use crate::wire::{CONFIG_VARIABLE, DISCOVERY_VARIABLE, LISTEN_VARIABLE};
use crate::{Deployment, Fleet};
use log::ProcessLog;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for the end of the process; a slow machine needs far less.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the end of the process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Words of the log line with the address of the HTTP/1.1 listener: the event's name, and the one
/// that earlier builds gave it, so that `bench` can measure such a build too.
const HTTP1_LISTENER_STARTED: [&str; 2] = ["event=broker_started ", "event=started "];
/// Words of the log line with the address of the HTTP/2 listener, in this and in earlier builds.
const HTTP2_LISTENER_STARTED: [&str; 2] = ["event=http2_listener_started ", "event=started_http2 "];
/// Setting of the operator's file that opens the HTTP/2 listener.
const HTTP2_LISTENER_SETTING: &str = "listen-http2";
/// Name of the file with the platform's configuration.
const PLATFORM_FILE: &str = "config.json";
/// Name of the operator's file.
const OPERATOR_FILE: &str = "query-broker.conf";

/// A running broker. When it is dropped, the process is killed and its files are removed.
pub struct BrokerProcess {
    process: ProcessWithFiles,
    log: ProcessLog,
    /// The address on which it listens for HTTP/1.1.
    pub http1: SocketAddr,
    /// The address on which it listens for HTTP/2, if it does.
    pub http2: Option<SocketAddr>,
}

impl BrokerProcess {
    /// Starts a broker from its executable, with an operator's file of this text, and waits until
    /// it listens.
    ///
    /// # Errors
    ///
    /// If its files cannot be written, or the process does not start and listen in time.
    pub fn start(
        executable: &Path,
        deployment: Deployment,
        fleet: &Fleet,
        operator_config: &str,
    ) -> Result<BrokerProcess, BrokerProcessError> {
        let directory = create_directory()?;
        let configuration = deployment.configuration(fleet, "127.0.0.1:0");
        std::fs::write(directory.join(PLATFORM_FILE), configuration.to_string())?;
        std::fs::write(directory.join(OPERATOR_FILE), operator_config)?;
        let mut child = spawn_broker(executable, &directory)?;
        let mut log = ProcessLog::read(child.stderr.take());
        let process = ProcessWithFiles { child, directory };
        let http1 = log.wait_for_listener(&HTTP1_LISTENER_STARTED)?;
        let http2 = if operator_config.contains(HTTP2_LISTENER_SETTING) {
            Some(log.wait_for_listener(&HTTP2_LISTENER_STARTED)?)
        } else {
            None
        };
        Ok(BrokerProcess {
            process,
            log,
            http1,
            http2,
        })
    }

    /// Waits for a line of the log that holds these words. The lines before it are kept for
    /// [`BrokerProcess::log_lines`].
    ///
    /// # Errors
    ///
    /// If no such line comes in time.
    pub fn wait_for_log(&mut self, words: &str) -> Result<String, BrokerProcessError> {
        self.log.wait_for(&[words])
    }

    /// All lines of the log so far.
    pub fn log_lines(&mut self) -> &VecDeque<String> {
        self.log.lines()
    }

    /// Sends a signal by its name.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<(), BrokerProcessError> {
        let status = Command::new("sh")
            .args(["-c", &format!("kill -s {name} {}", self.process.id())])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(BrokerProcessError::SignalNotSent(status))
        }
    }

    /// Replaces the operator's file as editors do: a new file is moved over it.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn replace_operator_config(&self, text: &str) -> Result<(), BrokerProcessError> {
        let new = self.process.directory.join("new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.process.directory.join(OPERATOR_FILE))?;
        Ok(())
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// If it does not end in time.
    pub fn wait_for_exit(&mut self) -> Result<ExitStatus, BrokerProcessError> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = self.process.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(BrokerProcessError::StillRunning);
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// The processor time that the process has used, in user and system mode. Its resolution is a
    /// hundredth of a second.
    ///
    /// # Errors
    ///
    /// If the entry of the process in `/proc` cannot be read.
    pub fn cpu_time(&self) -> Result<Duration, BrokerProcessError> {
        Ok(resource_usage::cpu_time(self.process.id())?)
    }

    /// The resident memory of the process, in bytes.
    ///
    /// # Errors
    ///
    /// If the entry of the process in `/proc` cannot be read.
    pub fn resident_memory(&self) -> Result<u64, BrokerProcessError> {
        Ok(resource_usage::resident_memory(self.process.id())?)
    }
}

/// Creates a directory for the files of one process.
fn create_directory() -> io::Result<PathBuf> {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("query-broker-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

fn spawn_broker(executable: &Path, directory: &Path) -> io::Result<Child> {
    Command::new(executable)
        .args(["serve", "--config"])
        .arg(directory.join(OPERATOR_FILE))
        .env(CONFIG_VARIABLE, directory.join(PLATFORM_FILE))
        .env_remove(LISTEN_VARIABLE)
        .env_remove(DISCOVERY_VARIABLE)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
}

/// The process and the directory with its files.
struct ProcessWithFiles {
    child: Child,
    directory: PathBuf,
}

impl ProcessWithFiles {
    fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for ProcessWithFiles {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
