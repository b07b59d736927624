//! Tests of the real program with bad clients beside usual ones, against a fleet of test doubles on
//! loopback.

mod busy_clients;
mod invalid_requests;
