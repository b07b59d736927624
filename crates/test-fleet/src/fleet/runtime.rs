//! The thread of a fleet, which runs discovery and the data servers and executes commands.

use super::{FleetPlan, ServerHandle};
use crate::attempt_log::AttemptLog;
use crate::discovery::{Discovery, Endpoint, EndpointState};
use crate::server::{Server, accept_connections, lock};
use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two measurements of the thread's lag, by which its timers fire late on a busy
/// machine. The check of a broker's attempts tolerates larger differences of time if the lag is
/// large.
const LAG_MEASUREMENT_INTERVAL: Duration = Duration::from_millis(10);

/// Command for the fleet's thread. Each contains the index of a server in [`Fleet::servers`].
///
/// [`Fleet::servers`]: super::Fleet::servers
pub(super) enum FleetCommand {
    /// Publish in the endpoint list that the server drains.
    Drain(usize),
    /// Close the server's listener and reset its connections.
    Kill(usize),
    /// Open the listener of a killed server again.
    Restart(usize),
}

/// A data server whose listener is open and does not accept connections yet.
pub(super) struct StartedServer {
    pub(super) handle: ServerHandle,
    pub(super) listener: TcpListener,
}

/// Discovery, the data servers and their executor. It stays on the fleet's thread.
pub(super) struct FleetRuntime {
    plan: FleetPlan,
    executor: Rc<LocalExecutor<'static>>,
    discovery: Rc<Discovery>,
    servers: Vec<RunningServer>,
    attempt_log: Arc<Mutex<AttemptLog>>,
}

/// A data server with its listener's task and the data of its endpoint.
struct RunningServer {
    server: Rc<Server>,
    cell: usize,
    address: SocketAddr,
    /// Task that accepts connections; `None` while the server is down.
    accept_task: Option<Task<()>>,
    /// Time of the last restart, in milliseconds since the Unix epoch; 0 if there was none.
    started_at_ms: u64,
}

impl FleetRuntime {
    /// Creates the data servers and publishes their endpoints. The servers accept connections only
    /// once [`FleetRuntime::run`] is called.
    pub(super) fn start(
        plan: FleetPlan,
        started_servers: Vec<StartedServer>,
        attempt_log: &Arc<Mutex<AttemptLog>>,
    ) -> Self {
        let mut runtime = FleetRuntime {
            plan,
            executor: Rc::new(LocalExecutor::new()),
            discovery: Discovery::new(),
            servers: Vec::new(),
            attempt_log: attempt_log.clone(),
        };
        for StartedServer { handle, listener } in started_servers {
            let server = Rc::new(Server::new(
                handle.name,
                handle.fault_injection,
                attempt_log.clone(),
            ));
            let accept_task = runtime.spawn_accept_task(&server, listener);
            runtime.servers.push(RunningServer {
                server,
                cell: runtime.servers.len() % plan.cells.max(1),
                address: handle.address,
                accept_task: Some(accept_task),
                started_at_ms: 0,
            });
        }
        for server in &runtime.servers {
            runtime
                .discovery
                .publish(server.endpoint(EndpointState::Active));
        }
        runtime
    }

    pub(super) fn endpoint_list(&self) -> Value {
        self.discovery.list(None)
    }

    /// Runs discovery and the data servers and executes commands, until the channel of the commands
    /// is closed.
    pub(super) fn run(
        mut self,
        discovery_listener: TcpListener,
        commands: &Receiver<FleetCommand>,
    ) {
        let executor = self.executor.clone();
        let discovery = self.discovery.clone();
        let _discovery_task =
            executor.spawn(discovery.accept_connections(discovery_listener, executor.clone()));
        let _lag_task = executor.spawn(measure_lag(self.attempt_log.clone()));
        async_io::block_on(executor.run(async {
            while let Ok(command) = commands.recv().await {
                self.execute(command).await;
            }
        }));
    }

    fn spawn_accept_task(&self, server: &Rc<Server>, listener: TcpListener) -> Task<()> {
        let accept = accept_connections(server.clone(), listener, self.executor.clone());
        self.executor.spawn(accept)
    }

    async fn execute(&mut self, command: FleetCommand) {
        match command {
            FleetCommand::Drain(number) => {
                if let Some(server) = self.servers.get(number) {
                    server
                        .server
                        .fault_injection()
                        .on_drain_published(Instant::now());
                    self.discovery
                        .publish(server.endpoint(EndpointState::Draining));
                }
            }
            FleetCommand::Kill(number) => {
                if let Some(server) = self.servers.get_mut(number) {
                    server.kill().await;
                }
            }
            FleetCommand::Restart(number) => self.restart(number),
        }
    }

    /// Restarts the server if it is down and its address can be bound again. Otherwise the command
    /// has no effect, is not reported to its sender and is not repeated.
    fn restart(&mut self, number: usize) {
        let Some(down) = self
            .servers
            .get(number)
            .filter(|server| server.accept_task.is_none())
        else {
            return;
        };
        // Binding fails only while the server's own earlier connections, which are being closed,
        // still occupy the address.
        let Ok(listener) = TcpListener::bind(down.address) else {
            return;
        };
        let accept_task = self.spawn_accept_task(&down.server, listener);
        let restarted = &mut self.servers[number];
        restarted.started_at_ms = unix_time_ms();
        restarted
            .server
            .fault_injection()
            .on_restart(Instant::now(), self.plan.warm_up_duration);
        restarted.accept_task = Some(accept_task);
        self.discovery
            .publish(restarted.endpoint(EndpointState::Active));
    }
}

impl RunningServer {
    fn endpoint(&self, state: EndpointState) -> Endpoint {
        Endpoint {
            name: self.server.name.clone(),
            address: self.address,
            cell: self.cell,
            state,
            started_at_ms: self.started_at_ms,
        }
    }

    async fn kill(&mut self) {
        if let Some(task) = self.accept_task.take() {
            task.cancel().await;
        }
        self.server.reset_connections();
    }
}

/// Measures repeatedly by how much a timer of this thread fires late, and records each lag, until the
/// task is dropped.
async fn measure_lag(attempt_log: Arc<Mutex<AttemptLog>>) {
    loop {
        let due = Instant::now() + LAG_MEASUREMENT_INTERVAL;
        Timer::at(due).await;
        lock(&attempt_log).record_lag(due.elapsed());
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
