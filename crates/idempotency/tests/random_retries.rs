//! Tests of the register with random sequences of retries, checked against a reference model.

use broker_types::time::Timestamp;
use idempotency::{ExecutionEvidence, IdempotencyRegister, KeyAdmission, QueryEnd, RegisterLimits};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use std::rc::Rc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Length of the replay window.
const WINDOW: Duration = Duration::from_secs(5);
/// Time after the replay window during which clients may still retry. Until its end the register
/// keeps a key under which a part may have been executed, unless its query was answered.
const RETENTION: Duration = Duration::from_secs(5);
const KEYS: usize = 4;
const SHARDS: usize = 2;
/// One less than the number of keys that clients use, so that the register can be full.
const MAX_KEYS: usize = KEYS - 1;

/// One operation of a random sequence: by a client, by a server, or the passing of time.
#[derive(Clone, Copy, Debug)]
enum Step {
    Admit {
        key: usize,
    },
    Send {
        key: usize,
        shard: usize,
    },
    EndAttempt {
        key: usize,
        shard: usize,
        evidence: ExecutionEvidence,
    },
    /// The query ends without an answer. Answered queries are not tested here, because their
    /// clients do not use the key again.
    EndQuery {
        key: usize,
    },
    Wait(Duration),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let evidence = prop::sample::select(vec![
        ExecutionEvidence::Executed,
        ExecutionEvidence::NotExecuted,
        ExecutionEvidence::PossiblyExecuted,
    ]);
    let end_attempt =
        (0..KEYS, 0..SHARDS, evidence).prop_map(|(key, shard, evidence)| Step::EndAttempt {
            key,
            shard,
            evidence,
        });
    let step = prop_oneof![
        (0..KEYS).prop_map(|key| Step::Admit { key }),
        (0..KEYS, 0..SHARDS).prop_map(|(key, shard)| Step::Send { key, shard }),
        end_attempt,
        (0..KEYS).prop_map(|key| Step::EndQuery { key }),
        (0..3_000_000u64).prop_map(|micros| Step::Wait(Duration::from_micros(micros))),
    ];
    prop::collection::vec(step, 0..200)
}

fn name(key: usize) -> Rc<str> {
    format!("k{key}").into()
}

/// The reference state of a part, recorded independently of the register.
#[derive(Clone, Copy, Debug, Default)]
struct PartModel {
    in_flight: u32,
    /// Time at which the first attempt that may have been executed was sent.
    first_sent_at: Option<Timestamp>,
    /// Number of ended attempts that were executed or may have been executed.
    possibly_executed: u32,
}

/// The register and the reference state of all queries and parts.
struct Model {
    register: IdempotencyRegister,
    now: Timestamp,
    /// Whether a query under the key is in flight, by key.
    has_query: [bool; KEYS],
    parts: [[PartModel; SHARDS]; KEYS],
}

impl Model {
    fn new() -> Self {
        let limits = RegisterLimits {
            window: WINDOW,
            retention: RETENTION,
            max_keys: MAX_KEYS,
        };
        Model {
            register: IdempotencyRegister::new(limits),
            now: Timestamp::ORIGIN,
            has_query: [false; KEYS],
            parts: Default::default(),
        }
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Admit { key } => self.admit(key)?,
            Step::Send { key, shard } => self.send(key, shard)?,
            Step::EndAttempt {
                key,
                shard,
                evidence,
            } => self.end_attempt(key, shard, evidence),
            Step::EndQuery { key } => self.end_query(key),
            Step::Wait(time) => self.now = self.now + time,
        }
        prop_assert!(self.register.key_count() <= MAX_KEYS);
        Ok(())
    }

    fn admit(&mut self, key: usize) -> Result<(), TestCaseError> {
        let deadline = self.now + 4 * SECOND;
        let admission = self
            .register
            .admit(self.now, &name(key), 0..SHARDS, deadline);
        if admission == KeyAdmission::Admitted {
            prop_assert!(!self.has_query[key]);
            prop_assert!(self.parts[key].iter().all(|part| part.in_flight == 0));
            self.has_query[key] = true;
        }
        Ok(())
    }

    fn send(&mut self, key: usize, shard: usize) -> Result<(), TestCaseError> {
        let now = self.now;
        if !self.has_query[key] || !self.register.may_send(now, &name(key), shard) {
            return Ok(());
        }
        let part = &mut self.parts[key][shard];
        prop_assert_eq!(part.in_flight, 0);
        if let Some(first_sent_at) = part.first_sent_at {
            let is_within_window = now < first_sent_at + WINDOW;
            // After the last retry the register may have removed the key. It then has no record of
            // the earlier attempt, and allows the part to be sent.
            let is_after_last_retry = now >= first_sent_at + WINDOW + RETENTION;
            prop_assert!(is_within_window || is_after_last_retry);
        }
        if part.possibly_executed == 0 {
            part.first_sent_at = Some(now);
        }
        part.in_flight += 1;
        self.register
            .on_attempt_sent(now, &name(key), shard, now + SECOND);
        Ok(())
    }

    fn end_attempt(&mut self, key: usize, shard: usize, evidence: ExecutionEvidence) {
        let part = &mut self.parts[key][shard];
        if part.in_flight == 0 {
            return;
        }
        part.in_flight -= 1;
        if evidence != ExecutionEvidence::NotExecuted {
            part.possibly_executed += 1;
        }
        if part.possibly_executed == 0 {
            part.first_sent_at = None;
        }
        self.register
            .on_attempt_ended(self.now, &name(key), shard, evidence);
    }

    fn end_query(&mut self, key: usize) {
        if self.has_query[key] {
            self.has_query[key] = false;
            self.register
                .on_query_ended(self.now, &name(key), QueryEnd::Unanswered);
        }
    }
}

proptest! {
    /// Clients repeat keys in any order, and attempts end with any outcome in any order. No part is
    /// sent while another attempt at it is in flight. A part that may have been executed is not
    /// sent between the end of its replay window and the last time at which clients may retry.
    #[test]
    fn no_part_is_sent_twice_concurrently_or_after_its_window(steps in steps()) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step)?;
        }
    }
}
