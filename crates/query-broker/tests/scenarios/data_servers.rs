//! The data servers of a scenario: the frames that they send and expect, and connections to them that
//! are established late.

use crate::WAIT_TIMEOUT;
use crate::connection::{Connection, Frame};
use crate::script::PartOutcome;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The kind of frame that carries a call.
const CALL: char = 'm';
/// The kind of frame that cancels an attempt.
const CANCEL: char = 'n';
/// The state in `/proc/net/tcp` of a connection that is not established yet.
const SYN_SENT: &str = "02";
/// Time between two reads of `/proc/net/tcp`.
const CONNECTING_POLL: Duration = Duration::from_millis(1);

/// A data server, which listens on its own port.
pub(crate) struct DataServer {
    pub(crate) listener: TcpListener,
    /// A connection that fills the listener's queue while other connections are delayed.
    queue_filler: Option<TcpStream>,
}

impl DataServer {
    pub(crate) fn start() -> Self {
        DataServer {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            queue_filler: None,
        }
    }

    /// Delays further connections: fills the listener's queue, upon which the kernel no longer
    /// answers connection requests (SYN).
    pub(crate) fn delay_connections(&mut self) {
        // With a backlog of 0 the queue holds a single connection.
        rustix::net::listen(&self.listener, 0).unwrap();
        let address = self.listener.local_addr().unwrap();
        self.queue_filler = Some(TcpStream::connect(address).unwrap());
    }

    /// Ends the delay: frees the listener's queue. Delayed connections are established when the
    /// kernel repeats their connection requests, which it does one second after the first.
    pub(crate) fn accept_delayed(&mut self) {
        drop(Connection::accept(&[&self.listener]));
        self.queue_filler = None;
    }

    /// Returns the text with which an address in `/proc/net/tcp` ends if it has this server's port.
    fn port_suffix(&self) -> String {
        format!(":{:04X}", self.listener.local_addr().unwrap().port())
    }
}

/// Waits until a connection to one of these servers is requested and not established yet.
pub(crate) fn expect_connecting(servers: &[&DataServer]) {
    let ports: Vec<String> = servers.iter().map(|server| server.port_suffix()).collect();
    let is_connecting = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.len() > 3 && words[3] == SYN_SENT && ports.iter().any(|port| words[2].ends_with(port))
    };
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        if table.lines().any(is_connecting) {
            return;
        }
        assert!(
            Instant::now() < until,
            "expected a requested connection to one of the ports {ports:?} (hexadecimal) that is not \
             established yet, found none within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(CONNECTING_POLL);
    }
}

/// Returns the frame with the outcome of an attempt at a part and a load report.
pub(crate) fn outcome_frame(part: &str, outcome: &PartOutcome) -> Vec<u8> {
    let (outcome, value, length_error) = match outcome {
        PartOutcome::Value(value) => ("good", value.as_str(), 0),
        PartOutcome::ValueWithWrongLength {
            value,
            length_error,
        } => ("good", value.as_str(), *length_error),
        PartOutcome::Error => ("bad", "", 0),
        PartOutcome::Overloaded => ("later", "", 0),
    };
    // After the outcome come a score of 7 and the load report. The broker uses only the entry `rif`,
    // the number of requests in flight at the server.
    let text = format!("q{part} {outcome} 7 rif=1,rate=2\n{value}");
    let length = text.len() as i64 + length_error;
    let length = u32::try_from(length).expect("a script's value is short");
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(text.into_bytes());
    bytes
}

/// Waits for a call that has exactly these parts in this order, and returns its frame.
pub(crate) fn expect_call(connection: &mut Connection, parts: &[String]) -> Frame {
    let frame = connection.read_frame();
    assert_eq!(frame.kind, CALL, "{frame:?}");
    assert_eq!(called_parts(&frame.text), parts, "{frame:?}");
    frame
}

/// Waits for a call that has only this part, and checks that its time left, for which the broker waits
/// for the response, is at most `at_most_ms` milliseconds.
pub(crate) fn expect_call_with_time_left(connection: &mut Connection, part: &str, at_most_ms: u64) {
    let frame = expect_call(connection, &[part.to_owned()]);
    let (_, time_left) = frame.text.split_once(" d=").unwrap();
    let time_left = time_left.split([',', ' ']).next().unwrap();
    let time_left: u64 = time_left.parse().unwrap();
    assert!(
        time_left <= at_most_ms,
        "the call has {time_left} ms left, expected at most {at_most_ms} ms"
    );
}

/// Waits for the frame that cancels an attempt at this part.
pub(crate) fn expect_cancel(connection: &mut Connection, part: &str) {
    let expected = Frame {
        kind: CANCEL,
        text: part.to_owned(),
    };
    assert_eq!(connection.read_frame(), expected);
}

/// Returns the ids of a call's parts, and checks that each part has a time left and the query's text
/// unchanged. A part has the form `ID SHARD OPTIONS LENGTH`, a line break and the text. The option `d`
/// is the time left, for which the broker waits for the response, in milliseconds; 8 is the length of
/// the text.
fn called_parts(mut rest: &str) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some((line, text)) = rest.split_once('\n') {
        ids.push(line.split(' ').next().unwrap().to_owned());
        assert!(
            line.ends_with(" 8") && line.contains(" d="),
            "expected a part with the option d and a text of 8 bytes, found {line:?}"
        );
        rest = text.strip_prefix("c41e77d0").unwrap();
    }
    ids
}
