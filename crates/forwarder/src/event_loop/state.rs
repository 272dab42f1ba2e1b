//! The state of the event loop between its steps, beside the policy and the write-ahead log.

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

/// The state of the event loop between its steps.
#[derive(Default)]
pub(super) struct EventLoopState {
    /// Commands of the policy that are not carried out yet.
    commands: CommandBuffer,
    endpoints: EndpointTable,
    /// The part of the endpoint list that is being received.
    list_progress: Option<ListProgress>,
    /// Submitted since the last due work, and not yet answered.
    submissions: Vec<NewSubmission>,
    pending: PendingMessages,
    /// Attempts that have started and not finished, each with the sender that cancels it.
    in_flight: BTreeMap<AttemptKey, oneshot::Sender<()>>,
    timers: BTreeSet<Duration>,
    /// Records that go into the write-ahead log with the next due work.
    unwritten: Vec<Record>,
    /// How many notices the platform has not acknowledged.
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

    /// Whether no message is pending and every notice is acknowledged.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.unacknowledged_notices == 0
    }

    /// Prepares a run of due work at this time.
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

    /// Takes the first timer that is due.
    pub(super) fn take_due_timer(&mut self, now: Duration) -> Option<Duration> {
        self.next_timer().filter(|at| *at <= now)?;
        self.timers.pop_first()
    }
}

/// Submissions that wait for the next due work.
impl EventLoopState {
    pub(super) fn add_submission(&mut self, submission: NewSubmission) {
        self.submissions.push(submission);
    }

    pub(super) fn has_submission(&self, id: &MessageId) -> bool {
        self.submissions.iter().any(|submission| submission.id == *id)
    }

    /// Bytes that the submissions will occupy once they are accepted.
    pub(super) fn submitted_bytes(&self) -> u64 {
        self.submissions.iter().map(|submission| submission.accepted.reserved_bytes()).sum()
    }

    fn take_submission(&mut self, id: &MessageId) -> Option<NewSubmission> {
        let position = self.submissions.iter().position(|submission| submission.id == *id)?;
        Some(self.submissions.remove(position))
    }

    /// Makes the messages pending that were submitted since the last due work, and returns their submissions.
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
    /// Numbers attempts, those of one message in the order in which the policy commanded them. A message that is not
    /// pending any more gets none.
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

    /// Records that an attempt is in flight; returns the channel that cancels its request.
    pub(super) fn attempt_in_flight(&mut self, attempt: AttemptKey) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.in_flight.insert(attempt, cancel);
        cancelled
    }

    /// Records that an attempt is no longer in flight.
    pub(super) fn attempt_finished(&mut self, attempt: &AttemptKey) {
        self.in_flight.remove(attempt);
    }

    /// Cancels those of these attempts that are in flight.
    pub(super) fn cancel_attempts(&mut self, attempts: Vec<AttemptKey>) {
        for attempt in attempts {
            if let Some(cancel) = self.in_flight.remove(&attempt) {
                let _ = cancel.send(());
            }
        }
    }

    /// Records that a message has its final answer; returns whether it was pending.
    pub(super) fn finish_message(&mut self, id: &MessageId) -> bool {
        self.pending.finish(id)
    }

    /// Finishes messages that were not delivered, and returns the notices for the platform. A message that was
    /// submitted since the last due work needs neither notice nor record: its client gets the answer as the response.
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

    /// Records the final answer of a pending message that was not delivered; returns whether it was pending.
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

/// The response to a client whose message has its final answer before it was accepted.
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

    /// Clears the queued records, which the write-ahead log has now.
    pub(super) fn records_written(&mut self) {
        self.unwritten.clear();
    }

    /// Counts a notice that the platform has not acknowledged.
    pub(super) fn notice_sent(&mut self) {
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
