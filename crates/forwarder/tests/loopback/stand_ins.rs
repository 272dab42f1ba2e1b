//! Stand-ins for targets, the platform and clients on loopback, and a forwarder among them.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use reeddock::{CategoryTerms, DispatchNo, Effect, EnvelopeId, Group, TargetId, Terms, Weights};
use reeddock_forwarder::calls::{Call, Dispatched};
use reeddock_forwarder::limits::Allowance;
use reeddock_forwarder::{serve_on, Post};
use reeddock_wal::look;
use reeddock_protocol::{Letter, ListPart};
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

/// All that outlives a forwarder: its folder, the platform and one target.
pub struct World {
    pub folder: PathBuf,
    pub platform: StandIn,
    pub moves: watch::Sender<SocketAddr>,
    pub target: StandIn,
    pub allowance: Allowance,
    pub closed_after: Duration,
    pub tick: Duration,
    /// Lists are asked for, and answers tell of limits.
    pub asking: bool,
    /// An envelope may have two dispatches out.
    pub copies: bool,
    pub clients_come_for: Duration,
    pub categories: Vec<(&'static str, Effect)>,
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
        let allowance = Allowance { memory_bytes: 192_000_000, descriptors: 1024, disk_bytes: 3_000_000 };
        let (platform, target) = (platform.await, StandIn::start(script).await);
        let moves = watch::Sender::new(platform.address);
        World {
            folder,
            platform,
            moves,
            target,
            allowance,
            closed_after: ms(5000),
            tick: ms(5),
            asking: false,
            copies: true,
            clients_come_for: ms(1000),
            categories: vec![
                ("note", Effect::Pure),
                ("order", Effect::Effectful),
                ("mark", Effect::Receipted { window: ms(5000), group: Group::All }),
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
    pub async fn settled(&self) {
        let nothing = || {
            let (books, _) = look(&self.folder).unwrap();
            (books.counts() == (0, 0)).then_some(())
        };
        until("nothing is owed", nothing).await;
    }

    /// A forwarder that knows the target as destination 3.
    pub async fn forwarder(&self) -> Life {
        self.forwarder_knowing(list(1, true, &[listed("t", self.target.address, 3, "Ready")])).await
    }

    pub async fn forwarder_knowing(&self, known: String) -> Life {
        let category = |(name, effect): &(&str, Effect)| CategoryTerms {
            name: (*name).into(),
            effect: Some(*effect),
            promised: Some(ms(500)),
            outer_limit: Some(ms(20_000)),
            ..Default::default()
        };
        let terms = Terms {
            seed: 7,
            forwarders: Some(1),
            categories: self.categories.iter().map(category).collect(),
            kinds: vec![("many".into(), false, Some(4))],
            slots: Some(8),
            room: Some(50),
            dispatch_cap: Some(6),
            may_duplicate: self.copies,
            come_back: Some(ms(3000)),
            weights: if self.asking { Weights::Rates } else { Weights::RoughRates },
            answers_report: self.asking,
            ask_within: self.asking.then_some(ms(10_000)),
            ..Default::default()
        };
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let post = Post {
            listen: address,
            discovery: self.moves.subscribe(),
            state: self.folder.clone(),
            allowance: self.allowance,
            known: ListPart::decode(known.as_bytes()).unwrap().into(),
            terms,
            tick: self.tick,
            sync: Default::default(),
            connect_within: ms(1000),
            closed_after: self.closed_after,
            leave_within: ms(3000),
            clients_come_for: self.clients_come_for,
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

pub fn envelope(id: &str, category: &str, seconds: f64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: {category}\r\n\
         X-Budget: {seconds}\r\nX-Route-To: dest=3\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Hands an envelope in and says how it was answered.
pub async fn hand_in(life: &Life, id: &str, category: &str) -> u16 {
    status(&ask(life.address, envelope(id, category, 15.0, "body of it")).await)
}

pub fn status(answer: &Message) -> u16 {
    answer.line.split(' ').nth(1).unwrap().parse().unwrap()
}

pub fn story(told: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { timeout(ms(60_000), told).await.expect("a story of a minute at most") });
}

pub fn call_to(target: &StandIn, id: &str) -> Call {
    call(target.address, &[(id, ms(5000))])
}

/// One call with these envelopes, each waited for so long.
pub fn call(to: SocketAddr, envelopes: &[(&str, Duration)]) -> Call {
    let letter =
        |id: &str| Letter { id: EnvelopeId(id.into()), idempotency_key: None, body: Default::default() };
    let now = tokio::time::Instant::now();
    Call {
        target: TargetId(1),
        to,
        letters: envelopes.iter().map(|(id, _)| letter(id)).collect(),
        until: envelopes.iter().map(|(_, wait)| now + *wait).collect(),
        boarding: Default::default(),
    }
}

/// The same envelopes as the owner sends them out, with what calls each off.
pub fn dispatched(call: &Call, begin_within: Duration) -> (Vec<Dispatched>, Vec<oneshot::Sender<()>>) {
    let begin_by = tokio::time::Instant::now() + begin_within;
    let one = |letter: &Letter| {
        let (stop, called_off) = oneshot::channel();
        (Dispatched { envelope: letter.id.clone(), no: DispatchNo(0), begin_by, called_off }, stop)
    };
    call.letters.iter().map(one).unzip()
}

/// A target whose places are all taken: connections come up once it opens.
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
