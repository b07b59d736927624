//! Leases: how many units are granted, and how long they stay reserved.

use crate::parameters::{LEASE_TIMES, at_micros, at_seconds};
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

/// A proxy's request for units at the server.
#[derive(Clone, Copy)]
struct GrantRequest {
    /// Number of the proxy.
    holder: usize,
    units: u32,
    /// Units that may be granted at the server to all proxies together.
    server_limit: u32,
}

impl GrantRequest {
    /// Creates a request for all units of a server.
    fn all_units(holder: usize, server_limit: u32) -> Self {
        GrantRequest {
            holder,
            units: server_limit,
            server_limit,
        }
    }
}

/// Requests a lease and returns the units that the proxy may use from now on.
fn grant(leases: &mut LeaseTable, now: Timestamp, request: GrantRequest) -> u32 {
    let lease_request = LeaseRequest {
        server: &server(),
        holder: &proxy(request.holder),
        wanted_units: request.units,
        server_limit: request.server_limit,
    };
    leases.grant(now, lease_request)
}

#[test]
fn grants_never_exceed_the_limit_of_the_server() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    let two_units = |holder, server_limit| GrantRequest {
        holder,
        units: 2,
        server_limit,
    };
    let granted: Vec<u32> = (0..5)
        .map(|holder| grant(&mut leases, at_micros(0), two_units(holder, 5)))
        .collect();
    assert_eq!(granted, [2, 2, 1, 0, 0]);
    assert_eq!(leases.reserved_units(&server()), 5);
    assert_eq!(
        grant(&mut leases, at_micros(0), two_units(2, 6)),
        2,
        "the lease of one unit must grow to two once the limit allows it"
    );
}

/// Guards against units that are granted twice. A proxy whose stream is interrupted uses its lease
/// until the time to live ends, and a request that it sends just before that is in flight for
/// longer still.
#[test]
fn lease_stays_reserved_until_its_holder_cannot_use_it() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    grant(&mut leases, at_micros(0), GrantRequest::all_units(0, 3));
    // Acknowledged after 1 s, the lease ends after 3 s (time to live 2 s), and its last request has
    // ended after 7 s (maximum duration of a request 4 s).
    leases.on_acknowledged(at_seconds(1), &proxy(0));
    assert_eq!(
        grant(&mut leases, at_seconds(3), GrantRequest::all_units(1, 3)),
        0,
        "the time to live has ended, the requests sent before have not"
    );
    assert_eq!(
        grant(
            &mut leases,
            at_micros(6_999_999),
            GrantRequest::all_units(1, 3)
        ),
        0,
        "the last request may be in flight for one more microsecond"
    );
    assert_eq!(
        grant(&mut leases, at_seconds(7), GrantRequest::all_units(1, 3)),
        3
    );
    // Released after 8 s, the lease has no request in flight after 12 s.
    leases.on_released(at_seconds(8), &server(), &proxy(1));
    assert_eq!(
        grant(
            &mut leases,
            at_micros(11_999_999),
            GrantRequest::all_units(0, 3)
        ),
        0
    );
    assert_eq!(
        grant(&mut leases, at_seconds(12), GrantRequest::all_units(0, 3)),
        3
    );
}

/// Guards against units that are granted again while a proxy may still read an old message about
/// them. A paused proxy may read a message after its stream has ended, until the maximum pause has
/// passed, and the time to live begins only when the proxy reads the message.
#[test]
fn unacknowledged_lease_stays_reserved_until_its_stream_has_ended() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    grant(&mut leases, at_micros(0), GrantRequest::all_units(0, 3));
    assert_eq!(
        grant(&mut leases, at_seconds(1000), GrantRequest::all_units(1, 3)),
        0
    );
    // The units stay reserved for another 16 s: the maximum pause (10 s), the time to live (2 s)
    // and the maximum duration of a request (4 s).
    leases.on_stream_ended(at_seconds(1000), &proxy(0));
    assert_eq!(
        grant(
            &mut leases,
            at_micros(1_015_999_999),
            GrantRequest::all_units(1, 3)
        ),
        0
    );
    assert_eq!(
        grant(&mut leases, at_seconds(1016), GrantRequest::all_units(1, 3)),
        3
    );
}

#[test]
fn renewed_lease_continues_and_draining_lease_is_not_renewed() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    for second in 0..10 {
        assert_eq!(
            grant(
                &mut leases,
                at_seconds(second),
                GrantRequest::all_units(0, 1)
            ),
            1
        );
        leases.on_acknowledged(at_seconds(second), &proxy(0));
    }
    leases.on_released(at_seconds(10), &server(), &proxy(0));
    assert_eq!(
        grant(&mut leases, at_seconds(11), GrantRequest::all_units(0, 1)),
        0
    );
}

#[test]
fn units_of_a_removed_server_are_free_again() {
    let mut leases = LeaseTable::new(LEASE_TIMES);
    grant(&mut leases, at_micros(0), GrantRequest::all_units(0, 3));
    assert_eq!(
        grant(&mut leases, at_micros(0), GrantRequest::all_units(1, 3)),
        0
    );
    leases.remove_server(&server());
    assert_eq!(leases.reserved_units(&server()), 0);
    assert_eq!(
        grant(&mut leases, at_micros(0), GrantRequest::all_units(1, 3)),
        3
    );
}
