//! HTTP/1.1 connections: one task each reads a request, waits for its one final answer, and writes it.

use super::accept::Serve;
use super::slots::{Rank, Slot, Slots};
use super::{Shared, Stage};
use crate::clock::with_timeout;
use crate::net::{LINGER, LINGER_IDLE, has_hung_up, linger, read_some};
use admission::ConnectionId;
use async_io::{Async, Timer};
use broker_types::query::FinalResponse;
use broker_types::time::Micros;
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use http::{Method, Request, Version};
use http1_codec::{
    Limits, Message, ParseError, Progress, RequestDecoder, ResponseOptions, encode_response,
};
use query_api::{BODY_CAP, HEAD_CAP, Response, Routed, final_answer, refuse_connection};
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request that has begun must be all there, and an answer taken, within this time: a client that trickles
/// would else hold its connection for ever.
const MESSAGE_TIME: Duration = Duration::from_secs(10);
/// A connection without a request, or one whose request does not go on, is closed after this time. Clients open
/// connections in order to speak, and those that keep them for good would fill all slots with silence.
const SILENCE: Duration = Duration::from_secs(2);
/// How much may be read ahead while an answer is awaited.
const AHEAD: usize = HEAD_CAP;
/// How often one that has sent more than that is looked at: it may have gone behind what it sent.
const LOOK: Duration = Duration::from_millis(50);
/// What a request may take.
const LIMITS: Limits = Limits {
    head_bytes: HEAD_CAP,
    body_bytes: BODY_CAP,
};

/// The front of HTTP/1.1.
pub struct Http1 {
    shared: Rc<Shared>,
    slots: Rc<Slots>,
}

/// What has been read of a connection and not been used.
struct ReadBuffer {
    bytes: Vec<u8>,
    /// When it last grew: a request that is whole in it came no later.
    grown: Instant,
}

impl ReadBuffer {
    /// Reads on; 0: the peer has closed.
    async fn read(&mut self, stream: &Async<TcpStream>) -> io::Result<usize> {
        let n = read_some(stream, &mut self.bytes).await?;
        self.grown = Instant::now();
        Ok(n)
    }
}

/// How the reading of a request ended.
enum Read {
    Whole(Box<Message<Request<Vec<u8>>>>),
    Bad(ParseError),
}

impl Serve for Http1 {
    fn slots(&self) -> &Rc<Slots> {
        &self.slots
    }

    /// An error is the client's going away, which its handle has reported, or the broker's own: its end goes the same way.
    async fn serve(self: Rc<Self>, stream: Async<TcpStream>, slot: Slot) {
        let most = self.connection(&stream).await.unwrap_or(LINGER);
        let _ending = slot.end();
        let _ = linger(&stream, most).await;
    }

    fn turn_away(&self, stream: &Async<TcpStream>) {
        let response = self.shared.dated(refuse_connection(&self.shared.settings));
        let _ = stream.get_ref().write(&encode_response(&response, LAST));
        let _ = stream.get_ref().shutdown(Shutdown::Write);
    }
}

/// The reader of an answer that ends its connection.
const LAST: ResponseOptions = ResponseOptions {
    version: Version::HTTP_11,
    head_only: false,
    keep_alive: false,
};

impl Http1 {
    /// A front that holds so many connections at most.
    pub fn new(shared: Rc<Shared>, most: usize) -> Self {
        Http1 {
            shared,
            slots: Slots::new(most),
        }
    }

    /// Open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.slots.open()
    }

    /// Closes the connections that are idle.
    pub(super) fn close_idle(&self) {
        self.slots.close_idle();
    }

    /// Serves until the connection is to end; for how long at most its client is waited for then.
    async fn connection(&self, stream: &Async<TcpStream>) -> io::Result<Duration> {
        stream.get_ref().set_nodelay(true)?;
        let mut input = ReadBuffer {
            bytes: Vec::new(),
            grown: Instant::now(),
        };
        let mut decoder = RequestDecoder::new(LIMITS);
        let mut served = false;
        let number = self.shared.next_connection();
        loop {
            if input.bytes.is_empty() && !self.first_bytes(stream, &mut input, served).await? {
                return Ok(LINGER_IDLE);
            }
            let message = match self.request(stream, &mut decoder, &mut input, served).await {
                Ok(Read::Whole(message)) => message,
                Ok(Read::Bad(fault)) => {
                    return self
                        .reject(stream, fault.status(), &fault.to_string())
                        .await;
                }
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    return self
                        .reject(stream, 408, "the request did not come in time")
                        .await;
                }
                Err(e) => return Err(e),
            };
            let (response, usable) = self
                .answer(number, &message.value, stream, &mut input)
                .await?;
            let reader = ResponseOptions {
                version: message.value.version(),
                head_only: message.value.method() == Method::HEAD,
                keep_alive: message.keep_alive && self.shared.stage() == Stage::Serving,
            };
            write(
                stream,
                &encode_response(&self.shared.dated(response), reader),
            )
            .await?;
            if !reader.keep_alive {
                return Ok(LINGER);
            }
            served |= usable;
            if input.bytes.is_empty() {
                // An idle connection holds no memory but its own.
                input.bytes = Vec::new();
            }
            // A client that sends without end must not keep the one thread from all others.
            yield_now().await;
        }
    }

    /// Waits, idle, for a request to begin. False: the connection is to end.
    async fn first_bytes(
        &self,
        stream: &Async<TcpStream>,
        input: &mut ReadBuffer,
        served: bool,
    ) -> io::Result<bool> {
        if self.shared.stage() == Stage::Closing {
            // What is there already has been taken: it is read and answered. A client that has just come may be about
            // to ask, and is owed an answer too.
            let late = async {
                if !served {
                    Timer::after(LINGER_IDLE).await;
                }
                Ok(0)
            };
            return Ok(input.read(stream).or(late).await? > 0);
        }
        let evictable = self
            .slots
            .evictable(if served { Rank::Served } else { Rank::Fresh });
        let silent = Timer::after(if served {
            self.slots.idle_time()
        } else {
            SILENCE
        });
        let end = async {
            evictable.closed().or(async { _ = silent.await }).await;
            Ok(0)
        };
        // A request that came beside the closing is taken: reading goes first.
        Ok(input.read(stream).or(end).await? > 0)
    }

    /// Reads a request that has begun.
    async fn request(
        &self,
        stream: &Async<TcpStream>,
        decoder: &mut RequestDecoder,
        input: &mut ReadBuffer,
        served: bool,
    ) -> io::Result<Read> {
        let read = with_timeout(MESSAGE_TIME, read_request(stream, decoder, input));
        if served {
            return read.await;
        }
        let evictable = self.slots.evictable(Rank::Beginning);
        let evicted = async {
            evictable.closed().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        read.or(evicted).await
    }

    /// The answer to a request, and whether that could be used.
    async fn answer(
        &self,
        number: ConnectionId,
        request: &Request<Vec<u8>>,
        stream: &Async<TcpStream>,
        input: &mut ReadBuffer,
    ) -> io::Result<(Response, bool)> {
        let mut ask = match self.shared.route(request) {
            Routed::Query(ask) => ask,
            Routed::Answered { response, usable } => return Ok((response, usable)),
        };
        // One that waited behind another has less time left than it says.
        ask.client_timeout = ask
            .client_timeout
            .saturating_sub(input.grown.elapsed().as_micros() as Micros);
        let handle = self.shared.event_queue.submit_query(number, ask);
        let reply = async {
            let reply = handle.response().await;
            Ok((
                final_answer(&reply),
                !matches!(reply, FinalResponse::Invalid { .. }),
            ))
        };
        let gone = async {
            // Clients send one request at a time; one that sends ahead is read on only so far.
            while input.bytes.len() < AHEAD {
                if input.read(stream).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            while !has_hung_up(stream) {
                Timer::after(LOOK).await;
            }
            Err(io::ErrorKind::UnexpectedEof.into())
        };
        reply.or(gone).await
    }

    /// Answers a request whose framing is lost; its connection is to end.
    async fn reject(
        &self,
        stream: &Async<TcpStream>,
        status: u16,
        why: &str,
    ) -> io::Result<Duration> {
        let response = final_answer(&FinalResponse::Invalid {
            status,
            reason: why.to_owned(),
        });
        write(stream, &encode_response(&self.shared.dated(response), LAST)).await?;
        Ok(LINGER)
    }
}

async fn read_request(
    stream: &Async<TcpStream>,
    decoder: &mut RequestDecoder,
    input: &mut ReadBuffer,
) -> io::Result<Read> {
    let mut told = false;
    loop {
        match decoder.decode(&mut input.bytes) {
            Err(fault) => return Ok(Read::Bad(fault)),
            Ok(Progress::Complete(message)) => return Ok(Read::Whole(Box::new(message))),
            Ok(Progress::Incomplete { awaits_continue }) => {
                if awaits_continue && !told {
                    told = true;
                    write(stream, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                if with_timeout(SILENCE, input.read(stream)).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                yield_now().await;
            }
        }
    }
}

async fn write(mut stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    with_timeout(MESSAGE_TIME, stream.write_all(bytes)).await
}
