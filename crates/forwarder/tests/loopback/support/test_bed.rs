//! The forwarder under test, and the parts that outlive one of its processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use reeddock::{EndpointKind, Idempotency, IdempotencyKeyScope, ListedWeights, MessageClass, Settings};
use reeddock_forwarder::limits::ResourceLimits;
use reeddock_forwarder::{serve_on, ForwarderOptions};
use reeddock_protocol::ListPart;
use reeddock_wal::{inspect, Record, WriteAheadLog};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

use super::{
    ms, platform_script, read_message, submission, wait_for, HttpMessage, ScriptedResponse, StubServer,
    HEALTH_CHECK,
};

/// The default message classes: idempotent, non-idempotent and with an idempotency key.
const CLASSES: [(&str, Idempotency); 3] = [
    ("note", Idempotency::Idempotent),
    ("order", Idempotency::NonIdempotent),
    ("mark", Idempotency::WithKey { window: ms(5000), scope: IdempotencyKeyScope::Region }),
];

/// Returns an entry of an endpoint list in the format of discovery.
pub fn list_entry(name: &str, address: SocketAddr, destination: u64, state: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"a","machineType":"many","cell":{destination},"lifecycle":"{state}","weight":50.0,"startedAtMs":0}}"#
    )
}

/// Returns a whole endpoint list or a list of changes in the format of discovery.
pub fn endpoint_list(generation: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{whole},"instances":[{}]}}"#, entries.join(","))
}

/// Returns a whole list without endpoints that is older than all others. Messages are queued until discovery
/// sends a newer list.
pub fn empty_list() -> String {
    endpoint_list(1, true, &[])
}

/// The parts that outlive a forwarder: its state folder, the platform, an endpoint and its configuration.
pub struct TestBed {
    pub platform: StubServer,
    pub endpoint: StubServer,
    state_folder: PathBuf,
    platform_address: watch::Sender<SocketAddr>,
    resources: ResourceLimits,
    endpoint_idle_timeout: Duration,
    tick: Duration,
    load_reports: bool,
    hedging_allowed: bool,
    accept_grace: Duration,
    classes: Vec<(&'static str, Idempotency)>,
}

impl Drop for TestBed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.state_folder);
    }
}

impl TestBed {
    /// Creates a test bed with an endpoint that responds by this script and a working platform.
    pub async fn new(
        endpoint_script: impl Fn(&HttpMessage) -> ScriptedResponse + Send + Sync + 'static,
    ) -> TestBed {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = format!("reeddock-loopback-{}-{number}", std::process::id());
        let state_folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&state_folder).unwrap();
        let platform = StubServer::start(platform_script).await;
        TestBed {
            endpoint: StubServer::start(endpoint_script).await,
            state_folder,
            platform_address: watch::Sender::new(platform.address),
            platform,
            resources: ResourceLimits { memory_bytes: 192_000_000, descriptors: 1024, disk_bytes: 3_000_000 },
            endpoint_idle_timeout: ms(5000),
            tick: ms(5),
            load_reports: false,
            hedging_allowed: true,
            accept_grace: ms(1000),
            classes: CLASSES.into(),
        }
    }

    /// Creates a test bed with an endpoint that completes every attempt.
    pub async fn with_working_endpoint() -> TestBed {
        TestBed::new(|_| ScriptedResponse::ok()).await
    }

    /// Sets the number of file descriptors that the forwarder may have open.
    pub fn with_descriptor_limit(mut self, descriptors: usize) -> TestBed {
        self.resources.descriptors = descriptors;
        self
    }

    /// Sets the memory that the forwarder may use, in bytes.
    pub fn with_memory_limit(mut self, memory_bytes: u64) -> TestBed {
        self.resources.memory_bytes = memory_bytes;
        self
    }

    /// Sets the disk space that the forwarder may use, in bytes.
    pub fn with_disk_limit(mut self, disk_bytes: u64) -> TestBed {
        self.resources.disk_bytes = disk_bytes;
        self
    }

    /// Sets the time after which endpoints close idle connections.
    pub fn with_endpoint_idle_timeout(mut self, endpoint_idle_timeout: Duration) -> TestBed {
        self.endpoint_idle_timeout = endpoint_idle_timeout;
        self
    }

    /// Sets the tick of the event loop, to whose multiples due work is postponed.
    pub fn with_tick(mut self, tick: Duration) -> TestBed {
        self.tick = tick;
        self
    }

    /// Configures polled endpoint lists with exact rates and responses with load reports.
    pub fn with_load_reports(mut self) -> TestBed {
        self.load_reports = true;
        self
    }

    /// Limits each message to one attempt in flight.
    pub fn without_hedging(mut self) -> TestBed {
        self.hedging_allowed = false;
        self
    }

    /// Sets how long clients are accepted after a shutdown request.
    pub fn with_accept_grace(mut self, accept_grace: Duration) -> TestBed {
        self.accept_grace = accept_grace;
        self
    }

    /// Sets the message classes of forwarders that start afterwards.
    pub fn set_classes(&mut self, classes: &[(&'static str, Idempotency)]) {
        self.classes = classes.into();
    }

    pub fn state_folder(&self) -> &Path {
        &self.state_folder
    }

    /// Writes records into the write-ahead log. Must be called before a forwarder starts on it.
    pub fn write_records(&self, records: &[Record]) {
        let mut log = WriteAheadLog::open(&self.state_folder, 3_000_000, Default::default()).unwrap();
        log.append(records, ms(0)).unwrap();
    }

    /// Returns the endpoint's list entry for destination 3 in this state.
    pub fn endpoint_entry(&self, state: &str) -> String {
        list_entry("t", self.endpoint.address, 3, state)
    }

    /// Sends a line on the platform's watches.
    pub fn publish_list_update(&self, line: String) {
        self.platform.publish_list_update(line);
    }

    /// Sends a whole list with the endpoint as its only entry.
    pub fn publish_endpoint(&self, generation: u64) {
        self.publish_list_update(endpoint_list(generation, true, &[self.endpoint_entry("Ready")]));
    }

    /// Changes the platform's address.
    pub fn move_platform(&self, address: SocketAddr) {
        self.platform_address.send_replace(address);
    }

    /// Returns the bodies of all delivery notices so far.
    pub fn notices(&self) -> String {
        self.platform.notices()
    }

    /// Waits until the notices contain this text.
    pub async fn wait_for_notice(&self, text: &str) {
        wait_for(&format!("a notice that contains {text:?}"), || self.notices().contains(text).then_some(()))
            .await
    }

    /// Waits until the write-ahead log has neither a pending message nor an unacknowledged notice.
    pub async fn wait_until_all_finished(&self) {
        let none_pending = || inspect(&self.state_folder).unwrap().index.counts().is_empty().then_some(());
        wait_for("the end of all pending messages", none_pending).await;
    }

    /// Starts a forwarder whose cached list has the endpoint for destination 3.
    pub async fn start_forwarder(&self) -> RunningForwarder {
        self.start_forwarder_with_list(endpoint_list(1, true, &[self.endpoint_entry("Ready")])).await
    }

    /// Starts a forwarder with this cached list.
    pub async fn start_forwarder_with_list(&self, cached_list: String) -> RunningForwarder {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        RunningForwarder::spawn(listener, address, self.options(address, &cached_list))
    }

    fn options(&self, listen: SocketAddr, cached_list: &str) -> ForwarderOptions {
        ForwarderOptions {
            listen,
            discovery: self.platform_address.subscribe(),
            state_folder: self.state_folder.clone(),
            resources: self.resources,
            cached_list: ListPart::decode(cached_list.as_bytes()).unwrap().into(),
            settings: self.settings(),
            tick: self.tick,
            sync: Default::default(),
            connect_timeout: ms(1000),
            endpoint_idle_timeout: self.endpoint_idle_timeout,
            shutdown_grace: ms(3000),
            accept_grace: self.accept_grace,
        }
    }

    fn settings(&self) -> Settings {
        let class = |(name, idempotency): &(&str, Idempotency)| MessageClass {
            name: (*name).into(),
            idempotency: Some(*idempotency),
            latency_objective: Some(ms(500)),
            deadline: Some(ms(20_000)),
            ..Default::default()
        };
        let endpoint_kind =
            EndpointKind { name: "many".into(), circuit_per_endpoint: false, max_batch: Some(4) };
        let listed_weights =
            if self.load_reports { ListedWeights::Rates } else { ListedWeights::ApproximateRates };
        Settings {
            seed: 7,
            forwarders: Some(1),
            classes: self.classes.iter().map(class).collect(),
            endpoint_kinds: vec![endpoint_kind],
            max_in_flight: Some(8),
            max_pending_messages: Some(50),
            max_attempts: Some(6),
            hedging_allowed: self.hedging_allowed,
            max_retry_after: Some(ms(3000)),
            listed_weights,
            responses_carry_load_reports: self.load_reports,
            max_poll_interval: self.load_reports.then_some(ms(10_000)),
            ..Default::default()
        }
    }
}

/// A forwarder in its own thread. A kill drops all of its tasks, as the end of a process would.
pub struct RunningForwarder {
    pub address: SocketAddr,
    kill: Option<oneshot::Sender<()>>,
    shutdown: Option<oneshot::Sender<()>>,
    thread: JoinHandle<()>,
}

impl RunningForwarder {
    fn spawn(
        listener: std::net::TcpListener,
        address: SocketAddr,
        options: ForwarderOptions,
    ) -> RunningForwarder {
        let ((kill, killed), (shutdown, shutdown_requested)) = (oneshot::channel::<()>(), oneshot::channel());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let shutdown_requested = async move { drop::<Result<(), _>>(shutdown_requested.await) };
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).unwrap();
                tokio::select! {
                    served = serve_on(listener, options, shutdown_requested) => served.unwrap(),
                    _ = killed => {}
                }
            });
        });
        RunningForwarder { address, kill: Some(kill), shutdown: Some(shutdown), thread }
    }

    /// Ends the forwarder like SIGKILL, without waiting for its end.
    pub fn request_kill(&mut self) {
        self.kill.take();
    }

    /// Requests a graceful shutdown like SIGTERM, without waiting for its end.
    pub fn request_shutdown(&mut self) {
        self.shutdown.take();
    }

    /// Blocks this thread until the forwarder has ended.
    pub fn join(self) {
        self.thread.join().unwrap();
    }

    /// Ends the forwarder like SIGKILL and blocks until it has ended.
    pub fn kill(mut self) {
        self.request_kill();
        self.join();
    }

    /// Waits until the forwarder has stopped.
    pub async fn wait_until_stopped(self) {
        wait_for("the forwarder's end", || self.thread.is_finished().then_some(())).await;
        self.join();
    }

    /// Opens a client connection and sends this text.
    pub async fn connect_and_send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        stream
    }

    /// Returns the response to a request on a new connection.
    pub async fn request(&self, text: &str) -> HttpMessage {
        let mut stream = self.connect_and_send(text).await;
        read_message(&mut stream).await.expect("expected a response")
    }

    /// Submits a message with a ten-byte body and a budget of 15 s. Returns the status of the response.
    pub async fn submit(&self, id: &str, class: &str) -> u16 {
        self.request(&submission(id, class, 15.0, "body of it")).await.status()
    }

    /// Returns the response to a health check.
    pub async fn health(&self) -> HttpMessage {
        self.request(HEALTH_CHECK).await
    }
}
