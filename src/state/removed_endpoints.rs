//! Endpoints that were removed from the endpoint list and are kept for a limited time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::interface::EndpointId;

/// Endpoints that are no longer listed, until their records are deleted.
#[derive(Default)]
pub(super) struct RemovedEndpoints {
    /// Endpoints whose removal time is not set yet.
    without_removal_time: BTreeSet<EndpointId>,
    removed_at: BTreeMap<EndpointId, Duration>,
    by_removal_time: BTreeSet<(Duration, EndpointId)>,
    /// Endpoints whose deletion has not been reported to the host yet.
    deleted: Vec<EndpointId>,
}

impl RemovedEndpoints {
    pub(super) fn add(&mut self, endpoint: EndpointId) {
        if !self.removed_at.contains_key(&endpoint) {
            self.without_removal_time.insert(endpoint);
        }
    }

    /// Removes an endpoint from the table because it is listed again or its record is deleted.
    pub(super) fn remove(&mut self, endpoint: EndpointId) {
        self.without_removal_time.remove(&endpoint);
        if let Some(removed_at) = self.removed_at.remove(&endpoint) {
            self.by_removal_time.remove(&(removed_at, endpoint));
        }
    }

    /// Sets the removal time of endpoints without one to `now`.
    pub(super) fn set_removal_times(&mut self, now: Duration) {
        for endpoint in std::mem::take(&mut self.without_removal_time) {
            self.removed_at.insert(endpoint, now);
            self.by_removal_time.insert((now, endpoint));
        }
    }

    /// Returns the endpoints that were removed more than `age` ago, oldest first.
    pub(super) fn older_than(&self, now: Duration, age: Duration) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_removal_time.iter().take_while(move |(since, _)| now > *since + age).map(|(_, id)| *id)
    }

    pub(super) fn record_deleted(&mut self, endpoint: EndpointId) {
        self.deleted.push(endpoint);
    }

    pub(super) fn take_deleted_endpoints(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.deleted)
    }
}
