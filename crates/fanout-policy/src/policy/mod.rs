//! The decisions of an aggregator, one job to each module. Tuned values are in [`tuning`].
//!
//! Each module adds methods to [`Aggregator`](crate::Aggregator); [`batch`] calls them in order.

mod admission;
mod batch;
mod completion;
mod endpoint_list;
mod fanout_width;
mod forecast;
mod gossip;
mod outlier_detection;
mod retries;
mod retry_after;
mod row_planner;
mod server_selection;
mod slow_start;
pub(crate) mod tuning;

pub use retry_after::over_capacity_retry_after;
