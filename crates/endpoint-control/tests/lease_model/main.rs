//! A model of two proxies and one server that is warming up, checked for all orders of events:
//! messages that are read late, streams that end, and proxies that connect again. The requests that
//! the proxies together may have in flight never exceed the limit of the server.

mod figures;
mod model;
mod proxy;

use model::{LIMIT_IS_KEPT, LeaseModel};
use stateright::{Checker, Model};

/// Goes through all states of the model.
fn check(model: LeaseModel) -> impl Checker<LeaseModel> {
    model.checker().threads(2).spawn_bfs().join()
}

#[test]
fn limit_is_kept_in_any_order_of_events() {
    let checker = check(LeaseModel {
        acknowledges_when_sent: false,
    });
    checker.assert_properties();
    let states = checker.unique_state_count();
    eprintln!("{states} states");
    assert!(states > 10_000, "{states} states");
}

/// The check finds the fault that it is made for: a time to live that is counted from when the
/// message was sent.
#[test]
fn time_to_live_counted_from_sending_breaks_the_limit() {
    let checker = check(LeaseModel {
        acknowledges_when_sent: true,
    });
    assert!(checker.discovery(LIMIT_IS_KEPT).is_some());
}
