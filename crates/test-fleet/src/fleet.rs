//! A discovery service and data servers on their own thread, and the handles with which tests
//! control them.

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

/// Size and speed of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// Number of data servers. They are assigned to the cells in rotation.
    pub servers: usize,
    /// Number of cells. Each cell holds shards that no other cell holds.
    pub cells: usize,
    /// Time that a data server takes for a part at full speed.
    pub part_duration: Duration,
    /// Duration of the warm-up of a restarted data server.
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

/// A discovery service and data servers on a thread of their own. Dropping the fleet stops them.
pub struct Fleet {
    /// Address on which discovery listens.
    pub(crate) discovery_address: SocketAddr,
    servers: Vec<ServerHandle>,
    attempt_log: Arc<Mutex<AttemptLog>>,
    commands: Sender<FleetCommand>,
    initial_endpoint_list: Value,
    thread: Option<JoinHandle<()>>,
}

/// Handle of one data server, for use by other threads than the fleet's.
#[derive(Clone)]
pub struct ServerHandle {
    /// Name of the server.
    pub name: String,
    /// Address on which the server listens.
    pub address: SocketAddr,
    fault_injection: Arc<Mutex<FaultInjection>>,
}

impl Fleet {
    /// Starts a fleet on loopback. Its listeners are open when the function returns.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be opened or the thread cannot be started.
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

    /// Returns the handles of the data servers.
    #[must_use]
    pub fn servers(&self) -> &[ServerHandle] {
        &self.servers
    }

    /// Returns the endpoint list from the start of the fleet, in the format of discovery.
    pub(crate) fn initial_endpoint_list(&self) -> &Value {
        &self.initial_endpoint_list
    }

    /// Calls `read` with the log of the attempts that the data servers received, and returns its
    /// result. The log is locked during the call.
    pub fn attempt_log<T>(&self, read: impl FnOnce(&AttemptLog) -> T) -> T {
        read(&lock(&self.attempt_log))
    }

    /// Returns the numbers of parts and calls that the data servers received.
    #[must_use]
    pub fn received_counts(&self) -> ReceivedCounts {
        self.attempt_log(AttemptLog::counts)
    }

    /// Publishes in the endpoint list that a server drains. `server` is the index of the server in
    /// [`Fleet::servers`].
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no server with this index.
    pub fn drain(&self, server: usize) {
        assert!(
            server < self.servers.len(),
            "expected the index of a server below {}, found {server}",
            self.servers.len()
        );
        self.send(FleetCommand::Drain(server));
    }

    /// Simulates the sudden end of a server's process: its connections are reset and new ones
    /// refused. The endpoint list does not change. `server` is the index of the server in
    /// [`Fleet::servers`].
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no server with this index.
    pub fn kill(&self, server: usize) {
        self.servers[server].set_fault(Fault::Down);
        self.send(FleetCommand::Kill(server));
    }

    /// Restarts a killed server, which then warms up. The endpoint list contains its new start
    /// time. `server` is the index of the server in [`Fleet::servers`].
    ///
    /// Has no effect on a server that is not down. Also has no effect if the server's address
    /// cannot be bound yet, because its earlier connections are still being closed.
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

    /// Sets the fault of the server; [`Fault::None`] removes it. Use [`Fleet::kill`] to stop the
    /// server.
    pub fn set_fault(&self, fault: Fault) {
        self.change(|injection| injection.set_fault(fault));
    }

    /// Sets the time that a part takes at full speed. It applies to parts that arrive later.
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
