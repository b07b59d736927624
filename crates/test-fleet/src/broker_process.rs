//! A broker that runs as a separate process and uses the services of a fleet.

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

/// Maximum wait for the process to exit. It is far longer than a slow machine needs.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the exit of the process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Texts that identify the log line with the address of the HTTP/1.1 listener: the current name of
/// the event, and its name in earlier builds. `bench` can measure such a build for comparison.
const HTTP1_LISTENER_EVENTS: [&str; 2] = ["event=broker_started ", "event=started "];
/// Texts that identify the log line with the address of the HTTP/2 listener: the current name of
/// the event, and its name in earlier builds.
const HTTP2_LISTENER_EVENTS: [&str; 2] = ["event=http2_listener_started ", "event=started_http2 "];
/// Setting of the operator's file that opens the HTTP/2 listener.
const HTTP2_LISTENER_SETTING: &str = "listen-http2";
/// Name of the platform file.
const PLATFORM_FILE: &str = "config.json";
/// Name of the operator's file.
const OPERATOR_FILE: &str = "query-broker.conf";

/// A running broker process. Dropping it kills the process and removes its files.
pub struct BrokerProcess {
    process: ProcessWithFiles,
    log: ProcessLog,
    /// Address of the HTTP/1.1 listener.
    pub http1: SocketAddr,
    /// Address of the HTTP/2 listener; `None` if the operator's file does not configure it.
    pub http2: Option<SocketAddr>,
}

impl BrokerProcess {
    /// Starts the broker `executable` with the configuration of `deployment` for `fleet` and with
    /// an operator's file that contains `operator_config`. Waits until all listeners are open.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be written, if the process cannot be started, or if
    /// its log does not report the address of each listener within 30 seconds.
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
        let http1 = log.wait_for_listener(&HTTP1_LISTENER_EVENTS)?;
        let http2 = if operator_config.contains(HTTP2_LISTENER_SETTING) {
            Some(log.wait_for_listener(&HTTP2_LISTENER_EVENTS)?)
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

    /// Waits for the next log line that contains `text`, and returns it. Lines that an earlier call
    /// returned or skipped are not searched again; [`BrokerProcess::log_lines`] returns them.
    ///
    /// # Errors
    ///
    /// Returns an error if the log ends or 30 seconds pass without such a line.
    pub fn wait_for_log(&mut self, text: &str) -> Result<String, BrokerProcessError> {
        self.log.wait_for(&[text])
    }

    /// Returns all log lines that have arrived so far. A later [`BrokerProcess::wait_for_log`] does
    /// not search them.
    pub fn log_lines(&mut self) -> &VecDeque<String> {
        self.log.lines()
    }

    /// Sends a signal to the process. `name` is the name without its prefix, for example `TERM`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<(), BrokerProcessError> {
        let status = Command::new("sh")
            .args(["-c", &format!("kill -s {name} {}", self.process.id())])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(BrokerProcessError::SignalNotSent {
                signal: name.to_owned(),
                process_id: self.process.id(),
                status,
            })
        }
    }

    /// Replaces the operator's file by one that contains `text`. As editors do, it writes a new
    /// file and renames it over the old one, so the broker never reads a partly written file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or renamed.
    pub fn replace_operator_config(&self, text: &str) -> Result<(), BrokerProcessError> {
        let new = self.process.directory.join("new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.process.directory.join(OPERATOR_FILE))?;
        Ok(())
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is still running after 30 seconds.
    pub fn wait_for_exit(&mut self) -> Result<ExitStatus, BrokerProcessError> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = self.process.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(BrokerProcessError::StillRunning {
                    process_id: self.process.id(),
                    waited: EXIT_TIMEOUT,
                });
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Returns the processor time that the process has used in user and system mode. The resolution
    /// is 10 ms.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry of the process in `/proc` cannot be read.
    pub fn cpu_time(&self) -> Result<Duration, BrokerProcessError> {
        Ok(resource_usage::cpu_time(self.process.id())?)
    }

    /// Returns the resident memory of the process, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry of the process in `/proc` cannot be read.
    pub fn resident_memory(&self) -> Result<u64, BrokerProcessError> {
        Ok(resource_usage::resident_memory(self.process.id())?)
    }
}

/// Creates a temporary directory for the files of one broker process.
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

/// A child process and the directory with its files. Dropping it kills the process and removes the
/// directory.
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
