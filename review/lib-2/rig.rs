//! Stand-ins for the cases of the second review: a platform (discovery and notices), targets, clients, and the
//! control of the forwarder's process. Only the standard library, only loopback addresses, only ordinary signals.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Whether the script was started with the disruption (the default) or without it (`TROUBLE=0`).
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: `record.txt` in the folder of the case. Times are seconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:8.3} {text}", self.now());
    }
}

/// A loopback address of this process alone, so that cases beside each other don't take each other's ports.
pub fn loopback() -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 64 + (id >> 16) % 64, (id >> 8) & 255, 1 + (id & 255) % 254)
}

/// The folder of a run outside the repository, removed at its end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> io::Result<TempFolder> {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let path = std::env::temp_dir().join(format!("reeddock-case-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

// ---------------------------------------------------------------------------------------------------- HTTP

/// A message head and body that were read from a connection.
pub struct HttpMessage {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Reads one HTTP message with a `Content-Length` body. `Ok(None)` if the connection ended before its first byte.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<HttpMessage>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut buffer)? {
            0 if bytes.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = HttpMessage { first_line, headers, body: bytes.split_off(head_end + 4) };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while message.body.len() < length {
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => message.body.extend_from_slice(&buffer[..count]),
        }
    }
    Ok(Some(message))
}

pub fn status_of(first_line: &str) -> u16 {
    first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// Accepts connections until `stopped`, each in a thread of its own.
fn accept_loop(
    listener: TcpListener,
    stopped: Arc<AtomicBool>,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !stopped.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let serve = serve.clone();
                    thread::spawn(move || serve(stream));
                }
                Err(_) => thread::sleep(ms(1)),
            }
        }
    });
}

/// Returns whether the other side has closed the connection. Unread bytes do not count as closed.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

// ------------------------------------------------------------------------------------------------ platform

/// An entry of the list of targets.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub lifecycle: &'static str,
    pub weight: f64,
    pub started_at_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":{},\"startedAtMs\":{}}}",
            self.name,
            self.address,
            self.zone,
            self.kind,
            self.cell,
            self.lifecycle,
            self.weight,
            self.started_at_ms
        )
    }
}

#[derive(Default)]
struct PlatformState {
    generation: u64,
    entries: BTreeMap<String, Entry>,
    /// Changes with the generation in which they came.
    changes: Vec<(u64, Entry)>,
    /// While set, discovery is down: the agent says nothing to watches, and learns nothing.
    down: bool,
    /// Watches opened before this count have fallen silent: they stay open and say nothing.
    silent_before: u64,
    watches: u64,
    /// Notices: id, time, status.
    finals: Vec<(String, f64, String)>,
}

/// The platform: discovery by watch, and notices.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    record: Record,
    state: Arc<(Mutex<PlatformState>, Condvar)>,
    stopped: Arc<AtomicBool>,
}

impl Platform {
    pub fn start(record: &Record) -> io::Result<Platform> {
        let state: Arc<(Mutex<PlatformState>, Condvar)> = Arc::default();
        lock(&state.0).generation = 41;
        Platform::listen(record, state)
    }

    fn listen(record: &Record, state: Arc<(Mutex<PlatformState>, Condvar)>) -> io::Result<Platform> {
        let listener = TcpListener::bind((loopback(), 0))?;
        let address = listener.local_addr()?;
        let platform = Platform { address, record: record.clone(), state, stopped: Arc::default() };
        let serving = platform.clone();
        accept_loop(listener, platform.stopped.clone(), move |stream| {
            let _ = serving.serve(stream);
        });
        Ok(platform)
    }

    /// Opens a second address with the same state.
    pub fn second_address(&self) -> io::Result<Platform> {
        Platform::listen(&self.record, self.state.clone())
    }

    /// Accepts no new connections, and ends the open ones.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.state.1.notify_all();
    }

    pub fn set_down(&self, down: bool) {
        lock(&self.state.0).down = down;
        self.record.line(if down { "discovery is down" } else { "discovery is back" });
        self.state.1.notify_all();
    }

    /// Lets all open watches fall silent. Their connections stay open; new watches are served.
    pub fn silence_open_watches(&self) {
        let mut state = lock(&self.state.0);
        state.silent_before = state.watches;
        self.record.line("open watches fall silent");
    }

    /// Adds or changes an entry, as one new generation.
    pub fn put(&self, entry: Entry) {
        let mut state = lock(&self.state.0);
        state.generation += 1;
        let generation = state.generation;
        if entry.lifecycle == "Gone" {
            state.entries.remove(&entry.name);
        } else {
            state.entries.insert(entry.name.clone(), entry.clone());
        }
        self.record
            .line(&format!("list {generation}: {} {} cell {}", entry.name, entry.lifecycle, entry.cell));
        state.changes.push((generation, entry));
        drop(state);
        self.state.1.notify_all();
    }

    /// The whole list, as in `known` of the configuration.
    pub fn whole_list(&self) -> String {
        let state = lock(&self.state.0);
        list_json(state.generation, true, state.entries.values())
    }

    pub fn finals(&self) -> Vec<(String, f64, String)> {
        lock(&self.state.0).finals.clone()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        while let Some(request) = read_message(&mut stream)? {
            if request.first_line.starts_with("POST /v2/finals") {
                self.note_finals(&request.body);
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
            } else if request.first_line.starts_with("GET /v1/servers?") {
                let index =
                    request.first_line.split(['?', '&', ' ']).find_map(|part| part.strip_prefix("index="));
                return self.watch(stream, index.and_then(|text| text.parse().ok()).unwrap_or(0));
            } else {
                respond(&mut stream, "200 OK", "", &self.whole_list())?;
            }
            if self.stopped.load(Ordering::SeqCst) {
                return Ok(());
            }
        }
        Ok(())
    }

    fn note_finals(&self, body: &[u8]) {
        let now = self.record.now();
        for line in String::from_utf8_lossy(body).lines() {
            let field = |name: &str| {
                let (_, rest) = line.split_once(&format!("\"{name}\":\""))?;
                rest.split_once('"').map(|(value, _)| value.to_owned())
            };
            let (Some(id), Some(status)) = (field("id"), field("status")) else { continue };
            self.record.line(&format!("notice {id} {status}"));
            lock(&self.state.0).finals.push((id, now, status));
        }
    }

    fn watch(&self, mut stream: TcpStream, mut index: u64) -> io::Result<()> {
        let mut is_first = true;
        let mut last_line = Instant::now();
        let number = {
            let mut state = lock(&self.state.0);
            state.watches += 1;
            state.watches - 1
        };
        loop {
            let (line, generation) = {
                let mut state = lock(&self.state.0);
                while state.down || number < state.silent_before {
                    state = self.state.1.wait_timeout(state, ms(50)).unwrap_or_else(|p| p.into_inner()).0;
                    if is_closed(&stream) || self.stopped.load(Ordering::SeqCst) {
                        return Ok(());
                    }
                }
                if state.generation > index || is_first {
                    let changes = state.changes.iter().filter(|(at, _)| *at > index).map(|(_, entry)| entry);
                    (list_json(state.generation, false, changes), state.generation)
                } else if last_line.elapsed() >= ms(2000) {
                    (String::new(), index)
                } else {
                    let _ = self.state.1.wait_timeout(state, ms(100));
                    if is_closed(&stream) || self.stopped.load(Ordering::SeqCst) {
                        return Ok(());
                    }
                    continue;
                }
            };
            if is_first {
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                is_first = false;
            }
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            stream.write_all(chunk.as_bytes())?;
            index = generation;
            last_line = Instant::now();
        }
    }
}

fn list_json<'e>(generation: u64, reset: bool, entries: impl Iterator<Item = &'e Entry>) -> String {
    let entries: Vec<String> = entries.map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

// ------------------------------------------------------------------------------------------------- targets

/// What a target does with a call.
#[derive(Clone, Debug)]
pub struct Reply {
    pub after: Duration,
    pub kind: ReplyKind,
}

#[derive(Clone, Debug)]
pub enum ReplyKind {
    /// Runs all messages of the call.
    Run,
    /// 500; nothing was run.
    Fault,
    /// 429 or 503 with this wait in seconds.
    Full(Option<f64>),
    /// Runs nothing and answers nothing, until the connection ends.
    Hang,
    /// Runs all messages, then closes the connection with no answer.
    RunAndClose,
    /// Runs all messages, then writes these bytes and leaves the connection open until the other side ends it.
    RunAndSay(Vec<u8>),
    /// 429 with this wait in seconds, whose body follows its head after a while.
    FullWithLateBody(f64, Duration),
    /// Each message of the call fares on its own: the function says how, by id (`accepted`, `fault`, `deferred`).
    Each(fn(&str) -> &'static str),
}

/// One message of a call that reached a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub target: String,
    pub connection: u64,
    /// When the call's last byte had come.
    pub at: f64,
    /// Number of messages in the call.
    pub batch: usize,
    /// When the answer was written or the connection ended; `None` while the call is out.
    pub over_at: Option<f64>,
    pub outcome: &'static str,
    pub ran: bool,
}

/// What a target knows of a call when it decides.
pub struct CallInfo<'c> {
    pub target: &'c str,
    pub ids: &'c [String],
    pub at: f64,
}

type Behaviour = Arc<dyn Fn(&CallInfo) -> Reply + Send + Sync>;

/// All targets, and what reached them in the order in which it came.
#[derive(Clone)]
pub struct Targets {
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    connections: Arc<AtomicU64>,
}

pub struct Target {
    pub name: String,
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
}

impl Target {
    /// Accepts no new connections any more (they are refused).
    pub fn refuse(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Falls silent: calls that come are not read while set.
    pub fn set_silent(&self, silent: bool) {
        self.paused.store(silent, Ordering::SeqCst);
    }
}

impl Targets {
    pub fn new(record: &Record) -> Targets {
        Targets { record: record.clone(), arrivals: Arc::default(), connections: Arc::default() }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    pub fn start(
        &self,
        name: &str,
        behaviour: impl Fn(&CallInfo) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Target> {
        self.start_at(&format!("{}:0", loopback()), name, behaviour)
    }

    pub fn start_at(
        &self,
        address: &str,
        name: &str,
        behaviour: impl Fn(&CallInfo) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Target> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (stopped, paused): (Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
        let (targets, behaviour, owned) = (self.clone(), Arc::new(behaviour) as Behaviour, name.to_owned());
        let silent = paused.clone();
        accept_loop(listener, stopped.clone(), move |stream| {
            let _ = targets.serve(&owned, &behaviour, &silent, stream);
        });
        Ok(Target { name: name.to_owned(), address, stopped, paused })
    }

    fn serve(
        &self,
        name: &str,
        behaviour: &Behaviour,
        silent: &AtomicBool,
        mut stream: TcpStream,
    ) -> io::Result<()> {
        let connection = self.connections.fetch_add(1, Ordering::SeqCst);
        while let Some(request) = read_message(&mut stream)? {
            while silent.load(Ordering::SeqCst) {
                thread::sleep(ms(2));
                if is_closed(&stream) {
                    return Ok(());
                }
            }
            let ids = message_ids(&request);
            let at = self.record.now();
            let reply = behaviour(&CallInfo { target: name, ids: &ids, at });
            let first = self.note_call(name, connection, &ids, at);
            let wait_until = Instant::now() + reply.after;
            let endless = matches!(reply.kind, ReplyKind::Hang);
            while endless || Instant::now() < wait_until {
                let left = wait_until.saturating_duration_since(Instant::now());
                thread::sleep(if endless { ms(5) } else { left.min(ms(5)) });
                if is_closed(&stream) {
                    // A call whose connection has ended runs on to its end, as most targets do.
                    let ran = matches!(
                        reply.kind,
                        ReplyKind::Run | ReplyKind::RunAndClose | ReplyKind::RunAndSay(_)
                    );
                    self.note_end(first, ids.len(), "given up by the forwarder", ran);
                    return Ok(());
                }
            }
            let is_batch = request.first_line.starts_with("POST /events/bundle");
            match &reply.kind {
                ReplyKind::Run => {
                    self.note_end(first, ids.len(), "200", true);
                    let lines: String = if is_batch {
                        ids.iter().map(|id| format!("{id} accepted\n")).collect()
                    } else {
                        String::new()
                    };
                    respond(&mut stream, "200 OK", "", &lines)?;
                }
                ReplyKind::Fault => {
                    self.note_end(first, ids.len(), "500", false);
                    respond(&mut stream, "500 Internal Server Error", "", "")?;
                }
                ReplyKind::Full(wait) => {
                    self.note_end(first, ids.len(), "429", false);
                    let header = wait.map_or(String::new(), |wait| format!("Retry-After: {wait}\r\n"));
                    respond(&mut stream, "429 Too Many Requests", &header, "")?;
                }
                ReplyKind::RunAndClose => {
                    self.note_end(first, ids.len(), "closed with no answer", true);
                    return Ok(());
                }
                ReplyKind::RunAndSay(bytes) => {
                    let says_200 = bytes.starts_with(b"HTTP/1.1 200 ");
                    let outcome = if says_200 { "spoilt 200" } else { "spoilt answer" };
                    self.note_end(first, ids.len(), outcome, true);
                    stream.write_all(bytes)?;
                    let _ = io::copy(&mut stream, &mut io::sink());
                    return Ok(());
                }
                ReplyKind::FullWithLateBody(wait, gap) => {
                    self.note_end(first, ids.len(), "429", false);
                    let head = format!(
                        "HTTP/1.1 429 Too Many Requests\r\nRetry-After: {wait}\r\nContent-Length: 5\r\n\r\n"
                    );
                    stream.write_all(head.as_bytes())?;
                    thread::sleep(*gap);
                    stream.write_all(b"full\n")?;
                }
                ReplyKind::Each(word_of) => {
                    let words: Vec<&'static str> = ids.iter().map(|id| word_of(id)).collect();
                    for (offset, word) in words.iter().enumerate() {
                        let (outcome, ran) = match *word {
                            "accepted" => ("200", true),
                            "deferred" => ("429", false),
                            _ => ("500", false),
                        };
                        self.note_end(first + offset, 1, outcome, ran);
                    }
                    if is_batch {
                        let lines = ids.iter().zip(&words).map(|(id, word)| format!("{id} {word}\n"));
                        respond(&mut stream, "200 OK", "", &lines.collect::<String>())?;
                    } else {
                        let status = match words.first() {
                            Some(&"accepted") => "200 OK",
                            Some(&"deferred") => "429 Too Many Requests",
                            _ => "500 Internal Server Error",
                        };
                        respond(&mut stream, status, "", "")?;
                    }
                }
                ReplyKind::Hang => {}
            }
        }
        Ok(())
    }

    fn note_call(&self, target: &str, connection: u64, ids: &[String], at: f64) -> usize {
        let mut arrivals = lock(&self.arrivals);
        let first = arrivals.len();
        for id in ids {
            self.record.line(&format!("call   {target} {id}"));
            arrivals.push(Arrival {
                id: id.clone(),
                target: target.to_owned(),
                connection,
                at,
                batch: ids.len(),
                over_at: None,
                outcome: "out",
                ran: false,
            });
        }
        first
    }

    fn note_end(&self, first: usize, count: usize, outcome: &'static str, ran: bool) {
        let now = self.record.now();
        let mut arrivals = lock(&self.arrivals);
        for arrival in &mut arrivals[first..first + count] {
            (arrival.over_at, arrival.outcome, arrival.ran) = (Some(now), outcome, ran);
            self.record.line(&format!("answer {} {} {outcome}", arrival.target, arrival.id));
        }
    }
}

/// The ids of the messages that a call carries.
fn message_ids(request: &HttpMessage) -> Vec<String> {
    if !request.first_line.starts_with("POST /events/bundle") {
        return request.header("x-call-id").map(str::to_owned).into_iter().collect();
    }
    let mut ids = Vec::new();
    let mut rest = &request.body[..];
    while let Some(end) = rest.windows(2).position(|window| window == b"\r\n") {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let mut words = line.split(' ');
        let id = words.next().unwrap_or_default().to_owned();
        let length: usize = words.nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        ids.push(id);
        rest = rest.get(end + 2 + length + 2..).unwrap_or_default();
    }
    ids
}

// ------------------------------------------------------------------------------------------------- clients

pub struct Submission {
    pub id: String,
    pub class: String,
    pub budget: f64,
    pub destination: u64,
    /// What the message is about, for classes that keep their order.
    pub key: Option<u64>,
    pub body: Vec<u8>,
}

/// One client connection, opened again when it is gone.
pub struct Client {
    pub forwarder: SocketAddr,
    /// When the last request was sent, from which its time counts.
    pub sent_at: f64,
    record: Record,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(forwarder: SocketAddr, record: &Record) -> Client {
        Client { forwarder, sent_at: 0.0, record: record.clone(), stream: None }
    }

    /// Hands in a message and returns the status of the answer; 0 without an answer within 400 ms.
    pub fn submit(&mut self, submission: &Submission) -> u16 {
        let reused = self.stream.is_some();
        let mut status = self.try_submit(submission);
        if status.is_err() && reused {
            // The forwarder closed a resting connection: the request goes once more on a new one.
            self.stream = None;
            status = self.try_submit(submission);
        }
        if status.is_err() {
            self.stream = None;
        }
        let status = status.unwrap_or(0);
        self.record.line(&format!("client {} dest {} -> {status}", submission.id, submission.destination));
        status
    }

    fn try_submit(&mut self, submission: &Submission) -> io::Result<u16> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.forwarder, ms(400))?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(ms(400)))?;
                stream
            }
        };
        let mut head = format!(
            "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Budget: {:.3}\r\n\
             Content-Length: {}\r\nX-Route-To: dest={}\r\n",
            submission.id,
            submission.class,
            submission.budget,
            submission.body.len(),
            submission.destination
        );
        if let Some(key) = submission.key {
            let _ = write!(head, "X-Route-Hash: about={key}\r\n");
        }
        head.push_str("\r\n");
        let mut request = head.into_bytes();
        request.extend_from_slice(&submission.body);
        self.sent_at = self.record.now();
        stream.write_all(&request)?;
        let Some(answer) = read_message(&mut stream)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let closes = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            self.stream = Some(stream);
        }
        Ok(status_of(&answer.first_line))
    }
}

// ----------------------------------------------------------------------------------------------- forwarder

/// A forwarder's process, started by the `run` command of the deploy file. Killed when dropped.
pub struct Forwarder {
    pub name: String,
    pub listen: SocketAddr,
    root: PathBuf,
    folder: PathBuf,
    record: Record,
    child: Option<Child>,
}

/// What the configuration of a forwarder says beside its addresses.
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
    pub disk_mb: u64,
}

impl Forwarder {
    pub fn new(name: &str, root: &Path, temp: &Path, record: &Record) -> io::Result<Forwarder> {
        let listen = TcpListener::bind((loopback(), 0))?.local_addr()?;
        let folder = temp.join(name);
        fs::create_dir_all(folder.join("state"))?;
        fs::create_dir_all(folder.join("tmp"))?;
        let (root, record) = (root.to_owned(), record.clone());
        Ok(Forwarder { name: name.to_owned(), listen, root, folder, record, child: None })
    }

    /// Writes the configuration file anew.
    pub fn configure(&self, platform: &Platform, limits: &Limits, settings: &str) -> io::Result<()> {
        self.configure_with_list(platform.address, &platform.whole_list(), limits, settings)
    }

    pub fn configure_with_list(
        &self,
        discovery: SocketAddr,
        known: &str,
        limits: &Limits,
        settings: &str,
    ) -> io::Result<()> {
        let Limits { memory_mb, sockets, disk_mb } = limits;
        let seed = self.name.bytes().fold(0x8c1f_30d2_7a5b_e964_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
        });
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\n\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets},\"disk_mb\":{disk_mb}}},\n\
             \"known\":{known},\n\"settings\":{settings}}}\n",
            self.name, self.listen
        );
        let next = self.folder.join("config.next");
        fs::write(&next, text)?;
        fs::rename(next, self.config_file())
    }

    fn config_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Starts the process, without waiting until it is ready.
    pub fn spawn(&mut self, platform: &Platform) -> io::Result<()> {
        let run = run_command(&self.root)?;
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .current_dir(&self.root)
            .env("EDGE_NAME", &self.name)
            .env("EDGE_LISTEN", self.listen.to_string())
            .env("EDGE_DISCOVERY", platform.address.to_string())
            .env("EDGE_STATE", self.folder.join("state"))
            .env("EDGE_CONFIG", self.config_file())
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("{} started, pid {}", self.name, child.id()));
        lock(&STARTED).push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process and waits until its health check answers 200.
    pub fn start(&mut self, platform: &Platform) -> io::Result<()> {
        self.spawn(platform)?;
        let deadline = Instant::now() + ms(10_000);
        while Instant::now() < deadline {
            if self.is_ready() {
                self.record.line(&format!("{} ready", self.name));
                return Ok(());
            }
            thread::sleep(ms(5));
        }
        Err(io::Error::other("forwarder not ready within 10 s"))
    }

    fn is_ready(&self) -> bool {
        let check = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.listen, ms(200))?;
            stream.set_read_timeout(Some(ms(400)))?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")?;
            Ok(read_message(&mut stream)?.map_or(0, |answer| status_of(&answer.first_line)))
        };
        check().is_ok_and(|status| status == 200)
    }

    /// Sends a signal by its name: TERM, HUP, STOP or CONT.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{} SIG{name}", self.name));
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", child.id())).status();
        }
    }

    /// SIGKILL. Returns once the process is gone.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line(&format!("{} SIGKILL", self.name));
            end(&mut child);
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns the exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        Some(status.to_string())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            end(&mut child);
        }
    }
}

/// The ids of processes that this one has started and that have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case that is not over by then ends its processes and exits with 2.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// Kills a process and waits until it is gone.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    lock(&STARTED).retain(|id| *id != child.id());
}

/// Ends the run if it takes too long.
fn watch_over_run() {
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        for id in lock(&STARTED).iter() {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
        }
        eprintln!("the case could not run: not over after {LONGEST_RUN:?}");
        std::process::exit(2);
    });
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split_once('"')).map(|(command, _)| command.to_owned());
    command.ok_or_else(|| io::Error::other("no command `run` in the deploy file"))
}

// --------------------------------------------------------------------------------------------------- cases

/// The verdict of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn run_case(case: impl FnOnce(&Record, &Path, &Path) -> io::Result<Verdict>) -> ! {
    watch_over_run();
    let code = match catch_unwind(AssertUnwindSafe(|| run(case))) {
        Ok(Ok(Verdict::Held)) => 0,
        Ok(Ok(Verdict::Broken(_))) => 1,
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code)
}

fn run(case: impl FnOnce(&Record, &Path, &Path) -> io::Result<Verdict>) -> io::Result<Verdict> {
    let mut arguments = std::env::args().skip(1);
    let folder =
        PathBuf::from(arguments.next().ok_or_else(|| io::Error::other("usage: PROGRAM CASE_FOLDER"))?);
    let root = std::env::current_dir()?;
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(if with_trouble() { "with the disruption" } else { "without the disruption" });
    let temp = TempFolder::create()?;
    let verdict = case(&record, &root, &temp.0);
    match &verdict {
        Ok(Verdict::Held) => record.line("RULE HELD"),
        Ok(Verdict::Broken(why)) => {
            record.line(&format!("RULE BROKEN: {why}"));
            println!("rule broken: {why}");
        }
        Err(error) => record.line(&format!("COULD NOT RUN: {error}")),
    }
    verdict
}

/// A random source for ids and spacing, the same on each machine.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mut x = self.0;
        x ^= x >> 33;
        x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
        x ^ (x >> 33)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Ids of messages that have run more than once, as far as targets saw it.
pub fn run_twice(arrivals: &[Arrival]) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    arrivals.iter().filter(|a| a.ran).filter(|a| !seen.insert(a.id.clone())).map(|a| a.id.clone()).collect()
}
