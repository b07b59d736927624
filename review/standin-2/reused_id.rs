//! A bad client sends a request with the id of another client's open request, and the same again the
//! moment it is turned away. The other client leaves. The bad client must not get the values that
//! data servers made for the other client's query.
//!
//! Without the disruption, the second client's request has an id of its own.

use crate::common::*;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const ROUNDS: usize = 10;
/// Work of each part: within what the site states for the class, with the work of the call.
const WORK_MS: u64 = 400;
const SHARDS: usize = 4;
/// Time after which the first client leaves.
const LEAVES_AFTER_MS: u64 = 150;

pub fn run(trouble: bool) -> Fallible<Vec<String>> {
    let deployment = Deployment::default();
    let discovery = Discovery::start().map_err(text)?;
    let behaviour = Arc::new(|_: &Part| Action::Good(ms(WORK_MS)));
    let fleet = Fleet::start(deployment.servers, behaviour).map_err(text)?;
    fleet.announce(&discovery);
    let mut broker = Broker::start(&deployment, &discovery)?;
    let mut broken = Vec::new();
    let mut served = 0;
    for round in 0..ROUNDS {
        let shards: Vec<usize> = (0..SHARDS)
            .map(|k| (round * 3 + k) % deployment.shards)
            .collect();
        let (first_text, second_text) = (format!("a1b2c3{round:02}"), format!("ffee00{round:02}"));
        let first_id = format!("5f3a9c{round:02}00000001");
        let second_id = if trouble {
            first_id.clone()
        } else {
            format!("77d0e1{round:02}00000002")
        };
        let request = |id, text| {
            let query = Query {
                id,
                class: "full-report",
                deadline_ms: 4000,
                shards: &shards,
                text,
                key: None,
                price: 120_000,
            };
            query.bytes()
        };
        let mut first = Connection::open(broker.address).map_err(text)?;
        first.send(&request(&first_id, &first_text)).map_err(text)?;
        let started = Instant::now();
        record(&format!("A sent {first_id} with predicate {first_text}"));
        thread::sleep(ms(30));
        let mut first = Some(first);
        let mut second = Connection::open(broker.address).map_err(text)?;
        let mut tries = 0;
        let response = loop {
            if started.elapsed() >= ms(LEAVES_AFTER_MS) && first.take().is_some() {
                record("A closed its connection");
            }
            tries += 1;
            second
                .send(&request(&second_id, &second_text))
                .map_err(text)?;
            let response = match second.read(after(4500)) {
                Reading::Response(response) => response,
                other => return Err(format!("B got no response: {other:?}")),
            };
            if response.status == 200 || started.elapsed() >= ms(3000) {
                break response;
            }
            if tries == 1 {
                record(&format!(
                    "B sent {second_id} with predicate {second_text}, got {}, and sends it again and again",
                    response.status
                ));
            }
            thread::sleep(ms(5));
        };
        drop(first);
        record(&format!(
            "B's try {tries} of {second_id} got {} {}",
            response.status,
            response.body.trim()
        ));
        if response.status == 200 {
            served += 1;
        }
        for (shard, value) in response.values() {
            let own = value_of(shard, &second_text);
            if value != own {
                let is_first = value == value_of(shard, &first_text);
                let owner = if is_first { "A's query" } else { "no query" };
                broken.push(format!(
                    "round {round}, shard {shard}: B got {value}, made for {owner}; the value for B's query is {own}"
                ));
            }
        }
        // The work of this round ends before the next one starts.
        thread::sleep(ms(WORK_MS + 200));
    }
    if let Some(status) = broker.ended() {
        return Err(format!("the broker ended: {status}"));
    }
    record(&format!("{served} of {ROUNDS} requests of B were served"));
    if !trouble && served < ROUNDS / 2 {
        return Err(format!("only {served} of {ROUNDS} requests were served"));
    }
    Ok(broken)
}
