//! Parses the arguments of steps: names, numbers and texts.

use super::line_error::LineError;
use crate::script::{ConnectionName, DiscoveryName, EndpointState, ListedEndpoint, PeerName};
use std::str::FromStr;

/// Parses a data server with its state on the endpoint list, such as `s0=draining`.
pub(super) fn endpoint(word: &str) -> Result<ListedEndpoint, LineError> {
    let expected = "SERVER=active|draining|removed";
    let (server, state) = word
        .split_once('=')
        .ok_or_else(|| LineError::malformed(expected, word))?;
    let state = match state {
        "active" => EndpointState::Active,
        "draining" => EndpointState::Draining,
        "removed" => EndpointState::Removed,
        _ => return Err(LineError::malformed(expected, word)),
    };
    Ok(ListedEndpoint {
        server: server_number(server)?,
        state,
    })
}

impl FromStr for ConnectionName {
    type Err = LineError;

    fn from_str(word: &str) -> Result<Self, LineError> {
        let malformed = || {
            LineError::malformed(
                "a connection: cN, sN, any, d1 or d2; with .N after it for the peer's Nth connection",
                word,
            )
        };
        let (peer, connection_number) = match word.split_once('.') {
            Some((peer, digits)) => (peer, number(digits)?),
            None => (word, 1),
        };
        let peer = match peer {
            "any" => PeerName::AnyServer,
            "d1" => PeerName::Discovery(DiscoveryName::First),
            "d2" => PeerName::Discovery(DiscoveryName::Second),
            _ => {
                let digits = peer.get(1..).ok_or_else(malformed)?;
                let index = digits.parse().map_err(|_| malformed())?;
                match &peer[..1] {
                    "c" => PeerName::Client(index),
                    "s" => PeerName::Server(index),
                    _ => return Err(malformed()),
                }
            }
        };
        Ok(ConnectionName {
            peer,
            number: connection_number,
        })
    }
}

/// Parses the name of a client's connection.
pub(super) fn client_name(word: &str) -> Result<ConnectionName, LineError> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Client(_) => Ok(name),
        _ => Err(LineError::malformed("a client: cN", word)),
    }
}

/// Parses the name of a connection to a data server.
pub(super) fn server_connection(word: &str) -> Result<ConnectionName, LineError> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Server(_) | PeerName::AnyServer => Ok(name),
        _ => Err(LineError::malformed("a data server: sN or any", word)),
    }
}

/// Parses the name of a connection to a discovery.
pub(super) fn discovery_connection(word: &str) -> Result<ConnectionName, LineError> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Discovery(_) => Ok(name),
        _ => Err(LineError::malformed("a discovery: d1 or d2", word)),
    }
}

/// Parses the name of a discovery, without the number of a connection.
pub(super) fn discovery_name(word: &str) -> Result<DiscoveryName, LineError> {
    match word.parse()? {
        ConnectionName {
            peer: PeerName::Discovery(name),
            number: 1,
        } => Ok(name),
        _ => Err(LineError::malformed("a discovery: d1 or d2", word)),
    }
}

/// Parses the name of a data server, without the number of a connection, and returns the server's
/// number.
pub(super) fn server_number(word: &str) -> Result<usize, LineError> {
    match word.parse()? {
        ConnectionName {
            peer: PeerName::Server(server),
            number: 1,
        } => Ok(server),
        _ => Err(LineError::malformed("a data server: sN", word)),
    }
}

/// Parses a number.
pub(super) fn number<T: FromStr>(word: &str) -> Result<T, LineError> {
    word.parse()
        .map_err(|_| LineError::malformed("a number", word))
}

/// Copies words into owned strings.
pub(super) fn owned(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

/// Returns the text after the word `raw`, up to the end of the line.
pub(super) fn raw_text(line: &str) -> Result<&str, LineError> {
    line.split_once(" raw ")
        .map(|(_, text)| text)
        .ok_or_else(|| LineError::malformed("a text after raw", line))
}

/// Replaces the escapes `\r` and `\n`. `*N` at the end stands for N times the character before it.
///
/// # Errors
///
/// The text is empty, or what follows `*` is not a number above 0.
pub(super) fn unescape(text: &str) -> Result<Vec<u8>, LineError> {
    let (text, times) = match text.rsplit_once('*') {
        Some((text, times)) => (text, number::<usize>(times.trim())?),
        None => (text, 1),
    };
    let text = text.replace("\\r", "\r").replace("\\n", "\n");
    let last = text
        .chars()
        .last()
        .ok_or_else(|| LineError::malformed("a text after raw", &text))?;
    let more = times
        .checked_sub(1)
        .ok_or_else(|| LineError::malformed("a number above 0 after *", "0"))?;
    let repeated = last.to_string().repeat(more);
    Ok((text + &repeated).into_bytes())
}
