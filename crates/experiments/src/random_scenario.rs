//! Random scenarios for the search: small enough that many are played in a minute, and varied enough to hold
//! combinations that nobody wrote a scenario for.
//!
//! The order of the random draws is part of the search's results: a file in `scenarios/found/` names the seed
//! that it was drawn from. [`random_scenario`] therefore draws the parts in a fixed order, and the fields of
//! each part in the order in which they are written here.

use rand::{RngExt, SeedableRng};
use reeddock_simulation::distribution::{Amount, Chance, Distribution, RandomDistribution, Share, Span};
use reeddock_simulation::fault::{EndpointSelector, Fault, ForwarderSelector};
use reeddock_simulation::scenario::{
    Category, ClassIdempotency, Decay, EndpointListSettings, Fleet, Kind, Limit, Network, Notes, Program,
    Returning, Scheduled, Traffic, Weights, VERSION,
};
use reeddock_simulation::Scenario;

/// Separates the random stream that draws a scenario from the one that plays it with the same seed.
const SCENARIO_STREAM: u64 = 0x006c_6162;

/// Random values of the types that a scenario is made of.
struct ScenarioGenerator(Chance);

/// What is drawn first and decides the size of the rest.
struct FleetSize {
    forwarders: u32,
    /// How long the scenario lasts, in seconds.
    duration: f64,
    /// Messages a second to the whole fleet, for which destinations are built.
    usual_per_s: f64,
}

/// The parts of a scenario that a fault may refer to.
struct NamedParts {
    categories: Vec<Category>,
    programs: Vec<Program>,
}

/// Uniform primitives.
impl ScenarioGenerator {
    /// A number in this range, of two decimals: people read the files that a search keeps.
    fn number(&mut self, low: f64, high: f64) -> f64 {
        let drawn = low + (high - low) * self.0.random::<f64>();
        two_decimals(drawn)
    }

    fn count(&mut self, low: u32, high: u32) -> u32 {
        self.0.random_range(low..=high)
    }

    /// True with this probability.
    fn chance(&mut self, probability: f64) -> bool {
        self.0.random::<f64>() < probability
    }

    fn share(&mut self, low: f64, high: f64) -> Share {
        Share::clamped(self.number(low, high))
    }

    fn amount(&mut self, low: f64, high: f64) -> Amount {
        Amount::clamped(self.number(low, high))
    }

    /// A time span; its ends in seconds.
    fn span(&mut self, low: f64, high: f64) -> Span {
        Span::clamped(self.number(low, high))
    }

    /// A uniform distribution over a part of this range.
    fn uniform(&mut self, low: f64, high: f64) -> Distribution {
        let (one_end, other_end) = (self.number(low, high), self.number(low, high));
        let ends = [one_end.min(other_end), one_end.max(other_end)];
        Distribution::Drawn(RandomDistribution::Uniform(ends))
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.0.random_range(0..all.len())]
    }

    /// The position of one of so many parts; there is at least one.
    fn position(&mut self, length: usize) -> usize {
        self.count(0, length as u32 - 1) as usize
    }
}

/// Faults.
impl ScenarioGenerator {
    fn endpoint_selector(&mut self) -> EndpointSelector {
        let share = Some(self.share(0.05, 0.5));
        let targets = self.chance(0.4).then(|| self.share(0.2, 0.8));
        EndpointSelector { destinations: Vec::new(), share, targets }
    }

    fn forwarder_selector(&mut self) -> ForwarderSelector {
        ForwarderSelector { forwarders: Vec::new(), share: Some(self.share(0.05, 0.6)) }
    }

    fn fault(&mut self, parts: &NamedParts) -> Fault {
        match self.count(0, 16) {
            number @ 0..=11 => self.endpoint_fault(number, parts),
            12 => Fault::ListFrozen {},
            13 => Fault::Killed { which: self.forwarder_selector() },
            14 => Fault::Shift { which: self.forwarder_selector(), share: self.share(0.3, 0.9) },
            15 => Fault::Burst { times: self.amount(1.3, 2.5) },
            _ => {
                let position = self.position(parts.programs.len());
                let program = parts.programs[position].name.clone();
                Fault::Surge { program, times: self.amount(2.0, 5.0) }
            }
        }
    }

    /// One of the twelve faults of endpoints.
    fn endpoint_fault(&mut self, number: u32, parts: &NamedParts) -> Fault {
        // Before the selector is drawn, unlike the values of other faults.
        let category = (number == 8).then(|| self.position(parts.categories.len()));
        let whom = self.endpoint_selector();
        match number {
            0 => Fault::Refused { whom },
            1 => Fault::Silent { whom },
            2 => Fault::Hang { whom },
            3 => Fault::Shut { whom },
            4 => Fault::FastErrors { whom, share: self.share(0.3, 1.0) },
            5 => Fault::Slow { whom, times: self.amount(1.5, 6.0) },
            6 => Fault::Pauses { whom, each_s: self.span(0.1, 0.6), every_s: self.span(1.0, 4.0) },
            7 => Fault::HeavyTail { whom, share: self.share(0.01, 0.1), times: self.uniform(4.0, 25.0) },
            8 => {
                let category = parts.categories[category.unwrap_or_default()].name.clone();
                Fault::CategoryFails { whom, category }
            }
            9 => Fault::AnswersLost { whom, share: self.share(0.1, 1.0) },
            10 => Fault::Replaced { whom },
            _ => Fault::Leaves { whom },
        }
    }

    fn schedule(&mut self, duration: f64, parts: &NamedParts) -> Vec<Scheduled> {
        (0..self.count(0, 4))
            .map(|_| Scheduled {
                at: Span::clamped(self.number(3.0, duration * 0.7)),
                lasts: self.span(1.0, 15.0),
                what: self.fault(parts),
            })
            .collect()
    }
}

/// Parts of a scenario.
impl ScenarioGenerator {
    fn fleet_size(&mut self) -> FleetSize {
        let forwarders = self.one_of(&[1, 2, 3, 3, 5, 8, 12, 25, 60]);
        let duration = self.number(25.0, 45.0);
        let usual_per_s = self.number(15.0, 200.0).max(f64::from(forwarders));
        FleetSize { forwarders, duration, usual_per_s }
    }

    fn categories(&mut self) -> Vec<Category> {
        (0..self.count(1, 3)).map(|number| self.category(number)).collect()
    }

    fn category(&mut self, number: u32) -> Category {
        let latency_objective = self.number(1.0, 4.0);
        Category {
            name: format!("category-{number}"),
            part: self.amount(0.5, 2.0),
            effect: self.idempotency(),
            promised: Span::clamped(latency_objective),
            outer_limit: Span::clamped(two_decimals(latency_objective * self.number(2.0, 8.0))),
            credit: self.amount(0.5, 3.0),
            late_credit: self.share(0.2, 0.6),
            decay: if self.chance(0.5) { Decay::Line } else { Decay::Halves },
            work_ms: Distribution::Drawn(RandomDistribution::LogNormal {
                median: self.number(30.0, 350.0),
                sigma: self.number(0.1, 0.7),
            }),
            ordered_keys: self.chance(0.2).then(|| self.count(5, 200)),
        }
    }

    fn idempotency(&mut self) -> ClassIdempotency {
        match self.count(0, 2) {
            0 => ClassIdempotency::Pure,
            1 => ClassIdempotency::Receipted(self.span(3.0, 12.0)),
            _ => ClassIdempotency::Effectful,
        }
    }

    fn programs(&mut self, usual_per_s: f64) -> Vec<Program> {
        (0..self.count(1, 3)).map(|number| self.program(number, usual_per_s)).collect()
    }

    fn program(&mut self, number: u32, usual_per_s: f64) -> Program {
        Program {
            name: format!("program-{number}"),
            part: self.amount(0.5, 3.0),
            share_per_s: self.chance(0.3).then(|| Amount::clamped(usual_per_s * 0.6)),
            returns: self.count(0, 2),
            return_after_s: self.uniform(0.2, 2.0),
            heeds: self.share(0.0, 1.0),
            withdraws_after_s: self.chance(0.15).then(|| self.uniform(2.0, 15.0)),
            bunch: Distribution::Told(1.0),
        }
    }

    fn destination_kinds(&mut self) -> Vec<Kind> {
        (0..self.count(1, 2)).map(|number| self.destination_kind(number)).collect()
    }

    fn destination_kind(&mut self, number: u32) -> Kind {
        Kind {
            name: format!("kind-{number}"),
            destinations: self.count(1, 20),
            targets: self.uniform(1.0, 3.4),
            traffic: self.amount(0.5, 4.0),
            apart: self.chance(0.3),
            batch: self.one_of(&[1, 1, 1, 4, 20]),
            limit: self.request_limit(),
            headroom: self.uniform(0.9, 2.0),
            least_per_s: self.amount(1.0, 4.0),
            spare: self.uniform(1.1, 1.6),
            queue_s: self.uniform(0.2, 1.0),
            pace: self.uniform(0.5, 2.0),
            told_waits: self.share(0.0, 1.0),
            refused_use_up: self.chance(0.3),
            connections: self.chance(0.2).then(|| self.count(8, 40)),
            runs_on: self.share(0.3, 1.0),
        }
    }

    fn request_limit(&mut self) -> Limit {
        match self.count(0, 3) {
            0 => Limit::None,
            1 => Limit::Rate,
            _ => Limit::Span(Span::clamped(self.one_of(&[1.0, 2.0, 4.0]))),
        }
    }

    /// A fleet with capacity in proportion to its traffic and to the work of its messages.
    fn fleet(&mut self, size: &FleetSize, categories: &[Category]) -> Fleet {
        let work_ms: f64 = categories.iter().map(|category| category.work_ms.mean()).sum();
        let mean_work_s = work_ms / categories.len() as f64 / 1e3;
        let per_forwarder = size.usual_per_s / f64::from(size.forwarders);
        Fleet {
            forwarders: size.forwarders,
            zones: self.count(1, 3),
            slots: ((per_forwarder * mean_work_s * 1.3 * self.number(1.4, 3.0)).ceil() as u32).max(2),
            room: ((per_forwarder * self.number(4.0, 14.0)).ceil() as u32).max(8),
            dispatch_cap: self.count(3, 12),
            tick: Span::millis(5),
            come_back: self.chance(0.6).then(|| self.span(1.0, 5.0)),
            ledger: self.chance(0.4),
            uneven: if self.chance(0.2) { self.share(0.1, 0.5) } else { Share::NONE },
            drain_grace: self.span(0.5, 2.0),
            key_rest: self.span(1.0, 4.0),
            answer_slack: Span::millis(20),
        }
    }

    fn traffic(&mut self, usual_per_s: f64) -> Traffic {
        Traffic {
            usual_per_s: Amount::clamped(usual_per_s),
            load: self.amount(0.4, 1.25),
            skew: self.number(0.0, 1.2),
            clumped: if self.chance(0.5) { self.share(0.05, 0.25) } else { Share::NONE },
            clump: self.uniform(3.0, 20.0),
        }
    }

    fn endpoint_list(&mut self) -> EndpointListSettings {
        EndpointListSettings {
            delay_s: self.uniform(0.2, 5.0),
            weights: if self.chance(0.5) { Weights::Rates } else { Weights::None },
            weight_error: self.uniform(0.5, 1.5),
        }
    }

    /// How destinations bear load after an outage.
    fn recovery(&mut self) -> Returning {
        Returning {
            cold_from: self.share(0.15, 0.3),
            warm_within: self.span(6.0, 14.0),
            fall_multiple: self.amount(1.5, 2.5),
            tip_after: self.span(1.5, 4.0),
            stays_down: Span::millis(60_000),
        }
    }
}

fn two_decimals(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// The random scenario of a seed: the same seed always gives the same scenario.
#[must_use]
pub fn random_scenario(seed: u64) -> Scenario {
    let mut generator = ScenarioGenerator(Chance::seed_from_u64(seed ^ SCENARIO_STREAM));
    let size = generator.fleet_size();
    let categories = generator.categories();
    let programs = generator.programs(size.usual_per_s);
    let kinds = generator.destination_kinds();
    let parts = NamedParts { categories, programs };
    let troubles = generator.schedule(size.duration, &parts);
    Scenario {
        version: VERSION,
        name: format!("drawn-{seed}"),
        about: String::new(),
        lasts: Span::clamped(size.duration),
        fleet: generator.fleet(&size, &parts.categories),
        traffic: generator.traffic(size.usual_per_s),
        network: Network::default(),
        list: generator.endpoint_list(),
        notes: Notes::default(),
        returning: generator.recovery(),
        categories: parts.categories,
        programs: parts.programs,
        kinds,
        troubles,
        found: None,
    }
}
