//! Tests of each module of the package by itself: limits of slow start, leases, ejections, and the
//! assignment of endpoints.

mod ejection_quorum;
mod endpoint_assignment;
mod leases;
mod parameters;
mod slow_start;
