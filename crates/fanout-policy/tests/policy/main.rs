//! Tests of the policy through its public interface, without the simulator.

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
