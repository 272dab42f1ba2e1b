//! The requests that one run of a baseline's due work fills: one for each endpoint at a time.

use std::collections::BTreeMap;

use reeddock::{EndpointId, RequestId};

/// The request that is being filled for each endpoint.
#[derive(Default)]
pub(super) struct DepartingBatches {
    requests: BTreeMap<EndpointId, RequestId>,
    /// Places left in each of these requests.
    free_places: BTreeMap<EndpointId, usize>,
}

impl DepartingBatches {
    /// Whether a message may join the request to an endpoint.
    pub(super) fn has_room(&self, endpoint: EndpointId) -> bool {
        self.free_places.get(&endpoint).is_some_and(|places| *places > 0)
    }

    /// Places left, by endpoint.
    pub(super) fn free_places(&self) -> &BTreeMap<EndpointId, usize> {
        &self.free_places
    }

    /// Takes a place in the request to an endpoint, or in a new one with the next number.
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
