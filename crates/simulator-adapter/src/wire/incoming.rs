//! Messages from the simulator.

use fanout_policy::api::{
    ClassIndex, Endpoint, Event, ListUpdate, Ms, NodeId, Outcome, Part, PartId, Query, QueryId,
    ServingState, TenantIndex,
};
use fanout_policy::settings::{SettingsWire, SiteSettings};
use serde::Deserialize;
use serde::de::value::Error as NameError;
use serde::de::{Deserializer, IntoDeserializer};
use serde_json::Value;
use std::sync::Arc;
use wire_fields::{
    FieldError, choice, flag, number, object, objects, optional_number, optional_whole_number,
    text, whole_number,
};

/// The type of any message.
#[derive(Debug, Deserialize)]
pub(crate) struct MessageTypeWire {
    #[serde(rename = "t", deserialize_with = "text")]
    message_type: String,
}

/// What a message says.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// A batch begins.
    #[serde(rename = "Tick")]
    BatchBegin,
    /// A batch ends.
    #[serde(rename = "EofBatch")]
    BatchEnd,
    /// An instance is launched.
    #[serde(rename = "Launch")]
    Launch,
    /// An instance is destroyed.
    #[serde(rename = "Destroy")]
    Destroy,
    /// An endpoint list is declared.
    #[serde(rename = "Ledger")]
    ListDeclaration,
    /// The endpoint list of an instance is updated.
    #[serde(rename = "PeersKnown")]
    ListUpdate,
    /// A query or part arrives.
    #[serde(rename = "Order")]
    Arrival,
    /// An attempt has ended.
    #[serde(rename = "ReportBack")]
    AttemptEnded,
    /// The client of a query has disconnected.
    #[serde(rename = "Dropped")]
    ClientDisconnected,
    /// A timer has fired.
    #[serde(rename = "DeadlineHit")]
    TimerFired,
    /// Gossip from another aggregator.
    #[serde(rename = "Memo")]
    Gossip,
    /// A streamed answer has begun. No class is streamed.
    #[serde(rename = "Begun")]
    StreamStarted,
    /// A load probe was answered. The adapter sends none.
    #[serde(rename = "Probed")]
    ProbeAnswered,
}

impl MessageKind {
    /// The kind of messages of this type, if the protocol has any.
    pub(crate) fn of_type(message_type: &str) -> Option<MessageKind> {
        let name = IntoDeserializer::<NameError>::into_deserializer(message_type);
        MessageKind::deserialize(name).ok()
    }
}

impl From<MessageTypeWire> for String {
    fn from(wire: MessageTypeWire) -> Self {
        wire.message_type
    }
}

/// The number of a batch, in the message that begins it.
#[derive(Debug, Deserialize)]
pub(crate) struct BatchNumberWire {
    #[serde(rename = "n", deserialize_with = "whole_number")]
    batch: u64,
}

impl From<BatchNumberWire> for u64 {
    fn from(wire: BatchNumberWire) -> Self {
        wire.batch
    }
}

/// The time of a batch, in the message that begins it.
#[derive(Debug, Deserialize)]
pub(crate) struct BatchTimeWire {
    #[serde(rename = "Moment", deserialize_with = "number")]
    now_ms: f64,
}

impl From<BatchTimeWire> for Ms {
    fn from(wire: BatchTimeWire) -> Self {
        wire.now_ms
    }
}

/// The instance that a message is for.
#[derive(Debug, Deserialize)]
pub(crate) struct InstanceWire {
    #[serde(rename = "I", deserialize_with = "whole_number")]
    instance: u64,
}

impl From<InstanceWire> for u64 {
    fn from(wire: InstanceWire) -> Self {
        wire.instance
    }
}

/// The launch of an instance.
#[derive(Debug, Deserialize)]
pub(crate) struct LaunchWire {
    #[serde(rename = "Env", deserialize_with = "object")]
    settings: SettingsWire,
    #[serde(rename = "RngSeed", deserialize_with = "whole_number")]
    seed: u64,
}

impl LaunchWire {
    /// The seed of the instance's random number generator.
    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    /// The settings of the instance.
    pub(crate) fn site_settings(self) -> Result<SiteSettings, FieldError> {
        self.settings.try_into()
    }
}

/// The declaration of an endpoint list.
#[derive(Debug, Deserialize)]
pub(crate) struct DeclaredListWire {
    #[serde(rename = "Slot", deserialize_with = "whole_number")]
    slot: u64,
    #[serde(rename = "MembersList", deserialize_with = "objects")]
    endpoints: Vec<EndpointWire>,
}

impl DeclaredListWire {
    /// The number by which updates refer to the list.
    pub(crate) fn slot(&self) -> u64 {
        self.slot
    }
}

impl From<DeclaredListWire> for Vec<Endpoint> {
    fn from(wire: DeclaredListWire) -> Self {
        wire.endpoints.into_iter().map(Endpoint::from).collect()
    }
}

/// An entry of an endpoint list.
#[derive(Debug, Deserialize)]
struct EndpointWire {
    #[serde(rename = "Mode", deserialize_with = "choice")]
    state: ServingStateWire,
    #[serde(rename = "Node", deserialize_with = "text")]
    node: Arc<str>,
    #[serde(
        rename = "Position",
        default,
        deserialize_with = "optional_whole_number"
    )]
    cell: Option<u64>,
    #[serde(rename = "Dc", default, deserialize_with = "optional_whole_number")]
    zone: Option<u64>,
    /// 0 or less where it is long ago.
    #[serde(rename = "StartTime", default, deserialize_with = "optional_number")]
    started_ms: Option<f64>,
}

impl From<EndpointWire> for Endpoint {
    fn from(wire: EndpointWire) -> Self {
        Endpoint {
            node: NodeId(wire.node),
            cell: wire.cell.unwrap_or(0) as usize,
            state: wire.state.into(),
            zone: wire.zone.map(|zone| zone as usize),
            started: wire.started_ms.filter(|time| *time > 0.0),
        }
    }
}

/// The state of a server.
#[derive(Clone, Copy, Debug, Deserialize)]
enum ServingStateWire {
    #[serde(rename = "in_service")]
    Serving,
    #[serde(rename = "terminating")]
    Draining,
    #[serde(rename = "terminated")]
    Removed,
}

impl From<ServingStateWire> for ServingState {
    fn from(wire: ServingStateWire) -> Self {
        match wire {
            ServingStateWire::Serving => ServingState::Serving,
            ServingStateWire::Draining => ServingState::Draining,
            ServingStateWire::Removed => ServingState::Removed,
        }
    }
}

/// What kind of update an endpoint list is.
#[derive(Debug, Deserialize)]
pub(crate) struct ListUpdateWire {
    #[serde(rename = "Mode", deserialize_with = "choice")]
    update: ListUpdateKindWire,
}

/// The kind of an update.
#[derive(Clone, Copy, Debug, Deserialize)]
enum ListUpdateKindWire {
    #[serde(rename = "diff")]
    Delta,
    #[serde(rename = "snapshot")]
    Snapshot,
    #[serde(rename = "disk")]
    Cached,
    #[serde(rename = "error")]
    Failed,
}

impl From<ListUpdateWire> for ListUpdate {
    fn from(wire: ListUpdateWire) -> Self {
        match wire.update {
            ListUpdateKindWire::Delta => ListUpdate::Delta,
            ListUpdateKindWire::Snapshot => ListUpdate::Snapshot,
            ListUpdateKindWire::Cached => ListUpdate::Cached,
            ListUpdateKindWire::Failed => ListUpdate::Failed,
        }
    }
}

/// The declared list that an update refers to. An update that failed refers to none.
#[derive(Debug, Deserialize)]
pub(crate) struct ListReferenceWire {
    #[serde(rename = "Slot", deserialize_with = "whole_number")]
    slot: u64,
}

impl From<ListReferenceWire> for u64 {
    fn from(wire: ListReferenceWire) -> Self {
        wire.slot
    }
}

/// The fields that the arrivals of queries and of parts share.
#[derive(Debug, Deserialize)]
pub(crate) struct ArrivalWire {
    #[serde(rename = "Service", deserialize_with = "whole_number")]
    class: u64,
    /// Below 0 for a query.
    #[serde(rename = "Slice", deserialize_with = "number")]
    shard: f64,
    #[serde(rename = "GroupNo", deserialize_with = "whole_number")]
    group: u64,
}

impl ArrivalWire {
    /// The class of the query.
    pub(crate) fn class(&self) -> ClassIndex {
        ClassIndex(self.class as usize)
    }

    /// Whether a query arrives; it is a part otherwise.
    pub(crate) fn is_query(&self) -> bool {
        self.shard < 0.0
    }
}

/// The arrival of a query.
#[derive(Debug, Deserialize)]
pub(crate) struct QueryWire {
    #[serde(rename = "OpId", deserialize_with = "text")]
    id: Arc<str>,
    #[serde(rename = "Team", default, deserialize_with = "optional_whole_number")]
    tenant: Option<u64>,
    #[serde(rename = "GiveUpAt", deserialize_with = "number")]
    client_deadline_ms: f64,
    #[serde(rename = "AgainByClient", default, deserialize_with = "flag")]
    is_retry: bool,
}

impl QueryWire {
    /// The query that arrives.
    pub(crate) fn query(self, arrival: &ArrivalWire) -> Query {
        Query {
            id: QueryId(self.id),
            group: arrival.group,
            class: arrival.class(),
            tenant: TenantIndex(self.tenant.unwrap_or(0) as usize),
            client_deadline: self.client_deadline_ms,
            is_retry: self.is_retry,
        }
    }
}

/// The arrival of a part of a query.
#[derive(Debug, Deserialize)]
pub(crate) struct PartWire {
    #[serde(rename = "OpId", deserialize_with = "text")]
    id: Arc<str>,
    #[serde(rename = "Slice", deserialize_with = "whole_number")]
    shard: u64,
    #[serde(rename = "Measure", deserialize_with = "number")]
    weight: f64,
    #[serde(rename = "Effort", default, deserialize_with = "optional_number")]
    cost_hint_ms: Option<f64>,
}

impl PartWire {
    /// The part that arrives.
    pub(crate) fn part(self, arrival: &ArrivalWire) -> Part {
        Part {
            id: PartId(self.id),
            group: arrival.group,
            shard: self.shard as usize,
            weight: self.weight,
            cost_hint: self.cost_hint_ms,
        }
    }
}

/// The end of an attempt.
#[derive(Debug, Deserialize)]
pub(crate) struct AttemptEndedWire {
    #[serde(rename = "OpId", deserialize_with = "text")]
    part: Arc<str>,
    #[serde(rename = "Hop", deserialize_with = "whole_number")]
    attempt: u64,
    #[serde(rename = "Rc", deserialize_with = "choice")]
    outcome: OutcomeWire,
    #[serde(rename = "Rtt", deserialize_with = "number")]
    elapsed_ms: f64,
    #[serde(rename = "Gauge", default, deserialize_with = "load_report")]
    load: Option<LoadReportWire>,
}

impl From<AttemptEndedWire> for Event {
    fn from(wire: AttemptEndedWire) -> Self {
        Event::AttemptEnded {
            part: PartId(wire.part),
            attempt: wire.attempt as u32,
            outcome: wire.outcome.into(),
            elapsed: wire.elapsed_ms,
            load: wire.load.and_then(|report| report.requests()),
        }
    }
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, Deserialize)]
enum OutcomeWire {
    #[serde(rename = "served")]
    Served,
    #[serde(rename = "server_error")]
    Error,
    #[serde(rename = "turned_away")]
    Overloaded,
    #[serde(rename = "no_answer")]
    TimedOut,
    #[serde(rename = "no_connection")]
    Unreachable,
    #[serde(rename = "connection_lost")]
    ConnectionLost,
    #[serde(rename = "called_off")]
    Cancelled,
    #[serde(rename = "not_sent")]
    NotSent,
}

impl From<OutcomeWire> for Outcome {
    fn from(wire: OutcomeWire) -> Self {
        match wire {
            OutcomeWire::Served => Outcome::Served,
            OutcomeWire::Error => Outcome::Error,
            OutcomeWire::Overloaded => Outcome::Overloaded,
            OutcomeWire::TimedOut => Outcome::TimedOut,
            OutcomeWire::Unreachable => Outcome::Unreachable,
            OutcomeWire::ConnectionLost => Outcome::ConnectionLost,
            OutcomeWire::Cancelled => Outcome::Cancelled,
            OutcomeWire::NotSent => Outcome::NotSent,
        }
    }
}

/// A server's report of its load. A field that is null counts as present.
#[derive(Debug, Deserialize)]
struct LoadReportWire {
    #[serde(rename = "rif", default, deserialize_with = "present")]
    requests_in_flight: Option<Value>,
    #[serde(rename = "q", default, deserialize_with = "present")]
    requests_waiting: Option<Value>,
}

impl LoadReportWire {
    /// Requests in flight, or else those waiting, if the report gives a number of them.
    fn requests(&self) -> Option<f64> {
        let requests = self.requests_in_flight.as_ref();
        let requests = requests.or(self.requests_waiting.as_ref())?;
        requests.as_f64().filter(|count| *count >= 0.0)
    }
}

/// A load report. One that is not an object counts as none.
fn load_report<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<LoadReportWire>, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::Object(fields) => Ok(LoadReportWire::deserialize(fields).ok()),
        _ => Ok(None),
    }
}

fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Value>, D::Error> {
    Value::deserialize(deserializer).map(Some)
}

/// The disconnect of the client of a query.
#[derive(Debug, Deserialize)]
pub(crate) struct ClientDisconnectedWire {
    #[serde(rename = "OpId", deserialize_with = "text")]
    query: Arc<str>,
}

impl From<ClientDisconnectedWire> for Event {
    fn from(wire: ClientDisconnectedWire) -> Self {
        Event::ClientDisconnected(QueryId(wire.query))
    }
}

/// The firing of a timer.
#[derive(Debug, Deserialize)]
pub(crate) struct TimerFiredWire {
    /// Number of the timer. All timers of the adapter have the same.
    #[serde(rename = "Ref", deserialize_with = "whole_number")]
    _timer: u64,
}

impl From<TimerFiredWire> for Event {
    fn from(_: TimerFiredWire) -> Self {
        Event::TimerFired
    }
}

/// The contents of a gossip message.
#[derive(Debug, Deserialize)]
pub(crate) struct GossipContentsWire {
    #[serde(rename = "Contents", deserialize_with = "text")]
    hexadecimal: String,
}

impl GossipContentsWire {
    /// The bytes; `None` where the contents are not pairs of hexadecimal digits.
    pub(crate) fn bytes(&self) -> Option<Vec<u8>> {
        hex::decode(&self.hexadecimal).ok()
    }
}

/// The sender of a gossip message.
#[derive(Debug, Deserialize)]
pub(crate) struct GossipSenderWire {
    #[serde(rename = "Who", deserialize_with = "whole_number")]
    aggregator: u64,
}

impl From<GossipSenderWire> for usize {
    fn from(wire: GossipSenderWire) -> Self {
        wire.aggregator as usize
    }
}
