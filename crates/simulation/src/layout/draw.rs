//! Draws a world from its scenario.

use rand::RngExt;

use super::plan::{DestinationPlan, EndpointPlan, FleetLayout, ForwarderPlan};
use crate::distribution::RandomSource;
use crate::ids::{DestinationIndex, EndpointIndex};
use crate::limit::RequestLimit;
use crate::random_streams::RandomStream;
use crate::scenario::{DestinationKind, Fleet, RateLimit, Scenario};

/// Floor of drawn factors of the work's time, so that work takes some.
const MIN_WORK_FACTOR: f64 = 0.001;
/// Floor of a drawn headroom or spare capacity, so that limits and capacities are over zero.
const MIN_CAPACITY_FACTOR: f64 = 0.01;
/// Endpoints of one destination at most.
const MAX_ENDPOINTS: f64 = 1000.0;
/// Requests that may queue at one endpoint at most.
const MAX_QUEUED: f64 = 1e5;

/// A destination's kind and what part of the traffic it gets, before they are ranked by it.
struct RankedDestination {
    /// Index of its kind in the scenario.
    kind: usize,
    traffic_weight: f64,
}

/// What the traffic of a usual day asks of all destinations together.
struct ExpectedTraffic {
    /// Sum of the destinations' traffic weights.
    total_weight: f64,
    /// Mean work of a message at a destination of usual speed, in seconds.
    mean_work_s: f64,
}

impl FleetLayout {
    /// Draws the world of a seed.
    pub fn draw(scenario: &Scenario, seed: u64) -> FleetLayout {
        let mut random = RandomStream::Layout.open(seed);
        let ranked = rank_destinations(scenario, &mut random);
        let traffic = ExpectedTraffic {
            total_weight: ranked.iter().map(|destination| destination.traffic_weight).sum(),
            mean_work_s: mean_work_seconds(scenario),
        };
        let mut layout = FleetLayout {
            destinations: Vec::new(),
            endpoints: Vec::new(),
            forwarders: plan_forwarders(&scenario.fleet),
        };
        for destination in &ranked {
            layout.draw_destination(scenario, destination, &traffic, &mut random);
        }
        layout
    }

    /// Draws a destination and its endpoints.
    fn draw_destination(
        &mut self,
        scenario: &Scenario,
        ranked: &RankedDestination,
        traffic: &ExpectedTraffic,
        random: &mut RandomSource,
    ) {
        let kind = &scenario.kinds[ranked.kind];
        let traffic_part = ranked.traffic_weight / traffic.total_weight;
        let baseline_per_s = traffic_part * scenario.traffic.baseline_per_s.get();
        let work_factor = kind.work_factor.draw(random).max(MIN_WORK_FACTOR);
        let limit_per_s = draw_limit(kind, baseline_per_s, random);
        let capacity_per_s = limit_per_s * kind.capacity_factor.draw(random).max(MIN_CAPACITY_FACTOR);
        let endpoint_count = kind.endpoints.draw(random).round().clamp(1.0, MAX_ENDPOINTS) as usize;
        let weight_error = scenario.endpoint_list.weight_error.draw(random);
        let limits = DestinationLimits::of(kind, limit_per_s, endpoint_count);
        let endpoint_capacity = capacity_per_s / endpoint_count as f64;
        // Whole workers may do a little more than that; what overloads a cold endpoint is what it is built for.
        let workers = (endpoint_capacity * (traffic.mean_work_s * work_factor)).ceil().max(1.0) as usize;
        let destination = DestinationIndex(self.destinations.len());
        let mut endpoints = Vec::new();
        for position in 0..endpoint_count {
            endpoints.push(EndpointIndex(self.endpoints.len()));
            let max_queued = (kind.queue_s.draw(random) * endpoint_capacity).round();
            self.endpoints.push(EndpointPlan {
                destination,
                zone: ((destination.0 + position) % scenario.fleet.zones as usize) as u32,
                workers,
                max_queued: max_queued.clamp(1.0, MAX_QUEUED) as usize,
                capacity_per_s: endpoint_capacity,
                limit: limits.of_each_endpoint.clone(),
                listed_rate: Some(limits.rate_of_an_entry * weight_error),
            });
        }
        self.destinations.push(DestinationPlan {
            kind: ranked.kind,
            traffic_part,
            baseline_per_s,
            work_factor,
            limit: limits.shared,
            endpoints,
        });
    }
}

/// Draws the requests a second that a destination accepts.
fn draw_limit(kind: &DestinationKind, baseline_per_s: f64, random: &mut RandomSource) -> f64 {
    let headroom = kind.headroom.draw(random).max(MIN_CAPACITY_FACTOR);
    (baseline_per_s * headroom).max(kind.min_limit_per_s.get())
}

/// The limits of a destination and its endpoints.
struct DestinationLimits {
    /// The limit that all endpoints share; open where each has its own.
    shared: RequestLimit,
    /// The limit of each endpoint by itself; open where they share one.
    of_each_endpoint: RequestLimit,
    /// Requests a second that an endpoint's entry on the list stands for.
    rate_of_an_entry: f64,
}

impl DestinationLimits {
    /// Divides a limit in requests a second, where each endpoint of the kind has a limit of its own.
    fn of(kind: &DestinationKind, limit_per_s: f64, endpoint_count: usize) -> DestinationLimits {
        if kind.circuit_per_endpoint {
            let rate_of_an_entry = limit_per_s / endpoint_count as f64;
            let of_each_endpoint = request_limit(kind, rate_of_an_entry);
            DestinationLimits { shared: RequestLimit::Open, of_each_endpoint, rate_of_an_entry }
        } else {
            let shared = request_limit(kind, limit_per_s);
            DestinationLimits { shared, of_each_endpoint: RequestLimit::Open, rate_of_an_entry: limit_per_s }
        }
    }
}

/// Draws which kind each rank of the skew belongs to, and sorts by traffic weight, the largest first.
fn rank_destinations(scenario: &Scenario, random: &mut RandomSource) -> Vec<RankedDestination> {
    let mut kinds: Vec<usize> = Vec::new();
    for (index, kind) in scenario.kinds.iter().enumerate() {
        kinds.extend(std::iter::repeat_n(index, kind.destinations as usize));
    }
    for last in (1..kinds.len()).rev() {
        kinds.swap(last, random.random_range(0..=last));
    }
    let skew = scenario.traffic.skew;
    let weight_of =
        |rank: usize, kind: usize| scenario.kinds[kind].traffic_weight.get() / (rank as f64 + 1.0).powf(skew);
    let mut ranked: Vec<RankedDestination> = kinds
        .into_iter()
        .enumerate()
        .map(|(rank, kind)| RankedDestination { kind, traffic_weight: weight_of(rank, kind) })
        .collect();
    ranked.sort_by(|a, b| b.traffic_weight.total_cmp(&a.traffic_weight));
    ranked
}

/// Mean work of a message over all classes, in seconds.
fn mean_work_seconds(scenario: &Scenario) -> f64 {
    let works = scenario.classes.iter().map(|class| class.traffic_weight.get() * class.work_ms.mean() / 1e3);
    let parts: f64 = scenario.classes.iter().map(|class| class.traffic_weight.get()).sum();
    works.sum::<f64>() / parts
}

fn request_limit(kind: &DestinationKind, per_s: f64) -> RequestLimit {
    match kind.rate_limit {
        RateLimit::None => RequestLimit::Open,
        RateLimit::TokenBucket => RequestLimit::token_bucket(per_s),
        RateLimit::FixedWindow(window) => RequestLimit::fixed_window(per_s, window.0),
    }
}

/// Gives each forwarder the same part of the even share of the traffic, and half of what is left of the uneven share.
fn plan_forwarders(fleet: &Fleet) -> Vec<ForwarderPlan> {
    let unevenness = fleet.unevenness.get();
    let count = fleet.forwarders as usize;
    let uneven_part = |index: usize| {
        if index + 1 == count {
            0.5_f64.powi(index as i32)
        } else {
            0.5_f64.powi(index as i32 + 1)
        }
    };
    (0..count)
        .map(|index| ForwarderPlan {
            zone: index as u32 % fleet.zones,
            traffic_part: (1.0 - unevenness) / count as f64 + unevenness * uneven_part(index),
        })
        .collect()
}
