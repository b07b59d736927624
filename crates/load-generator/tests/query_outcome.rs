//! Tests of the outcomes that a client derives from responses.

use http::Response;
use load_generator::{QueryOutcome, ShardValue};

fn outcome(status: u16, retry_after: Option<&str>, body: &str) -> QueryOutcome {
    let mut response = Response::builder().status(status);
    if let Some(seconds) = retry_after {
        response = response.header("retry-after", seconds);
    }
    QueryOutcome::from_response(&response.body(body.as_bytes().to_vec()).unwrap())
}

#[test]
fn status_200_is_an_answer_with_its_completeness_and_values() {
    let body = r#"{"total":true,"answers":[{"range":3,"blob":"v"}]}"#;
    let values = vec![ShardValue {
        shard: 3,
        value: "v".to_owned(),
    }];
    let complete = true;
    assert_eq!(
        outcome(200, None, body),
        QueryOutcome::Answered { complete, values }
    );
}

#[test]
fn status_429_and_503_are_rejections_with_retry_after() {
    assert_eq!(
        outcome(429, Some("0.5"), ""),
        QueryOutcome::Rejected(Some(0.5))
    );
    assert_eq!(outcome(503, None, ""), QueryOutcome::Rejected(None));
}

#[test]
fn other_statuses_are_failures() {
    assert_eq!(outcome(502, None, ""), QueryOutcome::Failed(502));
}
