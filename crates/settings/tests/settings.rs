//! Parsing of settings: the key of each value, invalid values and their errors.

use std::time::Duration;

use reeddock::{Idempotency, IdempotencyKeyScope, LateDecay, ListedWeights, LoadReport};
use reeddock_settings::{parse_policy_settings, DeploymentShape, LoadReportFields, NetworkSettings};
use serde_json::{json, Map, Value};

fn object(value: Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap()
}

/// Settings with every key and with values that differ from the defaults.
fn full_settings() -> Map<String, Value> {
    object(json!({
        "balancers": 200, "az": "east", "areas": ["east", "west"], "discovery": "subscribe", "weights": "rough",
        "tickUs": 5000, "overShareWorth": 0.5,
        "classes": [{"name": "update", "effect": "deduplicated", "windowUs": 11, "dedupScope": "all",
                     "onTimeUs": 12, "giveUpUs": 13, "importance": 2.5, "lateWorth": 0.25, "sequential": true}],
        "realms": [{"name": "tenant", "quotaPerS": 4.5}],
        "kinds": ["partner", "other"],
        "report": {"how": "piggyback", "fields": ["x1", "utilization", "x0"]},
        "familyInfo": {"maxCalls": 14, "batchByKind": [15], "kindApart": [true], "zoneFee": [0.01, 0.04],
                       "decay": "halving"},
        "policyLimits": {"openCap": 16, "attemptsCap": 17, "mayDuplicate": true, "retryAfter": true,
                         "maxRetryAfterUs": 18, "connIdleUs": 19, "connectTimeoutUs": 20},
        "guarantees": {"coldFrom": 0.3, "warmWithinUs": 21, "fallMultiple": 1.5, "tipAfterUs": 22,
                       "keyQuietUs": 23, "mustAskInUs": 24},
        "tariffs": {"crossZone": 0.2, "handshake": 0.04}
    }))
}

const fn micros(micros: u64) -> Option<Duration> {
    Some(Duration::from_micros(micros))
}

#[test]
fn classes_kinds_and_tenants_are_parsed() {
    let settings = parse_policy_settings(5, &full_settings());
    let class = &settings.classes[0];
    let window = Duration::from_micros(11);
    assert_eq!(class.name, "update");
    assert_eq!(class.idempotency, Some(Idempotency::WithKey { window, scope: IdempotencyKeyScope::Region }));
    assert_eq!((class.latency_objective, class.deadline), (micros(12), micros(13)));
    assert_eq!((class.priority_weight, class.late_weight), (Some(2.5), Some(0.25)));
    assert!(class.ordered);
    let kinds = &settings.endpoint_kinds;
    assert_eq!(
        (kinds[0].name.as_str(), kinds[0].circuit_per_endpoint, kinds[0].max_batch),
        ("partner", true, Some(15))
    );
    assert_eq!(
        (kinds[1].name.as_str(), kinds[1].circuit_per_endpoint, kinds[1].max_batch),
        ("other", false, None)
    );
    assert_eq!(settings.tenants[0].tenant, "tenant");
    assert_eq!(settings.tenants[0].messages_per_second, Some(4.5));
    assert_eq!((settings.over_quota_weight, settings.late_decay), (Some(0.5), LateDecay::Exponential));
}

#[test]
fn fleet_and_limits_are_parsed() {
    let settings = parse_policy_settings(5, &full_settings());
    assert_eq!((settings.seed, settings.forwarders, settings.zone.as_str()), (5, Some(200), "east"));
    assert_eq!(
        (settings.max_in_flight, settings.max_pending_messages, settings.max_attempts),
        (Some(14), Some(16), Some(17))
    );
    assert!(settings.hedging_allowed);
    assert_eq!((settings.max_retry_after, settings.connection_idle_timeout), (micros(18), micros(19)));
}

#[test]
fn guarantees_discovery_and_prices_are_parsed() {
    let settings = parse_policy_settings(5, &full_settings());
    assert_eq!((settings.slow_start_floor, settings.slow_start_duration), (Some(0.3), micros(21)));
    assert_eq!((settings.overload_capacity_multiple, settings.overload_window), (Some(1.5), micros(22)));
    assert_eq!((settings.ordering_hold_off, settings.max_poll_interval), (micros(23), micros(24)));
    assert_eq!(settings.listed_weights, ListedWeights::ApproximateRates);
    assert!(settings.responses_carry_load_reports);
    assert_eq!((settings.cross_zone_price, settings.connection_price), (Some(0.2), Some(0.04)));
    let fees: Vec<_> = settings.zone_fees.iter().map(|fee| (fee.zone.as_str(), fee.fee)).collect();
    assert_eq!(fees, [("east", 0.01), ("west", 0.04)]);
}

#[test]
fn max_retry_after_is_ignored_if_rejections_carry_no_retry_after() {
    let mut settings = full_settings();
    settings["policyLimits"]["retryAfter"] = json!(false);
    assert_eq!(parse_policy_settings(5, &settings).max_retry_after, None);
}

#[test]
fn poll_interval_is_ignored_if_the_endpoint_list_is_not_polled() {
    let mut settings = full_settings();
    settings["discovery"] = json!("automatic");
    assert_eq!(parse_policy_settings(5, &settings).max_poll_interval, None);
}

#[test]
fn deduplication_without_a_valid_window_is_treated_as_absent() {
    let mut settings = full_settings();
    settings["classes"][0]["windowUs"] = json!("long");
    assert_eq!(parse_policy_settings(5, &settings).classes[0].idempotency, None);
}

#[test]
fn load_report_is_parsed_by_the_order_of_its_fields() {
    let fields = LoadReportFields::from_settings(&full_settings()).unwrap();
    let values = [json!(25.0), json!(3), json!(0.4)];
    assert_eq!(
        fields.parse_report(&values),
        Some(LoadReport { remaining_limit_share: 0.4, limit_per_second: 25.0 })
    );
    assert_eq!(fields.parse_report(&values[..2]), None);
}

#[test]
fn tick_over_the_maximum_is_treated_as_absent() {
    let expected =
        NetworkSettings { tick: micros(5000), connect_timeout: micros(20), idle_timeout: micros(19) };
    assert_eq!(NetworkSettings::from_settings(&full_settings()), expected);
    let mut settings = full_settings();
    settings["tickUs"] = json!(100_001);
    assert_eq!(NetworkSettings::from_settings(&settings), NetworkSettings { tick: None, ..expected });
}

#[test]
fn invalid_value_of_a_deployment_feature_is_rejected_with_its_key() {
    for (pointer, value, expected) in [
        ("/az", json!("north"), "az: expected one of the zones in areas"),
        ("/familyInfo/zoneFee", json!([0.01, -1.0]), "familyInfo.zoneFee[1]: expected a fee of 0 or more"),
        (
            "/familyInfo/zoneFee",
            json!([0.01]),
            "familyInfo.zoneFee: expected one fee for each of the 2 areas, found 1",
        ),
        (
            "/guarantees/mustAskInUs",
            json!(0),
            "guarantees.mustAskInUs: expected microseconds above 0, because discovery is subscribe",
        ),
        ("/familyInfo", json!(7), "familyInfo: invalid type: integer `7`, expected a JSON object"),
        (
            "/weights",
            json!("heavy"),
            "weights: unknown variant `heavy`, expected one of `silent`, `nominal`, `rough`, `live`",
        ),
    ] {
        let mut settings = Value::Object(full_settings());
        *settings.pointer_mut(pointer).unwrap() = value;
        let error = DeploymentShape::from_settings(&object(settings)).unwrap_err();
        assert_eq!(error.to_string(), expected);
    }
}
