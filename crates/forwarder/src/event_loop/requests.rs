//! Starts the requests that send attempts to endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{EndpointId, RequestId};
use reeddock_protocol::{split_into_batches, OutgoingMessage};
use tokio::time::Instant;

use super::commands::{AttemptKey, OutgoingAttempt};
use super::EventLoop;
use crate::request_sender::{run_request, BatchMessage, EndpointRequest, PendingAttempt};

/// Identifies one request that the policy decided on. Requests start in the order of their keys.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    request: RequestId,
    endpoint: EndpointId,
}

impl EventLoop {
    /// Starts requests for the attempts that the policy decided on at `decided_at`.
    ///
    /// Attempts that the policy put into one request are sent together, up to the batch limit of the
    /// endpoint. Attempts of different requests are never combined, because one could still be in flight when
    /// another has its result.
    pub(super) fn start_requests(&mut self, attempts: Vec<OutgoingAttempt>, decided_at: Duration) {
        let mut requests: BTreeMap<RequestKey, Vec<OutgoingAttempt>> = BTreeMap::new();
        for attempt in attempts {
            let key = RequestKey { request: attempt.timeouts.request, endpoint: attempt.endpoint };
            requests.entry(key).or_default().push(attempt);
        }
        for (RequestKey { endpoint, .. }, attempts) in requests {
            let Some(location) = self.state.endpoints().location(endpoint) else { continue };
            for batch in split_attempts(attempts, location.max_batch) {
                self.start_request(endpoint, location.address, batch, decided_at);
            }
        }
    }

    /// Starts one request with all given attempts.
    fn start_request(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        attempts: Vec<OutgoingAttempt>,
        decided_at: Duration,
    ) {
        let now = Instant::now();
        let decided_at = self.clock.instant_at(decided_at);
        let messages = attempts.iter().map(|attempt| BatchMessage {
            message: attempt.message.clone(),
            response_deadline: now + attempt.timeouts.response_within,
        });
        let request = EndpointRequest::new(endpoint, address, messages.collect());
        let attempts = attempts.into_iter().map(|attempt| {
            let start_deadline = start_deadline_of(&attempt, decided_at, now);
            let key = AttemptKey { message: attempt.message.id, number: attempt.number };
            let cancelled = self.state.add_in_flight(key.clone());
            PendingAttempt { message: key.message, number: key.number, start_deadline, cancelled }
        });
        let attempts: Vec<PendingAttempt> = attempts.collect();
        let (sender, events) = (self.request_sender.clone(), self.events.clone());
        self.requests.spawn(run_request(sender, request, attempts, events));
    }

    /// Removes the tasks of finished requests.
    pub(super) fn remove_finished_requests(&mut self) {
        while self.requests.try_join_next().is_some() {}
    }
}

/// Returns the latest time for the first byte of an attempt. A start limit counts from the policy's decision.
/// An attempt without one may start until its response timeout ends.
fn start_deadline_of(attempt: &OutgoingAttempt, decided_at: Instant, now: Instant) -> Instant {
    let timeouts = attempt.timeouts;
    if timeouts.start_within < timeouts.response_within {
        decided_at + timeouts.start_within
    } else {
        now + timeouts.response_within
    }
}

/// Splits the attempts of one request into batches of at most `max_batch` messages.
///
/// The attempt with the longest response timeout comes first. A request has only one time limit, which the
/// endpoint may apply to the first message, and a response after that limit would be lost for the other
/// messages too.
fn split_attempts(mut attempts: Vec<OutgoingAttempt>, max_batch: usize) -> Vec<Vec<OutgoingAttempt>> {
    attempts.sort_by_key(|attempt| std::cmp::Reverse(attempt.timeouts.response_within));
    let messages: Vec<OutgoingMessage> = attempts.iter().map(|attempt| attempt.message.clone()).collect();
    let counts = split_into_batches(&messages, max_batch);
    let mut attempts = attempts.into_iter();
    counts.into_iter().map(|count| attempts.by_ref().take(count).collect()).collect()
}
