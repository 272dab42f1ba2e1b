//! Endpoints to which no request may be sent at the moment.

use std::collections::{BTreeMap, BTreeSet};

use reeddock::{EndpointId, EndpointState};
use reeddock_protocol::AttemptResult;
use tokio::time::Instant;

/// The restrictions that the endpoint list and the endpoints' own Retry-After impose.
#[derive(Default)]
pub(super) struct SendRestrictions {
    /// Until when each endpoint has asked for no request (`Retry-After`).
    retry_after: BTreeMap<EndpointId, Instant>,
    /// Endpoints that the list calls draining or removed.
    draining: BTreeSet<EndpointId>,
}

impl SendRestrictions {
    /// The endpoint asked for no request before `until`. A longer pause that it asked for earlier stays in force.
    pub(super) fn retry_after(&mut self, endpoint: EndpointId, until: Instant) {
        let current = self.retry_after.entry(endpoint).or_insert(until);
        *current = until.max(*current);
    }

    /// The endpoint list says that the endpoint is in this state.
    pub(super) fn set_state(&mut self, endpoint: EndpointId, state: EndpointState) {
        match state {
            EndpointState::Active => self.draining.remove(&endpoint),
            EndpointState::Draining | EndpointState::Removed => self.draining.insert(endpoint),
        };
    }

    /// Forgets the listed state of an endpoint.
    pub(super) fn forget(&mut self, endpoint: EndpointId) {
        self.draining.remove(&endpoint);
    }

    /// Forgets pauses that have passed.
    pub(super) fn expire(&mut self, now: Instant) {
        self.retry_after.retain(|_, until| *until > now);
    }

    /// Whether a request may be sent now; if not, the result for its messages, none of which was sent.
    pub(super) fn check(&self, endpoint: EndpointId, now: Instant) -> Result<(), AttemptResult> {
        if self.draining.contains(&endpoint) {
            return Err(AttemptResult::EndpointDraining);
        }
        if self.retry_after.get(&endpoint).is_some_and(|until| *until > now) {
            return Err(AttemptResult::RetryAfterActive);
        }
        Ok(())
    }
}
