//! The state of the event loop between its steps, except for the policy and the write-ahead log.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use reeddock::MessageId;
use reeddock_protocol::{ClientResponse, DeliveryNotice, FinalAnswer};
use reeddock_wal::Record;
use tokio::sync::oneshot;

use super::commands::{AttemptCommand, AttemptKey, CommandBuffer, OutgoingAttempt};
use super::endpoint_list::ListProgress;
use super::new_submission::NewSubmission;
use super::pending_messages::{PendingEntry, PendingMessages};
use crate::endpoints::EndpointTable;
use crate::limits::NOTICE_BYTES;

/// The state of the event loop between its steps.
#[derive(Default)]
pub(super) struct EventLoopState {
    /// The policy's commands that are not executed yet.
    commands: CommandBuffer,
    endpoints: EndpointTable,
    /// The part of the endpoint list that is being received.
    list_progress: Option<ListProgress>,
    /// Submissions since the last run of due work, whose clients have no response yet.
    submissions: Vec<NewSubmission>,
    pending: PendingMessages,
    /// The attempts in flight, each with the channel that cancels it.
    in_flight: BTreeMap<AttemptKey, oneshot::Sender<()>>,
    /// The times at which timers fire, as times of the policy's clock.
    timers: BTreeSet<Duration>,
    /// Records for the write-ahead log that the next run of due work appends.
    unwritten: Vec<Record>,
    /// The number of sent notices that the platform has not acknowledged.
    unacknowledged_notices: usize,
}

impl EventLoopState {
    pub(super) fn commands(&mut self) -> &mut CommandBuffer {
        &mut self.commands
    }

    pub(super) fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    pub(super) fn endpoints_mut(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }

    pub(super) fn list_progress_mut(&mut self) -> &mut Option<ListProgress> {
        &mut self.list_progress
    }

    pub(super) fn pending(&self) -> &PendingMessages {
        &self.pending
    }

    pub(super) fn pending_mut(&mut self) -> &mut PendingMessages {
        &mut self.pending
    }

    /// Returns whether no message is pending and every notice is acknowledged.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.unacknowledged_notices == 0
    }

    /// Prepares the state for a run of due work.
    pub(super) fn begin_due_work(&mut self, now: Duration) {
        self.pending.expire_finished_ids(now);
    }
}

/// Timers.
impl EventLoopState {
    pub(super) fn set_timers(&mut self, times: impl IntoIterator<Item = Duration>) {
        self.timers.extend(times);
    }

    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.timers.first().copied()
    }

    /// Removes and returns the first timer that is due, if any.
    pub(super) fn take_due_timer(&mut self, now: Duration) -> Option<Duration> {
        self.next_timer().filter(|at| *at <= now)?;
        self.timers.pop_first()
    }
}

/// Submissions that wait for the next run of due work.
impl EventLoopState {
    pub(super) fn add_submission(&mut self, submission: NewSubmission) {
        self.submissions.push(submission);
    }

    pub(super) fn has_submission(&self, id: &MessageId) -> bool {
        self.submissions.iter().any(|submission| submission.id == *id)
    }

    /// Returns the number of bytes that the submissions occupy in memory and in the write-ahead log once they
    /// are accepted.
    pub(super) fn submitted_bytes(&self) -> u64 {
        self.submissions.iter().map(|submission| submission.accepted.reserved_bytes()).sum()
    }

    /// Returns the memory of pending messages, submissions and unacknowledged notices, in bytes.
    pub(super) fn memory_bytes(&self) -> u64 {
        let notices = self.unacknowledged_notices as u64 * NOTICE_BYTES;
        self.pending.bytes() + self.submitted_bytes() + notices
    }

    fn take_submission(&mut self, id: &MessageId) -> Option<NewSubmission> {
        let position = self.submissions.iter().position(|submission| submission.id == *id)?;
        Some(self.submissions.remove(position))
    }

    /// Marks the messages of all submissions since the last run of due work as pending, and returns the
    /// submissions.
    pub(super) fn accept_submissions(&mut self) -> Vec<NewSubmission> {
        let submissions = std::mem::take(&mut self.submissions);
        for NewSubmission { id, accepted, .. } in &submissions {
            let (class, destination) = (&*accepted.class, accepted.destination);
            tracing::debug!(message_id = &*id.0, class, destination, "message pending");
            let entry = PendingEntry {
                body: accepted.body.clone(),
                idempotency_key: accepted.idempotency_key.as_deref().map(Arc::from),
                size: accepted.reserved_bytes(),
                attempts: 0,
            };
            self.pending.insert(id.clone(), entry);
        }
        submissions
    }
}

/// Attempts and final answers.
impl EventLoopState {
    /// Numbers the attempts of commands, in the order of the commands for each message. Commands for messages
    /// that are not pending are ignored.
    pub(super) fn number_attempts(&mut self, commands: Vec<AttemptCommand>) -> Vec<OutgoingAttempt> {
        let attempts: Vec<OutgoingAttempt> =
            commands.into_iter().filter_map(|command| self.pending.number_attempt(command)).collect();
        for OutgoingAttempt { message, number, endpoint, timeouts } in &attempts {
            tracing::debug!(
                message_id = &*message.id.0,
                attempt = number.0,
                ?endpoint,
                request = timeouts.request.0,
                start_within = ?timeouts.start_within,
                response_within = ?timeouts.response_within,
                "attempt numbered"
            );
        }
        attempts
    }

    /// Records that an attempt is in flight. Returns the channel that signals its cancellation.
    pub(super) fn add_in_flight(&mut self, attempt: AttemptKey) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.in_flight.insert(attempt, cancel);
        cancelled
    }

    /// Records that an attempt is no longer in flight.
    pub(super) fn remove_in_flight(&mut self, attempt: &AttemptKey) {
        self.in_flight.remove(attempt);
    }

    /// Cancels the given attempts that are in flight.
    pub(super) fn cancel_attempts(&mut self, attempts: Vec<AttemptKey>) {
        for attempt in attempts {
            if let Some(cancel) = self.in_flight.remove(&attempt) {
                let _ = cancel.send(());
            }
        }
    }

    /// Records that a message has its final answer. Returns whether the message was pending.
    pub(super) fn finish_message(&mut self, id: &MessageId) -> bool {
        self.pending.finish(id)
    }

    /// Finishes messages that were not delivered, and returns the notices for the platform. A message
    /// submitted since the last run of due work has neither notice nor record, because its client receives
    /// the answer as the response.
    pub(super) fn give_final_answers(&mut self, answers: Vec<DeliveryNotice>) -> Vec<DeliveryNotice> {
        let mut notices = Vec::new();
        for notice in answers {
            if let Some(submission) = self.take_submission(&notice.id) {
                let _ = submission.reply.send(response_to(notice.answer));
            } else if self.finish_undelivered(&notice) {
                notices.push(notice);
            }
        }
        notices
    }

    /// Records the final answer of a message that was not delivered. Returns whether the message was pending.
    fn finish_undelivered(&mut self, notice: &DeliveryNotice) -> bool {
        if !self.finish_message(&notice.id) {
            return false;
        }
        let id = &*notice.id.0;
        tracing::debug!(message_id = id, answer = %notice.answer, "message not delivered");
        self.record(Record::Finished { id: id.to_owned(), notice: Some(notice.answer) });
        true
    }
}

/// Returns the response to a client whose message has its final answer before it is accepted.
fn response_to(answer: FinalAnswer) -> ClientResponse {
    match answer {
        FinalAnswer::Rejected { retry_after } => ClientResponse::Rejected { retry_after },
        FinalAnswer::Failed => ClientResponse::Failed,
    }
}

/// Records for the write-ahead log, and notices.
impl EventLoopState {
    /// Queues a record for the write-ahead log.
    pub(super) fn record(&mut self, record: Record) {
        self.unwritten.push(record);
    }

    pub(super) fn unwritten_records(&self) -> &[Record] {
        &self.unwritten
    }

    /// Removes the queued records, after the write-ahead log has them.
    pub(super) fn clear_written_records(&mut self) {
        self.unwritten.clear();
    }

    /// Counts a notice that the platform has not acknowledged.
    pub(super) fn count_sent_notice(&mut self) {
        self.unacknowledged_notices += 1;
    }

    /// Records that the notices about these messages are acknowledged, or were dropped as malformed.
    pub(super) fn acknowledge_notices(&mut self, ids: &[MessageId]) {
        self.unacknowledged_notices = self.unacknowledged_notices.saturating_sub(ids.len());
        for id in ids {
            self.record(Record::NoticeAcknowledged { id: id.0.to_string() });
        }
    }
}
