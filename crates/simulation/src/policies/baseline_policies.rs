//! The baselines.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use reeddock::{AttemptOutcome, DestinationId, EndpointId};

use super::baseline_host::{BaselinePolicy, QueuedMessage, View};
use crate::distribution::Chance;

/// Breakers open and room appears without anybody telling.
const LOOK: Duration = Duration::from_millis(20);

fn any(able: &[EndpointId], chance: &mut Chance) -> Option<EndpointId> {
    (!able.is_empty()).then(|| able[chance.random_range(0..able.len())])
}

/// Each message once.
pub struct OneTry;

impl BaselinePolicy for OneTry {
    fn pick(&mut self, _: &QueuedMessage, view: &View, chance: &mut Chance) -> Option<EndpointId> {
        any(view.able, chance)
    }
    fn ended(&mut self, _: EndpointId, _: AttemptOutcome, _: Duration) {}
    fn again(&mut self, _: &QueuedMessage, outcome: AttemptOutcome, _: &mut Chance) -> Option<Duration> {
        // What never left the forwarder was no try.
        (outcome == AttemptOutcome::NotSent).then_some(Duration::from_millis(50))
    }
    fn time_out(&self, _: Duration) -> Duration {
        Duration::MAX
    }
    fn looks_every(&self) -> Duration {
        LOOK
    }
}

/// The wait before the nth further try: doubling from 100 ms, 5 s at most, drawn from the upper half.
pub(super) fn back_off(tries: u32, chance: &mut Chance) -> Duration {
    let most = (0.1 * 2.0_f64.powi(tries.saturating_sub(1).min(10) as i32)).min(5.0);
    Duration::from_secs_f64(most * (0.5 + 0.5 * chance.random::<f64>()))
}

pub struct BackOff;

impl BaselinePolicy for BackOff {
    fn pick(&mut self, _: &QueuedMessage, view: &View, chance: &mut Chance) -> Option<EndpointId> {
        any(view.able, chance)
    }
    fn ended(&mut self, _: EndpointId, _: AttemptOutcome, _: Duration) {}
    fn again(
        &mut self,
        envelope: &QueuedMessage,
        _: AttemptOutcome,
        chance: &mut Chance,
    ) -> Option<Duration> {
        (envelope.dispatches < 5).then(|| back_off(envelope.dispatches, chance))
    }
    fn looks_every(&self) -> Duration {
        LOOK
    }
}

/// Closed until five failures in a row, then open for five seconds, then half open for one call.
#[derive(Default)]
pub struct Breaker {
    states: BTreeMap<EndpointId, State>,
    rounds: BTreeMap<DestinationId, usize>,
}

#[derive(Default)]
struct State {
    failures: u32,
    open_until: Option<Duration>,
    trial_out: bool,
}

const FAILURES: u32 = 5;
const OPEN_FOR: Duration = Duration::from_secs(5);

impl BaselinePolicy for Breaker {
    fn pick(&mut self, envelope: &QueuedMessage, view: &View, _: &mut Chance) -> Option<EndpointId> {
        let (able, now) = (view.able, view.now);
        let round = self.rounds.entry(envelope.destination).or_default();
        for step in 0..able.len() {
            let target = able[(*round + step) % able.len()];
            let state = self.states.entry(target).or_default();
            let lets = state.open_until.is_none_or(|until| now >= until && !state.trial_out);
            if lets {
                state.trial_out = state.open_until.is_some();
                *round = (*round + step + 1) % able.len();
                return Some(target);
            }
        }
        None
    }

    fn ended(&mut self, target: EndpointId, outcome: AttemptOutcome, now: Duration) {
        let state = self.states.entry(target).or_default();
        match outcome {
            AttemptOutcome::Completed => *state = State::default(),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::Malformed => {
                state.trial_out = false
            }
            _ => {
                state.failures += 1;
                if state.trial_out || state.failures >= FAILURES {
                    state.open_until = Some(now + OPEN_FOR);
                    state.trial_out = false;
                }
            }
        }
    }

    fn again(
        &mut self,
        envelope: &QueuedMessage,
        _: AttemptOutcome,
        chance: &mut Chance,
    ) -> Option<Duration> {
        (envelope.dispatches < 5).then(|| back_off(envelope.dispatches, chance))
    }
    fn looks_every(&self) -> Duration {
        LOOK
    }
}

/// Sends only where the call will be taken and answered, to the endpoint that is done soonest, what falls due
/// first in front.
#[derive(Default)]
pub struct UpperBound {
    /// Sent to each destination at this instant, which the world has not seen yet.
    fresh: BTreeMap<DestinationId, u32>,
    at: Duration,
}

impl BaselinePolicy for UpperBound {
    fn pick(&mut self, envelope: &QueuedMessage, view: &View, _: &mut Chance) -> Option<EndpointId> {
        let (able, now, sight) = (view.able, view.now, view.sight);
        let joins = |t: &&EndpointId| view.forming.get(*t).is_some_and(|places| *places > 0);
        if let Some(target) = able.iter().find(joins) {
            return Some(*target);
        }
        if now != self.at {
            self.fresh.clear();
            self.at = now;
        }
        let fresh = self.fresh.entry(envelope.destination).or_default();
        let open = able.iter().filter(|t| sight.would_take(**t, envelope.category, *fresh));
        let cost = |t: &EndpointId| (sight.burden(*t) + 1.0) * sight.slowness(*t);
        let pick = open.min_by(|a, b| cost(a).total_cmp(&cost(b))).copied();
        *fresh += u32::from(pick.is_some());
        pick
    }
    fn ended(&mut self, _: EndpointId, _: AttemptOutcome, _: Duration) {}
    fn again(&mut self, _: &QueuedMessage, _: AttemptOutcome, _: &mut Chance) -> Option<Duration> {
        Some(Duration::from_millis(20))
    }
    fn urgency(&self, envelope: &QueuedMessage) -> Duration {
        envelope.promised_by
    }
    fn time_out(&self, _: Duration) -> Duration {
        Duration::MAX
    }
    fn looks_every(&self) -> Duration {
        LOOK
    }
}
