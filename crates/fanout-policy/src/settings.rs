//! Decodes the settings object, as the simulator sends it and as the broker finds it in its configuration.

use crate::api::{
    Class, EndpointListSource, Ms, RetryBudget, RetrySafety, Settings, Tenant, WarmUp,
};
use crate::json::{FieldError, FieldProblem, JsonObject};
use serde_json::Value;

/// The settings of a site: those of the policy, and those that only a program with sockets needs.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in the order of their indices.
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of their indices.
    pub tenant_names: Vec<String>,
    /// Names of the zones, in the order of their indices.
    pub zone_names: Vec<String>,
    /// Largest number of queries and parts that one aggregator may have in flight.
    pub max_in_flight: Option<u64>,
    /// Largest number of parts that one connection carries at once.
    pub max_parts_per_connection: Option<u64>,
    /// Time within which a connection must be established.
    pub dial_timeout: Option<Ms>,
    /// Idle time after which servers close a connection.
    pub idle_timeout: Option<Ms>,
}

/// Decodes the settings object.
///
/// # Errors
///
/// The first field that is missing or has a wrong type or value.
pub fn decode(settings: &JsonObject) -> Result<SiteSettings, FieldError> {
    let family = settings.object("FamilyInfo")?;
    let allowed = settings.object("Allowed")?;
    let rules = settings.object("Rules")?;
    Ok(SiteSettings {
        settings: decode_policy(settings, &family, &allowed, &rules)?,
        class_names: decode_names(settings, "Services")?,
        tenant_names: decode_names(settings, "Projects")?,
        zone_names: decode_zone_names(settings)?,
        max_in_flight: allowed.optional_whole_number("MaxOpen")?,
        max_parts_per_connection: allowed.optional_whole_number("Multiplex")?,
        dial_timeout: allowed.optional_number("DialTimeout")?,
        idle_timeout: allowed.optional_number("Keepalive")?,
    })
}

fn decode_policy(
    settings: &JsonObject,
    family: &JsonObject,
    allowed: &JsonObject,
    rules: &JsonObject,
) -> Result<Settings, FieldError> {
    let tenants = decode_tenants(settings)?;
    let retry_budget = decode_retry_budget(rules)?;
    let list_source = decode_list_source(settings)?;
    let classes = decode_classes(settings, family)?;
    Ok(Settings {
        classes,
        tenants,
        aggregators: settings.whole_number("PeersTotal")? as usize,
        zone: settings
            .optional_whole_number("Locality")?
            .map(|zone| zone as usize),
        over_quota_weight: settings.optional_number("OverShareWorth")?.unwrap_or(1.0),
        weight_by_work: settings.get("WorthBy").and_then(Value::as_str) == Some("work"),
        marks_retries: decode_marks_retries(settings)?,
        cells: family.whole_number("Positions")? as usize,
        replica_cells: family.whole_number("Width")? as usize,
        shards: family.whole_number("Shards")? as usize,
        max_parts_per_call: family.whole_number("Batch")? as usize,
        call_cost: family.number("Call")?,
        max_attempts: allowed.whole_number("SendCap")? as u32,
        hedging: allowed.flag("SecondCopies")?,
        cancellation: allowed.flag("Cancel")?,
        max_retry_after: decode_max_retry_after(allowed)?,
        gossip: allowed.flag("Peers")?,
        tick: settings.number("Tick")?,
        list_source,
        list_poll_deadline: rules.optional_number("AskWithin")?.unwrap_or(f64::INFINITY),
        retry_budget,
        warm_up: decode_warm_up(rules)?,
    })
}

/// The tenants; none where the list is absent.
fn decode_tenants(settings: &JsonObject) -> Result<Vec<Tenant>, FieldError> {
    if settings.get("Projects").is_none() {
        return Ok(Vec::new());
    }
    let mut tenants = Vec::new();
    for tenant in settings.objects("Projects")? {
        tenants.push(Tenant {
            quota_per_s: tenant.number("QuotaPerS")?,
        });
    }
    Ok(tenants)
}

/// The retry budget, where any of its fields is present; its window must then be too.
fn decode_retry_budget(rules: &JsonObject) -> Result<Option<RetryBudget>, FieldError> {
    let free_attempts = rules.optional_number("SpareAttempts")?;
    let per_request = rules.optional_number("ExtraRatio")?;
    let window = rules.optional_number("RatioSpan")?;
    match window {
        Some(window) => Ok(Some(RetryBudget {
            free_attempts: free_attempts.unwrap_or(0.0),
            per_request: per_request.unwrap_or(0.0),
            window,
        })),
        None if free_attempts.is_none() && per_request.is_none() => Ok(None),
        None => Err(rules.error("RatioSpan", FieldProblem::Missing)),
    }
}

fn decode_list_source(settings: &JsonObject) -> Result<EndpointListSource, FieldError> {
    match settings.text("MembershipMode")? {
        "pushed" => Ok(EndpointListSource::Pushed),
        "on_request" => Ok(EndpointListSource::Polled),
        _ => Err(settings.error("MembershipMode", FieldProblem::UnknownValue)),
    }
}

/// The classes. Some of their figures stand in lists of the family, in the order of the classes.
fn decode_classes(settings: &JsonObject, family: &JsonObject) -> Result<Vec<Class>, FieldError> {
    let required_shares = ClassFigures::decode(family, "ClassNeed")?;
    let minimum_shares = ClassFigures::decode(family, "MinShare")?;
    let partial_weights = ClassFigures::decode(family, "PartialEarns")?;
    let second_step_parts = ClassFigures::decode(family, "FetchParts")?;
    let mut classes = Vec::new();
    for (index, class) in settings.objects("Services")?.iter().enumerate() {
        let retry_safety = decode_retry_safety(class)?;
        classes.push(Class {
            latency_objective: class.number("Aim")?,
            client_timeout: class.number("GiveUp")?,
            priority_weight: class.number("Gain")?,
            late_weight: class.number("LateWorth")?,
            retry_safety,
            required_share: required_shares.of_class(index)?,
            minimum_share: minimum_shares.of_class(index)?,
            partial_weight: partial_weights.of_class(index)?,
            has_second_step: second_step_parts.of_class(index)? > 0.0,
        });
    }
    Ok(classes)
}

fn decode_retry_safety(class: &JsonObject) -> Result<RetrySafety, FieldError> {
    match class.text("Semantics")? {
        "repeatable" => Ok(RetrySafety::Idempotent),
        "by_key" => Ok(RetrySafety::IdempotencyKey {
            window: class.number("MemorySpan")?,
        }),
        "once" => Ok(RetrySafety::NotIdempotent),
        _ => Err(class.error("Semantics", FieldProblem::UnknownValue)),
    }
}

/// A field of the family with one number for each class.
struct ClassFigures<'a> {
    family: &'a JsonObject<'a>,
    field: &'static str,
    figures: Vec<f64>,
}

impl<'a> ClassFigures<'a> {
    fn decode(family: &'a JsonObject<'a>, field: &'static str) -> Result<Self, FieldError> {
        Ok(ClassFigures {
            family,
            field,
            figures: family.numbers(field)?,
        })
    }

    fn of_class(&self, index: usize) -> Result<f64, FieldError> {
        let figure = self.figures.get(index).copied();
        figure.ok_or_else(|| self.family.error(self.field, FieldProblem::TooFewEntries))
    }
}

fn decode_marks_retries(settings: &JsonObject) -> Result<bool, FieldError> {
    match settings.get("Clients") {
        Some(_) => settings.object("Clients")?.flag("MarksRetry"),
        None => Ok(false),
    }
}

/// The largest retry-after value, where such values reach the clients.
fn decode_max_retry_after(allowed: &JsonObject) -> Result<Option<Ms>, FieldError> {
    if allowed.flag("RetryAfter")? {
        allowed.optional_number("MaxRetryAfter")
    } else {
        Ok(None)
    }
}

fn decode_warm_up(rules: &JsonObject) -> Result<WarmUp, FieldError> {
    Ok(WarmUp {
        initial_capacity: rules.number("ColdFrom")?,
        duration: rules.number("Cold")?,
        overload_factor: rules.number("FallMultiple")?,
        overload_window: rules.number("Fall")?,
    })
}

/// The names in a list of objects; none where the list is absent, and an empty one where a name is not a string.
fn decode_names(settings: &JsonObject, field: &str) -> Result<Vec<String>, FieldError> {
    if settings.get(field).is_none() {
        return Ok(Vec::new());
    }
    let objects = settings.objects(field)?;
    Ok(objects
        .iter()
        .map(|object| text_or_empty(object.get("Name")))
        .collect())
}

/// The names of the zones; none where the list is absent, and an empty one where an element is not a string.
fn decode_zone_names(settings: &JsonObject) -> Result<Vec<String>, FieldError> {
    if settings.get("Zones").is_none() {
        return Ok(Vec::new());
    }
    let zones = settings.list("Zones")?;
    Ok(zones.iter().map(|zone| text_or_empty(Some(zone))).collect())
}

fn text_or_empty(value: Option<&Value>) -> String {
    value.and_then(Value::as_str).unwrap_or_default().to_owned()
}
