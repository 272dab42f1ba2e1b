//! What forwarders lose by sharing nothing of destinations that are down: fleets of several sizes in which each
//! forwarder meets each destination as seldom as at the endpoint, the delivery policy beside circuits that are fed by all.

use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_simulation::distribution::Span;
use reeddock_simulation::fault::{EndpointSelector, Fault};
use reeddock_simulation::observed::SentToDown;
use reeddock_simulation::policies::sharing::{open_sharing_policy, CircuitExchange};
use reeddock_simulation::scenario::ScheduledFault;
use reeddock_simulation::{observe, BuiltInPolicy, Scenario};
use serde::Serialize;

use crate::results::Spread;
use crate::runs::Lab;
use crate::ExperimentError;

/// The terms of a study.
#[derive(Clone, Debug)]
pub struct Sharing {
    /// Sizes of the fleet.
    pub forwarders: Vec<u32>,
    /// Seconds between two meetings of a forwarder with a destination, in the mean.
    pub meet_every: f64,
    /// Share of the destinations that is down at any time.
    pub down: f64,
    /// Seconds that an outage lasts.
    pub outage: f64,
    /// Most forwarders times destinations that are played.
    pub cells: u64,
    /// Destinations of the real fleet, which rates are scaled up to.
    pub full: u64,
    pub seeds: u64,
}

/// Most destinations that are played for small fleets.
const MOST_DESTINATIONS: u64 = 1_000;
/// Fewest that still give figures.
const LEAST_DESTINATIONS: u64 = 30;
/// Streams of the outages, beside those of the simulation.
const OUTAGES: u64 = 0x6f75_7461;

/// What decides, and what it knows of the others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sharer {
    DeliveryPolicyAdapter,
    /// A plain circuit fed by what its own forwarder saw.
    Alone,
    /// The same circuit fed by all, after a delay.
    Shared(Duration),
    /// Sees which destinations are down.
    Ideal,
}

const SHARERS: [Sharer; 5] = [
    Sharer::DeliveryPolicyAdapter,
    Sharer::Alone,
    Sharer::Shared(Duration::from_secs(1)),
    Sharer::Shared(Duration::ZERO),
    Sharer::Ideal,
];

impl Sharer {
    fn name(self) -> String {
        match self {
            Sharer::DeliveryPolicyAdapter => "module, shares nothing".to_owned(),
            Sharer::Alone => "circuit, shares nothing".to_owned(),
            Sharer::Shared(delay) if delay.is_zero() => "circuit, shared at once".to_owned(),
            Sharer::Shared(delay) => format!("circuit, shared after {} s", delay.as_secs_f64()),
            Sharer::Ideal => "sees the true state".to_owned(),
        }
    }

    /// Plays one day.
    fn play(self, scenario: &Scenario, seed: u64) -> Day {
        let run = match self {
            Sharer::DeliveryPolicyAdapter => observe(scenario, seed, "module", &|now, terms, host| {
                BuiltInPolicy::DeliveryPolicy.open(now, terms, host)
            }),
            Sharer::Ideal => observe(scenario, seed, "ideal", &|now, terms, host| {
                BuiltInPolicy::UpperBound.open(now, terms, host)
            }),
            Sharer::Alone => observe(scenario, seed, "alone", &|_, terms, _| {
                open_sharing_policy(&Arc::new(Mutex::new(CircuitExchange::new(Duration::ZERO))), terms)
            }),
            Sharer::Shared(delay) => {
                let exchange = Arc::new(Mutex::new(CircuitExchange::new(delay)));
                observe(scenario, seed, "shared", &|_, terms, _| open_sharing_policy(&exchange, terms))
            }
        };
        Day {
            credit: run.report.credit,
            rules_broken: run.report.rules_broken,
            first_tries: run.report.submissions,
            down: run.observed.down,
        }
    }
}

struct Day {
    credit: f64,
    rules_broken: usize,
    first_tries: u64,
    down: SentToDown,
}

/// One fleet size and one way to decide, over all seeds. Rates are scaled up to the full number of destinations.
#[derive(Clone, Debug, Serialize)]
pub struct SharingRow {
    pub forwarders: u32,
    /// Destinations that were played.
    pub destinations: u64,
    pub policy: String,
    pub seeds: u64,
    /// Dispatches a second over the fleet to destinations that were down.
    pub trials_per_s: Spread,
    /// New connections a second over the fleet that were asked for there.
    pub connections_per_s: Spread,
    /// Dispatches there for each message that met a destination that was down.
    pub trials_per_envelope: Spread,
    /// Of all messages, those whose first try went to a destination that was down.
    pub first_lost: Spread,
    /// Of all messages, those whose first try went to one that some forwarder knew to be down.
    pub first_lost_to_known: Spread,
    /// Credit, of all messages and of those that met a destination that was down.
    pub credit: Spread,
    pub credit_down: Spread,
    /// Share of the destinations that was down, as it came out.
    pub down: Spread,
    pub rules_broken: usize,
}

/// A table of fleet sizes.
#[derive(Clone, Debug, Serialize)]
pub struct SharingTable {
    pub scenario: String,
    pub rows: Vec<SharingRow>,
}

impl Sharing {
    /// Whether all figures make sense.
    fn check(&self) -> std::result::Result<(), ExperimentError> {
        let within = |what: &str, value: f64, low: f64, high: f64| {
            let told = || ExperimentError::line(format!("{what} is {value}: expected {low} to {high}"));
            (low..=high).contains(&value).then_some(()).ok_or_else(told)
        };
        for forwarders in &self.forwarders {
            within("--forwarders", f64::from(*forwarders), 1.0, 10_000.0)?;
        }
        within("--meet-every", self.meet_every, 1.0, 1e6)?;
        within("--down", self.down, 0.001, 0.5)?;
        within("--outage", self.outage, 1.0, 3600.0)?;
        within("--cells", self.cells as f64, 1e3, 1e7)?;
        within("--full", self.full as f64, 100.0, 1e7)?;
        within("--seeds", self.seeds as f64, 1.0, 1e4)
    }

    fn destinations(&self, forwarders: u32) -> u64 {
        (self.cells / u64::from(forwarders.max(1))).clamp(LEAST_DESTINATIONS, MOST_DESTINATIONS)
    }

    /// The scenario for one fleet and one day: sizes and traffic in proportion, outages drawn anew.
    fn scenario(
        &self,
        text: &str,
        file: &str,
        forwarders: u32,
        seed: u64,
    ) -> std::result::Result<Scenario, ExperimentError> {
        let destinations = self.destinations(forwarders);
        let per_s = f64::from(forwarders) * destinations as f64 / self.meet_every;
        let instead = [
            ("fleet.forwarders", forwarders.to_string()),
            ("kind.0.destinations", destinations.to_string()),
            ("traffic.usual_per_s", format!("{per_s:.6}")),
        ];
        let instead: Vec<_> = instead.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
        let mut scenario = Scenario::parse(file, text, &instead)?;
        scenario.faults = self.outages(destinations, scenario.duration.seconds(), seed);
        Ok(scenario)
    }

    /// Outages of each destination, as they stand when up and down have alternated for long.
    fn outages(&self, destinations: u64, lasts: f64, seed: u64) -> Vec<ScheduledFault> {
        let mut chance = Pcg32::seed_from_u64(seed ^ OUTAGES);
        let mean_up = self.outage * (1.0 - self.down) / self.down;
        let mut all = Vec::new();
        for destination in 0..destinations {
            let mut at = -self.outage * chance.random::<f64>();
            if chance.random::<f64>() >= self.down {
                at = -mean_up * (1.0 - chance.random::<f64>()).ln();
            }
            while at < lasts {
                let from = at.max(0.0);
                let endpoints = EndpointSelector {
                    destinations: vec![destination as u32],
                    ..EndpointSelector::default()
                };
                all.push(ScheduledFault {
                    start: Span::clamped(from),
                    duration: Span::clamped(at + self.outage - from),
                    fault: Fault::ConnectionsRefused { endpoints },
                });
                at += self.outage - mean_up * (1.0 - chance.random::<f64>()).ln();
            }
        }
        all
    }
}

impl Lab {
    /// Plays fleets of each size, with each way to decide, over the seeds from 1 up.
    pub fn sharing(&self, file: &Path, what: &Sharing) -> std::result::Result<SharingTable, ExperimentError> {
        what.check()?;
        let text = std::fs::read_to_string(file)
            .map_err(|e| ExperimentError::line(format!("{}: cannot be read: {e}", file.display())))?;
        let name = file.display().to_string();
        let plain = Scenario::parse(&name, &text, &[])?;
        let mut scenarios = Vec::new();
        for forwarders in &what.forwarders {
            for seed in 1..=what.seeds {
                scenarios.push((*forwarders, seed, what.scenario(&text, &name, *forwarders, seed)?));
            }
        }
        let of_fleet = |f: u32| scenarios.iter().filter(move |s| s.0 == f);
        let mut runs = Vec::new();
        for forwarders in &what.forwarders {
            for sharer in SHARERS {
                runs.extend(of_fleet(*forwarders).map(|(_, seed, scenario)| (scenario, *seed, sharer)));
            }
        }
        let days = self.gather(&runs, "sharing", |(scenario, seed, sharer)| sharer.play(scenario, *seed))?;
        let mut rows = Vec::new();
        for (n, days) in days.chunks(what.seeds as usize).enumerate() {
            let forwarders = what.forwarders[n / SHARERS.len()];
            rows.push(what.row(forwarders, SHARERS[n % SHARERS.len()], days, plain.duration.seconds()));
        }
        Ok(SharingTable { scenario: plain.name, rows })
    }
}

impl Sharing {
    fn row(&self, forwarders: u32, sharer: Sharer, days: &[Day], lasts: f64) -> SharingRow {
        let destinations = self.destinations(forwarders);
        let scale = self.full as f64 / destinations as f64;
        let spread = |f: &dyn Fn(&Day) -> f64| Spread::of(&days.iter().map(f).collect::<Vec<f64>>());
        let per_s = |count: u64| count as f64 / lasts * scale;
        let part = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        SharingRow {
            forwarders,
            destinations,
            policy: sharer.name(),
            seeds: days.len() as u64,
            trials_per_s: spread(&|d| per_s(d.down.attempts)),
            connections_per_s: spread(&|d| per_s(d.down.connections)),
            trials_per_envelope: spread(&|d| part(d.down.attempts, d.down.submitted)),
            first_lost: spread(&|d| part(d.down.first_lost, d.first_tries)),
            first_lost_to_known: spread(&|d| part(d.down.first_lost_to_known, d.first_tries)),
            credit: spread(&|d| d.credit),
            credit_down: spread(&|d| d.down.credit_earned / d.down.credit_asked.max(1e-9)),
            down: spread(&|d| d.down.endpoint_seconds / (destinations as f64 * lasts)),
            rules_broken: days.iter().map(|d| d.rules_broken).sum(),
        }
    }
}

impl SharingTable {
    /// Prints a table, or JSON.
    pub fn print(&self, json: bool) -> std::result::Result<ExitCode, ExperimentError> {
        if json {
            println!("{}", serde_json::to_string(self).map_err(ExperimentError::line)?);
            return Ok(ExitCode::SUCCESS);
        }
        let mut table = Table::new();
        table.load_preset(NOTHING);
        table.set_header([
            "forwarders",
            "destinations",
            "decides",
            "trials/s",
            "+-",
            "connections/s",
            "trials/envelope",
            "first lost %",
            "of it known %",
            "credit",
            "+-",
            "credit of met",
            "+-",
            "down %",
            "broken",
        ]);
        for row in &self.rows {
            table.add_row([
                row.forwarders.to_string(),
                row.destinations.to_string(),
                row.policy.clone(),
                format!("{:.0}", row.trials_per_s.mean),
                format!("{:.0}", row.trials_per_s.deviation),
                format!("{:.0}", row.connections_per_s.mean),
                format!("{:.2}", row.trials_per_envelope.mean),
                format!("{:.3}", 100.0 * row.first_lost.mean),
                format!("{:.3}", 100.0 * row.first_lost_to_known.mean),
                format!("{:.4}", row.credit.mean),
                format!("{:.4}", row.credit.deviation),
                format!("{:.3}", row.credit_down.mean),
                format!("{:.3}", row.credit_down.deviation),
                format!("{:.2}", 100.0 * row.down.mean),
                row.rules_broken.to_string(),
            ]);
        }
        println!("{}, emulated; rates scaled up to the full number of destinations\n{table}", self.scenario);
        Ok(ExitCode::SUCCESS)
    }
}
