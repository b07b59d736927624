//! Tests of the order of slices.

use super::*;

/// Returns the tasks in the order in which they are granted slices, each of which lasts `used`.
fn order(queue: &mut RunQueue<u32>, used: Duration) -> Vec<u32> {
    let next = || {
        let usage = queue.next_usage()?;
        let granted = queue.pop()?;
        queue.on_used(usage, used);
        Some(granted.task)
    };
    std::iter::from_fn(next).collect()
}

/// Adds tasks with these numbers.
fn push_all(queue: &mut RunQueue<u32>, usage: Usage, tasks: std::ops::Range<u32>) {
    for task in tasks {
        queue.push(usage, Instant::now(), task);
    }
}

#[test]
fn light_users_precede_heavy_ones() {
    let mut queue = RunQueue::default();
    push_all(&mut queue, Usage::Heavy, 0..3);
    push_all(&mut queue, Usage::Light, 10..13);
    assert!(!queue.is_next(Usage::Light) && !queue.is_next(Usage::Heavy));
    assert_eq!(order(&mut queue, TIME_SLICE / 100), [10, 11, 12, 0, 1, 2]);
    assert!(queue.is_next(Usage::Light) && queue.is_next(Usage::Heavy));
}

#[test]
fn light_user_need_not_wait_for_heavy_ones() {
    let mut queue = RunQueue::default();
    push_all(&mut queue, Usage::Heavy, 0..3);
    assert!(queue.is_next(Usage::Light) && !queue.is_next(Usage::Heavy));
}

/// Guards against new connections behind which heavy users wait for ever.
#[test]
fn heavy_users_get_their_share_while_light_ones_wait() {
    let mut queue = RunQueue::default();
    push_all(&mut queue, Usage::Heavy, 0..2);
    push_all(&mut queue, Usage::Light, 10..18);
    let expected = [10, 11, 12, 0, 13, 14, 15, 1, 16, 17];
    assert_eq!(order(&mut queue, TIME_SLICE), expected);
}

#[test]
fn light_users_pay_for_their_share_once() {
    let mut queue = RunQueue::default();
    push_all(&mut queue, Usage::Heavy, 0..3);
    queue.on_used(Usage::Light, 1000 * TIME_SLICE);
    push_all(&mut queue, Usage::Light, 10..12);
    assert_eq!(order(&mut queue, TIME_SLICE), [0, 10, 11, 1, 2]);
}

#[test]
fn removed_task_is_not_granted_a_slice() {
    let mut queue = RunQueue::default();
    let id = queue.push(Usage::Light, Instant::now(), 1);
    queue.remove(id);
    queue.remove(id);
    assert_eq!((queue.next_usage(), queue.pop()), (None, None));
}
