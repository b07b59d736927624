//! Bad clients send hundreds of requests at once, each within the limits of the pages. The broker
//! must stay within the memory that its configuration grants, or the platform kills it.
//!
//! Without the disruption, the same clients send the same requests a few at a time.

use crate::common::*;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Connections of the bad clients; at most a third of the descriptors are for clients' requests.
const CLIENTS: usize = 300;
const REQUESTS_EACH: usize = 30;
/// Connections that a bad client opens at the most.
const MAX_CONNECTIONS_EACH: usize = 20;
/// Without the disruption, at most this many clients are active at a time.
const CALM_CLIENTS: usize = 10;
/// Queries of a usual client before the bad clients come, one after the other.
const USUAL_QUERIES: usize = 24;
const MAX_BODY: usize = 64 * 1024;
const WORK_MS: u64 = 20;
/// Fields of the head besides those of the protocol, and the length of each.
const FIELDS: usize = 58;
const FIELD_LENGTH: usize = 250;
/// Length of a value. The answer with nine of them stays below 64 KiB.
const VALUE_LENGTH: usize = 21000;

pub fn run(trouble: bool) -> Fallible<Vec<String>> {
    // `MaxOpen` as the site has it for 130 queries a second: 38% with nine parts and 62% with four,
    // each query and part counted, for 2.35 s.
    let deployment = Deployment {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        max_open: 2100,
        ..Deployment::default()
    };
    let discovery = Discovery::start().map_err(text)?;
    let behaviour = Arc::new(|part: &Part| {
        let mut value = value_of(part.shard, &part.text);
        value.extend(std::iter::repeat_n('a', VALUE_LENGTH - value.len()));
        Action::Bytes(vec![(ms(WORK_MS), answer_frame(&part.id, "good", &value))])
    });
    let fleet = Fleet::start(deployment.servers, behaviour).map_err(text)?;
    fleet.announce(&discovery);
    let mut broker = Broker::start(&deployment, &discovery)?;
    let at_start = broker.status_kb("RssAnon").ok_or("no RssAnon")?;
    record(&format!(
        "own memory of the broker at the start: {at_start} kB"
    ));

    // A usual client, whose queries show the broker how fast the data servers are.
    let mut usual = Connection::open(broker.address).map_err(text)?;
    for number in 0..USUAL_QUERIES {
        let id = format!("u{number:04}");
        let shards = shards_of(number);
        let query = query(&id, &shards, "c41e77d0");
        usual.send(&query.bytes()).map_err(text)?;
        if !matches!(usual.read(after(4500)), Reading::Response(r) if r.status == 200) {
            return Err("a usual query was not served".to_owned());
        }
    }
    drop(usual);

    let results: Arc<Mutex<std::collections::BTreeMap<String, usize>>> = Arc::default();
    let running = Arc::new(AtomicUsize::new(0));
    let next = Arc::new(AtomicUsize::new(0));
    let threads = if trouble { CLIENTS } else { CALM_CLIENTS };
    for _ in 0..threads {
        let (results, running, next, address) = (
            results.clone(),
            running.clone(),
            next.clone(),
            broker.address,
        );
        running.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            loop {
                let client = next.fetch_add(1, Ordering::SeqCst);
                if client >= CLIENTS {
                    break;
                }
                for result in send_requests(address, client) {
                    *results.lock().unwrap().entry(result).or_insert(0) += 1;
                }
            }
            running.fetch_sub(1, Ordering::SeqCst);
        });
    }
    let limit = MEMORY_MB * 1024;
    let (mut peak, mut over_since) = (0, None);
    let until = after(90_000);
    while running.load(Ordering::SeqCst) > 0 && Instant::now() < until {
        // Memory of the process's own: not counting the pages of the program's file.
        let own =
            broker.status_kb("RssAnon").unwrap_or(0) + broker.status_kb("RssShmem").unwrap_or(0);
        if own > limit && over_since.is_none() {
            over_since = Some(now_ms());
            record(&format!(
                "own memory of the broker: {own} kB, over the limit of {limit} kB"
            ));
        }
        peak = peak.max(own);
        thread::sleep(ms(5));
    }
    let results = results.lock().unwrap().clone();
    let resident = broker.status_kb("VmHWM").unwrap_or(0);
    record(&format!("results: {results:?}"));
    record(&format!(
        "peak of its own memory {peak} kB, peak of all resident memory {resident} kB, limit {limit} kB"
    ));
    if let Some(status) = broker.ended() {
        return Ok(vec![format!("the broker ended: {status}")]);
    }
    if !trouble && results.get("200").copied().unwrap_or(0) < CLIENTS * REQUESTS_EACH / 2 {
        return Err(format!("too few requests were served: {results:?}"));
    }
    Ok(if peak > limit {
        vec![format!(
            "the broker used {peak} kB of its own, {resident} kB resident, with a limit of {limit} kB: the platform kills it"
        )]
    } else {
        Vec::new()
    })
}

/// Sends requests on one connection without waiting for their answers, and reads the answers. If the
/// broker closes the connection, sends the requests that were not answered on a new one.
fn send_requests(address: SocketAddr, client: usize) -> Vec<String> {
    let shards = shards_of(client);
    let predicate = "x".repeat(MAX_BODY - 900);
    let fields: String = (0..FIELDS)
        .map(|i| format!("X-Note-{i:02}: {}\r\n", "n".repeat(FIELD_LENGTH)))
        .collect();
    let mut results = Vec::new();
    for _ in 0..MAX_CONNECTIONS_EACH {
        if results.len() >= REQUESTS_EACH {
            break;
        }
        let Ok(mut connection) = Connection::open(address) else {
            continue;
        };
        let Ok(mut writer) = connection.stream.try_clone() else {
            continue;
        };
        let (fields, predicate, shards) = (fields.clone(), predicate.clone(), shards.clone());
        let first = results.len();
        thread::spawn(move || {
            for number in first..REQUESTS_EACH {
                let id = format!("b{client:04}-{number}");
                let query = query(&id, &shards, &predicate);
                let (head, body) = query.encode();
                assert!(body.len() <= MAX_BODY);
                let head = head.replacen("\r\n", &format!("\r\n{fields}"), 1);
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        while results.len() < REQUESTS_EACH {
            match connection.read(after(6000)) {
                Reading::Response(response) => results.push(response.status.to_string()),
                Reading::Closed(_) | Reading::Nothing => break,
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
        thread::sleep(ms(20));
    }
    results
}

/// Shards that the same data servers hold, so that the parts of a query share a call.
fn shards_of(number: usize) -> Vec<usize> {
    (0..3).map(|k| number % 12 + 12 * k).collect()
}

fn query<'a>(id: &'a str, shards: &'a [usize], text: &'a str) -> Query<'a> {
    Query {
        id,
        class: "full-report",
        deadline_ms: 4000,
        shards,
        text,
        key: None,
        price: 2000,
    }
}
