//! Tests of the executor with tasks that use the thread for a certain time.

use super::fair_scheduler::ScheduledTask;
use super::*;
use std::cell::Cell;
use std::time::Instant;

/// Number of tasks that use a whole slice whenever they run.
const BUSY_TASKS: usize = 50;
/// Time after which a test has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Uses the thread for this time.
fn use_thread(time: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < time {}
}

/// Starts connections that use the thread all the time, and returns how often they have run.
fn start_busy_connections(executor: &Executor) -> Rc<Cell<usize>> {
    let runs = Rc::<Cell<usize>>::default();
    for _ in 0..BUSY_TASKS {
        let runs = runs.clone();
        executor.spawn_connection(async move {
            loop {
                use_thread(TIME_SLICE);
                runs.set(runs.get() + 1);
                yield_now().await;
            }
        });
    }
    runs
}

/// Runs `future` and all tasks on this thread.
fn run<T>(executor: &Executor, future: impl Future<Output = T>) -> T {
    let expired = async {
        async_io::Timer::after(TEST_TIMEOUT).await;
        panic!("the test did not end in time");
    };
    async_io::block_on(executor.run(future.or(expired)))
}

/// Guards against usual clients that wait for all busy ones before each of their steps.
#[test]
fn new_connection_runs_before_busy_connections_run_again() {
    let executor = Executor::default();
    let runs = start_busy_connections(&executor);
    let waited = run(&executor, async {
        while runs.get() < 2 * BUSY_TASKS {
            yield_now().await;
        }
        let before = runs.get();
        let (done, is_done) = async_channel::bounded(1);
        executor.spawn_connection(async move {
            for _ in 0..4 {
                yield_now().await;
            }
            let _ = done.try_send(());
        });
        let _ = is_done.recv().await;
        runs.get() - before
    });
    assert!(
        waited < BUSY_TASKS / 2,
        "{waited} slices of busy connections came first"
    );
}

/// Guards against tasks of the broker, such as the one that accepts connections, and an event loop
/// that run only after all busy connections.
#[test]
fn broker_tasks_and_event_loop_run_in_each_round() {
    let executor = Executor::default();
    let runs = start_busy_connections(&executor);
    let most_between = Rc::<Cell<usize>>::default();
    let (seen, most) = (runs.clone(), most_between.clone());
    let _task = executor.spawn(async move {
        loop {
            let before = seen.get();
            yield_now().await;
            most.set(most.get().max(seen.get() - before));
        }
    });
    let longest_wait = run(&executor, async {
        let mut longest = 0;
        while runs.get() < 4 * BUSY_TASKS {
            let before = runs.get();
            yield_now().await;
            longest = longest.max(runs.get() - before);
        }
        longest
    });
    let task_wait = most_between.get();
    assert!(task_wait <= 1, "a task waited for {task_wait} slices");
    let slices_per_round = ROUND_TIME.div_duration_f64(TIME_SLICE).ceil() as usize;
    assert!(
        longest_wait <= slices_per_round,
        "the event loop waited for {longest_wait} slices"
    );
}

/// Guards against a waiting connection that is never served because the connection that was granted
/// a slice has ended.
#[test]
fn slice_of_an_ended_connection_goes_to_the_next() {
    let scheduler = FairScheduler::default();
    let waker = std::task::Waker::noop();
    let tasks: Vec<_> = (0..3).map(|_| ScheduledTask::new(Instant::now())).collect();
    let slice = scheduler.try_begin(&tasks[0], waker).unwrap();
    use_thread(ROUND_TIME);
    scheduler.end(&tasks[0], &slice);
    assert!(scheduler.try_begin(&tasks[1], waker).is_none());
    assert!(scheduler.try_begin(&tasks[2], waker).is_none());
    assert!(scheduler.start_round());
    scheduler.remove(&tasks[1]);
    assert!(scheduler.try_begin(&tasks[2], waker).is_some());
}

#[test]
fn task_that_uses_its_slice_up_yields() {
    let executor = Executor::default();
    let slice = executor.current_slice();
    assert!(slice.ready_since().is_none() && !slice.is_used_up());
    let (done, is_done) = async_channel::bounded(1);
    executor.spawn_connection(async move {
        let first = slice.ready_since();
        use_thread(TIME_SLICE);
        slice.yield_if_used_up().await;
        let _ = done.try_send((first, slice.ready_since(), slice.is_used_up()));
    });
    let (first, second, is_used_up) = run(&executor, is_done.recv()).unwrap();
    assert!(first < second && !is_used_up);
}
