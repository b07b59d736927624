//! The queries in hand: whose they are, what came for them, and what may go out in their name.

use crate::upstream::{EndedAttempt, OutgoingAttempt, OutgoingPart};
use admission::{ConnectionId, ConnectionQuota};
use async_channel::Sender;
use broker_types::query::{AttemptId, FinalResponse, QueryId, QueryRequest, ShardValue};
use broker_types::server::{NodeId, Outcome};
use broker_types::time::{MILLI, Micros, millis};
use fanout_policy::api::{RetrySafety, Settings};
use idempotency::{ExecutionEvidence, IdempotencyRegister, KeyAdmission, RegisterLimits};
use policy_engine::{Dispatch, QuerySpec};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{Span, debug, debug_span, info};

/// Most idempotency keys that are remembered, with two to three hundred bytes each.
const KEYS: usize = 8192;
/// Window of a deployment without keyed classes: nothing is ever registered there.
const NO_WINDOW: Micros = 5_000_000;

/// A query in hand. Dropping it drops the way to its client, so it is dropped with its one reply.
struct Pending {
    connection: ConnectionId,
    ask: QueryRequest,
    reply: Sender<FinalResponse>,
    /// The value of each part that is in.
    values: Vec<Option<String>>,
    taken: Micros,
    /// What became of its attempts, for the log. Bounded by parts and attempts a part.
    story: Vec<Told>,
    span: Span,
}

/// One attempt that ended, as the log tells it.
struct Told {
    attempt: AttemptId,
    server: NodeId,
    sent: Micros,
    ended: Option<(Outcome, Micros)>,
}

/// `PART.ATTEMPT@SERVER+SENT:OUTCOME/TIME`, times in milliseconds since the query came.
fn told(taken: Micros, story: &[Told]) -> String {
    let ms = |at: Micros| at.saturating_sub(taken) / MILLI;
    let one = |t: &Told| {
        let (part, attempt, server, sent) =
            (t.attempt.part, t.attempt.attempt, &t.server.0, ms(t.sent));
        match t.ended {
            Some((outcome, at)) => {
                format!("{part}.{attempt}@{server}+{sent}:{outcome:?}/{}", ms(at))
            }
            None => format!("{part}.{attempt}@{server}+{sent}:out"),
        }
    };
    // What went well is left out: a line of the log is short, and the bad ones are looked for.
    let bad = story
        .iter()
        .filter(|t| t.ended.is_none_or(|(o, _)| o != Outcome::Served));
    bad.map(one).collect::<Vec<_>>().join(" ")
}

impl Pending {
    /// The room that it takes: itself and its parts.
    fn units(&self) -> usize {
        1 + self.ask.parts.len()
    }
}

/// Why a dispatch does not go out.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Held {
    /// Its query has ended in the same turn.
    Over,
    /// The part may have run under this key, and its repeats are no longer dropped.
    Repeat,
}

/// The queries in hand.
pub(crate) struct Queries {
    pending: BTreeMap<QueryId, Pending>,
    /// The requests' ids: parts go by them on the wire.
    ids: BTreeSet<Rc<str>>,
    quota: ConnectionQuota,
    register: IdempotencyRegister,
    /// Attempts that are out under a key.
    keyed: BTreeMap<AttemptId, (Rc<str>, usize)>,
    max_retry_after: Option<Micros>,
}

impl Queries {
    /// With room for so many queries and parts.
    pub(crate) fn new(settings: &Settings, room: usize) -> Self {
        let window = settings
            .classes
            .iter()
            .filter_map(|c| match c.retry_safety {
                RetrySafety::IdempotencyKey { window } => Some(millis(window)),
                _ => None,
            });
        let keep = settings
            .classes
            .iter()
            .map(|c| millis(c.client_timeout))
            .max();
        Queries {
            pending: BTreeMap::new(),
            ids: BTreeSet::new(),
            quota: ConnectionQuota::new(room),
            register: IdempotencyRegister::new(RegisterLimits {
                window: window.min().unwrap_or(NO_WINDOW),
                retention: keep.unwrap_or(0),
                max_keys: KEYS,
            }),
            keyed: BTreeMap::new(),
            max_retry_after: settings.max_retry_after.map(millis),
        }
    }

    /// Queries in hand.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes up a query, or answers it at once: `None`.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        id: QueryId,
        connection: ConnectionId,
        ask: QueryRequest,
        reply: Sender<FinalResponse>,
    ) -> Option<QuerySpec> {
        let answered = |reply_with| {
            let _ = reply.try_send(reply_with);
            None
        };
        // Parts go by the request's id on the wire: those of two requests could not be told apart.
        if self.ids.contains(&ask.id) {
            let why = "X-Request-Id is that of a request in hand".to_owned();
            return answered(FinalResponse::Invalid {
                status: 400,
                reason: why,
            });
        }
        let units = 1 + ask.parts.len();
        if !self.quota.try_acquire(connection, units) {
            info!(name: "connection_quota_exceeded", connection = connection.0, in_use = self.quota.in_use());
            return answered(FinalResponse::Rejected {
                retry_after: self.max_retry_after,
            });
        }
        let give_up_at = now + ask.client_timeout;
        if let Some(key) = &ask.idempotency_key {
            let shards = ask.parts.iter().map(|p| p.shard);
            let verdict = self.register.admit(now, key, shards, give_up_at);
            if verdict != KeyAdmission::Admitted {
                self.quota.release(connection, units);
                info!(name: "idempotency_key_repeated", connection = connection.0, id = %ask.id, admission = ?verdict);
            }
            match verdict {
                KeyAdmission::Admitted => {}
                KeyAdmission::RetryAt(until) => {
                    let wait = until.saturating_sub(now);
                    return answered(FinalResponse::Rejected {
                        retry_after: self.max_retry_after.map(|most| most.min(wait)),
                    });
                }
                KeyAdmission::WindowExpired => return answered(FinalResponse::Failed),
            }
        }
        let query = QuerySpec {
            id,
            class: ask.class,
            tenant: ask.tenant,
            deadline: give_up_at,
            is_retry: ask.is_retry,
            parts: ask.parts.clone(),
        };
        let span = debug_span!("query", query = id.0, connection = connection.0, id = %ask.id);
        span.in_scope(
            || debug!(name: "query_accepted", class = ask.class, parts = ask.parts.len()),
        );
        self.ids.insert(ask.id.clone());
        let values = vec![None; ask.parts.len()];
        self.pending.insert(
            id,
            Pending {
                connection,
                ask,
                reply,
                values,
                taken: now,
                story: Vec::new(),
                span,
            },
        );
        Some(query)
    }

    /// The client has gone. Nothing may be left to free where the reply was on its way already.
    pub(crate) fn gone(&mut self, now: Micros, query: QueryId) {
        if let Some(pending) = self.close(now, query, false) {
            pending
                .span
                .in_scope(|| debug!(name: "query_abandoned", query = query.0));
        }
    }

    /// Ends a query with its one reply.
    pub(crate) fn finish(
        &mut self,
        now: Micros,
        query: QueryId,
        reply: impl FnOnce(Values) -> FinalResponse,
    ) {
        let Some(pending) = self.pending.get_mut(&query) else {
            return;
        };
        let values = std::mem::take(&mut pending.values);
        let answered_parts = values.iter().flatten().count();
        let shards = pending.ask.parts.iter().map(|p| p.shard);
        let reply = reply(
            shards
                .zip(values)
                .filter_map(|(shard, value)| {
                    Some(ShardValue {
                        shard,
                        value: value?,
                    })
                })
                .collect(),
        );
        let Some(pending) = self.close(now, query, matches!(reply, FinalResponse::Answered { .. }))
        else {
            return;
        };
        pending.span.in_scope(
            || debug!(name: "query_finished", response = ?std::mem::discriminant(&reply)),
        );
        if !matches!(reply, FinalResponse::Answered { .. }) {
            let rejected = matches!(reply, FinalResponse::Rejected { .. });
            let elapsed_ms = now.saturating_sub(pending.taken) / MILLI;
            let QueryRequest {
                id,
                class,
                parts,
                client_timeout,
                is_retry,
                ..
            } = &pending.ask;
            let (parts, client_timeout_ms) = (parts.len(), client_timeout / MILLI);
            let (attempts, unserved_attempts) =
                (pending.story.len(), told(pending.taken, &pending.story));
            info!(name: "query_unserved", id = %id, class, is_retry, rejected, elapsed_ms, client_timeout_ms, parts, answered_parts, attempts, unserved_attempts);
        }
        // A client that has just gone needs none.
        let _ = pending.reply.try_send(reply);
    }

    /// The one place where a query is given back.
    fn close(&mut self, now: Micros, query: QueryId, answered: bool) -> Option<Pending> {
        let pending = self.pending.remove(&query)?;
        self.ids.remove(&pending.ask.id);
        self.quota.release(pending.connection, pending.units());
        if let Some(key) = &pending.ask.idempotency_key {
            self.register.on_query_ended(now, key, answered);
        }
        Some(pending)
    }

    /// A dispatch with all that its frame needs.
    pub(crate) fn outgoing(&mut self, now: Micros, d: Dispatch) -> Result<OutgoingAttempt, Held> {
        let pending = self.pending.get_mut(&d.attempt.query).ok_or(Held::Over)?;
        let part = pending.ask.parts.get(d.attempt.part.0).ok_or(Held::Over)?;
        let mut expires = None;
        if let Some(key) = &pending.ask.idempotency_key {
            if !self.register.may_send(now, key, part.shard) {
                return Err(Held::Repeat);
            }
            expires = self.register.window_ends_at(key, part.shard);
            self.register
                .on_attempt_sent(now, key, part.shard, d.deadline);
            self.keyed.insert(d.attempt, (key.clone(), part.shard));
        }
        pending.span.in_scope(
            || debug!(name: "attempt_sent", shard = part.shard, attempt = d.attempt.attempt, server = %d.server.0),
        );
        let told = Told {
            attempt: d.attempt,
            server: d.server.clone(),
            sent: now,
            ended: None,
        };
        pending.story.push(told);
        Ok(OutgoingAttempt {
            attempt: d.attempt,
            server: d.server,
            part: OutgoingPart {
                wire_id: format!("{}.{}", pending.ask.id, part.shard),
                shard: part.shard,
                deadline: d.deadline,
                send_before: expires,
                idempotency_key: pending.ask.idempotency_key.clone(),
                text: pending.ask.payload.clone(),
            },
        })
    }

    /// Takes the end of an attempt: its value stays here, with its query.
    pub(crate) fn ended(&mut self, now: Micros, ended: &mut EndedAttempt) {
        if let Some((key, shard)) = self.keyed.remove(&ended.attempt) {
            let proof = match ended.outcome {
                Outcome::Served | Outcome::Error => ExecutionEvidence::Executed,
                Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent => {
                    ExecutionEvidence::NotExecuted
                }
                Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
                    ExecutionEvidence::PossiblyExecuted
                }
            };
            self.register.on_attempt_ended(now, &key, shard, proof);
        }
        let Some(pending) = self.pending.get_mut(&ended.attempt.query) else {
            return;
        };
        pending.span.in_scope(
            || debug!(name: "attempt_ended", part = ended.attempt.part.0, outcome = ?ended.outcome),
        );
        if let Some(told) = pending
            .story
            .iter_mut()
            .rfind(|t| t.attempt == ended.attempt)
        {
            told.ended = Some((ended.outcome, now));
        }
        if let Some(value) = pending.values.get_mut(ended.attempt.part.0)
            && ended.outcome == Outcome::Served
        {
            *value = ended.value.take();
        }
    }
}

/// Shard and value of each part that is in.
pub(crate) type Values = Vec<ShardValue>;
