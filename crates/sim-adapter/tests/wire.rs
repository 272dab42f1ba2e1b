//! Replies to unusual but valid batches, and errors for malformed batches.

use reeddock_sim_adapter::SimulationAdapter;
use serde_json::{json, Value};

const MESSAGE: &str = "5d3a91c4-99e5-4cdd-ad37-efdbeadb10f2";

fn settings() -> Value {
    json!({"classes": [{"name": "c", "effect": "idempotent", "onTimeUs": 2_000_000, "giveUpUs": 9_000_000}],
           "kinds": ["k"], "familyInfo": {"maxCalls": 4}, "unheard": {"of": 1}})
}

/// Returns a batch with events for instance 3. Its time in seconds equals its serial number.
fn batch(serial: u64, events: Value) -> String {
    json!({"wallUs": 1_000_000 * serial, "serial": serial, "forwarders": [{"i": 3, "in": events}]})
        .to_string()
}

/// Returns events that attach an instance and register two lists under the same number, the second with
/// endpoint 7.
fn attach_events() -> Value {
    json!([
        ["Attach", u64::MAX, settings()],
        ["Register", 0, [[4_294_967_295u64, null, 9, null, "active", "z", "k"]]],
        ["Sync", "C", 41, 0],
        ["Register", 0, [[7, null, 9, null, "active", "z", "k"]]],
        ["Sync", "F", 42, 0]
    ])
}

/// Returns an adapter to which instance 3 is attached.
fn adapter_with_instance() -> SimulationAdapter {
    let mut adapter = SimulationAdapter::default();
    adapter.process_batch(&batch(1, attach_events())).unwrap();
    adapter
}

#[test]
fn list_number_can_be_reused_within_a_batch_and_large_integers_are_exact() {
    let message =
        json!(["Demand", MESSAGE, "c", null, 9007199254740991u64, 10_000_001, null, 9, false, false, false]);
    let reply = adapter_with_instance().process_batch(&batch(2, json!([message]))).unwrap();
    let reply: Value = serde_json::from_str(&reply).unwrap();
    assert_eq!(reply["forwarders"][0]["cmds"][0], json!(["Try", MESSAGE, 2_000_000, 7]));
}

#[test]
fn empty_batch_gets_a_reply_with_its_serial_number() {
    let mut adapter = SimulationAdapter::default();
    let reply = adapter.process_batch(r#"{"wallUs":8412250,"serial":1,"forwarders":[]}"#).unwrap();
    let reply: Value = serde_json::from_str(&reply).unwrap();
    assert_eq!(reply, json!({"serial": 1, "forwarders": []}));
    adapter.process_batch(&batch(2, attach_events())).unwrap();
}

#[test]
fn instance_can_retire_and_attach_in_one_batch_and_unknown_messages_are_ignored() {
    let mut adapter = adapter_with_instance();
    let mut events = vec![json!(["Left", MESSAGE]), json!(["Sync", "X", 0, null]), json!(["Retire"])];
    events.extend(attach_events().as_array().unwrap().clone());
    adapter.process_batch(&batch(2, json!(events))).unwrap();
    adapter.process_batch(&batch(3, json!([["Retire"]]))).unwrap();
    assert!(adapter.process_batch(&batch(4, json!([["Alarm", "wake"]]))).is_err());
}

#[test]
fn event_for_a_retired_instance_is_rejected() {
    let mut adapter = adapter_with_instance();
    adapter.process_batch(&batch(2, json!([["Retire"]]))).unwrap();
    let error = adapter.process_batch(&batch(3, json!([["Alarm", "wake"]]))).unwrap_err();
    assert_eq!(error.to_string(), "Alarm: instance 3 is not attached");
}

#[test]
fn invalid_load_reports_and_settings_are_accepted() {
    for report in
        [json!({"how": "piggyback", "fields": ["x1", "x0"]}), json!({"how": 3}), json!(null), json!([])]
    {
        let mut adapter = SimulationAdapter::default();
        let mut events = attach_events();
        events[0][2]["report"] = report;
        events[0][2]["familyInfo"]["zoneFee"] = json!([0.1, null, "x", -3]);
        events[0][2]["areas"] = json!(["z"]);
        adapter.process_batch(&batch(1, events)).unwrap();
        for load_report in
            [json!(null), json!([]), json!([5.0]), json!(["a", null]), json!([-1, 7]), json!([9.0, 0.3])]
        {
            let finished = json!(["Settled", MESSAGE, 0, 18500, 7, "shed", false, null, load_report]);
            let checked = json!(["HealthResult", 7, "delivered", 1400, load_report]);
            adapter.process_batch(&batch(2, json!([finished, checked]))).unwrap();
        }
        adapter.process_batch(&batch(3, json!([["Sync", "X", 0, null]]))).unwrap();
    }
}

#[test]
fn malformed_batch_is_rejected_with_a_one_line_error() {
    let mut adapter = adapter_with_instance();
    let bad_entry = json!([-4, 1, 9, 0, "active", "z", "k"]);
    for (line, expected) in [
        ("{", "batch is not JSON: EOF while parsing an object at line 1 column 1"),
        ("[]", "batch: expected a whole number of microseconds in wallUs"),
        (
            r#"{"wallUs":-1,"serial":1,"forwarders":[]}"#,
            "batch: expected a whole number of microseconds in wallUs",
        ),
        (&batch(2, json!([["Nonsense"]])), "unknown event \"Nonsense\""),
        (&batch(2, json!([["Demand", MESSAGE]])), "Demand: value 2 is missing or malformed"),
        (
            &batch(2, json!([["Settled", MESSAGE, 0, 1, 7, "odd", false, null, null]])),
            "Settled: unknown outcome \"odd\", expected delivered, app_error, shed, expired, dial_failed, dropped, revoked or unused",
        ),
        (&batch(2, json!([["Sync", "D", 1, 15]])), "Sync: list 15 is not registered"),
        (
            &batch(2, json!([["Register", 0, [bad_entry]], ["Sync", "D", 1, 0]])),
            "Register entry: value 1 is missing or malformed",
        ),
    ] {
        let error = adapter.process_batch(line).unwrap_err().to_string();
        assert!(!error.is_empty() && !error.contains('\n'), "error is empty or has several lines for {line}: {error:?}");
        assert_eq!(error, expected, "error for {line}");
    }
}
