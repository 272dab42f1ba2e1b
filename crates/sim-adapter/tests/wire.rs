//! The wire, batch by batch: odd but legal ones are answered, malformed ones end with one plain line.

use reeddock_sim_adapter::SimulationAdapter;
use serde_json::{json, Value};

const ID: &str = "5d3a91c4-99e5-4cdd-ad37-efdbeadb10f2";

fn info() -> Value {
    json!({"classes": [{"name": "c", "effect": "idempotent", "onTimeUs": 2_000_000, "giveUpUs": 9_000_000}],
           "kinds": ["k"], "familyInfo": {"maxCalls": 4}, "unheard": {"of": 1}})
}

fn batch(serial: u64, events: Value) -> String {
    json!({"wallUs": 1_000_000 * serial, "serial": serial, "forwarders": [{"i": 3, "in": events}]})
        .to_string()
}

fn attach() -> Value {
    json!([
        ["Attach", u64::MAX, info()],
        ["Register", 0, [[4_294_967_295u64, null, 9, null, "active", "z", "k"]]],
        ["Sync", "C", 41, 0],
        ["Register", 0, [[7, null, 9, null, "active", "z", "k"]]],
        ["Sync", "F", 42, 0]
    ])
}

#[test]
fn slots_are_reused_inside_a_batch_and_numbers_stay_exact() {
    let mut adapter = SimulationAdapter::default();
    adapter.process_batch(&batch(1, attach())).unwrap();
    let reply = adapter.process_batch(&batch(
        2,
        json!([["Demand", ID, "c", null, 9007199254740991u64, 10_000_001, null, 9, false, false, false]]),
    ));
    let reply: Value = serde_json::from_str(&reply.unwrap()).unwrap();
    assert_eq!(reply["forwarders"][0]["cmds"][0], json!(["Try", ID, 2_000_000, 7]));
}

#[test]
fn empty_batches_restarts_and_ids_no_longer_held_are_answered() {
    let mut adapter = SimulationAdapter::default();
    let empty = r#"{"wallUs":8412250,"serial":1,"forwarders":[]}"#;
    assert_eq!(
        serde_json::from_str::<Value>(&adapter.process_batch(empty).unwrap()).unwrap(),
        json!({"serial": 1, "forwarders": []})
    );
    adapter.process_batch(&batch(2, attach())).unwrap();
    let mut events = vec![json!(["Left", ID]), json!(["Sync", "X", 0, null]), json!(["Retire"])];
    events.extend(attach().as_array().unwrap().clone());
    adapter.process_batch(&batch(3, json!(events))).unwrap();
    adapter.process_batch(&batch(4, json!([["Retire"]]))).unwrap();
    assert!(
        adapter.process_batch(&batch(5, json!([["Alarm", "wake"]]))).is_err(),
        "a killed instance has no events"
    );
}

#[test]
fn odd_reports_and_settings_are_read_as_untold() {
    for report in
        [json!({"how": "piggyback", "fields": ["x1", "x0"]}), json!({"how": 3}), json!(null), json!([])]
    {
        let mut adapter = SimulationAdapter::default();
        let mut events = attach();
        events[0][2]["report"] = report;
        events[0][2]["familyInfo"]["zoneFee"] = json!([0.1, null, "x", -3]);
        events[0][2]["areas"] = json!(["z"]);
        adapter.process_batch(&batch(1, events)).unwrap();
        for usage in
            [json!(null), json!([]), json!([5.0]), json!(["a", null]), json!([-1, 7]), json!([9.0, 0.3])]
        {
            let attempt_finished = json!(["Settled", ID, 0, 18500, 7, "shed", false, null, usage]);
            adapter
                .process_batch(&batch(
                    2,
                    json!([attempt_finished, ["HealthResult", 7, "delivered", 1400, usage]]),
                ))
                .unwrap();
        }
        adapter.process_batch(&batch(3, json!([["Sync", "X", 0, null]]))).unwrap();
    }
}

#[test]
fn malformed_input_is_named_in_one_line() {
    let mut adapter = SimulationAdapter::default();
    adapter.process_batch(&batch(1, attach())).unwrap();
    for line in [
        "{",
        "[]",
        r#"{"wallUs":-1,"serial":1,"forwarders":[]}"#,
        &batch(2, json!([["Nonsense"]])),
        &batch(2, json!([["Demand", ID]])),
        &batch(2, json!([["Settled", ID, 0, 1, 7, "odd", false, null, null]])),
        &batch(2, json!([["Sync", "D", 1, 15]])),
        &batch(2, json!([["Register", 0, [[-4, 1, 9, 0, "active", "z", "k"]]], ["Sync", "D", 1, 0]])),
    ] {
        let fault = adapter.process_batch(line).unwrap_err().to_string();
        assert!(!fault.is_empty() && !fault.contains('\n'), "{line}");
    }
}
