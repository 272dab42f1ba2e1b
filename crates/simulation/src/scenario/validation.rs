//! Validates a parsed scenario: ranges, unique names, and references of faults to other sections.

use std::ops::RangeInclusive;

use thiserror::Error;

use super::destinations::{DestinationKind, RateLimit};
use super::messages::{ClassSpec, Program};
use super::model::{Scenario, VERSION};
use crate::fault::Fault;

/// Maximum number of sections with the same header.
const MAX_SECTIONS: usize = 1000;

/// A section of the scenario file: the text with which its first line begins, and its index among all lines
/// that begin with this text.
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

    /// Returns the number of the section's first line, counted from 1; `None` if the text has no such line.
    pub(super) fn line_in(self, text: &str) -> Option<usize> {
        let is_header = |line: &(usize, &str)| line.1.trim_start().starts_with(self.header);
        text.lines().enumerate().filter(is_header).nth(self.index).map(|(line, _)| line + 1)
    }

    fn invalid(self, error: ValidationError) -> InvalidSection {
        InvalidSection { section: self, error }
    }

    /// Returns an error if a value is outside a range.
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

/// A validation error and the section in which it occurred.
pub(super) struct InvalidSection {
    pub(super) section: Section,
    pub(super) error: ValidationError,
}

/// A value of a scenario that is out of range or contradicts another one.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ValidationError {
    /// The version of the file format is not [`VERSION`].
    #[error("unsupported version {0}: expected {VERSION}")]
    UnknownVersion(u32),
    /// A number is out of range.
    #[error("{name} is {value}: expected {low} to {high}")]
    OutOfRange {
        /// Name of the number, by its key in the file.
        name: &'static str,
        /// Value of the number.
        value: f64,
        /// Minimum value.
        low: f64,
        /// Maximum value.
        high: f64,
    },
    /// Sections of one kind are missing, or too many.
    #[error("scenario has {count} {sections}: expected 1 to {MAX_SECTIONS}")]
    SectionCount {
        /// Content of the sections, in the plural.
        sections: &'static str,
        /// Number of sections.
        count: usize,
    },
    /// A name occurs twice in sections of one kind.
    #[error("duplicate name: expected a name that no other section of the same kind has")]
    RepeatedName,
    /// The latency objective of a class is zero or longer than its deadline.
    #[error(
        "promised_s of category \"{class}\" is {objective}: expected a number over 0 and \
         at most its outer_limit_s {deadline}"
    )]
    LatencyObjective {
        /// Name of the message class.
        class: String,
        /// Latency objective in seconds.
        objective: f64,
        /// Deadline in seconds.
        deadline: f64,
    },
    /// A fault names a destination that does not exist.
    #[error("unknown destination {index}: expected a number under {count}")]
    UnknownDestination {
        /// Index of the destination.
        index: u32,
        /// Number of destinations.
        count: u32,
    },
    /// A fault names a forwarder that does not exist.
    #[error("unknown forwarder {index}: expected a number under {count}")]
    UnknownForwarder {
        /// Index of the forwarder.
        index: u32,
        /// Number of forwarders.
        count: u32,
    },
    /// A fault names both destinations and a share of them, or neither.
    #[error("whom: expected either destinations or a share of them")]
    EndpointSelector,
    /// A fault names both forwarders and a share of them, or neither.
    #[error("which: expected either forwarders or a share of them")]
    ForwarderSelector,
    /// A fault names a message class that does not exist.
    #[error("unknown category \"{0}\": expected the name of a category of this scenario")]
    UnknownClass(String),
    /// A fault names a program that does not exist.
    #[error("unknown program \"{0}\": expected the name of a program of this scenario")]
    UnknownProgram(String),
    /// Pauses are not shorter than their interval.
    #[error("pauses: expected each_s to be less than every_s")]
    PauseInterval,
}

/// Checks a scenario after parsing. Returns the first error and its section.
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
    section.check_range("number of first submissions (usual_per_s * load * lasts_s)", submissions, 0.0..=2e7)
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
    section.check_range("mean of work_ms", class.work_ms.mean(), 0.001..=1e6)?;
    match class.ordered_keys {
        Some(keys) => section.check_range("ordered_keys", keys.into(), 1.0..=1e6),
        None => Ok(()),
    }
}

fn check_program(section: Section, program: &Program) -> Result<(), InvalidSection> {
    section.check_range("returns", program.max_resubmissions.into(), 0.0..=100.0)?;
    section.check_range("mean of bunch", program.arrival_size.mean(), 1.0..=1e5)
}

fn check_kind(section: Section, kind: &DestinationKind) -> Result<(), InvalidSection> {
    section.check_range("destinations", kind.destinations.into(), 1.0..=100_000.0)?;
    section.check_range("mean of targets", kind.endpoints.mean(), 1.0..=1000.0)?;
    section.check_range("batch", kind.max_batch.into(), 1.0..=1000.0)?;
    section.check_range("mean of headroom", kind.headroom.mean(), 0.01..=1e4)?;
    section.check_range("mean of spare", kind.capacity_factor.mean(), 0.01..=1e4)?;
    section.check_range("mean of pace", kind.work_factor.mean(), 0.001..=1e3)?;
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
