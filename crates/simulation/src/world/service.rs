//! Execution of accepted requests at an endpoint.

use std::time::Duration;

use reeddock::{AttemptOutcome, Idempotency};

use super::endpoints::WORK_PER_EXTRA_MESSAGE;
use super::event::Event;
use super::state::World;
use crate::distribution::duration_from_seconds;
use crate::fault::Fault;
use crate::ids::{EndpointIndex, MessageIndex, RequestIndex};

/// Minimum interval between pauses; prevents an endless loop.
const MIN_PAUSE_INTERVAL: Duration = Duration::from_millis(1);

impl World<'_> {
    /// Starts serving a request with a free worker.
    pub(super) fn begin_serving(&mut self, request: RequestIndex, endpoint: EndpointIndex) {
        let work = self.draw_work(request, endpoint);
        let now = self.now();
        let state = &mut self.endpoints[endpoint.0];
        state.busy_workers += 1;
        state.serving.push(request);
        let incarnation = state.incarnation;
        self.requests[request.0].work_seconds = work;
        self.requests[request.0].serving_started = true;
        let served_at = self.completion_time(endpoint, now, duration_from_seconds(work));
        self.schedule.schedule(served_at, Event::Served { endpoint, incarnation, request });
    }

    /// Draws the service time of a request at its endpoint, in seconds, excluding pauses from faults.
    fn draw_work(&mut self, request: RequestIndex, endpoint: EndpointIndex) -> f64 {
        let batch = &self.requests[request.0].batch;
        let work_of =
            |message: MessageIndex| self.submissions[self.messages[message.0].submission.0].work_seconds;
        let works: Vec<f64> = batch.iter().map(|entry| work_of(entry.attempt.message)).collect();
        let longest = works.iter().copied().fold(0.0, f64::max);
        let mut work = longest + WORK_PER_EXTRA_MESSAGE * (works.iter().sum::<f64>() - longest);
        work *= self.slowdown(endpoint);
        for index in &self.endpoints[endpoint.0].active_faults {
            if let Fault::HeavyTail { share, duration_factor, .. } = self.fault(*index) {
                let is_long = share.occurs(&mut self.random.service);
                // The factor is drawn for requests of usual duration too, so that later draws don't depend on
                // `is_long`.
                let drawn = duration_factor.draw(&mut self.random.service);
                if is_long {
                    work *= drawn.max(1.0);
                }
            }
        }
        work
    }

    /// Returns the time at which work that starts now is done, including pauses from faults.
    fn completion_time(&self, endpoint: EndpointIndex, now: Duration, work: Duration) -> Duration {
        let mut done = now + work;
        for index in &self.endpoints[endpoint.0].active_faults {
            let scheduled = &self.scenario.faults[*index];
            let Fault::Pauses { duration, interval, .. } = scheduled.fault else { continue };
            let mut pause_start = scheduled.start.0;
            while pause_start < done && pause_start < scheduled.end() {
                let pause_end = pause_start + duration.0;
                if pause_end > now {
                    done += pause_end - pause_start.max(now);
                }
                pause_start += interval.0.max(MIN_PAUSE_INTERVAL);
            }
        }
        done
    }

    /// Finishes a request: applies its effects, sends the response, and serves queued requests.
    pub(super) fn finish_serving(
        &mut self,
        endpoint: EndpointIndex,
        incarnation: u32,
        request: RequestIndex,
    ) {
        let now = self.now();
        let state = &mut self.endpoints[endpoint.0];
        if state.incarnation != incarnation {
            return;
        }
        state.busy_workers = state.busy_workers.saturating_sub(1);
        state.serving.retain(|serving| *serving != request);
        self.apply_effects(request);
        let destination = self.destination_of(endpoint);
        if let Some(load) = self.account.load_at(destination, now) {
            load.served += 1;
        }
        if self.hangs(endpoint) {
            self.endpoints[endpoint.0].hung_responses.push(request);
        } else {
            self.send_response(request);
        }
        self.serve_queue(endpoint);
    }

    /// Applies and counts the effects of all messages in a request.
    fn apply_effects(&mut self, request: RequestIndex) {
        let now = self.now();
        let record = &self.requests[request.0];
        self.account.work_done_seconds += record.work_seconds;
        if record.is_awaited() {
            self.account.useful_work_seconds += record.work_seconds;
        }
        for entry in &record.batch {
            let message = entry.attempt.message;
            let submission = &mut self.submissions[self.messages[message.0].submission.0];
            submission.times_applied += 1;
            let idempotency = Idempotency::from(self.scenario.classes[submission.class].idempotency);
            if submission.times_applied > 1 && idempotency != Idempotency::NonIdempotent {
                self.account.repeats_applied += 1;
            }
            self.invariants.record_effect(now, message);
        }
    }

    /// Responds to a served request. A fault may reset the connection instead.
    fn send_response(&mut self, request: RequestIndex) {
        let endpoint = self.requests[request.0].endpoint;
        let mut is_lost = false;
        for index in &self.endpoints[endpoint.0].active_faults {
            if let Fault::ResponsesLost { share, .. } = self.fault(*index) {
                is_lost |= share.occurs(&mut self.random.service);
            }
        }
        let outcome = if is_lost { AttemptOutcome::ConnectionReset } else { AttemptOutcome::Completed };
        self.respond(request, outcome);
    }

    /// Starts serving queued requests while workers are free. Dropped requests are discarded.
    fn serve_queue(&mut self, endpoint: EndpointIndex) {
        while self.endpoints[endpoint.0].busy_workers < self.endpoints[endpoint.0].plan.workers {
            let Some(next) = self.endpoints[endpoint.0].queue.pop_front() else { return };
            if !self.requests[next.0].dropped {
                self.begin_serving(next, endpoint);
            }
        }
    }

    /// Sends the delayed responses of an endpoint that no longer hangs, then serves the requests that it
    /// stored.
    pub(super) fn resume_after_hang(&mut self, endpoint: EndpointIndex) {
        if self.hangs(endpoint) {
            return;
        }
        for request in std::mem::take(&mut self.endpoints[endpoint.0].hung_responses) {
            self.send_response(request);
        }
        for request in std::mem::take(&mut self.endpoints[endpoint.0].hung_requests) {
            if !self.requests[request.0].dropped {
                self.enqueue(request, endpoint);
            }
        }
    }
}
