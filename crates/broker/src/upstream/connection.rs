//! One connection to a data server: what waits to be written, and the task that writes and reads.

use crate::clock::{Clock, with_timeout};
use crate::event_queue::{ConnectionEvent, Event, EventQueue};
use crate::net::read_some;
use async_channel::{Receiver, Sender};
use async_io::Async;
use broker_types::time::{MILLI, Micros};
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use server_protocol::Decoded;
use server_protocol::broker::{PartRequest, decode, encode_call, encode_cancel};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// One part, ready for its frame.
pub(super) struct Outgoing {
    pub(super) wire: String,
    pub(super) shard: usize,
    /// When the broker stops waiting for it. How long that is gets told as it is written.
    pub(super) until: Micros,
    /// From when on it must not be sent any more.
    pub(super) expires: Option<Micros>,
    pub(super) key: Option<Rc<str>>,
    pub(super) text: Rc<str>,
}

/// What a connection is to write.
pub(super) enum Item {
    /// One call.
    Call(Vec<Outgoing>),
    /// A part's giving up.
    GiveUp(String),
}

/// What waits to be written to one connection. It can be taken back until the socket has taken its first byte.
pub(super) struct SendQueue {
    waiting: RefCell<VecDeque<Item>>,
    /// Parts whose time was over before they could be written.
    lapsed: RefCell<BTreeSet<String>>,
    /// The parts of the frame that is being written; a giving up has none.
    writing: RefCell<Option<Vec<String>>>,
    /// The socket takes nothing.
    blocked: Cell<bool>,
    bell: (Sender<()>, Receiver<()>),
    up: Cell<bool>,
}

impl Default for SendQueue {
    fn default() -> Self {
        SendQueue {
            waiting: RefCell::default(),
            lapsed: RefCell::default(),
            writing: RefCell::default(),
            blocked: Cell::new(false),
            bell: async_channel::bounded(1),
            up: Cell::new(false),
        }
    }
}

impl SendQueue {
    pub(super) fn put(&self, item: Item) {
        self.waiting.borrow_mut().push_back(item);
        let _ = self.bell.0.try_send(());
    }

    /// Takes back a part of which no byte is written. False if it is too late.
    pub(super) fn withdraw(&self, wire: &str) -> bool {
        let mut taken = self.lapsed.borrow_mut().remove(wire);
        self.waiting.borrow_mut().retain_mut(|item| match item {
            Item::Call(parts) => {
                let before = parts.len();
                parts.retain(|p| p.wire != wire);
                taken |= parts.len() < before;
                !parts.is_empty()
            }
            Item::GiveUp(_) => true,
        });
        taken
    }

    /// Takes back all parts of which no byte is written.
    pub(super) fn withdraw_all(&self) -> Vec<String> {
        let mut taken: Vec<String> = std::mem::take(&mut *self.lapsed.borrow_mut())
            .into_iter()
            .collect();
        self.waiting.borrow_mut().retain_mut(|item| match item {
            Item::Call(parts) => {
                taken.extend(parts.drain(..).map(|p| p.wire));
                false
            }
            Item::GiveUp(_) => true,
        });
        taken
    }

    /// The parts whose frame's last byte is not written.
    pub(super) fn unwritten(&self) -> BTreeSet<String> {
        let waiting = self.waiting.borrow();
        let parts = waiting.iter().flat_map(|item| match item {
            Item::Call(parts) => parts.as_slice(),
            Item::GiveUp(_) => &[],
        });
        let (writing, lapsed) = (self.writing.borrow(), self.lapsed.borrow());
        parts
            .map(|p| &p.wire)
            .chain(writing.iter().flatten())
            .chain(lapsed.iter())
            .cloned()
            .collect()
    }

    /// Whether the connection had come up.
    pub(super) fn was_up(&self) -> bool {
        self.up.get()
    }

    /// Whether the socket does not take what waits for it: between turns the task has had its time.
    pub(super) fn is_stuck(&self) -> bool {
        self.blocked.get() || self.writing.borrow().is_some()
    }

    /// The frame that was being written is out.
    pub(super) fn written(&self) {
        *self.writing.borrow_mut() = None;
    }

    /// Waits until something is to be written.
    async fn something(&self) {
        while self.waiting.borrow().is_empty() {
            let _ = self.bell.1.recv().await;
        }
    }

    /// Begins the next frame, as of this moment: what it tells of times holds now, and parts whose time is over are
    /// left out. `None`: nothing is left to be written.
    pub(super) fn begin(&self, now: Micros) -> Option<(Item, Vec<u8>)> {
        loop {
            let mut item = self.waiting.borrow_mut().pop_front()?;
            let frame = match &mut item {
                Item::GiveUp(wire) => encode_cancel(wire),
                Item::Call(parts) => {
                    let over = |p: &mut Outgoing| {
                        p.until < now + MILLI || p.expires.is_some_and(|at| at <= now)
                    };
                    self.lapsed
                        .borrow_mut()
                        .extend(parts.extract_if(.., over).map(|p| p.wire));
                    if parts.is_empty() {
                        continue;
                    }
                    encode_call(parts.iter().map(|p| PartRequest {
                        id: &p.wire,
                        shard: p.shard,
                        wait_ms: p.until.saturating_sub(now) / MILLI,
                        idempotency_key: p.key.as_deref(),
                        text: &p.text,
                    }))
                }
            };
            let parts = match &item {
                Item::GiveUp(_) => Vec::new(),
                Item::Call(parts) => parts.iter().map(|p| p.wire.clone()).collect(),
            };
            *self.writing.borrow_mut() = Some(parts);
            return Some((item, frame));
        }
    }

    /// Puts back a frame of which the socket took nothing.
    fn put_back(&self, item: Item) {
        *self.writing.borrow_mut() = None;
        self.waiting.borrow_mut().push_front(item);
    }
}

/// Dials, writes and reads until the connection ends, then says so.
pub(super) async fn run(
    id: u64,
    endpoint: SocketAddr,
    dial: Micros,
    queue: Rc<SendQueue>,
    event_queue: Rc<EventQueue>,
    clock: Clock,
) {
    let end = match with_timeout(
        Duration::from_micros(dial),
        Async::<TcpStream>::connect(endpoint),
    )
    .await
    {
        Ok(stream) => {
            queue.up.set(true);
            let written = async { ConnectionEvent::Closed(write(&stream, &queue, clock).await) };
            let read = async {
                read(&stream, id, &event_queue)
                    .await
                    .unwrap_or_else(ConnectionEvent::Closed)
            };
            // Reading goes first: nothing is written into a connection that the server has closed by then.
            read.or(written).await
        }
        Err(error) => ConnectionEvent::Closed(error),
    };
    event_queue.push(Event::ServerConnection {
        connection: id,
        event: end,
    });
}

/// Writes until that fails.
pub(super) async fn write(
    mut stream: &Async<TcpStream>,
    queue: &SendQueue,
    clock: Clock,
) -> io::Error {
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        return error;
    }
    loop {
        queue.something().await;
        let Some((item, frame)) = queue.begin(clock.now()) else {
            continue;
        };
        let taken = match stream.get_ref().write(&frame) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                queue.put_back(item);
                queue.blocked.set(true);
                let writable = stream.writable().await;
                queue.blocked.set(false);
                writable.map(|()| None)
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                queue.put_back(item);
                Ok(None)
            }
            taken => taken.map(Some),
        };
        let written = match taken {
            Ok(Some(taken)) => stream.write_all(&frame[taken..]).await,
            Ok(None) => continue,
            Err(error) => Err(error),
        };
        match written {
            Ok(()) => queue.written(),
            Err(error) => return error,
        }
    }
}

/// Reads until the connection ends, and tells how.
async fn read(
    stream: &Async<TcpStream>,
    id: u64,
    event_queue: &EventQueue,
) -> io::Result<ConnectionEvent> {
    let mut input = Vec::new();
    loop {
        let mut used = 0;
        loop {
            match decode(&input[used..]) {
                Ok(None) => break,
                Ok(Some(Decoded { message, frame_len })) => {
                    used += frame_len;
                    event_queue.push(Event::ServerConnection {
                        connection: id,
                        event: ConnectionEvent::FrameReceived(message),
                    });
                }
                Err(bad) => return Ok(ConnectionEvent::FrameInvalid(bad)),
            }
        }
        input.drain(..used);
        if input.is_empty() {
            input = Vec::new();
        } else {
            event_queue.push(Event::ServerConnection {
                connection: id,
                event: ConnectionEvent::FrameStarted,
            });
        }
        if read_some(stream, &mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        // A server that sends without end must not keep the one thread from all others.
        yield_now().await;
    }
}
