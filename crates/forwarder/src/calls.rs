//! Calls to targets: a service that carries one call and tells how each of its envelopes ended, and the task
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
use reeddock::{DispatchNo, EnvelopeId, LimitReport, TargetId};
use reeddock_protocol::{self as protocol, Ending, Letter};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tower::{Service, ServiceExt};

use crate::connections::{locked, Connection, Connections};
use crate::events::Event;

/// One call to one target.
pub struct Call {
    pub target: TargetId,
    pub to: SocketAddr,
    pub letters: Vec<Letter>,
    /// Until when an answer for each is waited for.
    pub until: Vec<Instant>,
    pub boarding: Boarding,
}

/// Which letters of a call still go once its connection is up, shared by who carries the call and who waits for
/// its ends: seconds may pass until then, and what has its end by then is never sent.
#[derive(Clone, Default)]
pub struct Boarding(Arc<Mutex<Boarded>>);

#[derive(Default)]
struct Boarded {
    /// The first byte is about to be written.
    begun: bool,
    stayed: BTreeSet<usize>,
    /// By place, when the first byte leaves at the latest; without end where nothing stands here.
    begin_by: Vec<Instant>,
}

impl Boarding {
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
pub struct Carried {
    /// How each envelope that went ended, by its place in the call.
    pub endings: Vec<(usize, Ending)>,
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
            let places = 0..call.letters.len();
            let none = |ending| Carried {
                endings: places.map(|place| (place, ending)).collect(),
                wait: None,
                report: None,
            };
            Ok(carry(connections, call).await.unwrap_or_else(none))
        })
    }
}

async fn carry(connections: Connections, call: Call) -> Result<Carried, Ending> {
    let (mut connection, answer, aboard) = loop {
        let mut connection = connections.take(call.target, call.to).await?;
        // What held when the call was decided may have ended while its connection came up.
        let open = connections.open_to(call.target);
        let aboard = open.map(|()| call.boarding.begin(call.letters.len()));
        let aboard = match aboard {
            Ok(aboard) if !aboard.is_empty() => aboard,
            turned_back => {
                call.boarding.undo();
                if connection.ready().await {
                    connections.put(call.target, connection);
                }
                return Err(turned_back.err().unwrap_or(Ending::NotBegun));
            }
        };
        let alone = aboard.len() == 1;
        let request = request(&call, &aboard).inspect_err(|_| call.boarding.undo())?;
        let said_ok = connection.says_ok();
        let answer = tokio::select! {
            biased;
            answer = connection.send(request) => answer,
            // The rest of the head may have no end, or can't be read.
            () = async { said_ok.await; sleep(REST_SHORTLY).await }, if alone => {
                return Ok(Carried { endings: vec![(aboard[0], Ending::Completed)], wait: None, report: None });
            }
        };
        if answer.is_ok() || !connection.was_over() {
            connections.used(&connection, answer.is_ok());
            break (connection, answer, aboard);
        }
        call.boarding.undo();
    };
    let alone = aboard.len() == 1;
    let all = |ending, wait, report| {
        let endings = aboard.iter().map(|place| (*place, ending)).collect();
        Carried { endings, wait, report }
    };
    let (head, body) = match answer {
        Ok(answer) => answer.into_parts(),
        Err(_) if alone && connection.said_ok() => return Ok(all(Ending::Completed, None, None)),
        Err(ending) => return Ok(all(ending, None, None)),
    };
    let report = protocol::report_of(&head);
    if connection.is_new() && protocol::turns_connection_away(&head) {
        connections.turned_away(call.target);
    }
    if alone && protocol::ending_of(&head) == Ending::Completed {
        // The head says all. The next call to this target, which may follow at once, finds the connection free
        // if the rest comes shortly.
        let mut rest = Box::pin(finish(connections, call.target, connection, body));
        if timeout(REST_SHORTLY, &mut rest).await.is_err() {
            tokio::spawn(timeout(REST_AT_MOST, rest));
        }
        return Ok(all(Ending::Completed, None, report));
    }
    // What is said of each stands in the body; and only a whole answer proves that nothing has run.
    let Ok(whole) = Limited::new(body, LONGEST_ANSWER).collect().await else {
        // A wait stands in the head, and holds whatever became of the rest.
        return Ok(all(Ending::Spoilt, protocol::wait_of(&head), report));
    };
    let whole = whole.to_bytes();
    let clean = connection.ready().await;
    if clean {
        connections.put(call.target, connection);
    }
    if alone {
        return Ok(all(protocol::ending_of(&head), None, report));
    }
    let letters = aboard_of(&call, &aboard);
    let endings = protocol::endings_of_bundle(&head, &whole, clean, &letters);
    let endings = aboard.iter().copied().zip(endings).collect();
    Ok(Carried { endings, wait: protocol::wait_of(&head), report })
}

fn aboard_of(call: &Call, aboard: &[usize]) -> Vec<Letter> {
    aboard.iter().map(|place| call.letters[*place].clone()).collect()
}

/// What those aboard travel in, with the longest of their waits.
fn request(call: &Call, aboard: &[usize]) -> Result<Request<Full<Bytes>>, Ending> {
    let letters = aboard_of(call, aboard);
    let until = aboard.iter().map(|place| call.until[*place]).max();
    let wait = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
    let request = match &letters[..] {
        [letter] => protocol::one(call.to, letter, wait),
        letters => protocol::bundle(call.to, letters, wait),
    };
    request.map_err(|_| Ending::NotBegun)
}

async fn finish(connections: Connections, target: TargetId, mut connection: Connection, body: Incoming) {
    if Limited::new(body, LONGEST_ANSWER).collect().await.is_ok() && connection.ready().await {
        connections.put(target, connection);
    }
}

/// One envelope of a call that is out.
pub struct Dispatched {
    pub envelope: EnvelopeId,
    pub no: DispatchNo,
    /// Its first byte leaves by then or never.
    pub begin_by: Instant,
    pub called_off: oneshot::Receiver<()>,
}

/// Carries a call to its end and tells the owner how each envelope fared. Once none is waited for any more,
/// the connection is closed.
pub async fn see_through(
    courier: impl Service<Call, Response = Carried, Error = Infallible>,
    call: Call,
    dispatched: Vec<Dispatched>,
    owner: mpsc::Sender<Event>,
) {
    let (target, boarding, until) = (call.target, call.boarding.clone(), call.until.clone());
    boarding.only_until(dispatched.iter().map(|d| d.begin_by).collect());
    let mut waiting = Vec::new();
    let mut patience = FuturesUnordered::new();
    for (place, (d, until)) in dispatched.into_iter().zip(until.clone()).enumerate() {
        waiting.push(Some((d.envelope, d.no)));
        let (called_off, boarding) = (d.called_off, boarding.clone());
        let never_began = async move {
            sleep_until(d.begin_by).await;
            if boarding.has_gone(place) {
                std::future::pending().await
            }
        };
        patience.push(async move {
            tokio::select! {
                () = sleep_until(until) => (place, Ending::TimedOut),
                () = never_began => (place, Ending::TimedOut),
                Ok(()) = called_off => (place, Ending::CalledOff),
            }
        });
    }
    let mut carried = Some(Box::pin(courier.oneshot(call)));
    while let Some(carrying) = carried.as_mut().filter(|_| waiting.iter().any(Option::is_some)) {
        let ended = tokio::select! {
            biased;
            Ok(Carried { endings, wait, report }) = carrying => {
                if let Some(report) = report {
                    let _ = owner.send(Event::Reported { target, report }).await;
                }
                if let Some(wait) = wait {
                    let _ = owner.send(Event::Wait { target, wait }).await;
                }
                carried = None;
                // The target was told until when: what it says after that is no delivery, though it may come in
                // the instant in which the wait ends. That nothing has run holds all the same.
                let now = Instant::now();
                let late = |place: usize| until.get(place).is_some_and(|until| *until <= now);
                let in_time = |(place, ending)| match ending {
                    Ending::Completed if late(place) => (place, Ending::TimedOut),
                    ending => (place, ending),
                };
                let mut endings: Vec<_> = endings.into_iter().map(in_time).collect();
                // What it left behind, as that might not begin any more; its own moment may not have been told yet.
                let stayed = |place: &usize| !endings.iter().any(|(told, _)| told == place);
                let stayed: Vec<usize> = (0..waiting.len()).filter(stayed).collect();
                endings.extend(stayed.into_iter().map(|place| (place, Ending::NotBegun)));
                endings
            }
            Some(given_up) = patience.next() => {
                // What ends in the same instant is told together, so that nothing of it goes out anew while the
                // call is still out for the others.
                let mut ended = vec![given_up];
                while let Some(Some(also)) = patience.next().now_or_never() {
                    ended.push(also);
                }
                for (place, ending) in &mut ended {
                    *ending = match (boarding.leave(*place), *ending) {
                        // No connection had come up by then.
                        (false, Ending::TimedOut) => Ending::NeverUp,
                        (false, _) => Ending::NotBegun,
                        (true, given_up) => given_up,
                    };
                }
                ended
            }
        };
        let ended: Vec<_> = ended
            .into_iter()
            .filter_map(|(place, ending)| Some((waiting.get_mut(place)?.take()?, ending)))
            .collect();
        if waiting.iter().all(Option::is_none) {
            // Closed before it is told.
            carried = None;
        }
        for ((envelope, no), ending) in ended {
            // The owner lives as long as the program.
            let _ = owner.send(Event::Ended { envelope, no, ending }).await;
        }
    }
}
