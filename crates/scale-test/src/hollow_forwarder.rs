//! Hollow forwarders: each watches the endpoint list over its own connection and stores the endpoints as a
//! real forwarder does, but accepts no messages.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::{sleep, timeout};

use crate::hollow_state::HollowState;
use crate::list_decoder::{DecodeError, ListDecoder, ListEvent};
use crate::lock::lock;
use crate::metered_stream::{MeteredStream, TrafficCounters};
use crate::task::AbortOnDrop;

/// Time without received bytes after which a watch is lost: longer than two intervals between empty lines, as
/// in a real forwarder.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean backoff before a watch is opened again. The backoff doubles, up to [`BACKOFF_MAX`], after each watch
/// that received no bytes.
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// One hollow forwarder, running or stopped.
pub(crate) struct HollowForwarder {
    number: u32,
    watcher: Watcher,
    /// The watcher's task; `None` while the forwarder is stopped.
    task: Option<AbortOnDrop>,
}

impl HollowForwarder {
    /// Creates a stopped forwarder. Once started, the forwarder watches the list at `control_plane` and
    /// counts its traffic in `traffic`.
    pub(crate) fn new(
        number: u32,
        state: HollowState,
        control_plane: SocketAddr,
        traffic: Arc<TrafficCounters>,
        seed: u64,
    ) -> HollowForwarder {
        let state = Arc::new(Mutex::new(state));
        HollowForwarder { number, watcher: Watcher { control_plane, state, traffic, seed }, task: None }
    }

    /// Returns the forwarder's number among all forwarders, real and hollow.
    pub(crate) fn number(&self) -> u32 {
        self.number
    }

    /// Locks and returns the forwarder's view of the endpoint list.
    pub(crate) fn state(&self) -> MutexGuard<'_, HollowState> {
        lock(&self.watcher.state)
    }

    /// Starts the forwarder without a list, as a task of this runtime. A running forwarder is killed first.
    pub(crate) fn start(&mut self, runtime: &Handle) {
        self.kill();
        self.state().restart(Instant::now());
        self.watcher.seed += 1;
        self.task = Some(AbortOnDrop::spawn_on(runtime, self.watcher.clone().run()));
    }

    /// Stops the forwarder immediately; its connection is closed.
    pub(crate) fn kill(&mut self) {
        self.task = None;
    }
}

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("could not connect, or the connection was lost")]
    ConnectionLost,
    #[error("no response bytes within the timeout")]
    Silent,
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}

/// Watches the endpoint list in the task of a running hollow forwarder.
#[derive(Clone)]
struct Watcher {
    control_plane: SocketAddr,
    state: Arc<Mutex<HollowState>>,
    traffic: Arc<TrafficCounters>,
    /// Seed of the backoff's jitter.
    seed: u64,
}

impl Watcher {
    /// Watches the list without end, with a backoff before each new watch.
    async fn run(self) {
        let mut rng = Pcg32::seed_from_u64(self.seed);
        let mut backoff = BACKOFF_INITIAL;
        loop {
            let mut received_any = false;
            // The watch is opened again after every error.
            let _ = self.watch_once(&mut received_any).await;
            if received_any {
                backoff = BACKOFF_INITIAL;
            }
            sleep(backoff.mul_f64(0.5 + rng.random::<f64>())).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Opens one watch and applies its lines until the watch ends. Sets `received_any` when bytes are
    /// received.
    async fn watch_once(&self, received_any: &mut bool) -> Result<(), WatchError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.control_plane)).await;
        let stream = stream.map_err(|_| WatchError::Silent)?.map_err(|_| WatchError::ConnectionLost)?;
        let stream = TokioIo::new(MeteredStream::new(stream, self.traffic.clone()));
        let handshake = http1::handshake(stream).await;
        let (mut sender, connection) = handshake.map_err(|_| WatchError::ConnectionLost)?;
        let _connection = AbortOnDrop::spawn(connection);
        let request = self.watch_request()?;
        self.traffic.count_message();
        let response = timeout(SILENCE_TIMEOUT, sender.send_request(request)).await;
        let response = response.map_err(|_| WatchError::Silent)?.map_err(|_| WatchError::ConnectionLost)?;
        if !response.status().is_success() {
            return Err(WatchError::ConnectionLost);
        }
        self.receive_lines(response.into_body(), received_any).await
    }

    fn watch_request(&self) -> Result<Request<Empty<Bytes>>, WatchError> {
        let index = lock(&self.state).watch_index();
        Request::get(format!("/v1/servers?stream=1&index={index}"))
            .header("host", self.control_plane.to_string())
            .body(Empty::new())
            .map_err(|_| WatchError::ConnectionLost)
    }

    async fn receive_lines(&self, mut body: Incoming, received_any: &mut bool) -> Result<(), WatchError> {
        let mut decoder = ListDecoder::default();
        loop {
            let frame = timeout(SILENCE_TIMEOUT, body.frame()).await.map_err(|_| WatchError::Silent)?;
            let frame = frame.ok_or(WatchError::ConnectionLost)?.map_err(|_| WatchError::ConnectionLost)?;
            let Ok(bytes) = frame.into_data() else { continue };
            *received_any = true;
            let mut state = lock(&self.state);
            let received_at = Instant::now();
            decoder.decode(&bytes, |event| {
                if matches!(event, ListEvent::LineFinished | ListEvent::EmptyLine) {
                    self.traffic.count_message();
                }
                // Only the end of a line needs the exact time. Reading the clock for each entry is too slow.
                let now = if event == ListEvent::LineFinished { Instant::now() } else { received_at };
                state.apply(event, now);
            })?;
        }
    }
}
