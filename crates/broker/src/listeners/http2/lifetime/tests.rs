//! Tests which action is due at which time, for each phase of a connection.

use super::*;

/// Activity of a connection without streams.
const IDLE: ConnectionActivity = ConnectionActivity {
    open_streams: 0,
    incomplete_since: None,
};
/// Activity of a connection with one stream, and no incomplete frame.
const SERVING: ConnectionActivity = ConnectionActivity {
    open_streams: 1,
    incomplete_since: None,
};
/// When the connection is opened.
const START: Timestamp = Timestamp::from_micros(1_000_000);

/// Asserts that `action` is due from `deadline` on, and that no action is due before.
#[track_caller]
fn assert_due(
    lifetime: &ConnectionLifetime,
    activity: ConnectionActivity,
    deadline: Timestamp,
    action: DeadlineAction,
) {
    let just_before = deadline - Duration::from_micros(1);
    assert_eq!(lifetime.next_deadline(activity), Some(deadline));
    assert_eq!(lifetime.due_action(just_before, activity), None);
    assert_eq!(lifetime.due_action(deadline, activity), Some(action));
}

#[test]
fn idle_connection_is_shut_down_sooner_if_it_has_served_nothing() {
    let mut lifetime = ConnectionLifetime::new(START);
    let shut_down = DeadlineAction::ShutDownGracefully;
    assert_due(&lifetime, IDLE, START + RECEIVE_TIMEOUT, shut_down);
    lifetime.on_valid_request();
    let idle_since = START + Duration::from_secs(1);
    lifetime.on_idle(idle_since);
    assert_due(&lifetime, IDLE, idle_since + IDLE_TIMEOUT, shut_down);
}

#[test]
fn connection_with_streams_has_no_deadline_until_a_frame_stalls() {
    let lifetime = ConnectionLifetime::new(START);
    assert_eq!(lifetime.next_deadline(SERVING), None);
    assert_eq!(lifetime.due_action(Timestamp::MAX, SERVING), None);
    let stalling = ConnectionActivity {
        incomplete_since: Some(START),
        ..SERVING
    };
    let deadline = START + RECEIVE_TIMEOUT;
    assert_due(&lifetime, stalling, deadline, DeadlineAction::AbortStalled);
}

#[test]
fn connection_is_closed_after_graceful_shutdown_timeout_and_dropped_after_close_timeout() {
    let mut lifetime = ConnectionLifetime::new(START);
    lifetime.start_draining(START);
    assert!(!lifetime.is_serving());
    let close_at = START + GRACEFUL_SHUTDOWN_TIMEOUT;
    assert_due(&lifetime, IDLE, close_at, DeadlineAction::Close);
    lifetime.start_closing(close_at);
    let drop_at = close_at + CLOSE_TIMEOUT;
    assert_due(&lifetime, SERVING, drop_at, DeadlineAction::Drop);
}

#[test]
fn only_idle_connection_that_is_not_draining_may_be_evicted() {
    let mut lifetime = ConnectionLifetime::new(START);
    assert_eq!(
        lifetime.eviction_priority(0),
        Some(EvictionPriority::Unused)
    );
    lifetime.on_valid_request();
    assert_eq!(lifetime.eviction_priority(0), Some(EvictionPriority::Idle));
    assert_eq!(lifetime.eviction_priority(1), None);
    lifetime.start_draining(START);
    assert_eq!(lifetime.eviction_priority(0), None);
}
