//! Determinism of the simulation, its scenario files, and events that coincide.

use std::time::Duration;

use crate::defective_policy::{Defect, DefectivePolicy};
use reeddock_simulation::scenario::ValueOverride;
use reeddock_simulation::schedule::{EventSchedule, ScheduledEvent};
use reeddock_simulation::{run, run_with, BuiltInPolicy, Report, Scenario};

/// Scenario in which only the arrivals are random. A response arrives 108 ms after its attempt on a new
/// connection, and 102 ms after it on an idle one.
const SCENARIO: &str = r#"
version = 1
name = "exact"
lasts_s = 20
[fleet]
forwarders = 2
slots = 100
room = 1000
ledger = false
[traffic]
usual_per_s = 40
[network]
one_way_ms = 1
across_zones_ms = 0
handshake_ms = 4
idle_s = 0
[[category]]
name = "note"
effect = "pure"
promised_s = 2
outer_limit_s = 8
work_ms = 100
[[category]]
name = "order"
effect = "effectful"
promised_s = 2
outer_limit_s = 8
work_ms = 100
[[program]]
name = "all"
returns = 1
[[kind]]
name = "one"
destinations = 3
targets = 2
spare = 3
queue_s = 2
"#;

fn exact_scenario(extra: &str, overrides: &[(&str, &str)]) -> Scenario {
    let overrides: Vec<_> = overrides.iter().map(|(path, value)| ValueOverride::new(*path, *value)).collect();
    Scenario::parse("exact.toml", &format!("{SCENARIO}{extra}"), &overrides).unwrap()
}

/// Asserts that each submission has ended, that each attempt has one outcome, and that no rule was violated.
fn assert_consistent(report: &Report) {
    assert_eq!(report.violations, []);
    assert_eq!(report.unfinished_submissions, 0);
    let counts = &report.attempts;
    let ends = counts.completed
        + counts.errors
        + counts.rejected
        + counts.timed_out
        + counts.no_connection
        + counts.connection_reset;
    let all = ends + counts.cancelled + counts.not_sent;
    assert!(all <= counts.all, "{counts:?}");
    // Attempts that a killed forwarder had in flight have no outcome.
    assert!(report.ends.lost > 0 || all == counts.all, "{counts:?}");
}

fn run_delivery_policy(scenario: &Scenario) -> Report {
    let report = run(scenario, 1, BuiltInPolicy::DeliveryPolicy);
    assert_consistent(&report);
    report
}

#[test]
fn events_with_equal_times_occur_in_order_of_scheduling() {
    let mut schedule = EventSchedule::default();
    let at = Duration::from_secs;
    for (n, s) in [(0, 2), (1, 1), (2, 2), (3, 1), (4, 2)] {
        schedule.schedule(at(s), n);
    }
    let order: Vec<i32> = std::iter::from_fn(|| schedule.pop().map(|scheduled| scheduled.event)).collect();
    assert_eq!(order, [1, 3, 0, 2, 4]);
    // An event in the past is moved to the current time, after the events already scheduled for it.
    schedule.schedule(at(1), 5);
    assert_eq!(schedule.pop(), Some(ScheduledEvent { at: at(2), event: 5 }));
}

#[test]
fn same_scenario_and_seed_give_same_report_bytes_on_any_thread() {
    let scenario =
        exact_scenario("", &[("category.0.work_ms", "{ log_normal = { median = 90, sigma = 0.6 } }")]);
    let bytes = |seed, policy| serde_json::to_string(&run(&scenario, seed, policy)).unwrap();
    let single = bytes(1, BuiltInPolicy::DeliveryPolicy);
    // Runs on parallel threads give the same report.
    let parallel: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..4).map(|_| scope.spawn(|| bytes(1, BuiltInPolicy::DeliveryPolicy))).collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert!(parallel.iter().all(|b| *b == single));
    assert_ne!(single, bytes(2, BuiltInPolicy::DeliveryPolicy));
}

#[test]
fn report_bytes_do_not_depend_on_machine() {
    // This policy is independent of the delivery policy, so that only changes of the simulation change the
    // checksum.
    let scenario =
        exact_scenario("", &[("category.0.work_ms", "{ log_normal = { median = 90, sigma = 0.6 } }")]);
    let bytes = serde_json::to_string(&run(&scenario, 1, BuiltInPolicy::OneAttempt)).unwrap();
    assert_eq!(crc32fast::hash(bytes.as_bytes()), 4_076_750_070);
}

#[test]
fn arrivals_do_not_depend_on_policy() {
    let scenario = exact_scenario("", &[]);
    let [a, b] = [BuiltInPolicy::OneAttempt, BuiltInPolicy::UpperBound].map(|p| run(&scenario, 3, p));
    assert_eq!(a.submissions, b.submissions);
    let possible = |r: &Report| r.seconds.iter().map(|s| s.credit.possible).collect::<Vec<_>>();
    let last = possible(&a).len().min(possible(&b).len());
    assert_eq!(possible(&a)[..last], possible(&b)[..last]);
}

#[test]
fn killed_forwarder_loses_or_fails_messages_in_flight() {
    let killed = "[[trouble]]\nat_s = 8\nfor_s = 3\nwhat = { killed = { which = { forwarders = [0] } } }\n";
    let without_log = run_delivery_policy(&exact_scenario(
        killed,
        &[("category.0.work_ms", "800"), ("category.1.work_ms", "800")],
    ));
    // A non-idempotent message that was in flight may have been executed, and is not submitted again.
    assert!(without_log.ends.lost > 0);
    let slow = [("category.0.work_ms", "800"), ("category.1.work_ms", "800"), ("fleet.ledger", "true")];
    let with_log = run(&exact_scenario(killed, &slow), 1, BuiltInPolicy::DeliveryPolicy);
    assert_eq!(
        (with_log.violations.as_slice(), with_log.unfinished_submissions, with_log.ends.lost),
        (&[][..], 0, 0)
    );
    assert!(
        with_log.ends.failed > 0,
        "a forwarder with a write-ahead log fails these messages after its restart"
    );
}

#[test]
fn abandoned_request_is_still_served() {
    let slow = "[[trouble]]\nat_s = 5\nfor_s = 6\nwhat = { slow = { whom = { share = 1 }, times = 40 } }\n";
    let served = run_delivery_policy(&exact_scenario(slow, &[]));
    assert!(served.attempts.timed_out > 0 && served.repeats_applied > 0 && served.work_wasted > 0.0);
    let dropped = run_delivery_policy(&exact_scenario(slow, &[("kind.0.runs_on", "0")]));
    assert!(
        dropped.work_wasted < served.work_wasted,
        "work wasted: {} if abandoned requests are dropped, {} if they are served",
        dropped.work_wasted,
        served.work_wasted
    );
}

#[test]
fn replaced_endpoint_resets_connections_until_new_one_is_listed() {
    let replaced = "[[trouble]]\nat_s = 8\nfor_s = 1\nwhat = { replaced = { whom = { share = 1 } } }\n";
    let long = [("category.0.work_ms", "600"), ("category.1.work_ms", "600")];
    let report = run_delivery_policy(&exact_scenario(replaced, &long));
    assert!(report.attempts.connection_reset > 0, "{:?}", report.attempts);
    // Until the endpoint list is updated, connections to the old address fail.
    assert!(report.attempts.no_connection > 0);
    let second = |n: usize| report.seconds[n].credit;
    assert_eq!(second(15).share(), 1.0, "the new endpoints serve after they are listed");
}

#[test]
fn response_at_timeout_is_ignored_and_message_is_retried() {
    // Each request times out at the time of its response, which is handled second and ignored.
    let scenario = exact_scenario("", &[("fleet.tick_s", "0"), ("kind.0.spare", "30")]);
    let at_response = Defect::ShortTimeout(Duration::from_millis(108));
    let report = run_with(&scenario, 1, "cut", &|now, settings, host| {
        DefectivePolicy::open(at_response, now, settings, host)
    });
    assert_consistent(&report);
    assert_eq!(report.attempts.completed, 0);
    assert!(report.attempts.timed_out > 0 && report.repeats_applied > 0);
    // With one microsecond more, the response is in time.
    let after_response = Defect::ShortTimeout(Duration::from_micros(108_001));
    let report = run_with(&scenario, 1, "heard", &|now, settings, host| {
        DefectivePolicy::open(after_response, now, settings, host)
    });
    assert_consistent(&report);
    assert_eq!(report.attempts.timed_out, 0);
}

#[test]
fn deadline_in_tick_of_response_completes_or_fails_message() {
    let limits: Vec<_> = ["category.0", "category.1"]
        .iter()
        .flat_map(|c| [(format!("{c}.promised_s"), "0.1"), (format!("{c}.outer_limit_s"), "0.1105")])
        .collect();
    let limits: Vec<(&str, &str)> = limits.iter().map(|(k, v)| (k.as_str(), *v)).collect();
    let report = run_delivery_policy(&exact_scenario("", &limits));
    assert!(report.ends.completed_late > 0 && report.ends.failed > 0, "{:?}", report.ends);
}

#[test]
fn scenarios_of_repository_are_unchanged_by_write_and_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut read = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|e| e == "toml") {
            let scenario = Scenario::read(&path)
                .unwrap_or_else(|e| panic!("scenario of the repository is invalid: {e}"));
            assert_eq!(Scenario::parse("again", &scenario.to_text(), &[]), Ok(scenario));
            read += 1;
        }
    }
    assert!(read >= 5);
}

#[test]
fn scenario_error_contains_line_and_expected_value() {
    let error_of = |from: &str, to: &str| {
        let text = SCENARIO.replacen(from, to, 1);
        assert_ne!(text, SCENARIO, "the scenario must contain {from:?}");
        Scenario::parse("exact.toml", &text, &[]).expect_err(to).to_string()
    };
    for (from, to, line, expected) in [
        ("lasts_s = 20", "lasts_s = 20\nlast = 1", 5, "last"),
        ("lasts_s = 20", "lasts_s = -1", 4, "expected seconds"),
        ("lasts_s = 20", "lasts_s = \"long\"", 4, "string \"long\", expected a number"),
        ("slots = 100", "slots = \"many\"", 7, "string \"many\", expected a whole number"),
        ("slots = 100", "slots = -1", 7, "`-1`, expected a whole number from 0 up"),
        ("version = 1", "version = 2", 2, "expected 1"),
        ("slots = 100", "slots = 0", 5, "expected 1 to"),
        ("queue_s = 2", "told_waits = 1.5", 37, "expected a number from 0 to 1"),
        ("queue_s = 2", "pace = { uniform = [3, 1] }", 37, "expected numbers"),
        ("queue_s = 2", "limit = { spans = 2 }", 37, "spans"),
        ("handshake_ms = 4", "handshake_ms = { log_normal = 3 }", 15, "expected a table of the distribution"),
        ("promised_s = 2", "promised_s = 9", 17, "at most its outer_limit_s 8"),
        ("name = \"order\"", "name = \"note\"", 23, "name that no other section"),
    ] {
        let error = error_of(from, to);
        assert!(error.starts_with(&format!("exact.toml:{line}: ")), "{to}: {error}");
        assert!(error.contains(expected) && !error.contains('\n'), "{to}: {error}");
    }
    let trouble = "[[trouble]]\nat_s = 1\nfor_s = 1\nwhat = { surge = { program = \"none\", times = 2 } }\n";
    let error = Scenario::parse("exact.toml", &format!("{SCENARIO}{trouble}"), &[]).unwrap_err().to_string();
    assert!(error.starts_with("exact.toml:38: ") && error.contains("\"none\""), "{error}");
    for (what, expected) in [
        ("{ refused = { whom = 3 } }", "expected a table with destinations"),
        ("{ killed = { which = 3 } }", "expected a table with forwarders"),
        ("{ slow = 3 }", "expected a table of the fault's values"),
    ] {
        let trouble = format!("[[trouble]]\nat_s = 1\nfor_s = 1\nwhat = {what}\n");
        let error =
            Scenario::parse("exact.toml", &format!("{SCENARIO}{trouble}"), &[]).unwrap_err().to_string();
        assert!(error.starts_with("exact.toml:41: ") && error.contains(expected), "{error}");
    }
}
