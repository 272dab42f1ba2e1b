//! Runs the policy's due work, in which the policy processes the events since the last run and issues
//! commands. The resulting records are appended to the write-ahead log before requests start.

use std::collections::BTreeSet;
use std::time::Duration;

use reeddock::MessageId;
use reeddock_protocol::AttemptResult;
use reeddock_wal::Record;

use super::commands::{AttemptKey, CommandBatch, OutgoingAttempt};
use super::log_writer::LogWrite;
use super::EventLoop;

/// The maximum time to the next run of due work after an attempt or a submission failed for a local reason.
/// The delay prevents a busy loop while the disk is full.
const LOCAL_FAILURE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The attempts of one run of due work, divided by whether they may start.
struct SplitAttempts {
    startable: Vec<OutgoingAttempt>,
    unstartable: Vec<OutgoingAttempt>,
}

impl EventLoop {
    /// Runs the policy's due work, and executes the resulting commands.
    pub(super) fn run_due_work(&mut self, now: Duration) {
        self.remove_finished_requests();
        self.state.begin_due_work(now);
        self.policy.run_due_work(now, self.state.commands());
        self.forget_removed_endpoints();
        let CommandBatch { timers, attempts, cancellations, final_answers } = self.state.commands().take();
        self.state.set_timers(timers.into_iter().map(|after| now + after));
        let notices = self.state.give_final_answers(final_answers);
        let submissions = self.state.accept_submissions();
        let attempts = self.state.number_attempts(attempts);
        let written = self.write_to_log(&submissions, &attempts, now);
        self.send_notices(notices);
        let withdrawn = self.answer_submissions(submissions, written);
        let SplitAttempts { startable, unstartable } = self.split_startable(attempts, written, &withdrawn);
        self.start_requests(startable, now);
        self.state.cancel_attempts(cancellations);
        if !unstartable.is_empty() || !withdrawn.is_empty() {
            self.state.set_timers([now + LOCAL_FAILURE_RETRY_DELAY]);
        }
        self.return_unstarted(unstartable, now);
        self.withdraw_messages(withdrawn);
    }

    /// Separates attempts that may start from the others. An attempt must not start if the write-ahead log
    /// does not contain it, its message was withdrawn, or its endpoint has no address.
    fn split_startable(
        &self,
        attempts: Vec<OutgoingAttempt>,
        written: LogWrite,
        withdrawn: &BTreeSet<MessageId>,
    ) -> SplitAttempts {
        let is_startable = |attempt: &OutgoingAttempt| {
            written.has_attempts()
                && !withdrawn.contains(&attempt.message.id)
                && self.state.endpoints().location(attempt.endpoint).is_some()
        };
        let (startable, unstartable) = attempts.into_iter().partition(is_startable);
        SplitAttempts { startable, unstartable }
    }

    /// Finishes attempts that could not start with the result `NotSent`. The policy handles them in the next
    /// run of due work.
    fn return_unstarted(&mut self, attempts: Vec<OutgoingAttempt>, now: Duration) {
        for attempt in attempts {
            let key = AttemptKey { message: attempt.message.id, number: attempt.number };
            self.finish_attempt(key, AttemptResult::NotSent, now);
        }
    }

    /// Withdraws messages whose clients did not receive a 202 response and will submit the messages again.
    fn withdraw_messages(&mut self, ids: BTreeSet<MessageId>) {
        for id in ids {
            self.policy.withdraw(&id, self.state.commands());
            self.state.finish_message(&id);
            self.state.record(Record::Finished { id: id.0.to_string(), notice: None });
        }
    }
}
