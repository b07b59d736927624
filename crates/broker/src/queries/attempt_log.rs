//! The attempts of one query, as the log shows them.

use broker_types::query::AttemptId;
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use std::fmt;

/// The attempts of one query, in the order in which they were sent. Their number is bounded by the
/// number of parts and of attempts for each part.
#[derive(Debug, Default)]
pub(super) struct AttemptLog {
    records: Vec<AttemptRecord>,
}

/// One attempt.
#[derive(Debug)]
struct AttemptRecord {
    attempt: AttemptId,
    server: NodeId,
    sent_at: Timestamp,
    end: Option<AttemptEnd>,
}

/// The end of an attempt.
#[derive(Debug)]
struct AttemptEnd {
    outcome: Outcome,
    at: Timestamp,
}

impl AttemptLog {
    /// Records that an attempt is sent.
    pub(super) fn record_sent(&mut self, now: Timestamp, attempt: AttemptId, server: NodeId) {
        self.records.push(AttemptRecord {
            attempt,
            server,
            sent_at: now,
            end: None,
        });
    }

    /// Records the end of an attempt.
    pub(super) fn record_ended(&mut self, now: Timestamp, attempt: AttemptId, outcome: Outcome) {
        let record = self.records.iter_mut().rfind(|r| r.attempt == attempt);
        if let Some(record) = record {
            record.end = Some(AttemptEnd { outcome, at: now });
        }
    }

    /// Returns the number of attempts.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the attempts that were not served, as text for the log. The served ones are left out
    /// to keep the line short. Times are relative to `received_at`, the time at which the query was
    /// received.
    pub(super) fn unserved(&self, received_at: Timestamp) -> String {
        let unserved = self.records.iter().filter(|record| !record.is_served());
        let texts: Vec<String> = unserved
            .map(|record| RelativeRecord {
                record,
                received_at,
            })
            .map(|record| record.to_string())
            .collect();
        texts.join(" ")
    }
}

impl AttemptRecord {
    fn is_served(&self) -> bool {
        self.end
            .as_ref()
            .is_some_and(|end| end.outcome == Outcome::Served)
    }
}

/// An attempt with its times relative to the receipt of its query. It is displayed as
/// `PART.ATTEMPT@SERVER+SENT:OUTCOME/TIME`, with times in milliseconds, or as
/// `PART.ATTEMPT@SERVER+SENT:out` while it is in flight.
struct RelativeRecord<'a> {
    record: &'a AttemptRecord,
    received_at: Timestamp,
}

impl fmt::Display for RelativeRecord<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let relative_ms = |time: Timestamp| time.saturating_since(self.received_at).as_millis();
        let AttemptRecord {
            attempt,
            server,
            sent_at,
            end,
        } = self.record;
        let sent_ms = relative_ms(*sent_at);
        write!(f, "{}.{}", attempt.part, attempt.attempt)?;
        write!(f, "@{}+{sent_ms}", server.0)?;
        match end {
            Some(AttemptEnd { outcome, at }) => write!(f, ":{outcome:?}/{}", relative_ms(*at)),
            None => write!(f, ":out"),
        }
    }
}

#[cfg(test)]
mod tests;
