//! Pacing: the least time between two requests to a circuit that rejects them, and the time slots of large
//! fleets.

use std::time::Duration;

use super::{seconds, DeliveryPolicy};
use crate::interface::CircuitScope;
use crate::state::{Endpoint, Pacing, MIN_TIMER};

/// The pacing interval grows by this factor with each rejection and shrinks with each answer.
pub(super) const PACING_GROWTH: f64 = 1.6;
const PACING_SHRINK: f64 = 0.93;
/// The same where a forwarder gets an answer once in seconds, so that each has to count for more.
const SPARSE_PACING_SHRINK: f64 = 0.75;
/// How many times as high as the true rate an approximate listed rate may be. It is also the first interval after
/// a rejection, as a multiple of the interval at this forwarder's share of a listed rate.
pub(super) const APPROXIMATE_RATE_MARGIN: f64 = 1.5;
/// The length of time slots at an endpoint with a listed rate, where forwarders are many, as a multiple of the
/// interval at this forwarder's share of that rate. Under 1, as some slots stay unused.
const TIME_SLOT_INTERVALS: f64 = 0.8;
/// The part of a time slot in which its request may begin, and the least length of that part in seconds: a host that
/// runs due work on a coarse grid would miss short ones each time.
const TIME_SLOT_OPEN_SHARE: f64 = 0.3;
const TIME_SLOT_OPEN_MIN_SECONDS: f64 = 0.1;

impl DeliveryPolicy {
    /// When this forwarder's next time slot at the endpoint begins; none if a request may go now.
    ///
    /// Symptom: many forwarders that had no rejection yet send messages as they come, and a burst that comes to
    /// all of them is over a limit which rejected requests use up too, so that nothing passes for seconds.
    /// Where no response reports limits, each has time slots at an endpoint with a listed rate, one request in
    /// each; their phases are random and they are soon over, so that unused ones are not saved for the burst. It
    /// costs part of a latency objective where the traffic is far from the limit.
    pub(super) fn next_time_slot(
        &self,
        scope: CircuitScope,
        endpoint: &Endpoint,
        now: Duration,
    ) -> Option<Duration> {
        let has_slots = self.parameters.has_sparse_traffic
            && self.endpoints.has_own_circuit(endpoint)
            && !self.parameters.responses_carry_load_reports;
        let listed = self.listed_rate(endpoint).filter(|_| has_slots)?;
        let slot = self.time_slot_seconds(endpoint, listed, now);
        let slots_passed = now.as_secs_f64() / slot + endpoint.slot_phase;
        let began = now.saturating_sub(seconds(slots_passed.fract() * slot));
        let used = self.circuits.get(scope).is_some_and(|circuit| circuit.last_sent() > began);
        let open = (TIME_SLOT_OPEN_SHARE * slot).max(TIME_SLOT_OPEN_MIN_SECONDS);
        (used || slots_passed.fract() * slot > open).then(|| began + seconds(slot) + MIN_TIMER)
    }

    /// The length of this forwarder's time slots at an endpoint with a listed rate.
    fn time_slot_seconds(&self, endpoint: &Endpoint, listed: f64, now: Duration) -> f64 {
        // A forwarder that has several times the traffic of others has that many times as many slots.
        let slots = (self.fair_share(endpoint, now) * self.parameters.forwarders / listed).round().max(1.0);
        let intervals = if self.listed_rate_counts_batches(endpoint) {
            APPROXIMATE_RATE_MARGIN
        } else {
            TIME_SLOT_INTERVALS
        };
        let slot = intervals * self.parameters.forwarders / listed / slots;
        // Against absurd listed rates, too high or too low.
        slot.min(self.parameters.longest_deadline.as_secs_f64()).max(MIN_TIMER.as_secs_f64())
    }
}

impl Pacing {
    /// An attempt was completed: requests may follow each other sooner. `remaining_limit_share` is the share of a rate limit
    /// that is left, where it is known.
    pub(super) fn shrink(&mut self, remaining_limit_share: Option<f64>, has_sparse_traffic: bool) {
        let shrink = if has_sparse_traffic { SPARSE_PACING_SHRINK } else { PACING_SHRINK };
        // Rejected requests use up a limit too, so the interval shrinks slowly while little is left of it; with
        // capacity left no pacing is needed.
        let factor = remaining_limit_share.map_or(shrink, |left| PACING_SHRINK * (1.0 - left));
        self.set_interval_seconds(self.interval_seconds() * factor);
    }
}
