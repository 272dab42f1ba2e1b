//! Read-only views of the policy's state, for tests, benchmarks and diagnostics.

use std::time::Duration;

use crate::interface::{EndpointId, MessageId};
use crate::policy::DeliveryPolicy;

/// Number of records of each kind that a policy keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSize {
    /// Messages without a final answer.
    pub messages: usize,
    /// Listed endpoints, and endpoints that were removed recently.
    pub endpoints: usize,
    /// Destinations that have endpoints or messages.
    pub destinations: usize,
    /// Circuit breakers in use.
    pub circuits: usize,
}

/// Progress of a message without a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageProgress {
    /// Number of attempts that were started.
    pub attempts: u32,
    /// Time until which a delivery meets the latency objective.
    pub objective_ends_at: Duration,
}

impl DeliveryPolicy {
    /// Returns the number of records that the policy keeps.
    #[must_use]
    pub fn state_size(&self) -> StateSize {
        StateSize {
            messages: self.messages().len(),
            endpoints: self.endpoints().endpoint_count(),
            destinations: self.endpoints().destination_count(),
            circuits: self.circuits().len(),
        }
    }

    /// Returns the progress of a message, or `None` once it has its final answer.
    #[must_use]
    pub fn message_progress(&self, id: &MessageId) -> Option<MessageProgress> {
        let message = self.messages().get(self.messages().key_of(id)?)?;
        Some(MessageProgress { attempts: message.attempts(), objective_ends_at: message.objective_ends_at() })
    }

    /// Returns whether the policy keeps a record of an endpoint. Records are kept for some time after the
    /// endpoint is removed from the list.
    #[must_use]
    pub fn keeps_endpoint(&self, endpoint: EndpointId) -> bool {
        self.endpoints().get(endpoint).is_some()
    }

    /// Returns the minimum time between two requests, in seconds, of each circuit breaker in use, in the
    /// order of their scopes; 0 if requests are not paced.
    pub fn pacing_intervals_seconds(&self) -> impl Iterator<Item = f64> + '_ {
        self.circuits().iter().map(|(_, circuit)| circuit.pacing().interval_seconds())
    }
}
