//! Parts that all cases of the second review share: the record, a stand-in of discovery, a stand-in
//! of the data servers, a client, and the broker as a process of its own. Only the standard library
//! is used. All addresses are loopback addresses.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Exit status: the rule held.
pub const HELD: i32 = 0;
/// Exit status: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status: the case could not run.
pub const NOT_RUN: i32 = 2;

pub type Fallible<T> = Result<T, String>;

pub fn text<E: std::fmt::Display>(error: E) -> String {
    error.to_string()
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

// ---------------------------------------------------------------------------------------------
// The record

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens the record, a file with one line for each thing that was sent, answered or run.
pub fn open_record(path: &Path) -> io::Result<()> {
    let _ = STARTED.set(Instant::now());
    let _ = RECORD.set(Mutex::new(File::create(path)?));
    Ok(())
}

/// Milliseconds since the record was opened.
pub fn now_ms() -> f64 {
    STARTED
        .get()
        .map_or(0.0, |start| start.elapsed().as_secs_f64() * 1000.0)
}

pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:10.2} ms  {line}", now_ms());
    }
}

// ---------------------------------------------------------------------------------------------
// The deployment: the settings of the example in WIRE, with what a case changes

/// The numbers of a small deployment. The rest of the settings is the example of the WIRE page.
#[derive(Clone)]
pub struct Deployment {
    pub servers: usize,
    pub shards: usize,
    pub memory_mb: u64,
    pub sockets: u64,
    pub max_open: u64,
    pub cancel: bool,
    pub second_copies: bool,
    /// `repeatable`, `by_key` or `once`, for each of the two classes.
    pub semantics: [&'static str; 2],
    /// `Aim` and `GiveUp` of both classes, in milliseconds.
    pub aim: [u64; 2],
    pub give_up: [u64; 2],
    /// `ClassNeed` and `MinShare` of both classes.
    pub need: [f64; 2],
    pub memory_span: u64,
}

impl Default for Deployment {
    fn default() -> Self {
        Deployment {
            servers: 12,
            shards: 36,
            memory_mb: 192,
            sockets: 1024,
            max_open: 144,
            cancel: true,
            second_copies: true,
            semantics: ["repeatable", "repeatable"],
            aim: [2000, 2000],
            give_up: [4000, 4000],
            need: [0.7777777777777778, 1.0],
            memory_span: 5000,
        }
    }
}

impl Deployment {
    pub fn settings(&self) -> String {
        let class = |i: usize, name: &str, gain: &str, late: &str| {
            format!(
                r#"{{"Aim":{}.0,"DedupScope":"all","Gain":{gain},"GiveUp":{}.0,"LateWorth":{late},"MemorySpan":{}.0,"Name":"{name}","Semantics":"{}","Stream":false}}"#,
                self.aim[i], self.give_up[i], self.memory_span, self.semantics[i]
            )
        };
        format!(
            r#"{{"Allowed":{{"Cancel":{cancel},"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeout":250.0,"Keepalive":15000.0,"MaxOpen":{max_open},"MaxRetryAfter":1000.0,"Multiplex":32,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":{copies},"SendCap":3}},
"Clients":{{"MarksRetry":true}},"Family":"fanout",
"FamilyInfo":{{"Batch":16,"Call":44.0,"ClassNeed":[{n0},{n1}],"FetchParts":[0,0],"MinShare":[{n0},{n1}],"PartialEarns":[0.9,0.9],"Positions":{cells},"Shards":{shards},"WarmKeys":false,"Width":3}},
"Flavors":["small-2c"],"Goal":{{"Whole":0.5,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.3}},
"Layer":0,"Layers":["arsip-nodes"],"Locality":0,"MembershipMode":"pushed","Ordinal":0,"OverShareWorth":0.1,"PeersTotal":2,"Projects":[],
"Report":{{"Columns":[],"How":"off"}},
"Rules":{{"AnswerSlack":20.0,"AskWithin":10000.0,"Cold":12000.0,"ColdFrom":0.17,"DrainGrace":500.0,"Fall":1500.0,"FallMultiple":4.0}},
"Services":[{quick},{full}],
"Tariffs":{{"Connection":0.0,"CrossZone":0.0,"Handshake":0.0,"LateFail":0.05,"MembershipMode":0.0,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.03}},
"Tick":5.0,"Weights":"rough","WorthBy":"work","Zones":["yogya-1"]}}"#,
            cancel = self.cancel,
            copies = self.second_copies,
            max_open = self.max_open,
            n0 = self.need[0],
            n1 = self.need[1],
            cells = self.servers,
            shards = self.shards,
            quick = class(0, "quick-find", "2.0", "0.0"),
            full = class(1, "full-report", "1.0", "0.1"),
        )
    }

    /// Whether the server in `cell` holds `shard`: three cells in a row hold each shard.
    pub fn holds(&self, cell: usize, shard: usize) -> bool {
        (0..3).any(|j| (shard + j) % self.servers == cell)
    }
}

// ---------------------------------------------------------------------------------------------
// Discovery

struct ListState {
    revision: u64,
    /// Entry of each data server, and the revision in which it last changed.
    entries: BTreeMap<String, (String, u64)>,
}

/// A stand-in of discovery, as the PROTOCOL page describes it.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

impl Discovery {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = ListState {
            revision: 1,
            entries: BTreeMap::new(),
        };
        let state = Arc::new((Mutex::new(list), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = serve_discovery(stream, &shared);
                });
            }
        });
        Ok(Discovery { address, state })
    }

    /// Adds a data server, or changes its entry.
    pub fn set(&self, uid: &str, endpoint: SocketAddr, cell: usize, state: &str, boot_ms: u64) {
        let entry = format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"yogya-1","model":"small-2c","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
        );
        let (list, changed) = &*self.state;
        let mut list = list.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        list.entries.insert(uid.to_owned(), (entry, revision));
        changed.notify_all();
    }

    /// The whole list, as the configuration file repeats it.
    pub fn list(&self) -> String {
        let list = self.state.0.lock().unwrap();
        list_json(&list, 0, true)
    }
}

fn list_json(list: &ListState, newer_than: u64, all: bool) -> String {
    let entries: Vec<&str> = list
        .entries
        .values()
        .filter(|(_, revision)| *revision > newer_than)
        .map(|(entry, _)| entry.as_str())
        .collect();
    format!(
        r#"{{"rev":{},"all":{all},"targets":[{}]}}"#,
        list.revision,
        entries.join(",")
    )
}

fn serve_discovery(mut stream: TcpStream, state: &(Mutex<ListState>, Condvar)) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = Vec::new();
    loop {
        let Some(head_end) = read_until_blank_line(&mut stream, &mut input)? else {
            return Ok(());
        };
        let head = String::from_utf8_lossy(&input[..head_end]).into_owned();
        input.drain(..head_end);
        let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let number = |name: &str| {
            let (_, rest) = target.split_once(&format!("{name}="))?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let (list, changed) = state;
        let mut list = list.lock().unwrap();
        let body = match number("index") {
            None => list_json(&list, 0, true),
            Some(index) => {
                let wait = ms(number("wait").unwrap_or(0).min(60_000));
                let until = Instant::now() + wait;
                while list.revision <= index && Instant::now() < until {
                    let left = until - Instant::now();
                    list = changed.wait_timeout(list, left).unwrap().0;
                }
                list_json(&list, index, false)
            }
        };
        drop(list);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes())?;
    }
}

/// Reads until `input` holds a blank line, and returns the number of bytes up to its end.
fn read_until_blank_line(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<usize>> {
    loop {
        if let Some(at) = find(input, b"\r\n\r\n") {
            return Ok(Some(at + 4));
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => input.extend(&chunk[..n]),
        }
    }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|w| w == wanted)
}

// ---------------------------------------------------------------------------------------------
// Data servers

/// A part that a data server has received.
#[derive(Clone, Debug)]
pub struct Part {
    pub id: String,
    pub shard: usize,
    pub list: String,
    pub text: String,
    /// Index of the server.
    pub server: usize,
    /// Number of the connection.
    pub connection: u64,
    /// When the last byte of the frame had come, in milliseconds of the record.
    pub at: f64,
}

/// What a data server does with a part.
pub enum Action {
    /// Works for this time and answers `good` with the value of the part.
    Good(Duration),
    /// Works for this time and answers with this end, such as `bad` or `later`, and no value.
    End(Duration, &'static str),
    /// Writes these bytes, each after its delay.
    Bytes(Vec<(Duration, Vec<u8>)>),
    /// Takes the part and answers nothing.
    Silence,
    /// Closes the connection after this time.
    Close(Duration),
}

pub type Behaviour = dyn Fn(&Part) -> Action + Send + Sync;

/// The value that a data server makes for a part: it depends on the shard and on the query's text.
pub fn value_of(shard: usize, text: &str) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in format!("{shard}:{text}").bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

/// An answer frame.
pub fn answer_frame(id: &str, end: &str, value: &str) -> Vec<u8> {
    let rest = format!("{id} {end} 1840277719 -\n{value}");
    let mut frame = ((rest.len() + 1) as u32).to_be_bytes().to_vec();
    frame.push(b'q');
    frame.extend(rest.as_bytes());
    frame
}

/// All data servers of a case.
pub struct Fleet {
    pub addresses: Vec<SocketAddr>,
    /// Every part that arrived, in order.
    pub parts: Arc<Mutex<Vec<Part>>>,
}

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

impl Fleet {
    /// Starts `count` data servers with the same behaviour.
    pub fn start(count: usize, behaviour: Arc<Behaviour>) -> io::Result<Self> {
        let parts = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = Vec::new();
        for server in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let (behaviour, parts) = (behaviour.clone(), parts.clone());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (behaviour, parts) = (behaviour.clone(), parts.clone());
                    let connection = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
                    thread::spawn(move || {
                        let _ = serve_parts(stream, server, connection, &behaviour, &parts);
                        record(&format!("server {server}: connection {connection} ended"));
                    });
                }
            });
        }
        Ok(Fleet { addresses, parts })
    }

    /// Names all servers to discovery as active, the server with index i in cell i.
    pub fn announce(&self, discovery: &Discovery) {
        for (server, address) in self.addresses.iter().enumerate() {
            discovery.set(&uid(server), *address, server, "active", 0);
        }
    }

    pub fn parts(&self) -> Vec<Part> {
        self.parts.lock().unwrap().clone()
    }
}

pub fn uid(server: usize) -> String {
    format!("s-{server:04}")
}

fn serve_parts(
    mut stream: TcpStream,
    server: usize,
    connection: u64,
    behaviour: &Arc<Behaviour>,
    parts: &Mutex<Vec<Part>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut input: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 65536];
    loop {
        while input.len() >= 5 {
            let length = u32::from_be_bytes([input[0], input[1], input[2], input[3]]) as usize;
            if input.len() < 4 + length {
                break;
            }
            let frame: Vec<u8> = input.drain(..4 + length).collect();
            match frame[4] {
                b'm' => {
                    for mut part in call_parts(&frame[5..]).unwrap_or_default() {
                        part.server = server;
                        part.connection = connection;
                        part.at = now_ms();
                        record(&format!(
                            "server {server}: connection {connection} got part {} shard {} list {} text of {} bytes",
                            part.id,
                            part.shard,
                            part.list,
                            part.text.len()
                        ));
                        parts.lock().unwrap().push(part.clone());
                        act(behaviour(&part), part, writer.clone());
                    }
                }
                b'n' => record(&format!(
                    "server {server}: connection {connection} was told to give up {}",
                    String::from_utf8_lossy(&frame[5..])
                )),
                letter => record(&format!("server {server}: frame {:?}", letter as char)),
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(()),
            n => input.extend(&chunk[..n]),
        }
    }
}

pub fn call_parts(mut rest: &[u8]) -> Option<Vec<Part>> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|b| *b == b'\n')?;
        let line = std::str::from_utf8(&rest[..end]).ok()?;
        let mut fields = line.split(' ');
        let id = fields.next()?.to_owned();
        let shard = fields.next()?.parse().ok()?;
        let list = fields.next()?.to_owned();
        let length: usize = fields.next()?.parse().ok()?;
        let text = String::from_utf8(rest.get(end + 1..end + 1 + length)?.to_vec()).ok()?;
        rest = &rest[end + 1 + length..];
        parts.push(Part {
            id,
            shard,
            list,
            text,
            server: 0,
            connection: 0,
            at: 0.0,
        });
    }
    Some(parts)
}

fn act(action: Action, part: Part, writer: Arc<Mutex<TcpStream>>) {
    let writes = match action {
        Action::Good(work) => {
            let value = value_of(part.shard, &part.text);
            vec![(work, answer_frame(&part.id, "good", &value))]
        }
        Action::End(work, end) => vec![(work, answer_frame(&part.id, end, ""))],
        Action::Bytes(writes) => writes,
        Action::Silence => return,
        Action::Close(delay) => {
            thread::spawn(move || {
                thread::sleep(delay);
                let _ = writer.lock().unwrap().shutdown(std::net::Shutdown::Both);
            });
            return;
        }
    };
    thread::spawn(move || {
        for (delay, bytes) in writes {
            thread::sleep(delay);
            let sent = writer.lock().unwrap().write_all(&bytes);
            record(&format!(
                "server {}: connection {} sent {} bytes for {}: {:?} {}",
                part.server,
                part.connection,
                bytes.len(),
                part.id,
                String::from_utf8_lossy(&bytes[..bytes.len().min(100)]),
                if sent.is_ok() { "" } else { "(failed)" }
            ));
        }
    });
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A response as a client has read it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Response {
    /// Whether the response says that the answer is whole.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.body.contains(r#""total":true"#)
    }

    /// The shards and values of an answer.
    pub fn values(&self) -> Vec<(usize, String)> {
        let mut values = Vec::new();
        for entry in self.body.split(r#"{"range":"#).skip(1) {
            let digits: String = entry.chars().take_while(char::is_ascii_digit).collect();
            let blob = entry.split(r#""blob":""#).nth(1).unwrap_or_default();
            let blob = blob.split('"').next().unwrap_or_default();
            if let Ok(shard) = digits.parse() {
                values.push((shard, blob.to_owned()));
            }
        }
        values
    }
}

/// A query as a client sends it.
pub struct Query<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub deadline_ms: u64,
    pub shards: &'a [usize],
    pub text: &'a str,
    pub key: Option<&'a str>,
    /// Guess at the work of a part, in microseconds.
    pub price: u64,
}

impl Query<'_> {
    /// The head and the body of the request, with equal weights.
    pub fn encode(&self) -> (String, String) {
        let weight = format!("{:.6}", 1.0 / self.shards.len() as f64);
        self.encode_with_weights(&vec![weight.as_str(); self.shards.len()])
    }

    /// The request, with these weights as its text gives them.
    pub fn bytes_with_weights(&self, weights: &[&str]) -> Vec<u8> {
        let (head, body) = self.encode_with_weights(weights);
        (head + &body).into_bytes()
    }

    fn encode_with_weights(&self, weights: &[&str]) -> (String, String) {
        let price = self.price;
        let ranges: Vec<String> = self
            .shards
            .iter()
            .zip(weights)
            .map(|(shard, weight)| {
                format!(r#"{{"range":{shard},"portion":{weight},"price":{price}}}"#)
            })
            .collect();
        let body = format!(
            r#"{{"ranges":[{}],"predicate":"{}"}}"#,
            ranges.join(","),
            self.text
        );
        let key = self
            .key
            .map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: {deadline}m\r\n{key}Content-Length: {length}\r\n\r\n",
            class = self.class,
            id = self.id,
            deadline = self.deadline_ms,
            length = body.len(),
        );
        (head, body)
    }

    pub fn bytes(&self) -> Vec<u8> {
        let (head, body) = self.encode();
        (head + &body).into_bytes()
    }
}

/// A client's connection.
pub struct Connection {
    pub stream: TcpStream,
    input: Vec<u8>,
}

/// What a client reads next.
#[derive(Debug)]
pub enum Reading {
    Response(Response),
    /// The broker has closed or reset the connection, here with this many bytes of a response.
    Closed(usize),
    /// Nothing more came in time.
    Nothing,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            input: Vec::new(),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the next response, and waits for it until `until`.
    pub fn read(&mut self, until: Instant) -> Reading {
        loop {
            if let Some(response) = self.take_response() {
                return Reading::Response(response);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return Reading::Nothing;
            }
            let mut chunk = [0; 16384];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Reading::Closed(self.input.len()),
                Ok(n) => self.input.extend(&chunk[..n]),
                Err(e)
                    if [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut].contains(&e.kind()) =>
                {
                    return Reading::Nothing;
                }
                Err(_) => return Reading::Closed(self.input.len()),
            }
        }
    }

    fn take_response(&mut self) -> Option<Response> {
        let head_end = find(&self.input, b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.input[..head_end]).into_owned();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head
            .lines()
            .find_map(|line| {
                line.to_ascii_lowercase()
                    .strip_prefix("content-length:")
                    .map(|n| n.trim().to_owned())
            })
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        if self.input.len() < head_end + length {
            return None;
        }
        let body = String::from_utf8_lossy(&self.input[head_end..head_end + length]).into_owned();
        self.input.drain(..head_end + length);
        Some(Response { status, head, body })
    }
}

pub fn after(milliseconds: u64) -> Instant {
    Instant::now() + ms(milliseconds)
}

// ---------------------------------------------------------------------------------------------
// The broker

static BROKER_PID: AtomicU64 = AtomicU64::new(0);
static PID_FILE: OnceLock<PathBuf> = OnceLock::new();

/// Sets the file that holds the id of the broker's process while it runs.
pub fn set_pid_file(path: PathBuf) {
    let _ = PID_FILE.set(path);
}

/// Kills the broker that runs, if any.
pub fn kill_broker() {
    let pid = BROKER_PID.swap(0, Ordering::SeqCst);
    if pid != 0 {
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -KILL {pid}"))
            .status();
    }
}

/// A broker, started with the command `run` of the deploy file. It is killed when this is dropped.
pub struct Broker {
    child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
    pub config: PathBuf,
}

/// The value of a key of the deploy file.
fn deploy_command(root: &Path, key: &str) -> Fallible<String> {
    let file = fs::read_to_string(root.join("deploy/balancer.toml")).map_err(text)?;
    let line = file
        .lines()
        .find(|line| {
            line.split('=')
                .next()
                .is_some_and(|name| name.trim() == key)
        })
        .ok_or(format!("the deploy file has no {key}"))?;
    let value = line
        .split_once('=')
        .map(|(_, value)| value.trim().trim_matches('"'));
    value
        .map(str::to_owned)
        .ok_or("malformed deploy file".to_owned())
}

fn free_address() -> Fallible<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(text)?;
    listener.local_addr().map_err(text)
}

impl Broker {
    /// Starts a broker and waits until it is ready.
    pub fn start(deployment: &Deployment, discovery: &Discovery) -> Fallible<Self> {
        let root = std::env::current_dir().map_err(text)?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(folder.join("tmp")).map_err(text)?;
        let address = free_address()?;
        let config = folder.join("config.json");
        let content = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            discovery.address,
            deployment.memory_mb,
            deployment.sockets,
            discovery.list(),
            deployment.settings()
        );
        fs::write(&config, content).map_err(text)?;
        let log = File::create(folder.join("broker.log")).map_err(text)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_command(&root, "run")?)
            .current_dir(&root)
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery.address.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(text)?;
        BROKER_PID.store(u64::from(child.id()), Ordering::SeqCst);
        if let Some(file) = PID_FILE.get() {
            fs::write(file, child.id().to_string()).map_err(text)?;
        }
        let broker = Broker {
            child,
            address,
            folder,
            config,
        };
        let until = after(10_000);
        while Instant::now() < until {
            if broker.is_ready() {
                record(&format!(
                    "broker is ready at {address}, process {}",
                    broker.pid()
                ));
                return Ok(broker);
            }
            thread::sleep(ms(20));
        }
        Err("the broker was not ready within 10 s".to_owned())
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.address) else {
            return false;
        };
        let request = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
        connection.send(request).is_ok()
            && matches!(connection.read(after(500)), Reading::Response(r) if r.status == 200)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, to the broker.
    pub fn signal(&self, name: &str) -> Fallible<()> {
        record(&format!("SIG{name} to the broker"));
        let status = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.pid()))
            .status()
            .map_err(text)?;
        if status.success() {
            Ok(())
        } else {
            Err("kill failed".to_owned())
        }
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// The number in kB of a line of the process's status, such as `VmHWM`.
    pub fn status_kb(&self, name: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// The broker's log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("broker.log")).unwrap_or_default()
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        BROKER_PID.store(0, Ordering::SeqCst);
        if let Some(file) = PID_FILE.get() {
            let _ = fs::remove_file(file);
        }
        for line in self.log().lines() {
            record(&format!("broker's log: {line}"));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
