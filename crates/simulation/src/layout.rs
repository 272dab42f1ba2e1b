//! The world as it stands before the first message: destinations, endpoints and forwarders, drawn from the
//! scenario by the seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};

use crate::distribution::Chance;
use crate::fault::{EndpointSelector, ForwarderSelector};
use crate::limit::EndpointLimit;
use crate::scenario::{Limit, Scenario};

/// A stream of chance of its own for each use.
pub fn chance(seed: u64, purpose: u64) -> Chance {
    Chance::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(purpose))
}

pub mod purpose {
    pub const LAYOUT: u64 = 1;
    pub const ARRIVALS: u64 = 2;
    pub const SERVICE: u64 = 3;
    pub const NETWORK: u64 = 4;
    pub const CLIENTS: u64 = 5;
    pub const LIST: u64 = 6;
    pub const FORWARDERS: u64 = 7;
    pub const TROUBLES: u64 = 1000;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwarderIndex(pub usize);

/// A destination, by rank of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationIndex(pub usize);

/// A place among the endpoints; what replaces an endpoint gets a place of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

#[derive(Clone, Debug)]
pub struct DestinationPlan {
    pub kind: usize,
    /// Part of all messages.
    pub part: f64,
    /// Messages a second on a usual day.
    pub usual: f64,
    pub pace: f64,
    pub gate: EndpointLimit,
    pub targets: Vec<EndpointIndex>,
}

#[derive(Clone, Debug)]
pub struct EndpointPlan {
    pub destination: DestinationIndex,
    pub zone: u32,
    /// Pieces of work at once.
    pub workers: usize,
    /// Calls that may queue.
    pub queue: usize,
    /// Calls a second that it is built for.
    pub capacity: f64,
    pub gate: EndpointLimit,
    pub listed_weight: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct FleetLayout {
    pub destinations: Vec<DestinationPlan>,
    pub targets: Vec<EndpointPlan>,
    /// Zone and part of the traffic of each forwarder.
    pub forwarders: Vec<(u32, f64)>,
}

impl FleetLayout {
    pub fn draw(scenario: &Scenario, seed: u64) -> FleetLayout {
        let mut chance = chance(seed, purpose::LAYOUT);
        let mut kinds: Vec<usize> = Vec::new();
        for (n, kind) in scenario.kinds.iter().enumerate() {
            kinds.extend(std::iter::repeat_n(n, kind.destinations as usize));
        }
        // Ranks are dealt to kinds at random, and a kind's traffic weighs on top.
        for n in (1..kinds.len()).rev() {
            kinds.swap(n, chance.random_range(0..=n));
        }
        let skew = scenario.traffic.skew;
        let weight = |rank: usize| scenario.kinds[kinds[rank]].traffic.get() / (rank as f64 + 1.0).powf(skew);
        let mut ranked: Vec<(usize, f64)> =
            (0..kinds.len()).map(|rank| (kinds[rank], weight(rank))).collect();
        ranked.sort_by(|a, b| b.1.total_cmp(&a.1));
        let total: f64 = ranked.iter().map(|r| r.1).sum();
        let works = scenario.categories.iter().map(|c| c.part.get() * c.work_ms.mean() / 1e3);
        let parts: f64 = scenario.categories.iter().map(|c| c.part.get()).sum();
        let mean_work = works.sum::<f64>() / parts;

        let mut layout =
            FleetLayout { destinations: Vec::new(), targets: Vec::new(), forwarders: Vec::new() };
        for (kind_no, weight) in ranked {
            let kind = &scenario.kinds[kind_no];
            let part = weight / total;
            let usual = part * scenario.traffic.usual_per_s.get();
            let pace = kind.pace.draw(&mut chance).max(0.001);
            let headroom = kind.headroom.draw(&mut chance).max(0.01);
            let limit = (usual * headroom).max(kind.least_per_s.get());
            let capacity = limit * kind.spare.draw(&mut chance).max(0.01);
            let many = kind.targets.draw(&mut chance).round().clamp(1.0, 1000.0) as usize;
            let gate = |per_s: f64| match kind.limit {
                Limit::None => EndpointLimit::Open,
                Limit::Rate => EndpointLimit::rate(per_s),
                Limit::Span(span) => EndpointLimit::span(per_s, span.0),
            };
            let destination = DestinationIndex(layout.destinations.len());
            let work = mean_work * pace;
            let each = capacity / many as f64;
            // Whole workers may do a little more than that; what tips it over when cold is what it is built for.
            let workers = (each * work).ceil().max(1.0);
            let error = scenario.list.weight_error.draw(&mut chance);
            let mut targets = Vec::new();
            for n in 0..many {
                targets.push(EndpointIndex(layout.targets.len()));
                let listed = limit / if kind.apart { many as f64 } else { 1.0 } * error;
                layout.targets.push(EndpointPlan {
                    destination,
                    zone: ((destination.0 + n) % scenario.fleet.zones as usize) as u32,
                    workers: workers as usize,
                    queue: (kind.queue_s.draw(&mut chance) * each).round().clamp(1.0, 1e5) as usize,
                    capacity: each,
                    gate: if kind.apart { gate(limit / many as f64) } else { EndpointLimit::Open },
                    listed_weight: Some(listed),
                });
            }
            let gate = if kind.apart { EndpointLimit::Open } else { gate(limit) };
            let plan = DestinationPlan { kind: kind_no, part, usual, pace, gate, targets };
            layout.destinations.push(plan);
        }

        let fleet = &scenario.fleet;
        let uneven = fleet.uneven.get();
        // An even part for each, and the rest to few: halves of what is left, as some carry far more.
        let many = fleet.forwarders as usize;
        let more = |n: usize| if n + 1 == many { 0.5_f64.powi(n as i32) } else { 0.5_f64.powi(n as i32 + 1) };
        layout.forwarders = (0..many)
            .map(|n| (n as u32 % fleet.zones, (1.0 - uneven) / many as f64 + uneven * more(n)))
            .collect();
        layout
    }

    /// The endpoints that a fault meets.
    pub fn meets(&self, whom: &EndpointSelector, chance: &mut Chance) -> Vec<EndpointIndex> {
        let destinations: Vec<usize> = match whom.share {
            Some(share) if whom.destinations.is_empty() => {
                let many = (share.get() * self.destinations.len() as f64).ceil() as usize;
                let mut all: Vec<usize> = (0..self.destinations.len()).collect();
                for n in 0..many.min(all.len()) {
                    let other = chance.random_range(n..all.len());
                    all.swap(n, other);
                }
                all.truncate(many);
                all.sort_unstable();
                all
            }
            _ => whom.destinations.iter().map(|d| *d as usize).collect(),
        };
        let mut met = Vec::new();
        for plan in destinations.iter().filter_map(|d| self.destinations.get(*d)) {
            let share = whom.targets.map_or(1.0, |s| s.get());
            let many = (share * plan.targets.len() as f64).ceil().max(1.0) as usize;
            met.extend(plan.targets.iter().take(many));
        }
        met
    }

    pub fn which(&self, which: &ForwarderSelector) -> Vec<ForwarderIndex> {
        let many = |share: f64| (share * self.forwarders.len() as f64).ceil() as usize;
        match which.share {
            Some(share) if which.forwarders.is_empty() => {
                (0..many(share.get())).map(ForwarderIndex).collect()
            }
            _ => which.forwarders.iter().map(|f| ForwarderIndex(*f as usize)).collect(),
        }
    }
}

/// A way from one zone to another costs more than one inside it.
pub fn one_way(scenario: &Scenario, across: bool, chance: &mut Chance) -> Duration {
    let near = scenario.network.one_way_ms.millis(chance);
    let far = scenario.network.across_zones_ms.millis(chance);
    if across {
        near + far
    } else {
        near
    }
}
