//! Builder of the attempts that a test sends.

use super::*;

/// Returns the id of the first attempt at a part.
pub(super) fn attempt(query: u64, part: usize) -> AttemptId {
    AttemptId {
        query: QueryId(query),
        part: PartIndex(part),
        attempt: 0,
    }
}

/// Builder of attempts at the parts of a query, by default the first ones.
pub(super) struct Attempts {
    query: u64,
    attempt: u32,
    parts: usize,
    server: NodeId,
    deadline: Timestamp,
    send_before: Option<Timestamp>,
}

/// Creates the builder of one attempt, at the first part of a query, with a deadline one second
/// after [`START`].
pub(super) fn attempts_of(query: u64) -> Attempts {
    Attempts {
        query,
        attempt: 0,
        parts: 1,
        server: server(),
        deadline: at(SECOND),
        send_before: None,
    }
}

impl Attempts {
    /// Builds one attempt at each of the first `parts` parts.
    pub(super) fn parts(self, parts: usize) -> Self {
        Attempts { parts, ..self }
    }

    /// Builds attempts with this number, which are retries or hedged requests if it is not 0.
    pub(super) fn number(self, attempt: u32) -> Self {
        Attempts { attempt, ..self }
    }

    pub(super) fn on_server(self, name: &NodeId) -> Self {
        let server = name.clone();
        Attempts { server, ..self }
    }

    pub(super) fn deadline(self, deadline: Timestamp) -> Self {
        Attempts { deadline, ..self }
    }

    pub(super) fn send_before(self, limit: Timestamp) -> Self {
        let send_before = Some(limit);
        Attempts {
            send_before,
            ..self
        }
    }

    pub(super) fn build(self) -> Vec<OutgoingAttempt> {
        let query = self.query;
        let request_id = lease(&RequestIds::default(), query);
        let outgoing = |part| OutgoingAttempt {
            attempt: AttemptId {
                attempt: self.attempt,
                ..attempt(query, part)
            },
            server: self.server.clone(),
            part: OutgoingPart {
                shard: part,
                send_before: self.send_before,
                ..outgoing_part(&format!("q{query}.{part}"), self.deadline)
            },
            request_id: request_id.clone(),
        };
        (0..self.parts).map(outgoing).collect()
    }
}

/// Puts the request id of a query in use.
pub(super) fn lease(request_ids: &RequestIds, query: u64) -> RequestIdLease {
    let lease = request_ids.try_acquire(&format!("q{query}").into());
    lease.expect("the id is not in use")
}

pub(super) fn outgoing_part(wire_id: &str, deadline: Timestamp) -> OutgoingPart {
    OutgoingPart {
        wire_id: wire_id.into(),
        shard: 0,
        deadline,
        send_before: None,
        idempotency_key: None,
        text: "c41e77d0".into(),
    }
}
