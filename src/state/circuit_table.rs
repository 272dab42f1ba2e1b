//! The table of the circuit breakers in use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::CircuitBreaker;
use crate::interface::CircuitScope;

/// The circuit breakers in use. One is made when it is first changed and removed when idle for long.
#[derive(Default)]
pub(crate) struct CircuitTable {
    circuits: BTreeMap<CircuitScope, CircuitBreaker>,
    /// When each is next reviewed for its removal.
    review_at: BTreeSet<(Duration, CircuitScope)>,
    /// Made since reviews were last scheduled.
    without_review: Vec<CircuitScope>,
}

impl CircuitTable {
    pub(crate) fn len(&self) -> usize {
        self.circuits.len()
    }

    pub(crate) fn get(&self, scope: CircuitScope) -> Option<&CircuitBreaker> {
        self.circuits.get(&scope)
    }

    pub(crate) fn get_mut(&mut self, scope: CircuitScope) -> Option<&mut CircuitBreaker> {
        self.circuits.get_mut(&scope)
    }

    /// The circuit breaker of a scope, made if there is none.
    pub(crate) fn get_or_insert(&mut self, scope: CircuitScope) -> &mut CircuitBreaker {
        self.circuits.entry(scope).or_insert_with(|| {
            self.without_review.push(scope);
            CircuitBreaker::default()
        })
    }

    pub(crate) fn remove(&mut self, scope: CircuitScope) {
        self.circuits.remove(&scope);
    }

    /// All, in the order of their scopes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (CircuitScope, &CircuitBreaker)> {
        self.circuits.iter().map(|(scope, circuit)| (*scope, circuit))
    }

    /// Schedules the first review of those that were made since the last call.
    pub(crate) fn schedule_first_reviews(&mut self, at: Duration) {
        for scope in std::mem::take(&mut self.without_review) {
            self.schedule_review(scope, at);
        }
    }

    pub(crate) fn schedule_review(&mut self, scope: CircuitScope, at: Duration) {
        self.review_at.insert((at, scope));
    }

    /// Takes the next scope whose review is due.
    pub(crate) fn take_due_review(&mut self, now: Duration) -> Option<CircuitScope> {
        let (_, scope) = self.review_at.first().copied().filter(|(due, _)| *due <= now)?;
        self.review_at.pop_first();
        Some(scope)
    }
}
