//! How long the units of a lease stay reserved.

use crate::figures::{LEASE_TIMES, at, seconds};
use broker_types::server::NodeId;
use broker_types::time::Timestamp;
use endpoint_control::ProxyName;
use endpoint_control::leases::{LeaseRequest, LeaseTable};

fn server() -> NodeId {
    NodeId("s".into())
}

fn proxy(number: usize) -> ProxyName {
    format!("p{number}").into()
}

/// The units that a proxy requests at the server.
#[derive(Clone, Copy)]
struct Wanted {
    holder: usize,
    units: u32,
    server_limit: u32,
}

impl Wanted {
    /// All units of a server with this limit.
    fn all(holder: usize, server_limit: u32) -> Self {
        Wanted {
            holder,
            units: server_limit,
            server_limit,
        }
    }
}

/// Requests a lease and returns the granted units.
fn grant(leases: &mut LeaseTable, now: Timestamp, wanted: Wanted) -> u32 {
    let request = LeaseRequest {
        server: &server(),
        holder: &proxy(wanted.holder),
        wanted_units: wanted.units,
        server_limit: wanted.server_limit,
    };
    leases.grant(now, request)
}

#[test]
fn grants_never_exceed_the_limit_of_the_server() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    let two_units = |holder, server_limit| Wanted {
        holder,
        units: 2,
        server_limit,
    };
    let granted: Vec<u32> = (0..5)
        .map(|holder| grant(&mut leases, at(0), two_units(holder, 5)))
        .collect();
    assert_eq!(granted, [2, 2, 1, 0, 0]);
    assert_eq!(leases.reserved_units(&server()), 5);
    assert_eq!(
        grant(&mut leases, at(0), two_units(2, 6)),
        2,
        "a lease grows with the limit"
    );
}

/// A proxy that is cut off uses its lease until the end of the time to live, and its last request
/// lasts longer.
#[test]
fn lease_stays_reserved_until_its_holder_cannot_use_it() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    grant(&mut leases, at(0), Wanted::all(0, 3));
    leases.on_acknowledged(seconds(1), &proxy(0));
    assert_eq!(
        grant(&mut leases, seconds(3), Wanted::all(1, 3)),
        0,
        "the time to live has just ended"
    );
    assert_eq!(
        grant(&mut leases, at(6_999_999), Wanted::all(1, 3)),
        0,
        "the last request may be in flight"
    );
    assert_eq!(grant(&mut leases, seconds(7), Wanted::all(1, 3)), 3);
    leases.on_released(seconds(8), &server(), &proxy(1));
    assert_eq!(grant(&mut leases, at(11_999_999), Wanted::all(0, 3)), 0);
    assert_eq!(grant(&mut leases, seconds(12), Wanted::all(0, 3)), 3);
}

/// A message that is not acknowledged may be read late: until the longest pause of a proxy after
/// the end of its stream.
#[test]
fn unacknowledged_lease_stays_reserved_until_its_stream_has_ended() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    grant(&mut leases, at(0), Wanted::all(0, 3));
    assert_eq!(grant(&mut leases, seconds(1000), Wanted::all(1, 3)), 0);
    leases.on_stream_ended(seconds(1000), &proxy(0));
    assert_eq!(grant(&mut leases, at(1_015_999_999), Wanted::all(1, 3)), 0);
    assert_eq!(grant(&mut leases, seconds(1016), Wanted::all(1, 3)), 3);
}

#[test]
fn renewed_lease_continues_and_draining_lease_is_not_renewed() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    for second in 0..10 {
        assert_eq!(grant(&mut leases, seconds(second), Wanted::all(0, 1)), 1);
        leases.on_acknowledged(seconds(second), &proxy(0));
    }
    leases.on_released(seconds(10), &server(), &proxy(0));
    assert_eq!(grant(&mut leases, seconds(11), Wanted::all(0, 1)), 0);
}

#[test]
fn units_of_a_removed_server_are_free_again() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    grant(&mut leases, at(0), Wanted::all(0, 3));
    assert_eq!(grant(&mut leases, at(0), Wanted::all(1, 3)), 0);
    leases.remove_server(&server());
    assert_eq!(leases.reserved_units(&server()), 0);
    assert_eq!(grant(&mut leases, at(0), Wanted::all(1, 3)), 3);
}
