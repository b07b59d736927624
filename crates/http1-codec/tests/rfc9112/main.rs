//! The requirements of RFC 9112 on a server, case by case. Each case names its section.

mod accepted_requests;
mod consecutive_requests;
mod rejected_bodies;
mod rejected_heads;
mod responses;
mod size_limits;
mod support;
