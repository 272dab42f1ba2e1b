//! The event loop from the first event to the last.

use std::time::Duration;

use reeddock::AttemptOutcome;

use super::event::{Event, ForwarderInput};
use super::state::World;
use crate::account::WATCHED_DESTINATIONS;
use crate::ids::{DestinationIndex, ForwarderIndex};
use crate::observed::ObservedRun;
use crate::report::Report;
use crate::schedule::ScheduledEvent;

/// Interval between two samples of the destinations' capacity.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

impl World<'_> {
    /// Runs the simulation until every submission has ended, and returns its report.
    pub(crate) fn run(mut self) -> Report {
        self.run_events();
        self.report()
    }

    /// Runs the simulation until every submission has ended. Returns its report and observations of the true
    /// state.
    pub(crate) fn run_observed(mut self) -> ObservedRun {
        self.run_events();
        let observed = self.observed();
        ObservedRun { report: self.report(), observed }
    }

    /// Handles events until the scenario's duration has passed and every submission has ended.
    fn run_events(&mut self) {
        self.schedule_initial_events();
        while let Some(ScheduledEvent { at, event }) = self.schedule.pop() {
            let all_arrived = self.finished_programs == self.scenario.programs.len();
            if all_arrived && self.unfinished_submissions == 0 && at >= self.scenario.duration.0 {
                break;
            }
            self.handle_event(event);
        }
    }

    /// Starts all forwarders, and schedules the first arrivals, the faults and the first capacity sample.
    fn schedule_initial_events(&mut self) {
        for forwarder in 0..self.forwarders.len() {
            self.start_forwarder(ForwarderIndex(forwarder));
        }
        for program in 0..self.scenario.programs.len() {
            let first = self.next_arrival(program);
            self.schedule.schedule(first, Event::Arrival { program });
        }
        for (index, scheduled) in self.scenario.faults.iter().enumerate() {
            self.schedule.schedule(scheduled.start.0, Event::FaultStarts(index));
            self.schedule.schedule(scheduled.end(), Event::FaultEnds(index));
        }
        self.schedule.schedule(Duration::ZERO, Event::CapacitySample);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival { program } => self.handle_arrival(program),
            Event::Resubmission(submission) => self.resubmit(submission),
            Event::Withdrawal(message) => self.withdraw(message),
            Event::AnswerDue(message) => self.check_answer(message),
            Event::PolicyRun(forwarder) => self.run_policy(forwarder),
            Event::Input { to, input } => self.deliver(to, input),
            Event::ListChanged { forwarder, changes } => self.deliver_list_changes(forwarder, changes),
            Event::RequestArrives(request) => self.handle_request_arrival(request),
            Event::NotConnected(request) => self.finish_request(request, AttemptOutcome::NoConnection),
            Event::Served { endpoint, incarnation, request } => {
                self.finish_serving(endpoint, incarnation, request);
            }
            Event::ResponseArrives { request, outcome } => self.finish_request(request, outcome),
            Event::TimedOut(position) => self.stop_waiting(position, AttemptOutcome::TimedOut),
            Event::HealthCheckArrives { from, endpoint } => self.handle_health_check_arrival(from, endpoint),
            Event::FaultStarts(index) => self.start_fault(index),
            Event::FaultEnds(index) => self.end_fault(index),
            Event::OverloadEnds(endpoint) => self.end_overload(endpoint),
            Event::CapacitySample => self.sample_capacity(),
        }
    }

    /// Records the current capacity of the watched destinations, and schedules the next sample.
    fn sample_capacity(&mut self) {
        let now = self.now();
        let destinations = self.layout.destinations.len();
        for destination in (0..destinations).take(WATCHED_DESTINATIONS).map(DestinationIndex) {
            let capacity = self.current_capacity_per_s(destination);
            if let Some(load) = self.account.load_at(destination, now) {
                load.capacity = capacity;
            }
        }
        if now + SAMPLE_INTERVAL < self.scenario.duration.0 {
            self.schedule.schedule(now + SAMPLE_INTERVAL, Event::CapacitySample);
        }
    }

    /// Schedules the policy timer for a forwarder's current incarnation.
    pub(super) fn schedule_timer(&mut self, forwarder: ForwarderIndex, after: Duration) {
        let to = self.incarnation_of(forwarder);
        let at = self.now() + after;
        self.schedule.schedule(at, Event::Input { to, input: ForwarderInput::TimerFired });
    }
}
