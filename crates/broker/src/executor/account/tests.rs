//! Tests of the classification of connections, with chosen times.

use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn connection_is_a_heavy_user_until_its_debt_has_fallen() {
    let start = Instant::now();
    let mut account = Account::new(start);
    account.charge(start, HEAVY_DEBT);
    assert_eq!(account.usage(start), Usage::Light);
    account.charge(start, HEAVY_DEBT);
    assert_eq!(account.usage(start), Usage::Heavy);
    let until = start + HEAVY_DEBT * ALLOWANCE_DIVISOR;
    assert_eq!(account.usage(until - MILLISECOND), Usage::Heavy);
    assert_eq!(account.usage(until), Usage::Light);
}

#[test]
fn connection_within_its_allowance_stays_a_light_user() {
    let start = Instant::now();
    let mut account = Account::new(start);
    let used = Duration::from_micros(50);
    for request in 1..100 {
        let now = start + request * used * ALLOWANCE_DIVISOR;
        account.charge(now, used);
        assert_eq!(account.usage(now), Usage::Light);
    }
}

/// Guards against a connection that is put behind all others for long because of one costly request.
#[test]
fn heavy_user_is_a_light_one_after_a_second_at_the_latest() {
    let start = Instant::now();
    let mut account = Account::new(start);
    account.charge(start, Duration::from_secs(60));
    assert_eq!(account.usage(start + Duration::from_secs(1)), Usage::Light);
}
