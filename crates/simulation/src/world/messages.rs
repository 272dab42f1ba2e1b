//! Messages from their acceptance by a forwarder to their final answer.

use std::time::Duration;

use super::event::{Event, ForwarderInput};
use super::external_ids::message_id;
use super::records::MessageRecord;
use super::state::World;
use crate::ids::{ForwarderIndex, MessageIndex, SubmissionIndex};
use crate::invariants::{AcceptedMessage, FinalAnswer};

impl World<'_> {
    /// A forwarder accepts a message.
    pub(super) fn accept(&mut self, submission: SubmissionIndex, forwarder: ForwarderIndex) {
        let message = MessageIndex(self.messages.len());
        let record = &self.submissions[submission.0];
        let (class, program, destination) = (record.class, record.program, record.destination);
        let deadline = record.submitted_at + self.scenario.classes[class].deadline.0;
        let ordering_key = record.ordering_key;
        let accepted = AcceptedMessage { submission, forwarder, class, ordering_key, deadline };
        self.invariants.message_accepted(self.schedule.now(), accepted);
        self.schedule_withdrawal(message, program);
        if self.is_destination_down(destination) {
            self.sent_to_down.submitted += 1;
            self.account.met_outage(submission);
        }
        let owner = self.incarnation_of(forwarder);
        self.messages.push(MessageRecord {
            id: message_id(message),
            submission,
            owner,
            deadline,
            finished: false,
            attempts: Vec::new(),
        });
        self.forwarders[forwarder.0].message_accepted(message);
        self.schedule_answer_check(message);
        self.deliver(owner, ForwarderInput::Submitted(message));
    }

    /// Schedules the withdrawal of a message, where clients of its program withdraw.
    fn schedule_withdrawal(&mut self, message: MessageIndex, program: usize) {
        if let Some(delay) = self.scenario.programs[program].withdraws_after_s {
            let at = self.now() + delay.draw_seconds(&mut self.random.clients);
            self.schedule.schedule(at, Event::Withdrawal(message));
        }
    }

    /// Schedules the check that a message has its final answer.
    pub(super) fn schedule_answer_check(&mut self, message: MessageIndex) {
        let fleet = &self.scenario.fleet;
        let slack = fleet.answer_slack.0 + 2 * fleet.tick.0;
        let at = self.messages[message.0].deadline.max(self.now()) + slack;
        self.schedule.schedule(at, Event::AnswerDue(message));
    }

    /// Checks that a message has its final answer, now that the time for it has passed.
    pub(super) fn check_answer(&mut self, message: MessageIndex) {
        // A forwarder that is down answers for what its write-ahead log holds once it runs again.
        let now = self.now();
        if self.is_pending_at_running_forwarder(message) && self.invariants.is_answer_missing(now, message) {
            self.abandoned_by_client(message);
        }
    }

    /// A client withdraws a message.
    pub(super) fn withdraw(&mut self, message: MessageIndex) {
        // A forwarder that is down learns nothing, and goes on with what its write-ahead log holds.
        if self.is_pending_at_running_forwarder(message) {
            self.invariants.message_answered(self.schedule.now(), message, FinalAnswer::Withdrawn);
            self.account.ends.withdrawn += 1;
            self.abandoned_by_client(message);
        }
    }

    fn is_pending_at_running_forwarder(&self, message: MessageIndex) -> bool {
        let record = &self.messages[message.0];
        !record.finished && self.forwarders[record.owner.forwarder.0].is_running()
    }

    /// The client has withdrawn a message, or got no answer in time.
    fn abandoned_by_client(&mut self, message: MessageIndex) {
        self.finish_message(message);
        let record = &self.messages[message.0];
        let (owner, submission) = (record.owner, record.submission);
        self.deliver(owner, ForwarderInput::Withdrawn(message));
        self.finish_submission(submission);
    }

    /// A message needs nothing more of its forwarder.
    pub(super) fn finish_message(&mut self, message: MessageIndex) {
        let record = &mut self.messages[message.0];
        if std::mem::replace(&mut record.finished, true) {
            return;
        }
        self.forwarders[record.owner.forwarder.0].message_finished(message);
    }

    /// A message completed, by the first attempt that did.
    pub(super) fn message_completed(&mut self, message: MessageIndex) {
        let now = self.now();
        let submission = self.messages[message.0].submission;
        self.invariants.message_answered(now, message, FinalAnswer::Completed);
        self.account.completed(self.scenario, now, submission);
        self.finish_message(message);
        self.finish_submission(submission);
    }

    /// A forwarder rejects a message, with a Retry-After for the client where it gives one.
    pub(super) fn reject_message(&mut self, message: MessageIndex, retry_after: Option<Duration>) {
        if !self.answer_undelivered(message, FinalAnswer::Rejected) {
            return;
        }
        let now = self.now();
        self.account.ends.rejected += 1;
        self.account.second(now).rejected_messages += 1;
        self.submission_rejected(self.messages[message.0].submission, retry_after);
    }

    /// A forwarder fails a message.
    pub(super) fn fail_message(&mut self, message: MessageIndex) {
        if !self.answer_undelivered(message, FinalAnswer::Failed) {
            return;
        }
        let now = self.now();
        self.account.ends.failed += 1;
        self.account.second(now).failed += 1;
        self.finish_submission(self.messages[message.0].submission);
    }

    /// A forwarder gives a final answer without delivery. Returns whether the message was still pending.
    fn answer_undelivered(&mut self, message: MessageIndex, answer: FinalAnswer) -> bool {
        self.invariants.message_answered(self.schedule.now(), message, answer);
        let was_pending = !self.messages[message.0].finished;
        self.finish_message(message);
        was_pending
    }
}
