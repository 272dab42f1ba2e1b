//! Schedules requests: destinations compete for the limited number of requests in flight.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::{DestinationId, PolicyHost};
use crate::queue::QueueClass;
use crate::state::EarliestTime;

/// Minimum wait by which destinations are compared, as a share of the latency objective; prevents a division
/// by zero. A destination with a longer wait gets a larger share of the requests in flight. A slow destination
/// must not get all of them, and others fill their batches meanwhile.
const MIN_RELATIVE_WAIT: f64 = 0.1;
/// Minimum latency objective, in seconds, that waits are compared with; prevents a division by zero.
const MIN_OBJECTIVE_SECONDS: f64 = 0.001;

/// Sort key of destinations for the next request. The destination with the lowest key is served first; fields
/// are compared in their order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SchedulingKey {
    /// Requests in flight including the next one, times the slowness of the destination, divided by its
    /// relative wait.
    load_per_wait: u64,
    /// Number of the destination's last request, so that the least recently served destination comes first.
    last_request_number: u64,
    destination: DestinationId,
}

impl DeliveryPolicy {
    /// Makes all decisions that are due. The host calls this method after it has reported all events up to
    /// `now`.
    pub fn run_due_work(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        let mut wake = EarliestTime::default();
        if self.poll_schedule.take_due(now) {
            host.watch_endpoint_list(true);
        }
        wake.include(self.poll_schedule.next_poll());
        self.queue.wake_due_destinations(now);
        for destination in self.queue.awake_destinations().clone() {
            self.remove_stale_records(destination, now);
        }
        self.evict_lowest_priority(now, host);
        self.remove_expired_records(now);
        self.schedule_requests(now, host, &mut wake);
        self.expire_messages(now, host, &mut wake);
        if self.in_flight_limit_reached() {
            self.cancel_straggler(now, host, &mut wake);
        }
        if let Some(after) = wake.time().and_then(|at| self.timer.request(at, now)) {
            host.set_timer(after);
        }
    }

    /// Returns whether the limit of requests in flight is reached.
    fn in_flight_limit_reached(&self) -> bool {
        self.in_flight.request_count() >= self.parameters.max_in_flight
    }

    /// Starts requests up to the limit of requests in flight, each for the destination with the lowest key.
    fn schedule_requests(&mut self, now: Duration, host: &mut dyn PolicyHost, wake: &mut EarliestTime) {
        if self.in_flight_limit_reached() {
            return;
        }
        if let Some(until) = self.endpoints.all_unconfirmed_until(now) {
            wake.include(Some(until));
            return;
        }
        let awake = self.queue.awake_destinations().iter();
        let relative_waits: BTreeMap<_, _> = awake.map(|d| (*d, self.relative_wait(*d, now))).collect();
        let mut candidates: BinaryHeap<_> =
            relative_waits.iter().map(|(d, wait)| Reverse(self.scheduling_key(*d, *wait))).collect();
        let mut next_admission = EarliestTime::default();
        next_admission.include(self.queue.next_wake());
        while !self.in_flight_limit_reached() {
            let Some(Reverse(SchedulingKey { destination, .. })) = candidates.pop() else {
                // No further request can be sent before an endpoint of a destination admits one again.
                wake.include(next_admission.time());
                return;
            };
            if self.schedule_request(destination, now, host, &mut next_admission)
                && self.queue.destination_queue(destination).is_some()
            {
                candidates.push(Reverse(self.scheduling_key(destination, relative_waits[&destination])));
            }
        }
    }

    /// Returns the sort key of a destination. A slow request counts as several, because it stays in flight
    /// for as long as several of average duration.
    fn scheduling_key(&self, destination: DestinationId, relative_wait: f64) -> SchedulingKey {
        let slowness = self.circuits_of(destination).map(|circuit| self.slowness(Some(circuit)));
        let slowness = slowness.reduce(f64::min).unwrap_or(1.0);
        let requests = (self.endpoints.requests_in_flight(destination) + 1) as f64;
        let traffic = self.endpoints.destination(destination).map(|known| known.traffic());
        SchedulingKey {
            load_per_wait: (requests * slowness / relative_wait) as u64,
            last_request_number: traffic.map_or(0, |traffic| traffic.last_request_number()),
            destination,
        }
    }

    /// Returns how long the oldest message of a destination that may still meet its latency objective has
    /// waited, as a share of the objective.
    fn relative_wait(&self, destination: DestinationId, now: Duration) -> f64 {
        let objective = |class: &QueueClass| {
            let objective = self.parameters.classes[class.priority.class].latency_objective;
            objective.as_secs_f64().max(MIN_OBJECTIVE_SECONDS)
        };
        let elapsed_share = |(class, objective_ends_at): (&QueueClass, Duration)| {
            1.0 - objective_ends_at.saturating_sub(now).as_secs_f64() / objective(class)
        };
        let next = self
            .queue
            .destination_queue(destination)
            .into_iter()
            .flat_map(|queue| queue.next_objectives(now));
        next.map(elapsed_share).filter(|elapsed_share| *elapsed_share < 1.0).fold(MIN_RELATIVE_WAIT, f64::max)
    }
}
