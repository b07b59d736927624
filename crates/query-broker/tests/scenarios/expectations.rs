//! What a script expects of the program.

use crate::connection::Connection;
use crate::data_servers::{self, DataServer};
use crate::discovery;
use crate::script::Expectation;
use crate::world::World;

/// Waits until it happens; panics if something else does, or nothing in time.
pub(crate) fn check(world: &mut World, expectation: &Expectation) {
    match expectation {
        Expectation::Response {
            client,
            status,
            words,
        } => expect_response(world.connection(*client), *status, words),
        Expectation::Call { server, parts } => {
            data_servers::expect_call(world.connection(*server), parts);
        }
        Expectation::CallWithTimeLeft {
            server,
            part,
            at_most_ms,
        } => {
            let connection = world.connection(*server);
            data_servers::expect_call_with_time_left(connection, part, *at_most_ms);
        }
        Expectation::Cancel { server, part } => {
            data_servers::expect_cancel(world.connection(*server), part);
        }
        Expectation::Watch {
            discovery,
            revision,
        } => discovery::expect_watch(world.connection(*discovery), *revision),
        Expectation::FullList(name) => discovery::expect_full_list(world.connection(*name)),
        Expectation::Connecting(servers) => {
            let servers = servers.iter().map(|server| &world.servers[*server]);
            data_servers::expect_connecting(&servers.collect::<Vec<&DataServer>>());
        }
        Expectation::LogLine(words) => world.broker.expect_log_line(words),
        Expectation::Closed(name) => world.connection(*name).expect_closed(),
        Expectation::ClosedWithoutReset(name) => {
            world.connection(*name).expect_closed_without_reset();
        }
        Expectation::NotListening => world.broker.expect_not_listening(),
        Expectation::Exit => world.broker.expect_exit(),
    }
}

/// Waits for a response with this status that holds these words.
fn expect_response(client: &mut Connection, status: u16, words: &[String]) {
    let response = client.read_http_message();
    let start = format!("HTTP/1.1 {status} ");
    assert!(response.starts_with(&start), "{response}");
    for word in words {
        assert!(response.contains(word), "no {word} in {response}");
    }
}
