//! Shrinks a scenario to a smaller one that still shows the same fault.

use reeddock_simulation::distribution::{Amount, Share, Span};
use reeddock_simulation::fault::Fault;
use reeddock_simulation::invariants::Rule;
use reeddock_simulation::{run, BuiltInPolicy, Scenario};

/// The fault that a shrunk scenario must still show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShrinkGoal {
    /// The delivery policy breaks this invariant.
    Violation(Rule),
    /// The delivery policy's credit stays below the upper bound's by most of this gap.
    CreditGap(f64),
}

/// Share of a credit gap that a shrunk scenario must still have.
const MIN_REMAINING_GAP_SHARE: f64 = 0.85;
/// Minimum number of messages of a scenario shrunk for its credit gap; with fewer, the gap may be random.
const MIN_MESSAGES: u64 = 400;
/// Maximum number of scenarios that are run for one goal; limits the time for shrinking.
const MAX_CANDIDATES: usize = 120;
/// Maximum number of destination kinds whose removal is tried.
const MAX_KINDS_REMOVED: usize = 8;
/// Minimum duration of a shrunk scenario, in seconds.
const MIN_DURATION_S: f64 = 5.0;

impl ShrinkGoal {
    /// Runs the scenario and returns whether it shows the fault.
    #[must_use]
    pub fn is_reproduced_by(self, scenario: &Scenario, seed: u64) -> bool {
        let report = run(scenario, seed, BuiltInPolicy::DeliveryPolicy);
        match self {
            ShrinkGoal::Violation(rule) => report.violations.iter().any(|broken| broken.rule == rule),
            ShrinkGoal::CreditGap(gap) => {
                let upper_bound = run(scenario, seed, BuiltInPolicy::UpperBound);
                report.submissions >= MIN_MESSAGES
                    && upper_bound.credit - report.credit >= gap * MIN_REMAINING_GAP_SHARE
            }
        }
    }
}

/// A change that makes a scenario smaller or simpler. Positions refer to the scenario for which it was
/// listed.
#[derive(Clone, Copy, Debug)]
enum Reduction {
    RemoveFault(usize),
    RemoveKind(usize),
    RemoveClass(usize),
    RemoveProgram(usize),
    /// Halves the fleet, the traffic and the destinations, so that the load of each forwarder stays the same.
    HalveFleetAndLoad,
    HalveFleet,
    HalveDestinations(usize),
    ReduceTraffic,
    Shorten,
    /// Turns one setting off.
    Simplify(fn(&mut Scenario)),
}

impl Reduction {
    fn apply(self, scenario: &mut Scenario) {
        match self {
            Reduction::RemoveFault(position) => drop(scenario.faults.remove(position)),
            Reduction::RemoveKind(position) => drop(scenario.kinds.remove(position)),
            Reduction::RemoveClass(position) => remove_class(scenario, position),
            Reduction::RemoveProgram(position) => remove_program(scenario, position),
            Reduction::HalveFleetAndLoad => {
                halve_fleet(scenario);
                scale_traffic(scenario, 0.5);
                (0..scenario.kinds.len()).for_each(|position| halve_destinations(scenario, position));
            }
            Reduction::HalveFleet => halve_fleet(scenario),
            Reduction::HalveDestinations(position) => halve_destinations(scenario, position),
            Reduction::ReduceTraffic => scale_traffic(scenario, 0.7),
            Reduction::Shorten => {
                scenario.duration = Span::clamped((scenario.duration.seconds() * 0.75).max(MIN_DURATION_S));
            }
            Reduction::Simplify(simplify) => simplify(scenario),
        }
    }
}

/// Changes that each turn off one setting.
const SIMPLIFICATIONS: [fn(&mut Scenario); 11] = [
    |scenario| scenario.traffic.grouped_share = Share::NONE,
    |scenario| scenario.traffic.skew = 0.0,
    |scenario| scenario.fleet.unevenness = Share::NONE,
    |scenario| scenario.fleet.zones = 1,
    |scenario| scenario.programs.iter_mut().for_each(|program| program.withdraws_after_s = None),
    |scenario| scenario.programs.iter_mut().for_each(|program| program.max_resubmissions = 0),
    |scenario| scenario.programs.iter_mut().for_each(|program| program.quota_per_s = None),
    |scenario| scenario.classes.iter_mut().for_each(|class| class.ordered_keys = None),
    |scenario| scenario.kinds.iter_mut().for_each(|kind| kind.rejected_use_up_limit = false),
    |scenario| scenario.kinds.iter_mut().for_each(|kind| kind.max_connections = None),
    |scenario| scenario.kinds.iter_mut().for_each(|kind| kind.max_batch = 1),
];

/// Removes a message class and the faults that name the class.
fn remove_class(scenario: &mut Scenario, position: usize) {
    let removed = scenario.classes.remove(position).name;
    scenario
        .faults
        .retain(|fault| !matches!(&fault.fault, Fault::ClassFails { class, .. } if *class == removed));
}

/// Removes a client program and the faults that name the program.
fn remove_program(scenario: &mut Scenario, position: usize) {
    let removed = scenario.programs.remove(position).name;
    scenario
        .faults
        .retain(|fault| !matches!(&fault.fault, Fault::ProgramSurge { program, .. } if *program == removed));
}

fn halve_fleet(scenario: &mut Scenario) {
    scenario.fleet.forwarders = scenario.fleet.forwarders.div_ceil(2);
}

fn halve_destinations(scenario: &mut Scenario, position: usize) {
    let kind = &mut scenario.kinds[position];
    kind.destinations = kind.destinations.div_ceil(2);
}

fn scale_traffic(scenario: &mut Scenario, factor: f64) {
    scenario.traffic.baseline_per_s = Amount::clamped(scenario.traffic.baseline_per_s.get() * factor);
}

/// Returns the positions of parts that can be removed; none if there is only one part, which must stay.
fn removable(length: usize) -> std::ops::Range<usize> {
    0..if length > 1 { length } else { 0 }
}

/// Returns all reductions of a scenario; those that usually remove most come first.
fn reductions(scenario: &Scenario) -> Vec<Reduction> {
    let mut reductions = Vec::new();
    reductions.extend((0..scenario.faults.len()).map(Reduction::RemoveFault));
    reductions.extend(removable(scenario.kinds.len()).take(MAX_KINDS_REMOVED).map(Reduction::RemoveKind));
    reductions.extend(removable(scenario.classes.len()).map(Reduction::RemoveClass));
    reductions.extend(removable(scenario.programs.len()).map(Reduction::RemoveProgram));
    if scenario.fleet.forwarders > 1 {
        reductions.extend([Reduction::HalveFleetAndLoad, Reduction::HalveFleet]);
    }
    reductions.extend((0..scenario.kinds.len()).map(Reduction::HalveDestinations));
    reductions.extend([Reduction::ReduceTraffic, Reduction::Shorten]);
    reductions.extend(SIMPLIFICATIONS.map(Reduction::Simplify));
    reductions
}

/// Returns whether the scenario stays the same when written to a file and read back.
fn is_valid(scenario: &Scenario) -> bool {
    Scenario::parse("candidate", &scenario.to_text(), &[]).is_ok_and(|read| read == *scenario)
}

/// Shrinks a scenario until every further reduction would lose the fault, or the maximum number was tried.
#[must_use]
pub fn shrink(scenario: &Scenario, seed: u64, goal: ShrinkGoal) -> Scenario {
    let mut smallest = scenario.clone();
    let mut candidate_count = 0;
    loop {
        let mut changed = false;
        for number in 0..reductions(&smallest).len() {
            // Reductions are listed again each time, because an applied reduction changes the positions of
            // later ones.
            let Some(reduction) = reductions(&smallest).get(number).copied() else { break };
            let mut candidate = smallest.clone();
            reduction.apply(&mut candidate);
            if candidate == smallest {
                continue;
            }
            candidate_count += 1;
            if is_valid(&candidate) && goal.is_reproduced_by(&candidate, seed) {
                smallest = candidate;
                changed = true;
            }
            if candidate_count >= MAX_CANDIDATES {
                return smallest;
            }
        }
        if !changed {
            return smallest;
        }
    }
}
