//! Draws the messages of a stream, and attempts from before a restart.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use reeddock::{DestinationId, EndpointId, MessageId, OrderingKey, PreviousAttempt};

use super::driver::StreamDriver;
use super::setup::{draw_millis, MAX_ORDERING_KEYS};
use crate::recorded_policy::Submission;

/// Offset added to some deadlines. The policy finishes messages this long before their deadline, so that the
/// final answer then coincides with other times of the stream.
const DEADLINE_OFFSET: Duration = Duration::from_millis(10);

impl StreamDriver {
    /// Draws a destination: most often the first one, rarely one that the endpoint list doesn't contain.
    pub(super) fn draw_destination(&mut self) -> DestinationId {
        let count = self.setup.size.destinations as usize;
        let number = match self.draw_below(20) {
            0 => count + self.draw_below(2),
            1..=8 => 0,
            _ => self.draw_below(count),
        };
        DestinationId(number as u64 + 1)
    }

    /// Draws a message to submit at the current time.
    pub(super) fn draw_message(&mut self, destination: DestinationId) -> Submission {
        self.submitted += 1;
        let index = self.draw_below(self.setup.classes.len());
        let class = &self.setup.classes[index];
        let (name, deadline, ordered) = (class.name.clone(), class.deadline, class.ordered);
        let unknown_class = self.setup.uses_unknown_classes && self.one_in(20);
        // Clients that submit a message again keep the deadline of the first submission.
        let elapsed = if self.one_in(5) {
            deadline.mul_f64(self.random.random_range(0.0..1.0))
        } else {
            Duration::ZERO
        };
        let offset = if self.one_in(4) { DEADLINE_OFFSET } else { Duration::ZERO };
        let tenant_index = self.draw_below(self.setup.tenants.len() + 1);
        Submission {
            id: MessageId(Arc::from(format!("e{:06}", self.submitted))),
            class: if unknown_class { "unknown".to_owned() } else { name },
            tenant: self.setup.tenants.get(tenant_index).cloned(),
            ordering_key: (ordered || self.one_in(10))
                .then(|| OrderingKey(self.random.random_range(0..MAX_ORDERING_KEYS))),
            deadline: self.now + (deadline - elapsed) + offset,
            destination,
        }
    }

    /// Draws the attempts that a message had before a restart.
    pub(super) fn draw_previous_attempts(&mut self) -> Vec<PreviousAttempt> {
        let count = self.draw_below(4);
        let mut previous = Vec::new();
        for _ in 0..count {
            let age = draw_millis(&mut self.random, 0, 6_000);
            previous.push(PreviousAttempt {
                endpoint: self.endpoints.draw_endpoint(&mut self.random).unwrap_or(EndpointId(0)),
                started_at: self.now.saturating_sub(age),
                proves_not_executed: self.one_in(2),
            });
        }
        previous
    }
}
