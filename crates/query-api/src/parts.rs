//! The body of a query and its parts.

use crate::invalid_request::InvalidRequest;
use crate::limits::MAX_CLIENT_TIMEOUT;
use broker_types::query::PartSpec;
use serde::Deserialize;
use std::time::Duration;

/// Largest estimate of the work in a part.
const MAX_WORK_HINT: Duration = MAX_CLIENT_TIMEOUT;
/// Largest difference between 1 and the sum of a query's weights: clients round them, and there may
/// be a hundred.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// The body of a query. The JSON library's messages, which reach clients, contain the names of this
/// type and the next.
#[derive(Deserialize)]
pub(crate) struct Body {
    #[serde(rename = "ranges")]
    pub(crate) parts: Vec<RangeBody>,
    pub(crate) predicate: String,
}

/// One part in the body of a query.
#[derive(Deserialize)]
pub(crate) struct RangeBody {
    #[serde(rename = "range")]
    shard: usize,
    #[serde(rename = "portion")]
    weight: f64,
    /// In microseconds.
    #[serde(rename = "price")]
    work_hint: Option<f64>,
}

impl RangeBody {
    fn check(self) -> Result<PartSpec, InvalidRequest> {
        if !(0.0..=1.0).contains(&self.weight) {
            return Err(InvalidRequest::WeightOutOfBounds);
        }
        let bounds = 0.0..=MAX_WORK_HINT.as_micros() as f64;
        if !self.work_hint.is_none_or(|hint| bounds.contains(&hint)) {
            return Err(InvalidRequest::WorkHintOutOfBounds);
        }
        let work_hint = self
            .work_hint
            .map(|hint| Duration::from_micros(hint as u64));
        Ok(PartSpec {
            shard: self.shard,
            weight: self.weight,
            work_hint: work_hint.filter(|hint| !hint.is_zero()),
        })
    }
}

/// Checks the parts of a query for one of `shards` shards each.
pub(crate) fn check_parts(
    parts: Vec<RangeBody>,
    shards: usize,
) -> Result<Vec<PartSpec>, InvalidRequest> {
    if parts.is_empty() {
        return Err(InvalidRequest::NoParts);
    }
    let mut is_taken = vec![false; shards];
    let mut checked = Vec::with_capacity(parts.len());
    for part in parts {
        take_shard(&mut is_taken, part.shard)?;
        checked.push(part.check()?);
    }
    // Whether an answer is complete is judged by the weights: a query whose weights do not add up
    // to a whole has no right answer.
    let sum: f64 = checked.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err(InvalidRequest::WeightsDoNotAddUp);
    }
    Ok(checked)
}

/// Marks a shard as taken. The id of a part contains its shard, so that no two parts may be for the
/// same one.
fn take_shard(is_taken: &mut [bool], shard: usize) -> Result<(), InvalidRequest> {
    match is_taken.get_mut(shard) {
        Some(is_taken) if *is_taken => Err(InvalidRequest::DuplicateShard),
        Some(is_taken) => {
            *is_taken = true;
            Ok(())
        }
        None => Err(InvalidRequest::ShardOutOfBounds),
    }
}
