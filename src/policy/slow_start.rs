//! Slow start: what a destination may be sent while it warms up after an outage.

use std::time::Duration;

use super::capacity_share::{MIN_DESTINATION_CAPACITY, MIN_RATE};
use super::{seconds, DeliveryPolicy};
use crate::interface::CircuitScope;
use crate::state::Endpoint;

/// What may be sent, as a multiple of the budget derived from the long-term rate. Over 1, as a destination is built
/// for more than its ordinary traffic. Measured at 0.75, 1.1 and 1.5: faster recoveries each time, no rule broken by it.
const SLOW_START_BASELINE_MULTIPLE: f64 = 1.5;
/// Load of one more message within a request, against that of a request with one.
pub(super) const LOAD_PER_EXTRA_MESSAGE: f64 = 0.25;

/// The least slow start duration, in seconds, that shares of it are derived from.
const MIN_DURATION_SECONDS: f64 = 0.001;

/// What an endpoint may be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SlowStartBudget {
    /// So much load, in requests with one message.
    Load(f64),
    /// Nothing before this time.
    UsedUpUntil(Duration),
}

impl SlowStartBudget {
    /// For an endpoint that is not warming up.
    const UNLIMITED: SlowStartBudget = SlowStartBudget::Load(f64::MAX);
}

impl DeliveryPolicy {
    /// What may go to the endpoint now.
    ///
    /// Guard for rule 4. Symptom: an endpoint that failed requests, or rejected all, may be recovering and have to
    /// warm up. Also covers one that fails part of its requests. It can harm one that was never down, by pacing it
    /// for some seconds after a timeout.
    pub(super) fn slow_start_budget(
        &self,
        scope: CircuitScope,
        endpoint: &Endpoint,
        now: Duration,
    ) -> SlowStartBudget {
        let Some(last_fault) = endpoint.usage().last_fault() else { return SlowStartBudget::UNLIMITED };
        let parameters = &self.parameters;
        // An endpoint that has not answered since may still be down, and with many forwarders their requests together
        // would overload it as it returns.
        let answered =
            self.circuits.get(scope).is_some_and(|circuit| circuit.last_completion() >= last_fault);
        let assumed_downtime = if answered || !parameters.has_sparse_traffic {
            Duration::ZERO
        } else {
            parameters.slow_start_duration
        };
        // Measured to the middle of the span that the budget is counted over.
        let warmed =
            now.saturating_sub(last_fault + assumed_downtime + parameters.overload_window / 2).as_secs_f64();
        let share = parameters.slow_start_floor
            + (1.0 - parameters.slow_start_floor) * warmed
                / parameters.slow_start_duration.as_secs_f64().max(MIN_DURATION_SECONDS);
        if share >= 1.0 {
            return SlowStartBudget::UNLIMITED;
        }
        let baseline = self.baseline_rate(endpoint, now);
        let per_second = SLOW_START_BASELINE_MULTIPLE * parameters.overload_multiple * share * baseline;
        // The share of one forwarder is a few requests in each window, so they are spaced and not counted.
        let last = endpoint.usage().recent_load().back();
        let next = last.map(|sent| sent.at + seconds(sent.load / per_second.max(MIN_RATE)));
        let budget = (per_second * parameters.overload_window.as_secs_f64()).max(1.0);
        match next {
            Some(at) if now < at => SlowStartBudget::UsedUpUntil(at),
            _ => SlowStartBudget::Load(budget),
        }
    }

    /// How many messages a request may carry within the slow start budget; 1 where it is used up.
    pub(super) fn slow_start_batch(&self, scope: CircuitScope, endpoint: &Endpoint, now: Duration) -> usize {
        let budget = match self.slow_start_budget(scope, endpoint, now) {
            SlowStartBudget::Load(budget) => budget,
            SlowStartBudget::UsedUpUntil(_) => 1.0,
        };
        (1.0 + (budget - 1.0) / LOAD_PER_EXTRA_MESSAGE) as usize
    }

    /// How long a circuit stays open before a trial. Every forwarder sends trials of its own, and the first ones
    /// after a recovery all reach a destination that is warming up: with many forwarders or a small destination
    /// they are sent less often.
    pub(super) fn recovery_delay(&self, endpoint: &Endpoint, now: Duration) -> Duration {
        let parameters = &self.parameters;
        let share = self.baseline_rate(endpoint, now).max(MIN_DESTINATION_CAPACITY / parameters.forwarders);
        let trials = parameters.overload_multiple
            * parameters.slow_start_floor
            * share
            * parameters.overload_window.as_secs_f64();
        if trials >= 1.0 {
            return parameters.recovery_delay;
        }
        let delay = seconds(parameters.overload_window.as_secs_f64() / trials);
        parameters.recovery_delay.max(delay.min(2 * parameters.slow_start_duration))
    }
}
