//! Draws the initial state of a world from its scenario.

use rand::RngExt;

use super::plan::{DestinationPlan, EndpointPlan, FleetLayout, ForwarderPlan};
use crate::distribution::RandomSource;
use crate::ids::{DestinationIndex, EndpointIndex};
use crate::limit::RequestLimit;
use crate::random_streams::RandomStream;
use crate::scenario::{DestinationKind, Fleet, RateLimit, Scenario};

/// Minimum work factor, so that work takes some time.
const MIN_WORK_FACTOR: f64 = 0.001;
/// Minimum of a drawn headroom or capacity factor, so that limits and capacities are over zero.
const MIN_CAPACITY_FACTOR: f64 = 0.01;
/// Maximum number of endpoints of one destination.
const MAX_ENDPOINTS: f64 = 1000.0;
/// Maximum number of queued requests at one endpoint.
const MAX_QUEUED: f64 = 1e5;

/// Kind and traffic weight of a destination, by which destinations are ranked.
struct RankedDestination {
    /// Index of the destination's kind in the scenario.
    kind: usize,
    traffic_weight: f64,
}

/// Traffic of all destinations at the baseline load.
struct ExpectedTraffic {
    /// Sum of the destinations' traffic weights.
    total_weight: f64,
    /// Mean work of a message at a destination with a work factor of 1, in seconds.
    mean_work_s: f64,
}

impl FleetLayout {
    /// Draws the initial state of the world with this seed.
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
        let limit_per_s = draw_limit_per_s(kind, baseline_per_s, random);
        let capacity_per_s = limit_per_s * kind.capacity_factor.draw(random).max(MIN_CAPACITY_FACTOR);
        let endpoint_count = kind.endpoints.draw(random).round().clamp(1.0, MAX_ENDPOINTS) as usize;
        let weight_error = scenario.endpoint_list.weight_error.draw(random);
        let limits = DestinationLimits::of(kind, limit_per_s, endpoint_count);
        let endpoint_capacity = capacity_per_s / endpoint_count as f64;
        // The number of workers is rounded up, so that they may serve more than `capacity_per_s`; overload is
        // computed from `capacity_per_s`.
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
                limit: limits.per_endpoint.clone(),
                listed_rate: Some(limits.listed_per_s * weight_error),
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

/// Draws the request limit of a destination, in requests a second.
fn draw_limit_per_s(kind: &DestinationKind, baseline_per_s: f64, random: &mut RandomSource) -> f64 {
    let headroom = kind.headroom.draw(random).max(MIN_CAPACITY_FACTOR);
    (baseline_per_s * headroom).max(kind.min_limit_per_s.get())
}

/// Request limits of a destination and its endpoints.
struct DestinationLimits {
    /// Limit shared by all endpoints; unlimited if each endpoint has its own.
    shared: RequestLimit,
    /// Limit of each endpoint; unlimited if the endpoints share one.
    per_endpoint: RequestLimit,
    /// Rate of one entry in the endpoint list, in requests a second.
    listed_per_s: f64,
}

impl DestinationLimits {
    /// Creates the limits, divided among the endpoints if each endpoint of the kind has its own.
    fn of(kind: &DestinationKind, limit_per_s: f64, endpoint_count: usize) -> DestinationLimits {
        if kind.circuit_per_endpoint {
            let listed_per_s = limit_per_s / endpoint_count as f64;
            let per_endpoint = request_limit(kind, listed_per_s);
            DestinationLimits { shared: RequestLimit::Unlimited, per_endpoint, listed_per_s }
        } else {
            let shared = request_limit(kind, limit_per_s);
            DestinationLimits { shared, per_endpoint: RequestLimit::Unlimited, listed_per_s: limit_per_s }
        }
    }
}

/// Assigns the destinations of all kinds to random ranks of the Zipf distribution, and returns the
/// destinations by descending traffic weight.
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

/// Returns the mean work of a message over all classes, in seconds.
fn mean_work_seconds(scenario: &Scenario) -> f64 {
    let weighted_work_s =
        scenario.classes.iter().map(|class| class.traffic_weight.get() * class.work_ms.mean() / 1e3);
    let total_weight: f64 = scenario.classes.iter().map(|class| class.traffic_weight.get()).sum();
    weighted_work_s.sum::<f64>() / total_weight
}

fn request_limit(kind: &DestinationKind, per_s: f64) -> RequestLimit {
    match kind.rate_limit {
        RateLimit::None => RequestLimit::Unlimited,
        RateLimit::TokenBucket => RequestLimit::token_bucket(per_s),
        RateLimit::FixedWindow(window) => RequestLimit::fixed_window(per_s, window.0),
    }
}

/// Distributes zones and traffic over the forwarders. The even share of the traffic is divided equally. Of
/// the uneven share, each forwarder gets half of the part that is left, and the last one gets the rest.
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
