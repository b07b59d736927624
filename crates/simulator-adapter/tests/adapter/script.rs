//! Builds the input of the adapter from messages, runs the adapter's program with it, and reads its
//! output.

use serde_json::Value;
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The settings of each instance that the tests launch: one class, two shards and two cells. The
/// adapter must ignore the unknown field `Unheard`.
const SETTINGS: &str = r#"{
"Allowed":{"Cancel":true,"SendCap":3,"SecondCopies":true,"RetryAfter":true,"MaxRetryAfter":500.0,
"Unheard":[1]},
"Clients":{"MarksRetry":true},
"FamilyInfo":{"Batch":8,"Call":20.0,"ClassNeed":[1.0],"FetchParts":[0],"MinShare":[1.0],
"PartialEarns":[0.9],"Positions":2,"Shards":2,"Width":2},
"MembershipMode":"on_request",
"PeersTotal":2,
"Rules":{"AskWithin":10000.0,"Cold":9000.0,"ColdFrom":0.2,"Fall":2000.0,"FallMultiple":2.0},
"Tick":5.0,
"Services":[{"Aim":1000.0,"GiveUp":4000.0,"Gain":1.0,"LateWorth":0.3,"MemorySpan":5000.0,
"Semantics":"repeatable"}]}"#;

/// The declaration of an endpoint list with two servers, one in each cell.
const ENDPOINT_LIST: &str = r#"{"t":"Ledger","Slot":3,"MembersList":[
{"Node":"10.0.0.1:80","Position":0,"Mode":"in_service"},
{"Node":"10.0.0.2:80","Position":1,"Mode":"in_service","StartTime":0}]}"#;

/// The lines of input for one run of the adapter.
#[derive(Clone, Default)]
pub struct Script {
    lines: Vec<String>,
}

impl Script {
    /// Creates a script from complete lines.
    pub fn from_lines(lines: &[&str]) -> Script {
        Script {
            lines: lines.iter().map(|line| (*line).to_owned()).collect(),
        }
    }

    /// Adds a batch: its beginning, the messages and its end. `time` is in milliseconds.
    pub fn batch(mut self, number: u64, time: f64, messages: &[String]) -> Script {
        self.lines.push(begin_batch(number, time));
        self.lines.extend_from_slice(messages);
        self.lines.push(r#"{"t":"EofBatch"}"#.to_owned());
        self
    }

    /// Runs the adapter with the lines, followed by an empty line, which the adapter must ignore.
    pub fn run(&self) -> Run {
        let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut input = String::new();
        for line in &self.lines {
            // The adapter reads one message per line, but the settings and the endpoint list are
            // written over several lines here.
            input += &line.replace('\n', "");
            input += "\n";
        }
        input += "\n";
        // Writing fails if the adapter has already ended because of an invalid line. The tests
        // check the exit status instead.
        let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
        Run {
            output: child.wait_with_output().unwrap(),
        }
    }

    /// Runs the adapter, checks that it succeeds, and returns the messages that it writes.
    pub fn messages(&self) -> Vec<Value> {
        let run = self.run();
        assert!(run.output.status.success(), "{}", run.errors());
        let output = String::from_utf8_lossy(&run.output.stdout);
        let lines = output.lines();
        lines
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

/// A finished run of the adapter.
pub struct Run {
    pub output: Output,
}

impl Run {
    /// Returns the text that the adapter wrote to standard error.
    pub fn errors(&self) -> String {
        String::from_utf8_lossy(&self.output.stderr).into_owned()
    }
}

/// Returns the messages whose type (field `t`) is `name`.
pub fn messages_of_type<'a>(messages: &'a [Value], name: &str) -> Vec<&'a Value> {
    messages.iter().filter(|m| m["t"] == name).collect()
}

/// Returns the message that begins a batch. `time` is in milliseconds.
pub fn begin_batch(number: u64, time: f64) -> String {
    format!(r#"{{"t":"Tick","Moment":{time},"n":{number}}}"#)
}

/// Returns the message that launches an instance.
pub fn launch(instance: u64) -> String {
    format!(r#"{{"t":"Launch","I":{instance},"RngSeed":5,"Env":{SETTINGS}}}"#)
}

/// Returns the message that declares the endpoint list.
pub fn declare_endpoint_list() -> String {
    ENDPOINT_LIST.to_owned()
}

/// Returns the message that updates the endpoint list of an instance to the declared one.
pub fn update_endpoint_list(instance: u64) -> String {
    format!(r#"{{"t":"PeersKnown","I":{instance},"Mode":"disk","Stamp":1,"Slot":3}}"#)
}

/// Returns the messages that launch instance 4 and give it the declared endpoint list.
pub fn start_instance() -> Vec<String> {
    vec![launch(4), declare_endpoint_list(), update_endpoint_list(4)]
}

/// Returns the arrival of a query at instance 4.
pub fn query(id: &str, group: u64) -> String {
    order(id, group, -1)
}

/// Returns the arrival of a query's part for shard 0 at instance 4.
pub fn part(id: &str, group: u64) -> String {
    order(id, group, 0)
}

/// Returns an arrival at instance 4: of a query if `shard` is below 0, otherwise of a part.
fn order(id: &str, group: u64, shard: i32) -> String {
    format!(
        r#"{{"t":"Order","I":4,"OpId":"{id}","Service":0,"Team":0,"GiveUpAt":4100.5,"GroupNo":{group},"Slice":{shard},"Measure":1.0}}"#
    )
}

/// Returns the end of the first attempt of part `t/p`, which the server has served. `load` is the
/// field with the load report, with a leading comma, or empty.
pub fn attempt_served(node: &str, load: &str) -> String {
    format!(
        r#"{{"t":"ReportBack","I":4,"OpId":"t/p","Hop":0,"Node":"{node}","Rc":"served","Rtt":30.0{load}}}"#
    )
}
