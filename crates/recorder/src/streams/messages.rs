//! Draws the messages of a stream, and the attempts that some of them had before a restart.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use reeddock::{DestinationId, EndpointId, MessageId, OrderingKey, PreviousAttempt};

use super::driver::StreamDriver;
use super::setup::{millis, MAX_ORDERING_KEYS};
use crate::recorded_policy::Submission;

/// Added to some deadlines: the policy finishes messages this long before one, so that it then coincides with others.
const DEADLINE_OFFSET: Duration = Duration::from_millis(10);

impl StreamDriver {
    /// Mostly the first destination, or any; seldom one that no list names.
    pub(super) fn any_destination(&mut self) -> DestinationId {
        let all = self.setup.size.destinations as usize;
        let number = match self.below(20) {
            0 => all + self.below(2),
            1..=8 => 0,
            _ => self.below(all),
        };
        DestinationId(number as u64 + 1)
    }

    /// Draws a message that is submitted now.
    pub(super) fn draw_message(&mut self, destination: DestinationId) -> Submission {
        self.submitted += 1;
        let number = self.below(self.setup.classes.len());
        let class = &self.setup.classes[number];
        let (name, deadline, ordered) = (class.name.clone(), class.deadline, class.ordered);
        let unknown_class = self.setup.unknown_names && self.one_in(20);
        // A client that submits a message again keeps the deadline of its first submission.
        let elapsed = if self.one_in(5) {
            deadline.mul_f64(self.random.random_range(0.0..1.0))
        } else {
            Duration::ZERO
        };
        let offset = if self.one_in(4) { DEADLINE_OFFSET } else { Duration::ZERO };
        let tenant = self.below(self.setup.tenants.len() + 1);
        Submission {
            id: MessageId(Arc::from(format!("e{:06}", self.submitted))),
            class: if unknown_class { "unknown".to_owned() } else { name },
            tenant: self.setup.tenants.get(tenant).cloned(),
            ordering_key: (ordered || self.one_in(10))
                .then(|| OrderingKey(self.random.random_range(0..MAX_ORDERING_KEYS))),
            deadline: self.now + (deadline - elapsed) + offset,
            destination,
        }
    }

    /// Draws the attempts that a message had before a restart.
    pub(super) fn previous_attempts(&mut self) -> Vec<PreviousAttempt> {
        let count = self.below(4);
        let mut previous = Vec::new();
        for _ in 0..count {
            let ago = millis(&mut self.random, 0, 6_000);
            previous.push(PreviousAttempt {
                endpoint: self.endpoints.any(&mut self.random).unwrap_or(EndpointId(0)),
                started_at: self.now.saturating_sub(ago),
                proves_not_executed: self.one_in(2),
            });
        }
        previous
    }
}
