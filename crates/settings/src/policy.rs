//! Mapping of the operators' settings to the settings of the delivery policy.

use reeddock::{
    EndpointKind, Idempotency, IdempotencyKeyScope, LateDecay, ListedWeights, MessageClass, Settings,
    TenantQuota, ZoneFee,
};
use serde_json::{Map, Value};

use crate::lenient::Section;
use crate::LoadReportFields;

/// Parses the settings of the delivery policy. Values of the wrong type are treated as absent.
#[must_use]
pub fn parse_policy_settings(seed: u64, settings: &Map<String, Value>) -> Settings {
    let mut parsed = Settings { seed, ..Settings::default() };
    read_fleet(settings, &mut parsed);
    read_traffic(settings, &mut parsed);
    read_limits(settings, &mut parsed);
    read_guarantees(settings, &mut parsed);
    read_discovery(settings, &mut parsed);
    read_prices(settings, &mut parsed);
    parsed
}

/// Reads the number of forwarders in the fleet and this forwarder's zone.
fn read_fleet(settings: &Map<String, Value>, parsed: &mut Settings) {
    let settings = Section::from(settings);
    parsed.forwarders = settings.integer("balancers");
    parsed.zone = settings.text_or_empty("az");
}

/// Reads message classes, endpoint kinds, tenants and the decay of late messages' weight.
fn read_traffic(settings: &Map<String, Value>, parsed: &mut Settings) {
    let settings = Section::from(settings);
    parsed.classes = settings.list("classes").iter().map(parse_message_class).collect();
    parsed.endpoint_kinds = parse_endpoint_kinds(settings);
    parsed.tenants = settings.list("realms").iter().map(parse_tenant_quota).collect();
    parsed.over_quota_weight = settings.number("overShareWorth");
    parsed.late_decay = match settings.section("familyInfo").text("decay") {
        Some("halving") => LateDecay::Exponential,
        _ => LateDecay::Linear,
    };
}

fn parse_message_class(class: &Value) -> MessageClass {
    let class = Section::from(class);
    MessageClass {
        name: class.text_or_empty("name"),
        idempotency: parse_idempotency(class),
        latency_objective: class.micros("onTimeUs"),
        deadline: class.micros("giveUpUs"),
        priority_weight: class.number("importance"),
        late_weight: class.number("lateWorth"),
        ordered: class.flag("sequential"),
    }
}

/// Parses whether messages of a class may be executed repeatedly. Deduplication without a window is treated
/// as absent because it guarantees nothing.
fn parse_idempotency(class: Section) -> Option<Idempotency> {
    match class.text("effect")? {
        "idempotent" => Some(Idempotency::Idempotent),
        "at_most_once" => Some(Idempotency::NonIdempotent),
        "deduplicated" => {
            let window = class.micros("windowUs")?;
            let scope = match class.text("dedupScope") {
                Some("all") => IdempotencyKeyScope::Region,
                _ => IdempotencyKeyScope::Zone,
            };
            Some(Idempotency::WithKey { window, scope })
        }
        _ => None,
    }
}

/// Parses the endpoint kinds. Their names and other values are in parallel arrays with the same indices.
fn parse_endpoint_kinds(settings: Section) -> Vec<EndpointKind> {
    let family = settings.section("familyInfo");
    let batches = family.list("batchByKind");
    let circuits_per_endpoint = family.list("kindApart");
    let kind = |(index, name): (usize, &Value)| EndpointKind {
        name: name.as_str().unwrap_or_default().to_owned(),
        circuit_per_endpoint: circuits_per_endpoint.get(index).and_then(Value::as_bool).unwrap_or_default(),
        max_batch: batches.get(index).and_then(Value::as_u64),
    };
    settings.list("kinds").iter().enumerate().map(kind).collect()
}

fn parse_tenant_quota(tenant: &Value) -> TenantQuota {
    let tenant = Section::from(tenant);
    TenantQuota { tenant: tenant.text_or_empty("name"), messages_per_second: tenant.number("quotaPerS") }
}

/// Reads the limits on messages, requests and attempts of a forwarder, and on the `Retry-After` of
/// rejections.
fn read_limits(settings: &Map<String, Value>, parsed: &mut Settings) {
    let settings = Section::from(settings);
    let limits = settings.section("policyLimits");
    parsed.max_in_flight = settings.section("familyInfo").integer("maxCalls");
    parsed.max_pending_messages = limits.integer("openCap");
    parsed.max_attempts = limits.integer("attemptsCap");
    parsed.hedging_allowed = limits.flag("mayDuplicate");
    parsed.max_retry_after = limits.micros("maxRetryAfterUs").filter(|_| limits.flag("retryAfter"));
    parsed.connection_idle_timeout = limits.micros("connIdleUs");
}

/// Reads the operators' guarantees about slow start, overload and ordering keys.
fn read_guarantees(settings: &Map<String, Value>, parsed: &mut Settings) {
    let guarantees = Section::from(settings).section("guarantees");
    parsed.slow_start_floor = guarantees.number("coldFrom");
    parsed.slow_start_duration = guarantees.micros("warmWithinUs");
    parsed.overload_capacity_multiple = guarantees.number("fallMultiple");
    parsed.overload_window = guarantees.micros("tipAfterUs");
    parsed.ordering_hold_off = guarantees.micros("keyQuietUs");
}

/// Reads how the endpoint list is received, and which rates the list and responses carry.
fn read_discovery(settings: &Map<String, Value>, parsed: &mut Settings) {
    parsed.responses_carry_load_reports = LoadReportFields::from_settings(settings).is_some();
    let settings = Section::from(settings);
    let is_polled = settings.text("discovery") == Some("subscribe");
    let max_poll_interval = settings.section("guarantees").micros("mustAskInUs");
    parsed.max_poll_interval = max_poll_interval.filter(|_| is_polled);
    parsed.listed_weights = match settings.text("weights") {
        Some("nominal") => ListedWeights::Rates,
        Some("rough") => ListedWeights::ApproximateRates,
        _ => ListedWeights::Unspecified,
    };
}

/// Reads the prices of requests and connections.
fn read_prices(settings: &Map<String, Value>, parsed: &mut Settings) {
    let settings = Section::from(settings);
    let tariffs = settings.section("tariffs");
    parsed.cross_zone_price = tariffs.number("crossZone");
    parsed.connection_price = tariffs.number("handshake");
    let zones = settings.list("areas");
    let fees = settings.section("familyInfo").list("zoneFee");
    parsed.zone_fees = zones.iter().zip(fees).filter_map(|(zone, fee)| parse_zone_fee(zone, fee)).collect();
}

/// Parses the fee of one zone. Returns `None` if the fee is not a number.
fn parse_zone_fee(zone: &Value, fee: &Value) -> Option<ZoneFee> {
    let zone = zone.as_str().unwrap_or_default().to_owned();
    fee.as_f64().map(|fee| ZoneFee { zone, fee })
}
