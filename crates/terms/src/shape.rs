//! Which of the two shapes of deployment a configuration has, and that it is one of them. The simulator's wire
//! is lenient, and what is odd there is read as untold; an operator's file is refused with the key.

use serde::Deserialize;
use serde_json::{Map, Value};

/// How a deployment is laid out, as far as the parts that come and go together tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// No answer tells of limits, rates are rough at best, copies may be sent; lists are pushed or asked for.
    Silent,
    /// Answers tell of limits, rates are exact, one dispatch of an envelope is out at most, lists are asked for.
    Reporting,
}

/// The keys that tell, and those that only one shape has; others are passed over.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct Keys {
    discovery: Option<Discovery>,
    weights: Option<Weights>,
    report: Report,
    policy_limits: Limits,
    guarantees: Guarantees,
    family_info: Family,
    areas: Vec<String>,
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
    may_duplicate: Option<bool>,
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

impl Shape {
    /// The shape that a configuration's settings have, or the key that is wrong and what is expected there.
    pub fn of(settings: &Map<String, Value>) -> Result<Shape, String> {
        // A key that is null is one that is absent.
        let told = settings.iter().filter(|(_, v)| !v.is_null()).map(|(k, v)| (k.clone(), v.clone()));
        let keys: Keys = serde_path_to_error::deserialize(Value::Object(told.collect()))
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        let reporting = keys.report.how == How::Piggyback;
        let shape = if reporting { Shape::Reporting } else { Shape::Silent };
        let tells = if reporting { "report.how is piggyback" } else { "report.how is not piggyback" };
        // What must hold with the shape that the reports tell, by key.
        let goes_with = [
            ("weights", (keys.weights == Some(Weights::Nominal)) == reporting, "nominal"),
            // Lists were asked for on some days of the silent shape too.
            ("discovery", keys.discovery == Some(Discovery::Subscribe) || !reporting, "subscribe"),
            (
                "policyLimits.mayDuplicate",
                (keys.policy_limits.may_duplicate == Some(false)) == reporting,
                "false",
            ),
        ];
        if let Some((key, _, value)) = goes_with.iter().find(|(_, fits, _)| !fits) {
            let other = if reporting { "" } else { "not " };
            return Err(format!("{key}: expected {other}{value}, as {tells}"));
        }
        let fees = &keys.family_info.zone_fee;
        if let Some(at) = fees.iter().position(|fee| !fee.is_finite() || *fee < 0.0) {
            return Err(format!("familyInfo.zoneFee[{at}]: expected 0 or more"));
        }
        if !reporting {
            let priced = fees.iter().any(|fee| *fee > 0.0);
            return if priced {
                Err(format!("familyInfo.zoneFee: expected none, as {tells}"))
            } else {
                Ok(shape)
            };
        }
        if !["x0", "x1"].iter().all(|name| keys.report.fields.iter().any(|field| field == name)) {
            return Err("report.fields: expected x0 and x1".into());
        }
        if keys.guarantees.must_ask_in_us.is_none_or(|within| within == 0) {
            return Err(
                "guarantees.mustAskInUs: expected microseconds over 0, as the list is asked for".into()
            );
        }
        if !fees.is_empty() && fees.len() != keys.areas.len() {
            let (fees, zones) = (fees.len(), keys.areas.len());
            return Err(format!(
                "familyInfo.zoneFee: expected a fee for each of {zones} areas, found {fees}"
            ));
        }
        if keys.az.is_some_and(|zone| !zone.is_empty() && !keys.areas.contains(&zone)) {
            return Err("az: expected one of areas".into());
        }
        Ok(shape)
    }
}

impl std::fmt::Display for Shape {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Shape::Silent => "silent: answers tell of no limit",
            Shape::Reporting => {
                "reporting: answers tell of limits, lists are asked for, one dispatch out at a time"
            }
        })
    }
}
