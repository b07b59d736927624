//! Data server's side of one connection with a broker.

use super::{Server, reset};
use crate::attempt_log::{Attempt, AttemptNumber, AttemptOutcome};
use crate::fault::Fault;
use crate::part_value;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use server_protocol::server::{
    BrokerMessage, PartRequest, decode, encode_frame_rejection, encode_part_response,
    encode_probe_response,
};
use server_protocol::{Decoded, InvalidFrame, PartStatus};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::time::Instant;

/// Maximum number of bytes that one read returns.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes that are not a valid frame of the protocol.
const INVALID_FRAME: &[u8] = b"\xff\xff\xff\xff noise";

/// Parts that the server works on, by the time at which each is finished and by its attempt.
type Schedule = BTreeMap<(Instant, AttemptNumber), PartRequest>;

/// State of one connection. It has no limit of its own, so it grows with the number of parts that
/// the broker has in flight on the connection.
pub(super) struct Connection<'a> {
    server: &'a Server,
    stream: &'a Async<TcpStream>,
    /// Attempts in flight, by the ids of their parts.
    in_flight: RefCell<BTreeMap<String, AttemptNumber>>,
    /// Parts that the server will finish, which are all parts except those that arrive while its
    /// fault is [`Fault::Hang`]. A cancelled part stays here until it would be finished; it is then
    /// removed without a response.
    scheduled: RefCell<Schedule>,
    /// Signalled after each message, because it may have changed the schedule.
    schedule_changed: Signal,
}

/// Signal to a single waiting task. If no task waits, the signal is kept until the next wait.
struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }

    fn signal(&self) {
        let _ = self.sender.try_send(());
    }

    async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// Action of the server when a part is finished.
enum Completion {
    Send(Vec<u8>),
    ResetConnection,
}

impl<'a> Connection<'a> {
    pub(super) fn new(server: &'a Server, stream: &'a Async<TcpStream>) -> Self {
        Connection {
            server,
            stream,
            in_flight: RefCell::default(),
            scheduled: RefCell::default(),
            schedule_changed: Signal::new(),
        }
    }

    /// Serves the connection until either side closes it. Then records the attempts that are still
    /// in flight as cancelled.
    pub(super) async fn run(self) {
        let reset_requested = self.server.reset_connections.subscribe();
        let reset_requested = async {
            reset_requested.notified().await;
            Err(io::ErrorKind::ConnectionReset.into())
        };
        let end = self
            .read_messages()
            .or(self.answer_parts())
            .or(reset_requested)
            .await;
        if end.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionReset) {
            reset(self.stream);
        }
        for (_, attempt) in self.in_flight.take() {
            self.record_cancelled(attempt);
        }
    }

    /// Reads and handles messages until the broker closes the connection or sends an invalid frame,
    /// which is answered with a rejection.
    async fn read_messages(&self) -> io::Result<()> {
        let mut stream = self.stream;
        let mut input = Vec::new();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        loop {
            if let Some(invalid) = self.handle_messages(&mut input).await? {
                let rejection = encode_frame_rejection(&invalid.to_string());
                return stream.write_all(&rejection).await;
            }
            match stream.read(&mut chunk).await? {
                0 => return Ok(()),
                length => input.extend_from_slice(&chunk[..length]),
            }
        }
    }

    /// Handles the messages in the input that have arrived completely and removes them. Returns the
    /// reason if an invalid frame follows them.
    async fn handle_messages(&self, input: &mut Vec<u8>) -> io::Result<Option<InvalidFrame>> {
        let mut handled_len = 0;
        loop {
            match decode(&input[handled_len..]) {
                Ok(Some(Decoded { message, frame_len })) => {
                    handled_len += frame_len;
                    self.on_message(message).await?;
                    self.schedule_changed.signal();
                }
                Ok(None) => break,
                Err(invalid) => return Ok(Some(invalid)),
            }
        }
        input.drain(..handled_len);
        Ok(None)
    }

    async fn on_message(&self, message: BrokerMessage) -> io::Result<()> {
        match message {
            BrokerMessage::Call(parts) => self.on_call(parts),
            BrokerMessage::Cancel(part_id) => self.on_cancel(&part_id),
            BrokerMessage::Probe(kind) => {
                let response = encode_probe_response(kind, self.server.parts_in_flight.get());
                let mut stream = self.stream;
                stream.write_all(&response).await?;
            }
        }
        Ok(())
    }

    fn on_call(&self, parts: Vec<PartRequest>) {
        let now = Instant::now();
        self.server.attempt_log().record_call();
        for part in parts {
            self.start_part(part, now);
        }
    }

    fn start_part(&self, part: PartRequest, now: Instant) {
        let (fault, duration, draining_since) = {
            let injection = self.server.fault_injection();
            (
                injection.fault(),
                injection.part_duration_at(now),
                injection.draining_since(),
            )
        };
        let number = self.server.attempt_log().record_attempt(Attempt {
            server: self.server.name.clone(),
            part_id: part.id.clone(),
            shard: part.shard,
            idempotency_key: part.idempotency_key.clone(),
            received_at: now,
            draining_since,
            executed: fault != Fault::RejectAll,
            end: None,
        });
        self.server.part_started();
        self.in_flight.borrow_mut().insert(part.id.clone(), number);
        if fault != Fault::Hang {
            self.scheduled
                .borrow_mut()
                .insert((now + duration, number), part);
        }
    }

    fn on_cancel(&self, part_id: &str) {
        let attempt = self.in_flight.borrow_mut().remove(part_id);
        if let Some(attempt) = attempt {
            self.record_cancelled(attempt);
        }
    }

    fn record_cancelled(&self, attempt: AttemptNumber) {
        self.server.part_ended();
        self.server
            .attempt_log()
            .record_end(attempt, AttemptOutcome::Cancelled, Instant::now());
    }

    /// Responds to each part when it is finished. Returns only with an error: when a write fails,
    /// or when the fault of the server requires that the connection is reset.
    async fn answer_parts(&self) -> io::Result<()> {
        let mut stream = self.stream;
        loop {
            self.wait_for_finished_part().await;
            let mut output = Vec::new();
            while let Some((attempt, part)) = self.take_finished_part() {
                let was_cancelled = self.in_flight.borrow_mut().remove(&part.id).is_none();
                if was_cancelled {
                    continue;
                }
                self.record_answered(attempt);
                match self.complete(&part) {
                    Completion::Send(bytes) => output.extend(bytes),
                    Completion::ResetConnection => {
                        return Err(io::ErrorKind::ConnectionReset.into());
                    }
                }
            }
            stream.write_all(&output).await?;
        }
    }

    /// Waits until a part of the schedule is finished.
    async fn wait_for_finished_part(&self) {
        loop {
            let next_finish = self.scheduled.borrow().keys().next().map(|(at, _)| *at);
            let changed = self.schedule_changed.wait();
            match next_finish {
                Some(at) if at <= Instant::now() => return,
                Some(at) => changed.or(async { _ = Timer::at(at).await }).await,
                None => changed.await,
            }
        }
    }

    /// Removes and returns the first part of the schedule if it is finished.
    fn take_finished_part(&self) -> Option<(AttemptNumber, PartRequest)> {
        let mut scheduled = self.scheduled.borrow_mut();
        let first = scheduled.first_entry()?;
        let (finished_at, attempt) = *first.key();
        (finished_at <= Instant::now()).then(|| (attempt, first.remove()))
    }

    fn record_answered(&self, attempt: AttemptNumber) {
        self.server.part_ended();
        self.server
            .attempt_log()
            .record_end(attempt, AttemptOutcome::Answered, Instant::now());
    }

    /// Counts a finished part and returns the action for it, which depends on the server's fault.
    fn complete(&self, part: &PartRequest) -> Completion {
        let number = self.server.next_finished_part();
        let affects_part = |every: u32| every > 0 && number.is_multiple_of(every);
        let fault = self.server.fault_injection().fault();
        let status = match fault {
            Fault::ResetEvery(every) if affects_part(every) => return Completion::ResetConnection,
            Fault::GarbleEvery(every) if affects_part(every) => {
                return Completion::Send(INVALID_FRAME.to_vec());
            }
            Fault::ErrorEvery(every) if affects_part(every) => PartStatus::Failed,
            Fault::RejectAll => PartStatus::Rejected,
            _ => PartStatus::Succeeded,
        };
        let value = if status == PartStatus::Succeeded {
            part_value(part.shard, &part.text)
        } else {
            String::new()
        };
        let in_flight = self.server.parts_in_flight.get();
        Completion::Send(encode_part_response(&part.id, status, in_flight, &value))
    }
}
