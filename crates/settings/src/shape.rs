//! How a deployment is laid out, as its configuration says: each part from its own keys, in any mixture, since customers
//! differ in all of them. The simulator's wire is lenient, and treats an odd value as absent; in an operator's file a
//! value that means nothing is refused with its key.

use std::fmt;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::SettingsError;

/// The parts of a deployment's layout, none of which follows from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentShape {
    /// Responses report how much of their circuit's limit is left, and the limit: `report.how` is `piggyback`, and
    /// `report.fields` has both `x0` and `x1`.
    pub responses_carry_load_reports: bool,
    /// What the endpoint list says of requests a second: `weights`.
    pub listed_rates: ListedRates,
    /// The endpoint list comes only when it is polled: `discovery` is `subscribe`, and `guarantees.mustAskInUs` says
    /// how often.
    pub endpoint_list_is_polled: bool,
    /// A message may have two attempts in flight: `policyLimits.mayDuplicate`.
    pub hedging_allowed: bool,
    /// Requests to endpoints with a circuit of their own have a price by zone: a value over 0 in
    /// `familyInfo.zoneFee`, which has one for each of `areas`.
    pub zone_fees: bool,
}

/// What the endpoint list says of requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRates {
    /// Nothing: `weights` is absent, `silent` or `live`.
    Unspecified,
    /// Rates that may be up to half too high or too low: `weights` is `rough`.
    Approximate,
    /// Rates of a usual day: `weights` is `nominal`.
    Exact,
}

/// The keys that a shape follows from; others are passed over. One that is null counts as absent. Names of the wire's
/// types are part of error messages.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Keys {
    discovery: Option<Discovery>,
    weights: Option<Weights>,
    report: Option<Report>,
    policy_limits: Option<Limits>,
    guarantees: Option<Guarantees>,
    #[serde(rename = "familyInfo")]
    family: Option<Family>,
    #[serde(rename = "areas")]
    zones: Option<Vec<String>>,
    #[serde(rename = "az")]
    zone: Option<String>,
}

/// How the endpoint list comes.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Discovery {
    /// It is pushed.
    Automatic,
    /// It is polled.
    Subscribe,
}

/// What the weights in the endpoint list mean.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Weights {
    Silent,
    Nominal,
    Rough,
    Live,
}

/// Which load reports there are.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Report {
    how: How,
    fields: Vec<String>,
}

/// How load reports come.
#[derive(Default, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum How {
    /// In responses.
    Piggyback,
    /// On request.
    Pull,
    /// Not at all.
    #[default]
    Silent,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    #[serde(rename = "mayDuplicate")]
    hedging_allowed: Option<bool>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Guarantees {
    #[serde(rename = "mustAskInUs")]
    poll_interval_limit_us: Option<u64>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Family {
    #[serde(rename = "zoneFee")]
    zone_fees: Vec<f64>,
}

impl DeploymentShape {
    /// Reads the shape from a configuration's settings. The first key that means nothing is an error.
    pub fn from_settings(settings: &Map<String, Value>) -> Result<DeploymentShape, SettingsError> {
        let keys = Keys::read(settings)?;
        let zones = keys.zones.unwrap_or_default();
        check_zone(keys.zone.as_deref(), &zones)?;
        let zone_fees = keys.family.unwrap_or_default().zone_fees;
        check_zone_fees(&zone_fees, &zones)?;
        let endpoint_list_is_polled = keys.discovery == Some(Discovery::Subscribe);
        if endpoint_list_is_polled {
            check_poll_interval(&keys.guarantees.unwrap_or_default())?;
        }
        Ok(DeploymentShape {
            responses_carry_load_reports: keys.report.unwrap_or_default().covers_limits(),
            listed_rates: keys.weights.into(),
            endpoint_list_is_polled,
            hedging_allowed: keys.policy_limits.unwrap_or_default().hedging_allowed.unwrap_or_default(),
            zone_fees: zone_fees.iter().any(|fee| *fee > 0.0),
        })
    }
}

impl Keys {
    fn read(settings: &Map<String, Value>) -> Result<Keys, SettingsError> {
        serde_path_to_error::deserialize(settings).map_err(|error| SettingsError::InvalidValue {
            key: error.path().to_string(),
            source: error.into_inner(),
        })
    }
}

impl Report {
    /// Whether responses report a limit and what is left of it. A report of other things is none of limits.
    fn covers_limits(&self) -> bool {
        let has = |name: &str| self.fields.iter().any(|field| field == name);
        self.how == How::Piggyback && has("x0") && has("x1")
    }
}

impl From<Option<Weights>> for ListedRates {
    fn from(weights: Option<Weights>) -> ListedRates {
        match weights {
            Some(Weights::Nominal) => ListedRates::Exact,
            Some(Weights::Rough) => ListedRates::Approximate,
            Some(Weights::Silent | Weights::Live) | None => ListedRates::Unspecified,
        }
    }
}

/// Checks that the forwarder's own zone, where both are given, is one of the deployment's.
fn check_zone(zone: Option<&str>, zones: &[String]) -> Result<(), SettingsError> {
    let Some(zone) = zone.filter(|zone| !zone.is_empty()) else { return Ok(()) };
    if zones.is_empty() || zones.iter().any(|known| known == zone) {
        return Ok(());
    }
    Err(SettingsError::unexpected("az", "one of areas"))
}

/// Checks that each fee is a price, and that there are as many as zones, or none.
fn check_zone_fees(fees: &[f64], zones: &[String]) -> Result<(), SettingsError> {
    if let Some(index) = fees.iter().position(|fee| !fee.is_finite() || *fee < 0.0) {
        return Err(SettingsError::unexpected(format!("familyInfo.zoneFee[{index}]"), "0 or more"));
    }
    if !fees.is_empty() && fees.len() != zones.len() {
        let expected = format!("a fee for each of {} areas, found {}", zones.len(), fees.len());
        return Err(SettingsError::unexpected("familyInfo.zoneFee", expected));
    }
    Ok(())
}

/// Checks that a list which is polled has a limit on the time between two polls.
fn check_poll_interval(guarantees: &Guarantees) -> Result<(), SettingsError> {
    match guarantees.poll_interval_limit_us {
        None | Some(0) => Err(SettingsError::unexpected(
            "guarantees.mustAskInUs",
            "microseconds over 0, as the list is asked for",
        )),
        Some(_) => Ok(()),
    }
}

/// One line for operators, with a phrase for each part.
impl fmt::Display for DeploymentShape {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let load_reports = match self.responses_carry_load_reports {
            true => "answers tell of limits",
            false => "answers tell of no limit",
        };
        let rates = match self.listed_rates {
            ListedRates::Unspecified => "no listed rates",
            ListedRates::Approximate => "rough rates",
            ListedRates::Exact => "exact rates",
        };
        let discovery = match self.endpoint_list_is_polled {
            true => "lists are asked for",
            false => "lists are pushed",
        };
        let attempts = match self.hedging_allowed {
            true => "two dispatches out at most",
            false => "one dispatch out at a time",
        };
        let fees = if self.zone_fees { "fees by zone" } else { "no fees" };
        write!(f, "{load_reports}, {rates}, {discovery}, {attempts}, {fees}")
    }
}
