//! The running program and its peers, on which the steps of a script are run.

use crate::broker_process::BrokerProcess;
use crate::connection::Connection;
use crate::data_servers::{DataServer, outcome_frame};
use crate::discovery::{endpoint_entry, update_response};
use crate::script::{
    ConnectionName, DiscoveryName, EndpointState, NewConfig, PeerName, Settings, Step,
};
use crate::{clients, expectations};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

/// Maximum number of file descriptors if the script does not set another.
const DEFAULT_MAX_SOCKETS: u64 = 1024;

/// The running program, its data servers, two discoveries, and the peers' connections to the
/// program.
pub(crate) struct Testbed {
    pub(crate) broker: BrokerProcess,
    pub(crate) servers: Vec<DataServer>,
    first_discovery: TcpListener,
    second_discovery: TcpListener,
    connections: BTreeMap<ConnectionName, Connection>,
}

impl Testbed {
    /// Starts the listeners of the peers, and then the program.
    pub(crate) fn start(settings: &Settings) -> Self {
        let servers: Vec<DataServer> = (0..settings.servers).map(|_| DataServer::start()).collect();
        let first_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let second_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = configuration(settings, &addresses(&servers));
        Testbed {
            broker: BrokerProcess::start(config, first_discovery.local_addr().unwrap()),
            servers,
            first_discovery,
            second_discovery,
            connections: BTreeMap::new(),
        }
    }

    /// Runs a step. Panics if an expectation is not met or a time limit is exceeded.
    pub(crate) fn run(&mut self, step: &Step) {
        match step {
            Step::SendQuery(client, query) => {
                self.connection(*client).send(&clients::request(query));
            }
            Step::SendRaw(peer, bytes) => self.connection(*peer).send(bytes),
            Step::SendPartOutcome {
                server,
                part,
                outcome,
            } => self.connection(*server).send(&outcome_frame(part, outcome)),
            Step::SendEndpoints(discovery, update) => {
                let response = update_response(update, &addresses(&self.servers));
                self.connection(*discovery).send(response.as_bytes());
            }
            Step::StartBusyClients(count) => clients::start_busy_clients(self, *count),
            Step::DelayConnections(server) => self.servers[*server].delay_connections(),
            Step::AcceptDelayed(server) => self.servers[*server].accept_delayed(),
            Step::ReplaceConfig(config) => self.replace_config(config),
            Step::Close(peer) => drop(self.take_connection(*peer)),
            Step::Reset(peer) => self.take_connection(*peer).reset(),
            Step::Signal(name) => self.broker.signal(name),
            Step::Expect(expectation) => expectations::check(self, expectation),
            Step::Within { limit, step } => {
                let start = Instant::now();
                self.run(step);
                let elapsed = start.elapsed();
                assert!(
                    elapsed <= *limit,
                    "the step took {elapsed:?}, expected at most {limit:?}"
                );
            }
        }
    }

    /// Returns the connection with this name. On its first use it is opened: clients connect, and
    /// other peers accept a connection of the program.
    pub(crate) fn connection(&mut self, name: ConnectionName) -> &mut Connection {
        if !self.connections.contains_key(&name) {
            let connection = self.open(name.peer);
            self.connections.insert(name, connection);
        }
        self.connections
            .get_mut(&name)
            .expect("the connection has just been inserted")
    }

    /// Opens a new connection of a client, or accepts a new connection at another peer.
    fn open(&self, peer: PeerName) -> Connection {
        match peer {
            PeerName::Client(_) | PeerName::BusyClient(_) => Connection::new(self.broker.connect()),
            PeerName::Server(server) => Connection::accept(&[&self.servers[server].listener]),
            PeerName::AnyServer => {
                let listeners = self.servers.iter().map(|server| &server.listener);
                Connection::accept(&listeners.collect::<Vec<_>>())
            }
            PeerName::Discovery(name) => Connection::accept(&[self.discovery(name)]),
        }
    }

    /// Removes the connection with this name, and returns it.
    fn take_connection(&mut self, name: ConnectionName) -> Connection {
        self.connections
            .remove(&name)
            .unwrap_or_else(|| panic!("{name} has no open connection"))
    }

    /// Returns the listener of a discovery.
    fn discovery(&self, name: DiscoveryName) -> &TcpListener {
        match name {
            DiscoveryName::First => &self.first_discovery,
            DiscoveryName::Second => &self.second_discovery,
        }
    }

    fn replace_config(&mut self, config: &NewConfig) {
        match config {
            NewConfig::Discovery(name) => {
                let address = self.discovery(*name).local_addr().unwrap();
                self.broker.replace_discovery(address);
            }
            NewConfig::Text(text) => self.broker.replace_config_text(text),
        }
    }
}

/// Returns the addresses of the data servers, in the order of their numbers.
fn addresses(servers: &[DataServer]) -> Vec<SocketAddr> {
    servers
        .iter()
        .map(|server| server.listener.local_addr().unwrap())
        .collect()
}

/// Returns the program's configuration. Its address of discovery is one at which nothing listens: at
/// the start, the address in the environment overrides it.
fn configuration(settings: &Settings, addresses: &[SocketAddr]) -> Value {
    let endpoints: Vec<Value> = addresses
        .iter()
        .enumerate()
        .map(|(server, address)| endpoint_entry(server, *address, EndpointState::Active))
        .collect();
    let text = include_str!("../../../broker-types/tests/settings.json");
    let mut policy: Value = serde_json::from_str(text).unwrap();
    if let Some(max_in_flight) = settings.max_in_flight {
        policy["Allowed"]["MaxOpen"] = json!(max_in_flight);
    }
    for setting in &settings.overrides {
        let place = policy.pointer_mut(&setting.pointer);
        *place.unwrap_or_else(|| panic!("the settings have no value at {}", setting.pointer)) =
            setting.value.clone();
    }
    let max_sockets = settings.max_sockets.unwrap_or(DEFAULT_MAX_SOCKETS);
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": {"sockets": max_sockets}, "settings": policy,
        "known": {"rev": 1, "all": true, "targets": endpoints}})
}
