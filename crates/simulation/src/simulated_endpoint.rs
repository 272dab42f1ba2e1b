//! One endpoint as it really is: its queue, its work, its faults, how cold it is and whether it falls over.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::layout::{EndpointIndex, EndpointPlan, ForwarderIndex};
use crate::limit::EndpointLimit;
use crate::observed::Return;
use crate::scenario::Returning;

/// One call on its way to, at, or from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub usize);

/// Calls that a cold endpoint takes within the span that counts before it falls, where the terms allow it so many:
/// what comes over that by chance is borne, and is counted over all forwarders, however many they are.
pub fn falls_over(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.max(0.0).sqrt() + 2.0
}

pub struct SimulatedEndpoint {
    pub plan: EndpointPlan,
    pub gate: EndpointLimit,
    pub busy: usize,
    pub queue: VecDeque<RequestId>,
    pub serving: Vec<RequestId>,
    /// Taken while it hangs, and answers that wait for the end of it.
    pub stuck: Vec<RequestId>,
    pub stuck_answers: Vec<RequestId>,
    /// Troubles that stand, by their place in the scenario.
    pub troubles: Vec<usize>,
    /// Outages among these.
    pub outages: u32,
    pub returned: Option<Duration>,
    /// All returns so far, each with what the endpoint was sent after it.
    pub(crate) returns: Vec<Return>,
    /// Since when it is down.
    pub(crate) down_since: Option<Duration>,
    pub fallen_until: Option<Duration>,
    /// Not there any more: replaced, or left for good.
    pub gone: bool,
    pushed: VecDeque<(Duration, f64, ForwarderIndex)>,
    /// Raised when all connections break.
    pub life: u32,
    pub on_the_way: u32,
    pub connections: u32,
    /// Idle connections by forwarder, with the times since when.
    pub idle: BTreeMap<ForwarderIndex, Vec<Duration>>,
}

/// What a cold endpoint was sent in the span that counts.
pub(crate) struct Window<'a> {
    pub pushed: &'a VecDeque<(Duration, f64, ForwarderIndex)>,
    pub sum: f64,
    /// What the terms allow in that span, without what is left to chance.
    pub allowed: f64,
}

/// What a cold endpoint was sent when that was more than it bears.
pub struct Fall {
    pub pushed: Vec<(Duration, f64, ForwarderIndex)>,
    pub budget: f64,
}

impl SimulatedEndpoint {
    pub fn new(plan: EndpointPlan) -> SimulatedEndpoint {
        SimulatedEndpoint {
            gate: plan.gate.clone(),
            plan,
            busy: 0,
            queue: VecDeque::new(),
            serving: Vec::new(),
            stuck: Vec::new(),
            stuck_answers: Vec::new(),
            troubles: Vec::new(),
            outages: 0,
            returned: None,
            returns: Vec::new(),
            down_since: None,
            fallen_until: None,
            gone: false,
            pushed: VecDeque::new(),
            life: 0,
            on_the_way: 0,
            connections: 0,
            idle: BTreeMap::new(),
        }
    }

    /// Share of its capacity that it has now.
    pub fn warmth(&self, now: Duration, terms: &Returning) -> f64 {
        let Some(returned) = self.returned else { return 1.0 };
        let cold = terms.cold_from.get().max(0.01);
        let warmed = now.saturating_sub(returned).as_secs_f64() / terms.warm_within.seconds().max(1e-6);
        (cold + (1.0 - cold) * warmed).min(1.0)
    }

    pub fn fallen(&self, now: Duration) -> bool {
        self.fallen_until.is_some_and(|until| now < until)
    }

    /// Work that it bears within the span that counts, as warm as it is now.
    fn budget(&self, now: Duration, terms: &Returning) -> f64 {
        let span = terms.tip_after.seconds();
        terms.fall_multiple.get() * self.warmth(now, terms) * self.plan.capacity * span
    }

    /// Work that it can be sent now without falling over.
    pub fn push_room(&self, now: Duration, terms: &Returning) -> f64 {
        if self.warmth(now, terms) >= 1.0 {
            return f64::MAX;
        }
        let recent = self.pushed.iter().filter(|p| now.saturating_sub(p.0) <= terms.tip_after.0);
        self.budget(now, terms) - recent.map(|p| p.1).sum::<f64>()
    }

    /// Work that it was sent in the span that counts, by whom, with what is allowed in it now; none once it is warm.
    pub(crate) fn window(&self, now: Duration, terms: &Returning) -> Option<Window<'_>> {
        if self.warmth(now, terms) >= 1.0 {
            return None;
        }
        let sum = self.pushed.iter().map(|p| p.1).sum();
        Some(Window { pushed: &self.pushed, sum, allowed: self.budget(now, terms) })
    }

    /// Work has reached it. While it is cold, more than a multiple of what it can do within a span tips it.
    pub fn push(&mut self, now: Duration, work: f64, by: ForwarderIndex, terms: &Returning) -> Option<Fall> {
        let warmth = self.warmth(now, terms);
        if warmth >= 1.0 {
            self.pushed.clear();
            return None;
        }
        let span = terms.tip_after.0;
        self.pushed.push_back((now, work, by));
        while self.pushed.front().is_some_and(|p| now.saturating_sub(p.0) > span) {
            self.pushed.pop_front();
        }
        let sent: f64 = self.pushed.iter().map(|p| p.1).sum();
        let budget = falls_over(self.budget(now, terms));
        if sent <= budget {
            return None;
        }
        Some(Fall { pushed: self.pushed.drain(..).collect(), budget })
    }

    /// All connections break; names the calls that were queued, served or stuck.
    pub fn break_all(&mut self) -> Vec<RequestId> {
        self.life += 1;
        self.connections = 0;
        self.idle.clear();
        self.busy = 0;
        let mut calls: Vec<RequestId> = self.queue.drain(..).collect();
        calls.append(&mut self.serving);
        calls.append(&mut self.stuck);
        calls.append(&mut self.stuck_answers);
        calls
    }

    /// Drops connections that have been idle for too long.
    pub fn close_idle_before(&mut self, since: Duration) {
        let mut closed = 0;
        self.idle.retain(|_, times| {
            let before = times.len();
            times.retain(|t| *t >= since);
            closed += (before - times.len()) as u32;
            !times.is_empty()
        });
        self.connections = self.connections.saturating_sub(closed);
    }
}

/// A destination's own state beside its endpoints'.
pub struct DestinationState {
    pub gate: EndpointLimit,
    pub targets: Vec<EndpointIndex>,
}
