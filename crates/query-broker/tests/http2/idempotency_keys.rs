//! Idempotency keys of clients that cancel a query and send it again.

use crate::fixture::{Fixture, complete_answer};
use load_generator::{LoadQuery, QueryOutcome};
use std::time::Duration;
use test_fleet::Fault;

fn save(id: &str, key: &str) -> LoadQuery {
    LoadQuery::new(id, "watchlist-save", &[0]).with_idempotency_key(key)
}

/// The part was sent when the client reset its stream. The same key is rejected while that attempt may run, and served
/// afterwards.
#[test]
fn repeated_key_is_rejected_while_the_first_attempt_may_run() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    fixture.set_fault(Fault::Hang);
    fixture.run(async {
        let http2 = fixture.connect().await;
        let first = http2
            .open(
                &save("a", "k1")
                    .with_client_timeout(Duration::from_millis(3000))
                    .request(),
            )
            .await
            .unwrap();
        fixture.wait_for_attempts(1).await;
        first.reset();
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
        let mut number = 0;
        loop {
            number += 1;
            match http2.send_query(&save(&format!("d{number}"), "k1")).await {
                QueryOutcome::Rejected(Some(after)) => {
                    async_io::Timer::after(Duration::from_secs_f64(after)).await;
                }
                answer => break assert_eq!(answer, complete_answer(&[0])),
            }
        }
    });
    fixture.check_invariants();
}

/// The part is not sent again once data servers no longer drop repeats of it.
#[test]
fn repeated_key_fails_after_the_deduplication_window() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    fixture.set_fault(Fault::Hang);
    fixture.run(async {
        let http2 = fixture.connect().await;
        let first = http2
            .open(
                &save("a", "k1")
                    .with_client_timeout(Duration::from_millis(800))
                    .request(),
            )
            .await
            .unwrap();
        fixture.wait_for_attempts(1).await;
        first.reset();
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
