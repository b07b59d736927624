//! Tests of the parser of `X-Deadline`.

use super::*;

#[test]
fn deadline_with_a_unit_is_parsed() {
    assert_eq!(parse_deadline("480m"), Some(Duration::from_micros(480_000)));
    assert_eq!(parse_deadline("1.5m"), Some(Duration::from_micros(1500)));
    assert_eq!(parse_deadline("480u"), Some(Duration::from_micros(480)));
    assert_eq!(parse_deadline("3600000m"), Some(MAX_CLIENT_TIMEOUT));
}

#[test]
fn deadline_of_another_form_is_rejected() {
    for text in [
        "",
        "m",
        "480",
        "480s",
        "-1m",
        "+1m",
        "1e3m",
        "NaNm",
        "infm",
        "4\u{e9}",
        "9999999999999m",
    ] {
        assert_eq!(parse_deadline(text), None, "{text}");
    }
}
