//! Handles submissions of clients until the write-ahead log contains them and the clients have their
//! responses.

use std::collections::BTreeSet;
use std::time::Duration;

use reeddock::{MessageId, NewMessage};
use reeddock_protocol::{ClientResponse, Submission};
use reeddock_wal::AcceptedMessage;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::log_writer::LogWrite;
use super::new_submission::NewSubmission;
use super::EventLoop;

impl EventLoop {
    /// Passes a submission to the policy, or responds immediately if the submission can't be accepted.
    ///
    /// `received_at` is the time at which the client's request was read completely.
    pub(super) fn submit(
        &mut self,
        submission: Submission,
        received_at: Instant,
        reply: oneshot::Sender<ClientResponse>,
        now: Duration,
    ) {
        // A client that has closed its connection submits the message again.
        if reply.is_closed() {
            return;
        }
        if let Some(response) = self.immediate_response(&submission) {
            let _ = reply.send(response);
            return;
        }
        let id = submission.id.clone();
        let ordering_key = submission.ordering_key;
        let destination = submission.destination;
        let deadline = self.clock.time_at(received_at) + submission.time_left;
        let accepted = self.accepted_record(submission, deadline);
        if !self.has_capacity_for(&accepted) {
            let _ = reply.send(ClientResponse::NoCapacity);
            return;
        }
        let (class, tenant) = (accepted.class.as_str(), accepted.tenant.as_deref());
        let message = NewMessage { id: id.clone(), class, tenant, ordering_key, deadline, destination };
        self.policy.submit(now, message, self.state.commands());
        self.state.add_submission(NewSubmission { id, accepted, reply });
    }

    /// Returns the response to a submission that is not passed to the policy, or `None` if the policy must
    /// decide.
    fn immediate_response(&self, submission: &Submission) -> Option<ClientResponse> {
        let (id, pending) = (&submission.id, self.state.pending());
        if pending.contains(id) {
            // The write-ahead log already contains this message, as the submission is a repetition.
            Some(ClientResponse::Accepted)
        } else if pending.is_finished(id) || self.state.has_submission(id) {
            Some(ClientResponse::DuplicateId)
        } else if !self.policy.knows_destination(submission.destination) {
            Some(ClientResponse::UnknownDestination)
        } else {
            None
        }
    }

    /// Returns the record of an accepted submission.
    fn accepted_record(&self, submission: Submission, deadline: Duration) -> AcceptedMessage {
        AcceptedMessage {
            id: submission.id.0.to_string(),
            class: submission.class,
            tenant: submission.tenant,
            ordering_key: submission.ordering_key.map(|key| key.0),
            destination: submission.destination.0,
            deadline_unix_us: self.clock.to_unix_micros(deadline),
            body: submission.body,
            idempotency_key: submission.idempotency_key,
        }
    }

    /// Returns whether memory and disk have capacity for one more message, in addition to the submissions
    /// since the last run of due work.
    fn has_capacity_for(&mut self, accepted: &AcceptedMessage) -> bool {
        let disk_bytes = self.state.submitted_bytes() + accepted.reserved_bytes();
        let memory_bytes = self.state.memory_bytes() + accepted.reserved_bytes();
        let has_capacity = disk_bytes <= self.log.free_bytes() && memory_bytes <= self.max_message_bytes;
        if !has_capacity {
            if let Some(suppressed) = self.throttles.capacity.admit() {
                tracing::warn!(
                    memory_bytes,
                    suppressed,
                    "submission rejected, no capacity in memory or on disk"
                );
            }
        }
        has_capacity
    }

    /// Responds to the clients of all submissions. Returns the messages whose clients did not receive a 202
    /// response, and which are therefore submitted again. Clients that have disconnected are included.
    pub(super) fn answer_submissions(
        &self,
        submissions: Vec<NewSubmission>,
        written: LogWrite,
    ) -> BTreeSet<MessageId> {
        let mut withdrawn = BTreeSet::new();
        for NewSubmission { id, reply, .. } in submissions {
            let accepted = written.has_submissions();
            let response = if accepted { ClientResponse::Accepted } else { ClientResponse::NoCapacity };
            if reply.send(response).is_err() || !accepted {
                withdrawn.insert(id);
            }
        }
        withdrawn
    }
}
