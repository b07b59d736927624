//! Lists that discovery sends faster than the event loop handles them.

use super::*;
use crate::executor::Executor;
use fastrand::Rng;
use futures_lite::future::yield_now;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Time for which the task runs without the event loop, far longer than a batch window.
const BUSY_TIME: Duration = Duration::from_millis(100);

/// Answers each poll at once with a full list of a new revision.
fn answer_at_once(stream: TcpStream) {
    let mut writer = stream.try_clone().unwrap();
    let lines = BufReader::new(stream).lines().map_while(Result::ok);
    for (revision, _) in lines.filter(String::is_empty).enumerate() {
        let list = format!(r#"{{"rev":{},"all":true,"targets":[]}}"#, revision + 1);
        let length = list.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}");
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Guards against memory that grows without a bound: while the event loop was busy, the watch
/// queued every list that discovery sent.
#[test]
fn one_list_is_queued_while_the_event_loop_is_busy() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || answer_at_once(listener.accept().unwrap().0));
    let executor = Executor::default();
    let event_queue = Rc::new(EventQueue::default());
    let backoff = Backoff::new(Rng::with_seed(1));
    let watcher = Watcher::new(address, None, event_queue.clone(), backoff);
    let _task = executor.spawn(watcher.run());
    for _ in 0..2 {
        let until = Instant::now() + BUSY_TIME;
        let run = async {
            while Instant::now() < until {
                yield_now().await;
            }
        };
        async_io::block_on(executor.run(run));
        assert_eq!(event_queue.drain().len(), 1);
    }
}
