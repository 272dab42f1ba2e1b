//! One run of the policy's due work. Its commands are written to the write-ahead log first and then carried out.

use std::collections::BTreeSet;
use std::time::Duration;

use reeddock::MessageId;
use reeddock_protocol::AttemptResult;
use reeddock_wal::Record;

use super::commands::{CommandBatch, OutgoingAttempt};
use super::log_writer::LogWrite;
use super::EventLoop;

/// Due work runs again at the latest this long after an attempt or a submission failed for a local reason: soon, but
/// not at once, so that a full disk does not cause a busy loop.
const RETRY_AFTER_FAULT: Duration = Duration::from_millis(20);

/// The attempts of one run of due work, by whether they may start.
struct SplitAttempts {
    startable: Vec<OutgoingAttempt>,
    unstartable: Vec<OutgoingAttempt>,
}

impl EventLoop {
    /// Lets the policy run its due work, and carries out its commands.
    pub(super) fn run_due_work(&mut self, now: Duration) {
        self.reap_requests();
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
            self.state.set_timers([now + RETRY_AFTER_FAULT]);
        }
        self.return_unstarted(unstartable, now);
        self.withdraw(withdrawn);
    }

    /// Separates the attempts that may start from those that may not because the write-ahead log does not have them,
    /// their message was withdrawn, or their endpoint has no address.
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

    /// Finishes attempts that could not start with the result `NotSent`. The policy reacts in the next due work.
    fn return_unstarted(&mut self, attempts: Vec<OutgoingAttempt>, now: Duration) {
        for attempt in attempts {
            self.finish_attempt(attempt.message.id, attempt.number, AttemptResult::NotSent, now);
        }
    }

    /// Withdraws messages whose clients were not answered 202 and will submit them again.
    fn withdraw(&mut self, ids: BTreeSet<MessageId>) {
        for id in ids {
            self.policy.withdraw(&id, self.state.commands());
            self.state.finish_message(&id);
            self.state.record(Record::Finished { id: id.0.to_string(), notice: None });
        }
    }
}
