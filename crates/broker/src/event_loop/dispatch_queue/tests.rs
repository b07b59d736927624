//! Tests that each dispatched attempt is returned exactly once, either to be sent or to be reported
//! as not sent.

use super::*;
use broker_types::query::{PartIndex, QueryId};
use broker_types::server::NodeId;
use broker_types::time::Timestamp;

fn attempt(part: usize) -> AttemptId {
    AttemptId {
        query: QueryId(1),
        part: PartIndex(part),
        attempt: 0,
    }
}

fn dispatch(part: usize) -> Dispatch {
    Dispatch {
        attempt: attempt(part),
        server: NodeId("s0".into()),
        deadline: Timestamp::MAX,
    }
}

#[test]
fn cancelled_attempt_is_reported_as_not_sent_and_others_are_sent_in_order() {
    let mut queue = DispatchQueue::default();
    queue.extend(vec![dispatch(2), dispatch(1)]);
    queue.extend(vec![dispatch(0)]);
    assert_eq!(queue.cancel(attempt(1)), Cancellation::EndedUnsent);
    assert_eq!(queue.cancel(attempt(1)), Cancellation::NotQueued);
    let sent: Vec<Dispatch> = queue.take_dispatches().collect();
    assert_eq!(sent, [dispatch(0), dispatch(2)]);
    assert_eq!(queue.take_dispatches().count(), 0);
    assert!(queue.has_ended_unsent());
    let unsent = EndedAttempt::unsent(attempt(1), Outcome::NotSent);
    assert_eq!(queue.take_ended_unsent(), [unsent]);
    assert!(!queue.has_ended_unsent());
}
