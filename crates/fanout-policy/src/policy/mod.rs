//! The components that make the policy's decisions.
//!
//! Each component has its own module, which also defines the constants that tune it. The weights
//! that the moving averages of several components share are in [`smoothing`]. Every piece of state
//! that a decision depends on is owned by exactly one module.
//!
//! State of each query class:
//! - [`fanout_width`] owns the number of replica rows that a query contacts;
//! - [`class_estimates`] owns the estimated cost of a part, the average forecast error and the
//!   average duration of the second step;
//! - [`client_timeout`] owns the estimate of the timeout that clients usually set.
//!
//! State of each server:
//! - [`server_health`] owns the error rates and the number of consecutive failures;
//! - [`outlier_detection`] owns the ejections;
//! - [`slow_start`] owns the warm-up after a start;
//! - [`latency`] owns the latency per ms of outstanding work;
//! - [`outstanding_work`] owns the work that waits or runs at the server.
//!
//! State of the whole fleet:
//! - [`zone_silence`] owns the share of unanswered attempts in each zone;
//! - [`latency`] owns the median latency of the servers;
//! - [`slow_start`] owns the rate at which a warm server serves the work of this aggregator.
//!
//! State of the aggregator itself:
//! - [`admission`] owns the maximum ratio of priority weight to work of all queries so far;
//! - [`tenant_quotas`] owns the arrival times of each tenant's queries;
//! - [`retry_budget`] owns the counts of accepted requests and of retries and hedged requests;
//! - [`load_gossip`] owns the set of servers whose load is still to be published;
//! - [`endpoint_list_poller`] owns the time of the next poll and its backoff;
//! - [`batch_timer`] owns the times at which the next batch and the next control interval are due.
//!
//! The other modules have no state of their own. They decide from the state that the caller passes:
//! [`forecast`], [`time_limits`], [`row_planner`], [`server_selection`], [`retry_policy`],
//! [`completion`], [`retry_after`], [`ended_attempt`] and [`report_sampling`]. [`gossip_codec`]
//! encodes and decodes the messages of [`load_gossip`]. The current time and the settings are
//! passed in a [`batch_context`], random numbers as an argument.

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
