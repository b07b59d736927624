//! A stand-in for a data server, as in `PROTOCOL`, "Brokers to data servers".

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A part that has arrived.
#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub shard: usize,
    /// Time that the broker says it will wait, in milliseconds.
    pub wait_ms: u64,
    /// Arrival of the first byte of its frame.
    pub first_byte: Instant,
}

/// How an answer is spoilt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Spoilt {
    /// The answer to the first part of a call with several parts has a length that is 4 bytes too
    /// short.
    ShortLength,
    /// In place of the answers to a call comes an answer with an unknown id, over and over, and
    /// never ends while the connection is open.
    Endless,
}

/// The spoilt answers that are to come, at any server.
pub struct SpoiltAnswers {
    pub kind: Spoilt,
    /// Number of calls that still get one.
    pub left: AtomicI64,
}

/// Time after which a server stops to send an endless answer.
const MAX_ENDLESS: Duration = Duration::from_secs(5);

pub struct DataServer {
    pub name: String,
    pub cell: usize,
    pub port: u16,
    /// Time that the server takes for a part.
    work: Duration,
    spoilt: Arc<SpoiltAnswers>,
    pub attempts: Mutex<Vec<Attempt>>,
    record: Arc<Record>,
}

/// The value of a part: 16 hexadecimal digits that depend on the id of the part and on the query's
/// text (FNV-1a).
pub fn value_of(part_id: &str, text: &str) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in part_id.bytes().chain([b' ']).chain(text.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

/// Encodes a good answer. The length in the frame is `missing` bytes less than what follows it.
fn good_answer(part_id: &str, value: &str, missing: usize) -> Vec<u8> {
    let body = format!("q{part_id} good 1840277719 -\n{value}");
    let length = (body.len() - missing) as u32;
    [&length.to_be_bytes(), body.as_bytes()].concat()
}

impl DataServer {
    pub fn start(
        name: String,
        cell: usize,
        work: Duration,
        spoilt: Arc<SpoiltAnswers>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().unwrap().port();
        let server = Arc::new(DataServer {
            name,
            cell,
            port,
            work,
            spoilt,
            attempts: Mutex::default(),
            record,
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Reads frames until the broker closes the connection.
    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone().expect("a descriptor")));
        loop {
            let mut length = [0; 4];
            if stream.read_exact(&mut length[..1]).is_err() {
                return;
            }
            let first_byte = Instant::now();
            if stream.read_exact(&mut length[1..]).is_err() {
                return;
            }
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            if stream.read_exact(&mut frame).is_err() {
                return;
            }
            match frame.split_first() {
                Some((b'm', parts)) => self.on_call(parts, first_byte, &writer),
                // A cancellation stops no running work and drops no waiting work.
                Some((b'n', id)) => {
                    let id = String::from_utf8_lossy(id).into_owned();
                    self.record.line(&format!("{} gives up {id}", self.name));
                }
                _ => return,
            }
        }
    }

    fn on_call(
        self: &Arc<Self>,
        mut rest: &[u8],
        first_byte: Instant,
        writer: &Arc<Mutex<TcpStream>>,
    ) {
        let last_byte = Instant::now();
        let mut parts = Vec::new();
        while !rest.is_empty() {
            let end = rest.iter().position(|b| *b == b'\n').expect("a line");
            let line = std::str::from_utf8(&rest[..end]).expect("a line of text");
            let fields: Vec<&str> = line.split(' ').collect();
            let length: usize = fields[3].parse().expect("a length");
            let text = &rest[end + 1..end + 1 + length];
            rest = &rest[end + 1 + length..];
            let wait = fields[2].split(',').find_map(|o| o.strip_prefix("d="));
            let attempt = Attempt {
                id: fields[0].to_owned(),
                shard: fields[1].parse().expect("a shard"),
                wait_ms: wait.and_then(|w| w.parse().ok()).expect("a wait"),
                first_byte,
            };
            let text = std::str::from_utf8(text).expect("a text").to_owned();
            self.record.line_at(
                last_byte,
                &format!(
                    "{} runs {} shard {} d={}",
                    self.name, attempt.id, attempt.shard, attempt.wait_ms
                ),
            );
            self.attempts.lock().unwrap().push(attempt.clone());
            parts.push((attempt, text));
        }
        let kind = self.spoilt.kind;
        let may_spoil = kind == Spoilt::Endless || parts.len() > 1;
        let is_spoilt = may_spoil && self.spoilt.left.fetch_sub(1, Ordering::SeqCst) > 0;
        let (server, writer) = (self.clone(), writer.clone());
        thread::spawn(move || {
            thread::sleep(server.work);
            if is_spoilt && kind == Spoilt::Endless {
                server.answer_without_end(&parts[0].0, &writer);
            } else if is_spoilt {
                // The connection stays open, and nothing more is sent on it for this call.
                server.answer(&parts[0], 4, &writer);
            } else {
                for part in &parts {
                    server.answer(part, 0, &writer);
                }
            }
        });
    }

    /// Answers a part. The length of the frame is `missing` bytes too short.
    fn answer(
        &self,
        (attempt, text): &(Attempt, String),
        missing: usize,
        writer: &Mutex<TcpStream>,
    ) {
        let value = value_of(&attempt.id, text);
        let frame = good_answer(&attempt.id, &value, missing);
        let _ = writer.lock().unwrap().write_all(&frame);
        let spoilt = if missing > 0 {
            format!(", length {missing} bytes too short")
        } else {
            String::new()
        };
        self.record.line(&format!(
            "{} answers {} good {value}{spoilt}",
            self.name, attempt.id
        ));
    }

    /// Sends an answer with an unknown id over and over, until the connection is closed.
    fn answer_without_end(&self, attempt: &Attempt, writer: &Mutex<TcpStream>) {
        let body = ENDLESS;
        let frame = [&(body.len() as u32).to_be_bytes(), body].concat();
        let many = frame.repeat((1 << 20) / frame.len());
        self.record.line(&format!(
            "{} answers {} without end, each time: q + {:?}",
            self.name,
            attempt.id,
            String::from_utf8_lossy(&body[1..])
        ));
        let started_at = Instant::now();
        let mut sent = 0;
        let mut writer = writer.lock().unwrap();
        while started_at.elapsed() < MAX_ENDLESS {
            match writer.write(&many[sent % many.len()..]) {
                Ok(written) => sent += written,
                Err(_) => break,
            }
        }
        let text = format!("{} has sent {sent} bytes of an endless answer", self.name);
        self.record.line(&text);
    }
}

/// The endless answer: the form is right, but no part has this id.
const ENDLESS: &[u8] = b"qx bad 0 -\n";
