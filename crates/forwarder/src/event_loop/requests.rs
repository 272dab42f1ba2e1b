//! Requests that carry attempts to endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use reeddock::{EndpointId, RequestId};
use reeddock_protocol::{split_into_batches, OutgoingMessage};
use tokio::time::Instant;

use super::commands::{AttemptKey, OutgoingAttempt};
use super::EventLoop;
use crate::request_sender::{run_request, BatchMessage, EndpointRequest, PendingAttempt};

/// Identifies one request that the policy decided on. Requests start in the order of their ids.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    request: RequestId,
    endpoint: EndpointId,
}

impl EventLoop {
    /// Starts requests for these attempts, which the policy decided on at `decided_at`.
    ///
    /// Attempts that the policy put into one request are sent together, as far as the batch limit of the endpoint
    /// allows, and never with others: otherwise one could still be in flight when another has its result.
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

    /// Starts one request with all of these attempts.
    fn start_request(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        attempts: Vec<OutgoingAttempt>,
        decided_at: Duration,
    ) {
        let now = Instant::now();
        let decided_at = self.clock.instant(decided_at);
        let messages = attempts.iter().map(|attempt| BatchMessage {
            message: attempt.message.clone(),
            response_deadline: now + attempt.timeouts.response_within,
        });
        let request = EndpointRequest::new(endpoint, address, messages.collect());
        let attempts = attempts.into_iter().map(|attempt| {
            let start_deadline = latest_start(&attempt, decided_at, now);
            let key = AttemptKey { message: attempt.message.id, number: attempt.number };
            let cancelled = self.state.attempt_in_flight(key.clone());
            PendingAttempt { message: key.message, number: key.number, start_deadline, cancelled }
        });
        let attempts: Vec<PendingAttempt> = attempts.collect();
        let (sender, events) = (self.request_sender.clone(), self.events.clone());
        self.requests.spawn(run_request(sender, request, attempts, events));
    }

    /// Drops the tasks of requests that have finished.
    pub(super) fn reap_requests(&mut self) {
        while self.requests.try_join_next().is_some() {}
    }
}

/// The latest time for the first byte of an attempt. A start limit counts from the policy's decision, before the
/// write-ahead log was written; without one, the attempt may start for as long as its response is waited for.
fn latest_start(attempt: &OutgoingAttempt, decided_at: Instant, now: Instant) -> Instant {
    let timeouts = attempt.timeouts;
    if timeouts.start_within < timeouts.response_within {
        decided_at + timeouts.start_within
    } else {
        now + timeouts.response_within
    }
}

/// Splits the attempts of one request to an endpoint that accepts at most `max_batch` messages in a request.
///
/// The attempt whose response is waited for longest comes first: a request carries only one time limit, which the
/// endpoint may apply to the first message, and a response after that limit would be lost for the others too.
fn split_attempts(mut attempts: Vec<OutgoingAttempt>, max_batch: usize) -> Vec<Vec<OutgoingAttempt>> {
    attempts.sort_by_key(|attempt| std::cmp::Reverse(attempt.timeouts.response_within));
    let messages: Vec<OutgoingMessage> = attempts.iter().map(|attempt| attempt.message.clone()).collect();
    let counts = split_into_batches(&messages, max_batch);
    let mut attempts = attempts.into_iter();
    counts.into_iter().map(|count| attempts.by_ref().take(count).collect()).collect()
}
