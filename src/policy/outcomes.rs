//! Handles the end of an attempt: updates its circuit, its endpoint and its message.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{AttemptOutcome, FinishedAttempt, PolicyEvent, PolicyHost};
use crate::state::{Attempt, AttemptKey, EndedAttempt, PossibleExecution};

/// Weight of a new response time in a running mean.
const MEAN_LATENCY_WEIGHT: f64 = 0.2;
/// A circuit pauses after an attempt that was not sent for the time from its opening to its half-open trial,
/// divided by this number.
const NOT_SENT_PAUSE_DIVISOR: u32 = 4;
/// Minimum time between two reported circuit events.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

impl DeliveryPolicy {
    /// Records the end of an attempt, and queues its message again or finishes it.
    pub fn attempt_finished(&mut self, now: Duration, ended: &FinishedAttempt, host: &mut dyn PolicyHost) {
        let FinishedAttempt { message: id, number, outcome, message_finished } = *ended;
        let key = AttemptKey { message: id.clone(), number };
        let Some(EndedAttempt { attempt, request_ended }) = self.end_attempt(&key) else { return };
        if let Some(endpoint) = self.endpoints.get(attempt.endpoint) {
            self.remove_stale_records(endpoint.destination, now);
        }
        if let AttemptOutcome::Rejected { retry_after: Some(wait) } = outcome {
            self.apply_retry_after(now, attempt.scope, wait);
        }
        let message_at_fault = self.record_message_error(&attempt, outcome);
        // The attempts of one request end together and count as one outcome.
        if request_ended && !message_at_fault {
            self.record_and_report_outcome(&attempt, now, outcome, host);
        }
        if matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        ) {
            let until = now + self.parameters.ordering_hold_off;
            self.ordering_queues.delay_following_messages(
                attempt.ordering_key,
                attempt.arrival_number,
                until,
            );
        }
        self.remove_from_ordering_queue(id, attempt.ordering_key, attempt.arrival_number);
        if message_finished {
            self.remove_message(attempt.message, host);
        } else {
            self.requeue_or_finish(&attempt, now, outcome, host);
        }
    }

    /// Removes an ended attempt from all records of attempts and requests in flight.
    fn end_attempt(&mut self, key: &AttemptKey) -> Option<EndedAttempt> {
        let ended = self.in_flight.end_attempt(key)?;
        let attempt = &ended.attempt;
        if let Some(message) = self.messages.get_mut(attempt.message) {
            message.end_attempt(key.number);
        }
        self.wake_destination_of(attempt.scope);
        if ended.request_ended {
            if let Some(usage) = self.endpoints.usage_mut(attempt.endpoint) {
                usage.end_request();
            }
        }
        if let Some(circuit) = self.circuits.get_mut(attempt.scope) {
            if ended.request_ended {
                circuit.end_request(attempt.request);
            }
            circuit.end_trial(key);
        }
        Some(ended)
    }

    /// Counts an error response to a message. Returns whether the error is attributed to the message instead
    /// of the endpoint, which applies from the second error on.
    ///
    /// Prevents a message that always gets an error from keeping a circuit open. An outage with error responses
    /// is noticed later where a single message is all that is sent.
    fn record_message_error(&mut self, attempt: &Attempt, outcome: AttemptOutcome) -> bool {
        if outcome != AttemptOutcome::Error {
            return false;
        }
        let Some(message) = self.messages.get_mut(attempt.message) else { return false };
        message.record_error();
        message.errors() > 1
    }

    /// Records an outcome, and reports an event if the circuit opened or closed.
    fn record_and_report_outcome(
        &mut self,
        attempt: &Attempt,
        now: Duration,
        outcome: AttemptOutcome,
        host: &mut dyn PolicyHost,
    ) {
        let scope = attempt.scope;
        let is_closed =
            |policy: &DeliveryPolicy| policy.circuits.get(scope).is_none_or(|circuit| circuit.is_closed());
        let was_closed = is_closed(self);
        self.record_outcome(attempt, now, outcome);
        if was_closed != is_closed(self) && now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL;
            host.report_event(&if was_closed {
                PolicyEvent::CircuitOpened { scope, outcome }
            } else {
                PolicyEvent::CircuitClosed { scope, outcome }
            });
        }
    }

    /// Updates the circuit and the endpoint after a request ended with the given outcome.
    fn record_outcome(&mut self, attempt: &Attempt, now: Duration, outcome: AttemptOutcome) {
        let Some(usage) = self.endpoints.usage_mut(attempt.endpoint) else { return };
        let got_response = matches!(
            outcome,
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Rejected { .. }
        );
        usage.set_last_response_at(got_response.then_some(now));
        self.circuit_mut(attempt.scope);
        match outcome {
            AttemptOutcome::Cancelled | AttemptOutcome::Malformed => {}
            AttemptOutcome::NotSent => self.record_not_sent(attempt, now),
            AttemptOutcome::Completed => self.record_completion(attempt, now),
            AttemptOutcome::Rejected { retry_after } => self.record_rejection(attempt, now, retry_after),
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::NoConnection
            | AttemptOutcome::ConnectionReset => self.record_failure(attempt, now, outcome),
        }
    }

    /// Pauses the circuit for a short time.
    ///
    /// Prevents a message from using up its attempts at once when each ends without being sent, for example
    /// while the write-ahead log fails, or while a cancelled request or connection still counts against a limit.
    fn record_not_sent(&mut self, attempt: &Attempt, now: Duration) {
        let pause = self.parameters.recovery_delay / NOT_SENT_PAUSE_DIVISOR;
        let Some(circuit) = self.circuits.get_mut(attempt.scope) else { return };
        circuit.extend_retry_after(now + pause);
    }

    fn record_completion(&mut self, attempt: &Attempt, now: Duration) {
        let in_scope = self.endpoints.endpoints_in_scope(attempt.scope);
        let has_fault =
            |id: &_| self.endpoints.get(*id).is_some_and(|endpoint| endpoint.usage().last_fault().is_some());
        let had_faults = in_scope.iter().any(has_fault);
        let parameters = &self.parameters;
        let Some(circuit) = self.circuits.get_mut(attempt.scope) else { return };
        let recovered = !circuit.is_closed();
        circuit.record_success(now);
        let unused_rate_limit_share = circuit.unused_rate_limit_share();
        circuit.pacing_mut().shrink(unused_rate_limit_share, parameters.has_sparse_traffic);
        circuit.set_last_retry_after(circuit.last_retry_after() / 2);
        let latency = now.saturating_sub(attempt.started_at).as_secs_f64();
        circuit.record_completion(now, updated_mean(circuit.mean_latency_seconds(), latency));
        self.response_times
            .record_completion(now, updated_mean(self.response_times.mean_latency_seconds(), latency));
        if circuit.recovery_request_limit().is_some_and(|requests| requests >= parameters.max_in_flight) {
            circuit.set_recovery_request_limit(None);
        }
        if let Some(usage) = self.endpoints.usage_mut(attempt.endpoint) {
            usage.reset_failures(attempt.class);
            usage.earn_retry_tokens(parameters.initial_retry_tokens);
        }
        // Slow start begins for all endpoints of a circuit when the circuit recovers.
        if recovered && had_faults {
            self.endpoints.update_usage(&in_scope, |usage| usage.record_fault(now));
        }
    }

    fn record_failure(&mut self, attempt: &Attempt, now: Duration, outcome: AttemptOutcome) {
        let Some(endpoint) = self.endpoints.get(attempt.endpoint) else { return };
        let recovery_delay = self.recovery_delay(endpoint, now);
        let Some(circuit) = self.circuits.get_mut(attempt.scope) else { return };
        let Some(usage) = self.endpoints.usage_mut(attempt.endpoint) else { return };
        circuit.record_failure(now, recovery_delay, &self.parameters);
        usage.record_failure(attempt.class);
        match outcome {
            // The request never reached the destination and added no load.
            AttemptOutcome::NoConnection => usage.drop_last_load(),
            AttemptOutcome::TimedOut => circuit.record_timeout(),
            _ => {}
        }
        // A single lost connection between completions does not indicate an outage.
        if outcome == AttemptOutcome::TimedOut || circuit.failure_count() > 1 {
            usage.record_fault(now);
        }
    }

    /// Queues a message again after an attempt without a final answer, or finishes the message if every
    /// further attempt is ruled out.
    fn requeue_or_finish(
        &mut self,
        attempt: &Attempt,
        now: Duration,
        outcome: AttemptOutcome,
        host: &mut dyn PolicyHost,
    ) {
        let key = attempt.message;
        let Some(message) = self.messages.get_mut(key) else { return };
        if !outcome.proves_not_executed() {
            let earlier = message.possible_execution().map(|earlier| earlier.started_at);
            message.set_possible_execution(Some(PossibleExecution {
                started_at: earlier.map_or(attempt.started_at, |at| at.min(attempt.started_at)),
                endpoint: attempt.endpoint,
            }));
        }
        if !message.in_flight().is_empty() {
            return;
        }
        if outcome == AttemptOutcome::Malformed {
            // A malformed message gets the same result at every endpoint, also when it is submitted again.
            host.fail_message(&message.id);
            self.remove_message(key, host);
        } else if self.cannot_be_sent(key, now) {
            self.finish_undelivered(key, now, host);
        } else {
            self.enqueue(key);
        }
    }
}

/// Returns a running mean updated with one response time, both in seconds.
fn updated_mean(mean: Option<f64>, latency: f64) -> f64 {
    mean.map_or(latency, |mean| mean + MEAN_LATENCY_WEIGHT * (latency - mean))
}
