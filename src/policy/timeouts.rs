//! Response timeouts, and the latest time at which an attempt may begin.

use std::time::Duration;

use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::{CircuitScope, Idempotency};
use crate::state::Message;

/// Response timeout, in mean response times of the circuit.
const RESPONSE_TIMEOUT_LATENCY_FACTOR: f64 = 12.0;
/// Response timeout of half-open trials, in mean response times; also the time that a non-idempotent message
/// needs before a shutdown.
const TRIAL_TIMEOUT_LATENCY_FACTOR: f64 = 4.0;
/// Factor by which the response timeout of a non-idempotent message is longer.
const NON_IDEMPOTENT_TIMEOUT_FACTOR: f64 = 2.0;
/// Factor by which the response timeout grows with each consecutive timeout, so that a slow destination can
/// still respond.
const TIMEOUT_GROWTH_FACTOR: f64 = 1.5;
/// Number of consecutive timeouts beyond which further timeouts do not increase the response timeout.
const MAX_TIMEOUT_GROWTH_STEPS: u32 = 2;

impl DeliveryPolicy {
    /// Returns the time until which a retry is safe: the expiry of the idempotency key of the first attempt
    /// that may have executed the message. `Duration::MAX` if no key limits the retry.
    pub(super) fn key_valid_until(&self, message: &Message) -> Duration {
        match (message.possible_execution(), self.idempotency(message)) {
            (Some(first), Idempotency::WithKey { window, .. }) => first.started_at + window,
            _ => Duration::MAX,
        }
    }

    /// Returns the latest time at which an attempt may begin. Before a shutdown, time is left for the
    /// response to a non-idempotent message, because such a message could not be retried after a restart.
    pub(super) fn latest_start(&self, message: &Message, scope: CircuitScope) -> Duration {
        let own = self.circuits.get(scope).and_then(|circuit| circuit.mean_latency_seconds());
        let mean = own.or(self.response_times.mean_latency_seconds()).unwrap_or_default();
        let latency_factor = if self.idempotency(message) == Idempotency::NonIdempotent {
            TRIAL_TIMEOUT_LATENCY_FACTOR
        } else {
            0.0
        };
        let shutdown = self
            .shutdown_deadline
            .map_or(Duration::MAX, |by| by.saturating_sub(duration_from_seconds(latency_factor * mean)));
        self.key_valid_until(message).min(shutdown)
    }

    /// Returns the response timeout of an attempt.
    pub(super) fn response_timeout(&self, message: &Message, scope: CircuitScope, trial: bool) -> Duration {
        let class = &self.parameters.classes[message.class];
        let circuit = self.circuits.get(scope);
        let mean = circuit.and_then(|circuit| circuit.mean_latency_seconds()).unwrap_or(0.0);
        let consecutive_timeouts =
            circuit.map_or(0, |circuit| circuit.consecutive_timeouts().min(MAX_TIMEOUT_GROWTH_STEPS));
        let growth = TIMEOUT_GROWTH_FACTOR.powi(consecutive_timeouts as i32);
        // Only one trial is in flight at a time, so a long timeout would delay the recovery.
        let ordinary = (RESPONSE_TIMEOUT_LATENCY_FACTOR, class.latency_objective);
        let (latency_factor, floor) =
            if trial { (TRIAL_TIMEOUT_LATENCY_FACTOR, self.parameters.recovery_delay) } else { ordinary };
        duration_from_seconds(
            (latency_factor * mean).max(floor.as_secs_f64())
                * response_timeout_factor(class.idempotency)
                * growth,
        )
    }
}

/// Returns the factor by which an idempotency multiplies the response timeout. A non-idempotent message is
/// lost if its attempt times out, and is therefore allowed more time.
pub(super) fn response_timeout_factor(idempotency: Idempotency) -> f64 {
    if idempotency == Idempotency::NonIdempotent {
        NON_IDEMPOTENT_TIMEOUT_FACTOR
    } else {
        1.0
    }
}
