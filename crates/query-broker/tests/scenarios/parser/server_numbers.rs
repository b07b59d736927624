//! Checks that the steps of a script name only data servers that the script has.

use super::line_error::LineError;
use crate::script::{ConnectionName, Expectation, PeerName, Step};

/// Returns an error if a step names a data server whose number is not below `servers`.
pub(super) fn check_server_numbers(step: &Step, servers: usize) -> Result<(), LineError> {
    let server_of_connection = |name: &ConnectionName| match name.peer {
        PeerName::Server(server) => vec![server],
        _ => Vec::new(),
    };
    let named_servers = match step {
        Step::Within { step, .. } => return check_server_numbers(step, servers),
        Step::DelayConnections(server) | Step::AcceptDelayed(server) => vec![*server],
        Step::SendEndpoints(_, update) => update
            .endpoints
            .iter()
            .map(|endpoint| endpoint.server)
            .collect(),
        Step::SendPartOutcome { server: name, .. }
        | Step::SendRaw(name, _)
        | Step::Close(name)
        | Step::Reset(name) => server_of_connection(name),
        Step::Expect(Expectation::Connecting(servers)) => servers.clone(),
        Step::Expect(
            Expectation::Call { server: name, .. }
            | Expectation::CallWithTimeLeft { server: name, .. }
            | Expectation::Cancel { server: name, .. }
            | Expectation::Closed(name)
            | Expectation::ClosedWithoutReset(name),
        ) => server_of_connection(name),
        _ => Vec::new(),
    };
    match named_servers.into_iter().find(|server| *server >= servers) {
        Some(server) => Err(LineError::UnknownServer { server, servers }),
        None => Ok(()),
    }
}
