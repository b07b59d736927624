//! The settings of a file, and what changes when the file is read again.

use crate::keywords::{Effect, KEYWORDS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    Logfmt,
    /// One JSON object a line.
    Json,
}

/// Least level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors alone.
    Error,
    /// Warnings and all above.
    Warn,
    /// Normal operation and all above.
    #[default]
    Info,
    /// Details for debugging and all above.
    Debug,
    /// Everything.
    Trace,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least level that is logged.
    pub level: LogLevel,
}

/// Settings of the HTTP/2 listener. What is absent is derived from the limits of the platform's
/// configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Http2Settings {
    /// Address where clients connect.
    pub listen: SocketAddr,
    /// Most connections.
    pub connections: Option<usize>,
    /// Most concurrent streams of a connection.
    pub streams: Option<u32>,
    /// Flow-control window of a connection, in bytes.
    pub connection_window: Option<u32>,
    /// Longest header list, in bytes as RFC 9113 section 6.5.2 counts them.
    pub header_list: Option<u32>,
}

/// The settings of a file. The default is that of an empty file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// The log.
    pub log: LogSettings,
    /// The HTTP/2 listener, if the file configures one.
    pub http2: Option<Http2Settings>,
    /// Longest wait for parts that could share a batch; `None` means the tick interval of the
    /// platform's settings.
    pub gather_time: Option<Duration>,
    /// The arguments as written in the file, by keyword.
    pub(crate) arguments: BTreeMap<&'static str, String>,
}

/// The keywords whose arguments differ between two files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Keywords whose change takes effect while the program runs.
    pub effective: Vec<&'static str>,
    /// Keywords whose change takes effect at the next start.
    pub restart_required: Vec<&'static str>,
}

impl Settings {
    /// What changes from these settings to those of a new file.
    #[must_use]
    pub fn changes(&self, new: &Settings) -> Changes {
        let mut changes = Changes::default();
        for keyword in KEYWORDS {
            if self.arguments.get(keyword.name) == new.arguments.get(keyword.name) {
                continue;
            }
            match keyword.effect {
                Effect::Immediate | Effect::NewConnections => changes.effective.push(keyword.name),
                Effect::Restart => changes.restart_required.push(keyword.name),
            }
        }
        changes
    }

    /// The settings in effect once a running program has read a new file: those that need a restart
    /// stay.
    #[must_use]
    pub fn adopt(&self, new: &Settings) -> Settings {
        Settings {
            http2: self.adopt_http2(new),
            arguments: self.adopt_arguments(new),
            ..new.clone()
        }
    }

    fn adopt_http2(&self, new: &Settings) -> Option<Http2Settings> {
        match (self.http2, new.http2) {
            (Some(old), Some(new)) => Some(Http2Settings {
                listen: old.listen,
                connections: old.connections,
                ..new
            }),
            // Opening or closing the listener takes a restart.
            (old, _) => old,
        }
    }

    /// The arguments in effect. Those that need a restart stay, so that they are reported as
    /// changed each time that the file is read until then.
    fn adopt_arguments(&self, new: &Settings) -> BTreeMap<&'static str, String> {
        let mut arguments = new.arguments.clone();
        for keyword in KEYWORDS {
            if keyword.effect != Effect::Restart {
                continue;
            }
            match self.arguments.get(keyword.name) {
                Some(old) => arguments.insert(keyword.name, old.clone()),
                None => arguments.remove(keyword.name),
            };
        }
        arguments
    }
}
