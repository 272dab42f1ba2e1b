//! Requests on the endpoint's side: arrival, admission, queueing and responses.

use std::time::Duration;

use reeddock::AttemptOutcome;

use super::event::{Event, ForwarderInput};
use super::state::World;
use crate::distribution::duration_from_seconds;
use crate::fault::Fault;
use crate::ids::{DestinationIndex, EndpointIndex, ForwarderIncarnation, RequestIndex};
use crate::report::rounded;

/// Work of each further message in a request, relative to a request with one message.
pub(super) const WORK_PER_EXTRA_MESSAGE: f64 = 0.25;
/// Work of a health check, relative to a request with one message.
const HEALTH_CHECK_WORK: f64 = 1.0;
/// Prevents division by an endpoint capacity of zero; in requests per second.
const MIN_CAPACITY_PER_S: f64 = 1e-6;

impl World<'_> {
    // # State of the endpoint

    /// Returns whether an active fault that matches `is_kind` affects an endpoint.
    pub(super) fn has_fault(&self, endpoint: EndpointIndex, is_kind: impl Fn(&Fault) -> bool) -> bool {
        let active = &self.endpoints[endpoint.0].active_faults;
        active.iter().any(|index| is_kind(self.fault(*index)))
    }

    /// Returns whether packets to and from an endpoint are lost.
    pub(super) fn is_unreachable(&self, endpoint: EndpointIndex) -> bool {
        self.has_fault(endpoint, |fault| matches!(fault, Fault::Unreachable { .. }))
    }

    /// Returns whether an endpoint accepts requests without responding.
    pub(super) fn hangs(&self, endpoint: EndpointIndex) -> bool {
        self.has_fault(endpoint, |fault| matches!(fault, Fault::Hang { .. }))
    }

    /// Returns whether an endpoint refuses connections immediately.
    pub(super) fn refuses_connections(&self, endpoint: EndpointIndex) -> bool {
        let state = &self.endpoints[endpoint.0];
        state.removed
            || state.is_overloaded(self.now())
            || self.has_fault(endpoint, |fault| matches!(fault, Fault::ConnectionsRefused { .. }))
    }

    /// Returns the factor by which the duration of work at an endpoint is currently multiplied.
    pub(super) fn slowdown(&self, endpoint: EndpointIndex) -> f64 {
        let state = &self.endpoints[endpoint.0];
        let factors = state.active_faults.iter().map(|index| match self.fault(*index) {
            Fault::Slow { duration_factor, .. } => duration_factor.get(),
            _ => 1.0,
        });
        let work_factor = self.layout.destinations[state.plan.destination.0].work_factor;
        work_factor * factors.product::<f64>() / state.warmth(self.now(), &self.scenario.recovery)
    }

    /// Returns the current capacity of a destination's endpoints in requests per second.
    pub(super) fn current_capacity_per_s(&self, destination: DestinationIndex) -> f64 {
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

    // # Arrivals

    /// Handles a request that arrives at its endpoint: queues, rejects, fails or loses it.
    pub(super) fn handle_request_arrival(&mut self, request: RequestIndex) {
        let now = self.now();
        let record = &self.requests[request.0];
        let (endpoint, sender) = (record.endpoint, record.sender.forwarder);
        let is_connection_gone = record.endpoint_incarnation != self.endpoints[endpoint.0].incarnation;
        let destination = self.destination_of(endpoint);
        let state = &mut self.endpoints[endpoint.0];
        state.in_transit = state.in_transit.saturating_sub(1);
        if self.refuses_connections(endpoint) || is_connection_gone {
            // The connection was reset while the request was in transit.
            return self.schedule_connection_reset(request);
        }
        if self.is_unreachable(endpoint) {
            return;
        }
        let extra_messages = self.requests[request.0].batch.len() - 1;
        if let Some(load) = self.account.load_at(destination, now) {
            load.requests += 1;
        }
        let work = 1.0 + WORK_PER_EXTRA_MESSAGE * extra_messages as f64;
        self.receive_work(endpoint, work, sender);
        if self.refuses_connections(endpoint) {
            // The work of this request overloaded the endpoint, which reset all its connections.
            return self.schedule_connection_reset(request);
        }
        if let Some(until) = self.rejection_end(endpoint) {
            return self.reject_request(request, until - now);
        }
        if self.draw_immediate_failure(request, endpoint) {
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

    /// Counts a request against the limits of the endpoint and the destination. Returns the Retry-After as
    /// the error if a limit is used up.
    fn admit(&mut self, endpoint: EndpointIndex) -> Result<(), Duration> {
        let now = self.now();
        let destination = self.destination_of(endpoint);
        let rejected_use_up_limit = self.kind_of(destination).rejected_use_up_limit;
        self.endpoints[endpoint.0].limit.admit(now, rejected_use_up_limit)?;
        self.destinations[destination.0].limit.admit(now, rejected_use_up_limit)
    }

    /// Returns the end of the active fault by which an endpoint rejects all requests, `None` without such a
    /// fault.
    fn rejection_end(&self, endpoint: EndpointIndex) -> Option<Duration> {
        let active = self.endpoints[endpoint.0].active_faults.iter();
        let scheduled = active.map(|index| &self.scenario.faults[*index]);
        let rejecting = scheduled.filter(|scheduled| matches!(scheduled.fault, Fault::RejectsAll { .. }));
        rejecting.map(|scheduled| scheduled.end()).max()
    }

    /// Draws whether a fault makes the endpoint respond with an error without executing the request.
    fn draw_immediate_failure(&mut self, request: RequestIndex, endpoint: EndpointIndex) -> bool {
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

    /// Stores a request at a hanging endpoint, limited by its queue and workers. Further requests get no
    /// response.
    fn hold_while_hanging(&mut self, request: RequestIndex, endpoint: EndpointIndex) {
        let state = &mut self.endpoints[endpoint.0];
        if state.hung_requests.len() < state.plan.max_queued + state.plan.workers {
            state.hung_requests.push(request);
        }
    }

    /// Serves a request if a worker is free, queues it otherwise, and rejects it if the queue is full.
    pub(super) fn enqueue(&mut self, request: RequestIndex, endpoint: EndpointIndex) {
        let state = &mut self.endpoints[endpoint.0];
        if state.busy_workers < state.plan.workers {
            self.begin_serving(request, endpoint);
        } else if state.queue.len() < state.plan.max_queued {
            state.queue.push_back(request);
        } else {
            let retry_after = duration_from_seconds(1.0 / state.plan.capacity_per_s.max(MIN_CAPACITY_PER_S));
            self.reject_request(request, retry_after);
        }
    }

    /// Handles a health check that arrives at an endpoint, and schedules its result for the forwarder.
    pub(super) fn handle_health_check_arrival(
        &mut self,
        from: ForwarderIncarnation,
        endpoint: EndpointIndex,
    ) {
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

    // # Responses

    /// Schedules a response to a request unless the endpoint is unreachable.
    pub(super) fn respond(&mut self, request: RequestIndex, outcome: AttemptOutcome) {
        if self.is_unreachable(self.requests[request.0].endpoint) {
            return;
        }
        let at = self.now() + self.draw_request_one_way_delay(request);
        self.schedule.schedule(at, Event::ResponseArrives { request, outcome });
    }

    /// Schedules a connection reset for the sender of a request.
    pub(super) fn schedule_connection_reset(&mut self, request: RequestIndex) {
        let at = self.now() + self.draw_request_one_way_delay(request);
        let outcome = AttemptOutcome::ConnectionReset;
        self.schedule.schedule(at, Event::ResponseArrives { request, outcome });
    }

    /// Rejects a request. The share of rejections with a Retry-After comes from the scenario.
    fn reject_request(&mut self, request: RequestIndex, retry_after: Duration) {
        let now = self.now();
        let destination = self.destination_of(self.requests[request.0].endpoint);
        let share = self.kind_of(destination).retry_after_share;
        let sends_retry_after = share.occurs(&mut self.random.service);
        if let Some(load) = self.account.load_at(destination, now) {
            load.rejected += 1;
        }
        // The wait starts when the forwarder receives the response.
        let retry_after = Some(retry_after).filter(|wait| sends_retry_after && !wait.is_zero());
        self.respond(request, AttemptOutcome::Rejected { retry_after });
    }
}
