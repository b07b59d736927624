//! The typed form of a scenario's script.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// A script, parsed whole before anything of it runs.
#[derive(Debug)]
pub(crate) struct Script {
    /// The script's file, for messages.
    pub(crate) file: String,
    /// What the broker is started with.
    pub(crate) settings: Settings,
    /// The steps, in their order.
    pub(crate) steps: Vec<ScriptStep>,
}

/// What differs in the broker's configuration from scenario to scenario.
#[derive(Debug)]
pub(crate) struct Settings {
    /// Data servers, each of which holds all four shards.
    pub(crate) servers: usize,
    /// Most queries and parts in flight.
    pub(crate) max_open: Option<u64>,
    /// Most file descriptors.
    pub(crate) max_sockets: Option<u64>,
    /// Further settings.
    pub(crate) overrides: Vec<SettingOverride>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            servers: 1,
            max_open: None,
            max_sockets: None,
            overrides: Vec::new(),
        }
    }
}

/// One of the settings.
#[derive(Debug)]
pub(crate) enum Setting {
    Servers(usize),
    MaxOpen(u64),
    MaxSockets(u64),
    Override(SettingOverride),
}

impl Settings {
    pub(crate) fn apply(&mut self, setting: Setting) {
        match setting {
            Setting::Servers(count) => self.servers = count,
            Setting::MaxOpen(count) => self.max_open = Some(count),
            Setting::MaxSockets(count) => self.max_sockets = Some(count),
            Setting::Override(setting) => self.overrides.push(setting),
        }
    }
}

/// One setting that is replaced.
#[derive(Debug)]
pub(crate) struct SettingOverride {
    /// The setting's place, as a JSON pointer (RFC 6901).
    pub(crate) pointer: String,
    /// Its value.
    pub(crate) value: serde_json::Value,
}

/// A step with its place in the script.
#[derive(Debug)]
pub(crate) struct ScriptStep {
    /// The line's number, from 1.
    pub(crate) line: usize,
    /// The line as it is written.
    pub(crate) text: String,
    /// What it asks for.
    pub(crate) step: Step,
}

/// Something that the runner does or waits for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// A client sends a query.
    SendQuery(ConnectionName, Query),
    /// A peer sends these bytes.
    SendRaw(ConnectionName, Vec<u8>),
    /// A data server ends an attempt at a part.
    SendPartOutcome {
        server: ConnectionName,
        part: String,
        outcome: PartOutcome,
    },
    /// Discovery sends a list of endpoints.
    SendEndpoints(ConnectionName, EndpointUpdate),
    /// So many clients send a query each and wait.
    StartBusyClients(usize),
    /// Connections to this server do not come up from now on.
    DelayConnections(usize),
    /// They come up, when the system tries them again.
    AcceptDelayed(usize),
    /// The platform's configuration file is replaced.
    ReplaceConfig(NewConfig),
    /// A peer closes its connection.
    Close(ConnectionName),
    /// A peer resets its connection.
    Reset(ConnectionName),
    /// The broker is sent a signal, by its name.
    Signal(String),
    /// Something that has to happen.
    Expect(Expectation),
    /// The step takes no longer than the limit.
    Within { limit: Duration, step: Box<Step> },
}

/// Something that has to happen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Expectation {
    /// A client is answered with this status, and the response holds these words.
    Response {
        client: ConnectionName,
        status: u16,
        words: Vec<String>,
    },
    /// One call of these parts.
    Call {
        server: ConnectionName,
        parts: Vec<String>,
    },
    /// One call of this part, whose time left is no more than this many milliseconds.
    CallWithTimeLeft {
        server: ConnectionName,
        part: String,
        at_most_ms: u64,
    },
    /// An attempt at this part is cancelled.
    Cancel {
        server: ConnectionName,
        part: String,
    },
    /// Discovery is asked for what changed since this revision.
    Watch {
        discovery: ConnectionName,
        revision: u64,
    },
    /// Discovery is asked for the whole list.
    FullList(ConnectionName),
    /// The broker is connecting to one of these servers, and the connection has not come up.
    Connecting(Vec<usize>),
    /// A line of the broker's log holds these words.
    LogLine(Vec<String>),
    /// The broker closes a connection, with nothing more sent on it.
    Closed(ConnectionName),
    /// The broker closes a connection, with no reset behind its end.
    ClosedWithoutReset(ConnectionName),
    /// The broker accepts no more connections.
    NotListening,
    /// The broker's process ends with success.
    Exit,
}

/// A query of a client, as it is written: some are invalid on purpose.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Query {
    pub(crate) id: String,
    pub(crate) class: String,
    /// The shards; each has an even portion.
    pub(crate) shards: Vec<u64>,
    /// The text of the deadline's field.
    pub(crate) deadline: String,
}

/// How a data server ends an attempt at a part.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PartOutcome {
    /// It has the part's value.
    Value(String),
    /// The attempt failed.
    Error,
    /// The server is overloaded and has not begun the attempt.
    Overloaded,
}

/// What discovery sends.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointUpdate {
    pub(crate) revision: u64,
    /// Whether these are all endpoints, or those that changed.
    pub(crate) is_full: bool,
    pub(crate) endpoints: Vec<ListedEndpoint>,
}

/// A data server on discovery's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListedEndpoint {
    pub(crate) server: usize,
    pub(crate) state: EndpointState,
}

/// The state of a data server on discovery's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndpointState {
    Active,
    Draining,
    Removed,
}

/// What the configuration file is replaced by.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NewConfig {
    /// The same, but for the address of discovery.
    Discovery(DiscoveryName),
    /// This text.
    Text(String),
}

/// Who is at the other end of a connection of the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PeerName {
    /// A client that a script names.
    Client(usize),
    /// One of those that [`Step::StartBusyClients`] starts.
    BusyClient(usize),
    /// A data server.
    Server(usize),
    /// The data server that is connected to next.
    AnyServer,
    /// A discovery.
    Discovery(DiscoveryName),
}

/// One of the two discoveries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DiscoveryName {
    /// The one that the broker is started with.
    First,
    /// The one to which a reload may move it.
    Second,
}

/// A connection of the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionName {
    /// The other end.
    pub(crate) peer: PeerName,
    /// Which of the connections to it, from 1.
    pub(crate) number: usize,
}

impl Display for ConnectionName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.peer {
            PeerName::Client(n) => write!(f, "c{n}")?,
            PeerName::BusyClient(n) => write!(f, "busy{n}")?,
            PeerName::Server(n) => write!(f, "s{n}")?,
            PeerName::AnyServer => write!(f, "any")?,
            PeerName::Discovery(DiscoveryName::First) => write!(f, "d")?,
            PeerName::Discovery(DiscoveryName::Second) => write!(f, "e")?,
        }
        if self.number > 1 {
            write!(f, ".{}", self.number)?;
        }
        Ok(())
    }
}
