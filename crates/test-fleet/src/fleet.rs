//! A discovery service and some data servers, as tests see and control them.

mod runtime;

use crate::attempt_log::{AttemptLog, ReceivedCounts};
use crate::fault::{Fault, FaultInjection};
use crate::server::lock;
use async_channel::Sender;
use runtime::{FleetCommand, FleetRuntime, StartedServer};
use serde_json::Value;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

/// The size and speed of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// Number of data servers; they are assigned to the cells in rotation.
    pub servers: usize,
    /// Number of cells, each of which holds its own shards.
    pub cells: usize,
    /// How long a data server takes for a part.
    pub part_duration: Duration,
    /// How long a restarted data server warms up.
    pub warm_up_duration: Duration,
}

impl Default for FleetPlan {
    fn default() -> Self {
        FleetPlan {
            servers: 4,
            cells: 1,
            part_duration: Duration::from_millis(2),
            warm_up_duration: Duration::from_secs(10),
        }
    }
}

/// A discovery service and some data servers on a thread of their own. They end when the fleet is
/// dropped.
pub struct Fleet {
    /// The address on which discovery listens.
    pub(crate) discovery_address: SocketAddr,
    servers: Vec<ServerHandle>,
    attempt_log: Arc<Mutex<AttemptLog>>,
    commands: Sender<FleetCommand>,
    initial_endpoint_list: Value,
    thread: Option<JoinHandle<()>>,
}

/// Access to one data server from outside the fleet's thread.
#[derive(Clone)]
pub struct ServerHandle {
    /// The server's name.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    fault_injection: Arc<Mutex<FaultInjection>>,
}

impl Fleet {
    /// Starts a fleet on loopback.
    ///
    /// # Errors
    ///
    /// If the system grants no listener or thread.
    pub fn start(plan: FleetPlan) -> io::Result<Fleet> {
        let attempt_log = Arc::new(Mutex::new(AttemptLog::default()));
        let discovery_listener = listen_on_loopback()?;
        let discovery_address = discovery_listener.local_addr()?;
        let mut servers = Vec::new();
        let mut started_servers = Vec::new();
        for number in 0..plan.servers {
            let listener = listen_on_loopback()?;
            let handle = ServerHandle::new(number, &listener, plan)?;
            servers.push(handle.clone());
            started_servers.push(StartedServer { handle, listener });
        }
        let (commands, received_commands) = async_channel::unbounded();
        let (list_sender, initial_list) = mpsc::channel();
        let shared_log = attempt_log.clone();
        let thread = std::thread::Builder::new()
            .name("test-fleet".to_owned())
            .spawn(move || {
                let runtime = FleetRuntime::start(plan, started_servers, &shared_log);
                let _ = list_sender.send(runtime.endpoint_list());
                runtime.run(discovery_listener, &received_commands);
            })?;
        let initial_endpoint_list = initial_list.recv().map_err(io::Error::other)?;
        Ok(Fleet {
            discovery_address,
            servers,
            attempt_log,
            commands,
            initial_endpoint_list,
            thread: Some(thread),
        })
    }

    /// The data servers.
    #[must_use]
    pub fn servers(&self) -> &[ServerHandle] {
        &self.servers
    }

    /// The endpoint list as it was at the start, in discovery's format.
    pub(crate) fn initial_endpoint_list(&self) -> &Value {
        &self.initial_endpoint_list
    }

    /// Reads the log of the attempts that the data servers received.
    pub fn attempt_log<T>(&self, read: impl FnOnce(&AttemptLog) -> T) -> T {
        read(&lock(&self.attempt_log))
    }

    /// Number of parts and calls that the data servers received.
    #[must_use]
    pub fn received_counts(&self) -> ReceivedCounts {
        self.attempt_log(AttemptLog::counts)
    }

    /// Publishes that a server drains.
    ///
    /// # Panics
    ///
    /// If the fleet has no server of this number.
    pub fn drain(&self, server: usize) {
        assert!(server < self.servers.len(), "there is no server {server}");
        self.send(FleetCommand::Drain(server));
    }

    /// Ends a server's process: its connections are reset and new ones refused. The endpoint list
    /// does not change.
    ///
    /// # Panics
    ///
    /// If the fleet has no server of this number.
    pub fn kill(&self, server: usize) {
        self.servers[server].set_fault(Fault::Down);
        self.send(FleetCommand::Kill(server));
    }

    /// Restarts a killed server; it warms up, and the endpoint list says when it started.
    pub fn restart(&self, server: usize) {
        self.send(FleetCommand::Restart(server));
    }

    fn send(&self, command: FleetCommand) {
        let _ = self.commands.try_send(command);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.commands.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl ServerHandle {
    fn new(number: usize, listener: &TcpListener, plan: FleetPlan) -> io::Result<Self> {
        let fault_injection = FaultInjection::new(plan.part_duration);
        Ok(ServerHandle {
            name: format!("s{number}"),
            address: listener.local_addr()?,
            fault_injection: Arc::new(Mutex::new(fault_injection)),
        })
    }

    /// Sets the server's fault, or removes it with [`Fault::None`]. Use [`Fleet::kill`] to stop its
    /// process.
    pub fn set_fault(&self, fault: Fault) {
        self.change(|injection| injection.set_fault(fault));
    }

    /// Sets how long a part takes from now on.
    pub fn set_part_duration(&self, part_duration: Duration) {
        self.change(|injection| injection.set_part_duration(part_duration));
    }

    fn change(&self, change: impl FnOnce(&mut FaultInjection)) {
        change(&mut lock(&self.fault_injection));
    }
}

fn listen_on_loopback() -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}
