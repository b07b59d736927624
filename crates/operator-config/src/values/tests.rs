//! Tests of the parsers of the arguments that follow a keyword in the operator's file.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn units_are_converted_and_values_out_of_bounds_are_rejected() {
    assert_eq!(
        parse_duration("250ms", &(Duration::ZERO..=SECOND)),
        Ok(Duration::from_millis(250))
    );
    assert_eq!(parse_size("64KiB", &(0..=1 << 20)), Ok(65_536));
    for argument in [
        "250",
        "ms",
        "-1ms",
        "1.5ms",
        "2s",
        "1 ms",
        "99999999999999999999ms",
        "18446744073709551615s",
    ] {
        let expected = "expected a time from 1us to 1s with its unit (us, ms, s, min)";
        let error = parse_duration(argument, &(Duration::from_micros(1)..=SECOND))
            .expect_err(&format!("{argument} must be rejected"));
        assert_eq!(error.to_string(), expected, "{argument}");
    }
    let error = parse_size("1kb", &(1..=3 << 20)).unwrap_err();
    assert_eq!(
        error.to_string(),
        "expected a size from 1B to 3MiB with its unit (B, KiB, MiB)"
    );
    assert!(parse_whole_number("+1", &(0..=9)).is_err());
    assert!(parse_whole_number("10", &(0..=9)).is_err());
}
