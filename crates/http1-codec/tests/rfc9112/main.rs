//! Requirements of RFC 9112 on a server. Each case names the section that it is based on.

mod accepted_requests;
mod consecutive_requests;
mod rejected_bodies;
mod rejected_heads;
mod responses;
mod size_limits;
mod support;
