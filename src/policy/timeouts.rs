//! Until when an attempt may begin, and its response timeout.

use std::time::Duration;

use super::{seconds, DeliveryPolicy};
use crate::interface::{CircuitScope, Idempotency};
use crate::state::Message;

/// The response timeout in mean response times of the circuit; measured at 8, 12 and 16.
const TIMEOUT_MEANS: f64 = 12.0;
/// The same for half-open trials, and the time that a non-idempotent message needs before a shutdown.
const TRIAL_MEANS: f64 = 4.0;
/// How many times as long the response to a non-idempotent message is awaited.
const NON_IDEMPOTENT_TIMEOUT_FACTOR: f64 = 2.0;
/// The timeout grows by this factor with each of the last timeouts in a row, so that a slow destination is not
/// cut off.
const TIMEOUT_GROWTH: f64 = 1.5;
/// Timeouts in a row beyond which it grows no more.
const MAX_TIMEOUT_GROWTHS: u32 = 2;

impl DeliveryPolicy {
    /// Until when a retry is safe: while the idempotency key of the first attempt that may have executed the
    /// message is valid. Without end for what needs no key.
    pub(super) fn key_valid_until(&self, message: &Message) -> Duration {
        match (message.possible_execution(), self.idempotency(message)) {
            (Some(first), Idempotency::WithKey { window, .. }) => first.started_at + window,
            _ => Duration::MAX,
        }
    }

    /// Until when an attempt may begin. A message in flight when the program stops may have been executed, and a
    /// non-idempotent one could then not be retried.
    pub(super) fn start_by(&self, message: &Message, scope: CircuitScope) -> Duration {
        let own = self.circuits.get(scope).and_then(|circuit| circuit.mean_latency_seconds());
        let mean = own.or(self.response_times.mean_latency_seconds()).unwrap_or_default();
        let means = if self.idempotency(message) == Idempotency::NonIdempotent { TRIAL_MEANS } else { 0.0 };
        let shutdown =
            self.shutdown_deadline.map_or(Duration::MAX, |by| by.saturating_sub(seconds(means * mean)));
        self.key_valid_until(message).min(shutdown)
    }

    /// The response timeout of an attempt.
    pub(super) fn response_timeout(&self, message: &Message, scope: CircuitScope, trial: bool) -> Duration {
        let class = &self.parameters.classes[message.class];
        let circuit = self.circuits.get(scope);
        let mean = circuit.and_then(|circuit| circuit.mean_latency_seconds()).unwrap_or(0.0);
        let timeouts = circuit.map_or(0, |circuit| circuit.consecutive_timeouts().min(MAX_TIMEOUT_GROWTHS));
        let growth = TIMEOUT_GROWTH.powi(timeouts as i32);
        // No second trial is sent while one is in flight, so a long one would delay the recovery.
        let ordinary = (TIMEOUT_MEANS, class.latency_objective);
        let (means, floor) = if trial { (TRIAL_MEANS, self.parameters.recovery_delay) } else { ordinary };
        seconds((means * mean).max(floor.as_secs_f64()) * timeout_factor(class.idempotency) * growth)
    }
}

/// How many times as long a response is awaited by idempotency: a non-idempotent message whose attempt is cut off
/// is lost.
pub(super) fn timeout_factor(idempotency: Idempotency) -> f64 {
    if idempotency == Idempotency::NonIdempotent {
        NON_IDEMPOTENT_TIMEOUT_FACTOR
    } else {
        1.0
    }
}
