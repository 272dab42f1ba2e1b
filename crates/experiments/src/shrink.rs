//! A found scenario, cut down to what it takes to see the same again.

use reeddock_simulation::distribution::{Amount, Share, Span};
use reeddock_simulation::fault::Fault;
use reeddock_simulation::invariants::Rule;
use reeddock_simulation::{run, BuiltInPolicy, Report, Scenario};

/// What a smaller scenario must still show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Want {
    /// This rule broken by the delivery policy.
    Broken(Rule),
    /// The delivery policy's credit so far under the ceiling's.
    Distance(f64),
}

/// Part of a distance that must be left.
const DISTANCE_LEFT: f64 = 0.85;
/// First tries under which a distance is chance.
const LEAST_TRIES: u64 = 400;
/// Candidates tried for one finding.
const MOST_TRIED: usize = 120;

impl Want {
    /// Whether a scenario shows it; with the delivery policy's report.
    pub fn seen(self, scenario: &Scenario, seed: u64) -> Option<Report> {
        let module = run(scenario, seed, BuiltInPolicy::DeliveryPolicy);
        let seen = match self {
            Want::Broken(rule) => module.violations.iter().any(|b| b.rule == rule),
            Want::Distance(distance) => {
                let ceiling = run(scenario, seed, BuiltInPolicy::UpperBound);
                module.submissions >= LEAST_TRIES
                    && ceiling.credit - module.credit >= distance * DISTANCE_LEFT
            }
        };
        seen.then_some(module)
    }
}

type Step = Box<dyn Fn(&mut Scenario)>;

/// Ways to make a scenario smaller or plainer, those that cut most first.
fn steps(scenario: &Scenario) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    for n in 0..scenario.faults.len() {
        steps.push(Box::new(move |s| drop(s.faults.remove(n))));
    }
    for n in 0..scenario.kinds.len().min(if scenario.kinds.len() > 1 { 8 } else { 0 }) {
        steps.push(Box::new(move |s| drop(s.kinds.remove(n))));
    }
    for n in (0..scenario.classes.len()).filter(|_| scenario.classes.len() > 1) {
        steps.push(Box::new(move |s| {
            let gone = s.classes.remove(n).name;
            s.faults.retain(|t| !matches!(&t.fault, Fault::ClassFails { class, .. } if *class == gone));
        }));
    }
    for n in (0..scenario.programs.len()).filter(|_| scenario.programs.len() > 1) {
        steps.push(Box::new(move |s| {
            let gone = s.programs.remove(n).name;
            s.faults.retain(|t| !matches!(&t.fault, Fault::ProgramSurge { program, .. } if *program == gone));
        }));
    }
    if scenario.fleet.forwarders > 1 {
        steps.push(Box::new(|s| {
            // Half the fleet and half of all else: each forwarder sees what it saw.
            s.fleet.forwarders = s.fleet.forwarders.div_ceil(2);
            s.traffic.baseline_per_s = Amount::clamped(s.traffic.baseline_per_s.get() / 2.0);
            s.kinds.iter_mut().for_each(|k| k.destinations = k.destinations.div_ceil(2));
        }));
        steps.push(Box::new(|s| s.fleet.forwarders = s.fleet.forwarders.div_ceil(2)));
    }
    for n in 0..scenario.kinds.len() {
        steps.push(Box::new(move |s| s.kinds[n].destinations = s.kinds[n].destinations.div_ceil(2)));
    }
    steps
        .push(Box::new(|s| s.traffic.baseline_per_s = Amount::clamped(s.traffic.baseline_per_s.get() * 0.7)));
    steps.push(Box::new(|s| s.duration = Span::clamped((s.duration.seconds() * 0.75).max(5.0))));
    steps.push(Box::new(|s| s.traffic.clumped = Share::NONE));
    steps.push(Box::new(|s| s.traffic.skew = 0.0));
    steps.push(Box::new(|s| s.fleet.unevenness = Share::NONE));
    steps.push(Box::new(|s| s.fleet.zones = 1));
    steps.push(Box::new(|s| s.programs.iter_mut().for_each(|p| p.withdraws_after_s = None)));
    steps.push(Box::new(|s| s.programs.iter_mut().for_each(|p| p.max_resubmissions = 0)));
    steps.push(Box::new(|s| s.programs.iter_mut().for_each(|p| p.quota_per_s = None)));
    steps.push(Box::new(|s| s.classes.iter_mut().for_each(|c| c.ordered_keys = None)));
    steps.push(Box::new(|s| s.kinds.iter_mut().for_each(|k| k.rejected_use_up_limit = false)));
    steps.push(Box::new(|s| s.kinds.iter_mut().for_each(|k| k.max_connections = None)));
    steps.push(Box::new(|s| s.kinds.iter_mut().for_each(|k| k.max_batch = 1)));
    steps
}

/// The smallest scenario that was reached which still shows what is wanted.
pub fn shrink(scenario: &Scenario, seed: u64, want: Want) -> Scenario {
    let mut smallest = scenario.clone();
    let mut tried = 0;
    loop {
        let mut cut = false;
        let many = steps(&smallest).len();
        for n in 0..many {
            // Made anew each time: a step that was taken moves the numbers of those after it.
            let Some(step) = steps(&smallest).into_iter().nth(n) else { break };
            let mut candidate = smallest.clone();
            step(&mut candidate);
            if candidate == smallest {
                continue;
            }
            tried += 1;
            let text = candidate.to_text();
            let sound = Scenario::parse("candidate", &text, &[]).is_ok_and(|read| read == candidate);
            if sound && want.seen(&candidate, seed).is_some() {
                smallest = candidate;
                cut = true;
            }
            if tried >= MOST_TRIED {
                return smallest;
            }
        }
        if !cut {
            return smallest;
        }
    }
}
