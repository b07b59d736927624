//! Assignment of a query's parts to replica rows, and the parts that an answer can do without.

use super::tuning::SHARE_TOLERANCE;
use crate::aggregator::Aggregator;
use crate::state::{InFlightQuery, PartForecast};

impl Aggregator {
    /// Assigns the parts of the current step to adjacent rows, starting at a random one, in
    /// round-robin order. Parts with the same holders go to the same row, and rows are used
    /// from last to first: where shards overlap, the parts of neighbouring shards then go
    /// to the same server and share a call.
    pub(crate) fn assign_rows(&mut self, query: &mut InFlightQuery) {
        let rows = self.fleet.rows.rows_for(query.step_parts());
        let width = self.fanout_widths[query.class].draw(rows, &mut self.random);
        let first_row = self.random.below(rows);
        let offset = self.random.below(width);
        let mut homes: Vec<usize> = Vec::new();
        for part in &mut query.parts[query.step_start..] {
            let home = part.shard % self.settings.cells.max(1);
            let known = homes.iter().position(|known| *known == home);
            let rank = known.unwrap_or(homes.len());
            if rank == homes.len() {
                homes.push(home);
            }
            let row = (first_row + width - 1 - (offset + rank) % width) % rows;
            let holders = self.fleet.rows.holders(part.shard);
            part.row_server = (!holders.is_empty()).then(|| holders[row % holders.len()]);
        }
    }

    /// Defers parts that a class with a required share below 1 can do without, those with
    /// the slowest forecasts first. They are sent once another part is overdue or has
    /// failed.
    pub(crate) fn defer_spare_parts(&self, query: &mut InFlightQuery) {
        let mut spare = 1.0 - self.class_of(query).required_share;
        if query.step_start != 0 || spare <= SHARE_TOLERANCE {
            return;
        }
        let forecast = |part: usize| {
            let server = query.parts[part].row_server;
            let latency = |server| self.forecast(server, query.class, self.part_cost(query, part));
            let latency = server.map_or(f64::INFINITY, latency);
            PartForecast { part, latency }
        };
        let mut slowest_first: Vec<PartForecast> = (0..query.parts.len()).map(forecast).collect();
        slowest_first.sort_by(|a, b| b.latency.total_cmp(&a.latency));
        for PartForecast { part, .. } in slowest_first {
            let part = &mut query.parts[part];
            if part.weight <= spare + SHARE_TOLERANCE {
                spare -= part.weight;
                part.is_deferred = true;
            }
        }
    }
}
