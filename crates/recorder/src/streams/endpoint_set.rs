//! The endpoints of a stream: their entries in the endpoint list, and how they currently respond.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg32;
use reeddock::{AttemptOutcome, DestinationId, EndpointId, EndpointState};

use super::setup::{draw_millis, round_up, StreamSetup, ZONES};

#[derive(Clone, Debug)]
pub struct ListEntry {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    pub state: EndpointState,
    pub weight: Option<f64>,
    pub zone: &'static str,
    pub kind: String,
}

/// The outcome of an attempt, and the time from its start to the outcome.
pub struct PlannedOutcome {
    pub outcome: AttemptOutcome,
    pub after: Duration,
}

impl PlannedOutcome {
    fn new(outcome: AttemptOutcome, after: Duration) -> PlannedOutcome {
        PlannedOutcome { outcome, after }
    }
}

/// How an endpoint currently responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointBehavior {
    Healthy,
    Slow,
    Rejecting,
    RejectingWithRetryAfter,
    Failing,
    Silent,
    Unreachable,
    Erratic,
}

const FAULTY_BEHAVIORS: [EndpointBehavior; 7] = [
    EndpointBehavior::Slow,
    EndpointBehavior::Rejecting,
    EndpointBehavior::RejectingWithRetryAfter,
    EndpointBehavior::Failing,
    EndpointBehavior::Silent,
    EndpointBehavior::Unreachable,
    EndpointBehavior::Erratic,
];

/// The endpoints as discovery currently lists them; the policy may not have received the latest entries.
pub struct EndpointSet {
    pub entries: BTreeMap<EndpointId, ListEntry>,
    /// Behavior by endpoint; endpoints without an entry are healthy.
    behaviors: BTreeMap<EndpointId, EndpointBehavior>,
    next_id: u32,
}

impl EndpointSet {
    /// Draws the endpoints at the start of a stream.
    pub fn draw(setup: &StreamSetup, random: &mut Pcg32) -> EndpointSet {
        let mut endpoints = EndpointSet { entries: BTreeMap::new(), behaviors: BTreeMap::new(), next_id: 1 };
        for _ in 0..setup.size.endpoints {
            endpoints.add(setup, random);
        }
        endpoints
    }

    /// Adds an endpoint with a new id, and returns the id.
    pub fn add(&mut self, setup: &StreamSetup, random: &mut Pcg32) -> EndpointId {
        let id = EndpointId(self.next_id);
        self.next_id += 1;
        // The first endpoints cover all destinations.
        let index = u64::from(id.0) - 1;
        let destinations = setup.size.destinations;
        let destination = if index < destinations { index } else { random.random_range(0..destinations) };
        let entry = ListEntry {
            endpoint: id,
            destination: DestinationId(destination + 1),
            state: EndpointState::Active,
            weight: draw_weight(random),
            zone: ZONES.choose(random).copied().unwrap_or(ZONES[0]),
            kind: draw_kind(setup, destination, random),
        };
        self.entries.insert(id, entry);
        id
    }

    /// Draws an endpoint of the list; returns `None` if the list is empty.
    pub fn draw_endpoint(&self, random: &mut Pcg32) -> Option<EndpointId> {
        let index = random.random_range(0..self.entries.len().max(1));
        self.entries.keys().nth(index).copied()
    }

    /// Changes or adds an entry, and returns its endpoint.
    pub fn change_entry(&mut self, setup: &StreamSetup, random: &mut Pcg32) -> EndpointId {
        let existing = self.draw_endpoint(random).filter(|_| random.random_bool(0.85));
        let Some(id) = existing else { return self.add(setup, random) };
        let Some(entry) = self.entries.get_mut(&id) else { return id };
        match random.random_range(0..10_u32) {
            0..=2 => entry.state = EndpointState::Removed,
            3..=4 => entry.state = EndpointState::Draining,
            5..=6 => entry.state = EndpointState::Active,
            7 => entry.weight = draw_weight(random),
            8 => entry.zone = ZONES.choose(random).copied().unwrap_or(ZONES[0]),
            _ => entry.destination = DestinationId(random.random_range(1..=setup.size.destinations)),
        }
        id
    }

    /// Removes most endpoints from the list.
    pub fn remove_most(&mut self, random: &mut Pcg32) {
        let kept_share = random.random_range(0.0..0.3);
        self.entries.retain(|_, _| random.random_bool(kept_share));
    }

    /// Starts or ends a fault at one endpoint, or at all endpoints of its destination.
    pub fn change_behaviors(&mut self, random: &mut Pcg32) {
        let Some(id) = self.draw_endpoint(random) else { return };
        let behavior = FAULTY_BEHAVIORS
            .choose(random)
            .copied()
            .filter(|_| random.random_bool(0.6))
            .unwrap_or(EndpointBehavior::Healthy);
        let destination = self.entries[&id].destination;
        let whole_destination = random.random_bool(0.6);
        for (other, entry) in &self.entries {
            if *other == id || whole_destination && entry.destination == destination {
                self.behaviors.insert(*other, behavior);
            }
        }
    }

    /// Draws the outcome of an attempt that starts now; attempts without a response in time end as timed out.
    pub fn plan_outcome(
        &self,
        endpoint: EndpointId,
        response_within: Duration,
        setup: &StreamSetup,
        random: &mut Pcg32,
    ) -> PlannedOutcome {
        let behavior = self.behaviors.get(&endpoint).copied().unwrap_or(EndpointBehavior::Healthy);
        let planned = draw_outcome(behavior, response_within, setup.time_granularity, random);
        let after = round_up(planned.after, setup.time_granularity);
        if after >= response_within {
            PlannedOutcome::new(AttemptOutcome::TimedOut, response_within)
        } else {
            PlannedOutcome::new(planned.outcome, after)
        }
    }
}

/// Draws a weight: usually a rate, sometimes none or an invalid or extreme number.
fn draw_weight(random: &mut Pcg32) -> Option<f64> {
    match random.random_range(0..10_u32) {
        0 => None,
        1 => [f64::NAN, f64::INFINITY, 0.0, -1.0, 1e-9, 1e12].choose(random).copied(),
        2..=5 => Some(f64::from(random.random_range(1_u32..40))),
        _ => Some(random.random_range(0.1..200.0)),
    }
}

/// Draws an endpoint kind: usually the same for all endpoints of a destination, rarely one missing in the
/// settings.
fn draw_kind(setup: &StreamSetup, destination: u64, random: &mut Pcg32) -> String {
    if random.random_bool(0.03) {
        return "unknown".to_owned();
    }
    let usual = destination as usize % setup.kinds.len();
    let index = if random.random_bool(0.95) { usual } else { random.random_range(0..setup.kinds.len()) };
    setup.kinds[index].clone()
}

/// Draws the outcome of an attempt at an endpoint with this behavior.
fn draw_outcome(
    behavior: EndpointBehavior,
    response_within: Duration,
    time_granularity: Duration,
    random: &mut Pcg32,
) -> PlannedOutcome {
    match behavior {
        EndpointBehavior::Healthy => {
            let outcome = draw_healthy_outcome(random, time_granularity);
            PlannedOutcome::new(outcome, draw_millis(random, 2, 150))
        }
        EndpointBehavior::Slow => {
            let after = response_within.mul_f64(random.random_range(0.2..1.3));
            PlannedOutcome::new(AttemptOutcome::Completed, after)
        }
        EndpointBehavior::Rejecting => {
            PlannedOutcome::new(AttemptOutcome::Rejected { retry_after: None }, draw_millis(random, 1, 20))
        }
        EndpointBehavior::RejectingWithRetryAfter => {
            let retry_after = Some(draw_retry_after(random, time_granularity));
            PlannedOutcome::new(AttemptOutcome::Rejected { retry_after }, draw_millis(random, 1, 20))
        }
        EndpointBehavior::Failing if random.random_bool(0.5) => {
            PlannedOutcome::new(AttemptOutcome::Error, draw_millis(random, 1, 60))
        }
        EndpointBehavior::Failing => {
            PlannedOutcome::new(AttemptOutcome::ConnectionReset, draw_millis(random, 1, 400))
        }
        EndpointBehavior::Silent => PlannedOutcome::new(AttemptOutcome::TimedOut, response_within),
        EndpointBehavior::Unreachable => {
            PlannedOutcome::new(AttemptOutcome::NoConnection, draw_millis(random, 0, 1_000))
        }
        EndpointBehavior::Erratic => {
            let outcome = draw_any_outcome(random, time_granularity);
            PlannedOutcome::new(outcome, draw_millis(random, 0, 500))
        }
    }
}

/// Draws an outcome of a healthy endpoint, usually a completed attempt.
fn draw_healthy_outcome(random: &mut Pcg32, time_granularity: Duration) -> AttemptOutcome {
    match random.random_range(0..100_u32) {
        0..=2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Malformed,
        4 => AttemptOutcome::NotSent,
        5..=6 => AttemptOutcome::Rejected {
            retry_after: random.random_bool(0.5).then(|| draw_retry_after(random, time_granularity)),
        },
        _ => AttemptOutcome::Completed,
    }
}

/// Draws any outcome but a cancellation, which only the policy causes.
fn draw_any_outcome(random: &mut Pcg32, time_granularity: Duration) -> AttemptOutcome {
    match random.random_range(0..10_u32) {
        0..=1 => AttemptOutcome::Completed,
        2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Rejected { retry_after: None },
        4 => AttemptOutcome::Rejected { retry_after: Some(draw_retry_after(random, time_granularity)) },
        5 => AttemptOutcome::TimedOut,
        6 => AttemptOutcome::NoConnection,
        7 => AttemptOutcome::ConnectionReset,
        8 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Malformed,
    }
}

/// Draws a Retry-After from zero to longer than most deadlines.
pub fn draw_retry_after(random: &mut Pcg32, time_granularity: Duration) -> Duration {
    let drawn = match random.random_range(0..10_u32) {
        0 => Duration::ZERO,
        1..=4 => draw_millis(random, 10, 900),
        5..=8 => draw_millis(random, 1_000, 5_000),
        _ => draw_millis(random, 20_000, 60_000),
    };
    round_up(drawn, time_granularity)
}
