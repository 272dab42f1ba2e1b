//! Connections to other machines: opened, kept while idle, and watched for how much of a request has left.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use reeddock::EndpointId;
use reeddock_protocol::AttemptResult;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

use crate::http_progress::{RequestProgress, StatusLine};
use crate::idle_permits::IdlePermits;

pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// No head that belongs here comes near this; one that has no end stops here.
const LONGEST_HEAD: usize = 32 * 1024;

/// What one request and its answer have come to on their connection.
#[derive(Default)]
struct ExchangeProgress {
    departure: Mutex<RequestProgress>,
    arrival: Mutex<StatusLine>,
    /// A first line has come whole.
    told: Notify,
}

/// A stream that notes what passes on it.
struct ObservedStream {
    stream: TokioIo<TcpStream>,
    http_progress: Arc<ExchangeProgress>,
}

impl ObservedStream {
    /// Whether nothing waits to be read: what has come before a request is no answer to it, and would be taken
    /// for one. Asked of the system, which may know of bytes before this program does.
    fn silent(&self) -> bool {
        let waiting = SockRef::from(self.stream.inner()).peek(&mut [MaybeUninit::uninit()]);
        waiting.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Read for ObservedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        read_through(&mut this.stream, cx, buf, |bytes| {
            if locked(&this.http_progress.arrival).come(bytes) {
                this.http_progress.told.notify_one();
            }
        })
    }
}

/// Reads, and shows what has come.
pub(crate) fn read_through(
    stream: &mut TokioIo<TcpStream>,
    cx: &mut Context,
    mut buf: ReadBufCursor,
    show: impl FnOnce(&[u8]),
) -> Poll<io::Result<()>> {
    let mut bytes = [MaybeUninit::uninit(); 4096];
    let room = buf.remaining().min(bytes.len());
    let mut read = ReadBuf::uninit(&mut bytes[..room]);
    ready!(Pin::new(stream).poll_read(cx, read.unfilled()))?;
    show(read.filled());
    buf.put_slice(read.filled());
    Poll::Ready(Ok(()))
}

impl Write for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if !locked(&this.http_progress.departure).begun() && !this.silent() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(n)) = written {
            locked(&this.http_progress.departure).gone(&bytes[..n]);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// The task that drives a connection; the connection is closed with it.
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One open connection. Dropping it closes it, whatever is under way on it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    http_progress: Arc<ExchangeProgress>,
    /// Sent on it so far.
    requests: u32,
    /// How long it had stood idle before the last of them.
    idle: Duration,
    _driver: Driver,
}

impl Connection {
    pub async fn open(
        to: SocketAddr,
        within: Duration,
        seat: Option<OwnedSemaphorePermit>,
    ) -> Result<Self, AttemptResult> {
        let stream = match timeout(within, TcpStream::connect(to)).await {
            Err(_) => return Err(AttemptResult::ConnectTimedOut),
            Ok(Err(e)) if e.raw_os_error().is_some() && out_of_descriptors(&e) => {
                return Err(AttemptResult::NotSent)
            }
            Ok(Err(_)) => return Err(AttemptResult::ConnectionRefused),
            Ok(Ok(stream)) => stream,
        };
        // A small request must not wait for the answer to the one before.
        let _ = stream.set_nodelay(true);
        let http_progress = Arc::<ExchangeProgress>::default();
        let noted = ObservedStream { stream: TokioIo::new(stream), http_progress: http_progress.clone() };
        let handshake = http1::Builder::new().max_buf_size(LONGEST_HEAD).handshake(noted).await;
        let (sender, connection) = handshake.map_err(|_| AttemptResult::ResetWhileSending)?;
        let driver = tokio::spawn(async move {
            // How it ended reaches whoever has a request on it.
            let _ = connection.await;
            drop(seat);
        });
        Ok(Connection {
            sender,
            http_progress,
            requests: 0,
            idle: Duration::ZERO,
            _driver: Driver(driver.abort_handle()),
        })
    }

    /// Sends one request, once. What goes wrong is told by whether its last byte had left.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, AttemptResult> {
        let length = request.body().size_hint().exact().unwrap_or(u64::MAX);
        locked(&self.http_progress.departure).begin(usize::try_from(length).unwrap_or(usize::MAX));
        *locked(&self.http_progress.arrival) = StatusLine::default();
        let sent = self.sender.send_request(request).await;
        self.requests += 1;
        sent.map_err(|fault| {
            let left = locked(&self.http_progress.departure).complete();
            tracing::debug!(%fault, left, earlier = self.requests - 1, idle = ?self.idle, "a request got no answer");
            match (left, fault.is_parse()) {
                (false, _) => AttemptResult::ResetWhileSending,
                (true, false) => AttemptResult::ConnectionReset,
                (true, true) => AttemptResult::MalformedResponse,
            }
        })
    }

    /// Whether only one request was sent on it.
    pub fn is_new(&self) -> bool {
        self.requests == 1
    }

    /// Whether nothing of the last request was written, on a connection that had served before: it had ended
    /// between two requests, and that says nothing of the other side.
    pub fn was_over(&self) -> bool {
        self.requests > 1 && !locked(&self.http_progress.departure).begun()
    }

    /// Whether the first line of the answer says that the call was completed.
    pub fn said_ok(&self) -> bool {
        locked(&self.http_progress.arrival).says_ok()
    }

    /// Comes once the first line of the answer says that the call was completed, whatever follows it.
    pub fn says_ok(&self) -> impl Future<Output = ()> {
        let http_progress = self.http_progress.clone();
        async move {
            while !locked(&http_progress.arrival).says_ok() {
                http_progress.told.notified().await;
            }
        }
    }

    /// Whether another request may follow; waits until the last answer has been read.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

/// Whether the machine, and not the other side, has no room for one more.
pub fn out_of_descriptors(error: &io::Error) -> bool {
    // EMFILE, ENFILE, ENOBUFS and ENOMEM have no kinds of their own.
    matches!(error.raw_os_error(), Some(24 | 23 | 105 | 12))
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// A connection that has stood idle for less than this is always used again.
const SURELY_KEPT: Duration = Duration::from_millis(50);
/// Of so many uses of connections that had stood longer, so many breaks make wary, and so few end that. Resets of
/// one connection or one endpoint stay under it.
const USES_KEPT: usize = 64;
const BREAKS_WARY: usize = 6;
const BREAKS_USUAL: usize = 1;
/// After a break connections are trusted for half of what that one had stood idle, doubled each time this has
/// passed.
const TRUST_REGAINED: Duration = Duration::from_secs(4);
const BREAKS_KEPT: usize = 16;

/// How kept connections fare when they are used again. Some die without a word, as when something on the way drops
/// them: they break under the next request, before any byte of an answer. What was sent on them may have run, so
/// that an non-idempotent message is lost by each.
#[derive(Default)]
struct Uses {
    /// The last ones, and whether they broke.
    broke: VecDeque<bool>,
    wary: bool,
    /// When connections broke, and how long they had stood idle.
    breaks: VecDeque<(Instant, Duration)>,
}

impl Uses {
    fn saw(&mut self, stood: Duration, broke: bool) {
        if stood < SURELY_KEPT {
            return;
        }
        self.broke.push_back(broke);
        self.broke.drain(..self.broke.len().saturating_sub(USES_KEPT));
        let broken = self.broke.iter().filter(|broke| **broke).count();
        self.wary = broken >= BREAKS_WARY || self.wary && broken > BREAKS_USUAL;
        if broke {
            self.breaks.push_back((Instant::now(), stood));
            self.breaks.drain(..self.breaks.len().saturating_sub(BREAKS_KEPT));
        }
    }

    /// How long a connection may have stood idle, by what was seen lately.
    fn trusted(&self) -> Duration {
        let trust = |(at, stood): &(Instant, Duration)| {
            let doublings = (at.elapsed().as_secs_f64() / TRUST_REGAINED.as_secs_f64()).min(16.0);
            (*stood / 2).max(SURELY_KEPT).mul_f64(doublings.exp2())
        };
        self.breaks.iter().filter(|_| self.wary).map(trust).min().unwrap_or(Duration::MAX)
    }
}

/// Connections to endpoints. Idle ones are kept for the next call, for less time than the endpoint keeps them, and
/// for that endpoint alone: its address may pass to another.
#[derive(Clone)]
pub struct Connections {
    idle: Arc<Mutex<BTreeMap<EndpointId, VecDeque<Idle>>>>,
    uses: Arc<Mutex<Uses>>,
    /// Until when endpoints asked to be left alone.
    rests: Arc<Mutex<BTreeMap<EndpointId, Instant>>>,
    /// Endpoints that the list calls leaving or gone.
    left: Arc<Mutex<BTreeSet<EndpointId>>>,
    idle_permits: Arc<Mutex<IdlePermits>>,
    seats: Arc<Semaphore>,
    connect_within: Duration,
    idle_for: Duration,
}

impl Connections {
    pub fn new(most: usize, connect_within: Duration, closed_after: Duration) -> Connections {
        Connections {
            idle: Arc::default(),
            uses: Arc::default(),
            rests: Arc::default(),
            left: Arc::default(),
            idle_permits: Arc::default(),
            seats: Arc::new(Semaphore::new(most)),
            connect_within,
            // A request must arrive before the endpoint closes, which counts from when it wrote its answer.
            idle_for: closed_after - closed_after / 8,
        }
    }

    /// A connection to this endpoint: the idle one that was used last, else a new one to its address.
    pub async fn take(&self, endpoint: EndpointId, to: SocketAddr) -> Result<Connection, AttemptResult> {
        let trusted = locked(&self.uses).trusted().min(self.idle_for);
        while let Some(idle) = locked(&self.idle).get_mut(&endpoint).and_then(VecDeque::pop_back) {
            let stood = idle.since.elapsed();
            if stood < trusted && idle.connection.sender.is_ready() {
                return Ok(Connection { idle: stood, ..idle.connection });
            }
        }
        let mut seat = self.seats.clone().try_acquire_owned();
        if seat.is_err() && self.close_oldest() {
            // Its seat is free once its task has seen that it is aborted.
            tokio::task::yield_now().await;
            seat = self.seats.clone().try_acquire_owned();
        }
        let seat = seat.map_err(|_| AttemptResult::NotSent)?;
        Connection::open(to, self.connect_within, Some(seat)).await
    }

    /// Takes back a connection whose answer has been read.
    pub fn put(&self, endpoint: EndpointId, connection: Connection) {
        let has_room = locked(&self.idle_permits).has_room(endpoint, Instant::now());
        if has_room && connection.sender.is_ready() {
            let idle = Idle { connection, since: Instant::now() };
            locked(&self.idle).entry(endpoint).or_default().push_back(idle);
        }
    }

    /// The endpoint asked to be left alone until then. A call that has begun may still wait for its connection, for
    /// up to a second where the endpoint takes few or can't be reached, and must not go once that is up.
    pub fn rest(&self, endpoint: EndpointId, until: Instant) {
        let mut rests = locked(&self.rests);
        let at = rests.entry(endpoint).or_insert(until);
        *at = until.max(*at);
    }

    /// What the list says of an endpoint. The same calls must not go to one that leaves, however long they waited.
    pub fn listed(&self, endpoint: EndpointId, kind: &str, active: bool) {
        locked(&self.idle_permits).listed(endpoint, kind);
        let mut left = locked(&self.left);
        if active {
            left.remove(&endpoint);
        } else {
            left.insert(endpoint);
        }
    }

    /// The endpoint is gone, or a whole list does not name it any more.
    pub fn gone(&self, endpoint: EndpointId) {
        locked(&self.left).insert(endpoint);
        self.close_idle(endpoint);
    }

    /// Forgets what the list said of endpoints that nothing is known of any more.
    pub fn forget(&self, endpoints: &[EndpointId]) {
        let (mut left, mut idle_permits) = (locked(&self.left), locked(&self.idle_permits));
        for endpoint in endpoints {
            left.remove(endpoint);
            idle_permits.forget(*endpoint);
        }
    }

    /// Whether a call that has waited for its connection may still begin.
    pub fn open_to(&self, endpoint: EndpointId) -> Result<(), AttemptResult> {
        if locked(&self.left).contains(&endpoint) {
            return Err(AttemptResult::EndpointDraining);
        }
        let resting = locked(&self.rests).get(&endpoint).is_some_and(|until| *until > Instant::now());
        if resting {
            Err(AttemptResult::RetryAfterActive)
        } else {
            Ok(())
        }
    }

    /// The last request on this connection was answered, or has broken it.
    pub fn used(&self, connection: &Connection, answered: bool) {
        let broke = !answered && locked(&connection.http_progress.arrival).is_empty();
        locked(&self.uses).saw(connection.idle, broke);
    }

    /// The endpoint turned this connection away as it has too many: idle ones to its kind are closed for others.
    pub fn turned_away(&self, endpoint: EndpointId) {
        let now = Instant::now();
        let mut idle_permits = locked(&self.idle_permits);
        idle_permits.turned_away(endpoint, now);
        locked(&self.idle).retain(|endpoint, _| idle_permits.has_room(*endpoint, now));
    }

    pub fn close_idle(&self, endpoint: EndpointId) {
        locked(&self.idle).remove(&endpoint);
    }

    /// Closes what has stood idle for too long, or has been closed by the other side.
    pub fn sweep(&self) {
        locked(&self.idle).retain(|_, line| {
            line.retain(|idle| idle.since.elapsed() < self.idle_for && !idle.connection.sender.is_closed());
            !line.is_empty()
        });
        locked(&self.rests).retain(|_, until| *until > Instant::now());
    }

    fn close_oldest(&self) -> bool {
        let mut idle = locked(&self.idle);
        let oldest = idle.values_mut().filter(|line| !line.is_empty()).min_by_key(|line| line[0].since);
        oldest.and_then(VecDeque::pop_front).is_some()
    }
}
