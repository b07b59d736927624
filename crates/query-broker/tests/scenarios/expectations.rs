//! Waits for the events that a script expects of the program.

use crate::connection::Connection;
use crate::data_servers::{self, DataServer};
use crate::discovery;
use crate::script::Expectation;
use crate::testbed::Testbed;

/// Waits until an expected event happens. Panics if another event happens on the connection in
/// question, or nothing in time.
pub(crate) fn check(testbed: &mut Testbed, expectation: &Expectation) {
    match expectation {
        Expectation::Response {
            client,
            status,
            words,
        } => expect_response(testbed.connection(*client), *status, words),
        Expectation::Call { server, parts } => {
            data_servers::expect_call(testbed.connection(*server), parts);
        }
        Expectation::CallWithTimeLeft {
            server,
            part,
            at_most_ms,
        } => {
            let connection = testbed.connection(*server);
            data_servers::expect_call_with_time_left(connection, part, *at_most_ms);
        }
        Expectation::Cancel { server, part } => {
            data_servers::expect_cancel(testbed.connection(*server), part);
        }
        Expectation::Watch {
            discovery,
            revision,
        } => discovery::expect_watch(testbed.connection(*discovery), *revision),
        Expectation::FullList(name) => discovery::expect_full_list(testbed.connection(*name)),
        Expectation::Connecting(servers) => {
            let servers = servers.iter().map(|server| &testbed.servers[*server]);
            data_servers::expect_connecting(&servers.collect::<Vec<&DataServer>>());
        }
        Expectation::LogLine(words) => testbed.broker.expect_log_line(words),
        Expectation::Closed(name) => testbed.connection(*name).expect_closed(),
        Expectation::ClosedWithoutReset(name) => {
            testbed.connection(*name).expect_closed_without_reset();
        }
        Expectation::NotListening => testbed.broker.expect_not_listening(),
        Expectation::Exit => testbed.broker.expect_exit(),
    }
}

/// Waits for a response, and checks that it has this status and contains these words.
fn expect_response(client: &mut Connection, status: u16, words: &[String]) {
    let response = client.read_http_message();
    let start = format!("HTTP/1.1 {status} ");
    assert!(
        response.starts_with(&start),
        "expected status {status}, found {response}"
    );
    for word in words {
        assert!(response.contains(word), "expected {word} in {response}");
    }
}
