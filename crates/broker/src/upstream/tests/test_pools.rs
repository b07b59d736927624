//! Pools with one server, whose connections a test drives itself.

use super::attempts::Attempts;
use super::*;

/// Pools with one server, and the listener at the server's address. A connection is accepted only
/// where a test does so explicitly.
pub(super) struct TestPools {
    pools: ServerPools,
    pub(super) listener: TcpListener,
    executor: Rc<Executor>,
    pub(super) event_queue: Rc<EventQueue>,
}

impl Deref for TestPools {
    type Target = ServerPools;

    fn deref(&self) -> &ServerPools {
        &self.pools
    }
}

impl DerefMut for TestPools {
    fn deref_mut(&mut self) -> &mut ServerPools {
        &mut self.pools
    }
}

impl TestPools {
    pub(super) fn new(limits: PoolLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let executor = Rc::new(Executor::default());
        let event_queue = Rc::new(EventQueue::default());
        let (tasks, events) = (executor.clone(), event_queue.clone());
        let mut pools = TestPools {
            pools: ServerPools::new(tasks, events, Clock::start(), limits),
            listener,
            executor,
            event_queue,
        };
        pools.add_server(&server());
        pools
    }

    /// Sets the address of a server to that of the listener. Adds the server if it is new.
    pub(super) fn add_server(&mut self, name: &NodeId) {
        let address = self.listener.local_addr().unwrap();
        self.pools.set_endpoint(START, name, Some(address));
    }

    /// Sends the attempts of a query.
    pub(super) fn send(&mut self, now: Timestamp, attempts: Attempts) {
        self.pools.send_attempts(now, attempts.build());
    }

    /// Passes the pools a response to a part, as received on a connection.
    pub(super) fn receive_response(
        &mut self,
        now: Timestamp,
        connection: ServerConnectionId,
        wire_id: &str,
    ) {
        self.receive(now, connection, &response(wire_id));
    }

    /// Passes the pools bytes, as received on a connection. Does nothing if the connection is
    /// closed.
    pub(super) fn receive(&mut self, now: Timestamp, connection: ServerConnectionId, bytes: &[u8]) {
        if let Some(open) = self.pools.connections().get(connection) {
            open.receive_buffer().append(bytes);
        }
        let event = ConnectionEvent::DataReceived;
        self.pools.on_connection_event(now, connection, event);
    }

    /// Passes the pools the event that a connection was reset.
    pub(super) fn reset_connection(&mut self, now: Timestamp, connection: ServerConnectionId) {
        let event = ConnectionEvent::Closed(ErrorKind::ConnectionReset.into());
        self.pools.on_connection_event(now, connection, event);
    }

    /// Takes the attempts that have ended by `now` and returns their outcomes.
    pub(super) fn take_outcomes(&mut self, now: Timestamp) -> Vec<Outcome> {
        let ended: Vec<EndedAttempt> = self.pools.take_ended_attempts(now);
        ended.iter().map(|attempt| attempt.outcome).collect()
    }

    pub(super) fn send_queue_of(&self, connection: ServerConnectionId) -> Rc<SendQueue> {
        let connection = self.pools.connections().get(connection);
        connection
            .expect("the connection is open")
            .send_queue()
            .clone()
    }

    pub(super) fn in_flight_on(&self, connection: ServerConnectionId) -> usize {
        let connection = self.pools.connections().get(connection);
        connection
            .expect("the connection is open")
            .attempts()
            .count()
    }

    /// Starts the next frame of a connection, as if its socket accepted only the first bytes.
    pub(super) fn start_frame(&self, connection: ServerConnectionId) {
        self.send_queue_of(connection).start_frame(START);
    }

    /// Starts and finishes the next frame of a connection, as if its socket accepted all bytes.
    pub(super) fn write_frame(&self, connection: ServerConnectionId) {
        self.start_frame(connection);
        self.send_queue_of(connection).finish_frame();
    }

    /// Runs the socket tasks until all calls of a connection are written.
    pub(super) fn run_until_written(&self, connection: ServerConnectionId) {
        let send_queue = self.send_queue_of(connection);
        let written = async {
            while !send_queue.unwritten_parts().is_empty() {
                yield_now().await;
            }
        };
        async_io::block_on(self.executor.run(written));
    }

    /// Runs the socket tasks for some time, during which the event loop handles no event.
    pub(super) fn run_tasks_for(&self, time: Duration) {
        let until = Instant::now() + time;
        let run = async {
            while Instant::now() < until {
                yield_now().await;
            }
        };
        async_io::block_on(self.executor.run(run));
    }

    /// Passes the queued events of connections to the pools.
    pub(super) fn handle_events(&mut self, now: Timestamp) {
        for event in self.event_queue.drain() {
            if let Event::ServerConnection { connection, event } = event {
                self.pools.on_connection_event(now, connection, event);
            }
        }
    }

    /// Runs the socket tasks until any of them has reported events, and returns the events.
    pub(super) fn run_until_events(&self) -> Vec<Event> {
        async_io::block_on(self.executor.run(async {
            loop {
                let events = self.event_queue.drain();
                if !events.is_empty() {
                    break events;
                }
                yield_now().await;
            }
        }))
    }
}
