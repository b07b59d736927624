//! Parses the steps of a script.

use super::arguments::{
    client_name, discovery_connection, discovery_name, endpoint, number, owned, raw_text,
    server_connection, server_number, unescape,
};
use super::line_error::LineError;
use crate::script::{EndpointUpdate, Expectation, NewConfig, PartOutcome, Query, Step};
use std::time::Duration;

/// Parses a step from the words of a line. `line` is the whole line: the text after `raw` is taken from
/// it, because the words no longer contain its spaces.
pub(super) fn parse_step(words: &[&str], line: &str) -> Result<Step, LineError> {
    match words {
        ["send", rest @ ..] => parse_send(rest, line),
        ["expect", rest @ ..] => parse_expectation(rest, line).map(Step::Expect),
        ["busy-clients", count] => Ok(Step::StartBusyClients(number(count)?)),
        ["delay-connections", server] => Ok(Step::DelayConnections(server_number(server)?)),
        ["accept-delayed", server] => Ok(Step::AcceptDelayed(server_number(server)?)),
        ["replace-config", "raw", ..] => {
            let text = raw_text(line)?.to_owned();
            Ok(Step::ReplaceConfig(NewConfig::Text(text)))
        }
        ["replace-config", discovery] => {
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
        _ => Err(LineError::UnknownStep(line.to_owned())),
    }
}

/// Parses the words after `send`.
fn parse_send(words: &[&str], line: &str) -> Result<Step, LineError> {
    match words {
        [peer, "raw", ..] => Ok(Step::SendRaw(peer.parse()?, unescape(raw_text(line)?)?)),
        [client, "query", id, class, shards, deadline] => {
            let shards: Result<Vec<u64>, LineError> = shards.split(',').map(number).collect();
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
        [server, "value", part, value, "length-off-by", bytes] => {
            let outcome = PartOutcome::ValueWithWrongLength {
                value: (*value).to_owned(),
                length_error: number(bytes)?,
            };
            part_outcome(server, part, outcome)
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
        _ => Err(LineError::UnknownStep(line.to_owned())),
    }
}

/// Parses the words after `expect`.
fn parse_expectation(words: &[&str], line: &str) -> Result<Expectation, LineError> {
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
        _ => Err(LineError::UnknownStep(line.to_owned())),
    }
}

/// Creates the step with which a data server ends an attempt at a part.
fn part_outcome(server: &str, part: &str, outcome: PartOutcome) -> Result<Step, LineError> {
    Ok(Step::SendPartOutcome {
        server: server_connection(server)?,
        part: part.to_owned(),
        outcome,
    })
}
