//! Calls to targets: a service that carries one call and tells how each of its envelopes ended, and the task
//! that stops waiting for it.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use reeddock::{DispatchNo, EnvelopeId, LimitReport, TargetId};
use reeddock_protocol::{self as protocol, Ending, Letter};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tower::{Service, ServiceExt};

use crate::connections::{Connection, Connections};
use crate::owner::Event;

/// One call to one target.
pub struct Call {
    pub target: TargetId,
    pub to: SocketAddr,
    pub letters: Vec<Letter>,
    /// How long its answer is waited for.
    pub wait: Duration,
    /// Set before its first byte is written. One that is given up earlier never ran.
    pub begun: Arc<AtomicBool>,
}

/// What came of a call.
pub struct Carried {
    /// How each envelope of it ended, in their order.
    pub endings: Vec<Ending>,
    /// A wait that the target asks for beside what it took on.
    pub wait: Option<Duration>,
    /// What its answer tells of the limit of its route.
    pub report: Option<LimitReport>,
}

/// Carries calls. Dropping the future of one ends its connection, and so gives the call up.
#[derive(Clone)]
pub struct Courier {
    pub connections: Connections,
}

/// The rest of an answer is read for so long, before the end is told and after; then its connection goes.
const REST_SHORTLY: Duration = Duration::from_millis(20);
const REST_AT_MOST: Duration = Duration::from_secs(2);
/// No answer that means anything is longer; some never end.
const LONGEST_ANSWER: usize = 2 * protocol::MOST_BODY;

impl Service<Call> for Courier {
    type Response = Carried;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Carried, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, call: Call) -> Self::Future {
        let connections = self.connections.clone();
        Box::pin(async move {
            let count = call.letters.len();
            let none = |ending| Carried { endings: vec![ending; count], wait: None, report: None };
            Ok(carry(connections, call).await.unwrap_or_else(none))
        })
    }
}

async fn carry(connections: Connections, call: Call) -> Result<Carried, Ending> {
    let request = match &call.letters[..] {
        [letter] => protocol::one(call.to, letter, call.wait),
        letters => protocol::bundle(call.to, letters, call.wait),
    };
    let request = request.map_err(|_| Ending::NotBegun)?;
    let alone = call.letters.len() == 1;
    let completed = |report| Carried { endings: vec![Ending::Completed], wait: None, report };
    let (mut connection, answer) = loop {
        let mut connection = connections.take(call.target, call.to).await?;
        if connections.resting(call.target) {
            if connection.ready().await {
                connections.put(call.target, connection);
            }
            return Err(Ending::ToldToWait);
        }
        call.begun.store(true, Ordering::Relaxed);
        let said_ok = connection.says_ok();
        let answer = tokio::select! {
            biased;
            answer = connection.send(request.clone()) => answer,
            // The rest of the head may have no end, or can't be read.
            () = async { said_ok.await; sleep(REST_SHORTLY).await }, if alone => return Ok(completed(None)),
        };
        if answer.is_ok() || !connection.was_over() {
            connections.used(&connection, answer.is_ok());
            break (connection, answer);
        }
        call.begun.store(false, Ordering::Relaxed);
    };
    let (head, body) = match answer {
        Ok(answer) => answer.into_parts(),
        Err(_) if alone && connection.said_ok() => return Ok(completed(None)),
        Err(ending) => return Err(ending),
    };
    let report = protocol::report_of(&head);
    if alone && protocol::ending_of(&head) == Ending::Completed {
        // The head says all. The next call to this target, which may follow at once, finds the connection free
        // if the rest comes shortly.
        let mut rest = Box::pin(finish(connections, call.target, connection, body));
        if timeout(REST_SHORTLY, &mut rest).await.is_err() {
            tokio::spawn(timeout(REST_AT_MOST, rest));
        }
        return Ok(completed(report));
    }
    // What is said of each stands in the body; and only a whole answer proves that nothing has run.
    let Ok(whole) = Limited::new(body, LONGEST_ANSWER).collect().await else {
        // A wait stands in the head, and holds whatever became of the rest.
        let endings = vec![Ending::Spoilt; call.letters.len()];
        return Ok(Carried { endings, wait: protocol::wait_of(&head), report });
    };
    let whole = whole.to_bytes();
    let clean = connection.ready().await;
    if clean {
        connections.put(call.target, connection);
    }
    if alone {
        return Ok(Carried { endings: vec![protocol::ending_of(&head)], wait: None, report });
    }
    let endings = protocol::endings_of_bundle(&head, &whole, clean, &call.letters);
    Ok(Carried { endings, wait: protocol::wait_of(&head), report })
}

async fn finish(connections: Connections, target: TargetId, mut connection: Connection, body: Incoming) {
    if Limited::new(body, LONGEST_ANSWER).collect().await.is_ok() && connection.ready().await {
        connections.put(target, connection);
    }
}

/// One envelope of a call that is out, and when to stop waiting for it.
pub struct Dispatched {
    pub envelope: EnvelopeId,
    pub no: DispatchNo,
    pub time_out: Duration,
    pub called_off: oneshot::Receiver<()>,
}

/// Carries a call to its end and tells the owner how each envelope fared. Once none is waited for any more,
/// the connection is closed.
pub async fn see_through(
    courier: Courier,
    call: Call,
    dispatched: Vec<Dispatched>,
    owner: mpsc::Sender<Event>,
) {
    let mut waiting = Vec::new();
    let mut patience = FuturesUnordered::new();
    for (place, d) in dispatched.into_iter().enumerate() {
        waiting.push(Some((d.envelope, d.no)));
        let (time_out, called_off) = (d.time_out, d.called_off);
        patience.push(async move {
            tokio::select! {
                _ = sleep(time_out) => (place, Ending::TimedOut),
                Ok(()) = called_off => (place, Ending::CalledOff),
            }
        });
    }
    let (target, begun) = (call.target, call.begun.clone());
    let mut carried = courier.oneshot(call);
    while waiting.iter().any(Option::is_some) {
        let ended = tokio::select! {
            biased;
            Ok(Carried { endings, wait, report }) = &mut carried => {
                if let Some(report) = report {
                    let _ = owner.send(Event::Reported { target, report }).await;
                }
                if let Some(wait) = wait {
                    let _ = owner.send(Event::Wait { target, wait }).await;
                }
                endings.into_iter().enumerate().collect()
            }
            Some((place, ending)) = patience.next() => {
                let ending = match ending {
                    // No connection had come up by then.
                    Ending::TimedOut if !begun.load(Ordering::Relaxed) => Ending::NeverUp,
                    Ending::CalledOff if !begun.load(Ordering::Relaxed) => Ending::NotBegun,
                    given_up => given_up,
                };
                vec![(place, ending)]
            }
        };
        for (place, ending) in ended {
            let Some((envelope, no)) = waiting.get_mut(place).and_then(Option::take) else { continue };
            // The owner lives as long as the program.
            let _ = owner.send(Event::Ended { envelope, no, ending }).await;
        }
    }
}
