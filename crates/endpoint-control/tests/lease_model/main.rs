//! A model of one control instance, two proxies and one server that is warming up. The model
//! checker goes through all orders of events: messages that are read late, streams that end, and
//! proxies that connect again. In each of them the requests that the proxies together may have in
//! flight must stay within the limit of the server.

mod model;
mod parameters;
mod proxy;

use model::{LIMIT_IS_KEPT, LeaseModel};
use stateright::{Checker, Model};

/// Explores all states of the model.
fn check(model: LeaseModel) -> impl Checker<LeaseModel> {
    model.checker().threads(2).spawn_bfs().join()
}

#[test]
fn limit_is_kept_in_any_order_of_events() {
    let checker = check(LeaseModel {
        counts_sent_as_acknowledged: false,
    });
    checker.assert_properties();
    let states = checker.unique_state_count();
    eprintln!("{states} states");
    assert!(
        states > 10_000,
        "expected more than 10,000 states, but the checker explored only {states}"
    );
}

/// Guards against a check that finds nothing. In this model the control instance counts the time to
/// live from when it sends a message. It then frees units that a proxy still uses if the proxy reads
/// the message late. The check must find a state with too many requests in flight.
#[test]
fn time_to_live_counted_from_sending_breaks_the_limit() {
    let checker = check(LeaseModel {
        counts_sent_as_acknowledged: true,
    });
    assert!(checker.discovery(LIMIT_IS_KEPT).is_some());
}
