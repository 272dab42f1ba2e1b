//! How a deployment is laid out, as its configuration tells it: each part from its own keys, in any mixture, since
//! customers differ in all of them. The simulator's wire is lenient, and what is odd there is read as untold; in an
//! operator's file a value that means nothing is refused with its key.

use serde::Deserialize;
use serde_json::{Map, Value};

/// The parts of a layout, none of which follows from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentShape {
    /// Answers tell how much of their route's limit is left, and the limit.
    pub limits_told: bool,
    pub rates: Rates,
    /// The list comes only when it is asked for.
    pub list_asked_for: bool,
    /// A message may have two attempts out.
    pub copies: bool,
    /// What routes apart accept has a price by zone.
    pub zone_fees: bool,
}

/// What the list tells of calls a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rates {
    Untold,
    Rough,
    Exact,
}

/// The keys that tell; others are passed over. One that is null is absent.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Keys {
    discovery: Option<Discovery>,
    weights: Option<Weights>,
    report: Option<Report>,
    policy_limits: Option<Limits>,
    guarantees: Option<Guarantees>,
    family_info: Option<Family>,
    areas: Option<Vec<String>>,
    az: Option<String>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Weights {
    Silent,
    Nominal,
    Rough,
    Live,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Report {
    how: How,
    fields: Vec<String>,
}

#[derive(Default, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum How {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Limits {
    #[serde(rename = "mayDuplicate")]
    hedging_allowed: Option<bool>,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Guarantees {
    must_ask_in_us: Option<u64>,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Family {
    zone_fee: Vec<f64>,
}

impl DeploymentShape {
    /// How a configuration's settings lay a deployment out, or the key that is wrong and what is expected there.
    pub fn of(settings: &Map<String, Value>) -> Result<DeploymentShape, String> {
        let keys: Keys =
            serde_path_to_error::deserialize(settings).map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        let report = keys.report.unwrap_or_default();
        let told = |name: &str| report.fields.iter().any(|field| field == name);
        let areas = keys.areas.unwrap_or_default();
        if keys.az.is_some_and(|zone| !zone.is_empty() && !areas.is_empty() && !areas.contains(&zone)) {
            return Err("az: expected one of areas".into());
        }
        let fees = keys.family_info.unwrap_or_default().zone_fee;
        if let Some(at) = fees.iter().position(|fee| !fee.is_finite() || *fee < 0.0) {
            return Err(format!("familyInfo.zoneFee[{at}]: expected 0 or more"));
        }
        if !fees.is_empty() && fees.len() != areas.len() {
            let (fees, zones) = (fees.len(), areas.len());
            return Err(format!(
                "familyInfo.zoneFee: expected a fee for each of {zones} areas, found {fees}"
            ));
        }
        let list_asked_for = keys.discovery == Some(Discovery::Subscribe);
        let within = keys.guarantees.unwrap_or_default().must_ask_in_us;
        if list_asked_for && within.is_none_or(|within| within == 0) {
            return Err(
                "guarantees.mustAskInUs: expected microseconds over 0, as the list is asked for".into()
            );
        }
        Ok(DeploymentShape {
            // A report of other things than these is no word on limits.
            limits_told: report.how == How::Piggyback && ["x0", "x1"].iter().all(|name| told(name)),
            rates: match keys.weights {
                Some(Weights::Nominal) => Rates::Exact,
                Some(Weights::Rough) => Rates::Rough,
                Some(Weights::Silent | Weights::Live) | None => Rates::Untold,
            },
            list_asked_for,
            copies: keys.policy_limits.unwrap_or_default().hedging_allowed.unwrap_or_default(),
            zone_fees: fees.iter().any(|fee| *fee > 0.0),
        })
    }
}

impl std::fmt::Display for DeploymentShape {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let of = |told, yes: &'static str, no| if told { yes } else { no };
        let rates = match self.rates {
            Rates::Untold => "no listed rates",
            Rates::Rough => "rough rates",
            Rates::Exact => "exact rates",
        };
        write!(
            f,
            "{}, {rates}, {}, {}, {}",
            of(self.limits_told, "answers tell of limits", "answers tell of no limit"),
            of(self.list_asked_for, "lists are asked for", "lists are pushed"),
            of(self.copies, "two dispatches out at most", "one dispatch out at a time"),
            of(self.zone_fees, "fees by zone", "no fees"),
        )
    }
}
