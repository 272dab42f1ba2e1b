//! Pacing: the minimum time between two requests to a circuit that rejects them, and the time slots of large
//! fleets.

use std::time::Duration;

use super::{duration_from_seconds, DeliveryPolicy};
use crate::interface::CircuitScope;
use crate::state::{Endpoint, Pacing, MIN_TIMER};

/// Factor by which the pacing interval grows with each rejection.
pub(super) const PACING_INTERVAL_GROWTH_FACTOR: f64 = 1.6;
/// Factor by which the pacing interval shrinks with each completion.
const PACING_INTERVAL_SHRINK_FACTOR: f64 = 0.93;
/// Factor by which the pacing interval shrinks with each completion under sparse traffic, where completions
/// are rare.
const SPARSE_TRAFFIC_INTERVAL_SHRINK_FACTOR: f64 = 0.75;
/// Factor by which an approximate listed rate may exceed the true rate. The first pacing interval
/// after a rejection is this factor times the interval at this forwarder's share of the listed rate.
pub(super) const APPROXIMATE_RATE_MARGIN: f64 = 1.5;
/// Length of a time slot, as a multiple of the interval at this forwarder's share of the listed rate. Below
/// 1, because some slots stay unused.
const TIME_SLOT_INTERVAL_FACTOR: f64 = 0.8;
/// Share of a time slot, from its start, in which its request may begin.
const TIME_SLOT_OPEN_SHARE: f64 = 0.3;
/// Minimum time from the start of a time slot in which its request may begin. A host that runs due work at
/// coarse intervals would miss a shorter time.
const TIME_SLOT_OPEN_MIN_SECONDS: f64 = 0.1;

impl DeliveryPolicy {
    /// Returns when this forwarder's next time slot at the endpoint begins; `None` if a request may be sent
    /// now.
    ///
    /// Prevents bursts at many forwarders from exceeding the rate limit of an endpoint that has a listed rate
    /// but reports no limit. Each slot admits one request; the slots of each forwarder have a random offset.
    /// Unused slots do not accumulate. Without slots a burst can exceed a limit that rejected requests use up as
    /// well, so that nothing passes for seconds. Where the traffic is far from the limit, the wait for a slot
    /// costs part of a latency objective.
    pub(super) fn next_time_slot(
        &self,
        scope: CircuitScope,
        endpoint: &Endpoint,
        now: Duration,
    ) -> Option<Duration> {
        let has_slots = self.parameters.has_sparse_traffic
            && self.endpoints.has_own_circuit(endpoint)
            && !self.parameters.responses_carry_load_reports;
        let listed_rate = self.listed_rate(endpoint).filter(|_| has_slots)?;
        let slot_seconds = self.time_slot_seconds(endpoint, listed_rate, now);
        let slots_passed = now.as_secs_f64() / slot_seconds + endpoint.slot_phase;
        let slot_start = now.saturating_sub(duration_from_seconds(slots_passed.fract() * slot_seconds));
        let slot_used = self.circuits.get(scope).is_some_and(|circuit| circuit.last_sent() > slot_start);
        let open_seconds = (TIME_SLOT_OPEN_SHARE * slot_seconds).max(TIME_SLOT_OPEN_MIN_SECONDS);
        (slot_used || slots_passed.fract() * slot_seconds > open_seconds)
            .then(|| slot_start + duration_from_seconds(slot_seconds) + MIN_TIMER)
    }

    /// Returns the length, in seconds, of this forwarder's time slots at an endpoint with a listed rate.
    fn time_slot_seconds(&self, endpoint: &Endpoint, listed_rate: f64, now: Duration) -> f64 {
        // A forwarder with several times the mean traffic has that many times as many slots.
        let slot_count =
            (self.fair_share(endpoint, now) * self.parameters.forwarders / listed_rate).round().max(1.0);
        let interval_factor = if self.listed_rate_counts_batches(endpoint) {
            APPROXIMATE_RATE_MARGIN
        } else {
            TIME_SLOT_INTERVAL_FACTOR
        };
        let slot_seconds = interval_factor * self.parameters.forwarders / listed_rate / slot_count;
        // Limits the effect of a listed rate that is far too high or too low.
        slot_seconds.min(self.parameters.longest_deadline.as_secs_f64()).max(MIN_TIMER.as_secs_f64())
    }
}

impl Pacing {
    /// Shrinks the pacing interval after a completed attempt. `unused_rate_limit_share` is `None` if no
    /// rate limit is reported.
    pub(super) fn shrink(&mut self, unused_rate_limit_share: Option<f64>, has_sparse_traffic: bool) {
        let shrink = if has_sparse_traffic {
            SPARSE_TRAFFIC_INTERVAL_SHRINK_FACTOR
        } else {
            PACING_INTERVAL_SHRINK_FACTOR
        };
        // The interval shrinks slowly while little is left of the limit, which rejected requests use up too.
        // Pacing ends when the whole limit is left.
        let factor =
            unused_rate_limit_share.map_or(shrink, |left| PACING_INTERVAL_SHRINK_FACTOR * (1.0 - left));
        self.set_interval_seconds(self.interval_seconds() * factor);
    }
}
