//! A bad client sends a query whose weights do not add up to 1. It is owed an error.
//!
//! Without the disruption, the weights add up to 1.

use crate::common::*;
use std::sync::Arc;

const WORK_MS: u64 = 100;
/// Work of the part with the small weight.
const LONG_WORK_MS: u64 = 300;
const SHARDS: [usize; 4] = [0, 1, 2, 3];
const BAD_WEIGHTS: [&str; 4] = ["0.5", "0.3", "0.2", "0.009"];
const GOOD_WEIGHTS: [&str; 4] = ["0.5", "0.3", "0.191", "0.009"];

pub fn run(trouble: bool) -> Fallible<Vec<String>> {
    let deployment = Deployment::default();
    let discovery = Discovery::start().map_err(text)?;
    let behaviour = Arc::new(|part: &Part| {
        let is_long = part.shard == SHARDS[3];
        Action::Good(ms(if is_long { LONG_WORK_MS } else { WORK_MS }))
    });
    let fleet = Fleet::start(deployment.servers, behaviour).map_err(text)?;
    fleet.announce(&discovery);
    let broker = Broker::start(&deployment, &discovery)?;

    let weights = if trouble { BAD_WEIGHTS } else { GOOD_WEIGHTS };
    let predicate = "c41e77d0";
    let query = Query {
        id: "9b1f03aa5c7e2d41",
        class: "full-report",
        deadline_ms: 4000,
        shards: &SHARDS,
        text: predicate,
        key: None,
        price: 120_000,
    };
    let request = query.bytes_with_weights(&weights);
    let mut client = Connection::open(broker.address).map_err(text)?;
    client.send(&request).map_err(text)?;
    record(&format!(
        "the client sent {}",
        String::from_utf8_lossy(&request)
    ));
    let response = match client.read(after(4500)) {
        Reading::Response(response) => response,
        Reading::Closed(_) if trouble => return Ok(Vec::new()),
        other => return Err(format!("no response: {other:?}")),
    };
    record(&format!(
        "answer {} {}",
        response.status,
        response.body.trim()
    ));
    let values = response.values();
    let is_right = values
        .iter()
        .all(|(shard, value)| *value == value_of(*shard, predicate));
    if !trouble {
        let is_served = response.is_whole() && values.len() == SHARDS.len() && is_right;
        return if is_served {
            Ok(Vec::new())
        } else {
            Err(format!("the sound request got {}", response.status))
        };
    }
    if response.status != 200 {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "a request whose weights add up to 1.009 was served, whole: {}, with {} of {} parts",
        response.is_whole(),
        values.len(),
        SHARDS.len()
    )])
}
