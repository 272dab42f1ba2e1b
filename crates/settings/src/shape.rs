//! Features that a deployment uses, each read from its own keys of the configuration. Unlike the other
//! modules, this module rejects invalid values with an error that names the key.

use std::fmt;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::SettingsError;

/// Features that a deployment uses, independent of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentShape {
    /// Whether responses carry the limit of the endpoint's circuit and its remaining share: `report.how` is
    /// `piggyback` and `report.fields` contains `x0` and `x1`.
    pub responses_carry_load_reports: bool,
    /// Accuracy of the request rates in the endpoint list: `weights`.
    pub listed_rates: ListedRates,
    /// Whether the endpoint list is polled instead of pushed: `discovery` is `subscribe`, and
    /// `guarantees.mustAskInUs` limits the time between polls.
    pub endpoint_list_is_polled: bool,
    /// Whether a message may have two attempts in flight: `policyLimits.mayDuplicate`.
    pub hedging_allowed: bool,
    /// Whether requests to endpoints with their own circuit have a price by zone: `familyInfo.zoneFee`, which
    /// has one value for each of `areas`, contains a value above 0.
    pub has_zone_fees: bool,
}

/// Accuracy of the request rates in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRates {
    /// The list has no rates: `weights` is absent, `silent` or `live`.
    Unspecified,
    /// Rates may be too high or too low by up to half: `weights` is `rough`.
    Approximate,
    /// Rates are those of a usual day: `weights` is `nominal`.
    Exact,
}

/// The keys of the settings that define a [`DeploymentShape`]. Other keys are ignored, and null values are
/// treated as absent.
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

/// How the endpoint list is received.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Discovery {
    /// The list is pushed.
    Automatic,
    /// The list is polled.
    Subscribe,
}

/// Meaning of the weights in the endpoint list.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Weights {
    Silent,
    Nominal,
    Rough,
    Live,
}

/// The load reports that endpoints send.
#[derive(Default, Deserialize)]
#[serde(default, expecting = "a JSON object")]
struct Report {
    #[serde(rename = "how")]
    delivery: ReportDelivery,
    fields: Vec<String>,
}

/// How load reports are received.
#[derive(Default, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum ReportDelivery {
    /// Endpoints add load reports to their responses.
    Piggyback,
    /// Endpoints send load reports on request.
    Pull,
    /// Endpoints send no load reports.
    #[default]
    Silent,
}

#[derive(Default, Deserialize)]
#[serde(default, expecting = "a JSON object")]
struct Limits {
    #[serde(rename = "mayDuplicate")]
    hedging_allowed: Option<bool>,
}

#[derive(Default, Deserialize)]
#[serde(default, expecting = "a JSON object")]
struct Guarantees {
    #[serde(rename = "mustAskInUs")]
    poll_interval_limit_us: Option<u64>,
}

#[derive(Default, Deserialize)]
#[serde(default, expecting = "a JSON object")]
struct Family {
    #[serde(rename = "zoneFee")]
    zone_fees: Vec<f64>,
}

impl DeploymentShape {
    /// Reads the features from the settings of a configuration.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the first invalid key.
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
            responses_carry_load_reports: keys.report.unwrap_or_default().has_limits(),
            listed_rates: keys.weights.into(),
            endpoint_list_is_polled,
            hedging_allowed: keys.policy_limits.unwrap_or_default().hedging_allowed.unwrap_or_default(),
            has_zone_fees: zone_fees.iter().any(|fee| *fee > 0.0),
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
    /// Returns whether responses carry a limit and its remaining share.
    fn has_limits(&self) -> bool {
        let has_field = |name: &str| self.fields.iter().any(|field| field == name);
        self.delivery == ReportDelivery::Piggyback && has_field("x0") && has_field("x1")
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

/// Checks that the forwarder's zone is one of the deployment's zones, if both are given.
fn check_zone(zone: Option<&str>, zones: &[String]) -> Result<(), SettingsError> {
    let Some(zone) = zone.filter(|zone| !zone.is_empty()) else { return Ok(()) };
    if zones.is_empty() || zones.iter().any(|known| known == zone) {
        return Ok(());
    }
    Err(SettingsError::unexpected("az", "one of the zones in areas"))
}

/// Checks that each fee is 0 or more, and that there is one fee for each zone or none at all.
fn check_zone_fees(fees: &[f64], zones: &[String]) -> Result<(), SettingsError> {
    if let Some(index) = fees.iter().position(|fee| !fee.is_finite() || *fee < 0.0) {
        return Err(SettingsError::unexpected(format!("familyInfo.zoneFee[{index}]"), "a fee of 0 or more"));
    }
    if !fees.is_empty() && fees.len() != zones.len() {
        let expected = format!("one fee for each of the {} areas, found {}", zones.len(), fees.len());
        return Err(SettingsError::unexpected("familyInfo.zoneFee", expected));
    }
    Ok(())
}

/// Checks that a deployment whose endpoint list is polled has a limit on the time between two polls.
fn check_poll_interval(guarantees: &Guarantees) -> Result<(), SettingsError> {
    match guarantees.poll_interval_limit_us {
        None | Some(0) => Err(SettingsError::unexpected(
            "guarantees.mustAskInUs",
            "microseconds above 0, because discovery is subscribe",
        )),
        Some(_) => Ok(()),
    }
}

/// Formats the features as one line for operators.
impl fmt::Display for DeploymentShape {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let load_reports = match self.responses_carry_load_reports {
            true => "responses carry load reports",
            false => "responses carry no load reports",
        };
        let rates = match self.listed_rates {
            ListedRates::Unspecified => "no listed rates",
            ListedRates::Approximate => "approximate rates",
            ListedRates::Exact => "exact rates",
        };
        let discovery = match self.endpoint_list_is_polled {
            true => "endpoint list is polled",
            false => "endpoint list is pushed",
        };
        let attempts = match self.hedging_allowed {
            true => "at most two attempts in flight per message",
            false => "one attempt in flight per message",
        };
        let fees = if self.has_zone_fees { "zone fees" } else { "no zone fees" };
        write!(f, "{load_reports}, {rates}, {discovery}, {attempts}, {fees}")
    }
}
