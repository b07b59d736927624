//! The typed form of a script, as the parser returns it.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// A parsed script.
#[derive(Debug)]
pub(crate) struct Script {
    /// Path of the script, for messages.
    pub(crate) file: String,
    /// Settings with which the program and its peers are started.
    pub(crate) settings: Settings,
    /// The steps, in the order in which they are run.
    pub(crate) steps: Vec<ScriptStep>,
}

/// The settings of a script: the number of data servers, and the values of the broker's configuration
/// that differ from the default of all scripts.
#[derive(Debug)]
pub(crate) struct Settings {
    /// Number of data servers, each of which holds all four shards.
    pub(crate) servers: usize,
    /// Maximum number of queries and parts in flight, counted together; `None` for the default.
    pub(crate) max_in_flight: Option<u64>,
    /// Maximum number of file descriptors; `None` for the default.
    pub(crate) max_sockets: Option<u64>,
    /// Values of the policy's settings that are replaced.
    pub(crate) overrides: Vec<SettingOverride>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            servers: 1,
            max_in_flight: None,
            max_sockets: None,
            overrides: Vec::new(),
        }
    }
}

/// A setting on a line of a script.
#[derive(Debug)]
pub(crate) enum Setting {
    Servers(usize),
    MaxInFlight(u64),
    MaxSockets(u64),
    Override(SettingOverride),
}

impl Settings {
    /// Applies the setting of a line.
    pub(crate) fn apply(&mut self, setting: Setting) {
        match setting {
            Setting::Servers(count) => self.servers = count,
            Setting::MaxInFlight(count) => self.max_in_flight = Some(count),
            Setting::MaxSockets(count) => self.max_sockets = Some(count),
            Setting::Override(setting) => self.overrides.push(setting),
        }
    }
}

/// A value of the policy's settings that is replaced.
#[derive(Debug)]
pub(crate) struct SettingOverride {
    /// Location of the value in the settings, as a JSON pointer (RFC 6901).
    pub(crate) pointer: String,
    /// The new value.
    pub(crate) value: serde_json::Value,
}

/// A step with its line in the script.
#[derive(Debug)]
pub(crate) struct ScriptStep {
    /// Number of the line, from 1.
    pub(crate) line: usize,
    /// Text of the line.
    pub(crate) text: String,
    /// The parsed step.
    pub(crate) step: Step,
}

/// A step of a script: an action of a peer, or an event that is waited for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// A client sends a query.
    SendQuery(ConnectionName, Query),
    /// A client, a data server or discovery sends these bytes.
    SendRaw(ConnectionName, Vec<u8>),
    /// A data server ends an attempt at a part.
    SendPartOutcome {
        server: ConnectionName,
        part: String,
        outcome: PartOutcome,
    },
    /// Discovery sends an update of the endpoint list.
    SendEndpoints(ConnectionName, EndpointUpdate),
    /// This number of clients connect, and each sends a query and waits for its response.
    StartBusyClients(usize),
    /// New connections to this data server are no longer established.
    DelayConnections(usize),
    /// Connections to this data server are established again. One that was requested during the
    /// delay is established when the kernel repeats the connection request (SYN), which it does one
    /// second after the first.
    AcceptDelayed(usize),
    /// The platform's configuration file is replaced.
    ReplaceConfig(NewConfig),
    /// A peer closes its connection.
    Close(ConnectionName),
    /// A peer resets its connection.
    Reset(ConnectionName),
    /// The broker is sent a signal, by its name.
    Signal(String),
    /// The runner waits for an event.
    Expect(Expectation),
    /// The runner runs a step, which must take no longer than the limit.
    Within { limit: Duration, step: Box<Step> },
}

/// An event that has to happen for the script to go on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Expectation {
    /// A client receives a response that has this status and contains these words.
    Response {
        client: ConnectionName,
        status: u16,
        words: Vec<String>,
    },
    /// A data server receives a call that has exactly these parts in this order.
    Call {
        server: ConnectionName,
        parts: Vec<String>,
    },
    /// A data server receives a call that has only this part, with a time left (for which the broker
    /// waits for the response) of at most `at_most_ms` milliseconds.
    CallWithTimeLeft {
        server: ConnectionName,
        part: String,
        at_most_ms: u64,
    },
    /// A data server receives the cancellation of an attempt at this part.
    Cancel {
        server: ConnectionName,
        part: String,
    },
    /// Discovery receives a request for the changes since this revision.
    Watch {
        discovery: ConnectionName,
        revision: u64,
    },
    /// Discovery receives a request for the full list.
    FullList(ConnectionName),
    /// The broker has requested a connection to one of these data servers, and it is not established
    /// yet.
    Connecting(Vec<usize>),
    /// The broker logs a line that contains all these words.
    LogLine(Vec<String>),
    /// The broker closes a connection, and earlier steps have consumed all bytes that it sent there.
    Closed(ConnectionName),
    /// The broker closes a connection without a reset, whatever it has sent before.
    ClosedWithoutReset(ConnectionName),
    /// The broker accepts no more connections.
    NotListening,
    /// The broker's process exits with success.
    Exit,
}

/// A query of a client, as the script gives it. Some scripts send invalid queries.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Query {
    pub(crate) id: String,
    pub(crate) class: String,
    /// The shards of the query. Each contributes the same share of the complete answer.
    pub(crate) shards: Vec<u64>,
    /// The value of the header `X-Deadline`: the time for which the client waits, such as `2500m` for
    /// 2500 milliseconds.
    pub(crate) deadline: String,
}

/// How a data server ends an attempt at a part.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PartOutcome {
    /// The server sends the part's value.
    Value(String),
    /// The server sends the part's value in a frame whose length is wrong: `length_error` bytes more
    /// than the frame has, or fewer if it is negative.
    ValueWithWrongLength { value: String, length_error: i64 },
    /// The server reports that the attempt failed.
    Error,
    /// The server reports that it is overloaded and has not begun the attempt.
    Overloaded,
}

/// An update of the endpoint list that discovery sends.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointUpdate {
    pub(crate) revision: u64,
    /// Whether the update has all endpoints, or only those that have changed.
    pub(crate) is_full: bool,
    pub(crate) endpoints: Vec<ListedEndpoint>,
}

/// A data server on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListedEndpoint {
    pub(crate) server: usize,
    pub(crate) state: EndpointState,
}

/// The state of a data server on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndpointState {
    Active,
    Draining,
    Removed,
}

/// The new contents of the configuration file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NewConfig {
    /// The old contents with the address of this discovery.
    Discovery(DiscoveryName),
    /// This text.
    Text(String),
}

/// The peer at the other end of a connection of the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PeerName {
    /// A client that is named in the script.
    Client(usize),
    /// A client that [`Step::StartBusyClients`] starts.
    BusyClient(usize),
    /// A data server.
    Server(usize),
    /// The data server to which the broker connects next, whichever it is.
    AnyServer,
    /// A discovery.
    Discovery(DiscoveryName),
}

/// One of the two discovery services of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DiscoveryName {
    /// The discovery that the broker is started with.
    First,
    /// Another discovery, which a reload of the configuration can name.
    Second,
}

/// The name of a connection of the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionName {
    /// The peer at the other end.
    pub(crate) peer: PeerName,
    /// Number of the connection among those of the peer, from 1.
    pub(crate) number: usize,
}

impl Display for ConnectionName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.peer {
            PeerName::Client(n) => write!(f, "c{n}")?,
            PeerName::BusyClient(n) => write!(f, "busy{n}")?,
            PeerName::Server(n) => write!(f, "s{n}")?,
            PeerName::AnyServer => write!(f, "any")?,
            PeerName::Discovery(DiscoveryName::First) => write!(f, "d1")?,
            PeerName::Discovery(DiscoveryName::Second) => write!(f, "d2")?,
        }
        if self.number > 1 {
            write!(f, ".{}", self.number)?;
        }
        Ok(())
    }
}
