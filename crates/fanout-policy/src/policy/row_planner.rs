//! Assignment of a query's parts to replica rows, and deferral of the parts that the answer does
//! not need.
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

/// Forecast latency of a part at the server of the row that it is assigned to.
struct PartForecast {
    /// Index of the part among the parts of the current step.
    part: usize,
    latency: Ms,
}

/// Assigns and defers the parts of queries in one batch.
#[derive(Clone, Copy)]
pub(crate) struct RowPlanner<'a> {
    batch: &'a BatchContext<'a>,
    fleet: &'a Fleet,
    forecaster: Forecaster<'a>,
}

impl<'a> RowPlanner<'a> {
    /// Creates a planner for the current batch.
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

    /// Assigns the parts of a query's current step to replica rows, and defers the parts that
    /// the answer does not need.
    pub(crate) fn plan(
        &self,
        query: &mut InFlightQuery,
        width: &FanoutWidthController,
        random: &mut RandomSource,
    ) {
        self.assign_rows(query, width, random);
        self.defer_spare_parts(query);
    }

    /// Assigns the parts of the current step to adjacent rows. The first of these rows is
    /// random, and their number is drawn from `width`.
    ///
    /// The home cell of a shard is the first cell that holds it. Parts of shards with the same
    /// home cell have the same holders and go to the same row. The first home cell among the
    /// parts gets a random one of the rows. Each further home cell gets the next lower row, and
    /// the highest row follows after the lowest.
    ///
    /// Where each cell has one server and several adjacent cells hold a shard, the holders of
    /// shards with consecutive numbers overlap: a server that is in row `r` of one shard is in row
    /// `r - 1` of the next shard, if `r` is not 0. The descending order of the rows therefore
    /// sends the parts of such shards to the same server, where they share a call.
    fn assign_rows(
        &self,
        query: &mut InFlightQuery,
        width: &FanoutWidthController,
        random: &mut RandomSource,
    ) {
        let rows = self.available_rows(query);
        let width = width.draw(rows, random);
        let first_row = random.below(rows);
        let offset = random.below(width);
        let mut home_cells: Vec<usize> = Vec::new();
        for part in query.step_parts_mut() {
            let home_cell = part.shard() % self.batch.settings.cells.max(1);
            let known_index = home_cells.iter().position(|cell| *cell == home_cell);
            let cell_index = known_index.unwrap_or(home_cells.len());
            if cell_index == home_cells.len() {
                home_cells.push(home_cell);
            }
            let row = (first_row + width - 1 - (offset + cell_index) % width) % rows;
            let holders = self.fleet.holders(part.shard());
            part.assign((!holders.is_empty()).then(|| holders[row % holders.len()]));
        }
    }

    /// Returns the number of rows that the parts of the current step can be assigned to: the
    /// maximum number of holders of any of their shards, or 1 if no shard has a holder.
    fn available_rows(&self, query: &InFlightQuery) -> usize {
        let parts = query.step_parts().iter();
        let holders = parts.map(|part| self.fleet.holders(part.shard()).len());
        holders.max().unwrap_or(0).max(1)
    }

    /// Defers parts of the first step that the answer does not need, where the class requires
    /// a share below 1. The parts with the longest forecast latency are deferred first. A
    /// deferred part is sent once another part of the query is overdue, or the last attempt of
    /// another part has ended and that part was not served.
    fn defer_spare_parts(&self, query: &mut InFlightQuery) {
        let mut spare_share = 1.0 - self.batch.class_of(query).required_share;
        if query.in_second_step() || spare_share <= SHARE_TOLERANCE {
            return;
        }
        for PartForecast { part, .. } in self.slowest_first(query) {
            let part = &mut query.step_parts_mut()[part];
            if part.weight() <= spare_share + SHARE_TOLERANCE {
                spare_share -= part.weight();
                part.defer();
            }
        }
    }

    /// Returns the parts of the current step in descending order of their forecast latency at
    /// the server of their row. Parts without a server come first.
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
