//! Ejections by a quorum: which reports of proxies eject a server, and for how long.

use crate::parameters::at_micros;
use broker_types::server::NodeId;
use broker_types::time::Timestamp;
use endpoint_control::ProxyName;
use endpoint_control::ejection_quorum::{
    EjectionQuorum, EjectionRule, ServerLocation, ServerReport,
};
use proptest::prelude::*;
use std::time::Duration;

const CONNECTED_PROXIES: usize = 4;
/// Maximum number of servers that are ejected at the same time: `max_ejected_share` of the four
/// servers in the cell.
const MAX_EJECTED_SERVERS: usize = 2;
const RULE: EjectionRule = EjectionRule {
    min_votes: 2,
    min_vote_share: 0.5,
    min_failure_share: 0.5,
    min_requests: 5,
    report_lifetime: Duration::from_secs(10),
    first_duration: Duration::from_secs(2),
    max_duration: Duration::from_secs(30),
    forget_after: Duration::from_secs(60),
    max_ejected_share: 0.5,
    partition_share: 0.8,
};
const FAILING: ServerReport = ServerReport {
    succeeded: 1,
    failed: 9,
    unanswered: 0,
};
const UNREACHABLE: ServerReport = ServerReport {
    succeeded: 0,
    failed: 0,
    unanswered: 9,
};
const HEALTHY: ServerReport = ServerReport {
    succeeded: 9,
    failed: 0,
    unanswered: 0,
};

fn server(number: usize) -> NodeId {
    NodeId(format!("s{number}").into())
}

fn proxy(number: usize) -> ProxyName {
    format!("p{number}").into()
}

/// Returns the locations of four servers of one cell, `s0` and `s1` in zone 0, `s2` and `s3` in
/// zone 1.
fn locations() -> Vec<ServerLocation> {
    (0..4)
        .map(|number| ServerLocation {
            server: server(number),
            cell: 0,
            zone: Some(number / 2),
        })
        .collect()
}

/// The same report about one server, sent by several proxies.
struct SharedReport {
    /// Number of proxies that send the report. The proxies have the numbers from 0 to one less than
    /// this number.
    proxies: usize,
    /// Number of the server.
    server: usize,
    report: ServerReport,
}

impl SharedReport {
    /// Delivers the report of each proxy to the quorum.
    fn send(&self, quorum: &mut EjectionQuorum, now: Timestamp) {
        for number in 0..self.proxies {
            quorum.on_report(now, &proxy(number), &server(self.server), self.report);
        }
    }
}

/// Creates the report that the first `proxies` proxies send about a server.
fn report_from_first(proxies: usize, server: usize, report: ServerReport) -> SharedReport {
    SharedReport {
        proxies,
        server,
        report,
    }
}

/// Evaluates the quorum and returns the servers that are ejected.
fn ejected(quorum: &mut EjectionQuorum, now: Timestamp) -> Vec<NodeId> {
    quorum
        .evaluate(now, &locations(), CONNECTED_PROXIES)
        .into_keys()
        .collect()
}

/// Guards against the ejection of a healthy server because of a fault of one proxy, such as a
/// network link that is cut.
#[test]
fn one_vote_ejects_no_server_unless_it_is_from_the_only_proxy() {
    let mut quorum = EjectionQuorum::new(RULE);
    quorum.on_report(at_micros(0), &proxy(0), &server(0), FAILING);
    for number in 1..4 {
        quorum.on_report(at_micros(0), &proxy(number), &server(0), HEALTHY);
    }
    assert_eq!(ejected(&mut quorum, at_micros(1)), []);
    quorum.on_report(at_micros(2), &proxy(1), &server(0), FAILING);
    assert_eq!(ejected(&mut quorum, at_micros(3)), [server(0)]);
    let mut single_report = EjectionQuorum::new(RULE);
    single_report.on_report(at_micros(0), &proxy(0), &server(0), FAILING);
    assert_eq!(
        ejected(&mut single_report, at_micros(1)),
        [],
        "other proxies are connected, so that one vote is not enough, although they send no reports"
    );
    assert_eq!(
        single_report.evaluate(at_micros(2), &locations(), 1).len(),
        1,
        "the vote of the only connected proxy must eject the server"
    );
}

/// Guards against the overload of the servers that remain in a cell when too many others are
/// ejected.
#[test]
fn ejections_stop_at_the_cap_of_the_cell() {
    let mut quorum = EjectionQuorum::new(RULE);
    for number in 0..4 {
        report_from_first(3, number, FAILING).send(&mut quorum, at_micros(0));
    }
    assert_eq!(
        ejected(&mut quorum, at_micros(1)).len(),
        MAX_EJECTED_SERVERS
    );
}

#[test]
fn servers_of_a_partitioned_zone_are_not_ejected_as_unreachable() {
    let mut quorum = EjectionQuorum::new(RULE);
    for number in 0..2 {
        report_from_first(3, number, UNREACHABLE).send(&mut quorum, at_micros(0));
    }
    for number in 2..4 {
        report_from_first(3, number, HEALTHY).send(&mut quorum, at_micros(0));
    }
    assert_eq!(ejected(&mut quorum, at_micros(1)), []);
    // An unreachable server in a zone with a healthy server has failed; the zone is not
    // partitioned.
    report_from_first(3, 1, HEALTHY).send(&mut quorum, at_micros(2));
    assert_eq!(ejected(&mut quorum, at_micros(3)), [server(0)]);
}

#[test]
fn repeated_ejections_last_longer_and_outdated_reports_are_dropped() {
    let mut quorum = EjectionQuorum::new(RULE);
    let mut durations_s = Vec::new();
    let mut now = at_micros(0);
    for _ in 0..4 {
        report_from_first(2, 0, FAILING).send(&mut quorum, now);
        let ends_at = quorum.evaluate(now, &locations(), CONNECTED_PROXIES)[&server(0)];
        durations_s.push(ends_at.saturating_since(now).as_secs_f64());
        now = ends_at;
        assert_eq!(
            ejected(&mut quorum, now),
            [],
            "the server must be readmitted when its ejection ends"
        );
    }
    assert_eq!(durations_s, [2.0, 4.0, 8.0, 16.0]);
    report_from_first(2, 1, FAILING).send(&mut quorum, now);
    assert_eq!(ejected(&mut quorum, now + RULE.report_lifetime), []);
}

/// A generated report with arbitrary counts about one of the four servers.
#[derive(Clone, Debug)]
struct ArbitraryReport {
    proxy: usize,
    server: usize,
    report: ServerReport,
    /// Time since the preceding report.
    delay: Duration,
}

fn arbitrary_report() -> impl Strategy<Value = ArbitraryReport> {
    let counts = (0u64..20, 0u64..20, 0u64..20);
    (0usize..5, 0usize..4, counts, 0u64..3_000_000).prop_map(
        |(proxy, server, (succeeded, failed, unanswered), delay)| ArbitraryReport {
            proxy,
            server,
            report: ServerReport {
                succeeded,
                failed,
                unanswered,
            },
            delay: Duration::from_micros(delay),
        },
    )
}

/// Generates the number of one of the four servers and a report about it without any success.
fn report_without_success() -> impl Strategy<Value = (usize, ServerReport)> {
    (0usize..4, 0u64..50, 0u64..50).prop_map(|(server, failed, unanswered)| {
        let report = ServerReport {
            succeeded: 0,
            failed,
            unanswered,
        };
        (server, report)
    })
}

proptest! {
    /// Guards against ejections beyond the cap of the cell, whatever is reported, and against the
    /// ejection of healthy servers by a single proxy that reports falsely.
    #[test]
    fn arbitrary_reports_respect_the_cap_and_one_false_reporter_ejects_nothing(
        reports in prop::collection::vec(arbitrary_report(), 0..80),
        false_reports in prop::collection::vec(report_without_success(), 0..20),
    ) {
        let mut quorum = EjectionQuorum::new(RULE);
        let mut now = at_micros(0);
        for ArbitraryReport { proxy: from, server: about, report, delay } in reports {
            now = now + delay;
            quorum.on_report(now, &proxy(from), &server(about), report);
            prop_assert!(ejected(&mut quorum, now).len() <= MAX_EJECTED_SERVERS);
        }
        let mut healthy = EjectionQuorum::new(RULE);
        for about in 0..4 {
            for from in 1..4 {
                healthy.on_report(at_micros(0), &proxy(from), &server(about), HEALTHY);
            }
        }
        for (about, report) in false_reports {
            healthy.on_report(at_micros(1), &proxy(0), &server(about), report);
            prop_assert_eq!(ejected(&mut healthy, at_micros(2)), []);
        }
    }
}
