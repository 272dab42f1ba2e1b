//! The simulation itself: the same in, the same out; and the moments at which events cross.

use std::time::Duration;

use crate::defective_policy::{Defect, DefectivePolicy};
use reeddock_simulation::scenario::ValueOverride;
use reeddock_simulation::schedule::{EventSchedule, ScheduledEvent};
use reeddock_simulation::{run, run_with, BuiltInPolicy, Report, Scenario};

/// Every number is constant but the arrivals: a response comes 108 ms after its attempt where a connection is made
/// for it, and 102 ms after it where one was idle.
const EXACT: &str = r#"
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

fn exact(further: &str, instead: &[(&str, &str)]) -> Scenario {
    let instead: Vec<_> = instead.iter().map(|(path, value)| ValueOverride::new(*path, *value)).collect();
    Scenario::parse("exact.toml", &format!("{EXACT}{further}"), &instead).unwrap()
}

/// Every submission has one end, every attempt one outcome, and no rule is broken.
fn sound(report: &Report) {
    assert_eq!(report.violations, []);
    assert_eq!(report.unfinished_submissions, 0);
    let d = &report.attempts;
    let ends = d.completed + d.errors + d.rejected + d.timed_out + d.no_connection + d.connection_reset;
    let all = ends + d.cancelled + d.not_sent;
    assert!(all <= d.all, "{d:?}");
    // What a killed forwarder had in flight has no outcome.
    assert!(report.ends.lost > 0 || all == d.all, "{d:?}");
}

fn module(scenario: &Scenario) -> Report {
    let report = run(scenario, 1, BuiltInPolicy::DeliveryPolicy);
    sound(&report);
    report
}

#[test]
fn events_of_one_instant_come_in_the_order_in_which_they_were_scheduled() {
    let mut schedule = EventSchedule::default();
    let at = Duration::from_secs;
    for (n, s) in [(0, 2), (1, 1), (2, 2), (3, 1), (4, 2)] {
        schedule.schedule(at(s), n);
    }
    let order: Vec<i32> = std::iter::from_fn(|| schedule.pop().map(|scheduled| scheduled.event)).collect();
    assert_eq!(order, [1, 3, 0, 2, 4]);
    // What would lie in the past comes now, after what is here already.
    schedule.schedule(at(1), 5);
    assert_eq!(schedule.pop(), Some(ScheduledEvent { at: at(2), event: 5 }));
}

#[test]
fn the_same_scenario_and_seed_give_the_same_bytes() {
    let scenario = exact("", &[("category.0.work_ms", "{ log_normal = { median = 90, sigma = 0.6 } }")]);
    let bytes = |seed, policy| serde_json::to_string(&run(&scenario, seed, policy)).unwrap();
    let alone = bytes(1, BuiltInPolicy::DeliveryPolicy);
    // Beside each other on threads, too.
    let beside: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..4).map(|_| scope.spawn(|| bytes(1, BuiltInPolicy::DeliveryPolicy))).collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert!(beside.iter().all(|b| *b == alone));
    assert_ne!(alone, bytes(2, BuiltInPolicy::DeliveryPolicy));
}

#[test]
fn bytes_do_not_depend_on_the_machine() {
    // Of a policy that no change of the delivery policy touches. A change of the simulation may move this figure.
    let scenario = exact("", &[("category.0.work_ms", "{ log_normal = { median = 90, sigma = 0.6 } }")]);
    let bytes = serde_json::to_string(&run(&scenario, 1, BuiltInPolicy::OneAttempt)).unwrap();
    assert_eq!(crc32fast::hash(bytes.as_bytes()), 4_076_750_070);
}

#[test]
fn two_policies_meet_the_same_day() {
    let scenario = exact("", &[]);
    let [a, b] = [BuiltInPolicy::OneAttempt, BuiltInPolicy::UpperBound].map(|p| run(&scenario, 3, p));
    assert_eq!(a.submissions, b.submissions);
    let asked = |r: &Report| r.seconds.iter().map(|s| s.credit.asked).collect::<Vec<_>>();
    let last = asked(&a).len().min(asked(&b).len());
    assert_eq!(asked(&a)[..last], asked(&b)[..last]);
}

#[test]
fn a_forwarder_is_killed_with_requests_in_flight() {
    let killed = "[[trouble]]\nat_s = 8\nfor_s = 3\nwhat = { killed = { which = { forwarders = [0] } } }\n";
    let without = module(&exact(killed, &[("category.0.work_ms", "800"), ("category.1.work_ms", "800")]));
    // A message that is not idempotent and was in flight may have been executed, and is submitted to nobody again.
    assert!(without.ends.lost > 0);
    let slow = [("category.0.work_ms", "800"), ("category.1.work_ms", "800"), ("fleet.ledger", "true")];
    let with = run(&exact(killed, &slow), 1, BuiltInPolicy::DeliveryPolicy);
    assert_eq!((with.violations.as_slice(), with.unfinished_submissions, with.ends.lost), (&[][..], 0, 0));
    assert!(with.ends.failed > 0, "with a write-ahead log the forwarder says so itself");
}

#[test]
fn a_request_that_nobody_waits_for_is_still_served() {
    let slow = "[[trouble]]\nat_s = 5\nfor_s = 6\nwhat = { slow = { whom = { share = 1 }, times = 40 } }\n";
    let on = module(&exact(slow, &[]));
    assert!(on.attempts.timed_out > 0 && on.repeats_applied > 0 && on.work_wasted > 0.0);
    let off = module(&exact(slow, &[("kind.0.runs_on", "0")]));
    assert!(off.work_wasted < on.work_wasted, "{} against {}", off.work_wasted, on.work_wasted);
}

#[test]
fn an_endpoint_is_replaced_while_it_serves() {
    let replaced = "[[trouble]]\nat_s = 8\nfor_s = 1\nwhat = { replaced = { whom = { share = 1 } } }\n";
    let long = [("category.0.work_ms", "600"), ("category.1.work_ms", "600")];
    let report = module(&exact(replaced, &long));
    assert!(report.attempts.connection_reset > 0, "{:?}", report.attempts);
    // The list is late: until then the old address answers nobody.
    assert!(report.attempts.no_connection > 0);
    let second = |n: usize| report.seconds[n].credit;
    assert_eq!(second(15).share(), 1.0, "the new ones serve once they are listed");
}

#[test]
fn a_retry_crosses_the_response_to_the_first_attempt() {
    // Each request times out in the very instant of its response, which comes second and is ignored.
    let scenario = exact("", &[("fleet.tick_s", "0"), ("kind.0.spare", "30")]);
    let cut = Defect::ShortTimeout(Duration::from_millis(108));
    let report =
        run_with(&scenario, 1, "cut", &|now, settings, host| DefectivePolicy::open(cut, now, settings, host));
    sound(&report);
    assert_eq!(report.attempts.completed, 0);
    assert!(report.attempts.timed_out > 0 && report.repeats_applied > 0);
    // One microsecond more, and the response counts.
    let heard = Defect::ShortTimeout(Duration::from_micros(108_001));
    let report = run_with(&scenario, 1, "heard", &|now, settings, host| {
        DefectivePolicy::open(heard, now, settings, host)
    });
    sound(&report);
    assert_eq!(report.attempts.timed_out, 0);
}

#[test]
fn a_deadline_falls_in_the_tick_of_a_response() {
    let limits: Vec<_> = ["category.0", "category.1"]
        .iter()
        .flat_map(|c| [(format!("{c}.promised_s"), "0.1"), (format!("{c}.outer_limit_s"), "0.1105")])
        .collect();
    let limits: Vec<(&str, &str)> = limits.iter().map(|(k, v)| (k.as_str(), *v)).collect();
    let report = module(&exact("", &limits));
    assert!(report.ends.completed_late > 0 && report.ends.failed > 0, "{:?}", report.ends);
}

#[test]
fn the_scenarios_of_this_repository_read_and_write_alike() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut read = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|e| e == "toml") {
            let scenario = Scenario::read(&path).unwrap_or_else(|e| panic!("{e}"));
            assert_eq!(Scenario::parse("again", &scenario.to_text(), &[]), Ok(scenario));
            read += 1;
        }
    }
    assert!(read >= 5);
}

#[test]
fn an_error_in_a_scenario_names_its_line() {
    let fault = |from: &str, to: &str| {
        let text = EXACT.replacen(from, to, 1);
        assert_ne!(text, EXACT, "{from} stands in the scenario");
        Scenario::parse("exact.toml", &text, &[]).expect_err(to).to_string()
    };
    for (from, to, line, told) in [
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
        ("promised_s = 2", "promised_s = 9", 17, "outer_limit_s 8 at most"),
        ("name = \"order\"", "name = \"note\"", 23, "name that stands once"),
    ] {
        let fault = fault(from, to);
        assert!(fault.starts_with(&format!("exact.toml:{line}: ")), "{to}: {fault}");
        assert!(fault.contains(told) && !fault.contains('\n'), "{to}: {fault}");
    }
    let trouble = "[[trouble]]\nat_s = 1\nfor_s = 1\nwhat = { surge = { program = \"none\", times = 2 } }\n";
    let fault = Scenario::parse("exact.toml", &format!("{EXACT}{trouble}"), &[]).unwrap_err().to_string();
    assert!(fault.starts_with("exact.toml:38: ") && fault.contains("\"none\""), "{fault}");
    for (what, told) in [
        ("{ refused = { whom = 3 } }", "expected a table with destinations"),
        ("{ killed = { which = 3 } }", "expected a table with forwarders"),
        ("{ slow = 3 }", "expected a table of the fault's values"),
    ] {
        let trouble = format!("[[trouble]]\nat_s = 1\nfor_s = 1\nwhat = {what}\n");
        let fault = Scenario::parse("exact.toml", &format!("{EXACT}{trouble}"), &[]).unwrap_err().to_string();
        assert!(fault.starts_with("exact.toml:41: ") && fault.contains(told), "{fault}");
    }
}
