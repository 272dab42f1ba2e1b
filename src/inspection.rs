//! Read-only views of what a policy keeps, for tests, benchmarks and diagnostics.

use std::time::Duration;

use crate::interface::{EndpointId, MessageId};
use crate::policy::DeliveryPolicy;

/// How many records of each kind a policy keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSize {
    /// Messages without a final answer.
    pub messages: usize,
    /// Endpoints, with those that were removed recently.
    pub endpoints: usize,
    /// Destinations with endpoints or messages.
    pub destinations: usize,
    /// Circuit breakers in use.
    pub circuits: usize,
}

/// What is known of a message without a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageProgress {
    /// Attempts that were started.
    pub attempts: u32,
    /// Until when it meets its latency objective.
    pub objective_at: Duration,
}

impl DeliveryPolicy {
    /// How much the policy keeps.
    #[must_use]
    pub fn state_size(&self) -> StateSize {
        StateSize {
            messages: self.messages().len(),
            endpoints: self.endpoints().endpoint_count(),
            destinations: self.endpoints().destination_count(),
            circuits: self.circuits().len(),
        }
    }

    /// The progress of a message; none once it has its final answer.
    #[must_use]
    pub fn message_progress(&self, id: &MessageId) -> Option<MessageProgress> {
        let message = self.messages().get(self.messages().key_of(id)?)?;
        Some(MessageProgress { attempts: message.attempts(), objective_at: message.objective_at() })
    }

    /// Whether an endpoint is kept, though it may have been removed from the list.
    #[must_use]
    pub fn keeps_endpoint(&self, endpoint: EndpointId) -> bool {
        self.endpoints().get(endpoint).is_some()
    }

    /// The least times between two requests, in seconds, of all circuits in their order.
    pub fn pacing_intervals_seconds(&self) -> impl Iterator<Item = f64> + '_ {
        self.circuits().iter().map(|(_, circuit)| circuit.pacing().interval_seconds())
    }
}
