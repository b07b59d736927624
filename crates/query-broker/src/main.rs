//! The program `query-broker`. The platform starts it without a sub-command; it then serves
//! clients, as with `query-broker serve`, but without an operator's file.

mod bench;
mod check;
mod cli;
mod configuration;
mod demo;
mod serve;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command};
use std::process::ExitCode;

fn main() -> ExitCode {
    match Cli::parse().command {
        None => serve::run(None),
        Some(Command::Serve(arguments)) => serve::run(arguments.config),
        Some(Command::Check(arguments)) => check::run(&arguments),
        Some(Command::Demo(arguments)) => demo::run(&arguments),
        Some(Command::Bench(arguments)) => bench::run(&arguments),
        Some(Command::Completions { shell }) => print_completions(shell),
    }
}

fn print_completions(shell: clap_complete::Shell) -> ExitCode {
    let mut command = Cli::command();
    clap_complete::generate(shell, &mut command, "query-broker", &mut std::io::stdout());
    ExitCode::SUCCESS
}
