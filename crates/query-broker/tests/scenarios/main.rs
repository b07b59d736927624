//! Runs the scripts in `tests/scenarios/scripts` against the real program on loopback. A script plays
//! the clients, the data servers and discovery, and states what the program has to send to each.
//!
//! A script has one setting or step on each line, settings first; `#` begins a comment. The whole
//! script is parsed before the program is started. The names of connections are:
//!
//! - `cN`: a client, which connects when its name is first used;
//! - `sN`: a data server, from `s0`;
//! - `any`: the data server to which the program connects next, whichever it is;
//! - `d1`: the discovery whose address the program is started with;
//! - `d2`: another discovery, to which `replace-config` can move the program.
//!
//! A name alone stands for the first connection to that peer, `s0.2` for the second one to `s0`.
//! PEER stands for the name of any connection. PART is the id of a part: the query's id, a dot and
//! the shard, such as `a1.0`.
//!
//! ```text
//! servers N                         N data servers, each of which holds all four shards; default 1
//! max-in-flight N                   maximum number of queries and parts in flight, counted together
//! max-sockets N                     maximum number of file descriptors
//! set POINTER JSON                  replaces a value of the policy's settings, given by its JSON pointer
//!
//! send cN query ID CLASS SHARDS DEADLINE
//!                                   sends a query for SHARDS, separated by commas; DEADLINE is the time for
//!                                   which the client waits, such as 2500m for 2500 milliseconds
//! send PEER raw TEXT                sends TEXT, with \r and \n replaced; `*N` at the end stands for N times the
//!                                   character before it
//! send sN value PART VALUE          ends an attempt at a part with its value
//! send sN value PART VALUE length-off-by N
//!                                   the same in a frame whose length is N bytes too great, or too small if N is
//!                                   negative
//! send sN error PART                ends an attempt at a part with an error
//! send sN overloaded PART           rejects an attempt at a part because the server is overloaded
//! send d1|d2 full-list|changes REVISION [sN=active|draining|removed ...]
//!                                   sends the full endpoint list, or only its changes, with the
//!                                   list's new revision and the state of each of these servers
//! busy-clients N                    N clients connect, and each sends a query and waits for its response
//! close PEER                        closes the connection
//! reset PEER                        closes the connection with a reset
//! delay-connections sN              new connections to sN are no longer established
//! accept-delayed sN                 delayed connections are established when the kernel repeats their requests
//!                                   (SYN), one second after the first; a script that waits for
//!                                   that sets /Allowed/DialTimeout, because the default of 250 ms
//!                                   ends the attempt to connect before the repeated request
//! replace-config d1|d2              replaces the address of discovery in the configuration file
//! replace-config raw TEXT           replaces the text of the configuration file
//! signal TERM|HUP|STOP|CONT         sends the program a signal
//!
//! expect cN status STATUS [WORD ...]          a response that contains all the words
//! expect sN call PART ...                     a call that has exactly these parts in this order
//! expect sN call PART time-left-at-most MS    a call that has only this part, and at most MS milliseconds left
//! expect sN cancel PART                       the cancellation of an attempt at a part
//! expect sN ... connecting                    a connection to one of these is requested and not established yet
//! expect d1|d2 watch REVISION                 a request for the changes since this revision
//! expect d1|d2 full-list                      a request for the full list
//! expect log WORD ...                         a line of the log that contains all the words
//! expect PEER closed                          the connection is closed, and nothing more was sent on it
//! expect PEER closed-without-reset            the connection is closed without a reset, whatever was sent before
//! expect not-listening                        no client can connect any more
//! expect exit                                 the process exits with success
//! within MS STEP                              runs a step, which must take at most MS milliseconds
//! ```
//!
//! Steps wait for events rather than for a time. Each wait ends after [`WAIT_TIMEOUT`].

mod broker_process;
mod clients;
mod connection;
mod data_servers;
mod discovery;
mod expectations;
mod parser;
mod parser_tests;
mod script;
mod testbed;

use parser::load_script;
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;
use testbed::Testbed;

/// Time limit of each wait for an event, which is far longer than a slow machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[rstest]
fn scenario(#[files("tests/scenarios/scripts/*.txt")] path: PathBuf) {
    let script = load_script(&path).unwrap_or_else(|error| panic!("{error}"));
    let mut testbed = Testbed::start(&script.settings);
    for step in &script.steps {
        eprintln!("{}:{}: {}", script.file, step.line, step.text);
        testbed.run(&step.step);
    }
}
