//! Endpoints to which no request may currently be sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use reeddock::{EndpointId, EndpointState};
use reeddock_protocol::AttemptResult;
use tokio::time::Instant;

/// The restrictions set by the endpoint list and by `Retry-After` headers of endpoints.
#[derive(Default)]
pub(super) struct SendRestrictions {
    /// The time before which each endpoint accepts no request (`Retry-After`).
    retry_after_until: BTreeMap<EndpointId, Instant>,
    /// Endpoints that the endpoint list marks as draining or removed.
    inactive: BTreeSet<EndpointId>,
    /// The current addresses of endpoints whose address has changed.
    moved_to: BTreeMap<EndpointId, SocketAddr>,
}

impl SendRestrictions {
    /// Records that the endpoint accepts no request before `until`. A later time from an earlier call remains
    /// in effect.
    pub(super) fn set_retry_after(&mut self, endpoint: EndpointId, until: Instant) {
        let current = self.retry_after_until.entry(endpoint).or_insert(until);
        *current = until.max(*current);
    }

    /// Records the endpoint's state in the endpoint list.
    pub(super) fn set_state(&mut self, endpoint: EndpointId, state: EndpointState) {
        match state {
            EndpointState::Active => self.inactive.remove(&endpoint),
            EndpointState::Draining | EndpointState::Removed => self.inactive.insert(endpoint),
        };
    }

    /// Records the new address of an endpoint whose address has changed.
    pub(super) fn set_moved(&mut self, endpoint: EndpointId, address: SocketAddr) {
        self.moved_to.insert(endpoint, address);
    }

    /// Deletes the listed state and address of an endpoint.
    pub(super) fn remove_state(&mut self, endpoint: EndpointId) {
        self.inactive.remove(&endpoint);
        self.moved_to.remove(&endpoint);
    }

    /// Removes `Retry-After` restrictions that have expired.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.retry_after_until.retain(|_, until| *until > now);
    }

    /// Checks whether the endpoint list has the endpoint as active, and at this address.
    pub(super) fn check_listed(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> Result<(), AttemptResult> {
        if self.inactive.contains(&endpoint) {
            return Err(AttemptResult::EndpointDraining);
        }
        if self.moved_to.get(&endpoint).is_some_and(|current| *current != address) {
            return Err(AttemptResult::NotSent);
        }
        Ok(())
    }

    /// Checks whether a request to this address may be sent now. The error is the result of its messages, none
    /// of which was sent.
    pub(super) fn check(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        now: Instant,
    ) -> Result<(), AttemptResult> {
        self.check_listed(endpoint, address)?;
        if self.retry_after_until.get(&endpoint).is_some_and(|until| *until > now) {
            return Err(AttemptResult::RetryAfterActive);
        }
        Ok(())
    }
}
