//! What happens to a request when it arrives at its endpoint: accepted, rejected, or lost.

use std::time::Duration;

use reeddock::AttemptOutcome;

use super::event::{Event, ForwarderInput};
use super::state::World;
use crate::distribution::duration_from_seconds;
use crate::fault::Fault;
use crate::ids::{DestinationIndex, EndpointIndex, ForwarderIncarnation, RequestIndex};
use crate::report::rounded;

/// Work of one more message within a request, against the request itself.
pub(super) const WORK_PER_EXTRA_MESSAGE: f64 = 0.25;
/// Work of a health check, in requests of one message.
const HEALTH_CHECK_WORK: f64 = 1.0;
/// Guards the division by an endpoint's capacity, in requests a second.
const MIN_CAPACITY: f64 = 1e-6;

impl World<'_> {
    // # The endpoint's state.

    /// Whether a fault of some kind affects an endpoint.
    pub(super) fn has_fault(&self, endpoint: EndpointIndex, is_kind: impl Fn(&Fault) -> bool) -> bool {
        let active = &self.endpoints[endpoint.0].active_faults;
        active.iter().any(|index| is_kind(self.fault(*index)))
    }

    /// Whether packets to and from the endpoint are lost.
    pub(super) fn is_unreachable(&self, endpoint: EndpointIndex) -> bool {
        self.has_fault(endpoint, |fault| matches!(fault, Fault::Unreachable { .. }))
    }

    /// Whether the endpoint accepts requests and does not respond.
    pub(super) fn hangs(&self, endpoint: EndpointIndex) -> bool {
        self.has_fault(endpoint, |fault| matches!(fault, Fault::Hang { .. }))
    }

    /// Whether the endpoint refuses connections at once.
    pub(super) fn refuses_connections(&self, endpoint: EndpointIndex) -> bool {
        let state = &self.endpoints[endpoint.0];
        state.removed
            || state.is_overloaded(self.now())
            || self.has_fault(endpoint, |fault| matches!(fault, Fault::ConnectionsRefused { .. }))
    }

    /// Factor of the time that work takes at an endpoint now.
    pub(super) fn slowdown(&self, endpoint: EndpointIndex) -> f64 {
        let state = &self.endpoints[endpoint.0];
        let factors = state.active_faults.iter().map(|index| match self.fault(*index) {
            Fault::Slow { factor, .. } => factor.get(),
            _ => 1.0,
        });
        let work_factor = self.layout.destinations[state.plan.destination.0].work_factor;
        work_factor * factors.product::<f64>() / state.warmth(self.now(), &self.scenario.recovery)
    }

    /// Requests a second that a destination's endpoints can serve now.
    pub(super) fn capacity_now(&self, destination: DestinationIndex) -> f64 {
        let work_factor = self.layout.destinations[destination.0].work_factor;
        let capacity_of = |endpoint: &EndpointIndex| {
            let state = &self.endpoints[endpoint.0];
            if state.is_down() || state.removed {
                return 0.0;
            }
            state.plan.capacity_per_s * work_factor / self.slowdown(*endpoint)
        };
        rounded(self.destinations[destination.0].endpoints.iter().map(capacity_of).sum())
    }

    // # Arrivals.

    /// A request arrives at its endpoint, which accepts, rejects or loses it.
    pub(super) fn request_arrives(&mut self, request: RequestIndex) {
        let now = self.now();
        let record = &self.requests[request.0];
        let (endpoint, sender) = (record.endpoint, record.sender.forwarder);
        let is_connection_gone = record.endpoint_incarnation != self.endpoints[endpoint.0].incarnation;
        let destination = self.destination_of(endpoint);
        let state = &mut self.endpoints[endpoint.0];
        state.in_transit = state.in_transit.saturating_sub(1);
        if self.refuses_connections(endpoint) || is_connection_gone {
            // The connection was reset while the request was in transit.
            return self.return_reset(request);
        }
        if self.is_unreachable(endpoint) {
            return;
        }
        let extra_messages = self.requests[request.0].batch.len() - 1;
        if let Some(load) = self.account.load(destination, now) {
            load.requests += 1;
        }
        let work = 1.0 + WORK_PER_EXTRA_MESSAGE * extra_messages as f64;
        self.receive_work(endpoint, work, sender);
        if self.refuses_connections(endpoint) {
            // This request has overloaded the endpoint, and its connection was reset with all others.
            return self.return_reset(request);
        }
        if let Some(until) = self.rejects_until(endpoint) {
            return self.reject_request(request, until - now);
        }
        if self.fails_at_once(request, endpoint) {
            return self.respond(request, AttemptOutcome::Error);
        }
        if let Err(retry_after) = self.admit(endpoint) {
            return self.reject_request(request, retry_after);
        }
        if self.hangs(endpoint) {
            return self.hold_while_hanging(request, endpoint);
        }
        self.enqueue(request, endpoint);
    }

    /// Counts a request against the endpoint's own limit and the destination's.
    fn admit(&mut self, endpoint: EndpointIndex) -> Result<(), Duration> {
        let now = self.now();
        let destination = self.destination_of(endpoint);
        let rejected_use_up_limit = self.kind_of(destination).rejected_use_up_limit;
        self.endpoints[endpoint.0].limit.admit(now, rejected_use_up_limit)?;
        self.destinations[destination.0].limit.admit(now, rejected_use_up_limit)
    }

    /// End of the fault by which an endpoint rejects all requests.
    fn rejects_until(&self, endpoint: EndpointIndex) -> Option<Duration> {
        let active = self.endpoints[endpoint.0].active_faults.iter();
        let scheduled = active.map(|index| &self.scenario.faults[*index]);
        let rejecting = scheduled.filter(|scheduled| matches!(scheduled.fault, Fault::RejectsAll { .. }));
        rejecting.map(|scheduled| scheduled.end()).max()
    }

    /// Draws whether a fault has the endpoint answer a request with an error, without executing it.
    fn fails_at_once(&mut self, request: RequestIndex, endpoint: EndpointIndex) -> bool {
        let batch = &self.requests[request.0].batch;
        let class_name = |class: usize| &self.scenario.classes[class].name;
        let classes: Vec<usize> = batch.iter().map(|entry| self.class_of(entry.attempt.message)).collect();
        let mut fails = false;
        for index in &self.endpoints[endpoint.0].active_faults {
            match self.fault(*index) {
                Fault::FastErrors { share, .. } => fails |= share.occurs(&mut self.random.service),
                Fault::ClassFails { class, .. } => {
                    fails |= classes.iter().any(|in_batch| class_name(*in_batch) == class);
                }
                _ => {}
            }
        }
        fails
    }

    /// A hanging endpoint accepts as many requests as its queue and its workers can hold; others are never answered.
    fn hold_while_hanging(&mut self, request: RequestIndex, endpoint: EndpointIndex) {
        let state = &mut self.endpoints[endpoint.0];
        if state.hung_requests.len() < state.plan.max_queued + state.plan.workers {
            state.hung_requests.push(request);
        }
    }

    /// A request is served, waits in the queue, or is rejected as that is full.
    pub(super) fn enqueue(&mut self, request: RequestIndex, endpoint: EndpointIndex) {
        let state = &mut self.endpoints[endpoint.0];
        if state.busy_workers < state.plan.workers {
            self.begin_serving(request, endpoint);
        } else if state.queue.len() < state.plan.max_queued {
            state.queue.push_back(request);
        } else {
            let retry_after = duration_from_seconds(1.0 / state.plan.capacity_per_s.max(MIN_CAPACITY));
            self.reject_request(request, retry_after);
        }
    }

    /// A health check arrives at its endpoint; its result is sent back to the forwarder.
    pub(super) fn health_check_arrives(&mut self, from: ForwarderIncarnation, endpoint: EndpointIndex) {
        self.receive_work(endpoint, HEALTH_CHECK_WORK, from.forwarder);
        let is_silent = self.is_unreachable(endpoint) || self.hangs(endpoint);
        let is_up = !self.endpoints[endpoint.0].is_down() && !self.refuses_connections(endpoint);
        let network = &self.scenario.network;
        let delay = if is_silent {
            network.connect_timeout.0
        } else {
            network.one_way_ms.draw_millis(&mut self.random.network)
        };
        let input = ForwarderInput::HealthChecked { endpoint, healthy: !is_silent && is_up };
        let at = self.now() + delay;
        self.schedule.schedule(at, Event::Input { to: from, input });
    }

    // # Responses.

    /// A response leaves the endpoint now.
    pub(super) fn respond(&mut self, request: RequestIndex, outcome: AttemptOutcome) {
        if self.is_unreachable(self.requests[request.0].endpoint) {
            return;
        }
        let at = self.now() + self.one_way_of(request);
        self.schedule.schedule(at, Event::ResponseArrives { request, outcome });
    }

    /// The sender of a request sees its connection reset.
    pub(super) fn return_reset(&mut self, request: RequestIndex) {
        let at = self.now() + self.one_way_of(request);
        let outcome = AttemptOutcome::ConnectionReset;
        self.schedule.schedule(at, Event::ResponseArrives { request, outcome });
    }

    /// Rejects a request, some with the time until there is capacity again.
    fn reject_request(&mut self, request: RequestIndex, retry_after: Duration) {
        let now = self.now();
        let destination = self.destination_of(self.requests[request.0].endpoint);
        let share = self.kind_of(destination).retry_after_share;
        let sends_retry_after = share.occurs(&mut self.random.service);
        if let Some(load) = self.account.load(destination, now) {
            load.rejected += 1;
        }
        // Counted from when the forwarder learns of it.
        let retry_after = Some(retry_after).filter(|wait| sends_retry_after && !wait.is_zero());
        self.respond(request, AttemptOutcome::Rejected { retry_after });
    }
}
