//! Policy of an aggregator: a broker instance that answers each query from many shards.
//!
//! Each query consists of parts, each of which reads one shard. Several servers hold each shard; a
//! replica row consists of one holder of each shard. For each query the policy decides
//! whether to admit it, how many replica rows to contact (the fan-out width) and to which row each
//! part goes. Parts for the same server are sent together in one call. The policy detects failing
//! and slow servers from the outcomes of attempts (its own and those that other programs report)
//! and from the gossip of other aggregators. It sends retries and hedged requests within a budget.
//! It answers a query as soon as enough parts are served, and rejects a query that is unlikely to
//! be answered in time. In some classes a query has two steps: after the answer to the parts of the
//! first step, further parts arrive, and the query is answered a second time from these.
//!
//! The crate performs no input or output: the caller passes events in and carries out the
//! actions that are returned.
//!
//! # Main types
//!
//! [`Aggregator`] composes the components. It processes each batch of events in a fixed order:
//! events, poll of the endpoint list, control loops, queries, gossip, timer. The types of its input
//! and output are in [`api`], those of its statistics in [`view`].
//!
//! The private module `policy` contains the components that make decisions. Each makes one kind of
//! decision and owns the state that only this decision needs, if any. Time, settings and random
//! numbers are passed to it as arguments. `fleet` contains the servers of the endpoint list; each
//! server composes its components for health, ejections, slow start, latency and outstanding work.
//! `queries` contains the queries in flight, their parts and attempts.
//!
//! # Example
//!
//! ```
//! use fanout_policy::Aggregator;
//! use fanout_policy::api::*;
//!
//! let class = Class {
//!     latency_objective: 1000.0,
//!     client_timeout: 4000.0,
//!     priority_weight: 1.0,
//!     late_weight: 0.0,
//!     retry_safety: RetrySafety::Idempotent,
//!     required_share: 1.0,
//!     minimum_share: 1.0,
//!     partial_weight: 0.0,
//!     has_second_step: false,
//! };
//! let warm_up = WarmUp {
//!     initial_capacity: 0.2,
//!     duration: 10_000.0,
//!     overload_factor: 2.0,
//!     overload_window: 2000.0,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     tenants: vec![],
//!     aggregators: 2,
//!     zone: None,
//!     over_quota_weight: 1.0,
//!     weight_by_work: false,
//!     marks_retries: false,
//!     cells: 3,
//!     replica_cells: 2,
//!     shards: 3,
//!     max_parts_per_call: 8,
//!     call_cost: 10.0,
//!     max_attempts: 3,
//!     hedging: true,
//!     cancellation: true,
//!     max_retry_after: Some(500.0),
//!     gossip: false,
//!     tick: 5.0,
//!     list_source: EndpointListSource::Pushed,
//!     list_poll_deadline: 10_000.0,
//!     retry_budget: None,
//!     warm_up,
//! };
//! let mut aggregator = Aggregator::new(settings, 7);
//! let endpoint = |cell| Endpoint {
//!     node: NodeId(format!("10.0.0.{cell}:80").into()),
//!     cell,
//!     state: ServingState::Serving,
//!     zone: None,
//!     started: None,
//! };
//! let endpoints = (0..3).map(endpoint).collect();
//! aggregator.on_batch(0.0, vec![Event::EndpointList { update: ListUpdate::Cached, endpoints }]);
//!
//! let query = QueryId("q".into());
//! let part = PartId("p".into());
//! let arrival = Query {
//!     id: query.clone(),
//!     group: 1,
//!     class: ClassIndex(0),
//!     tenant: TenantIndex(0),
//!     client_deadline: 4005.0,
//!     waited: 0.0,
//!     is_retry: false,
//! };
//! let first_part = Part { id: part.clone(), group: 1, shard: 0, weight: 1.0, cost_hint: None };
//! let actions = aggregator.on_batch(5.0, vec![Event::Query(arrival), Event::Part(first_part)]);
//! assert!(matches!(&actions[0], Action::SendAttempt { part: sent, .. } if *sent == part));
//!
//! let ended = Event::AttemptEnded {
//!     part,
//!     attempt: 0,
//!     outcome: Outcome::Served,
//!     elapsed: 55.0,
//!     load: None,
//! };
//! let actions = aggregator.on_batch(60.0, vec![ended]);
//! assert!(actions.contains(&Action::Answer { query, complete: true }));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod aggregator;
pub mod api;
mod fleet;
mod policy;
mod queries;
mod random;
pub mod settings;
mod statistics;
pub mod view;

pub use aggregator::Aggregator;
pub use policy::over_capacity_retry_after;
