//! Tests of the values that the command line's options accept and reject.

use super::{BenchArguments, Cli, Command, DemoArguments};
use clap::Parser;

/// Parses the command line `query-broker COMMAND OPTION=VALUE`, and returns its sub-command.
fn parse(command: &str, option: &str, value: &str) -> Result<Command, clap::Error> {
    let option = format!("{option}={value}");
    let cli = Cli::try_parse_from(["query-broker", command, &option])?;
    Ok(cli.command.expect("the command line names a sub-command"))
}

fn parse_bench(option: &str, value: &str) -> Result<BenchArguments, clap::Error> {
    match parse("bench", option, value)? {
        Command::Bench(arguments) => Ok(arguments),
        other => panic!("expected the sub-command bench, found {other:?}"),
    }
}

fn parse_demo(option: &str, value: &str) -> Result<DemoArguments, clap::Error> {
    match parse("demo", option, value)? {
        Command::Demo(arguments) => Ok(arguments),
        other => panic!("expected the sub-command demo, found {other:?}"),
    }
}

#[test]
fn measurement_duration_from_half_a_second_to_ten_minutes_is_accepted() {
    for (text, seconds) in [
        ("0.5", 0.5),
        (".5", 0.5),
        ("5", 5.0),
        ("5.", 5.0),
        ("+5", 5.0),
        ("05", 5.0),
        ("1e2", 100.0),
        ("5E-1", 0.5),
        ("600", 600.0),
    ] {
        let arguments = parse_bench("--seconds", text).unwrap();
        assert_eq!(arguments.duration.as_secs_f64(), seconds, "{text}");
    }
}

#[test]
fn invalid_measurement_duration_is_rejected_with_the_expected_range() {
    for text in [
        "", "0", "0.49", "600.1", "1e3", "-1", "nan", "inf", "five", "5s", "500ms", "5 s", " 5",
        "1,5", "1_0", "0x5",
    ] {
        let error = parse_bench("--seconds", text).unwrap_err().to_string();
        let expected = "expected seconds, 0.5 to 600";
        assert!(error.contains(expected), "{text:?}: {error}");
    }
}

#[test]
fn number_of_servers_is_accepted_only_from_1_to_64() {
    for (text, servers) in [("1", 1), ("04", 4), ("+4", 4), ("64", 64)] {
        let arguments = parse_demo("--servers", text).unwrap();
        assert_eq!(arguments.servers, servers, "{text}");
    }
    for text in ["", "0", "65", "65537", "-1", "4.0", "1e1", "four", " 4"] {
        let result = parse_demo("--servers", text);
        assert!(
            result.is_err(),
            "expected --servers {text:?} to be rejected, found {result:?}"
        );
    }
}

#[test]
fn listen_address_needs_a_numeric_host_and_a_port() {
    for text in ["127.0.0.1:0", "0.0.0.0:8080", "[::1]:65535"] {
        for option in ["--listen", "--http2"] {
            let arguments = parse_demo(option, text).unwrap();
            let address = match option {
                "--listen" => arguments.listen,
                _ => arguments.http2,
            };
            assert_eq!(address.to_string(), text, "{option}");
        }
    }
    for text in [
        "",
        "127.0.0.1",
        ":8080",
        "localhost:8080",
        "127.0.0.1:65536",
        "::1:80",
    ] {
        for option in ["--listen", "--http2"] {
            let result = parse_demo(option, text);
            assert!(
                result.is_err(),
                "expected {option} {text:?} to be rejected, found {result:?}"
            );
        }
    }
}
