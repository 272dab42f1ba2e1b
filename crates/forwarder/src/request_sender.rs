//! Calls to endpoints: a service that carries one call and tells how each of its messages ended, and the task
//! that stops waiting for it.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use futures_util::FutureExt;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use reeddock::{AttemptNumber, EndpointId, LoadReport, MessageId};
use reeddock_protocol::{self as protocol, AttemptResult, OutgoingMessage};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tower::{Service, ServiceExt};

use crate::connections::{locked, Connection, Connections};
use crate::events::Event;

/// One call to one endpoint.
pub struct EndpointRequest {
    pub endpoint: EndpointId,
    pub to: SocketAddr,
    pub messages: Vec<OutgoingMessage>,
    /// Until when an answer for each is waited for.
    pub until: Vec<Instant>,
    pub departure: BatchDeparture,
}

/// Which letters of a call still go once its connection is up, shared by who carries the call and who waits for
/// its ends: seconds may pass until then, and what has its end by then is never sent.
#[derive(Clone, Default)]
pub struct BatchDeparture(Arc<Mutex<BatchDepartureState>>);

#[derive(Default)]
struct BatchDepartureState {
    /// The first byte is about to be written.
    begun: bool,
    stayed: BTreeSet<usize>,
    /// By place, when the first byte leaves at the latest; without end where nothing stands here.
    begin_by: Vec<Instant>,
}

impl BatchDeparture {
    fn only_until(&self, begin_by: Vec<Instant>) {
        locked(&self.0).begin_by = begin_by;
    }

    /// The places that go, of so many; from here on each may have run. What may not begin any more stays.
    fn begin(&self, places: usize) -> Vec<usize> {
        let mut boarded = locked(&self.0);
        let now = Instant::now();
        let late = |place: &usize| boarded.begin_by.get(*place).is_some_and(|by| *by <= now);
        let late: Vec<usize> = (0..places).filter(late).collect();
        boarded.stayed.extend(late);
        boarded.begun = true;
        (0..places).filter(|place| !boarded.stayed.contains(place)).collect()
    }

    /// Nothing of it was written after all.
    fn undo(&self) {
        locked(&self.0).begun = false;
    }

    /// The letter is waited for no longer; says whether it has gone. If not, it stays.
    fn leave(&self, place: usize) -> bool {
        let mut boarded = locked(&self.0);
        if !boarded.begun {
            boarded.stayed.insert(place);
        }
        !boarded.stayed.contains(&place)
    }

    fn has_gone(&self, place: usize) -> bool {
        let boarded = locked(&self.0);
        boarded.begun && !boarded.stayed.contains(&place)
    }
}

/// What came of a call.
pub struct RequestResult {
    /// How each message that went ended, by its place in the call.
    pub results: Vec<(usize, AttemptResult)>,
    /// A wait that the endpoint asks for beside what it took on.
    pub wait: Option<Duration>,
    /// What its answer tells of the limit of its route.
    pub report: Option<LoadReport>,
}

/// Carries calls. Dropping the future of one ends its connection, and so gives the call up.
#[derive(Clone)]
pub struct RequestSender {
    pub connections: Connections,
}

/// The rest of an answer is read for so long, before the end is told and after; then its connection goes.
const REST_SHORTLY: Duration = Duration::from_millis(20);
const REST_AT_MOST: Duration = Duration::from_secs(2);
/// No answer that means anything is longer; some never end.
const LONGEST_ANSWER: usize = 2 * protocol::MAX_BODY_BYTES;

impl Service<EndpointRequest> for RequestSender {
    type Response = RequestResult;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<RequestResult, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, call: EndpointRequest) -> Self::Future {
        let connections = self.connections.clone();
        Box::pin(async move {
            let places = 0..call.messages.len();
            let none = |result| RequestResult {
                results: places.map(|place| (place, result)).collect(),
                wait: None,
                report: None,
            };
            Ok(carry(connections, call).await.unwrap_or_else(none))
        })
    }
}

async fn carry(connections: Connections, call: EndpointRequest) -> Result<RequestResult, AttemptResult> {
    let (mut connection, answer, aboard) = loop {
        let mut connection = connections.take(call.endpoint, call.to).await?;
        // What held when the call was decided may have ended while its connection came up.
        let open = connections.open_to(call.endpoint);
        let aboard = open.map(|()| call.departure.begin(call.messages.len()));
        let aboard = match aboard {
            Ok(aboard) if !aboard.is_empty() => aboard,
            turned_back => {
                call.departure.undo();
                if connection.ready().await {
                    connections.put(call.endpoint, connection);
                }
                return Err(turned_back.err().unwrap_or(AttemptResult::NotSent));
            }
        };
        let alone = aboard.len() == 1;
        let request = request(&call, &aboard).inspect_err(|_| call.departure.undo())?;
        let said_ok = connection.says_ok();
        let answer = tokio::select! {
            biased;
            answer = connection.send(request) => answer,
            // The rest of the head may have no end, or can't be read.
            () = async { said_ok.await; sleep(REST_SHORTLY).await }, if alone => {
                return Ok(RequestResult { results: vec![(aboard[0], AttemptResult::Completed)], wait: None, report: None });
            }
        };
        if answer.is_ok() || !connection.was_over() {
            connections.used(&connection, answer.is_ok());
            break (connection, answer, aboard);
        }
        call.departure.undo();
    };
    let alone = aboard.len() == 1;
    let all = |result, wait, report| {
        let results = aboard.iter().map(|place| (*place, result)).collect();
        RequestResult { results, wait, report }
    };
    let (head, body) = match answer {
        Ok(answer) => answer.into_parts(),
        Err(_) if alone && connection.said_ok() => return Ok(all(AttemptResult::Completed, None, None)),
        Err(result) => return Ok(all(result, None, None)),
    };
    let report = protocol::load_report_of(&head);
    if connection.is_new() && protocol::rejects_connection(&head) {
        connections.turned_away(call.endpoint);
    }
    if alone && protocol::attempt_result_of(&head) == AttemptResult::Completed {
        // The head says all. The next call to this endpoint, which may follow at once, finds the connection free
        // if the rest comes shortly.
        let mut rest = Box::pin(finish(connections, call.endpoint, connection, body));
        if timeout(REST_SHORTLY, &mut rest).await.is_err() {
            tokio::spawn(timeout(REST_AT_MOST, rest));
        }
        return Ok(all(AttemptResult::Completed, None, report));
    }
    // What is said of each stands in the body; and only a whole answer proves that nothing has run.
    let Ok(whole) = Limited::new(body, LONGEST_ANSWER).collect().await else {
        // A wait stands in the head, and holds whatever became of the rest.
        return Ok(all(AttemptResult::MalformedResponse, protocol::retry_after_of(&head), report));
    };
    let whole = whole.to_bytes();
    let clean = connection.ready().await;
    if clean {
        connections.put(call.endpoint, connection);
    }
    if alone {
        return Ok(all(protocol::attempt_result_of(&head), None, report));
    }
    let messages = aboard_of(&call, &aboard);
    let results = protocol::attempt_results_of_batch(&head, &whole, clean, &messages);
    let results = aboard.iter().copied().zip(results).collect();
    Ok(RequestResult { results, wait: protocol::retry_after_of(&head), report })
}

fn aboard_of(call: &EndpointRequest, aboard: &[usize]) -> Vec<OutgoingMessage> {
    aboard.iter().map(|place| call.messages[*place].clone()).collect()
}

/// What those aboard travel in, with the longest of their waits.
fn request(call: &EndpointRequest, aboard: &[usize]) -> Result<Request<Full<Bytes>>, AttemptResult> {
    let messages = aboard_of(call, aboard);
    let until = aboard.iter().map(|place| call.until[*place]).max();
    let wait = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
    let request = match &messages[..] {
        [message] => protocol::single_request(call.to, message, wait),
        messages => protocol::batch_request(call.to, messages, wait),
    };
    request.map_err(|_| AttemptResult::NotSent)
}

async fn finish(connections: Connections, endpoint: EndpointId, mut connection: Connection, body: Incoming) {
    if Limited::new(body, LONGEST_ANSWER).collect().await.is_ok() && connection.ready().await {
        connections.put(endpoint, connection);
    }
}

/// One message of a call that is out.
pub struct PendingAttempt {
    pub message: MessageId,
    pub no: AttemptNumber,
    /// Its first byte leaves by then or never.
    pub begin_by: Instant,
    pub cancelled: oneshot::Receiver<()>,
}

/// Carries a call to its end and tells the owner how each message fared. Once none is waited for any more,
/// the connection is closed.
pub async fn run_request(
    request_sender: impl Service<EndpointRequest, Response = RequestResult, Error = Infallible>,
    call: EndpointRequest,
    dispatched: Vec<PendingAttempt>,
    event_loop: mpsc::Sender<Event>,
) {
    let (endpoint, departure, until) = (call.endpoint, call.departure.clone(), call.until.clone());
    departure.only_until(dispatched.iter().map(|d| d.begin_by).collect());
    let mut waiting = Vec::new();
    let mut patience = FuturesUnordered::new();
    for (place, (d, until)) in dispatched.into_iter().zip(until.clone()).enumerate() {
        waiting.push(Some((d.message, d.no)));
        let (cancelled, departure) = (d.cancelled, departure.clone());
        let never_began = async move {
            sleep_until(d.begin_by).await;
            if departure.has_gone(place) {
                std::future::pending().await
            }
        };
        patience.push(async move {
            tokio::select! {
                () = sleep_until(until) => (place, AttemptResult::TimedOut),
                () = never_began => (place, AttemptResult::TimedOut),
                Ok(()) = cancelled => (place, AttemptResult::Cancelled),
            }
        });
    }
    let mut carried = Some(Box::pin(request_sender.oneshot(call)));
    while let Some(carrying) = carried.as_mut().filter(|_| waiting.iter().any(Option::is_some)) {
        let ended = tokio::select! {
            biased;
            Ok(RequestResult { results, wait, report }) = carrying => {
                if let Some(report) = report {
                    let _ = event_loop.send(Event::Reported { endpoint, report }).await;
                }
                if let Some(wait) = wait {
                    let _ = event_loop.send(Event::Wait { endpoint, wait }).await;
                }
                carried = None;
                // The endpoint was told until when: what it says after that is no delivery, though it may come in
                // the instant in which the wait ends. That nothing has run holds all the same.
                let now = Instant::now();
                let late = |place: usize| until.get(place).is_some_and(|until| *until <= now);
                let in_time = |(place, result)| match result {
                    AttemptResult::Completed if late(place) => (place, AttemptResult::TimedOut),
                    result => (place, result),
                };
                let mut results: Vec<_> = results.into_iter().map(in_time).collect();
                // What it left behind, as that might not begin any more; its own moment may not have been told yet.
                let stayed = |place: &usize| !results.iter().any(|(told, _)| told == place);
                let stayed: Vec<usize> = (0..waiting.len()).filter(stayed).collect();
                results.extend(stayed.into_iter().map(|place| (place, AttemptResult::NotSent)));
                results
            }
            Some(given_up) = patience.next() => {
                // What ends in the same instant is told together, so that nothing of it goes out anew while the
                // call is still out for the others.
                let mut ended = vec![given_up];
                while let Some(Some(also)) = patience.next().now_or_never() {
                    ended.push(also);
                }
                for (place, result) in &mut ended {
                    *result = match (departure.leave(*place), *result) {
                        // No connection had come up by then.
                        (false, AttemptResult::TimedOut) => AttemptResult::ConnectTimedOut,
                        (false, _) => AttemptResult::NotSent,
                        (true, given_up) => given_up,
                    };
                }
                ended
            }
        };
        let ended: Vec<_> = ended
            .into_iter()
            .filter_map(|(place, result)| Some((waiting.get_mut(place)?.take()?, result)))
            .collect();
        if waiting.iter().all(Option::is_none) {
            // Closed before it is told.
            carried = None;
        }
        for ((message, no), result) in ended {
            // The owner lives as long as the program.
            let _ = event_loop.send(Event::Ended { message, no, result }).await;
        }
    }
}
