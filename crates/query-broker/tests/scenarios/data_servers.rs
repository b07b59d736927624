//! The data servers of a scenario: what they send, what they are sent, and connections to them that
//! come up late.

use crate::BOUND;
use crate::connection::{Connection, Frame};
use crate::script::PartOutcome;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The letter of a frame that calls parts.
const CALL: char = 'm';
/// The letter of a frame that cancels an attempt.
const CANCEL: char = 'n';
/// The state of a connection in the system's table that waits to come up (`/proc/net/tcp`).
const SYN_SENT: &str = "02";
/// Pause between two looks at the system's table.
const TABLE_POLL: Duration = Duration::from_millis(1);

/// A data server, which listens on a port of its own.
pub(crate) struct DataServer {
    pub(crate) listener: TcpListener,
    /// A connection that fills the listener's queue, while others are to be delayed.
    queue_filler: Option<TcpStream>,
}

impl DataServer {
    pub(crate) fn start() -> Self {
        DataServer {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            queue_filler: None,
        }
    }

    /// Fills the listener's queue: the system then leaves further connections unanswered.
    pub(crate) fn delay_connections(&mut self) {
        rustix::net::listen(&self.listener, 0).unwrap();
        let address = self.listener.local_addr().unwrap();
        self.queue_filler = Some(TcpStream::connect(address).unwrap());
    }

    /// Frees the listener's queue: connections come up when the system tries them again.
    pub(crate) fn accept_delayed(&mut self) {
        drop(Connection::accept(&[&self.listener]));
        self.queue_filler = None;
    }

    /// The end of a line in the system's table that names this server's port.
    fn port_suffix(&self) -> String {
        format!(":{:04X}", self.listener.local_addr().unwrap().port())
    }
}

/// Waits until a connection to one of these servers is waiting to come up.
pub(crate) fn expect_connecting(servers: &[&DataServer]) {
    let ports: Vec<String> = servers.iter().map(|server| server.port_suffix()).collect();
    let is_connecting = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.len() > 3 && words[3] == SYN_SENT && ports.iter().any(|port| words[2].ends_with(port))
    };
    let until = Instant::now() + BOUND;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        if table.lines().any(is_connecting) {
            return;
        }
        assert!(Instant::now() < until, "nobody is connecting");
        std::thread::sleep(TABLE_POLL);
    }
}

/// The frame that ends an attempt at a part, with a load report.
pub(crate) fn outcome_frame(part: &str, outcome: &PartOutcome) -> Vec<u8> {
    let (word, value) = match outcome {
        PartOutcome::Value(value) => ("good", value.as_str()),
        PartOutcome::Error => ("bad", ""),
        PartOutcome::Overloaded => ("later", ""),
    };
    let text = format!("q{part} {word} 7 rif=1,rate=2\n{value}");
    let length = u32::try_from(text.len()).expect("a script's value is short");
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(text.into_bytes());
    bytes
}

/// Waits for one call of these parts.
pub(crate) fn expect_call(connection: &mut Connection, parts: &[String]) -> Frame {
    let frame = connection.read_frame();
    assert_eq!(frame.letter, CALL, "{frame:?}");
    assert_eq!(called_parts(&frame.text), parts, "{frame:?}");
    frame
}

/// Waits for one call of this part, and checks the time that it says is left.
pub(crate) fn expect_call_with_time_left(connection: &mut Connection, part: &str, at_most_ms: u64) {
    let frame = expect_call(connection, &[part.to_owned()]);
    let (_, time_left) = frame.text.split_once(" d=").unwrap();
    let time_left = time_left.split([',', ' ']).next().unwrap();
    let time_left: u64 = time_left.parse().unwrap();
    assert!(time_left <= at_most_ms, "{time_left} ms are left");
}

/// Waits until an attempt at this part is cancelled.
pub(crate) fn expect_cancel(connection: &mut Connection, part: &str) {
    let expected = Frame {
        letter: CANCEL,
        text: part.to_owned(),
    };
    assert_eq!(connection.read_frame(), expected);
}

/// The ids of a call's parts; each has to carry the query's text unchanged.
fn called_parts(mut rest: &str) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some((line, text)) = rest.split_once('\n') {
        ids.push(line.split(' ').next().unwrap().to_owned());
        assert!(line.ends_with(" 8") && line.contains(" d="), "{line}");
        rest = text.strip_prefix("c41e77d0").unwrap();
    }
    ids
}
