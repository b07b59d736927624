//! Runs the scripts in `tests/scenarios/scripts` against the real program on loopback.
//!
//! A script is a text with one setting or step a line, settings first; `#` begins a comment. It is
//! parsed whole before the program is started. Names of connections: `cN` is a client (connected by
//! its first use), `sN` a data server, `any` whichever data server is connected to next, `d` the
//! discovery that the environment names, and `e` another one. The name stands for the first
//! connection to that peer, `s0.2` for the second.
//!
//! ```text
//! servers N                         N data servers, each holding all four shards; 1 if not given
//! max-open N                        most queries and parts in flight
//! max-sockets N                     most file descriptors
//! set POINTER JSON                  a setting, by its JSON pointer
//!
//! send cN query ID CLASS SHARDS DEADLINE
//! send PEER raw TEXT                with \r and \n; `*N` at the end repeats the last character
//! send sN value PART VALUE          send sN error PART          send sN overloaded PART
//! send d|e full-list|changes REVISION [sN=active|draining|removed ...]
//! busy-clients N                    N clients, each of which has sent a query and waits
//! close PEER                        reset PEER
//! delay-connections sN              connections to it do not come up from now on
//! accept-delayed sN                 and come up, when the system tries them again
//! config d|e                        the configuration's file is replaced by one that names this discovery
//! config raw TEXT                   or by this text
//! signal NAME
//!
//! expect cN status STATUS [WORD ...]          a response that holds these words
//! expect sN call PART ...                     one call of these parts
//! expect sN call PART time-left-at-most MS    one call of this part, with no more time left for it
//! expect sN cancel PART
//! expect sN ... connecting                    a connection to one of them waits to come up
//! expect d|e watch REVISION                   it is asked for what changed since this revision
//! expect d|e full-list                        it is asked for the whole list
//! expect log WORD ...                         a line of the log that holds these words
//! expect PEER closed                          with nothing more sent
//! expect PEER closed-without-reset            whatever was sent before
//! expect not-listening                        no client can connect any more
//! expect exit                                 the process ends with success
//! within MS STEP                              the step takes no longer than that
//! ```
//!
//! Waits are for events, with a bound far beyond what a slow machine needs.

mod broker_process;
mod clients;
mod connection;
mod data_servers;
mod discovery;
mod expectations;
mod parser;
mod parser_tests;
mod script;
mod world;

use parser::load_script;
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;
use world::World;

/// Far beyond what a slow machine needs for whatever is waited for.
const BOUND: Duration = Duration::from_secs(30);

#[rstest]
fn scenario(#[files("tests/scenarios/scripts/*.txt")] path: PathBuf) {
    let script = load_script(&path).unwrap_or_else(|error| panic!("{error}"));
    let mut world = World::start(&script.settings);
    for step in &script.steps {
        eprintln!("{}:{}: {}", script.file, step.line, step.text);
        world.run(&step.step);
    }
}
