//! The settings of a file, and the comparison of settings when the file is read again.

use crate::keywords::{Effect, KEYWORDS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    Logfmt,
    /// One JSON object per line.
    Json,
}

/// Minimum level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Events of normal operation, and everything at a higher level.
    #[default]
    Info,
    /// Details for debugging, and everything at a higher level.
    Debug,
    /// Everything.
    Trace,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Minimum level that is logged.
    pub level: LogLevel,
}

/// Settings of the HTTP/2 listener. A limit that is `None` gets a default that depends on the
/// resource limits of the platform's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Http2Settings {
    /// Address on which the broker accepts HTTP/2 client connections.
    pub listen: SocketAddr,
    /// Maximum number of connections.
    pub connections: Option<usize>,
    /// Maximum number of concurrent streams on a connection.
    pub streams: Option<u32>,
    /// Flow-control window of a connection, in bytes.
    pub connection_window: Option<u32>,
    /// Maximum size of a header list in bytes, counted as in RFC 9113, section 6.5.2.
    pub header_list: Option<u32>,
}

/// The settings of a file. The default value is that of an empty file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Settings of the log.
    pub log: LogSettings,
    /// Settings of the HTTP/2 listener; `None` if the file configures no such listener.
    pub http2: Option<Http2Settings>,
    /// Maximum time that a part waits for further parts that could share its batch; `None` means
    /// the tick interval of the platform's settings.
    pub gather_time: Option<Duration>,
    /// Arguments as written in the file, by keyword. [`Settings::changes`] compares them.
    pub(crate) arguments: BTreeMap<&'static str, String>,
}

/// Keywords whose arguments differ between the settings in effect and those of a new file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Keywords whose change takes effect without a restart.
    pub effective: Vec<&'static str>,
    /// Keywords whose change takes effect only when the broker is restarted.
    pub restart_required: Vec<&'static str>,
}

impl Settings {
    /// Returns the keywords whose arguments differ between these settings and those of a new file.
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

    /// Returns the settings in effect after a running broker has read the file again. They are
    /// those of `new`, except that settings which need a restart keep the values of `self`.
    #[must_use]
    pub fn adopt(&self, new: &Settings) -> Settings {
        Settings {
            http2: self.adopt_http2(new),
            arguments: self.adopt_arguments(new),
            ..new.clone()
        }
    }

    /// Returns the settings of the HTTP/2 listener in effect. `listen` and `connections`, whose
    /// keywords have [`Effect::Restart`], keep the values of `self`.
    fn adopt_http2(&self, new: &Settings) -> Option<Http2Settings> {
        match (self.http2, new.http2) {
            (Some(old), Some(new)) => Some(Http2Settings {
                listen: old.listen,
                connections: old.connections,
                ..new
            }),
            // Opening or closing the listener needs a restart.
            (old, _) => old,
        }
    }

    /// Returns the arguments in effect. Arguments that need a restart keep their old values, so
    /// that [`Settings::changes`] reports them each time the file is read until the broker is
    /// restarted.
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
