//! The components that decide, one to each module, each with the constants it is tuned by.
//!
//! State that decisions depend on has one owner.
//!
//! By query class:
//! - [`fanout_width`] owns the number of replica rows to contact;
//! - [`class_estimates`] owns the cost of parts, forecast errors, the duration of second steps;
//! - [`client_timeout`] owns the usual timeout of clients.
//!
//! By server:
//! - [`server_health`] owns error rates and consecutive failures;
//! - [`outlier_detection`] owns ejections;
//! - [`slow_start`] owns the warm-up after a start;
//! - [`latency`] owns the latency per work;
//! - [`outstanding_work`] owns what waits or runs there.
//!
//! For all servers:
//! - [`zone_silence`] owns the share of unanswered attempts by zone;
//! - [`latency`] owns the median latency of the fleet;
//! - [`slow_start`] owns the rate at which a warm server serves.
//!
//! For the aggregator:
//! - [`admission`] owns the highest weight per work of any query;
//! - [`tenant_quotas`] owns arrivals by tenant;
//! - [`retry_budget`] owns accepted requests, retries and hedged requests;
//! - [`load_gossip`] owns what is unpublished;
//! - [`endpoint_list_poller`] owns the next poll and its backoff;
//! - [`batch_timer`] owns when the next batch and the next control interval are due.
//!
//! The other modules have no state of their own and decide from the state that they are given:
//! [`forecast`], [`time_limits`], [`row_planner`], [`server_selection`], [`retry_policy`],
//! [`completion`], [`retry_after`], [`ended_attempt`] and [`report_sampling`]. Time and settings
//! come in a [`batch_context`], random numbers as an argument.

pub(crate) mod admission;
pub(crate) mod batch_context;
pub(crate) mod batch_timer;
pub(crate) mod class_estimates;
pub(crate) mod client_timeout;
pub(crate) mod completion;
pub(crate) mod ended_attempt;
pub(crate) mod endpoint_list_poller;
pub(crate) mod fanout_width;
pub(crate) mod forecast;
pub(crate) mod gossip_codec;
pub(crate) mod latency;
pub(crate) mod load_gossip;
pub(crate) mod outlier_detection;
pub(crate) mod outstanding_work;
pub(crate) mod report_sampling;
pub(crate) mod retry_after;
pub(crate) mod retry_budget;
pub(crate) mod retry_policy;
pub(crate) mod row_planner;
pub(crate) mod server_health;
pub(crate) mod server_selection;
pub(crate) mod slow_start;
pub(crate) mod smoothing;
pub(crate) mod tenant_quotas;
pub(crate) mod time_limits;
pub(crate) mod zone_silence;

pub use retry_after::over_capacity_retry_after;
