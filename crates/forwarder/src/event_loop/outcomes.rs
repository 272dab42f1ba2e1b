//! How attempts ended, told to the delivery policy and noted for the write-ahead log.

use std::time::Duration;

use reeddock::{AttemptNumber, AttemptOutcome, EndpointId, MessageId};
use reeddock_protocol::AttemptResult;
use reeddock_wal::Record;

use super::{EventLoop, State, IDS_KEPT};

impl EventLoop {
    /// Calls that have begun and have no connection yet are not to go inside a wait.
    /// The same end as the delivery policy's, which sends again from then on.
    pub(super) fn rest(&self, endpoint: EndpointId, until: Duration) {
        for endpoint in self.policy.endpoints_sharing_circuit(endpoint) {
            self.request_sender.connections.rest(endpoint, self.clock.instant(until));
        }
    }

    pub(super) fn ended(&mut self, id: MessageId, no: AttemptNumber, result: AttemptResult, now: Duration) {
        let state = &mut self.state;
        state.out.remove(&(id.clone(), no));
        let outcome = result.outcome();
        let held = state.pending.contains_key(&id);
        if held && result.finishes_message() {
            state.forget(&id);
            state.records.push(Record::Finished { id: id.0.to_string(), notice: None });
        } else if held {
            let (id, proves_not_executed) = (id.0.to_string(), outcome.proves_not_executed());
            state.records.push(Record::AttemptFinished { id, no: no.0, proves_not_executed });
        }
        tracing::debug!(id = &*id.0, no = no.0, ?result, "a dispatch ended");
        if matches!(result, AttemptResult::Malformed | AttemptResult::BatchMalformed) {
            if let Some(more) = state.unreadable.now() {
                tracing::warn!(id = &*id.0, more, "a target can't read a call with this envelope");
            }
        }
        if let (AttemptOutcome::Rejected { retry_after: Some(wait) }, Some(endpoint)) =
            (outcome, self.policy.attempt_endpoint(&id, no))
        {
            self.rest(endpoint, now + wait);
        }
        let state = &mut self.state;
        let finished = !held || result.finishes_message();
        self.policy.attempt_finished(now, &id, no, outcome, finished, &mut state.commands);
    }
}

impl State {
    /// The message is over; says whether it was still owed its end.
    pub(super) fn forget(&mut self, id: &MessageId) -> bool {
        let pending = self.pending.remove(id);
        if pending.is_some() && self.finished.insert(id.clone()) {
            self.finished_expiry.push_back((self.now + IDS_KEPT, id.clone()));
        }
        self.bodies -= pending.as_ref().map_or(0, |o| o.size);
        pending.is_some()
    }
}
