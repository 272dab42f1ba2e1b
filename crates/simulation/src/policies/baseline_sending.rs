//! Requests that a baseline fills with messages during one run of its due work.

use std::collections::BTreeMap;

use reeddock::{EndpointId, RequestId};

/// Requests being filled, one for each endpoint at a time.
#[derive(Default)]
pub(super) struct DepartingBatches {
    requests: BTreeMap<EndpointId, RequestId>,
    /// Number of messages that still fit into the request, by endpoint.
    free_places: BTreeMap<EndpointId, usize>,
}

impl DepartingBatches {
    /// Returns whether another message fits into the request to an endpoint.
    pub(super) fn has_free_place(&self, endpoint: EndpointId) -> bool {
        self.free_places.get(&endpoint).is_some_and(|places| *places > 0)
    }

    /// Returns the number of messages that still fit into the requests, by endpoint.
    pub(super) fn free_places(&self) -> &BTreeMap<EndpointId, usize> {
        &self.free_places
    }

    /// Adds a message to the request to an endpoint, or to a new request if there is none or it is full.
    pub(super) fn join_or_open(
        &mut self,
        endpoint: EndpointId,
        max_batch: usize,
        last_request: &mut RequestId,
    ) -> RequestId {
        let places = self.free_places.entry(endpoint).or_default();
        if *places == 0 {
            last_request.0 += 1;
            self.requests.insert(endpoint, *last_request);
            *places = max_batch;
        }
        *places -= 1;
        self.requests.get(&endpoint).copied().unwrap_or(*last_request)
    }
}
