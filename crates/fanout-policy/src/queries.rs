//! The queries that have no final answer yet, their parts and attempts.
//!
//! [`QueryTable`] owns the queries, each [`InFlightQuery`] its parts, each [`PartState`] its
//! [`Attempt`]s. [`AttemptTable`] owns the data that is needed to update the statistics when an
//! attempt ends. An attempt may end after its query, so the table keeps its entry until then.

mod attempt;
mod attempt_table;
mod in_flight_query;
mod part_state;
mod query_table;

pub(crate) use attempt::{Attempt, InFlightAttempt};
pub(crate) use attempt_table::AttemptTable;
pub(crate) use in_flight_query::{AnswerKind, Arrival, InFlightQuery};
pub(crate) use part_state::PartState;
pub(crate) use query_table::{QueryProgress, QueryTable};
