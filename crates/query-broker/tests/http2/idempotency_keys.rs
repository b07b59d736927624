//! Idempotency keys of clients that cancel a query and send it again.

use crate::fixture::{Fixture, complete_answer};
use load_generator::{Http2Client, LoadQuery, QueryOutcome};
use std::time::Duration;
use test_fleet::Fault;

fn save(id: &str, key: &str) -> LoadQuery {
    LoadQuery::new(id, "watchlist-save", &[0]).with_idempotency_key(key)
}

/// Sends a query under the key `k1`, and resets its stream once its attempt hangs at a data server.
async fn send_and_cancel(fixture: &Fixture, http2: &Http2Client, client_timeout: Duration) {
    fixture.set_fault(Fault::Hang);
    let query = save("a", "k1").with_client_timeout(client_timeout);
    let stream = http2.open(&query.request()).await.unwrap();
    fixture.wait_for_attempts(1).await;
    stream.reset();
}

/// Sends queries under this key, each after the time that the rejection before it advised, until
/// one is not rejected.
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

/// The part was sent when the client reset its stream. The same key is rejected while that attempt
/// may run, and served afterwards.
#[test]
fn repeated_key_is_rejected_while_the_first_attempt_may_run() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    fixture.run(async {
        let http2 = fixture.connect().await;
        send_and_cancel(&fixture, &http2, Duration::from_millis(3000)).await;
        let QueryOutcome::Rejected(Some(after)) = http2.send_query(&save("b", "k1")).await else {
            panic!("it was not rejected")
        };
        assert!(after > 0.0 && after <= 3.0, "{after}");
        fixture.set_fault(Fault::None);
        // Another key is not affected.
        assert_eq!(
            http2.send_query(&save("c", "k2")).await,
            complete_answer(&[0])
        );
        let retried = retry_until_served(&http2, "k1").await;
        assert_eq!(retried, complete_answer(&[0]));
    });
    fixture.check_invariants();
}

/// The part is not sent again once data servers no longer drop repeats of it.
#[test]
fn repeated_key_fails_after_the_deduplication_window() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    fixture.run(async {
        let http2 = fixture.connect().await;
        send_and_cancel(&fixture, &http2, Duration::from_millis(800)).await;
        let sent = fixture.attempt_count();
        fixture.set_fault(Fault::None);
        async_io::Timer::after(Duration::from_millis(5100)).await;
        assert_eq!(
            http2.send_query(&save("b", "k1")).await,
            QueryOutcome::Failed(502)
        );
        assert_eq!(fixture.attempt_count(), sent);
    });
    fixture.check_invariants();
}
