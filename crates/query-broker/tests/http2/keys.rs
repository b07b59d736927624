//! Idempotency keys of clients that give up and ask again.

use crate::rig::{rig, whole};
use load_generator::{LoadQuery, QueryOutcome};
use std::time::Duration;
use test_fleet::Fault;

fn save(id: &str, key: &str) -> LoadQuery {
    LoadQuery::new(id, "watchlist-save", &[0]).with_idempotency_key(key)
}

/// The part was sent when the client gave up. Its own repeat is put off while that attempt may run, and served after.
#[test]
fn a_repeat_waits_while_the_first_attempt_may_run() {
    let rig = rig(Duration::ZERO);
    rig.fleet
        .servers()
        .iter()
        .for_each(|s| s.set_fault(Fault::Hang));
    rig.run(async {
        let http2 = rig.connect().await;
        let first = http2
            .open(
                &save("a", "k1")
                    .with_client_timeout(Duration::from_millis(3000))
                    .request(),
            )
            .await
            .unwrap();
        rig.attempts(1).await;
        first.reset();
        let QueryOutcome::Rejected(Some(after)) = http2.send_query(&save("b", "k1")).await else {
            panic!("it was not put off")
        };
        assert!(after > 0.0 && after <= 3.0, "{after}");
        rig.fleet
            .servers()
            .iter()
            .for_each(|s| s.set_fault(Fault::None));
        // Another key is none of its business.
        assert_eq!(http2.send_query(&save("c", "k2")).await, whole(&[0]));
        let mut n = 0;
        loop {
            n += 1;
            match http2.send_query(&save(&format!("d{n}"), "k1")).await {
                QueryOutcome::Rejected(Some(after)) => {
                    async_io::Timer::after(Duration::from_secs_f64(after)).await;
                }
                answer => break assert_eq!(answer, whole(&[0])),
            }
        }
    });
    rig.check_books();
}

/// Nothing sends the part again once data servers no longer drop its repeat.
#[test]
fn a_repeat_beyond_the_window_has_failed() {
    let rig = rig(Duration::ZERO);
    rig.fleet
        .servers()
        .iter()
        .for_each(|s| s.set_fault(Fault::Hang));
    rig.run(async {
        let http2 = rig.connect().await;
        let first = http2
            .open(
                &save("a", "k1")
                    .with_client_timeout(Duration::from_millis(800))
                    .request(),
            )
            .await
            .unwrap();
        rig.attempts(1).await;
        first.reset();
        let sent = rig.fleet.attempt_log(|log| log.attempts().len());
        rig.fleet
            .servers()
            .iter()
            .for_each(|s| s.set_fault(Fault::None));
        async_io::Timer::after(Duration::from_millis(5100)).await;
        assert_eq!(
            http2.send_query(&save("b", "k1")).await,
            QueryOutcome::Failed(502)
        );
        assert_eq!(rig.fleet.attempt_log(|log| log.attempts().len()), sent);
    });
    rig.check_books();
}
