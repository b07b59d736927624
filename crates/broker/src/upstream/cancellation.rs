//! Attempts that end without a response: cancelled, withdrawn before they were sent, or timed out.

use super::ServerPools;
use super::attempt::EndedAttempt;
use super::in_flight::Expiry;
use super::send_queue::{OutgoingFrame, SendQueue};
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::server::Outcome;
use broker_types::time::Micros;

/// Time without any sign of life on its connection after which an attempt that is cancelled or times out makes the
/// connection suspect, in multiples of the dial timeout. A severed link leaves connections open and silent, and
/// TCP does not notice. 2 is the project's own choice.
const SILENT_DIAL_TIMEOUTS: Micros = 2;

impl ServerPools {
    /// Cancels an attempt, on the server too if it was sent.
    pub fn cancel(&mut self, now: Micros, attempt: AttemptId) {
        self.stop_waiting(now, attempt, Outcome::Cancelled);
    }

    /// Withdraws the unsent attempts of a query that has ended, or those at one part of it that was served. None
    /// of them reaches a server, so this is permitted also where sent attempts may not be cancelled.
    pub fn cancel_unsent(&mut self, now: Micros, query: QueryId, part: Option<PartIndex>) {
        for attempt in self.in_flight.of_query(query, part) {
            self.withdraw_unsent(now, attempt);
        }
    }

    /// Takes the attempts that have ended, including those whose deadline is reached by now.
    ///
    /// Each iteration of the event loop begins with this: the policy ends a query at the moment at which its
    /// attempts time out, and would otherwise cancel them first, so that no time-out was ever reported and silent
    /// servers remained undetected.
    pub fn take_ended_attempts(&mut self, now: Micros) -> Vec<EndedAttempt> {
        while let Some(expiry) = self.in_flight.next_expired(now) {
            match expiry {
                Expiry::SendPeriodOver(attempt) => self.withdraw_unsent(now, attempt),
                Expiry::DeadlineReached(attempt) => {
                    self.stop_waiting(now, attempt, Outcome::TimedOut);
                }
            }
        }
        std::mem::take(&mut self.ended)
    }

    /// Whether attempts have ended that were not taken.
    #[must_use]
    pub fn has_ended_attempts(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Ends an attempt as not sent if none of its bytes was written.
    fn withdraw_unsent(&mut self, now: Micros, attempt: AttemptId) {
        let Some(in_flight) = self.in_flight.get(attempt) else {
            return;
        };
        let connection = self.connections.get(&in_flight.connection);
        if connection.is_some_and(|c| c.send_queue.withdraw(&in_flight.wire_id)) {
            self.end_attempt(now, attempt, Outcome::NotSent);
        }
    }

    /// Ends an attempt that was cancelled or timed out, and cancels it on the server if it was sent.
    fn stop_waiting(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(in_flight) = self.in_flight.get(attempt) else {
            return;
        };
        let (id, sent_at) = (in_flight.connection, in_flight.sent_at);
        let wire_id = in_flight.wire_id.clone();
        let Some(connection) = self.connections.get_mut(&id) else {
            self.end_attempt(now, attempt, outcome);
            return;
        };
        let was_unsent = connection.send_queue.withdraw(&wire_id);
        if !was_unsent {
            connection.remember_cancelled(wire_id.clone());
            let cancel = OutgoingFrame::Cancel(wire_id);
            connection.send_queue.push(cancel);
            let silence_limit = SILENT_DIAL_TIMEOUTS * self.limits.dial_timeout;
            connection.is_draining |=
                connection.is_silent_since(sent_at) && now - sent_at >= silence_limit;
        }
        let is_blocked = connection.send_queue.is_blocked();
        let has_timed_out = outcome == Outcome::TimedOut;
        let outcome = if was_unsent && has_timed_out {
            unsent_timeout_outcome(&connection.send_queue)
        } else {
            outcome
        };
        self.end_attempt(now, attempt, outcome);
        // No frame gets through, and the cancellation neither. Unless the connection is closed, a further attempt
        // at the part could run beside this one, or wait behind the same socket.
        if is_blocked && (!was_unsent || has_timed_out) {
            self.on_connection_lost(now, id);
        }
    }
}

/// Outcome of an attempt that timed out before it was sent. It never ran. If the connection was not established or
/// its socket accepts nothing, the server counts as unreachable.
fn unsent_timeout_outcome(send_queue: &SendQueue) -> Outcome {
    if send_queue.was_connected() && !send_queue.is_blocked() {
        Outcome::NotSent
    } else {
        Outcome::Unreachable
    }
}
