//! Table of the circuit breakers in use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::CircuitBreaker;
use crate::interface::CircuitScope;

/// Circuit breakers in use. Entries are created on their first change and removed after a long idle time.
#[derive(Default)]
pub(crate) struct CircuitTable {
    circuits: BTreeMap<CircuitScope, CircuitBreaker>,
    /// Times at which circuit breakers are next checked for removal.
    removal_check_at: BTreeSet<(Duration, CircuitScope)>,
    /// Scopes of circuit breakers whose first check for removal is not scheduled yet.
    without_removal_check: Vec<CircuitScope>,
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

    /// Returns the circuit breaker of a scope, which is created if absent.
    pub(crate) fn get_or_insert(&mut self, scope: CircuitScope) -> &mut CircuitBreaker {
        self.circuits.entry(scope).or_insert_with(|| {
            self.without_removal_check.push(scope);
            CircuitBreaker::default()
        })
    }

    pub(crate) fn remove(&mut self, scope: CircuitScope) {
        self.circuits.remove(&scope);
    }

    /// Returns all circuit breakers in the order of their scopes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (CircuitScope, &CircuitBreaker)> {
        self.circuits.iter().map(|(scope, circuit)| (*scope, circuit))
    }

    /// Schedules the first check for removal of the circuit breakers that were created since the last call.
    pub(crate) fn schedule_first_removal_checks(&mut self, at: Duration) {
        for scope in std::mem::take(&mut self.without_removal_check) {
            self.schedule_removal_check(scope, at);
        }
    }

    pub(crate) fn schedule_removal_check(&mut self, scope: CircuitScope, at: Duration) {
        self.removal_check_at.insert((at, scope));
    }

    /// Removes and returns the next scope whose check for removal is due.
    pub(crate) fn take_due_removal_check(&mut self, now: Duration) -> Option<CircuitScope> {
        let (_, scope) = self.removal_check_at.first().copied().filter(|(due, _)| *due <= now)?;
        self.removal_check_at.pop_first();
        Some(scope)
    }
}
