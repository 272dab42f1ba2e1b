//! Waits for a request, applies the time limits and cancellations of its messages, and reports their results.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use futures_util::FutureExt;
use reeddock::{AttemptNumber, EndpointId, MessageId};
use reeddock_protocol::AttemptResult;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};
use tower::{Service, ServiceExt};

use super::request::{BatchMessage, EndpointRequest, MessageResult, PendingAttempt, RequestResult};
use super::send_state::{BatchSendState, MessageSendStatus};
use crate::events::Event;

/// Sends a request and reports the result of each message to the event loop. When every message has its
/// result, the connection is closed.
pub async fn run_request(
    request_sender: impl Service<EndpointRequest, Response = RequestResult, Error = Infallible>,
    request: EndpointRequest,
    attempts: Vec<PendingAttempt>,
    event_loop: mpsc::Sender<Event>,
) {
    let send_state = request.send_state.clone();
    send_state.set_start_deadlines(attempts.iter().map(|attempt| attempt.start_deadline).collect());
    let mut supervisor = Supervisor::new(&request, &attempts, event_loop);
    let mut interruptions = watch_interruptions(&request, attempts);
    let mut early_retry_after = request.early_retry_after.subscribe();
    let mut exchange = Some(Box::pin(request_sender.oneshot(request)));
    while let Some(running) = exchange.as_mut().filter(|_| supervisor.any_unfinished()) {
        let finished = tokio::select! {
            biased;
            Ok(result) = running => {
                exchange = None;
                supervisor.handle_request_result(result).await
            }
            Ok(()) = early_retry_after.changed() => {
                let retry_after = *early_retry_after.borrow_and_update();
                if let Some(retry_after) = retry_after {
                    supervisor.report_retry_after(retry_after).await;
                }
                continue;
            }
            Some(first) = interruptions.next() => {
                // Interruptions at the same time are reported together. Otherwise a message could be retried
                // while the request is still in flight for the others.
                let mut interrupted = vec![first];
                while let Some(Some(next)) = interruptions.next().now_or_never() {
                    interrupted.push(next);
                }
                interrupted.into_iter().map(|interruption| interruption.withdraw(&send_state)).collect()
            }
        };
        let reports = supervisor.record_results(finished);
        if !supervisor.any_unfinished() {
            // The connection is closed before the results are reported.
            exchange = None;
        }
        supervisor.report(reports).await;
    }
}

/// Why the result of a message is no longer awaited while its request is in flight.
#[derive(Clone, Copy)]
enum InterruptionCause {
    /// The deadline for the result or for the first byte has passed.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
}

/// A message whose result is no longer awaited.
struct Interruption {
    position: usize,
    cause: InterruptionCause,
}

impl Interruption {
    /// Withdraws the message and returns its result, which depends on whether the message was sent.
    fn withdraw(self, send_state: &BatchSendState) -> MessageResult {
        let result = match (send_state.withdraw(self.position), self.cause) {
            // The connection was not open in time.
            (MessageSendStatus::Withheld, InterruptionCause::TimedOut) => AttemptResult::ConnectTimedOut,
            (MessageSendStatus::Withheld, InterruptionCause::Cancelled) => AttemptResult::NotSent,
            (MessageSendStatus::Sent, InterruptionCause::TimedOut) => AttemptResult::TimedOut,
            (MessageSendStatus::Sent, InterruptionCause::Cancelled) => AttemptResult::Cancelled,
        };
        MessageResult { position: self.position, result }
    }
}

/// Returns a stream of the interruptions of a request's messages.
fn watch_interruptions(
    request: &EndpointRequest,
    attempts: Vec<PendingAttempt>,
) -> FuturesUnordered<impl Future<Output = Interruption>> {
    let members = attempts.into_iter().zip(&request.messages).enumerate();
    let interruptions = members.map(|(position, (attempt, message))| {
        let PendingAttempt { start_deadline, cancelled, .. } = attempt;
        wait_for_interruption(
            position,
            start_deadline,
            message.response_deadline,
            cancelled,
            request.send_state.clone(),
        )
    });
    interruptions.collect()
}

/// Waits until the message at a position times out or is cancelled.
async fn wait_for_interruption(
    position: usize,
    start_deadline: Instant,
    response_deadline: Instant,
    cancelled: oneshot::Receiver<()>,
    send_state: BatchSendState,
) -> Interruption {
    let not_sent_in_time = async {
        sleep_until(start_deadline).await;
        if send_state.was_sent(position) {
            std::future::pending().await
        }
    };
    let cause = tokio::select! {
        () = sleep_until(response_deadline) => InterruptionCause::TimedOut,
        () = not_sent_in_time => InterruptionCause::TimedOut,
        Ok(()) = cancelled => InterruptionCause::Cancelled,
    };
    Interruption { position, cause }
}

/// The attempt that a result is reported for.
struct AttemptId {
    message: MessageId,
    number: AttemptNumber,
}

/// The result of an attempt, to be reported to the event loop.
struct AttemptReport {
    attempt: AttemptId,
    result: AttemptResult,
}

/// A message of a request, tracked until its result is known.
struct SupervisedMessage {
    /// The attempt for the message. `None` once its result is known.
    unfinished: Option<AttemptId>,
    /// The time until which the result is awaited.
    response_deadline: Instant,
}

/// Tracks which messages of a request have no result yet.
struct Supervisor {
    endpoint: EndpointId,
    address: SocketAddr,
    /// The messages, by position in the request.
    messages: Vec<SupervisedMessage>,
    event_loop: mpsc::Sender<Event>,
}

impl Supervisor {
    fn new(
        request: &EndpointRequest,
        attempts: &[PendingAttempt],
        event_loop: mpsc::Sender<Event>,
    ) -> Supervisor {
        let supervised = |(attempt, message): (&PendingAttempt, &BatchMessage)| {
            let id = AttemptId { message: attempt.message.clone(), number: attempt.number };
            SupervisedMessage { unfinished: Some(id), response_deadline: message.response_deadline }
        };
        let messages = attempts.iter().zip(&request.messages).map(supervised).collect();
        Supervisor { endpoint: request.endpoint, address: request.address, messages, event_loop }
    }

    /// Returns whether any message has no result yet.
    fn any_unfinished(&self) -> bool {
        self.messages.iter().any(|message| message.unfinished.is_some())
    }

    /// Reports the endpoint's state from the response, and returns the result of each message.
    async fn handle_request_result(&self, request: RequestResult) -> Vec<MessageResult> {
        self.report_endpoint_state(&request).await;
        let now = Instant::now();
        let results = request.results.into_iter().map(|result| self.apply_response_deadline(result, now));
        let mut results: Vec<MessageResult> = results.collect();
        // A message that was withheld because of its start deadline has no result yet if its interruption is
        // not handled yet.
        let withheld = |position: &usize| !results.iter().any(|result| result.position == *position);
        let withheld: Vec<usize> = (0..self.messages.len()).filter(withheld).collect();
        let not_sent = |position| MessageResult { position, result: AttemptResult::NotSent };
        results.extend(withheld.into_iter().map(not_sent));
        results
    }

    /// Sends the load report and the `Retry-After` of a response to the event loop. Must be called before the
    /// attempt results of the response are reported.
    async fn report_endpoint_state(&self, request: &RequestResult) {
        let endpoint = self.endpoint;
        if let Some(report) = request.load_report {
            let _ = self.event_loop.send(Event::LoadReported { endpoint, report }).await;
        }
        if let Some(retry_after) = request.retry_after {
            self.report_retry_after(retry_after).await;
        }
    }

    async fn report_retry_after(&self, retry_after: Duration) {
        let _ = self
            .event_loop
            .send(Event::RetryAfter { endpoint: self.endpoint, address: self.address, retry_after })
            .await;
    }

    /// Replaces the result `Completed` with `TimedOut` if it is received after the response deadline.
    ///
    /// Other late results remain valid, because they may prove that the message was not executed.
    fn apply_response_deadline(&self, finished: MessageResult, now: Instant) -> MessageResult {
        let late =
            self.messages.get(finished.position).is_some_and(|message| message.response_deadline <= now);
        match finished.result {
            AttemptResult::Completed if late => MessageResult { result: AttemptResult::TimedOut, ..finished },
            _ => finished,
        }
    }

    /// Records results and returns reports for the messages that had none before.
    fn record_results(&mut self, finished: Vec<MessageResult>) -> Vec<AttemptReport> {
        let take = |MessageResult { position, result }| {
            let attempt = self.messages.get_mut(position)?.unfinished.take()?;
            Some(AttemptReport { attempt, result })
        };
        finished.into_iter().filter_map(take).collect()
    }

    async fn report(&self, reports: Vec<AttemptReport>) {
        for AttemptReport { attempt: AttemptId { message, number }, result } in reports {
            // The event loop runs until the process ends.
            let _ = self
                .event_loop
                .send(Event::AttemptFinished { message, number, address: self.address, result })
                .await;
        }
    }
}
