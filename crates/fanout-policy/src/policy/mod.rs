//! The decisions of an aggregator: methods of [`Aggregator`](crate::Aggregator), with one job to each module.
//!
//! [`batch`] advances each query through the others. Tuned values are in [`tuning`].

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
