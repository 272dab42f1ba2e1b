//! Listed endpoints and submitted traffic of a destination.

use std::time::Duration;

use smallvec::SmallVec;

use crate::interface::EndpointId;

/// Minimum time constant, in seconds, with which the count of recent messages decays; prevents a division by
/// zero.
const MIN_DECAY_SECONDS: f64 = 0.001;

#[derive(Default)]
pub(crate) struct Destination {
    /// Endpoint ids in ascending order.
    endpoints: SmallVec<[EndpointId; 2]>,
    traffic: Option<Box<Traffic>>,
}

/// Messages that were submitted for a destination, counted as arrivals.
#[derive(Default)]
pub(crate) struct Traffic {
    arrivals: u64,
    /// Exponentially decayed number of submitted messages as of `recent_arrivals_at`.
    recent_arrivals: f64,
    recent_arrivals_at: Duration,
    first_arrival_at: Duration,
    /// Number of the last request that was sent to the destination.
    last_request_number: u64,
}

static NO_TRAFFIC: Traffic = Traffic {
    arrivals: 0,
    recent_arrivals: 0.0,
    recent_arrivals_at: Duration::ZERO,
    first_arrival_at: Duration::ZERO,
    last_request_number: 0,
};

impl Destination {
    pub(crate) fn endpoints(&self) -> &SmallVec<[EndpointId; 2]> {
        &self.endpoints
    }

    pub(crate) fn traffic(&self) -> &Traffic {
        self.traffic.as_deref().unwrap_or(&NO_TRAFFIC)
    }

    pub(crate) fn traffic_mut(&mut self) -> &mut Traffic {
        self.traffic.get_or_insert_default()
    }

    pub(super) fn add(&mut self, endpoint: EndpointId) {
        if let Err(at) = self.endpoints.binary_search(&endpoint) {
            self.endpoints.insert(at, endpoint);
        }
    }

    pub(super) fn remove(&mut self, endpoint: EndpointId) {
        if let Ok(at) = self.endpoints.binary_search(&endpoint) {
            self.endpoints.remove(at);
        }
    }
}

impl Traffic {
    /// Returns the number of messages submitted so far.
    pub(crate) fn arrivals(&self) -> u64 {
        self.arrivals
    }

    /// Returns the time at which the first message was submitted.
    pub(crate) fn first_arrival_at(&self) -> Duration {
        self.first_arrival_at
    }

    /// Returns the number of the last request that was sent to the destination; 0 if none was sent.
    pub(crate) fn last_request_number(&self) -> u64 {
        self.last_request_number
    }

    pub(crate) fn record_request(&mut self, number: u64) {
        self.last_request_number = number;
    }

    /// Counts a message that was submitted at `now`. The count of recent messages decays with the time
    /// constant `span`.
    pub(crate) fn record_arrival(&mut self, now: Duration, span: Duration) {
        if self.arrivals == 0 {
            self.first_arrival_at = now;
        }
        self.arrivals += 1;
        self.recent_arrivals = self.recent_arrivals(now, span) + 1.0;
        self.recent_arrivals_at = now;
    }

    /// Returns the approximate number of messages submitted within `span` before `now`.
    pub(crate) fn recent_arrivals(&self, now: Duration, span: Duration) -> f64 {
        let spans = now.saturating_sub(self.recent_arrivals_at).as_secs_f64()
            / span.as_secs_f64().max(MIN_DECAY_SECONDS);
        self.recent_arrivals * (-spans).exp()
    }
}
