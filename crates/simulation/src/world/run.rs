//! Plays a world from its first event to its last.

use std::time::Duration;

use reeddock::AttemptOutcome;

use super::event::{Event, ForwarderInput};
use super::state::World;
use crate::account::WATCHED_DESTINATIONS;
use crate::ids::{DestinationIndex, ForwarderIndex};
use crate::observed::ObservedRun;
use crate::report::Report;
use crate::schedule::ScheduledEvent;

/// From one sample of the capacity to the next.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

impl World<'_> {
    /// Plays until every submission has its end.
    pub(crate) fn run(mut self) -> Report {
        self.run_events();
        self.report()
    }

    /// Plays until every submission has its end, and gives what only the simulation can see, too.
    pub(crate) fn run_observed(mut self) -> ObservedRun {
        self.run_events();
        let observed = self.observed();
        ObservedRun { report: self.report(), observed }
    }

    /// Handles all events up to the end of the run.
    fn run_events(&mut self) {
        self.schedule_first_events();
        while let Some(ScheduledEvent { at, event }) = self.schedule.pop() {
            let all_arrived = self.programs_done == self.scenario.programs.len();
            if all_arrived && self.open_submissions == 0 && at >= self.scenario.duration.0 {
                break;
            }
            self.handle(event);
        }
    }

    /// Starts all forwarders, and schedules arrivals, faults and samples.
    fn schedule_first_events(&mut self) {
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

    /// Handles one event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { program } => self.messages_arrive(program),
            Event::Resubmission(submission) => self.resubmit(submission),
            Event::Withdrawal(message) => self.withdraw(message),
            Event::AnswerDue(message) => self.check_answer(message),
            Event::PolicyRun(forwarder) => self.run_policy(forwarder),
            Event::Input { to, input } => self.deliver(to, input),
            Event::ListChanged { forwarder, changes } => self.deliver_list_changes(forwarder, changes),
            Event::RequestArrives(request) => self.request_arrives(request),
            Event::NotConnected(request) => self.finish_request(request, AttemptOutcome::NoConnection),
            Event::Served { endpoint, incarnation, request } => {
                self.request_served(endpoint, incarnation, request);
            }
            Event::ResponseArrives { request, outcome } => self.finish_request(request, outcome),
            Event::TimedOut(position) => self.stop_waiting(position, AttemptOutcome::TimedOut),
            Event::HealthCheckArrives { from, endpoint } => self.health_check_arrives(from, endpoint),
            Event::FaultStarts(index) => self.start_fault(index),
            Event::FaultEnds(index) => self.end_fault(index),
            Event::OverloadEnds(endpoint) => self.end_overload(endpoint),
            Event::CapacitySample => self.sample_capacity(),
        }
    }

    /// Records what the watched destinations could serve now.
    fn sample_capacity(&mut self) {
        let now = self.now();
        let destinations = self.layout.destinations.len();
        for destination in (0..destinations).take(WATCHED_DESTINATIONS).map(DestinationIndex) {
            let capacity = self.capacity_now(destination);
            if let Some(load) = self.account.load(destination, now) {
                load.capacity = capacity;
            }
        }
        if now + SAMPLE_INTERVAL < self.scenario.duration.0 {
            self.schedule.schedule(now + SAMPLE_INTERVAL, Event::CapacitySample);
        }
    }

    /// Schedules the timer of a forwarder's policy, for its present incarnation only.
    pub(super) fn schedule_timer(&mut self, forwarder: ForwarderIndex, after: Duration) {
        let to = self.incarnation_of(forwarder);
        let at = self.now() + after;
        self.schedule.schedule(at, Event::Input { to, input: ForwarderInput::TimerFired });
    }
}
