//! The record of one query's attempts, which is formatted for the log if the query is not answered.

use broker_types::query::AttemptId;
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use std::fmt;

/// The attempts of one query, in the order in which they were sent. Its length is bounded, because
/// the number of parts and the number of attempts for each part are bounded.
#[derive(Debug, Default)]
pub(super) struct AttemptLog {
    records: Vec<AttemptRecord>,
}

/// One attempt that was sent. `end` is `None` while the attempt is in flight.
#[derive(Debug)]
struct AttemptRecord {
    attempt: AttemptId,
    server: NodeId,
    sent_at: Timestamp,
    end: Option<AttemptEnd>,
}

/// The outcome of an attempt and the time at which it ended.
#[derive(Debug)]
struct AttemptEnd {
    outcome: Outcome,
    at: Timestamp,
}

impl AttemptLog {
    /// Records that an attempt is sent to `server`.
    pub(super) fn record_sent(&mut self, now: Timestamp, attempt: AttemptId, server: NodeId) {
        self.records.push(AttemptRecord {
            attempt,
            server,
            sent_at: now,
            end: None,
        });
    }

    /// Records the end of an attempt. Does nothing if the attempt was not recorded as sent.
    pub(super) fn record_ended(&mut self, now: Timestamp, attempt: AttemptId, outcome: Outcome) {
        let record = self.records.iter_mut().rfind(|r| r.attempt == attempt);
        if let Some(record) = record {
            record.end = Some(AttemptEnd { outcome, at: now });
        }
    }

    /// Returns the number of attempts that were sent.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Formats the attempts that were not served, separated by spaces, for the log. Served attempts
    /// are omitted to keep the line short. Times are relative to `received_at`, the time at which
    /// the query was received.
    pub(super) fn format_unserved(&self, received_at: Timestamp) -> String {
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

/// An attempt whose times are displayed relative to the receipt of its query. An ended attempt is
/// displayed as `PART.ATTEMPT@SERVER+SENT:OUTCOME/ENDED`, one in flight as
/// `PART.ATTEMPT@SERVER+SENT:out`. `SENT` and `ENDED` are the times in milliseconds at which the
/// attempt was sent and ended.
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
