//! A client sends several requests at once on one connection. The broker is told to end (SIGTERM)
//! while the first of them runs. Each request has to get a final answer.
//!
//! Without the disruption, the broker is not told to end.

use crate::common::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const REQUESTS: usize = 4;
const WORK_MS: u64 = 150;
const DEADLINE_MS: u64 = 4000;
/// The shortest time between SIGTERM and SIGKILL: the longest deadline plus 0.7 s.
const KILL_AFTER_MS: u64 = DEADLINE_MS + 700;

pub fn run(trouble: bool) -> Fallible<Vec<String>> {
    let deployment = Deployment::default();
    let discovery = Discovery::start().map_err(text)?;
    let behaviour = Arc::new(|_: &Part| Action::Good(ms(WORK_MS)));
    let fleet = Fleet::start(deployment.servers, behaviour).map_err(text)?;
    fleet.announce(&discovery);
    let mut broker = Broker::start(&deployment, &discovery)?;

    let ids: Vec<String> = (0..REQUESTS)
        .map(|i| format!("9b1f03aa0000000{i}"))
        .collect();
    let mut bytes = Vec::new();
    for (i, id) in ids.iter().enumerate() {
        let shards: Vec<usize> = (0..4).map(|k| (i * 5 + k) % deployment.shards).collect();
        let query = Query {
            id,
            class: "full-report",
            deadline_ms: DEADLINE_MS,
            shards: &shards,
            text: "c41e77d0",
            key: None,
            price: 120_000,
        };
        bytes.extend(query.bytes());
    }
    let mut client = Connection::open(broker.address).map_err(text)?;
    client.send(&bytes).map_err(text)?;
    let sent_at = Instant::now();
    record(&format!(
        "the client sent {REQUESTS} requests at once on one connection"
    ));
    thread::sleep(ms(80));
    let started = fleet.parts().len();
    if trouble {
        broker.signal("TERM")?;
    }
    let until = sent_at + Duration::from_millis(KILL_AFTER_MS);
    let mut answers = 0;
    let mut end = String::from("the connection is open and silent at the time of SIGKILL");
    while answers < REQUESTS {
        match client.read(until) {
            Reading::Response(response) => {
                let line = response.head.lines().next().unwrap_or_default().to_owned();
                let closes = response.head.contains("Connection: close");
                record(&format!(
                    "answer to {}: {line}, Connection: close {closes}",
                    ids[answers]
                ));
                answers += 1;
            }
            Reading::Closed(bytes) => {
                end = format!(
                    "the broker ended the connection after {bytes} bytes of another response"
                );
                record(&end);
                break;
            }
            Reading::Nothing => break,
        }
    }
    if started == 0 {
        return Err("no part reached a data server before SIGTERM".to_owned());
    }
    if !trouble && let Some(status) = broker.ended() {
        return Err(format!("the broker ended: {status}"));
    }
    let forwarded = |id: &String| {
        fleet
            .parts()
            .iter()
            .any(|part| part.id.starts_with(id.as_str()))
    };
    Ok(ids[answers..]
        .iter()
        .map(|id| {
            format!(
                "request {id} got no final answer ({end}); a part was forwarded: {}",
                forwarded(id)
            )
        })
        .collect())
}
