//! The stand-ins of the cases, and the cases themselves: `standin CASE ROOT FOLDER`. `ROOT` is the
//! repository, `FOLDER` that of the case, where `record.txt` is written. Exits with 1 if the rule
//! was broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment the case does the same without the disruption.

mod broker;
mod client;
mod data_server;
mod discovery;
mod record;

use broker::{Broker, Deployment};
use client::{Query, Response, ask, connect, full_report, read_response, value_in};
use data_server::{DataServer, Spoilt, SpoiltAnswers, value_of};
use discovery::Discovery;
use record::Record;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Number of data servers: one for each cell.
const SERVERS: usize = 12;
/// Slack on each time limit (`PROTOCOL`, "The rules on sockets").
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// What the check of a case has found.
struct Verdict {
    /// Observations that break the rule.
    broken: Vec<String>,
    /// Whether the case observed what it needs for its check.
    is_conclusive: bool,
}

/// Everything that a case needs.
struct Bed {
    servers: Vec<Arc<DataServer>>,
    discovery: Arc<Discovery>,
    broker: Broker,
    record: Arc<Record>,
    spoilt: Arc<SpoiltAnswers>,
    has_trouble: bool,
}

impl Bed {
    fn start(
        root: &Path,
        folder: &Path,
        deployment: &Deployment,
        work: Duration,
        spoilt: Spoilt,
    ) -> io::Result<Self> {
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let record = Arc::new(Record::create(&folder.join("record.txt"), Instant::now())?);
        record.line(&format!("trouble: {has_trouble}"));
        let spoilt = Arc::new(SpoiltAnswers {
            kind: spoilt,
            left: AtomicI64::new(0),
        });
        let server = |cell| {
            let name = format!("s-{cell:08x}");
            DataServer::start(name, cell, work, spoilt.clone(), record.clone())
        };
        let servers: Vec<_> = (0..SERVERS).map(server).collect();
        let discovery = Discovery::start(&servers, record.clone());
        let broker = Broker::start(root, folder, deployment, &discovery)?;
        record.line(&format!("the broker is ready at {}", broker.address));
        Ok(Bed {
            servers,
            discovery,
            broker,
            record,
            spoilt,
            has_trouble,
        })
    }

    /// Sends a query on a new connection and records the response.
    fn ask(&self, query: &Query) -> (Instant, Option<Response>) {
        let (sent_at, response) = ask(self.broker.address, query);
        self.record_response(query, sent_at, response.as_ref());
        (sent_at, response)
    }

    fn record_response(&self, query: &Query, sent_at: Instant, response: Option<&Response>) {
        let (id, wait) = (&query.id, query.wait.as_millis());
        let shards = &query.shards;
        self.record.line_at(
            sent_at,
            &format!("client sends {id} for shards {shards:?}, waits {wait} ms"),
        );
        match response {
            Some(r) => {
                let took = r.at.saturating_duration_since(sent_at).as_millis();
                let (status, body) = (r.status, r.body.trim_end());
                self.record.line_at(
                    r.at,
                    &format!("client gets {id}: {status} after {took} ms: {body}"),
                );
            }
            None => self
                .record
                .line(&format!("client gets {id}: connection ends without answer")),
        }
    }
}

/// A caller gets a value that no data server made for its query, after a spoilt answer whose length
/// is too short.
fn wrong_value(root: &Path, folder: &Path) -> io::Result<(Bed, Verdict)> {
    let deployment = Deployment {
        aim_ms: 2000,
        give_up_ms: 4000,
        sockets: 1024,
        memory_mb: 192,
    };
    let bed = Bed::start(
        root,
        folder,
        &deployment,
        Duration::from_millis(20),
        Spoilt::ShortLength,
    )?;
    let mut broken = Vec::new();
    let mut answered = 0;
    for number in 0..40 {
        if number == 10 && bed.has_trouble {
            bed.spoilt.left.store(3, Ordering::SeqCst);
        }
        let query = full_report(number * 7, 5, Duration::from_millis(3000), "c41e77d0");
        let (_, response) = bed.ask(&query);
        let Some(response) = response.filter(|r| r.status == 200) else {
            continue;
        };
        answered += 1;
        for shard in &query.shards {
            let expected = value_of(&format!("{}.{shard}", query.id), &query.text);
            let found = value_in(&response.body, *shard);
            if found.is_some_and(|found| found != expected) {
                broken.push(format!(
                    "{} got {found:?} for shard {shard}, but its value is {expected}",
                    query.id
                ));
            }
        }
    }
    let all_spoilt = bed.spoilt.left.load(Ordering::SeqCst) <= 0;
    let is_conclusive = answered >= 30 && all_spoilt;
    Ok((
        bed,
        Verdict {
            broken,
            is_conclusive,
        },
    ))
}

/// The broker's memory goes over its limit while a data server sends a spoilt answer without end.
fn memory_limit(root: &Path, folder: &Path) -> io::Result<(Bed, Verdict)> {
    const MEMORY_MB: u32 = 32;
    const ENDLESS_ANSWERS: i64 = 1;
    let deployment = Deployment {
        aim_ms: 2000,
        give_up_ms: 4000,
        sockets: 1024,
        memory_mb: MEMORY_MB,
    };
    let work = Duration::from_millis(20);
    let bed = Bed::start(root, folder, &deployment, work, Spoilt::Endless)?;
    let is_done = AtomicBool::new(false);
    let (answered, peak_kb) = thread::scope(|scope| {
        let watcher = scope.spawn(|| {
            let mut peak_kb = 0;
            while !is_done.load(Ordering::SeqCst) {
                peak_kb = peak_kb.max(bed.broker.anonymous_memory_kb());
                thread::sleep(Duration::from_millis(1));
            }
            peak_kb
        });
        let mut answered = 0;
        for number in 0..60 {
            if number % 10 == 5 && bed.has_trouble {
                bed.record.line("the next call gets an endless answer");
                bed.spoilt.left.store(ENDLESS_ANSWERS, Ordering::SeqCst);
            }
            let query = full_report(number * 7, 4, Duration::from_secs(3), "c41e77d0");
            answered += u32::from(bed.ask(&query).1.is_some());
        }
        is_done.store(true, Ordering::SeqCst);
        (answered, watcher.join().expect("the watcher"))
    });
    let limit_kb = u64::from(MEMORY_MB) * 1024;
    bed.record.line(&format!(
        "the broker's anonymous memory was {peak_kb} KiB at most, its limit is {limit_kb} KiB"
    ));
    let mut broken = Vec::new();
    if peak_kb > limit_kb {
        broken.push(format!(
            "the broker took {peak_kb} KiB, over its limit of {limit_kb} KiB"
        ));
    }
    let is_conclusive = answered > 0 && peak_kb > 0;
    Ok((
        bed,
        Verdict {
            broken,
            is_conclusive,
        },
    ))
}

/// A query gets its final answer more than half a second after its time, while bad clients hold
/// connections with half a request.
fn late_answer(root: &Path, folder: &Path) -> io::Result<(Bed, Verdict)> {
    const BAD_CLIENTS: usize = 264;
    const USUAL_CLIENTS: usize = 6;
    let deployment = Deployment {
        aim_ms: 300,
        give_up_ms: 500,
        sockets: 256,
        memory_mb: 192,
    };
    let bed = Bed::start(
        root,
        folder,
        &deployment,
        Duration::from_millis(130),
        Spoilt::ShortLength,
    )?;
    let wait = Duration::from_millis(300);
    for number in 0..20 {
        bed.ask(&full_report(number * 7, 4, wait, "c41e77d0"));
    }
    // Half a request each: a head without end. These clients stay.
    let mut bad_clients: Vec<TcpStream> = Vec::new();
    let bad = if bed.has_trouble { BAD_CLIENTS } else { 0 };
    for number in 0..bad {
        let mut stream = connect(bed.broker.address)?;
        let head = format!(
            "POST /full-report HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {number:016x}\r\n"
        );
        stream.write_all(head.as_bytes())?;
        bad_clients.push(stream);
    }
    bed.record
        .line(&format!("{bad} bad clients have sent half a request"));
    let limit = wait + Duration::from_millis(500) + SOCKET_SLACK;
    let mut broken = Vec::new();
    let mut answered = 0;
    thread::scope(|scope| {
        let clients: Vec<_> = (0..USUAL_CLIENTS)
            .map(|number| {
                thread::sleep(Duration::from_millis(10));
                let bed = &bed;
                scope.spawn(move || {
                    let query = full_report(number * 5, 4, wait, "c41e77d0");
                    let (sent_at, response) = bed.ask(&query);
                    (query, sent_at, response)
                })
            })
            .collect();
        for client in clients {
            let (query, sent_at, response) = client.join().expect("a client");
            // A first request whose connection is closed without an answer has failed; that is no
            // breach.
            let Some(response) = response else { continue };
            answered += 1;
            let took = response.at.saturating_duration_since(sent_at);
            if took > limit {
                broken.push(format!(
                    "{} was answered {} ms after its last byte; its time was {} ms, the limit is {} ms",
                    query.id,
                    took.as_millis(),
                    wait.as_millis(),
                    limit.as_millis()
                ));
            }
        }
    });
    drop(bad_clients);
    let is_conclusive = answered > 0;
    Ok((
        bed,
        Verdict {
            broken,
            is_conclusive,
        },
    ))
}

/// New parts go to leaving data servers for good, while discovery answers its calls late.
fn slow_discovery(root: &Path, folder: &Path) -> io::Result<(Bed, Verdict)> {
    /// How long after its wait a call is answered. The pages allow 2 s.
    const LATENESS: Duration = Duration::from_millis(1200);
    /// When a change counts as told, whether or not it arrived.
    const TOLD_AFTER: Duration = Duration::from_secs(6);
    const DRAIN_GRACE: Duration = Duration::from_millis(500);
    let deployment = Deployment {
        aim_ms: 2000,
        give_up_ms: 4000,
        sockets: 1024,
        memory_mb: 192,
    };
    let bed = Bed::start(
        root,
        folder,
        &deployment,
        Duration::from_millis(20),
        Spoilt::ShortLength,
    )?;
    let started_at = Instant::now();
    let mut drained_at = None;
    let mut is_slow = false;
    let mut number = 0;
    while started_at.elapsed() < Duration::from_secs(20) {
        let elapsed = started_at.elapsed();
        if elapsed > Duration::from_secs(2) && !is_slow {
            is_slow = true;
            if bed.has_trouble {
                bed.discovery.become_slow(LATENESS);
            }
        }
        if elapsed > Duration::from_secs(5) && drained_at.is_none() {
            for server in &bed.servers[..3] {
                bed.discovery.drain(server);
            }
            drained_at = Some(Instant::now());
        }
        bed.ask(&full_report(
            number * 7,
            4,
            Duration::from_secs(3),
            "c41e77d0",
        ));
        number += 1;
        thread::sleep(Duration::from_millis(50));
    }
    let limit = drained_at.expect("a drain") + TOLD_AFTER + DRAIN_GRACE + SOCKET_SLACK;
    let mut broken = Vec::new();
    let mut to_others = 0;
    for (number, server) in bed.servers.iter().enumerate() {
        for attempt in server.attempts.lock().unwrap().iter() {
            if attempt.first_byte <= limit {
                continue;
            }
            if number >= 3 {
                to_others += 1;
            } else {
                broken.push(format!(
                    "{} got {} {} ms after it was listed as leaving",
                    server.name,
                    attempt.id,
                    attempt
                        .first_byte
                        .saturating_duration_since(drained_at.unwrap())
                        .as_millis()
                ));
            }
        }
    }
    Ok((
        bed,
        Verdict {
            broken,
            is_conclusive: to_others > 0,
        },
    ))
}

/// A client sends many requests at once on a connection; those that wait longest get their final
/// answers more than half a second after their time.
fn many_at_once(root: &Path, folder: &Path) -> io::Result<(Bed, Verdict)> {
    let deployment = Deployment {
        aim_ms: 1000,
        give_up_ms: 1500,
        sockets: 1024,
        memory_mb: 192,
    };
    let bed = Bed::start(
        root,
        folder,
        &deployment,
        Duration::from_millis(250),
        Spoilt::ShortLength,
    )?;
    let wait = Duration::from_millis(1000);
    // Without the disruption, the same requests are sent one at a time.
    let text = "c41e77d0".repeat(250);
    let queries: Vec<Query> = (0..24)
        .map(|n| full_report(n * 7, 4, wait, &text))
        .collect();
    let limit = wait + Duration::from_millis(500) + SOCKET_SLACK;
    let mut broken = Vec::new();
    let mut answered = 0;
    let mut stream = connect(bed.broker.address)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let at_once = if bed.has_trouble { queries.len() } else { 1 };
    for group in queries.chunks(at_once) {
        let bytes: Vec<u8> = group.iter().flat_map(|q| q.bytes.clone()).collect();
        stream.write_all(&bytes)?;
        let sent_at = Instant::now();
        for query in group {
            let response = read_response(&mut reader);
            bed.record_response(query, sent_at, response.as_ref());
            let Some(response) = response else { break };
            answered += 1;
            let took = response.at.saturating_duration_since(sent_at);
            if took > limit {
                broken.push(format!(
                    "{} was answered {} ms after its last byte; the limit is {} ms",
                    query.id,
                    took.as_millis(),
                    limit.as_millis()
                ));
            }
        }
    }
    let is_conclusive = answered > 0;
    Ok((
        bed,
        Verdict {
            broken,
            is_conclusive,
        },
    ))
}

fn run() -> io::Result<i32> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        return Err(io::Error::other("usage: standin CASE ROOT FOLDER"));
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let (mut bed, verdict) = match case.as_str() {
        "memory-limit" => memory_limit(&root, &folder)?,
        "wrong-value" => wrong_value(&root, &folder)?,
        "late-answer" => late_answer(&root, &folder)?,
        "slow-discovery" => slow_discovery(&root, &folder)?,
        "many-at-once" => many_at_once(&root, &folder)?,
        other => return Err(io::Error::other(format!("no case {other}"))),
    };
    let is_running = bed.broker.is_running();
    let code = match (&verdict.broken[..], verdict.is_conclusive && is_running) {
        ([_, ..], _) => 1,
        ([], true) => 0,
        ([], false) => 2,
    };
    bed.record.line("--- the broker's log");
    bed.record.line(&bed.broker.log());
    bed.record.line("--- verdict");
    for text in &verdict.broken {
        bed.record.line(&format!("rule broken: {text}"));
    }
    let summary = format!(
        "{} observations break the rule; the broker runs: {is_running}; exit {code}",
        verdict.broken.len()
    );
    bed.record.line(&summary);
    println!("{case}: {summary}");
    if let Some(first) = verdict.broken.first() {
        println!("first: {first}");
    }
    Ok(code)
}

/// Time after which a case is ended as one that could not run.
const MAX_DURATION: Duration = Duration::from_secs(100);

fn main() {
    thread::spawn(|| {
        thread::sleep(MAX_DURATION);
        eprintln!("the case did not end within {MAX_DURATION:?}");
        std::process::exit(2);
    });
    let code = run().unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        2
    });
    std::process::exit(code);
}
