//! Random scenarios for the search, small enough that many run in a minute.
//!
//! The order of the random draws must not change, because files in `scenarios/found/` name the seed that they
//! were generated from. [`random_scenario`] draws the parts in a fixed order, and the fields of each part in
//! the order of their expressions in the source.

use rand::{RngExt, SeedableRng};
use reeddock_simulation::distribution::{
    Amount, Distribution, RandomDistribution, RandomSource, Share, Span,
};
use reeddock_simulation::fault::{EndpointSelector, Fault, ForwarderSelector};
use reeddock_simulation::scenario::{
    ClassDecay, ClassIdempotency, ClassSpec, DestinationKind, EndpointListSettings, Fleet, GossipSettings,
    ListWeights, Network, Program, RateLimit, RecoverySettings, ScheduledFault, Traffic, VERSION,
};
use reeddock_simulation::Scenario;

/// Separates the random stream that generates a scenario from the stream that runs it with the same seed.
const SCENARIO_STREAM: u64 = 0x006c_6162;

/// Draws random parts of a scenario.
struct ScenarioGenerator(RandomSource);

/// Size of the fleet and its traffic; drawn first, because other parts depend on it.
struct FleetSize {
    forwarders: u32,
    duration_s: f64,
    /// Messages per second to the whole fleet, from which the capacity of destinations follows.
    baseline_per_s: f64,
}

/// The parts of a scenario that a fault can name.
struct NamedParts {
    classes: Vec<ClassSpec>,
    programs: Vec<Program>,
}

/// Random values.
impl ScenarioGenerator {
    /// Draws a number in this range, rounded to two decimals for readable scenario files.
    fn number(&mut self, low: f64, high: f64) -> f64 {
        let drawn = low + (high - low) * self.0.random::<f64>();
        round_to_hundredths(drawn)
    }

    /// Draws a whole number in this range, including both ends.
    fn count(&mut self, low: u32, high: u32) -> u32 {
        self.0.random_range(low..=high)
    }

    /// Returns true with this probability.
    fn chance(&mut self, probability: f64) -> bool {
        self.0.random::<f64>() < probability
    }

    fn share(&mut self, low: f64, high: f64) -> Share {
        Share::clamped(self.number(low, high))
    }

    fn amount(&mut self, low: f64, high: f64) -> Amount {
        Amount::clamped(self.number(low, high))
    }

    /// Draws a time span; `low` and `high` are in seconds.
    fn span(&mut self, low: f64, high: f64) -> Span {
        Span::clamped(self.number(low, high))
    }

    /// Returns a uniform distribution over a random part of this range.
    fn uniform(&mut self, low: f64, high: f64) -> Distribution {
        let (first_end, second_end) = (self.number(low, high), self.number(low, high));
        let ends = [first_end.min(second_end), first_end.max(second_end)];
        Distribution::Random(RandomDistribution::Uniform(ends))
    }

    /// Draws one of these values; there must be at least one.
    fn choose<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.0.random_range(0..all.len())]
    }

    /// Draws a position in a list of this length, which must be at least 1.
    fn position(&mut self, length: usize) -> usize {
        self.count(0, length as u32 - 1) as usize
    }
}

/// Faults.
impl ScenarioGenerator {
    fn endpoint_selector(&mut self) -> EndpointSelector {
        let destination_share = Some(self.share(0.05, 0.5));
        let endpoint_share = self.chance(0.4).then(|| self.share(0.2, 0.8));
        EndpointSelector { destinations: Vec::new(), destination_share, endpoint_share }
    }

    fn forwarder_selector(&mut self) -> ForwarderSelector {
        ForwarderSelector { forwarders: Vec::new(), share: Some(self.share(0.05, 0.6)) }
    }

    /// Draws one of the faults, each with the same probability.
    fn fault(&mut self, parts: &NamedParts) -> Fault {
        match self.count(0, 16) {
            number @ 0..=11 => self.endpoint_fault(number, parts),
            12 => Fault::ListFrozen {},
            13 => Fault::ForwardersKilled { forwarders: self.forwarder_selector() },
            14 => Fault::TrafficShift { forwarders: self.forwarder_selector(), share: self.share(0.3, 0.9) },
            15 => Fault::TrafficBurst { rate_factor: self.amount(1.3, 2.5) },
            _ => {
                let position = self.position(parts.programs.len());
                let program = parts.programs[position].name.clone();
                Fault::ProgramSurge { program, rate_factor: self.amount(2.0, 5.0) }
            }
        }
    }

    /// Draws the values of one of the twelve faults of endpoints, by its number.
    fn endpoint_fault(&mut self, number: u32, parts: &NamedParts) -> Fault {
        // The class is drawn before the selector; the values of other faults are drawn after it.
        let class = (number == 8).then(|| self.position(parts.classes.len()));
        let endpoints = self.endpoint_selector();
        match number {
            0 => Fault::ConnectionsRefused { endpoints },
            1 => Fault::Unreachable { endpoints },
            2 => Fault::Hang { endpoints },
            3 => Fault::RejectsAll { endpoints },
            4 => Fault::FastErrors { endpoints, share: self.share(0.3, 1.0) },
            5 => Fault::Slow { endpoints, duration_factor: self.amount(1.5, 6.0) },
            6 => Fault::Pauses { endpoints, duration: self.span(0.1, 0.6), interval: self.span(1.0, 4.0) },
            7 => Fault::HeavyTail {
                endpoints,
                share: self.share(0.01, 0.1),
                duration_factor: self.uniform(4.0, 25.0),
            },
            8 => {
                let class = parts.classes[class.unwrap_or_default()].name.clone();
                Fault::ClassFails { endpoints, class }
            }
            9 => Fault::ResponsesLost { endpoints, share: self.share(0.1, 1.0) },
            10 => Fault::Replaced { endpoints },
            _ => Fault::Drains { endpoints },
        }
    }

    /// Draws up to four faults with their times, for a scenario of this duration.
    fn scheduled_faults(&mut self, duration_s: f64, parts: &NamedParts) -> Vec<ScheduledFault> {
        (0..self.count(0, 4))
            .map(|_| ScheduledFault {
                start: Span::clamped(self.number(3.0, duration_s * 0.7)),
                duration: self.span(1.0, 15.0),
                fault: self.fault(parts),
            })
            .collect()
    }
}

/// Parts of a scenario.
impl ScenarioGenerator {
    fn fleet_size(&mut self) -> FleetSize {
        let forwarders = self.choose(&[1, 2, 3, 3, 5, 8, 12, 25, 60]);
        let duration_s = self.number(25.0, 45.0);
        let baseline_per_s = self.number(15.0, 200.0).max(f64::from(forwarders));
        FleetSize { forwarders, duration_s, baseline_per_s }
    }

    fn classes(&mut self) -> Vec<ClassSpec> {
        (0..self.count(1, 3)).map(|number| self.class(number)).collect()
    }

    fn class(&mut self, number: u32) -> ClassSpec {
        let latency_objective = self.number(1.0, 4.0);
        ClassSpec {
            name: format!("category-{number}"),
            traffic_weight: self.amount(0.5, 2.0),
            idempotency: self.idempotency(),
            latency_objective: Span::clamped(latency_objective),
            deadline: Span::clamped(round_to_hundredths(latency_objective * self.number(2.0, 8.0))),
            priority_weight: self.amount(0.5, 3.0),
            late_weight: self.share(0.2, 0.6),
            late_decay: if self.chance(0.5) { ClassDecay::Linear } else { ClassDecay::Exponential },
            work_ms: Distribution::Random(RandomDistribution::LogNormal {
                median: self.number(30.0, 350.0),
                sigma: self.number(0.1, 0.7),
            }),
            ordered_keys: self.chance(0.2).then(|| self.count(5, 200)),
        }
    }

    fn idempotency(&mut self) -> ClassIdempotency {
        match self.count(0, 2) {
            0 => ClassIdempotency::Idempotent,
            1 => ClassIdempotency::WithKey(self.span(3.0, 12.0)),
            _ => ClassIdempotency::NonIdempotent,
        }
    }

    fn programs(&mut self, baseline_per_s: f64) -> Vec<Program> {
        (0..self.count(1, 3)).map(|number| self.program(number, baseline_per_s)).collect()
    }

    fn program(&mut self, number: u32, baseline_per_s: f64) -> Program {
        Program {
            name: format!("program-{number}"),
            traffic_weight: self.amount(0.5, 3.0),
            quota_per_s: self.chance(0.3).then(|| Amount::clamped(baseline_per_s * 0.6)),
            max_resubmissions: self.count(0, 2),
            resubmission_delay_s: self.uniform(0.2, 2.0),
            retry_after_honored_share: self.share(0.0, 1.0),
            withdraws_after_s: self.chance(0.15).then(|| self.uniform(2.0, 15.0)),
            arrival_size: Distribution::Constant(1.0),
        }
    }

    fn destination_kinds(&mut self) -> Vec<DestinationKind> {
        (0..self.count(1, 2)).map(|number| self.destination_kind(number)).collect()
    }

    fn destination_kind(&mut self, number: u32) -> DestinationKind {
        DestinationKind {
            name: format!("kind-{number}"),
            destinations: self.count(1, 20),
            endpoints: self.uniform(1.0, 3.4),
            traffic_weight: self.amount(0.5, 4.0),
            circuit_per_endpoint: self.chance(0.3),
            max_batch: self.choose(&[1, 1, 1, 4, 20]),
            rate_limit: self.rate_limit(),
            headroom: self.uniform(0.9, 2.0),
            min_limit_per_s: self.amount(1.0, 4.0),
            capacity_factor: self.uniform(1.1, 1.6),
            queue_s: self.uniform(0.2, 1.0),
            work_factor: self.uniform(0.5, 2.0),
            retry_after_share: self.share(0.0, 1.0),
            rejected_use_up_limit: self.chance(0.3),
            max_connections: self.chance(0.2).then(|| self.count(8, 40)),
            abandoned_served_share: self.share(0.3, 1.0),
        }
    }

    fn rate_limit(&mut self) -> RateLimit {
        match self.count(0, 3) {
            0 => RateLimit::None,
            1 => RateLimit::TokenBucket,
            _ => RateLimit::FixedWindow(Span::clamped(self.choose(&[1.0, 2.0, 4.0]))),
        }
    }

    /// Draws a fleet whose limits are in proportion to its traffic and to the work of its messages.
    fn fleet(&mut self, size: &FleetSize, classes: &[ClassSpec]) -> Fleet {
        let work_ms: f64 = classes.iter().map(|class| class.work_ms.mean()).sum();
        let mean_work_s = work_ms / classes.len() as f64 / 1e3;
        let per_forwarder_per_s = size.baseline_per_s / f64::from(size.forwarders);
        Fleet {
            forwarders: size.forwarders,
            zones: self.count(1, 3),
            max_in_flight: ((per_forwarder_per_s * mean_work_s * 1.3 * self.number(1.4, 3.0)).ceil() as u32)
                .max(2),
            max_pending_messages: ((per_forwarder_per_s * self.number(4.0, 14.0)).ceil() as u32).max(8),
            max_attempts: self.count(3, 12),
            tick: Span::millis(5),
            max_retry_after: self.chance(0.6).then(|| self.span(1.0, 5.0)),
            write_ahead_log: self.chance(0.4),
            unevenness: if self.chance(0.2) { self.share(0.1, 0.5) } else { Share::NONE },
            drain_grace: self.span(0.5, 2.0),
            ordering_hold_off: self.span(1.0, 4.0),
            answer_slack: Span::millis(20),
        }
    }

    fn traffic(&mut self, baseline_per_s: f64) -> Traffic {
        Traffic {
            baseline_per_s: Amount::clamped(baseline_per_s),
            load: self.amount(0.4, 1.25),
            skew: self.number(0.0, 1.2),
            grouped_share: if self.chance(0.5) { self.share(0.05, 0.25) } else { Share::NONE },
            group_size: self.uniform(3.0, 20.0),
        }
    }

    fn endpoint_list(&mut self) -> EndpointListSettings {
        EndpointListSettings {
            delay_s: self.uniform(0.2, 5.0),
            weights: if self.chance(0.5) { ListWeights::Rates } else { ListWeights::None },
            weight_error: self.uniform(0.5, 1.5),
        }
    }

    /// Draws the settings of slow start and of overload after an outage.
    fn recovery(&mut self) -> RecoverySettings {
        RecoverySettings {
            slow_start_floor: self.share(0.15, 0.3),
            slow_start_duration: self.span(6.0, 14.0),
            overload_capacity_multiple: self.amount(1.5, 2.5),
            overload_window: self.span(1.5, 4.0),
            overload_outage: Span::millis(60_000),
        }
    }
}

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Returns the random scenario of a seed. The same seed always yields the same scenario.
#[must_use]
pub fn random_scenario(seed: u64) -> Scenario {
    let mut generator = ScenarioGenerator(RandomSource::seed_from_u64(seed ^ SCENARIO_STREAM));
    let size = generator.fleet_size();
    let classes = generator.classes();
    let programs = generator.programs(size.baseline_per_s);
    let kinds = generator.destination_kinds();
    let parts = NamedParts { classes, programs };
    let faults = generator.scheduled_faults(size.duration_s, &parts);
    Scenario {
        version: VERSION,
        name: format!("drawn-{seed}"),
        about: String::new(),
        duration: Span::clamped(size.duration_s),
        fleet: generator.fleet(&size, &parts.classes),
        traffic: generator.traffic(size.baseline_per_s),
        network: Network::default(),
        endpoint_list: generator.endpoint_list(),
        gossip: GossipSettings::default(),
        recovery: generator.recovery(),
        classes: parts.classes,
        programs: parts.programs,
        kinds,
        faults,
        found: None,
    }
}
