//! Checks that a script names only data servers that it has.

use super::problem::Problem;
use crate::script::{ConnectionName, Expectation, PeerName, Step};

/// Refuses a step that names a data server of which the script has none.
pub(super) fn check_servers(step: &Step, servers: usize) -> Result<(), Problem> {
    let of_connection = |name: &ConnectionName| match name.peer {
        PeerName::Server(server) => vec![server],
        _ => Vec::new(),
    };
    let named = match step {
        Step::Within { step, .. } => return check_servers(step, servers),
        Step::DelayConnections(server) | Step::AcceptDelayed(server) => vec![*server],
        Step::SendEndpoints(_, update) => update
            .endpoints
            .iter()
            .map(|endpoint| endpoint.server)
            .collect(),
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
