//! Endpoints that have left the endpoint list and are kept for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::interface::EndpointId;

/// Endpoints that are no longer listed, until they are forgotten.
#[derive(Default)]
pub(super) struct RemovedEndpoints {
    /// Removed since times were last stamped.
    unstamped: BTreeSet<EndpointId>,
    removed_at: BTreeMap<EndpointId, Duration>,
    by_time: BTreeSet<(Duration, EndpointId)>,
    /// Forgotten, and not yet reported to the host.
    forgotten: Vec<EndpointId>,
}

impl RemovedEndpoints {
    pub(super) fn add(&mut self, endpoint: EndpointId) {
        if !self.removed_at.contains_key(&endpoint) {
            self.unstamped.insert(endpoint);
        }
    }

    /// The endpoint is listed again, or forgotten.
    pub(super) fn remove(&mut self, endpoint: EndpointId) {
        self.unstamped.remove(&endpoint);
        if let Some(removed_at) = self.removed_at.remove(&endpoint) {
            self.by_time.remove(&(removed_at, endpoint));
        }
    }

    /// Those without a time count as removed now.
    pub(super) fn stamp(&mut self, now: Duration) {
        for endpoint in std::mem::take(&mut self.unstamped) {
            self.removed_at.insert(endpoint, now);
            self.by_time.insert((now, endpoint));
        }
    }

    /// Those that were removed more than this span ago, the oldest first.
    pub(super) fn older_than(&self, now: Duration, keep: Duration) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_time.iter().take_while(move |(since, _)| now > *since + keep).map(|(_, id)| *id)
    }

    pub(super) fn record_forgotten(&mut self, endpoint: EndpointId) {
        self.forgotten.push(endpoint);
    }

    pub(super) fn take_forgotten(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.forgotten)
    }
}
