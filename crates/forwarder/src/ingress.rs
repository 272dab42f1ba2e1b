//! Where clients submit messages.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::header::TRANSFER_ENCODING;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use reeddock_protocol::{ClientResponse, Submission, SubmissionError, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tower::Service;

use crate::connections::{locked, out_of_descriptors, read_through};
use crate::events::Event;
use crate::http_progress::HeadScanner;
use crate::limits::Limits;
use crate::list_status::ListStatus;
use crate::log_throttle::LogThrottle;

/// A first request whose head has not come by then, and a body that has not come so long after its head, are
/// not waited for: together less than three seconds, and far more than a client waits for its answer.
const HEAD_WITHIN: Duration = Duration::from_millis(2100);
const BODY_WITHIN: Duration = Duration::from_millis(600);
/// A connection on which a request was answered is closed once none has followed for so long.
const IDLE_WITHIN: Duration = Duration::from_millis(2100);
/// A client that has just come sends its request right away: until then its connection is not spared.
const JUST_COME: Duration = Duration::from_millis(100);
/// A connection that is to be closed while its next request begins has so long for that.
const LAST_REQUEST: Duration = Duration::from_millis(100);
/// A closed connection is read for so long, and what comes is thrown away: the system resets one that is dropped
/// over unread bytes, and takes an answer along that is still under way.
const LINGERS: Duration = Duration::from_millis(300);
/// Before the next try where the machine has no room for a connection.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What all connections of clients share.
#[derive(Default)]
pub struct ClientConnections {
    leaving: AtomicBool,
    guests: Mutex<BTreeMap<u64, Arc<ClientConnection>>>,
    closing: watch::Sender<bool>,
    list: ListStatus,
}

/// One client's connection.
struct ClientConnection {
    seen: Mutex<ConnectionPhase>,
    tally: Mutex<RequestBytes>,
    /// Its place is wanted for another.
    out: Notify,
}

/// What has come of a client's request, read from the bytes themselves: more than its length says is a wrong
/// length, or another request inside it, as clients send one at a time.
#[derive(Default)]
struct RequestBytes {
    begun: bool,
    head: HeadScanner,
    past_head: usize,
}

impl RequestBytes {
    fn come(&mut self, bytes: &[u8]) {
        self.begun |= !bytes.is_empty();
        self.past_head += self.head.skip(bytes).len();
    }
}

/// A client's stream, of which a tally is kept.
struct Tallied {
    stream: TokioIo<TcpStream>,
    guest: Arc<ClientConnection>,
}

impl Read for Tallied {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        read_through(&mut this.stream, cx, buf, |bytes| locked(&this.guest.tally).come(bytes))
    }
}

impl Write for Tallied {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// What a connection has shown of its client.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionPhase {
    /// No whole head yet, since it was accepted.
    Nothing(Instant),
    /// Answered, and no whole head since.
    Answered(Instant),
    /// A request is open.
    Asking,
}

impl ConnectionPhase {
    /// When to close it, if nothing more is seen.
    fn closes(self) -> Option<Instant> {
        match self {
            ConnectionPhase::Nothing(since) => Some(since + HEAD_WITHIN),
            ConnectionPhase::Answered(since) => Some(since + IDLE_WITHIN),
            ConnectionPhase::Asking => None,
        }
    }

    /// What can best be spared comes first: clients that have long said nothing, then idle ones.
    fn spared(self) -> Option<(bool, Instant)> {
        match self {
            ConnectionPhase::Nothing(since) => Some((false, since)).filter(|_| since.elapsed() >= JUST_COME),
            ConnectionPhase::Answered(since) => Some((true, since)),
            ConnectionPhase::Asking => None,
        }
    }
}

impl ClientConnection {
    fn seen(&self) -> ConnectionPhase {
        *locked(&self.seen)
    }

    /// Whether a part of its next head has come.
    fn begins(&self) -> bool {
        self.was_answered() && self.seen() != ConnectionPhase::Asking && locked(&self.tally).begun
    }

    fn was_answered(&self) -> bool {
        !matches!(self.seen(), ConnectionPhase::Nothing(_))
    }

    fn now(&self, seen: ConnectionPhase) {
        if seen != ConnectionPhase::Asking {
            *locked(&self.tally) = RequestBytes::default();
        }
        *locked(&self.seen) = seen;
    }
}

impl ClientConnections {
    /// Clients that ask for its health are told of the list.
    pub fn new(list: ListStatus) -> ClientConnections {
        ClientConnections { list, ..ClientConnections::default() }
    }

    /// From here on clients are asked to go elsewhere.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Connections that stand idle are closed, others once they are answered.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Whether every client has gone.
    pub fn empty(&self) -> bool {
        self.guests().is_empty()
    }

    fn guests(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ClientConnection>>> {
        locked(&self.guests)
    }

    /// Closes the connection that can best be spared: of those that have never asked for anything the oldest,
    /// so that silent clients do not crowd out others, else the one that has stood idle for longest, whose
    /// client uses another for its next request. Says whether there was one.
    fn spare_one(&self) -> bool {
        let mut guests = self.guests();
        let spared = guests.iter().filter_map(|(n, g)| Some((g.seen().spared()?, *n))).min();
        let guest = spared.and_then(|(_, number)| guests.remove(&number));
        guest.inspect(|g| g.out.notify_one()).is_some()
    }

    fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// The service that answers clients.
#[derive(Clone)]
pub struct Ingress {
    clients: Arc<ClientConnections>,
    guest: Arc<ClientConnection>,
    event_loop: mpsc::Sender<Event>,
    /// This connection is one too many: it is told so and closed.
    too_many: bool,
    /// With more connections than these, each is closed once its client is answered.
    kept: usize,
    /// How many closed connections may linger; those beyond are dropped.
    lingering: Arc<Semaphore>,
}

impl Service<Request<Incoming>> for Ingress {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let ingress = self.clone();
        ingress.guest.now(ConnectionPhase::Asking);
        Box::pin(async move {
            let answer = ingress.answer(request).await;
            ingress.guest.now(ConnectionPhase::Answered(Instant::now()));
            let unread = matches!(
                answer,
                ClientResponse::TooLarge
                    | ClientResponse::RequestTimeout
                    | ClientResponse::LengthRequired
                    | ClientResponse::LengthMismatch
            );
            let crowded = ingress.clients.guests().len() > ingress.kept;
            Ok(answer.encode(ingress.too_many || unread || crowded || ingress.clients.leaving()))
        })
    }
}

impl Ingress {
    async fn answer(&self, request: Request<Incoming>) -> ClientResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") if self.clients.leaving() => ClientResponse::ShuttingDown,
            (&Method::GET, "/healthz") => ClientResponse::Healthy(self.clients.list.trouble()),
            (&Method::POST, "/api") => self.submit(request).await,
            _ => ClientResponse::NotFound,
        }
    }

    async fn submit(&self, request: Request<Incoming>) -> ClientResponse {
        let (parts, body) = request.into_parts();
        // A body whose end two sides may see in different places can hide a request in it.
        if parts.headers.contains_key(TRANSFER_ENCODING) {
            return ClientResponse::LengthRequired;
        }
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return ClientResponse::TooLarge;
        }
        let body = match timeout(BODY_WITHIN, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => return ClientResponse::TooLarge,
            Ok(Err(e)) => {
                return ClientResponse::Malformed(SubmissionError::UnreadableBody { reason: e.to_string() })
            }
            Err(_) => return ClientResponse::RequestTimeout,
        };
        if locked(&self.guest.tally).past_head > body.len() {
            return ClientResponse::LengthMismatch;
        }
        let at = Instant::now();
        let submit = match Submission::decode(&parts, body) {
            Ok(submit) => submit,
            Err(fault) => return ClientResponse::Malformed(fault),
        };
        if self.too_many {
            return ClientResponse::NoCapacity;
        }
        let (reply, answered) = oneshot::channel();
        if self.event_loop.try_send(Event::Submission { submit, at, reply }).is_err() {
            return ClientResponse::NoCapacity;
        }
        answered.await.unwrap_or(ClientResponse::NoCapacity)
    }
}

/// Accepts and serves clients until the door closes and nobody waits before it; connections that are open then are
/// served on.
pub async fn accept(
    listener: TcpListener,
    limits: Limits,
    clients: Arc<ClientConnections>,
    event_loop: mpsc::Sender<Event>,
) {
    let mut log_throttle = LogThrottle::default();
    let mut closing = clients.closing.subscribe();
    let lingering = Arc::new(Semaphore::new(limits.lingering));
    let places = Arc::new(Semaphore::new(limits.accepted));
    for number in 0.. {
        let place = free_place(&places, &clients).await;
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            // Whoever has connected by now would be reset with the listener.
            _ = closing.wait_for(|closing| *closing) => match listener.accept().now_or_never() {
                Some(accepted) => accepted,
                None => return,
            },
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                if out_of_descriptors(&e) {
                    if let Some(more) = log_throttle.now() {
                        tracing::warn!(%e, more, "no descriptor for a client's connection");
                    }
                    sleep(ACCEPT_AGAIN).await;
                }
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let too_many = clients.guests().len() >= limits.clients && !clients.spare_one();
        let guest = Arc::new(ClientConnection {
            seen: Mutex::new(ConnectionPhase::Nothing(Instant::now())),
            tally: Mutex::default(),
            out: Notify::new(),
        });
        clients.guests().insert(number, guest.clone());
        let ingress = Ingress {
            clients: clients.clone(),
            guest,
            event_loop: event_loop.clone(),
            too_many,
            kept: limits.kept,
            lingering: lingering.clone(),
        };
        let clients = clients.clone();
        tokio::spawn(async move {
            let stream = Tallied { stream: TokioIo::new(stream), guest: ingress.guest.clone() };
            serve(stream, from, ingress, place).await;
            clients.guests().remove(&number);
        });
    }
}

/// A place for one more connection, once there is one. It is taken until the descriptor is closed, which may be a while
/// after its client was spared for another.
async fn free_place(places: &Arc<Semaphore>, clients: &ClientConnections) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(place) = places.clone().try_acquire_owned() {
            return Some(place);
        }
        clients.spare_one();
        if let Ok(place) = timeout(ACCEPT_AGAIN, places.clone().acquire_owned()).await {
            return place.ok();
        }
    }
}

type Serving = http1::Connection<Tallied, TowerToHyperService<Ingress>>;

/// Serves a connection to its end, which gives its place back.
async fn serve(
    stream: Tallied,
    from: SocketAddr,
    ingress: Ingress,
    client_place: Option<OwnedSemaphorePermit>,
) {
    let guest = ingress.guest.clone();
    let mut closing = ingress.clients.closing.subscribe();
    let told = async {
        tokio::select! {
            _ = closing.wait_for(|closing| *closing) => true,
            () = guest.out.notified() => false,
            () = idle(&guest) => false,
        }
    };
    let lingering = ingress.lingering.clone();
    let service = TowerToHyperService::new(ingress);
    let mut serving: Serving =
        http1::Builder::new().max_buf_size(16 * 1024).serve_connection(stream, service);
    let served = tokio::select! {
        biased;
        served = &mut serving => served,
        all = told => {
            // Half a head may be here, and what came as the door closed has its request on the way.
            let expected = all && !guest.was_answered() || guest.begins();
            let first = if expected { timeout(LAST_REQUEST, &mut serving).await.ok() } else { None };
            match first {
                Some(served) => served,
                None => close(&mut serving, &guest, all).await,
            }
        }
    };
    if let Err(e) = served {
        tracing::debug!(%from, %e, "a client's connection ended");
    }
    // One that was never asked for anything has no answer under way.
    let linger_place = lingering.try_acquire_owned();
    if linger_place.is_ok() && guest.was_answered() {
        drop(client_place);
        linger(serving.into_parts().io.stream.into_inner()).await;
    } else {
        drop(serving);
        drop(client_place);
    }
}

/// Closes a connection, once a request that has begun is answered.
async fn close(serving: &mut Serving, guest: &ClientConnection, all: bool) -> hyper::Result<()> {
    Pin::new(&mut *serving).graceful_shutdown();
    loop {
        let nothing = !all && !guest.was_answered();
        let patience = if nothing { Duration::ZERO } else { LAST_REQUEST };
        match timeout(patience, &mut *serving).await {
            Ok(served) => return served,
            Err(_) if !all && guest.seen() != ConnectionPhase::Asking => return Ok(()),
            Err(_) => {}
        }
    }
}

/// Ends the writing side and throws away what still comes: none of it is accepted.
async fn linger(mut stream: TcpStream) {
    let drained = async {
        stream.shutdown().await?;
        tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
    };
    let _ = timeout(LINGERS, drained).await;
}

/// Until no request has been open on the connection for as long as one may stand idle.
async fn idle(guest: &ClientConnection) {
    loop {
        match guest.seen().closes() {
            Some(at) if at <= Instant::now() => return,
            Some(at) => sleep_until(at).await,
            None => sleep(LAST_REQUEST).await,
        }
    }
}
