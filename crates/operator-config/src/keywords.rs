//! The keywords of a file: the argument of each, its purpose, and when a change of it takes effect.

pub(crate) const LOG_FORMAT: &str = "log-format";
pub(crate) const LOG_LEVEL: &str = "log-level";
pub(crate) const GATHER_TIME: &str = "gather-time";
pub(crate) const LISTEN_HTTP2: &str = "listen-http2";
pub(crate) const HTTP2_CONNECTIONS: &str = "http2-connections";
pub(crate) const HTTP2_STREAMS: &str = "http2-streams";
pub(crate) const HTTP2_CONNECTION_WINDOW: &str = "http2-connection-window";
pub(crate) const HTTP2_HEADER_LIST: &str = "http2-header-list";

/// Longest word for which a similar keyword is looked for, in bytes. The cost of a comparison is
/// the product of the lengths, and a longer word is not a misspelt keyword.
const MAX_MISSPELT_BYTES: usize = 64;

/// When a change of a keyword's argument takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// With the SIGHUP on which the file is read.
    Immediate,
    /// With the SIGHUP on which the file is read, for connections that are opened afterwards.
    NewConnections,
    /// When the program is restarted.
    Restart,
}

/// A keyword.
#[derive(Clone, Copy, Debug)]
pub struct Keyword {
    /// Its name.
    pub name: &'static str,
    /// Description of its argument, for the operator.
    pub argument: &'static str,
    /// What it is for.
    pub description: &'static str,
    /// When a change takes effect.
    pub effect: Effect,
    /// The keyword without which it has no effect.
    pub requires: Option<&'static str>,
}

/// All keywords. Each may occur once in a file, with one argument.
pub const KEYWORDS: &[Keyword] = &[
    Keyword {
        name: LOG_FORMAT,
        argument: "logfmt or json",
        description: "format of log lines",
        effect: Effect::Immediate,
        requires: None,
    },
    Keyword {
        name: LOG_LEVEL,
        argument: "error, warn, info, debug or trace",
        description: "minimum level that is logged",
        effect: Effect::Immediate,
        requires: None,
    },
    Keyword {
        name: GATHER_TIME,
        argument: "a time, 0us to 50ms",
        description: "longest wait for parts that could share a call to a data server",
        effect: Effect::Immediate,
        requires: None,
    },
    Keyword {
        name: LISTEN_HTTP2,
        argument: "an address with a port",
        description: "address of the HTTP/2 listener",
        effect: Effect::Restart,
        requires: None,
    },
    Keyword {
        name: HTTP2_CONNECTIONS,
        argument: "1 to 65536",
        description: "maximum number of HTTP/2 connections",
        effect: Effect::Restart,
        requires: Some(LISTEN_HTTP2),
    },
    Keyword {
        name: HTTP2_STREAMS,
        argument: "1 to 65536",
        description: "maximum number of concurrent requests on a connection",
        effect: Effect::NewConnections,
        requires: Some(LISTEN_HTTP2),
    },
    Keyword {
        name: HTTP2_CONNECTION_WINDOW,
        argument: "a size, 64KiB to 64MiB",
        description: "flow-control window of a connection",
        effect: Effect::NewConnections,
        requires: Some(LISTEN_HTTP2),
    },
    Keyword {
        name: HTTP2_HEADER_LIST,
        argument: "a size, 1KiB to 64KiB",
        description: "longest header list of a request",
        effect: Effect::NewConnections,
        requires: Some(LISTEN_HTTP2),
    },
];

/// The keyword of this name.
pub(crate) fn find(name: &str) -> Option<&'static Keyword> {
    KEYWORDS.iter().find(|keyword| keyword.name == name)
}

/// The keyword that a misspelt one probably means: the nearest by edit distance, if at most a third
/// of it differs.
pub(crate) fn find_similar(name: &str) -> Option<&'static str> {
    if name.len() > MAX_MISSPELT_BYTES {
        return None;
    }
    let distance = |keyword: &Keyword| strsim::damerau_levenshtein(keyword.name, name);
    let nearest = KEYWORDS.iter().min_by_key(|keyword| distance(keyword))?;
    (distance(nearest) <= nearest.name.len() / 3).then_some(nearest.name)
}
