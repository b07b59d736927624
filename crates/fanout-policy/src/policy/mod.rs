//! The decisions of an aggregator: methods of [`Aggregator`](crate::Aggregator), with one job
//! to each module.
//!
//! [`batch`] advances each query through the others. Tuned values are in [`tuning`].

mod admission;
mod batch;
pub(crate) mod batch_context;
pub(crate) mod batch_timer;
mod completion;
pub(crate) mod endpoint_list_poller;
pub(crate) mod fanout_width;
mod forecast;
mod gossip;
mod outlier_detection;
mod retries;
mod retry_after;
pub(crate) mod retry_budget;
mod row_planner;
mod server_selection;
mod slow_start;
pub(crate) mod tuning;

pub use retry_after::over_capacity_retry_after;
