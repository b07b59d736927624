//! Tests of idempotency keys: a client cancels a query and sends another with the same key. Guards
//! against a part that is executed twice although it must be executed at most once.

use crate::fixture::{Fixture, complete_answer};
use load_generator::{Http2Client, LoadQuery, QueryOutcome};
use std::time::Duration;
use test_fleet::Fault;

/// Returns a query of a class whose parts are safe to repeat only under the same idempotency key.
fn save(id: &str, key: &str) -> LoadQuery {
    LoadQuery::new(id, "watchlist-save", &[0]).with_idempotency_key(key)
}

/// Sends a query with the key `k1`, and resets its stream once a data server has received its attempt,
/// which stays without an answer.
async fn send_and_cancel(fixture: &Fixture, http2: &Http2Client, client_timeout: Duration) {
    fixture.set_fault(Fault::Hang);
    let query = save("a", "k1").with_client_timeout(client_timeout);
    let stream = http2.open(&query.request()).await.unwrap();
    fixture.wait_for_attempts(1).await;
    stream.reset();
}

/// Sends queries with this key until one is not rejected, and returns its outcome. After a rejection,
/// waits for the time in its Retry-After.
async fn retry_until_served(http2: &Http2Client, key: &str) -> QueryOutcome {
    let mut number = 0;
    loop {
        number += 1;
        match http2.send_query(&save(&format!("d{number}"), key)).await {
            QueryOutcome::Rejected(Some(after)) => {
                async_io::Timer::after(Duration::from_secs_f64(after)).await;
            }
            outcome => return outcome,
        }
    }
}

/// When the client resets its stream, a data server has already received the attempt. A query with the
/// same key must be rejected while that attempt may run, and served afterwards.
#[test]
fn repeated_key_is_rejected_while_the_first_attempt_may_run() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    fixture.run(async {
        let http2 = fixture.connect().await;
        send_and_cancel(&fixture, &http2, Duration::from_millis(3000)).await;
        let repeated = http2.send_query(&save("b", "k1")).await;
        let QueryOutcome::Rejected(Some(after)) = repeated else {
            panic!(
                "expected a rejection with Retry-After, since an attempt with the same key may \
                 run; found {repeated:?}"
            )
        };
        assert!(
            after > 0.0 && after <= 3.0,
            "expected a Retry-After within the client timeout of 3 s, found {after} s"
        );
        fixture.set_fault(Fault::None);
        // A query with another key is served.
        assert_eq!(
            http2.send_query(&save("c", "k2")).await,
            complete_answer(&[0])
        );
        let retried = retry_until_served(&http2, "k1").await;
        assert_eq!(retried, complete_answer(&[0]));
    });
    fixture.check_invariants();
}

/// After the deduplication window, data servers no longer drop repeats of the part. The broker must
/// then fail a query with the same key instead of sending the part again.
#[test]
fn repeated_key_fails_after_the_deduplication_window() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    fixture.run(async {
        let http2 = fixture.connect().await;
        send_and_cancel(&fixture, &http2, Duration::from_millis(800)).await;
        let sent = fixture.attempt_count();
        fixture.set_fault(Fault::None);
        // The deduplication window is 5 s; the client timeout of the first query is over before.
        async_io::Timer::after(Duration::from_millis(5100)).await;
        assert_eq!(
            http2.send_query(&save("b", "k1")).await,
            QueryOutcome::Failed(502)
        );
        assert_eq!(fixture.attempt_count(), sent);
    });
    fixture.check_invariants();
}
