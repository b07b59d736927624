//! Tests of the fan-out policy through its public interface, [`fanout_policy::Aggregator`], with no
//! simulator and no network.

mod common;

mod admission;
mod answers;
mod backoff;
mod endpoint_list;
mod hedging;
mod idempotency;
mod load_reports;
mod outlier_detection;
mod replica_selection;
mod retries;
mod robustness;
mod server_views;
mod settings;
mod warm_up;
