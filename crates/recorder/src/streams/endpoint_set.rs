//! The endpoints of a stream: what the list says of each, and how each answers at the time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg32;
use reeddock::{AttemptOutcome, DestinationId, EndpointId, EndpointState};

use super::setup::{millis, rounded, StreamSetup, ZONES};

/// One line of the list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    pub destination: DestinationId,
    pub state: EndpointState,
    pub weight: Option<f64>,
    pub zone: &'static str,
    pub kind: String,
}

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointBehavior {
    Well,
    Slow,
    Refusing,
    RefusingWithWaits,
    Failing,
    Silent,
    Unreachable,
    Erratic,
}

const FAULTY_BEHAVIORS: [EndpointBehavior; 7] = [
    EndpointBehavior::Slow,
    EndpointBehavior::Refusing,
    EndpointBehavior::RefusingWithWaits,
    EndpointBehavior::Failing,
    EndpointBehavior::Silent,
    EndpointBehavior::Unreachable,
    EndpointBehavior::Erratic,
];

/// The list as it stands, whoever was given so yet.
pub struct EndpointSet {
    pub lines: BTreeMap<EndpointId, ListEntry>,
    behaviors: BTreeMap<EndpointId, EndpointBehavior>,
    next: u32,
}

impl EndpointSet {
    pub fn draw(setup: &StreamSetup, random: &mut Pcg32) -> EndpointSet {
        let mut endpoints = EndpointSet { lines: BTreeMap::new(), behaviors: BTreeMap::new(), next: 1 };
        for _ in 0..setup.endpoints {
            endpoints.add(setup, random);
        }
        endpoints
    }

    /// Adds an endpoint under a number that none had.
    pub fn add(&mut self, setup: &StreamSetup, random: &mut Pcg32) -> EndpointId {
        let id = EndpointId(self.next);
        self.next += 1;
        // Each destination has one before any has two.
        let turn = u64::from(id.0) - 1;
        let destination =
            if turn < setup.destinations { turn } else { random.random_range(0..setup.destinations) };
        let line = ListEntry {
            destination: DestinationId(destination + 1),
            state: EndpointState::Active,
            weight: weight(random),
            zone: ZONES.choose(random).copied().unwrap_or(ZONES[0]),
            kind: kind(setup, destination, random),
        };
        self.lines.insert(id, line);
        id
    }

    pub fn any(&self, random: &mut Pcg32) -> Option<EndpointId> {
        let at = random.random_range(0..self.lines.len().max(1));
        self.lines.keys().nth(at).copied()
    }

    /// Changes one line, or adds one; says which.
    pub fn change(&mut self, setup: &StreamSetup, random: &mut Pcg32) -> EndpointId {
        let known = self.any(random).filter(|_| random.random_bool(0.85));
        let Some(id) = known else { return self.add(setup, random) };
        let Some(line) = self.lines.get_mut(&id) else { return id };
        match random.random_range(0..10_u32) {
            0..=2 => line.state = EndpointState::Removed,
            3..=4 => line.state = EndpointState::Draining,
            5..=6 => line.state = EndpointState::Active,
            7 => line.weight = weight(random),
            8 => line.zone = ZONES.choose(random).copied().unwrap_or(ZONES[0]),
            // An endpoint that moves to another destination.
            _ => line.destination = DestinationId(random.random_range(1..=setup.destinations)),
        }
        id
    }

    /// Takes most endpoints off the list.
    pub fn drop_most(&mut self, random: &mut Pcg32) {
        let kept = random.random_range(0.0..0.3);
        self.lines.retain(|_, _| random.random_bool(kept));
    }

    /// Troubles begin or end at one endpoint, or at all of its destination.
    pub fn change_behaviors(&mut self, random: &mut Pcg32) {
        let Some(id) = self.any(random) else { return };
        let behavior = FAULTY_BEHAVIORS
            .choose(random)
            .copied()
            .filter(|_| random.random_bool(0.6))
            .unwrap_or(EndpointBehavior::Well);
        let destination = self.lines[&id].destination;
        let whole = random.random_bool(0.6);
        for (other, line) in &self.lines {
            if *other == id || whole && line.destination == destination {
                self.behaviors.insert(*other, behavior);
            }
        }
    }

    /// How a call that is sent now ends, and after what time.
    pub fn answer(
        &self,
        endpoint: EndpointId,
        response_within: Duration,
        setup: &StreamSetup,
        random: &mut Pcg32,
    ) -> (AttemptOutcome, Duration) {
        let behavior = self.behaviors.get(&endpoint).copied().unwrap_or(EndpointBehavior::Well);
        let (outcome, after) = draw_answer(behavior, response_within, setup.time_step, random);
        let after = rounded(after, setup.time_step);
        if after >= response_within {
            (AttemptOutcome::TimedOut, response_within)
        } else {
            (outcome, after)
        }
    }
}

fn weight(random: &mut Pcg32) -> Option<f64> {
    match random.random_range(0..10_u32) {
        0 => None,
        // Figures that no list should have.
        1 => [f64::NAN, f64::INFINITY, 0.0, -1.0, 1e-9, 1e12].choose(random).copied(),
        2..=5 => Some(f64::from(random.random_range(1_u32..40))),
        _ => Some(random.random_range(0.1..200.0)),
    }
}

/// The endpoints of a destination are usually of one kind; seldom of one that nobody knows.
fn kind(setup: &StreamSetup, destination: u64, random: &mut Pcg32) -> String {
    if random.random_bool(0.03) {
        return "unknown".to_owned();
    }
    let usual = destination as usize % setup.kinds.len();
    let number = if random.random_bool(0.95) { usual } else { random.random_range(0..setup.kinds.len()) };
    setup.kinds[number].clone()
}

fn draw_answer(
    behavior: EndpointBehavior,
    response_within: Duration,
    time_step: Duration,
    random: &mut Pcg32,
) -> (AttemptOutcome, Duration) {
    match behavior {
        EndpointBehavior::Well => (usual_outcome(random, time_step), millis(random, 2, 150)),
        EndpointBehavior::Slow => {
            (AttemptOutcome::Completed, response_within.mul_f64(random.random_range(0.2..1.3)))
        }
        EndpointBehavior::Refusing => (AttemptOutcome::Rejected { retry_after: None }, millis(random, 1, 20)),
        EndpointBehavior::RefusingWithWaits => {
            (AttemptOutcome::Rejected { retry_after: Some(wait(random, time_step)) }, millis(random, 1, 20))
        }
        EndpointBehavior::Failing if random.random_bool(0.5) => {
            (AttemptOutcome::Error, millis(random, 1, 60))
        }
        EndpointBehavior::Failing => (AttemptOutcome::ConnectionReset, millis(random, 1, 400)),
        EndpointBehavior::Silent => (AttemptOutcome::TimedOut, response_within),
        EndpointBehavior::Unreachable => (AttemptOutcome::NoConnection, millis(random, 0, 1_000)),
        EndpointBehavior::Erratic => (any_outcome(random, time_step), millis(random, 0, 500)),
    }
}

fn usual_outcome(random: &mut Pcg32, time_step: Duration) -> AttemptOutcome {
    match random.random_range(0..100_u32) {
        0..=2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Malformed,
        4 => AttemptOutcome::NotSent,
        5..=6 => {
            AttemptOutcome::Rejected { retry_after: random.random_bool(0.5).then(|| wait(random, time_step)) }
        }
        _ => AttemptOutcome::Completed,
    }
}

fn any_outcome(random: &mut Pcg32, time_step: Duration) -> AttemptOutcome {
    match random.random_range(0..10_u32) {
        0..=1 => AttemptOutcome::Completed,
        2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Rejected { retry_after: None },
        4 => AttemptOutcome::Rejected { retry_after: Some(wait(random, time_step)) },
        5 => AttemptOutcome::TimedOut,
        6 => AttemptOutcome::NoConnection,
        7 => AttemptOutcome::ConnectionReset,
        8 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Malformed,
    }
}

/// A wait that a destination asks for, from none to one past most limits.
pub fn wait(random: &mut Pcg32, time_step: Duration) -> Duration {
    let drawn = match random.random_range(0..10_u32) {
        0 => Duration::ZERO,
        1..=4 => millis(random, 10, 900),
        5..=8 => millis(random, 1_000, 5_000),
        _ => millis(random, 20_000, 60_000),
    };
    rounded(drawn, time_step)
}
