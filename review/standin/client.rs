//! Clients of the broker, as in `PROTOCOL`, "Clients to brokers".

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A query as a client sends it.
pub struct Query {
    pub id: String,
    pub shards: Vec<usize>,
    pub text: String,
    /// Time that the client waits.
    pub wait: Duration,
    pub bytes: Vec<u8>,
}

/// A complete HTTP response.
pub struct Response {
    pub status: u16,
    pub body: String,
    /// Arrival of its last byte.
    pub at: Instant,
}

/// Creates a query of the class `full-report` for `parts` shards in a row.
pub fn full_report(first_shard: usize, parts: usize, wait: Duration, text: &str) -> Query {
    static NEXT: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0001);
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    let shards: Vec<usize> = (first_shard..first_shard + parts).map(|s| s % 36).collect();
    let portion = 1.0 / parts as f64;
    let ranges: Vec<String> = shards
        .iter()
        .map(|s| format!(r#"{{"range":{s},"portion":{portion},"price":120000}}"#))
        .collect();
    let body = format!(
        r#"{{"ranges":[{}],"predicate":"{text}"}}"#,
        ranges.join(",")
    );
    let bytes = format!(
        "POST /full-report HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id}\r\nX-Class: full-report\r\nX-Deadline: {}m\r\nContent-Length: {}\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    Query {
        id,
        shards,
        text: text.to_owned(),
        wait,
        bytes: bytes.into_bytes(),
    }
}

/// Returns the status of the readiness check.
pub fn get_ready(mut stream: TcpStream) -> Option<u16> {
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
    stream.write_all(request).ok()?;
    read_response(&mut BufReader::new(stream)).map(|r| r.status)
}

/// Opens a connection.
pub fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(stream)
}

/// Reads a response with a length; `None` if the connection ends first.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> Option<Response> {
    let mut status_line = String::new();
    if reader.read_line(&mut status_line).ok()? == 0 {
        return None;
    }
    let status = status_line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Response {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        at: Instant::now(),
    })
}

/// Sends a query on a new connection and reads the response. Returns the time at which the last
/// byte was written, and the response.
pub fn ask(address: SocketAddr, query: &Query) -> (Instant, Option<Response>) {
    let Ok(mut stream) = connect(address) else {
        return (Instant::now(), None);
    };
    if stream.write_all(&query.bytes).is_err() {
        return (Instant::now(), None);
    }
    let sent_at = Instant::now();
    (sent_at, read_response(&mut BufReader::new(stream)))
}

/// Returns the value of a shard in the body of an answer: the text after `"blob":"` up to the next
/// quotation mark. Values of the stand-ins contain no quotation marks and no escapes.
pub fn value_in<'a>(body: &'a str, shard: usize) -> Option<&'a str> {
    let start = format!(r#"{{"range":{shard},"blob":""#);
    let rest = &body[body.find(&start)? + start.len()..];
    rest.split('"').next()
}
