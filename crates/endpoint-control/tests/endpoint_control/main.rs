//! Limits, leases, ejections and assignments, each by itself.

mod ejection_quorum;
mod endpoint_assignment;
mod figures;
mod leases;
mod slow_start;
