//! Starts and records requests, and cancels their attempts.

use std::time::Duration;

use super::slow_start::LOAD_PER_EXTRA_MESSAGE;
use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::{AttemptTimeouts, PolicyHost, RequestId};
use crate::message_key::MessageKey;
use crate::state::{AdmittedEndpoint, Attempt, AttemptKey, RequestInFlight, SentLoad};

impl DeliveryPolicy {
    /// Starts one request that carries these messages.
    pub(super) fn start_request(
        &mut self,
        messages: Vec<MessageKey>,
        admitted: AdmittedEndpoint,
        now: Duration,
        host: &mut dyn PolicyHost,
    ) {
        let request = RequestInFlight { id: RequestId(self.sequence_numbers.next()), started_at: now };
        self.in_flight.add_request(request.id, messages.len() as u32);
        let load = 1.0 + LOAD_PER_EXTRA_MESSAGE * (messages.len() - 1) as f64;
        let shared_timeout = self.shared_timeout(&messages, admitted);
        for key in messages {
            self.start_attempt(key, admitted, request, shared_timeout, host);
        }
        self.record_request(admitted, request, load);
        let pacing = self.circuit_mut(admitted.scope).pacing_mut();
        pacing.postpone(pacing.postponed_until().max(now + duration_from_seconds(pacing.interval_seconds())));
    }

    /// Returns the minimum response timeout for all attempts of a request: the longest of their own timeouts.
    ///
    /// An attempt that timed out before the others would be retried while its request still carries the
    /// message.
    fn shared_timeout(&self, messages: &[MessageKey], admitted: AdmittedEndpoint) -> Duration {
        if self.parameters.hedging_allowed {
            return Duration::ZERO;
        }
        let messages = messages.iter().filter_map(|key| self.messages.get(*key));
        let timeouts = messages.map(|m| self.response_timeout(m, admitted.scope, admitted.half_open_trial));
        timeouts.max().unwrap_or_default()
    }

    /// Starts the attempt of one message as a part of a request.
    fn start_attempt(
        &mut self,
        key: MessageKey,
        admitted: AdmittedEndpoint,
        request: RequestInFlight,
        shared_timeout: Duration,
        host: &mut dyn PolicyHost,
    ) {
        let now = request.started_at;
        let Some(message) = self.messages.get(key) else { return };
        let time_left = message.deadline.saturating_sub(now);
        let own_timeout = self.response_timeout(message, admitted.scope, admitted.half_open_trial);
        let response_within = own_timeout.max(shared_timeout).min(time_left);
        let start_within =
            self.latest_start(message, admitted.scope).saturating_sub(now).min(response_within);
        let is_retry = message.attempts() > 0;
        let attempt = Attempt::new(key, message, admitted, request);
        let Some(attempt_key) = self.record_attempt(attempt) else { return };
        if is_retry {
            let initial = self.parameters.initial_retry_tokens;
            self.endpoints.update_usage(&[admitted.endpoint], |usage| usage.spend_retry_token(initial));
        }
        if admitted.half_open_trial {
            let recovery_delay = self.recovery_delay(&self.endpoints[admitted.endpoint], now);
            let circuit = self.circuit_mut(admitted.scope);
            circuit.reopen(now, recovery_delay);
            circuit.begin_trial(attempt_key.clone());
        }
        let timeouts = AttemptTimeouts { request: request.id, start_within, response_within };
        host.start_attempt(&attempt_key.message, admitted.endpoint, timeouts);
    }

    /// Records an attempt of a queued message, and removes the message from the queue.
    fn record_attempt(&mut self, attempt: Attempt) -> Option<AttemptKey> {
        self.dequeue(attempt.message);
        let message = self.messages.get_mut(attempt.message)?;
        let key = AttemptKey { number: message.start_attempt(), message: message.id.clone() };
        self.endpoints.traffic_mut(message.destination).record_request(attempt.request.0);
        self.in_flight.add_attempt(key.clone(), attempt);
        Some(key)
    }

    /// Records a request that was sent, and the load that it adds to its endpoint.
    fn record_request(&mut self, admitted: AdmittedEndpoint, request: RequestInFlight, load: f64) {
        self.circuit_mut(admitted.scope).record_request(request);
        let sent = SentLoad { at: request.started_at, load };
        self.endpoints.update_usage(&[admitted.endpoint], |usage| usage.record_request(sent));
    }

    /// Cancels every attempt that a request carries.
    pub(super) fn cancel_request(&mut self, request: RequestId, host: &mut dyn PolicyHost) {
        self.in_flight.cancel_request(request, |key| host.cancel_attempt(&key.message, key.number));
    }
}
