//! Parses scripts: every line is a typed step before the first one runs.

use crate::script::{
    ConnectionName, DiscoveryName, EndpointState, EndpointUpdate, Expectation, NewConfig,
    PartOutcome, PeerName, Query, Script, ScriptStep, SettingOverride, Settings, Step,
};
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// A line that is no step, and why.
#[derive(Debug, Error, PartialEq)]
#[error("{file}:{line}: {problem}")]
pub(crate) struct ScriptError {
    pub(crate) file: String,
    pub(crate) line: usize,
    pub(crate) problem: Problem,
}

/// What is wrong with a line.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum Problem {
    #[error("no step is worded like this: {0}")]
    UnknownStep(String),
    #[error("expected {expected}, found {found:?}")]
    Malformed {
        expected: &'static str,
        found: String,
    },
    #[error("a setting behind the first step has no effect")]
    SettingAfterStep,
    #[error("there are {servers} data servers, and no s{server}")]
    UnknownServer { server: usize, servers: usize },
}

impl Problem {
    fn malformed(expected: &'static str, found: &str) -> Self {
        Problem::Malformed {
            expected,
            found: found.to_owned(),
        }
    }
}

/// Parses a script's text; the file's name is for messages.
pub(crate) fn parse_script(file: &str, text: &str) -> Result<Script, ScriptError> {
    let mut settings = Settings::default();
    let mut steps = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let words: Vec<&str> = uncommented(line).split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        let step = parse_line(&mut settings, !steps.is_empty(), &words, line);
        let step = step.map_err(|problem| ScriptError {
            file: file.to_owned(),
            line: index + 1,
            problem,
        })?;
        steps.extend(step.map(|step| ScriptStep {
            line: index + 1,
            text: line.to_owned(),
            step,
        }));
    }
    Ok(Script {
        file: file.to_owned(),
        settings,
        steps,
    })
}

/// The part of a line before a comment.
fn uncommented(line: &str) -> &str {
    line.split_once('#').map_or(line, |(step, _)| step)
}

/// Parses a line: a setting is taken over, a step is returned.
fn parse_line(
    settings: &mut Settings,
    has_steps: bool,
    words: &[&str],
    line: &str,
) -> Result<Option<Step>, Problem> {
    if parse_setting(settings, words)? {
        return if has_steps {
            Err(Problem::SettingAfterStep)
        } else {
            Ok(None)
        };
    }
    let step = parse_step(words, line)?;
    check_servers(&step, settings.servers)?;
    Ok(Some(step))
}

/// Takes a setting over; false: the line is none.
fn parse_setting(settings: &mut Settings, words: &[&str]) -> Result<bool, Problem> {
    match words {
        ["servers", count] => settings.servers = number(count)?,
        ["max-open", count] => settings.max_open = Some(number(count)?),
        ["max-sockets", count] => settings.max_sockets = Some(number(count)?),
        ["set", pointer, value] => settings.overrides.push(SettingOverride {
            pointer: (*pointer).to_owned(),
            value: value
                .parse()
                .map_err(|_| Problem::malformed("a JSON value", value))?,
        }),
        _ => return Ok(false),
    }
    Ok(true)
}

fn parse_step(words: &[&str], line: &str) -> Result<Step, Problem> {
    match words {
        ["send", rest @ ..] => parse_send(rest, line),
        ["expect", rest @ ..] => parse_expectation(rest, line).map(Step::Expect),
        ["busy-clients", count] => Ok(Step::StartBusyClients(number(count)?)),
        ["delay-connections", server] => Ok(Step::DelayConnections(server_number(server)?)),
        ["accept-delayed", server] => Ok(Step::AcceptDelayed(server_number(server)?)),
        ["config", "raw", ..] => {
            let text = raw_text(line)?.to_owned();
            Ok(Step::ReplaceConfig(NewConfig::Text(text)))
        }
        ["config", discovery] => {
            let discovery = discovery_name(discovery)?;
            Ok(Step::ReplaceConfig(NewConfig::Discovery(discovery)))
        }
        ["close", peer] => Ok(Step::Close(peer.parse()?)),
        ["reset", peer] => Ok(Step::Reset(peer.parse()?)),
        ["signal", name @ ("TERM" | "HUP" | "STOP" | "CONT")] => {
            Ok(Step::Signal((*name).to_owned()))
        }
        ["within", milliseconds, step @ ..] => Ok(Step::Within {
            limit: Duration::from_millis(number(milliseconds)?),
            step: Box::new(parse_step(step, line)?),
        }),
        _ => Err(Problem::UnknownStep(line.to_owned())),
    }
}

fn parse_send(words: &[&str], line: &str) -> Result<Step, Problem> {
    match words {
        [peer, "raw", ..] => Ok(Step::SendRaw(peer.parse()?, unescape(raw_text(line)?)?)),
        [client, "query", id, class, shards, deadline] => {
            let shards: Result<Vec<u64>, Problem> = shards.split(',').map(number).collect();
            let query = Query {
                id: (*id).to_owned(),
                class: (*class).to_owned(),
                shards: shards?,
                deadline: (*deadline).to_owned(),
            };
            Ok(Step::SendQuery(client_name(client)?, query))
        }
        [server, "value", part, value] => {
            part_outcome(server, part, PartOutcome::Value((*value).to_owned()))
        }
        [server, "error", part] => part_outcome(server, part, PartOutcome::Error),
        [server, "overloaded", part] => part_outcome(server, part, PartOutcome::Overloaded),
        [
            discovery,
            kind @ ("full-list" | "changes"),
            revision,
            endpoints @ ..,
        ] => {
            let endpoints: Result<Vec<_>, _> = endpoints.iter().map(|e| endpoint(e)).collect();
            let update = EndpointUpdate {
                revision: number(revision)?,
                is_full: *kind == "full-list",
                endpoints: endpoints?,
            };
            Ok(Step::SendEndpoints(
                discovery_connection(discovery)?,
                update,
            ))
        }
        _ => Err(Problem::UnknownStep(line.to_owned())),
    }
}

fn parse_expectation(words: &[&str], line: &str) -> Result<Expectation, Problem> {
    match words {
        ["exit"] => Ok(Expectation::Exit),
        ["not-listening"] => Ok(Expectation::NotListening),
        ["log", first, rest @ ..] => Ok(Expectation::LogLine(owned(&[&[*first], rest].concat()))),
        [servers @ .., "connecting"] if !servers.is_empty() => {
            let servers: Result<Vec<usize>, _> = servers.iter().map(|s| server_number(s)).collect();
            Ok(Expectation::Connecting(servers?))
        }
        [peer, "closed"] => Ok(Expectation::Closed(peer.parse()?)),
        [peer, "closed-without-reset"] => Ok(Expectation::ClosedWithoutReset(peer.parse()?)),
        [discovery, "full-list"] => Ok(Expectation::FullList(discovery_connection(discovery)?)),
        [discovery, "watch", revision] => Ok(Expectation::Watch {
            discovery: discovery_connection(discovery)?,
            revision: number(revision)?,
        }),
        [server, "call", part, "time-left-at-most", milliseconds] => {
            Ok(Expectation::CallWithTimeLeft {
                server: server_connection(server)?,
                part: (*part).to_owned(),
                at_most_ms: number(milliseconds)?,
            })
        }
        [server, "call", first, rest @ ..] => Ok(Expectation::Call {
            server: server_connection(server)?,
            parts: owned(&[&[*first], rest].concat()),
        }),
        [server, "cancel", part] => Ok(Expectation::Cancel {
            server: server_connection(server)?,
            part: (*part).to_owned(),
        }),
        [client, "status", status, words @ ..] => Ok(Expectation::Response {
            client: client_name(client)?,
            status: number(status)?,
            words: owned(words),
        }),
        _ => Err(Problem::UnknownStep(line.to_owned())),
    }
}

/// Refuses a step that names a data server of which the script has none.
fn check_servers(step: &Step, servers: usize) -> Result<(), Problem> {
    let of_connection = |name: &ConnectionName| match name.peer {
        PeerName::Server(server) => vec![server],
        _ => Vec::new(),
    };
    let named = match step {
        Step::Within { step, .. } => return check_servers(step, servers),
        Step::DelayConnections(server) | Step::AcceptDelayed(server) => vec![*server],
        Step::SendEndpoints(_, update) => update.endpoints.iter().map(|(s, _)| *s).collect(),
        Step::SendPartOutcome { server: name, .. }
        | Step::SendRaw(name, _)
        | Step::Close(name)
        | Step::Reset(name) => of_connection(name),
        Step::Expect(Expectation::Connecting(servers)) => servers.clone(),
        Step::Expect(
            Expectation::Call { server: name, .. }
            | Expectation::CallWithTimeLeft { server: name, .. }
            | Expectation::Cancel { server: name, .. }
            | Expectation::Closed(name)
            | Expectation::ClosedWithoutReset(name),
        ) => of_connection(name),
        _ => Vec::new(),
    };
    match named.into_iter().find(|server| *server >= servers) {
        Some(server) => Err(Problem::UnknownServer { server, servers }),
        None => Ok(()),
    }
}

fn part_outcome(server: &str, part: &str, outcome: PartOutcome) -> Result<Step, Problem> {
    Ok(Step::SendPartOutcome {
        server: server_connection(server)?,
        part: part.to_owned(),
        outcome,
    })
}

fn endpoint(word: &str) -> Result<(usize, EndpointState), Problem> {
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
    Ok((server_number(server)?, state))
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

fn client_name(word: &str) -> Result<ConnectionName, Problem> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Client(_) => Ok(name),
        _ => Err(Problem::malformed("a client: cN", word)),
    }
}

fn server_connection(word: &str) -> Result<ConnectionName, Problem> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Server(_) | PeerName::AnyServer => Ok(name),
        _ => Err(Problem::malformed("a data server: sN or any", word)),
    }
}

fn discovery_connection(word: &str) -> Result<ConnectionName, Problem> {
    let name: ConnectionName = word.parse()?;
    match name.peer {
        PeerName::Discovery(_) => Ok(name),
        _ => Err(Problem::malformed("a discovery: d or e", word)),
    }
}

fn discovery_name(word: &str) -> Result<DiscoveryName, Problem> {
    match word.parse()? {
        ConnectionName {
            peer: PeerName::Discovery(name),
            number: 1,
        } => Ok(name),
        _ => Err(Problem::malformed("a discovery: d or e", word)),
    }
}

fn server_number(word: &str) -> Result<usize, Problem> {
    match word.parse()? {
        ConnectionName {
            peer: PeerName::Server(server),
            number: 1,
        } => Ok(server),
        _ => Err(Problem::malformed("a data server: sN", word)),
    }
}

fn number<T: FromStr>(word: &str) -> Result<T, Problem> {
    word.parse()
        .map_err(|_| Problem::malformed("a number", word))
}

fn owned(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

/// The text behind the word `raw`, up to the end of the line.
fn raw_text(line: &str) -> Result<&str, Problem> {
    line.split_once(" raw ")
        .map(|(_, text)| text)
        .ok_or_else(|| Problem::malformed("a text behind raw", line))
}

/// Replaces escapes; `*N` at the end repeats the character before it N times.
fn unescape(text: &str) -> Result<Vec<u8>, Problem> {
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
