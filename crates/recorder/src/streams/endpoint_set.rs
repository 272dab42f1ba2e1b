//! The endpoints of a stream: what the endpoint list says of each, and how each responds at the time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg32;
use reeddock::{AttemptOutcome, DestinationId, EndpointId, EndpointState};

use super::setup::{millis, rounded_up, StreamSetup, ZONES};

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    pub state: EndpointState,
    pub weight: Option<f64>,
    pub zone: &'static str,
    pub kind: String,
}

/// How a request ends, and after what time.
pub struct PlannedOutcome {
    pub outcome: AttemptOutcome,
    pub after: Duration,
}

impl PlannedOutcome {
    fn new(outcome: AttemptOutcome, after: Duration) -> PlannedOutcome {
        PlannedOutcome { outcome, after }
    }
}

/// How an endpoint responds.
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

/// All behaviors but the healthy one.
const FAULTY_BEHAVIORS: [EndpointBehavior; 7] = [
    EndpointBehavior::Slow,
    EndpointBehavior::Rejecting,
    EndpointBehavior::RejectingWithRetryAfter,
    EndpointBehavior::Failing,
    EndpointBehavior::Silent,
    EndpointBehavior::Unreachable,
    EndpointBehavior::Erratic,
];

/// The endpoints as discovery would list them now, whether or not the policy was told of it yet.
pub struct EndpointSet {
    pub entries: BTreeMap<EndpointId, ListEntry>,
    /// Endpoints that are missing here are healthy.
    behaviors: BTreeMap<EndpointId, EndpointBehavior>,
    next_id: u32,
}

impl EndpointSet {
    /// Draws the endpoints with which a stream starts.
    pub fn draw(setup: &StreamSetup, random: &mut Pcg32) -> EndpointSet {
        let mut endpoints = EndpointSet { entries: BTreeMap::new(), behaviors: BTreeMap::new(), next_id: 1 };
        for _ in 0..setup.size.endpoints {
            endpoints.add(setup, random);
        }
        endpoints
    }

    /// Adds an endpoint under a number that none had.
    pub fn add(&mut self, setup: &StreamSetup, random: &mut Pcg32) -> EndpointId {
        let id = EndpointId(self.next_id);
        self.next_id += 1;
        // Each destination has one endpoint before any has two.
        let index = u64::from(id.0) - 1;
        let destinations = setup.size.destinations;
        let destination = if index < destinations { index } else { random.random_range(0..destinations) };
        let entry = ListEntry {
            endpoint: id,
            destination: DestinationId(destination + 1),
            state: EndpointState::Active,
            weight: weight(random),
            zone: ZONES.choose(random).copied().unwrap_or(ZONES[0]),
            kind: kind(setup, destination, random),
        };
        self.entries.insert(id, entry);
        id
    }

    /// Any endpoint of the list; none where it is empty.
    pub fn any(&self, random: &mut Pcg32) -> Option<EndpointId> {
        let at = random.random_range(0..self.entries.len().max(1));
        self.entries.keys().nth(at).copied()
    }

    /// Changes one entry, or adds one; gives its endpoint.
    pub fn change(&mut self, setup: &StreamSetup, random: &mut Pcg32) -> EndpointId {
        let known = self.any(random).filter(|_| random.random_bool(0.85));
        let Some(id) = known else { return self.add(setup, random) };
        let Some(entry) = self.entries.get_mut(&id) else { return id };
        match random.random_range(0..10_u32) {
            0..=2 => entry.state = EndpointState::Removed,
            3..=4 => entry.state = EndpointState::Draining,
            5..=6 => entry.state = EndpointState::Active,
            7 => entry.weight = weight(random),
            8 => entry.zone = ZONES.choose(random).copied().unwrap_or(ZONES[0]),
            // An endpoint that moves to another destination.
            _ => entry.destination = DestinationId(random.random_range(1..=setup.size.destinations)),
        }
        id
    }

    /// Takes most endpoints off the list.
    pub fn drop_most(&mut self, random: &mut Pcg32) {
        let kept = random.random_range(0.0..0.3);
        self.entries.retain(|_, _| random.random_bool(kept));
    }

    /// A fault starts or ends at one endpoint, or at all of its destination.
    pub fn change_behaviors(&mut self, random: &mut Pcg32) {
        let Some(id) = self.any(random) else { return };
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

    /// Draws how a request that is sent now ends.
    pub fn plan_outcome(
        &self,
        endpoint: EndpointId,
        response_within: Duration,
        setup: &StreamSetup,
        random: &mut Pcg32,
    ) -> PlannedOutcome {
        let behavior = self.behaviors.get(&endpoint).copied().unwrap_or(EndpointBehavior::Healthy);
        let planned = draw_outcome(behavior, response_within, setup.time_step, random);
        let after = rounded_up(planned.after, setup.time_step);
        if after >= response_within {
            PlannedOutcome::new(AttemptOutcome::TimedOut, response_within)
        } else {
            PlannedOutcome::new(planned.outcome, after)
        }
    }
}

/// A weight of the list: mostly a rate, seldom none or a number that makes no sense.
fn weight(random: &mut Pcg32) -> Option<f64> {
    match random.random_range(0..10_u32) {
        0 => None,
        // Weights that no list should have.
        1 => [f64::NAN, f64::INFINITY, 0.0, -1.0, 1e-9, 1e12].choose(random).copied(),
        2..=5 => Some(f64::from(random.random_range(1_u32..40))),
        _ => Some(random.random_range(0.1..200.0)),
    }
}

/// The endpoints of a destination are usually of one kind; seldom of one that the settings do not have.
fn kind(setup: &StreamSetup, destination: u64, random: &mut Pcg32) -> String {
    if random.random_bool(0.03) {
        return "unknown".to_owned();
    }
    let usual = destination as usize % setup.kinds.len();
    let number = if random.random_bool(0.95) { usual } else { random.random_range(0..setup.kinds.len()) };
    setup.kinds[number].clone()
}

/// Draws how a request to an endpoint of this behavior ends.
fn draw_outcome(
    behavior: EndpointBehavior,
    response_within: Duration,
    time_step: Duration,
    random: &mut Pcg32,
) -> PlannedOutcome {
    match behavior {
        EndpointBehavior::Healthy => {
            let outcome = usual_outcome(random, time_step);
            PlannedOutcome::new(outcome, millis(random, 2, 150))
        }
        EndpointBehavior::Slow => {
            let after = response_within.mul_f64(random.random_range(0.2..1.3));
            PlannedOutcome::new(AttemptOutcome::Completed, after)
        }
        EndpointBehavior::Rejecting => {
            PlannedOutcome::new(AttemptOutcome::Rejected { retry_after: None }, millis(random, 1, 20))
        }
        EndpointBehavior::RejectingWithRetryAfter => {
            let retry_after = Some(draw_retry_after(random, time_step));
            PlannedOutcome::new(AttemptOutcome::Rejected { retry_after }, millis(random, 1, 20))
        }
        EndpointBehavior::Failing if random.random_bool(0.5) => {
            PlannedOutcome::new(AttemptOutcome::Error, millis(random, 1, 60))
        }
        EndpointBehavior::Failing => {
            PlannedOutcome::new(AttemptOutcome::ConnectionReset, millis(random, 1, 400))
        }
        EndpointBehavior::Silent => PlannedOutcome::new(AttemptOutcome::TimedOut, response_within),
        EndpointBehavior::Unreachable => {
            PlannedOutcome::new(AttemptOutcome::NoConnection, millis(random, 0, 1_000))
        }
        EndpointBehavior::Erratic => {
            let outcome = any_outcome(random, time_step);
            PlannedOutcome::new(outcome, millis(random, 0, 500))
        }
    }
}

/// Mostly completed.
fn usual_outcome(random: &mut Pcg32, time_step: Duration) -> AttemptOutcome {
    match random.random_range(0..100_u32) {
        0..=2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Malformed,
        4 => AttemptOutcome::NotSent,
        5..=6 => AttemptOutcome::Rejected {
            retry_after: random.random_bool(0.5).then(|| draw_retry_after(random, time_step)),
        },
        _ => AttemptOutcome::Completed,
    }
}

/// Any outcome but a cancellation, which the policy asks for itself.
fn any_outcome(random: &mut Pcg32, time_step: Duration) -> AttemptOutcome {
    match random.random_range(0..10_u32) {
        0..=1 => AttemptOutcome::Completed,
        2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Rejected { retry_after: None },
        4 => AttemptOutcome::Rejected { retry_after: Some(draw_retry_after(random, time_step)) },
        5 => AttemptOutcome::TimedOut,
        6 => AttemptOutcome::NoConnection,
        7 => AttemptOutcome::ConnectionReset,
        8 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Malformed,
    }
}

/// Draws a Retry-After, from none to one past most deadlines.
pub fn draw_retry_after(random: &mut Pcg32, time_step: Duration) -> Duration {
    let drawn = match random.random_range(0..10_u32) {
        0 => Duration::ZERO,
        1..=4 => millis(random, 10, 900),
        5..=8 => millis(random, 1_000, 5_000),
        _ => millis(random, 20_000, 60_000),
    };
    rounded_up(drawn, time_step)
}
