//! Queries of clients, and their outcomes.

use crate::wire::{
    AUTHORITY, CLASS_HEADER, COMPLETE_FIELD, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER,
    QueryBodyWire, REQUEST_ID_HEADER, SHARD_FIELD, ShardWire, TENANT, TENANT_HEADER, VALUE_FIELD,
    VALUES_FIELD,
};
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{Request, Response};
use serde_json::{Value, json};
use std::time::Duration;

/// Text of each query. The broker sends it to the data servers with each part.
pub const QUERY_TEXT: &str = "c41e77d0";

/// Default time for which a client waits for the answer.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

/// A query that a client sends.
#[derive(Clone, Debug)]
pub struct LoadQuery {
    /// Request id. Each query needs one of its own.
    pub id: String,
    /// Name of the query's class.
    pub class: String,
    /// Shards that the query reads. The request gives each of them the same share (`portion`) of the
    /// complete answer.
    pub shards: Vec<usize>,
    /// Time for which the client waits for the answer.
    pub client_timeout: Duration,
    /// Idempotency key, which some classes require.
    pub idempotency_key: Option<String>,
}

impl LoadQuery {
    /// Creates a query without an idempotency key, whose client waits for four seconds.
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

    /// Sets the time for which the client waits for the answer.
    #[must_use]
    pub fn with_client_timeout(mut self, client_timeout: Duration) -> Self {
        self.client_timeout = client_timeout;
        self
    }

    /// Returns the query as an HTTP request with an absolute URI. If the id, the class or the
    /// idempotency key has a character that a URI or a header field must not contain, returns the
    /// default request of the `http` library instead: `GET /` without header fields and body.
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

    /// Returns the JSON body of the request.
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

/// Value of one shard in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardValue {
    /// Index of the shard.
    pub shard: usize,
    /// Value of the shard.
    pub value: String,
}

/// Outcome of a query for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The query was answered (status 200).
    Answered {
        /// Whether the answer is marked as complete.
        complete: bool,
        /// Values in the answer.
        values: Vec<ShardValue>,
    },
    /// The query was rejected (status 429 or 503). Contains the number of seconds from the header
    /// `Retry-After`, if the response has one.
    Rejected(Option<f64>),
    /// The response has another status than those above. Contains that status.
    Failed(u16),
    /// The client received no response, for example because the stream was reset or the connection
    /// ended. Contains the error as text.
    Aborted(String),
}

impl QueryOutcome {
    /// Returns the outcome of the query that received this HTTP response. If a response with status
    /// 200 has no valid JSON body, the outcome is an incomplete answer without values.
    #[must_use]
    pub fn from_response(response: &Response<Vec<u8>>) -> Self {
        match response.status().as_u16() {
            200 => answered(response.body()),
            429 | 503 => QueryOutcome::Rejected(retry_after(response)),
            status => QueryOutcome::Failed(status),
        }
    }

    /// Returns whether the query was answered.
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

/// Decodes an entry in the list of values. A missing or invalid shard is read as 0, and a missing or
/// invalid value as an empty text.
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
