//! The settings that a forwarder is handed, on the simulator's wire as on sockets, under the delivery policy's names.
//! Nothing is decided here: what is absent or of another type is passed on as untold.

mod shape;

use std::time::Duration;

use reeddock::{
    EndpointKind, Idempotency, KeyScope, LateDecay, ListedWeights, LoadReport, MessageClass, Settings,
    TenantQuota, ZoneFee,
};
use serde_json::{Map, Value};
pub use shape::{DeploymentShape, Rates};

/// What the delivery policy is told at start.
pub fn parse_settings(seed: u64, info: &Map<String, Value>) -> Settings {
    let empty = Map::new();
    let part = |name: &str| info.get(name).and_then(Value::as_object).unwrap_or(&empty);
    let list = |value: Option<&Value>| value.and_then(Value::as_array).cloned().unwrap_or_default();
    let text = |value: Option<&Value>| value.and_then(Value::as_str).unwrap_or_default().to_owned();
    let whole = |value: Option<&Value>| value.and_then(Value::as_u64);
    let span = |value: Option<&Value>| value.and_then(Value::as_u64).map(Duration::from_micros);
    let number = |value: Option<&Value>| value.and_then(Value::as_f64);
    let flag = |value: Option<&Value>| value.and_then(Value::as_bool).unwrap_or_default();
    let (family, limits, guarantees) = (part("familyInfo"), part("policyLimits"), part("guarantees"));
    let batches = list(family.get("batchByKind"));
    let aparts = list(family.get("kindApart"));
    let class = |c: &Value| MessageClass {
        name: text(c.get("name")),
        idempotency: match c.get("effect").and_then(Value::as_str) {
            Some("idempotent") => Some(Idempotency::Idempotent),
            Some("at_most_once") => Some(Idempotency::NonIdempotent),
            Some("deduplicated") => span(c.get("windowUs")).map(|window| Idempotency::WithKey {
                window,
                scope: match c.get("dedupScope").and_then(Value::as_str) {
                    Some("all") => KeyScope::Region,
                    _ => KeyScope::Zone,
                },
            }),
            _ => None,
        },
        latency_objective: span(c.get("onTimeUs")),
        deadline: span(c.get("giveUpUs")),
        priority_weight: number(c.get("importance")),
        late_weight: number(c.get("lateWorth")),
        ordered: flag(c.get("sequential")),
    };
    Settings {
        seed,
        forwarders: whole(info.get("balancers")),
        zone: text(info.get("az")),
        classes: list(info.get("classes")).iter().map(class).collect(),
        endpoint_kinds: list(info.get("kinds"))
            .iter()
            .enumerate()
            .map(|(n, kind)| EndpointKind {
                name: text(Some(kind)),
                circuit_per_endpoint: flag(aparts.get(n)),
                max_batch: whole(batches.get(n)),
            })
            .collect(),
        tenants: list(info.get("realms"))
            .iter()
            .map(|t| TenantQuota {
                tenant: text(t.get("name")),
                messages_per_second: number(t.get("quotaPerS")),
            })
            .collect(),
        over_quota_weight: number(info.get("overShareWorth")),
        late_decay: match family.get("decay").and_then(Value::as_str) {
            Some("halving") => LateDecay::Exponential,
            _ => LateDecay::Linear,
        },
        max_in_flight: whole(family.get("maxCalls")),
        capacity: whole(limits.get("openCap")),
        max_attempts: whole(limits.get("attemptsCap")),
        hedging_allowed: flag(limits.get("mayDuplicate")),
        max_retry_after: span(limits.get("maxRetryAfterUs")).filter(|_| flag(limits.get("retryAfter"))),
        slow_start_floor: number(guarantees.get("coldFrom")),
        slow_start_duration: span(guarantees.get("warmWithinUs")),
        overload_multiple: number(guarantees.get("fallMultiple")),
        overload_window: span(guarantees.get("tipAfterUs")),
        ordering_hold_off: span(guarantees.get("keyQuietUs")),
        poll_interval_limit: span(guarantees.get("mustAskInUs"))
            .filter(|_| info.get("discovery").and_then(Value::as_str) == Some("subscribe")),
        listed_weights: match info.get("weights").and_then(Value::as_str) {
            Some("nominal") => ListedWeights::Rates,
            Some("rough") => ListedWeights::ApproximateRates,
            _ => ListedWeights::Unspecified,
        },
        responses_carry_load_reports: ReportFields::of(info).is_some(),
        connection_idle_timeout: span(limits.get("connIdleUs")),
        cross_zone_price: number(part("tariffs").get("crossZone")),
        connection_price: number(part("tariffs").get("handshake")),
        zone_fees: (list(info.get("areas")).iter().zip(list(family.get("zoneFee"))))
            .filter_map(|(zone, fee)| fee.as_f64().map(|fee| ZoneFee { zone: text(Some(zone)), fee }))
            .collect(),
    }
}

/// Where the two values of a limit stand in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportFields {
    left: usize,
    limit: usize,
}

impl ReportFields {
    /// None where answers carry no report, or one that does not tell both.
    pub fn of(info: &Map<String, Value>) -> Option<ReportFields> {
        let report = info.get("report")?;
        let fields = report.get("fields")?.as_array()?;
        let place = |name| fields.iter().position(|field| field.as_str() == Some(name));
        let told = report.get("how").and_then(Value::as_str) == Some("piggyback");
        Some(ReportFields { left: place("x0")?, limit: place("x1")? }).filter(|_| told)
    }

    pub fn read(self, values: &[Value]) -> Option<LoadReport> {
        let at = |place: usize| values.get(place).and_then(Value::as_f64);
        LoadReport::new(at(self.left), at(self.limit))
    }
}

/// How the network is to behave, which is no affair of the delivery policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkSettings {
    /// What has come in is told to the delivery policy at most this often, so that what came together is seen together.
    pub tick: Option<Duration>,
    /// A connection not made by then is none.
    pub connect_within: Option<Duration>,
    /// Endpoints close a connection that has stood idle for so long.
    pub idle: Option<Duration>,
}

/// Clients wait for less than half a second.
const LONGEST_TICK: Duration = Duration::from_millis(100);

impl NetworkSettings {
    pub fn of(info: &Map<String, Value>) -> NetworkSettings {
        let limit = |name: &str| info.get("policyLimits").and_then(|l| l.get(name)).and_then(Value::as_u64);
        let tick = info.get("tickUs").and_then(Value::as_u64).map(Duration::from_micros);
        NetworkSettings {
            tick: tick.filter(|t| *t <= LONGEST_TICK),
            connect_within: limit("connectTimeoutUs").map(Duration::from_micros),
            idle: limit("connIdleUs").map(Duration::from_micros),
        }
    }
}
