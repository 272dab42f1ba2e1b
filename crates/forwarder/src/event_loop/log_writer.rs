//! Appends the records of each run of due work to the write-ahead log.

use std::time::Duration;

use reeddock_wal::Record;

use super::commands::OutgoingAttempt;
use super::new_submission::NewSubmission;
use super::EventLoop;

/// The extent to which the records of one run of due work were appended to the write-ahead log.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LogWrite {
    /// All records were appended.
    Complete,
    /// All records were appended except those of new submissions and their attempts, because the disk space
    /// was insufficient.
    WithoutSubmissions,
    /// No record was appended.
    Failed,
}

impl LogWrite {
    /// Returns whether attempts of previously accepted messages may start.
    pub(super) fn has_attempts(self) -> bool {
        self != LogWrite::Failed
    }

    /// Returns whether the new submissions are accepted.
    pub(super) fn has_submissions(self) -> bool {
        self == LogWrite::Complete
    }
}

impl EventLoop {
    /// Appends all records of this run of due work. If that fails, no attempt starts, no submission is
    /// accepted, and the records of finished attempts and messages are appended in the next run.
    pub(super) fn write_to_log(
        &mut self,
        submissions: &[NewSubmission],
        attempts: &[OutgoingAttempt],
        now: Duration,
    ) -> LogWrite {
        let started_at_unix_us = self.clock.to_unix_micros(now);
        let accepted = submissions.iter().map(|submission| Record::Accepted(submission.accepted.clone()));
        let finished = self.state.unwritten_records().iter().cloned();
        let started = attempts.iter().map(|attempt| self.attempt_record(attempt, started_at_unix_us));
        let records: Vec<Record> = accepted.chain(finished).chain(started).collect();
        match self.log.append(&records, now) {
            Ok(outcome) => {
                self.state.clear_written_records();
                if outcome.messages_accepted {
                    LogWrite::Complete
                } else {
                    LogWrite::WithoutSubmissions
                }
            }
            Err(error) => {
                if let Some(suppressed) = self.throttles.capacity.admit() {
                    tracing::error!(%error, suppressed, "write-ahead log append failed, no message accepted");
                }
                LogWrite::Failed
            }
        }
    }

    /// Returns the record that is appended before the first byte of an attempt is sent. `started_at_unix_us`
    /// is in microseconds of Unix time.
    fn attempt_record(&self, attempt: &OutgoingAttempt, started_at_unix_us: u64) -> Record {
        Record::AttemptStarted {
            id: attempt.message.id.0.to_string(),
            number: attempt.number.0,
            endpoint: self.state.endpoints().name(attempt.endpoint).unwrap_or_default().to_owned(),
            started_at_unix_us,
        }
    }
}
