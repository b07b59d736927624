//! Tests of the parser of scripts. A malformed script is rejected with its file and line before
//! anything of it runs, so that a misspelt step cannot pass unnoticed.

use crate::parser::{LineError, ScriptError, parse_script};
use crate::script::{ConnectionName, Expectation, PeerName, Script, Step};
use rstest::rstest;
use std::time::Duration;

fn parse(text: &str) -> Result<Script, ScriptError> {
    parse_script("some.txt", text)
}

#[test]
fn unknown_step_is_rejected_with_file_and_line() {
    let error = parse("# A comment.\n\nexpect exit\nexpect miracle\n").unwrap_err();
    assert_eq!(
        error.to_string(),
        "some.txt:4: expected a setting or a step, found \"expect miracle\""
    );
}

#[rstest]
#[case::unknown_verb("sned c1 raw x")]
#[case::missing_word("send s0 error")]
#[case::extra_word("expect c1 closed now")]
#[case::call_without_parts("expect s0 call")]
#[case::log_without_words("expect log")]
#[case::unsupported_signal("signal KILL")]
fn step_of_unknown_form_is_rejected(#[case] line: &str) {
    let error = parse(line).unwrap_err();
    assert_eq!(error.cause, LineError::UnknownStep(line.to_owned()));
}

#[rstest]
#[case::count("servers two")]
#[case::json("set /Allowed/Cancel flase")]
#[case::status("expect c1 status ok")]
#[case::peer("close x1")]
#[case::peer_number("close c")]
#[case::connection_number("close s0.b")]
#[case::client_for_server("expect c1 call a1.0")]
#[case::server_for_client("expect s0 status 200")]
#[case::server_for_discovery("expect s0 watch 1")]
#[case::endpoint_state("send d1 changes 2 s0=sleeping")]
#[case::endpoint_without_state("send d1 changes 2 s0")]
#[case::repetition_count("send c1 raw x*many")]
#[case::repetition_count_of_zero("send c1 raw x*0")]
#[case::time_limit("within soon expect exit")]
fn malformed_argument_is_rejected(#[case] line: &str) {
    let error = parse(line).unwrap_err();
    assert!(
        matches!(error.cause, LineError::Malformed { .. }),
        "expected the error of a malformed argument, found: {error}"
    );
    assert_eq!(error.line, 1);
}

#[test]
fn setting_after_a_step_is_rejected() {
    let error = parse("expect exit\nservers 2\n").unwrap_err();
    assert_eq!((error.line, error.cause), (2, LineError::SettingAfterStep));
}

#[rstest]
#[case("expect s2 call a1.0")]
#[case("delay-connections s2")]
#[case("send d1 changes 2 s2=active")]
#[case("within 10 expect s2 closed")]
fn step_with_an_unknown_server_is_rejected(#[case] line: &str) {
    let error = parse(&format!("servers 2\n{line}\n")).unwrap_err();
    let expected = LineError::UnknownServer {
        server: 2,
        servers: 2,
    };
    assert_eq!((error.line, error.cause), (2, expected));
}

#[test]
fn raw_text_is_unescaped_and_keeps_its_spaces() {
    let script = parse("send c1 raw  a\\r\\nb*3").unwrap();
    let client = ConnectionName {
        peer: PeerName::Client(1),
        number: 1,
    };
    let expected = Step::SendRaw(client, b" a\r\nbbb".to_vec());
    assert_eq!(script.steps[0].step, expected);
}

#[test]
fn step_within_a_time_limit_is_parsed_with_the_limit() {
    let script = parse("within 250 expect any.2 closed").unwrap();
    let name = ConnectionName {
        peer: PeerName::AnyServer,
        number: 2,
    };
    let expected = Step::Within {
        limit: Duration::from_millis(250),
        step: Box::new(Step::Expect(Expectation::Closed(name))),
    };
    assert_eq!(script.steps[0].step, expected);
}
