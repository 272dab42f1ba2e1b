//! Restores messages that were accepted before a restart.

use std::time::Duration;

use super::pacing::APPROXIMATE_RATE_MARGIN;
use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::{DestinationId, MessageId, PolicyHost, PreviousAttempt};
use crate::state::PossibleExecution;

impl DeliveryPolicy {
    /// Restores the attempts that a message had before this start of the program. The host submits the
    /// message again before it calls this method.
    pub fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        let Some(key) = self.messages.key_of(id) else { return };
        let Some(message) = self.messages.get_mut(key) else { return };
        message.set_previous_attempts(previous.len() as u32);
        let destination = message.destination;
        // A restored message does not count as late: its objective lasts for half of the time left.
        let objective_ends_at = now + message.deadline.saturating_sub(now) / 2;
        message.extend_objective(objective_ends_at);
        let possibly_executed = previous.iter().filter(|attempt| !attempt.proves_not_executed);
        let earliest = possibly_executed
            .map(|attempt| PossibleExecution { started_at: attempt.started_at, endpoint: attempt.endpoint })
            .min_by_key(|attempt| attempt.started_at);
        message.set_possible_execution(earliest);
        if earliest.is_some() {
            // An earlier attempt may still be in execution.
            let until = now + self.parameters.ordering_hold_off;
            self.ordering_queues.delay_following_messages(
                message.ordering_key,
                message.arrival_number,
                until,
            );
        }
        self.requeue(key);
        if self.cannot_be_sent(key, now) {
            self.finish_undelivered(key, now, host);
        }
        if self.parameters.has_sparse_traffic {
            self.pace_restored_messages(destination, objective_ends_at, now);
        }
    }

    /// Paces the circuits of a restored message as if they had rejected a request, at most until the
    /// message's objective.
    ///
    /// Prevents forwarders that restart together from sending all pending messages at once, because the rates
    /// that they observed are lost in a restart.
    fn pace_restored_messages(
        &mut self,
        destination: DestinationId,
        objective_ends_at: Duration,
        now: Duration,
    ) {
        let shares: Vec<_> = (self.endpoints.active_endpoints(destination))
            .map(|(id, endpoint)| (self.endpoints.scope_of(id, endpoint), self.fair_share(endpoint, now)))
            .collect();
        for (scope, fair_share) in shares {
            let is_first = self.circuit_mut(scope).pacing().interval_seconds() == 0.0;
            let phase = if is_first { self.random.draw() } else { 0.0 };
            let pacing = self.circuit_mut(scope).pacing_mut();
            if is_first {
                pacing.set_interval_seconds(APPROXIMATE_RATE_MARGIN / fair_share);
                pacing.postpone(now + duration_from_seconds(phase * pacing.interval_seconds()));
            }
            pacing.postpone(pacing.postponed_until().min(objective_ends_at));
        }
    }
}
