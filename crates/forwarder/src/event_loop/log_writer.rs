//! Writes the records of each run of due work to the write-ahead log.

use std::time::Duration;

use reeddock_wal::Record;

use super::commands::OutgoingAttempt;
use super::new_submission::NewSubmission;
use super::EventLoop;

/// Which records of one run of due work were written to the write-ahead log.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LogWrite {
    /// All of them.
    Complete,
    /// All except the new submissions and their attempts, for which there was no space.
    WithoutSubmissions,
    /// Nothing: the write failed.
    Failed,
}

impl LogWrite {
    /// Whether attempts of messages that were accepted before may start.
    pub(super) fn has_attempts(self) -> bool {
        self != LogWrite::Failed
    }

    /// Whether the new submissions are accepted.
    pub(super) fn has_submissions(self) -> bool {
        self == LogWrite::Complete
    }
}

impl EventLoop {
    /// Writes all records of this run of due work. If that fails, no attempt is started and no submission accepted, and
    /// the records of finished attempts and messages are written with the next run.
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
                self.state.records_written();
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

    /// The record that precedes the first byte of an attempt; `started_at_unix_us` in microseconds of Unix time.
    fn attempt_record(&self, attempt: &OutgoingAttempt, started_at_unix_us: u64) -> Record {
        Record::AttemptStarted {
            id: attempt.message.id.0.to_string(),
            number: attempt.number.0,
            endpoint: self.state.endpoints().name(attempt.endpoint).unwrap_or_default().to_owned(),
            started_at_unix_us,
        }
    }
}
