//! Queries as clients send them, and how they end.

use crate::wire::{
    AUTHORITY, CLASS_HEADER, COMPLETE_FIELD, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER,
    QueryBodyWire, REQUEST_ID_HEADER, SHARD_FIELD, ShardWire, TENANT, TENANT_HEADER, VALUE_FIELD,
    VALUES_FIELD,
};
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{Request, Response};
use serde_json::{Value, json};
use std::time::Duration;

/// The text that the parts of all queries carry.
pub const QUERY_TEXT: &str = "c41e77d0";

/// Default for how long a client waits.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

/// A query that a client sends.
#[derive(Clone, Debug)]
pub struct LoadQuery {
    /// The request id; each query has its own.
    pub id: String,
    /// The class.
    pub class: String,
    /// The shards, each with the same portion of the query's value.
    pub shards: Vec<usize>,
    /// How long the client waits for the answer.
    pub client_timeout: Duration,
    /// The idempotency key, which some classes need.
    pub idempotency_key: Option<String>,
}

impl LoadQuery {
    /// A query without an idempotency key, whose client waits for four seconds.
    #[must_use]
    pub fn new(id: impl Into<String>, class: &str, shards: &[usize]) -> Self {
        LoadQuery {
            id: id.into(),
            class: class.to_owned(),
            shards: shards.to_vec(),
            client_timeout: DEFAULT_CLIENT_TIMEOUT,
            idempotency_key: None,
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_idempotency_key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// Sets how long the client waits.
    #[must_use]
    pub fn with_client_timeout(mut self, client_timeout: Duration) -> Self {
        self.client_timeout = client_timeout;
        self
    }

    /// Returns the HTTP request of the query, with an absolute URI.
    #[must_use]
    pub fn request(&self) -> Request<Vec<u8>> {
        let body = self.body();
        let mut builder = Request::post(format!("http://{AUTHORITY}/{}", self.class))
            .header(REQUEST_ID_HEADER, &self.id)
            .header(CLASS_HEADER, &self.class)
            .header(TENANT_HEADER, TENANT)
            .header(
                DEADLINE_HEADER,
                format!("{}m", self.client_timeout.as_millis()),
            )
            .header(CONTENT_LENGTH, body.len());
        if let Some(key) = &self.idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        builder.body(body).unwrap_or_default()
    }

    fn body(&self) -> Vec<u8> {
        let portion = 1.0 / self.shards.len() as f64;
        let shards = self
            .shards
            .iter()
            .map(|&shard| ShardWire { portion, shard });
        let body = QueryBodyWire {
            text: QUERY_TEXT,
            shards: shards.collect(),
        };
        json!(body).to_string().into_bytes()
    }
}

/// The value of one shard in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardValue {
    /// The shard.
    pub shard: usize,
    /// Its value.
    pub value: String,
}

/// How a query ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The query was answered.
    Answered {
        /// Whether the answer is marked as complete.
        complete: bool,
        /// The values that the answer holds.
        values: Vec<ShardValue>,
    },
    /// The query was rejected, with the seconds of its `Retry-After`.
    Rejected(Option<f64>),
    /// The query ended with another status.
    Failed(u16),
    /// No answer came: the stream was reset or the connection ended, for this reason.
    Aborted(String),
}

impl QueryOutcome {
    /// Reads a response.
    #[must_use]
    pub fn from_response(response: &Response<Vec<u8>>) -> Self {
        match response.status().as_u16() {
            200 => answered(response.body()),
            429 | 503 => QueryOutcome::Rejected(retry_after(response)),
            status => QueryOutcome::Failed(status),
        }
    }

    /// Whether the query was answered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self, QueryOutcome::Answered { .. })
    }
}

fn answered(body: &[u8]) -> QueryOutcome {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let answers = body[VALUES_FIELD].as_array().map(Vec::as_slice);
    QueryOutcome::Answered {
        complete: body[COMPLETE_FIELD] == true,
        values: answers
            .unwrap_or_default()
            .iter()
            .map(shard_value)
            .collect(),
    }
}

fn shard_value(answer: &Value) -> ShardValue {
    ShardValue {
        shard: answer[SHARD_FIELD].as_u64().unwrap_or(0) as usize,
        value: answer[VALUE_FIELD].as_str().unwrap_or_default().to_owned(),
    }
}

fn retry_after(response: &Response<Vec<u8>>) -> Option<f64> {
    let header = response.headers().get(RETRY_AFTER)?;
    header.to_str().ok()?.parse().ok()
}
