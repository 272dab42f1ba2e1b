//! Stand-ins for endpoints, the platform and clients on loopback, and a forwarder among them.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use reeddock::{
    AttemptNumber, EndpointId, EndpointKind, Idempotency, KeyScope, ListedWeights, MessageClass, MessageId,
    Settings,
};
use reeddock_forwarder::limits::ResourceLimits;
use reeddock_forwarder::request_sender::{EndpointRequest, PendingAttempt};
use reeddock_forwarder::{serve_on, ForwarderOptions};
use reeddock_protocol::{ListPart, OutgoingMessage};
use reeddock_wal::inspect;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
pub const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn as_platform(message: &Message) -> Reply {
    match message.line.starts_with("GET /v1/servers?stream=1&index=") {
        true => Reply::Stream,
        false => Reply::Say(NO_CONTENT.into()),
    }
}

#[derive(Clone, Debug)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    pub connection: usize,
}

impl Message {
    pub fn id(&self) -> &str {
        self.headers.get("x-call-id").map_or("", String::as_str)
    }
}

pub enum Reply {
    Say(String),
    SayAndClose(String),
    Close,
    Silence,
    /// What stands in the stand-in's lines, now and as it is added.
    Stream,
}

pub type Script = dyn Fn(&Message) -> Reply + Send + Sync;

/// A server that writes down what it gets and answers by its script.
#[derive(Clone)]
pub struct StandIn {
    pub address: SocketAddr,
    pub got: Arc<Mutex<Vec<Message>>>,
    pub script: Arc<Mutex<Arc<Script>>>,
    pub lines: Arc<Mutex<Vec<String>>>,
    pub closed: Arc<AtomicUsize>,
}

impl StandIn {
    pub async fn start(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stand_in = StandIn {
            address: listener.local_addr().unwrap(),
            got: Arc::default(),
            script: Arc::new(Mutex::new(Arc::new(script))),
            lines: Arc::default(),
            closed: Arc::default(),
        };
        let this = stand_in.clone();
        tokio::spawn(async move {
            for number in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                let this = this.clone();
                tokio::spawn(async move {
                    this.converse(stream, number).await;
                    this.closed.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        stand_in
    }

    pub fn now(&self, script: impl Fn(&Message) -> Reply + Send + Sync + 'static) {
        *self.script.lock().unwrap() = Arc::new(script);
    }

    pub fn got(&self) -> Vec<Message> {
        self.got.lock().unwrap().clone()
    }

    pub async fn converse(&self, mut stream: TcpStream, number: usize) {
        while let Some(mut message) = read_message(&mut stream).await {
            message.connection = number;
            self.got.lock().unwrap().push(message.clone());
            let script = self.script.lock().unwrap().clone();
            match script(&message) {
                Reply::Say(text) => stream.write_all(text.as_bytes()).await.unwrap_or_default(),
                Reply::SayAndClose(text) => {
                    return stream.write_all(text.as_bytes()).await.unwrap_or_default()
                }
                Reply::Close => return,
                Reply::Silence => while stream.read_u8().await.is_ok() {},
                Reply::Stream => {
                    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                    let mut told = self.lines.lock().unwrap().len().saturating_sub(1);
                    stream.write_all(head.as_bytes()).await.unwrap_or_default();
                    loop {
                        let line = self.lines.lock().unwrap().get(told).cloned();
                        told += usize::from(line.is_some());
                        let line = line.unwrap_or_default() + "\n";
                        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
                        if stream.write_all(chunk.as_bytes()).await.is_err() {
                            return;
                        }
                        sleep(ms(20)).await;
                    }
                }
            }
        }
    }
}

/// One request or answer: its first line, headers and body.
pub async fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let (line, rest) = head.split_once("\r\n").unwrap();
    let headers = rest.lines().filter_map(|l| l.split_once(": "));
    let headers: BTreeMap<String, String> = headers.map(|(n, v)| (n.to_lowercase(), v.into())).collect();
    let length = headers.get("content-length").map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let body = String::from_utf8(body).unwrap();
    Some(Message { line: line.into(), headers, body, connection: 0 })
}

pub async fn until<T>(what: &str, mut seen: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = seen() {
            return found;
        }
        assert!(start.elapsed() < ms(20_000), "never seen: {what}");
        sleep(ms(5)).await;
    }
}

/// A forwarder in a thread of its own, which ends it as a kill would: nothing of it goes on.
pub struct Life {
    pub address: SocketAddr,
    pub kill: Option<oneshot::Sender<()>>,
    pub stop: Option<oneshot::Sender<()>>,
    pub thread: Option<JoinHandle<()>>,
}

impl Life {
    pub fn kill(&mut self) {
        self.kill.take();
        self.thread.take().unwrap().join().unwrap();
    }
}

/// All that outlives a forwarder: its folder, the platform and one endpoint.
pub struct World {
    pub folder: PathBuf,
    pub platform: StandIn,
    pub moves: watch::Sender<SocketAddr>,
    pub endpoint: StandIn,
    pub resources: ResourceLimits,
    pub closed_after: Duration,
    pub tick: Duration,
    /// Lists are asked for, and answers tell of limits.
    pub asking: bool,
    /// A message may have two attempts out.
    pub copies: bool,
    pub accept_grace: Duration,
    pub classes: Vec<(&'static str, Idempotency)>,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn listed(name: &str, at: SocketAddr, cell: u64, state: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"a","machineType":"many","cell":{cell},"lifecycle":"{state}","weight":50.0,"startedAtMs":0}}"#
    )
}

pub fn list(generation: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{whole},"instances":[{}]}}"#, entries.join(","))
}

impl World {
    pub async fn new(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> World {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("reeddock-story-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let platform = StandIn::start(as_platform);
        let resources =
            ResourceLimits { memory_bytes: 192_000_000, descriptors: 1024, disk_bytes: 3_000_000 };
        let (platform, endpoint) = (platform.await, StandIn::start(script).await);
        let moves = watch::Sender::new(platform.address);
        World {
            folder,
            platform,
            moves,
            endpoint,
            resources,
            closed_after: ms(5000),
            tick: ms(5),
            asking: false,
            copies: true,
            accept_grace: ms(1000),
            classes: vec![
                ("note", Idempotency::Idempotent),
                ("order", Idempotency::NonIdempotent),
                ("mark", Idempotency::WithKey { window: ms(5000), scope: KeyScope::Region }),
            ],
        }
    }

    /// What the list says from now on.
    pub fn tell(&self, line: String) {
        self.platform.lines.lock().unwrap().push(line);
    }

    pub fn notices(&self) -> String {
        Self::notices_at(&self.platform)
    }

    pub fn notices_at(platform: &StandIn) -> String {
        platform.got().into_iter().filter(|m| m.line.contains("/v2/finals")).map(|m| m.body).collect()
    }

    /// Until its ledger says that nothing is owed, and no notice either.
    pub async fn attempt_finished(&self) {
        let nothing = || inspect(&self.folder).unwrap().index.counts().is_empty().then_some(());
        until("nothing is owed", nothing).await;
    }

    /// A forwarder that knows the endpoint as destination 3.
    pub async fn forwarder(&self) -> Life {
        self.forwarder_knowing(list(1, true, &[listed("t", self.endpoint.address, 3, "Ready")])).await
    }

    pub async fn forwarder_knowing(&self, known: String) -> Life {
        let class = |(name, idempotency): &(&str, Idempotency)| MessageClass {
            name: (*name).into(),
            idempotency: Some(*idempotency),
            latency_objective: Some(ms(500)),
            deadline: Some(ms(20_000)),
            ..Default::default()
        };
        let settings = Settings {
            seed: 7,
            forwarders: Some(1),
            classes: self.classes.iter().map(class).collect(),
            endpoint_kinds: vec![EndpointKind {
                name: "many".into(),
                circuit_per_endpoint: false,
                max_batch: Some(4),
            }],
            max_in_flight: Some(8),
            capacity: Some(50),
            max_attempts: Some(6),
            hedging_allowed: self.copies,
            max_retry_after: Some(ms(3000)),
            listed_weights: if self.asking { ListedWeights::Rates } else { ListedWeights::ApproximateRates },
            responses_carry_load_reports: self.asking,
            poll_interval_limit: self.asking.then_some(ms(10_000)),
            ..Default::default()
        };
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let post = ForwarderOptions {
            listen: address,
            discovery: self.moves.subscribe(),
            state: self.folder.clone(),
            resources: self.resources,
            cached_list: ListPart::decode(known.as_bytes()).unwrap().into(),
            settings,
            tick: self.tick,
            sync: Default::default(),
            connect_within: ms(1000),
            closed_after: self.closed_after,
            shutdown_grace: ms(3000),
            accept_grace: self.accept_grace,
        };
        let ((kill, killed), (stop, stopped)) = (oneshot::channel::<()>(), oneshot::channel::<()>());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let asked = async move { drop(stopped.await) };
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).unwrap();
                tokio::select! {
                    served = serve_on(listener, post, asked) => served.unwrap(),
                    _ = killed => {}
                }
            });
        });
        Life { address, kill: Some(kill), stop: Some(stop), thread: Some(thread) }
    }
}

pub async fn ask(at: SocketAddr, request: String) -> Message {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    read_message(&mut stream).await.expect("an answer")
}

pub fn message(id: &str, class: &str, seconds: f64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
         X-Budget: {seconds}\r\nX-Route-To: dest=3\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Hands a message in and says how it was answered.
pub async fn submit(life: &Life, id: &str, class: &str) -> u16 {
    status(&ask(life.address, message(id, class, 15.0, "body of it")).await)
}

pub fn status(answer: &Message) -> u16 {
    answer.line.split(' ').nth(1).unwrap().parse().unwrap()
}

pub fn story(told: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { timeout(ms(60_000), told).await.expect("a story of a minute at most") });
}

pub fn call_to(endpoint: &StandIn, id: &str) -> EndpointRequest {
    call(endpoint.address, &[(id, ms(5000))])
}

/// One call with these messages, each waited for so long.
pub fn call(to: SocketAddr, messages: &[(&str, Duration)]) -> EndpointRequest {
    let message = |id: &str| OutgoingMessage {
        id: MessageId(id.into()),
        idempotency_key: None,
        body: Default::default(),
    };
    let now = tokio::time::Instant::now();
    EndpointRequest {
        endpoint: EndpointId(1),
        to,
        messages: messages.iter().map(|(id, _)| message(id)).collect(),
        until: messages.iter().map(|(_, wait)| now + *wait).collect(),
        departure: Default::default(),
    }
}

/// The same messages as the owner sends them out, with what calls each off.
pub fn dispatched(
    call: &EndpointRequest,
    start_within: Duration,
) -> (Vec<PendingAttempt>, Vec<oneshot::Sender<()>>) {
    let begin_by = tokio::time::Instant::now() + start_within;
    let single_request = |message: &OutgoingMessage| {
        let (stop, cancelled) = oneshot::channel();
        (PendingAttempt { message: message.id.clone(), no: AttemptNumber(0), begin_by, cancelled }, stop)
    };
    call.messages.iter().map(single_request).unzip()
}

/// An endpoint whose places are all taken: connections come up once it opens.
pub struct Crowded {
    pub address: SocketAddr,
    listener: std::net::TcpListener,
    _taken: std::net::TcpStream,
}

impl Crowded {
    pub fn new() -> Crowded {
        let full = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        full.listen(0).unwrap();
        let address = full.local_addr().unwrap().as_socket().unwrap();
        let taken = std::net::TcpStream::connect(address).unwrap();
        Crowded { address, listener: full.into(), _taken: taken }
    }

    /// Makes room; the next connection, once it has come up.
    pub async fn open(&self) -> TcpStream {
        self.listener.accept().unwrap();
        self.listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(self.listener.try_clone().unwrap()).unwrap();
        listener.accept().await.unwrap().0
    }
}
