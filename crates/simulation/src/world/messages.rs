//! Messages, from acceptance by a forwarder to the final answer.

use std::time::Duration;

use super::event::{Event, ForwarderInput};
use super::external_ids::message_id;
use super::records::MessageRecord;
use super::state::World;
use crate::ids::{ForwarderIndex, MessageIndex, SubmissionIndex};
use crate::invariants::{AcceptedMessage, FinalAnswer};

impl World<'_> {
    /// Accepts a submission as a new message of a forwarder.
    pub(super) fn accept(&mut self, submission: SubmissionIndex, forwarder: ForwarderIndex) {
        let message = MessageIndex(self.messages.len());
        let record = &self.submissions[submission.0];
        let (class, program, destination) = (record.class, record.program, record.destination);
        let deadline = record.submitted_at + self.scenario.classes[class].deadline.0;
        let ordering_key = record.ordering_key;
        let accepted = AcceptedMessage { submission, forwarder, class, ordering_key, deadline };
        self.invariants.record_acceptance(self.schedule.now(), accepted);
        self.schedule_withdrawal(message, program);
        if self.is_destination_down(destination) {
            self.outage_traffic.submitted += 1;
            self.account.record_submission_during_outage(submission);
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
        self.forwarders[forwarder.0].add_pending(message);
        self.schedule_answer_check(message);
        self.deliver(owner, ForwarderInput::Submitted(message));
    }

    /// Schedules the withdrawal of a message if clients of its program withdraw messages.
    fn schedule_withdrawal(&mut self, message: MessageIndex, program: usize) {
        if let Some(delay) = self.scenario.programs[program].withdraws_after_s {
            let at = self.now() + delay.draw_seconds(&mut self.random.clients);
            self.schedule.schedule(at, Event::Withdrawal(message));
        }
    }

    /// Schedules the check that a message has a final answer.
    pub(super) fn schedule_answer_check(&mut self, message: MessageIndex) {
        let fleet = &self.scenario.fleet;
        let slack = fleet.answer_slack.0 + 2 * fleet.tick.0;
        let at = self.messages[message.0].deadline.max(self.now()) + slack;
        self.schedule.schedule(at, Event::AnswerDue(message));
    }

    /// Abandons a message whose final answer is overdue, and records the violation.
    pub(super) fn check_answer(&mut self, message: MessageIndex) {
        // Messages in the write-ahead log of a forwarder that is down are checked again after its restart.
        let now = self.now();
        if self.is_pending_at_running_forwarder(message) && self.invariants.check_answer_missing(now, message)
        {
            self.abandon_message(message);
        }
    }

    /// Withdraws a pending message for its client.
    pub(super) fn withdraw(&mut self, message: MessageIndex) {
        // A forwarder that is down cannot receive a withdrawal. After its restart it continues with the
        // message.
        if self.is_pending_at_running_forwarder(message) {
            self.invariants.record_answer(self.schedule.now(), message, FinalAnswer::Withdrawn);
            self.account.ends.withdrawn += 1;
            self.abandon_message(message);
        }
    }

    fn is_pending_at_running_forwarder(&self, message: MessageIndex) -> bool {
        let record = &self.messages[message.0];
        !record.finished && self.forwarders[record.owner.forwarder.0].is_running()
    }

    /// Ends a message for which the client no longer waits, and notifies its forwarder.
    fn abandon_message(&mut self, message: MessageIndex) {
        self.finish_message(message);
        let record = &self.messages[message.0];
        let (owner, submission) = (record.owner, record.submission);
        self.deliver(owner, ForwarderInput::Withdrawn(message));
        self.finish_submission(submission);
    }

    /// Marks a message as finished, so that it is no longer pending at its forwarder.
    pub(super) fn finish_message(&mut self, message: MessageIndex) {
        let record = &mut self.messages[message.0];
        if std::mem::replace(&mut record.finished, true) {
            return;
        }
        self.forwarders[record.owner.forwarder.0].remove_pending(message);
    }

    /// Completes a message after its first completed attempt.
    pub(super) fn complete_message(&mut self, message: MessageIndex) {
        let now = self.now();
        let submission = self.messages[message.0].submission;
        self.invariants.record_answer(now, message, FinalAnswer::Completed);
        self.account.record_completion(self.scenario, now, submission);
        self.finish_message(message);
        self.finish_submission(submission);
    }

    /// Rejects a pending message. The client honors `retry_after` depending on its program.
    pub(super) fn reject_message(&mut self, message: MessageIndex, retry_after: Option<Duration>) {
        if !self.record_undelivered_answer(message, FinalAnswer::Rejected) {
            return;
        }
        let now = self.now();
        self.account.ends.rejected += 1;
        self.account.counts_at(now).rejected_messages += 1;
        self.handle_submission_rejection(self.messages[message.0].submission, retry_after);
    }

    /// Gives a pending message the final answer that it failed.
    pub(super) fn fail_message(&mut self, message: MessageIndex) {
        if !self.record_undelivered_answer(message, FinalAnswer::Failed) {
            return;
        }
        let now = self.now();
        self.account.ends.failed += 1;
        self.account.counts_at(now).failed += 1;
        self.finish_submission(self.messages[message.0].submission);
    }

    /// Records a final answer other than completion. Returns whether the message was still pending.
    fn record_undelivered_answer(&mut self, message: MessageIndex, answer: FinalAnswer) -> bool {
        self.invariants.record_answer(self.schedule.now(), message, answer);
        let was_pending = !self.messages[message.0].finished;
        self.finish_message(message);
        was_pending
    }
}
