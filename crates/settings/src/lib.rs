//! The settings that a forwarder is handed, on the simulator's wire as on sockets, under the module's names.
//! Nothing is decided here: what is absent or of another type is passed on as untold.

mod shape;

use std::time::Duration;

use reeddock::{CategoryTerms, Effect, Group, LimitReport, Terms, Weights};
use serde_json::{Map, Value};
pub use shape::{Rates, Shape};

/// What the module is told at start.
pub fn terms(seed: u64, info: &Map<String, Value>) -> Terms {
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
    let category = |c: &Value| CategoryTerms {
        name: text(c.get("name")),
        effect: match c.get("effect").and_then(Value::as_str) {
            Some("idempotent") => Some(Effect::Pure),
            Some("at_most_once") => Some(Effect::Effectful),
            Some("deduplicated") => span(c.get("windowUs")).map(|window| Effect::Receipted {
                window,
                group: match c.get("dedupScope").and_then(Value::as_str) {
                    Some("all") => Group::All,
                    _ => Group::Zone,
                },
            }),
            _ => None,
        },
        promised: span(c.get("onTimeUs")),
        outer_limit: span(c.get("giveUpUs")),
        credit: number(c.get("importance")),
        late_credit: number(c.get("lateWorth")),
        ordered: flag(c.get("sequential")),
    };
    Terms {
        seed,
        forwarders: whole(info.get("balancers")),
        zone: text(info.get("az")),
        categories: list(info.get("classes")).iter().map(category).collect(),
        kinds: list(info.get("kinds"))
            .iter()
            .enumerate()
            .map(|(n, kind)| (text(Some(kind)), flag(aparts.get(n)), whole(batches.get(n))))
            .collect(),
        tenants: list(info.get("realms"))
            .iter()
            .map(|t| (text(t.get("name")), number(t.get("quotaPerS"))))
            .collect(),
        over_share_credit: number(info.get("overShareWorth")),
        halving: family.get("decay").and_then(Value::as_str) == Some("halving"),
        slots: whole(family.get("maxCalls")),
        room: whole(limits.get("openCap")),
        dispatch_cap: whole(limits.get("attemptsCap")),
        may_duplicate: flag(limits.get("mayDuplicate")),
        come_back: span(limits.get("maxRetryAfterUs")).filter(|_| flag(limits.get("retryAfter"))),
        cold_from: number(guarantees.get("coldFrom")),
        warm_within: span(guarantees.get("warmWithinUs")),
        fall_multiple: number(guarantees.get("fallMultiple")),
        tip_after: span(guarantees.get("tipAfterUs")),
        key_rest: span(guarantees.get("keyQuietUs")),
        ask_within: span(guarantees.get("mustAskInUs"))
            .filter(|_| info.get("discovery").and_then(Value::as_str) == Some("subscribe")),
        weights: match info.get("weights").and_then(Value::as_str) {
            Some("nominal") => Weights::Rates,
            Some("rough") => Weights::RoughRates,
            _ => Weights::Untold,
        },
        answers_report: ReportFields::of(info).is_some(),
        connection_idle: span(limits.get("connIdleUs")),
        cross_zone_price: number(part("tariffs").get("crossZone")),
        connection_price: number(part("tariffs").get("handshake")),
        zone_fees: (list(info.get("areas")).iter().zip(list(family.get("zoneFee"))))
            .filter_map(|(zone, fee)| fee.as_f64().map(|fee| (text(Some(zone)), fee)))
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

    pub fn read(self, values: &[Value]) -> Option<LimitReport> {
        let at = |place: usize| values.get(place).and_then(Value::as_f64);
        LimitReport::told(at(self.left), at(self.limit))
    }
}

/// How the network is to behave, which is no affair of the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// What has come in is told to the module at most this often, so that what came together is seen together.
    pub tick: Option<Duration>,
    /// A connection not made by then is none.
    pub connect_within: Option<Duration>,
    /// Targets close a connection that has stood idle for so long.
    pub idle: Option<Duration>,
}

/// Clients wait for less than half a second.
const LONGEST_TICK: Duration = Duration::from_millis(100);

impl Reach {
    pub fn of(info: &Map<String, Value>) -> Reach {
        let limit = |name: &str| info.get("policyLimits").and_then(|l| l.get(name)).and_then(Value::as_u64);
        let tick = info.get("tickUs").and_then(Value::as_u64).map(Duration::from_micros);
        Reach {
            tick: tick.filter(|t| *t <= LONGEST_TICK),
            connect_within: limit("connectTimeoutUs").map(Duration::from_micros),
            idle: limit("connIdleUs").map(Duration::from_micros),
        }
    }
}
