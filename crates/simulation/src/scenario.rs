//! The scenario file: what a fleet, its programs, its destinations and a day's faults are like. Version 1.
//!
//! What is unknown or out of range is refused with file, line and what was expected; nothing is guessed.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use reeddock::{EndpointKind, Idempotency, KeyScope, LateDecay, MessageClass, Settings, TenantQuota};
use serde::{Deserialize, Serialize};

use crate::distribution::{Amount, Distribution, Share, Span};
use crate::fault::Fault;
use crate::invariants::Rule;

pub const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub version: u32,
    pub name: String,
    /// What the scenario is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// How long messages arrive; the run goes on until each has its answer.
    #[serde(rename = "lasts_s")]
    pub lasts: Span,
    pub fleet: Fleet,
    pub traffic: Traffic,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub list: EndpointListSettings,
    #[serde(default)]
    pub notes: Notes,
    #[serde(default)]
    pub returning: Returning,
    #[serde(rename = "category")]
    pub categories: Vec<Category>,
    #[serde(rename = "program")]
    pub programs: Vec<Program>,
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    #[serde(rename = "trouble", default, skip_serializing_if = "Vec::is_empty")]
    pub troubles: Vec<Scheduled>,
    /// What a search saw with this scenario, so that it can be seen again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<Found>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Found {
    pub seed: u64,
    /// The rule that was broken; absent where credit was far from the best known instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rule: Option<Rule>,
    pub credit: f64,
    pub one_try: f64,
    pub ceiling: f64,
}

/// The forwarders and what they are told of their own bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub forwarders: u32,
    #[serde(default = "one")]
    pub zones: u32,
    /// Calls that one may have out.
    pub slots: u32,
    /// Messages that one may hold, sent or not.
    pub room: u32,
    #[serde(default = "eight")]
    pub dispatch_cap: u32,
    /// What comes in is told at most this often.
    #[serde(rename = "tick_s", default = "tick")]
    pub tick: Span,
    /// Longest come-back time that programs heed; absent where none may be given.
    #[serde(rename = "come_back_s", default, skip_serializing_if = "Option::is_none")]
    pub come_back: Option<Span>,
    /// A forwarder that starts again finds what it owed in its ledger; else programs hand that in again.
    #[serde(default)]
    pub ledger: bool,
    /// Share of a fleet's traffic that some forwarders have more than others: 0 for even shares.
    #[serde(default)]
    pub uneven: Share,
    /// Time in which sends to an endpoint that leaves must end.
    #[serde(rename = "drain_grace_s", default = "two_seconds")]
    pub drain_grace: Span,
    /// Rest of a key after an attempt that may still be running.
    #[serde(rename = "key_rest_s", default = "three_seconds")]
    pub key_rest: Span,
    /// Time past an outer limit in which a final answer still counts.
    #[serde(rename = "answer_slack_s", default = "answer_slack")]
    pub answer_slack: Span,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// First tries a second of all programs together on a usual day; destinations are built for it.
    pub usual_per_s: Amount,
    /// This day's traffic against the usual.
    #[serde(default = "one_amount")]
    pub load: Amount,
    /// Zipf exponent of the destinations' shares; 0 gives all the same.
    #[serde(default)]
    pub skew: f64,
    /// Share of messages that come in clumps for one destination.
    #[serde(default)]
    pub clumped: Share,
    /// Messages in a clump.
    #[serde(default = "clump")]
    pub clump: Distribution,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way between a forwarder and an endpoint.
    pub one_way_ms: Distribution,
    /// Added for the other side of a zone's border.
    pub across_zones_ms: Distribution,
    /// Work of making a connection, beside its round trip.
    pub handshake_ms: Distribution,
    #[serde(rename = "connect_within_s")]
    pub connect_within: Span,
    /// Idle connections close after this.
    #[serde(rename = "idle_s")]
    pub idle: Span,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            one_way_ms: Distribution::Told(1.0),
            across_zones_ms: Distribution::Told(1.0),
            handshake_ms: Distribution::Told(4.0),
            connect_within: Span::millis(1000),
            idle: Span::millis(5000),
        }
    }
}

/// How forwarders hear of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListSettings {
    pub delay_s: Distribution,
    pub weights: Weights,
    /// The listed rate against the true one.
    pub weight_error: Distribution,
}

impl Default for EndpointListSettings {
    fn default() -> EndpointListSettings {
        EndpointListSettings {
            delay_s: Distribution::Told(2.0),
            weights: Weights::None,
            weight_error: Distribution::Told(1.0),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    None,
    Rates,
}

/// Notes between forwarders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Notes {
    pub allowed: bool,
    pub delay_ms: Distribution,
    pub lost: Share,
}

impl Default for Notes {
    fn default() -> Notes {
        Notes { allowed: false, delay_ms: Distribution::Told(8.0), lost: Share::NONE }
    }
}

/// What an outage leaves behind, and what tips a destination over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Returning {
    pub cold_from: Share,
    #[serde(rename = "warm_within_s")]
    pub warm_within: Span,
    pub fall_multiple: Amount,
    #[serde(rename = "tip_after_s")]
    pub tip_after: Span,
    /// How long what was pushed over stays down.
    #[serde(rename = "stays_down_s")]
    pub stays_down: Span,
}

impl Default for Returning {
    fn default() -> Returning {
        Returning {
            cold_from: Share::clamped(0.2),
            warm_within: Span::millis(10_000),
            fall_multiple: Amount::clamped(2.0),
            tip_after: Span::millis(3000),
            stays_down: Span::millis(60_000),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Category {
    pub name: String,
    /// Part of all messages, against the other categories' parts.
    #[serde(default = "one_amount")]
    pub part: Amount,
    pub effect: ClassIdempotency,
    #[serde(rename = "promised_s")]
    pub promised: Span,
    #[serde(rename = "outer_limit_s")]
    pub outer_limit: Span,
    #[serde(default = "one_amount")]
    pub credit: Amount,
    /// Part of the credit that is left at the outer limit.
    #[serde(default = "late_credit")]
    pub late_credit: Share,
    #[serde(default)]
    pub decay: Decay,
    /// Work at a destination of usual pace.
    pub work_ms: Distribution,
    /// Messages of one key go in order; so many keys are in use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ordered_keys: Option<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClassIdempotency {
    Pure,
    /// A repeat is known again for so many seconds, by every endpoint of the destination.
    Receipted(Span),
    Effectful,
}

/// How credit falls after the promised time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decay {
    /// Evenly, down to the late credit at the outer limit.
    #[default]
    Line,
    /// By half with each further promised time, the late credit at least.
    Halves,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    pub name: String,
    #[serde(default = "one_amount")]
    pub part: Amount,
    /// Messages a second inside its share; absent: no share is kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share_per_s: Option<Amount>,
    /// How often it hands a message in again after a shed.
    #[serde(default)]
    pub returns: u32,
    #[serde(default = "return_after")]
    pub return_after_s: Distribution,
    /// Share of its clients that stay away for a told come-back time.
    #[serde(default = "whole")]
    pub heeds: Share,
    /// Its clients withdraw a message after so long; absent: never.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdraws_after_s: Option<Distribution>,
    /// Messages at once at each arrival.
    #[serde(default = "one_figure")]
    pub bunch: Distribution,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub destinations: u32,
    #[serde(default = "one_figure")]
    pub targets: Distribution,
    /// Weight of its destinations' traffic beside their place in the skew.
    #[serde(default = "one_amount")]
    pub traffic: Amount,
    /// Its endpoints are routes apart.
    #[serde(default)]
    pub apart: bool,
    /// Messages in one call at most.
    #[serde(default = "one")]
    pub batch: u32,
    #[serde(default)]
    pub limit: Limit,
    /// The limit against usual calls.
    #[serde(default = "headroom")]
    pub headroom: Distribution,
    #[serde(default = "one_amount")]
    pub least_per_s: Amount,
    /// What it can serve against its limit.
    #[serde(default = "spare")]
    pub spare: Distribution,
    /// Work that may queue, in seconds of what it can serve.
    #[serde(default = "half")]
    pub queue_s: Distribution,
    /// Time of its work against the usual.
    #[serde(default = "one_figure")]
    pub pace: Distribution,
    /// Share of refusals that tell how long to wait.
    #[serde(default)]
    pub told_waits: Share,
    /// Calls that are refused use up the limit too.
    #[serde(default)]
    pub refused_use_up: bool,
    /// Connections that an endpoint takes, idle ones counted; absent: any number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// Share of calls that run on after the forwarder has stopped waiting.
    #[serde(default = "whole")]
    pub runs_on: Share,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Limit {
    /// None but its capacity.
    #[default]
    None,
    /// Evenly spaced, half a second's calls at once.
    Rate,
    /// A count in each span of so many seconds.
    Span(Span),
}

/// A fault and when it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scheduled {
    #[serde(rename = "at_s")]
    pub at: Span,
    #[serde(rename = "for_s")]
    pub lasts: Span,
    pub what: Fault,
}

impl Scheduled {
    pub fn ends(&self) -> Duration {
        self.at.0 + self.lasts.0
    }
}

fn one() -> u32 {
    1
}
fn eight() -> u32 {
    8
}
fn tick() -> Span {
    Span::millis(5)
}
fn answer_slack() -> Span {
    Span::millis(20)
}
fn two_seconds() -> Span {
    Span::millis(2000)
}
fn three_seconds() -> Span {
    Span::millis(3000)
}
fn one_amount() -> Amount {
    Amount::ONE
}
fn late_credit() -> Share {
    Share::clamped(0.4)
}
fn whole() -> Share {
    Share::clamped(1.0)
}
fn one_figure() -> Distribution {
    Distribution::Told(1.0)
}
fn clump() -> Distribution {
    Distribution::Told(10.0)
}
fn headroom() -> Distribution {
    Distribution::Told(1.4)
}
fn spare() -> Distribution {
    Distribution::Told(1.3)
}
fn half() -> Distribution {
    Distribution::Told(0.5)
}
fn return_after() -> Distribution {
    Distribution::Told(0.5)
}

/// What is wrong with a scenario, in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    pub file: String,
    pub line: Option<usize>,
    pub what: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            Some(line) => write!(to, "{}:{line}: {}", self.file, self.what),
            None => write!(to, "{}: {}", self.file, self.what),
        }
    }
}

impl std::error::Error for ScenarioError {}

/// A part of the file that a check across several values speaks of.
struct Place(&'static str, usize);

impl Place {
    /// The line where this part begins.
    fn line(&self, text: &str) -> Option<usize> {
        let header = |l: &&(usize, &str)| l.1.trim_start().starts_with(self.0);
        text.lines().enumerate().filter(|l| header(&l)).nth(self.1).map(|(n, _)| n + 1)
    }
}

impl Scenario {
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ScenarioError {
            file: file.clone(),
            line: None,
            what: format!("cannot be read: {e}"),
        })?;
        Scenario::parse(&file, &text, &[])
    }

    /// Reads a scenario's text, with single values put in the place of those that stand there: each a path
    /// of keys and numbers joined by dots, and a value as TOML has it.
    pub fn parse(file: &str, text: &str, instead: &[(String, String)]) -> Result<Scenario, ScenarioError> {
        let fault = |line, what: String| ScenarioError { file: file.to_owned(), line, what };
        let line_at = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
        let told = |e: toml::de::Error| {
            fault(e.span().map(|s| line_at(s.start)), e.message().trim().replace('\n', "; "))
        };
        let scenario: Scenario = if instead.is_empty() {
            toml::from_str(text).map_err(told)?
        } else {
            let mut table: toml::Table = toml::from_str(text).map_err(told)?;
            for (path, value) in instead {
                put(&mut table, path, value).map_err(|e| fault(None, e))?;
            }
            let text = toml::to_string(&table).map_err(|e| fault(None, e.to_string()))?;
            toml::from_str(&text).map_err(|e| {
                let paths: Vec<&str> = instead.iter().map(|i| i.0.as_str()).collect();
                let what = e.message().trim().replace('\n', "; ");
                fault(None, format!("with {} put in: {what}", paths.join(", ")))
            })?
        };
        scenario.check().map_err(|(place, what)| fault(place.line(text), what))?;
        Ok(scenario)
    }

    /// As a file that [`Scenario::read`] takes.
    pub fn to_text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    fn check(&self) -> Result<(), (Place, String)> {
        let within = |place, what: &str, value: f64, low: f64, high: f64| {
            let good = (low..=high).contains(&value);
            let told = || (place, format!("{what} is {value}: expected {low} to {high}"));
            good.then_some(()).ok_or_else(told)
        };
        let top = |key| Place(key, 0);
        if self.version != VERSION {
            let what = format!("version {} is not known: expected {VERSION}", self.version);
            return Err((top("version"), what));
        }
        within(top("lasts_s"), "lasts_s", self.lasts.seconds(), 1.0, 3600.0)?;
        let fleet = &self.fleet;
        within(top("[fleet]"), "forwarders", fleet.forwarders.into(), 1.0, 10_000.0)?;
        within(top("[fleet]"), "zones", fleet.zones.into(), 1.0, 100.0)?;
        within(top("[fleet]"), "slots", fleet.slots.into(), 1.0, 100_000.0)?;
        within(top("[fleet]"), "room", fleet.room.into(), 2.0, 1e7)?;
        within(top("[fleet]"), "dispatch_cap", fleet.dispatch_cap.into(), 1.0, 1000.0)?;
        within(top("[fleet]"), "tick_s", fleet.tick.seconds(), 0.0, 0.1)?;
        within(top("[traffic]"), "skew", self.traffic.skew, 0.0, 3.0)?;
        let arrivals = self.traffic.usual_per_s.get() * self.traffic.load.get() * self.lasts.seconds();
        within(top("[traffic]"), "first tries of the whole day", arrivals, 0.0, 2e7)?;
        for (part, name, many) in [
            ("categories", "[[category]]", self.categories.len()),
            ("programs", "[[program]]", self.programs.len()),
            ("kinds", "[[kind]]", self.kinds.len()),
        ] {
            if many == 0 || many > 1000 {
                return Err((Place(name, 0), format!("{many} {part}: expected 1 to 1000")));
            }
        }
        let twice = |names: Vec<&String>| (1..names.len()).find(|n| names[..*n].contains(&names[*n]));
        let unnamed = "a name that stands once only";
        if let Some(n) = twice(self.categories.iter().map(|c| &c.name).collect()) {
            return Err((Place("[[category]]", n), format!("name used before: expected {unnamed}")));
        }
        if let Some(n) = twice(self.programs.iter().map(|p| &p.name).collect()) {
            return Err((Place("[[program]]", n), format!("name used before: expected {unnamed}")));
        }
        if let Some(n) = twice(self.kinds.iter().map(|k| &k.name).collect()) {
            return Err((Place("[[kind]]", n), format!("name used before: expected {unnamed}")));
        }
        for (n, c) in self.categories.iter().enumerate() {
            let place = || Place("[[category]]", n);
            if c.promised > c.outer_limit || c.promised.0.is_zero() {
                let what = format!(
                    "promised_s of {:?} is {}: expected over 0, and its outer_limit_s {} at most",
                    c.name,
                    c.promised.seconds(),
                    c.outer_limit.seconds()
                );
                return Err((place(), what));
            }
            within(place(), "work_ms in the mean", c.work_ms.mean(), 0.001, 1e6)?;
            if let Some(keys) = c.ordered_keys {
                within(place(), "ordered_keys", keys.into(), 1.0, 1e6)?;
            }
        }
        for (n, p) in self.programs.iter().enumerate() {
            within(Place("[[program]]", n), "returns", p.returns.into(), 0.0, 100.0)?;
            within(Place("[[program]]", n), "bunch in the mean", p.bunch.mean(), 1.0, 1e5)?;
        }
        for (n, k) in self.kinds.iter().enumerate() {
            within(Place("[[kind]]", n), "destinations", k.destinations.into(), 1.0, 100_000.0)?;
            within(Place("[[kind]]", n), "targets in the mean", k.targets.mean(), 1.0, 1000.0)?;
            within(Place("[[kind]]", n), "batch", k.batch.into(), 1.0, 1000.0)?;
            within(Place("[[kind]]", n), "headroom in the mean", k.headroom.mean(), 0.01, 1e4)?;
            within(Place("[[kind]]", n), "spare in the mean", k.spare.mean(), 0.01, 1e4)?;
            within(Place("[[kind]]", n), "pace in the mean", k.pace.mean(), 0.001, 1e3)?;
            if let Limit::Span(span) = k.limit {
                within(Place("[[kind]]", n), "limit.span", span.seconds(), 0.01, 3600.0)?;
            }
        }
        for (n, t) in self.troubles.iter().enumerate() {
            t.what.check(self).map_err(|what| (Place("[[trouble]]", n), what))?;
        }
        Ok(())
    }

    /// What each forwarder is told when it starts.
    pub fn terms(&self, seed: u64, zone: u32) -> Settings {
        let fleet = &self.fleet;
        Settings {
            seed,
            forwarders: Some(fleet.forwarders.into()),
            zone: zone_name(zone),
            classes: self.categories.iter().map(Category::terms).collect(),
            endpoint_kinds: self
                .kinds
                .iter()
                .map(|k| EndpointKind {
                    name: k.name.clone(),
                    circuit_per_endpoint: k.apart,
                    max_batch: Some(k.batch.into()),
                })
                .collect(),
            tenants: self
                .programs
                .iter()
                .map(|p| TenantQuota {
                    tenant: p.name.clone(),
                    messages_per_second: p.share_per_s.map(Amount::get),
                })
                .collect(),
            over_quota_weight: Some(OVER_SHARE_CREDIT),
            late_decay: match self.categories.iter().any(|c| c.decay == Decay::Halves) {
                true => LateDecay::Exponential,
                false => LateDecay::Linear,
            },
            max_in_flight: Some(fleet.slots.into()),
            capacity: Some(fleet.room.into()),
            max_attempts: Some(fleet.dispatch_cap.into()),
            hedging_allowed: true,
            max_retry_after: fleet.come_back.map(|s| s.0),
            slow_start_floor: Some(self.returning.cold_from.get()),
            slow_start_duration: Some(self.returning.warm_within.0),
            overload_multiple: Some(self.returning.fall_multiple.get()),
            overload_window: Some(self.returning.tip_after.0),
            ordering_hold_off: Some(fleet.key_rest.0),
            poll_interval_limit: None,
            listed_weights: match self.list.weights {
                Weights::Rates => reeddock::ListedWeights::ApproximateRates,
                _ => reeddock::ListedWeights::Unspecified,
            },
            responses_carry_load_reports: false,
            connection_idle_timeout: None,
            cross_zone_price: None,
            connection_price: None,
            zone_fees: Vec::new(),
        }
    }
}

/// What a message beyond its program's share is worth, as a part of its credit.
pub const OVER_SHARE_CREDIT: f64 = 0.1;

pub fn zone_name(zone: u32) -> String {
    format!("zone-{zone}")
}

impl Category {
    pub fn effect(&self) -> Idempotency {
        match self.effect {
            ClassIdempotency::Pure => Idempotency::Idempotent,
            ClassIdempotency::Receipted(window) => {
                Idempotency::WithKey { window: window.0, scope: KeyScope::Region }
            }
            ClassIdempotency::Effectful => Idempotency::NonIdempotent,
        }
    }

    fn terms(&self) -> MessageClass {
        MessageClass {
            name: self.name.clone(),
            idempotency: Some(self.effect()),
            latency_objective: Some(self.promised.0),
            deadline: Some(self.outer_limit.0),
            priority_weight: Some(self.credit.get()),
            late_weight: Some(self.late_credit.get()),
            ordered: self.ordered_keys.is_some(),
        }
    }

    /// Part of the credit for a message that is completed so long after it was first submitted.
    pub fn earned(&self, after: Duration) -> f64 {
        let (promised, limit) = (self.promised.seconds(), self.outer_limit.seconds());
        let after = after.as_secs_f64();
        let late = self.late_credit.get();
        if after <= promised {
            1.0
        } else if after > limit {
            0.0
        } else {
            match self.decay {
                Decay::Line => 1.0 - (1.0 - late) * (after - promised) / (limit - promised).max(1e-9),
                Decay::Halves => late.max(0.5_f64.powi((after / promised).ceil() as i32 - 1)),
            }
        }
    }
}

/// Puts one value into a table that was read, by a path such as `traffic.load` or `kind.0.told_waits`.
fn put(table: &mut toml::Table, path: &str, value: &str) -> Result<(), String> {
    let read = |v: &str| toml::from_str::<toml::Table>(&format!("value = {v}"));
    // What is no TOML value is meant as text.
    let value = read(value).or_else(|_| read(&format!("{value:?}"))).map_err(|e| e.message().to_owned())?;
    let value = value.into_iter().next().map(|(_, v)| v).ok_or("no value")?;
    let mut steps = path.split('.');
    let first = steps.next().unwrap_or_default();
    let mut at = table.entry(first).or_insert_with(|| toml::Value::Table(toml::Table::new()));
    for step in steps {
        let next = match at {
            toml::Value::Table(t) => {
                Some(t.entry(step).or_insert_with(|| toml::Value::Table(toml::Table::new())))
            }
            toml::Value::Array(a) => step.parse::<usize>().ok().and_then(|n| a.get_mut(n)),
            _ => None,
        };
        let lost = || format!("{path}: nothing at {step:?}, expected keys and numbers, as kind.0.batch");
        at = next.ok_or_else(lost)?;
    }
    *at = value;
    Ok(())
}
