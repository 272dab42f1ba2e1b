//! The endpoints of a stream: what the list says of each, and how each answers at the time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg32;
use reeddock::{AttemptOutcome, DestinationId, EndpointId, EndpointState};

use super::setting::{millis, rounded, Setting, ZONES};

/// One line of the list.
#[derive(Clone, Debug)]
pub struct Line {
    pub destination: DestinationId,
    pub state: EndpointState,
    pub weight: Option<f64>,
    pub zone: &'static str,
    pub kind: String,
}

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mood {
    Well,
    Slow,
    Refusing,
    RefusingWithWaits,
    Failing,
    Silent,
    Unreachable,
    Erratic,
}

const TROUBLES: [Mood; 7] = [
    Mood::Slow,
    Mood::Refusing,
    Mood::RefusingWithWaits,
    Mood::Failing,
    Mood::Silent,
    Mood::Unreachable,
    Mood::Erratic,
];

/// The list as it stands, whoever was told so yet.
pub struct Endpoints {
    pub lines: BTreeMap<EndpointId, Line>,
    moods: BTreeMap<EndpointId, Mood>,
    next: u32,
}

impl Endpoints {
    pub fn draw(setting: &Setting, chance: &mut Pcg32) -> Endpoints {
        let mut endpoints = Endpoints { lines: BTreeMap::new(), moods: BTreeMap::new(), next: 1 };
        for _ in 0..setting.endpoints {
            endpoints.add(setting, chance);
        }
        endpoints
    }

    /// Adds an endpoint under a number that none had.
    pub fn add(&mut self, setting: &Setting, chance: &mut Pcg32) -> EndpointId {
        let id = EndpointId(self.next);
        self.next += 1;
        // Each destination has one before any has two.
        let turn = u64::from(id.0) - 1;
        let destination =
            if turn < setting.destinations { turn } else { chance.random_range(0..setting.destinations) };
        let line = Line {
            destination: DestinationId(destination + 1),
            state: EndpointState::Active,
            weight: weight(chance),
            zone: ZONES.choose(chance).copied().unwrap_or(ZONES[0]),
            kind: kind(setting, destination, chance),
        };
        self.lines.insert(id, line);
        id
    }

    pub fn any(&self, chance: &mut Pcg32) -> Option<EndpointId> {
        let at = chance.random_range(0..self.lines.len().max(1));
        self.lines.keys().nth(at).copied()
    }

    /// Changes one line, or adds one; says which.
    pub fn change(&mut self, setting: &Setting, chance: &mut Pcg32) -> EndpointId {
        let known = self.any(chance).filter(|_| chance.random_bool(0.85));
        let Some(id) = known else { return self.add(setting, chance) };
        let Some(line) = self.lines.get_mut(&id) else { return id };
        match chance.random_range(0..10_u32) {
            0..=2 => line.state = EndpointState::Removed,
            3..=4 => line.state = EndpointState::Draining,
            5..=6 => line.state = EndpointState::Active,
            7 => line.weight = weight(chance),
            8 => line.zone = ZONES.choose(chance).copied().unwrap_or(ZONES[0]),
            // An endpoint that moves to another destination.
            _ => line.destination = DestinationId(chance.random_range(1..=setting.destinations)),
        }
        id
    }

    /// Takes most endpoints off the list.
    pub fn drop_most(&mut self, chance: &mut Pcg32) {
        let kept = chance.random_range(0.0..0.3);
        self.lines.retain(|_, _| chance.random_bool(kept));
    }

    /// Troubles begin or end at one endpoint, or at all of its destination.
    pub fn change_moods(&mut self, chance: &mut Pcg32) {
        let Some(id) = self.any(chance) else { return };
        let mood = TROUBLES.choose(chance).copied().filter(|_| chance.random_bool(0.6)).unwrap_or(Mood::Well);
        let destination = self.lines[&id].destination;
        let whole = chance.random_bool(0.6);
        for (other, line) in &self.lines {
            if *other == id || whole && line.destination == destination {
                self.moods.insert(*other, mood);
            }
        }
    }

    /// How a call that is sent now ends, and after what time.
    pub fn answer(
        &self,
        endpoint: EndpointId,
        response_within: Duration,
        setting: &Setting,
        chance: &mut Pcg32,
    ) -> (AttemptOutcome, Duration) {
        let mood = self.moods.get(&endpoint).copied().unwrap_or(Mood::Well);
        let (outcome, after) = drawn_answer(mood, response_within, setting.grain, chance);
        let after = rounded(after, setting.grain);
        if after >= response_within {
            (AttemptOutcome::TimedOut, response_within)
        } else {
            (outcome, after)
        }
    }
}

fn weight(chance: &mut Pcg32) -> Option<f64> {
    match chance.random_range(0..10_u32) {
        0 => None,
        // Figures that no list should have.
        1 => [f64::NAN, f64::INFINITY, 0.0, -1.0, 1e-9, 1e12].choose(chance).copied(),
        2..=5 => Some(f64::from(chance.random_range(1_u32..40))),
        _ => Some(chance.random_range(0.1..200.0)),
    }
}

/// The endpoints of a destination are usually of one kind; seldom of one that nobody knows.
fn kind(setting: &Setting, destination: u64, chance: &mut Pcg32) -> String {
    if chance.random_bool(0.03) {
        return "unknown".to_owned();
    }
    let usual = destination as usize % setting.kinds.len();
    let number = if chance.random_bool(0.95) { usual } else { chance.random_range(0..setting.kinds.len()) };
    setting.kinds[number].clone()
}

fn drawn_answer(
    mood: Mood,
    response_within: Duration,
    grain: Duration,
    chance: &mut Pcg32,
) -> (AttemptOutcome, Duration) {
    match mood {
        Mood::Well => (usual_outcome(chance, grain), millis(chance, 2, 150)),
        Mood::Slow => (AttemptOutcome::Completed, response_within.mul_f64(chance.random_range(0.2..1.3))),
        Mood::Refusing => (AttemptOutcome::Rejected { retry_after: None }, millis(chance, 1, 20)),
        Mood::RefusingWithWaits => {
            (AttemptOutcome::Rejected { retry_after: Some(wait(chance, grain)) }, millis(chance, 1, 20))
        }
        Mood::Failing if chance.random_bool(0.5) => (AttemptOutcome::Error, millis(chance, 1, 60)),
        Mood::Failing => (AttemptOutcome::ConnectionReset, millis(chance, 1, 400)),
        Mood::Silent => (AttemptOutcome::TimedOut, response_within),
        Mood::Unreachable => (AttemptOutcome::NoConnection, millis(chance, 0, 1_000)),
        Mood::Erratic => (any_outcome(chance, grain), millis(chance, 0, 500)),
    }
}

fn usual_outcome(chance: &mut Pcg32, grain: Duration) -> AttemptOutcome {
    match chance.random_range(0..100_u32) {
        0..=2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Malformed,
        4 => AttemptOutcome::NotSent,
        5..=6 => {
            AttemptOutcome::Rejected { retry_after: chance.random_bool(0.5).then(|| wait(chance, grain)) }
        }
        _ => AttemptOutcome::Completed,
    }
}

fn any_outcome(chance: &mut Pcg32, grain: Duration) -> AttemptOutcome {
    match chance.random_range(0..10_u32) {
        0..=1 => AttemptOutcome::Completed,
        2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Rejected { retry_after: None },
        4 => AttemptOutcome::Rejected { retry_after: Some(wait(chance, grain)) },
        5 => AttemptOutcome::TimedOut,
        6 => AttemptOutcome::NoConnection,
        7 => AttemptOutcome::ConnectionReset,
        8 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Malformed,
    }
}

/// A wait that a destination asks for, from none to one past most limits.
pub fn wait(chance: &mut Pcg32, grain: Duration) -> Duration {
    let drawn = match chance.random_range(0..10_u32) {
        0 => Duration::ZERO,
        1..=4 => millis(chance, 10, 900),
        5..=8 => millis(chance, 1_000, 5_000),
        _ => millis(chance, 20_000, 60_000),
    };
    rounded(drawn, grain)
}
