//! Runs one case of the second review: `review-2 CASE FOLDER`. The folder receives `record.txt`.
//! With `TROUBLE=0` in the environment, the case runs without its disruption.

#[allow(dead_code)]
mod common;

mod burst;
mod pipeline;
mod reused_id;
mod starve;
mod weights;

use std::path::Path;
use std::process::exit;
use std::thread;

/// A case that has not ended after this time could not run.
const MAX_RUN_MS: u64 = 110_000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(common::NOT_RUN);
    };
    if let Err(error) = common::open_record(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
        exit(common::NOT_RUN);
    }
    common::set_pid_file(Path::new(folder).join("broker.pid"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    common::record(&format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    thread::spawn(|| {
        thread::sleep(common::ms(MAX_RUN_MS));
        common::record("the case did not end in time");
        common::kill_broker();
        exit(common::NOT_RUN);
    });
    let result = match case.as_str() {
        "reused-id" => reused_id::run(trouble),
        "burst" => burst::run(trouble),
        "pipeline" => pipeline::run(trouble),
        "starve" => starve::run(trouble),
        "weights" => weights::run(trouble),
        _ => Err(format!("no case {case}")),
    };
    let status = match result {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            common::record("the rule held");
            common::HELD
        }
        Ok(broken) => {
            for line in &broken {
                println!("rule broken: {line}");
                common::record(&format!("rule broken: {line}"));
            }
            common::BROKEN
        }
        Err(error) => {
            println!("could not run: {error}");
            common::record(&format!("could not run: {error}"));
            common::NOT_RUN
        }
    };
    exit(status);
}
