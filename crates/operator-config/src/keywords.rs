//! The keywords of a file: the argument of each, its purpose, and when a change of it takes effect.

pub(crate) const LOG_FORMAT: &str = "log-format";
pub(crate) const LOG_LEVEL: &str = "log-level";
pub(crate) const GATHER_TIME: &str = "gather-time";
pub(crate) const LISTEN_HTTP2: &str = "listen-http2";
pub(crate) const HTTP2_CONNECTIONS: &str = "http2-connections";
pub(crate) const HTTP2_STREAMS: &str = "http2-streams";
pub(crate) const HTTP2_CONNECTION_WINDOW: &str = "http2-connection-window";
pub(crate) const HTTP2_HEADER_LIST: &str = "http2-header-list";

/// Maximum length of an unknown keyword for which a similar keyword is searched, in bytes. The cost
/// of a comparison is proportional to the product of both lengths, and a longer token is unlikely
/// to be a misspelt keyword.
const MAX_MISSPELT_BYTES: usize = 64;

/// When a change of a keyword's argument takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// On the SIGHUP that makes the broker read the file again.
    Immediate,
    /// On the SIGHUP that makes the broker read the file again, but only for connections that are
    /// opened afterwards.
    NewConnections,
    /// When the broker is restarted.
    Restart,
}

/// Description of a keyword.
#[derive(Clone, Copy, Debug)]
pub struct Keyword {
    /// Name, as written in the file.
    pub name: &'static str,
    /// Description of the argument, for the operator.
    pub argument: &'static str,
    /// Description of the purpose, for the operator.
    pub description: &'static str,
    /// When a change of the argument takes effect.
    pub effect: Effect,
    /// Name of another keyword that the file must also contain, because this one has no effect
    /// without it.
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
        description: "maximum wait for parts that could share a call to a data server",
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
        description: "maximum size of a request's header list",
        effect: Effect::NewConnections,
        requires: Some(LISTEN_HTTP2),
    },
];

/// Returns the keyword with this name.
pub(crate) fn find(name: &str) -> Option<&'static Keyword> {
    KEYWORDS.iter().find(|keyword| keyword.name == name)
}

/// Returns the keyword that the unknown keyword `name` is probably a misspelling of: the one with
/// the smallest edit distance from it, if that distance is at most a third of the keyword's length.
pub(crate) fn find_similar(name: &str) -> Option<&'static str> {
    if name.len() > MAX_MISSPELT_BYTES {
        return None;
    }
    let distance = |keyword: &Keyword| strsim::damerau_levenshtein(keyword.name, name);
    let nearest = KEYWORDS.iter().min_by_key(|keyword| distance(keyword))?;
    (distance(nearest) <= nearest.name.len() / 3).then_some(nearest.name)
}
