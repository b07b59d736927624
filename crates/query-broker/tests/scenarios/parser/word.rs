//! Parses the words of a line: names, numbers and texts.

use super::problem::Problem;
use crate::script::{ConnectionName, DiscoveryName, EndpointState, ListedEndpoint, PeerName};
use std::str::FromStr;

pub(super) fn endpoint(word: &str) -> Result<ListedEndpoint, Problem> {
    let expected = "SERVER=active|draining|removed";
    let (server, state) = word
        .split_once('=')
        .ok_or_else(|| Problem::malformed(expected, word))?;
    let state = match state {
        "active" => EndpointState::Active,
        "draining" => EndpointState::Draining,
        "removed" => EndpointState::Removed,
        _ => return Err(Problem::malformed(expected, word)),
    };
    Ok(ListedEndpoint {
        server: server_number(server)?,
        state,
    })
}

impl FromStr for ConnectionName {
    type Err = Problem;

    fn from_str(word: &str) -> Result<Self, Problem> {
        let malformed = || Problem::malformed("a connection: cN, sN, any, d or e", word);
        let (peer, count) = match word.split_once('.') {
            Some((peer, count)) => (peer, number(count)?),
            None => (word, 1),
        };
        let peer = match peer {
            "any" => PeerName::AnyServer,
            "d" => PeerName::Discovery(DiscoveryName::First),
            "e" => PeerName::Discovery(DiscoveryName::Second),
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
            number: count,
        })
    }
}

pub(super) fn client_name(word: &str) -> Result<ConnectionName, Problem> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Client(_) => Ok(name),
        _ => Err(Problem::malformed("a client: cN", word)),
    }
}

pub(super) fn server_connection(word: &str) -> Result<ConnectionName, Problem> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Server(_) | PeerName::AnyServer => Ok(name),
        _ => Err(Problem::malformed("a data server: sN or any", word)),
    }
}

pub(super) fn discovery_connection(word: &str) -> Result<ConnectionName, Problem> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Discovery(_) => Ok(name),
        _ => Err(Problem::malformed("a discovery: d or e", word)),
    }
}

pub(super) fn discovery_name(word: &str) -> Result<DiscoveryName, Problem> {
    match word.parse()? {
        ConnectionName {
            peer: PeerName::Discovery(name),
            number: 1,
        } => Ok(name),
        _ => Err(Problem::malformed("a discovery: d or e", word)),
    }
}

pub(super) fn server_number(word: &str) -> Result<usize, Problem> {
    match word.parse()? {
        ConnectionName {
            peer: PeerName::Server(server),
            number: 1,
        } => Ok(server),
        _ => Err(Problem::malformed("a data server: sN", word)),
    }
}

pub(super) fn number<T: FromStr>(word: &str) -> Result<T, Problem> {
    word.parse()
        .map_err(|_| Problem::malformed("a number", word))
}

pub(super) fn owned(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

/// The text behind the word `raw`, up to the end of the line.
pub(super) fn raw_text(line: &str) -> Result<&str, Problem> {
    line.split_once(" raw ")
        .map(|(_, text)| text)
        .ok_or_else(|| Problem::malformed("a text behind raw", line))
}

/// Replaces escapes; `*N` at the end repeats the character before it N times.
pub(super) fn unescape(text: &str) -> Result<Vec<u8>, Problem> {
    let (text, times) = match text.rsplit_once('*') {
        Some((text, times)) => (text, number::<usize>(times.trim())?),
        None => (text, 1),
    };
    let text = text.replace("\\r", "\r").replace("\\n", "\n");
    let last = text
        .chars()
        .last()
        .ok_or_else(|| Problem::malformed("a text behind raw", &text))?;
    let more = times
        .checked_sub(1)
        .ok_or_else(|| Problem::malformed("a number above 0 behind *", "0"))?;
    let repeated = last.to_string().repeat(more);
    Ok((text + &repeated).into_bytes())
}
