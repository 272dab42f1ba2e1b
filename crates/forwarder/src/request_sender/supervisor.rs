//! Waits for one request with the time limits and cancellations of its messages, and reports each message's result.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use futures_util::FutureExt;
use reeddock::{AttemptNumber, EndpointId, MessageId};
use reeddock_protocol::AttemptResult;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};
use tower::{Service, ServiceExt};

use super::departure::{BatchDeparture, MessageDeparture};
use super::request::{BatchMessage, EndpointRequest, MessageResult, PendingAttempt, RequestResult};
use crate::events::Event;

/// Sends a request and reports to the event loop how each message ended. Once no message is waited for any more, the
/// connection is closed.
pub async fn run_request(
    request_sender: impl Service<EndpointRequest, Response = RequestResult, Error = Infallible>,
    request: EndpointRequest,
    attempts: Vec<PendingAttempt>,
    event_loop: mpsc::Sender<Event>,
) {
    let departure = request.departure.clone();
    departure.set_start_deadlines(attempts.iter().map(|attempt| attempt.start_deadline).collect());
    let mut supervisor = Supervisor::new(&request, &attempts, event_loop);
    let mut interruptions = watch_interruptions(&request, attempts);
    let mut early_retry_after = request.early_retry_after.subscribe();
    let mut exchange = Some(Box::pin(request_sender.oneshot(request)));
    while let Some(running) = exchange.as_mut().filter(|_| supervisor.any_unfinished()) {
        let finished = tokio::select! {
            biased;
            Ok(result) = running => {
                exchange = None;
                supervisor.request_finished(result).await
            }
            Ok(()) = early_retry_after.changed() => {
                let retry_after = *early_retry_after.borrow_and_update();
                if let Some(retry_after) = retry_after {
                    supervisor.report_retry_after(retry_after).await;
                }
                continue;
            }
            Some(first) = interruptions.next() => {
                // What is interrupted in the same instant is reported together, so that no message of it is sent
                // anew while the request is still in flight for the others.
                let mut interrupted = vec![first];
                while let Some(Some(next)) = interruptions.next().now_or_never() {
                    interrupted.push(next);
                }
                interrupted.into_iter().map(|interruption| interruption.withdraw(&departure)).collect()
            }
        };
        let reports = supervisor.finish(finished);
        if !supervisor.any_unfinished() {
            // The connection is closed before the results are reported.
            exchange = None;
        }
        supervisor.report(reports).await;
    }
}

/// Why a message is not waited for any longer while its request is still in flight.
#[derive(Clone, Copy)]
enum InterruptionCause {
    /// Its time is up, for the result or for the first byte.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
}

/// A message that is not waited for any longer.
struct Interruption {
    position: usize,
    cause: InterruptionCause,
}

impl Interruption {
    /// Withdraws the message, and returns its result, which says whether it was sent before.
    fn withdraw(self, departure: &BatchDeparture) -> MessageResult {
        let result = match (departure.withdraw(self.position), self.cause) {
            // No connection was open by then.
            (MessageDeparture::Withheld, InterruptionCause::TimedOut) => AttemptResult::ConnectTimedOut,
            (MessageDeparture::Withheld, InterruptionCause::Cancelled) => AttemptResult::NotSent,
            (MessageDeparture::Sent, InterruptionCause::TimedOut) => AttemptResult::TimedOut,
            (MessageDeparture::Sent, InterruptionCause::Cancelled) => AttemptResult::Cancelled,
        };
        MessageResult { position: self.position, result }
    }
}

/// Waits for the interruption of each message of a request.
fn watch_interruptions(
    request: &EndpointRequest,
    attempts: Vec<PendingAttempt>,
) -> FuturesUnordered<impl Future<Output = Interruption>> {
    let members = attempts.into_iter().zip(&request.messages).enumerate();
    let interruptions = members.map(|(position, (attempt, message))| {
        let PendingAttempt { start_deadline, cancelled, .. } = attempt;
        interruption(
            position,
            start_deadline,
            message.response_deadline,
            cancelled,
            request.departure.clone(),
        )
    });
    interruptions.collect()
}

/// Waits until the message at a position is not waited for any longer.
async fn interruption(
    position: usize,
    start_deadline: Instant,
    response_deadline: Instant,
    cancelled: oneshot::Receiver<()>,
    departure: BatchDeparture,
) -> Interruption {
    let not_sent_in_time = async {
        sleep_until(start_deadline).await;
        if departure.was_sent(position) {
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

/// Which attempt of which message a result is reported for.
struct AttemptId {
    message: MessageId,
    number: AttemptNumber,
}

/// The result of an attempt, to be reported to the event loop.
struct AttemptReport {
    attempt: AttemptId,
    result: AttemptResult,
}

/// One message of a request, until its result is known.
struct SupervisedMessage {
    /// None once its result is known.
    unfinished: Option<AttemptId>,
    /// Until when its result is waited for.
    response_deadline: Instant,
}

/// Which messages of a request have no result yet.
struct Supervisor {
    endpoint: EndpointId,
    /// By position in the request.
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
        Supervisor { endpoint: request.endpoint, messages, event_loop }
    }

    /// Whether any message has no result yet.
    fn any_unfinished(&self) -> bool {
        self.messages.iter().any(|message| message.unfinished.is_some())
    }

    /// Handles the end of the request: reports what its response says about the endpoint, and returns each message's
    /// result.
    async fn request_finished(&self, request: RequestResult) -> Vec<MessageResult> {
        self.report_endpoint(&request).await;
        let now = Instant::now();
        let results = request.results.into_iter().map(|result| self.in_time(result, now));
        let mut results: Vec<MessageResult> = results.collect();
        // A message that was withheld may have no interruption yet, though its start deadline has passed.
        let withheld = |position: &usize| !results.iter().any(|result| result.position == *position);
        let withheld: Vec<usize> = (0..self.messages.len()).filter(withheld).collect();
        let not_sent = |position| MessageResult { position, result: AttemptResult::NotSent };
        results.extend(withheld.into_iter().map(not_sent));
        results
    }

    /// Sends the load report and the `Retry-After` of a response to the event loop, before its results.
    async fn report_endpoint(&self, request: &RequestResult) {
        let endpoint = self.endpoint;
        if let Some(report) = request.load_report {
            let _ = self.event_loop.send(Event::LoadReported { endpoint, report }).await;
        }
        if let Some(retry_after) = request.retry_after {
            self.report_retry_after(retry_after).await;
        }
    }

    async fn report_retry_after(&self, retry_after: Duration) {
        let _ = self.event_loop.send(Event::RetryAfter { endpoint: self.endpoint, retry_after }).await;
    }

    /// Turns a completion after the time limit into a timeout: the endpoint knows the limit, so that a later completion
    /// is no delivery. A result that proves that the message was not executed stays valid.
    fn in_time(&self, finished: MessageResult, now: Instant) -> MessageResult {
        let late =
            self.messages.get(finished.position).is_some_and(|message| message.response_deadline <= now);
        match finished.result {
            AttemptResult::Completed if late => MessageResult { result: AttemptResult::TimedOut, ..finished },
            _ => finished,
        }
    }

    /// Records results; returns those of messages that had none before.
    fn finish(&mut self, finished: Vec<MessageResult>) -> Vec<AttemptReport> {
        let take = |MessageResult { position, result }| {
            let attempt = self.messages.get_mut(position)?.unfinished.take()?;
            Some(AttemptReport { attempt, result })
        };
        finished.into_iter().filter_map(take).collect()
    }

    /// Sends results to the event loop.
    async fn report(&self, reports: Vec<AttemptReport>) {
        for AttemptReport { attempt: AttemptId { message, number }, result } in reports {
            // The event loop ends with the program only.
            let _ = self.event_loop.send(Event::AttemptFinished { message, number, result }).await;
        }
    }
}
