//! Checks of a scenario that span several of its values: ranges, unique names, and that faults name what exists.

use std::ops::RangeInclusive;

use thiserror::Error;

use super::destinations::{DestinationKind, RateLimit};
use super::messages::{ClassSpec, Program};
use super::model::{Scenario, VERSION};
use crate::fault::Fault;

/// Sections of one kind at most.
const MAX_SECTIONS: usize = 1000;

/// A section of the scenario file: the text with which it begins, and which one of those.
#[derive(Clone, Copy)]
pub(super) struct Section {
    header: &'static str,
    index: usize,
}

impl Section {
    const FLEET: Section = Section::first("[fleet]");
    const TRAFFIC: Section = Section::first("[traffic]");
    const CLASS: &'static str = "[[category]]";
    const PROGRAM: &'static str = "[[program]]";
    const KIND: &'static str = "[[kind]]";
    const FAULT: &'static str = "[[trouble]]";

    const fn first(header: &'static str) -> Section {
        Section::nth(header, 0)
    }

    const fn nth(header: &'static str, index: usize) -> Section {
        Section { header, index }
    }

    /// The line where this section begins, counted from 1.
    pub(super) fn line_in(self, text: &str) -> Option<usize> {
        let begins_here = |line: &(usize, &str)| line.1.trim_start().starts_with(self.header);
        text.lines().enumerate().filter(begins_here).nth(self.index).map(|(line, _)| line + 1)
    }

    fn invalid(self, error: ValidationError) -> InvalidSection {
        InvalidSection { section: self, error }
    }

    /// Refuses a value outside a range.
    fn check_range(
        self,
        name: &'static str,
        value: f64,
        range: RangeInclusive<f64>,
    ) -> Result<(), InvalidSection> {
        if range.contains(&value) {
            return Ok(());
        }
        let (low, high) = range.into_inner();
        Err(self.invalid(ValidationError::OutOfRange { name, value, low, high }))
    }
}

/// A section that is not valid, and why.
pub(super) struct InvalidSection {
    pub(super) section: Section,
    pub(super) error: ValidationError,
}

/// A value that is out of range, or contradicts another one.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ValidationError {
    /// The version of the file's format is not [`VERSION`].
    #[error("version {0} is not known: expected {VERSION}")]
    UnknownVersion(u32),
    /// A number is out of range.
    #[error("{name} is {value}: expected {low} to {high}")]
    OutOfRange {
        /// The number's name in the file.
        name: &'static str,
        /// The number.
        value: f64,
        /// Least number that is accepted.
        low: f64,
        /// Greatest number that is accepted.
        high: f64,
    },
    /// No sections of a kind, or too many.
    #[error("{count} {sections}: expected 1 to {MAX_SECTIONS}")]
    SectionCount {
        /// What the sections describe.
        sections: &'static str,
        /// How many there are.
        count: usize,
    },
    /// A name that stands twice.
    #[error("name used before: expected a name that stands once only")]
    RepeatedName,
    /// A latency objective of zero, or after the deadline.
    #[error(
        "promised_s of \"{class}\" is {objective}: expected over 0, and its outer_limit_s {deadline} at most"
    )]
    LatencyObjective {
        /// Name of the class.
        class: String,
        /// Its latency objective, in seconds.
        objective: f64,
        /// Its deadline, in seconds.
        deadline: f64,
    },
    /// A fault names a destination that is not there.
    #[error("destination {index}: expected a number under {count}")]
    UnknownDestination {
        /// Its index.
        index: u32,
        /// How many there are.
        count: u32,
    },
    /// A fault names a forwarder that is not there.
    #[error("forwarder {index}: expected a number under {count}")]
    UnknownForwarder {
        /// Its index.
        index: u32,
        /// How many there are.
        count: u32,
    },
    /// A fault names destinations and a share of them, or neither.
    #[error("whom: expected either destinations or a share")]
    EndpointSelector,
    /// A fault names forwarders and a share of them, or neither.
    #[error("which: expected either forwarders or a share")]
    ForwarderSelector,
    /// A fault names a message class that is not there.
    #[error("category \"{0}\" is not in this scenario")]
    UnknownClass(String),
    /// A fault names a program that is not there.
    #[error("program \"{0}\" is not in this scenario")]
    UnknownProgram(String),
    /// Pauses that are as long as their interval, or longer.
    #[error("pauses: expected each_s under every_s")]
    PauseInterval,
}

/// Checks what single values cannot show when they are read.
pub(super) fn validate(scenario: &Scenario) -> Result<(), InvalidSection> {
    check_top_level(scenario)?;
    check_fleet(scenario)?;
    check_traffic(scenario)?;
    check_counts(scenario)?;
    check_unique(Section::CLASS, scenario.classes.iter().map(|class| &class.name))?;
    check_unique(Section::PROGRAM, scenario.programs.iter().map(|program| &program.name))?;
    check_unique(Section::KIND, scenario.kinds.iter().map(|kind| &kind.name))?;
    for (index, class) in scenario.classes.iter().enumerate() {
        check_class(Section::nth(Section::CLASS, index), class)?;
    }
    for (index, program) in scenario.programs.iter().enumerate() {
        check_program(Section::nth(Section::PROGRAM, index), program)?;
    }
    for (index, kind) in scenario.kinds.iter().enumerate() {
        check_kind(Section::nth(Section::KIND, index), kind)?;
    }
    for (index, scheduled) in scenario.faults.iter().enumerate() {
        let section = Section::nth(Section::FAULT, index);
        check_fault(scenario, &scheduled.fault).map_err(|error| section.invalid(error))?;
    }
    Ok(())
}

fn check_top_level(scenario: &Scenario) -> Result<(), InvalidSection> {
    if scenario.version != VERSION {
        let unknown = ValidationError::UnknownVersion(scenario.version);
        return Err(Section::first("version").invalid(unknown));
    }
    Section::first("lasts_s").check_range("lasts_s", scenario.duration.seconds(), 1.0..=3600.0)
}

fn check_fleet(scenario: &Scenario) -> Result<(), InvalidSection> {
    let (section, fleet) = (Section::FLEET, &scenario.fleet);
    section.check_range("forwarders", fleet.forwarders.into(), 1.0..=10_000.0)?;
    section.check_range("zones", fleet.zones.into(), 1.0..=100.0)?;
    section.check_range("slots", fleet.max_in_flight.into(), 1.0..=100_000.0)?;
    section.check_range("room", fleet.max_pending_messages.into(), 2.0..=1e7)?;
    section.check_range("dispatch_cap", fleet.max_attempts.into(), 1.0..=1000.0)?;
    section.check_range("tick_s", fleet.tick.seconds(), 0.0..=0.1)
}

fn check_traffic(scenario: &Scenario) -> Result<(), InvalidSection> {
    let (section, traffic) = (Section::TRAFFIC, &scenario.traffic);
    section.check_range("skew", traffic.skew, 0.0..=3.0)?;
    let submissions = traffic.baseline_per_s.get() * traffic.load.get() * scenario.duration.seconds();
    section.check_range("first tries of the whole day", submissions, 0.0..=2e7)
}

fn check_counts(scenario: &Scenario) -> Result<(), InvalidSection> {
    for (sections, header, count) in [
        ("categories", Section::CLASS, scenario.classes.len()),
        ("programs", Section::PROGRAM, scenario.programs.len()),
        ("kinds", Section::KIND, scenario.kinds.len()),
    ] {
        if count == 0 || count > MAX_SECTIONS {
            let error = ValidationError::SectionCount { sections, count };
            return Err(Section::first(header).invalid(error));
        }
    }
    Ok(())
}

fn check_unique<'a>(
    header: &'static str,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), InvalidSection> {
    let names: Vec<&String> = names.collect();
    match (1..names.len()).find(|index| names[..*index].contains(&names[*index])) {
        None => Ok(()),
        Some(repeated) => Err(Section::nth(header, repeated).invalid(ValidationError::RepeatedName)),
    }
}

fn check_class(section: Section, class: &ClassSpec) -> Result<(), InvalidSection> {
    if class.latency_objective > class.deadline || class.latency_objective.0.is_zero() {
        return Err(section.invalid(ValidationError::LatencyObjective {
            class: class.name.clone(),
            objective: class.latency_objective.seconds(),
            deadline: class.deadline.seconds(),
        }));
    }
    section.check_range("work_ms in the mean", class.work_ms.mean(), 0.001..=1e6)?;
    match class.ordered_keys {
        Some(keys) => section.check_range("ordered_keys", keys.into(), 1.0..=1e6),
        None => Ok(()),
    }
}

fn check_program(section: Section, program: &Program) -> Result<(), InvalidSection> {
    section.check_range("returns", program.max_resubmissions.into(), 0.0..=100.0)?;
    section.check_range("bunch in the mean", program.arrival_size.mean(), 1.0..=1e5)
}

fn check_kind(section: Section, kind: &DestinationKind) -> Result<(), InvalidSection> {
    section.check_range("destinations", kind.destinations.into(), 1.0..=100_000.0)?;
    section.check_range("targets in the mean", kind.endpoints.mean(), 1.0..=1000.0)?;
    section.check_range("batch", kind.max_batch.into(), 1.0..=1000.0)?;
    section.check_range("headroom in the mean", kind.headroom.mean(), 0.01..=1e4)?;
    section.check_range("spare in the mean", kind.capacity_factor.mean(), 0.01..=1e4)?;
    section.check_range("pace in the mean", kind.work_factor.mean(), 0.001..=1e3)?;
    match kind.rate_limit {
        RateLimit::FixedWindow(window) => section.check_range("limit.span", window.seconds(), 0.01..=3600.0),
        RateLimit::None | RateLimit::TokenBucket => Ok(()),
    }
}

fn check_fault(scenario: &Scenario, fault: &Fault) -> Result<(), ValidationError> {
    check_endpoint_selector(scenario, fault)?;
    check_forwarder_selector(scenario, fault)?;
    match fault {
        Fault::ClassFails { class, .. } => {
            let known = scenario.classes.iter().any(|known| known.name == *class);
            known.then_some(()).ok_or_else(|| ValidationError::UnknownClass(class.clone()))
        }
        Fault::ProgramSurge { program, .. } => {
            let known = scenario.programs.iter().any(|known| known.name == *program);
            known.then_some(()).ok_or_else(|| ValidationError::UnknownProgram(program.clone()))
        }
        Fault::Pauses { duration, interval, .. } if duration >= interval => {
            Err(ValidationError::PauseInterval)
        }
        _ => Ok(()),
    }
}

fn check_endpoint_selector(scenario: &Scenario, fault: &Fault) -> Result<(), ValidationError> {
    let Some(selector) = fault.endpoint_selector() else { return Ok(()) };
    let count: u32 = scenario.kinds.iter().map(|kind| kind.destinations).sum();
    if let Some(unknown) = selector.destinations.iter().find(|index| **index >= count) {
        return Err(ValidationError::UnknownDestination { index: *unknown, count });
    }
    if selector.destinations.is_empty() == selector.destination_share.is_none() {
        return Err(ValidationError::EndpointSelector);
    }
    Ok(())
}

fn check_forwarder_selector(scenario: &Scenario, fault: &Fault) -> Result<(), ValidationError> {
    let Some(selector) = fault.forwarder_selector() else { return Ok(()) };
    let count = scenario.fleet.forwarders;
    if let Some(unknown) = selector.forwarders.iter().find(|index| **index >= count) {
        return Err(ValidationError::UnknownForwarder { index: *unknown, count });
    }
    if selector.forwarders.is_empty() == selector.share.is_none() {
        return Err(ValidationError::ForwarderSelector);
    }
    Ok(())
}
