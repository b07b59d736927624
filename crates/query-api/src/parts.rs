//! The parts in a query's body, and what has to be true of them.

use crate::invalid_request::InvalidRequest;
use crate::limits::MAX_CLIENT_TIMEOUT;
use broker_types::query::PartSpec;
use serde::Deserialize;
use std::time::Duration;

/// Maximum estimate of the work in a part that a client may give.
const MAX_WORK_HINT: Duration = MAX_CLIENT_TIMEOUT;
/// Maximum difference between 1 and the sum of a query's weights. Clients round the weights, and
/// the rounding errors of a hundred parts add up.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// A part in the body of a query. The name of this type must not change: it is part of the JSON
/// library's error messages, which clients receive.
#[derive(Deserialize)]
pub(crate) struct RangeBody {
    /// Index of the shard that the part reads.
    #[serde(rename = "range")]
    shard: usize,
    /// Share of the complete answer that the part contributes, from 0 to 1.
    #[serde(rename = "portion")]
    weight: f64,
    /// Estimate of the work in the part, in microseconds.
    #[serde(rename = "price")]
    work_hint: Option<f64>,
}

impl RangeBody {
    /// Checks the weight and the estimated work, and converts the part. The estimate is rounded
    /// down to whole microseconds. If this makes it zero, it is dropped, because the policy uses
    /// only estimates greater than zero.
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

/// Checks the parts of a query one after the other. It stores at most one part for each shard.
pub(crate) struct PartsChecker {
    /// Whether a part for this shard was added.
    is_requested: Vec<bool>,
    parts: Vec<PartSpec>,
}

impl PartsChecker {
    /// Creates a checker for a deployment with `shards` shards.
    pub(crate) fn new(shards: usize) -> Self {
        PartsChecker {
            is_requested: vec![false; shards],
            parts: Vec::new(),
        }
    }

    /// Checks and adds the next part.
    ///
    /// # Errors
    ///
    /// Returns the reason why the part is invalid by itself or together with the parts before it.
    pub(crate) fn add(&mut self, part: RangeBody) -> Result<(), InvalidRequest> {
        self.mark_requested(part.shard)?;
        self.parts.push(part.check()?);
        Ok(())
    }

    /// Returns the parts.
    ///
    /// # Errors
    ///
    /// Returns the reason why the parts are invalid together.
    pub(crate) fn finish(self) -> Result<Vec<PartSpec>, InvalidRequest> {
        if self.parts.is_empty() {
            return Err(InvalidRequest::NoParts);
        }
        // Whether an answer is complete depends on the sum of the weights of the answered parts.
        // This sum has no meaning if the weights of all parts do not add up to 1.
        let sum: f64 = self.parts.iter().map(|part| part.weight).sum();
        if (sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
            return Err(InvalidRequest::WeightsDoNotAddUp);
        }
        Ok(self.parts)
    }

    /// Marks a shard as requested by a part of the query. A second part for the same shard is
    /// invalid, because data servers identify a part by the request id and the shard.
    fn mark_requested(&mut self, shard: usize) -> Result<(), InvalidRequest> {
        match self.is_requested.get_mut(shard) {
            Some(is_requested) if *is_requested => Err(InvalidRequest::DuplicateShard),
            Some(is_requested) => {
                *is_requested = true;
                Ok(())
            }
            None => Err(InvalidRequest::ShardOutOfBounds),
        }
    }
}
