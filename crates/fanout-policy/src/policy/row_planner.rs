//! Assignment of a query's parts to replica rows, and the parts that an answer can do without.
//!
//! [`RowPlanner`] has no state of its own.

use super::batch_context::BatchContext;
use super::completion::SHARE_TOLERANCE;
use super::fanout_width::FanoutWidthController;
use super::forecast::Forecaster;
use crate::api::Ms;
use crate::fleet::Fleet;
use crate::queries::InFlightQuery;
use crate::random::RandomSource;

/// Forecast latency of a part at the server of its row.
struct PartForecast {
    /// Index of the part.
    part: usize,
    latency: Ms,
}

/// Plans queries in one batch.
#[derive(Clone, Copy)]
pub(crate) struct RowPlanner<'a> {
    batch: &'a BatchContext<'a>,
    fleet: &'a Fleet,
    forecaster: Forecaster<'a>,
}

impl<'a> RowPlanner<'a> {
    /// A planner with this knowledge.
    pub(crate) fn new(
        batch: &'a BatchContext<'a>,
        fleet: &'a Fleet,
        forecaster: Forecaster<'a>,
    ) -> Self {
        RowPlanner {
            batch,
            fleet,
            forecaster,
        }
    }

    /// Assigns the parts of the current step to rows, and defers those that the answer can
    /// do without.
    pub(crate) fn plan(
        &self,
        query: &mut InFlightQuery,
        width: &FanoutWidthController,
        random: &mut RandomSource,
    ) {
        self.assign_rows(query, width, random);
        self.defer_spare_parts(query);
    }

    /// Assigns the parts of the current step to adjacent rows, starting at a random one, in
    /// round-robin order. Parts with the same holders go to the same row, and rows are used
    /// from last to first: where shards overlap, the parts of neighbouring shards then go
    /// to the same server and share a call.
    fn assign_rows(
        &self,
        query: &mut InFlightQuery,
        width: &FanoutWidthController,
        random: &mut RandomSource,
    ) {
        let rows = self.rows_for(query);
        let width = width.draw(rows, random);
        let first_row = random.below(rows);
        let offset = random.below(width);
        let mut homes: Vec<usize> = Vec::new();
        for part in query.step_parts_mut() {
            let home = part.shard() % self.batch.settings.cells.max(1);
            let known = homes.iter().position(|known| *known == home);
            let rank = known.unwrap_or(homes.len());
            if rank == homes.len() {
                homes.push(home);
            }
            let row = (first_row + width - 1 - (offset + rank) % width) % rows;
            let holders = self.fleet.holders(part.shard());
            part.assign((!holders.is_empty()).then(|| holders[row % holders.len()]));
        }
    }

    /// Largest number of holders of any shard of the current step, at least 1.
    fn rows_for(&self, query: &InFlightQuery) -> usize {
        let parts = query.step_parts().iter();
        let holders = parts.map(|part| self.fleet.holders(part.shard()).len());
        holders.max().unwrap_or(0).max(1)
    }

    /// Defers parts that a class with a required share below 1 can do without, those with
    /// the slowest forecasts first. They are sent once another part is overdue or has
    /// failed.
    fn defer_spare_parts(&self, query: &mut InFlightQuery) {
        let mut spare = 1.0 - self.batch.class_of(query).required_share;
        if query.in_second_step() || spare <= SHARE_TOLERANCE {
            return;
        }
        for PartForecast { part, .. } in self.slowest_first(query) {
            let part = &mut query.step_parts_mut()[part];
            if part.weight() <= spare + SHARE_TOLERANCE {
                spare -= part.weight();
                part.defer();
            }
        }
    }

    /// The parts of the first step by their forecasts at the servers of their rows, those
    /// without a server first.
    fn slowest_first(&self, query: &InFlightQuery) -> Vec<PartForecast> {
        let forecasts = query.step_parts().iter().enumerate().map(|(index, part)| {
            let work = self.forecaster.part_cost(query, part);
            let latency = |server| self.forecaster.latency(server, query.class(), work);
            PartForecast {
                part: index,
                latency: part.row_server().map_or(f64::INFINITY, latency),
            }
        });
        let mut forecasts: Vec<PartForecast> = forecasts.collect();
        forecasts.sort_by(|a, b| b.latency.total_cmp(&a.latency));
        forecasts
    }
}
