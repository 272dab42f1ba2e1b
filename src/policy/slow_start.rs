//! Slow start: limits the load on a destination that warms up after an outage.

use std::time::Duration;

use super::capacity_share::{MIN_DESTINATION_CAPACITY, MIN_RATE};
use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::CircuitScope;
use crate::state::Endpoint;

/// Assumed capacity of an endpoint after slow start, as a multiple of [`DeliveryPolicy::baseline_rate`].
/// Above 1, because a destination has more capacity than its ordinary traffic needs.
const SLOW_START_BASELINE_MULTIPLE: f64 = 1.5;
/// Load of each further message in a request, relative to a request with one message.
pub(super) const LOAD_PER_EXTRA_MESSAGE: f64 = 0.25;

/// Minimum slow start duration, in seconds, by which warm-up times are divided; prevents a division by zero.
const MIN_SLOW_START_SECONDS: f64 = 0.001;

/// Load that slow start allows on an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SlowStartBudget {
    /// Maximum load, in requests with one message.
    Load(f64),
    /// The budget is used up; no request may be sent before the given time.
    UsedUpUntil(Duration),
}

impl SlowStartBudget {
    /// Budget of an endpoint that is not warming up.
    const UNLIMITED: SlowStartBudget = SlowStartBudget::Load(f64::MAX);
}

impl DeliveryPolicy {
    /// Returns the load that slow start allows on the endpoint now, in requests with one message.
    ///
    /// Prevents overload of an endpoint that recently failed requests or was in an outage, and may still be
    /// warming up. An endpoint that fails part of its requests is covered too. One that was never down is slowed
    /// for some seconds after a timeout.
    pub(super) fn slow_start_budget(
        &self,
        scope: CircuitScope,
        endpoint: &Endpoint,
        now: Duration,
    ) -> SlowStartBudget {
        let Some(last_fault) = endpoint.usage().last_fault() else { return SlowStartBudget::UNLIMITED };
        let parameters = &self.parameters;
        // An endpoint without a completion since its last fault may still be down. The requests of many
        // forwarders together would overload it when it returns.
        let answered =
            self.circuits.get(scope).is_some_and(|circuit| circuit.last_completion() >= last_fault);
        let assumed_downtime = if answered || !parameters.has_sparse_traffic {
            Duration::ZERO
        } else {
            parameters.slow_start_duration
        };
        // The warm-up time is taken at the middle of the window that the budget applies to.
        let warm_up_seconds =
            now.saturating_sub(last_fault + assumed_downtime + parameters.overload_window / 2).as_secs_f64();
        let share = parameters.slow_start_floor
            + (1.0 - parameters.slow_start_floor) * warm_up_seconds
                / parameters.slow_start_duration.as_secs_f64().max(MIN_SLOW_START_SECONDS);
        if share >= 1.0 {
            return SlowStartBudget::UNLIMITED;
        }
        let baseline = self.baseline_rate(endpoint, now);
        let load_per_second =
            SLOW_START_BASELINE_MULTIPLE * parameters.overload_capacity_multiple * share * baseline;
        // The budget of one forwarder is only a few requests per window. Requests are therefore spaced evenly
        // instead of counted.
        let last_load = endpoint.usage().recent_load().back();
        let next_load_at =
            last_load.map(|sent| sent.at + duration_from_seconds(sent.load / load_per_second.max(MIN_RATE)));
        let budget = (load_per_second * parameters.overload_window.as_secs_f64()).max(1.0);
        match next_load_at {
            Some(at) if now < at => SlowStartBudget::UsedUpUntil(at),
            _ => SlowStartBudget::Load(budget),
        }
    }

    /// Returns how many messages a request may carry within the slow start budget; 1 if it is used up.
    pub(super) fn slow_start_max_batch(
        &self,
        scope: CircuitScope,
        endpoint: &Endpoint,
        now: Duration,
    ) -> usize {
        let budget = match self.slow_start_budget(scope, endpoint, now) {
            SlowStartBudget::Load(budget) => budget,
            SlowStartBudget::UsedUpUntil(_) => 1.0,
        };
        (1.0 + (budget - 1.0) / LOAD_PER_EXTRA_MESSAGE) as usize
    }

    /// Returns how long a circuit stays open before a trial.
    ///
    /// Every forwarder sends its own trials, and the first ones after a recovery reach a destination that is
    /// warming up. With many forwarders or a small destination, the delay is longer.
    pub(super) fn recovery_delay(&self, endpoint: &Endpoint, now: Duration) -> Duration {
        let parameters = &self.parameters;
        let baseline =
            self.baseline_rate(endpoint, now).max(MIN_DESTINATION_CAPACITY / parameters.forwarders);
        let trials_per_window = parameters.overload_capacity_multiple
            * parameters.slow_start_floor
            * baseline
            * parameters.overload_window.as_secs_f64();
        if trials_per_window >= 1.0 {
            return parameters.recovery_delay;
        }
        let delay = duration_from_seconds(parameters.overload_window.as_secs_f64() / trials_per_window);
        parameters.recovery_delay.max(delay.min(2 * parameters.slow_start_duration))
    }
}
