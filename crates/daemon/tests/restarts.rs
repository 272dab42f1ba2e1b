//! Forwarders that are killed with pending messages in the write-ahead log and started again.

#[path = "support/configuration.rs"]
mod configuration;
#[path = "support/health.rs"]
mod health;
#[path = "support/log_line.rs"]
mod log_line;
#[path = "support/process.rs"]
mod process;
#[path = "support/stub_server.rs"]
mod stub_server;
#[path = "support/temp_folder.rs"]
mod temp_folder;
#[path = "support/wait.rs"]
mod wait;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{ChildStderr, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use configuration::{list_entry, message_class};
use health::health_check;
use log_line::listening_address;
use process::{serve_command, KillOnDrop};
use reeddock_wal::inspect;
use serde_json::{json, Value};
use stub_server::{start_stub, Connection, Request, NO_CONTENT_RESPONSE, OK_RESPONSE};
use temp_folder::TempFolder;
use wait::{wait_for, POLL_INTERVAL};

/// Number of destinations. Each has its own endpoint at the stub, so that requests to one do not delay the
/// others.
const DESTINATIONS: u64 = 3;
/// Maximum time from the start of a process to the response of its health check, with margin for a busy
/// machine.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Validity of an idempotency key in the classes with a short window. Retries start only within the window.
const SHORT_WINDOW: Duration = Duration::from_secs(1);
const LONG_WINDOW: Duration = Duration::from_secs(60);
/// Tolerance of measured times: 50 ms for the margin of time limits on sockets, plus 150 ms for the delay of
/// the endpoint's thread on a busy machine.
const TOLERANCE: Duration = Duration::from_millis(50 + 150);
const FORWARDERS: usize = 10;
const MESSAGES_PER_FORWARDER: usize = 300;
/// Minimum number of messages that are pending in each forwarder after its kill. On a busy machine, some
/// attempts time out before the kill and finish their messages.
const MIN_PENDING: usize = MESSAGES_PER_FORWARDER / 2;
/// More kills than are possible within [`SHORT_WINDOW`].
const UNLIMITED_KILLS: usize = 1000;

/// Behaviour of the endpoint after it has recorded a request.
#[derive(Clone, Copy)]
enum EndpointBehaviour {
    NeverResponds,
    Completes,
    /// Closes the connection without a response, so that the attempt counts as possibly executed.
    ClosesConnection,
}

#[derive(Clone)]
struct ReceivedAttempt {
    id: String,
    at: Instant,
    completed: bool,
}

/// State shared by the stubs of the platform and of the endpoint, which outlive the forwarder processes of a
/// test.
#[derive(Clone, Default)]
struct StubState {
    behaviour: Arc<AtomicU8>,
    attempts: Arc<Mutex<Vec<ReceivedAttempt>>>,
    notices: Arc<Mutex<String>>,
}

impl StubState {
    fn set_behaviour(&self, behaviour: EndpointBehaviour) {
        self.behaviour.store(behaviour as u8, Ordering::SeqCst);
    }

    fn has_behaviour(&self, behaviour: EndpointBehaviour) -> bool {
        self.behaviour.load(Ordering::SeqCst) == behaviour as u8
    }

    fn attempts(&self) -> Vec<ReceivedAttempt> {
        self.attempts.lock().unwrap().clone()
    }

    fn attempts_of(&self, id: &str) -> Vec<ReceivedAttempt> {
        self.attempts().into_iter().filter(|attempt| attempt.id == id).collect()
    }

    /// Returns the ids of messages for which a notice was received.
    fn notified_ids(&self) -> BTreeSet<String> {
        let notices = self.notices.lock().unwrap().clone();
        let id = |line: &str| {
            let notice: Value = serde_json::from_str(line).unwrap();
            notice["id"].as_str().unwrap().to_owned()
        };
        notices.lines().map(id).collect()
    }
}

/// Acknowledges notices and never responds to watches, so that the list in the configuration stays in effect.
fn handle_as_platform(state: &StubState, request: &Request, stream: &mut TcpStream) -> Connection {
    if request.line.starts_with("GET") {
        return Connection::Keep;
    }
    state.notices.lock().unwrap().push_str(&format!("{}\n", request.body.trim_end()));
    Connection::keep_if_written(stream.write_all(NO_CONTENT_RESPONSE))
}

fn handle_as_endpoint(state: &StubState, request: &Request, stream: &mut TcpStream) -> Connection {
    let completed = state.has_behaviour(EndpointBehaviour::Completes);
    let attempt = ReceivedAttempt { id: request.id.clone(), at: Instant::now(), completed };
    state.attempts.lock().unwrap().push(attempt);
    if completed {
        return Connection::keep_if_written(stream.write_all(OK_RESPONSE));
    }
    match state.has_behaviour(EndpointBehaviour::ClosesConnection) {
        true => Connection::Close,
        false => Connection::Keep,
    }
}

/// Addresses of the running stubs, with their shared state.
struct Stubs {
    state: StubState,
    platform: SocketAddr,
    endpoint: SocketAddr,
}

impl Stubs {
    fn start(behaviour: EndpointBehaviour) -> Stubs {
        let state = StubState::default();
        state.set_behaviour(behaviour);
        let platform = start_stub(&state, handle_as_platform);
        let endpoint = start_stub(&state, handle_as_endpoint);
        Stubs { state, platform, endpoint }
    }
}

fn settings() -> Value {
    let with_key = |name: &str, window: Duration, scope: &str| {
        let mut class = message_class(name, "deduplicated");
        class["windowUs"] = json!(window.as_micros() as u64);
        class["dedupScope"] = json!(scope);
        class
    };
    json!({
        "balancers": FORWARDERS, "az": "a", "kinds": ["partner"], "weights": "rough",
        "classes": [
            message_class("update", "idempotent"),
            message_class("booking", "at_most_once"),
            with_key("short", SHORT_WINDOW, "all"),
            with_key("short-in-zone", SHORT_WINDOW, "zone"),
            with_key("long", LONG_WINDOW, "all"),
        ],
        "familyInfo": {"maxCalls": 8, "batchByKind": [1], "kindApart": [false]},
        "policyLimits": {"attemptsCap": 1000, "openCap": 1000, "mayDuplicate": false, "connIdleUs": 60_000_000},
    })
}

/// Folder with the configuration and the write-ahead log of one forwarder, kept across its processes.
struct ForwarderFolder(TempFolder);

impl ForwarderFolder {
    fn new(stubs: &Stubs) -> ForwarderFolder {
        let folder = ForwarderFolder(TempFolder::new("restarts"));
        let endpoint = |destination: u64| {
            let mut entry = list_entry(&format!("t{destination}"), stubs.endpoint, destination);
            entry["weight"] = json!(2000.0);
            entry
        };
        let endpoints: Vec<_> = (0..DESTINATIONS).map(endpoint).collect();
        let config = json!({
            "listen": "127.0.0.1:0", "discovery": stubs.platform.to_string(), "seed": "1f",
            "limits": {"memory_mb": 48, "sockets": 256, "disk_mb": 3},
            "known": {"generation": 1, "reset": true, "instances": endpoints},
            "settings": settings(),
        });
        std::fs::write(folder.config_file(), config.to_string()).unwrap();
        folder
    }

    fn config_file(&self) -> PathBuf {
        self.0.path().join("configuration.json")
    }

    /// Starts a process and waits until its health check responds with 200.
    fn start(&self) -> ForwarderProcess {
        let started = Instant::now();
        let spawned = serve_command(&self.config_file(), self.0.path()).stderr(Stdio::piped()).spawn();
        let mut process = KillOnDrop(spawned.unwrap());
        let address = logged_address(process.0.stderr.take().unwrap());
        let address = address.recv_timeout(READY_TIMEOUT).expect("the forwarder did not log its address");
        let response = health_check(address);
        let ready_after = started.elapsed();
        assert!(response.starts_with("HTTP/1.1 200 "), "response to the health check: {response}");
        assert!(ready_after < READY_TIMEOUT, "ready after {ready_after:?}");
        ForwarderProcess { process, address, ready_after }
    }

    /// Returns the number of messages that are pending in the write-ahead log.
    fn pending_count(&self) -> usize {
        inspect(self.0.path()).unwrap().index.counts().messages
    }

    /// Waits until no message is pending and all notices are acknowledged.
    fn wait_until_all_finished(&self) {
        let finished = || inspect(self.0.path()).unwrap().index.counts().is_empty().then_some(());
        wait_for("all messages to finish", finished);
    }
}

/// Reads a log in a thread until its end, and sends the listening address found in it.
fn logged_address(log: ChildStderr) -> Receiver<SocketAddr> {
    let (sender, address) = channel();
    spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            listening_address(&line).map(|address| sender.send(address));
        }
    });
    address
}

struct ForwarderProcess {
    process: KillOnDrop,
    address: SocketAddr,
    /// Time from the start of the process to the response of the health check.
    ready_after: Duration,
}

impl ForwarderProcess {
    /// Kills the process with SIGKILL.
    fn kill(self) {
        drop(self.process);
    }

    /// Submits messages on one connection, with the destinations in turn, and checks that each is accepted.
    fn submit(&self, messages: &[(String, &str)]) {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(READY_TIMEOUT)).unwrap();
        let mut responses = BufReader::new(stream.try_clone().unwrap());
        for ((id, class), destination) in messages.iter().zip((0..DESTINATIONS).cycle()) {
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
                 X-Budget: 15\r\nX-Route-To: dest={destination}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).unwrap();
            let mut response = String::new();
            while !response.ends_with("\r\n\r\n") {
                assert!(responses.read_line(&mut response).unwrap() > 0, "no response for {id}: {response}");
            }
            assert!(response.starts_with("HTTP/1.1 202 "), "{id}: {response}");
        }
    }
}

/// Returns id and class of each message that this forwarder receives.
fn messages_of(forwarder: usize) -> Vec<(String, &'static str)> {
    let classes = ["update", "booking", "long"];
    let message = |n: usize| (format!("{}-{forwarder}-{n}", classes[n % 3]), classes[n % 3]);
    (0..MESSAGES_PER_FORWARDER).map(message).collect()
}

#[test]
fn killed_forwarders_restart_in_time_and_finish_pending_messages() {
    let stubs = Stubs::start(EndpointBehaviour::NeverResponds);
    let folders: Vec<ForwarderFolder> = (0..FORWARDERS).map(|_| ForwarderFolder::new(&stubs)).collect();
    std::thread::scope(|scope| {
        for (number, folder) in folders.iter().enumerate() {
            scope.spawn(move || {
                let forwarder = folder.start();
                forwarder.submit(&messages_of(number));
                forwarder.kill();
            });
        }
    });
    let pending: Vec<usize> = folders.iter().map(ForwarderFolder::pending_count).collect();
    assert!(
        pending.iter().all(|pending| *pending >= MIN_PENDING),
        "pending messages by forwarder: {pending:?}"
    );
    stubs.state.set_behaviour(EndpointBehaviour::Completes);
    let restarted: Vec<ForwarderProcess> = std::thread::scope(|scope| {
        let starts: Vec<_> = folders.iter().map(|folder| scope.spawn(|| folder.start())).collect();
        starts.into_iter().map(|start| start.join().unwrap()).collect()
    });
    let ready_times: Vec<Duration> = restarted.iter().map(|forwarder| forwarder.ready_after).collect();
    println!("pending {pending:?}; ready after {ready_times:?}");
    folders.iter().for_each(ForwarderFolder::wait_until_all_finished);
    let (attempts, notified) = (stubs.state.attempts(), stubs.state.notified_ids());
    let completed = attempts.iter().filter(|attempt| attempt.completed);
    let delivered: BTreeSet<&str> = completed.map(|attempt| attempt.id.as_str()).collect();
    let attempt_count = |id: &str| attempts.iter().filter(|attempt| attempt.id == id).count();
    for (id, class) in (0..FORWARDERS).flat_map(messages_of) {
        assert!(delivered.contains(&*id) || notified.contains(&id), "{id} has no final answer");
        let count = attempt_count(&id);
        assert!(class != "booking" || count <= 1, "{id} was sent {count} times");
    }
}

#[test]
fn attempt_in_flight_at_kill_is_not_retried_after_idempotency_key_expires() {
    let stubs = Stubs::start(EndpointBehaviour::NeverResponds);
    let folder = ForwarderFolder::new(&stubs);
    let forwarder = folder.start();
    let messages = ["short", "short-in-zone", "long"].map(|name| (name.to_owned(), name));
    forwarder.submit(&messages);
    wait_for("an attempt of each message", || (stubs.state.attempts().len() == messages.len()).then_some(()));
    forwarder.kill();
    // The restart waits until the short window, which starts at an attempt, has ended for every attempt.
    let last_attempt = stubs.state.attempts().iter().map(|attempt| attempt.at).max().unwrap();
    sleep((last_attempt + SHORT_WINDOW).saturating_duration_since(Instant::now()));
    stubs.state.set_behaviour(EndpointBehaviour::Completes);
    let _forwarder = folder.start();
    folder.wait_until_all_finished();
    let short = ["short", "short-in-zone"];
    assert_eq!(stubs.state.notified_ids(), short.map(str::to_owned).into());
    for id in short {
        assert_eq!(stubs.state.attempts_of(id).len(), 1, "attempts of {id}");
    }
    let long = stubs.state.attempts_of("long");
    assert_eq!(long.len(), 2, "attempts of the message with the long window, expected one retry");
    assert!(long[1].completed);
}

/// Submits a message whose attempts all fail by a closed connection, and kills the forwarder after the first
/// attempt and after each retry, at most `max_kills` times. Returns the time of each attempt since the first.
fn attempt_times_with_kills(
    folder: &ForwarderFolder,
    stubs: &Stubs,
    class: &str,
    max_kills: usize,
) -> Vec<Duration> {
    let state = &stubs.state;
    let id = format!("{class}-{max_kills}");
    let mut forwarder = folder.start();
    forwarder.submit(&[(id.clone(), class)]);
    let first_attempt = wait_for("the first attempt", || state.attempts_of(&id).first().cloned()).at;
    // The observation lasts longer than the window, so that a late retry is detected.
    let may_retry = || first_attempt.elapsed() < 3 * SHORT_WINDOW && !state.notified_ids().contains(&id);
    let mut kills = 0;
    while kills < max_kills && may_retry() {
        forwarder.kill();
        kills += 1;
        let before = state.attempts_of(&id).len();
        forwarder = folder.start();
        while may_retry() && state.attempts_of(&id).len() == before {
            sleep(POLL_INTERVAL);
        }
    }
    wait_for("the notice", || state.notified_ids().contains(&id).then_some(()));
    folder.wait_until_all_finished();
    let elapsed: Vec<Duration> =
        state.attempts_of(&id).iter().map(|attempt| attempt.at - first_attempt).collect();
    println!(
        "{id}: {} attempts, {kills} kills, the last attempt after {:?}",
        elapsed.len(),
        elapsed.iter().max()
    );
    forwarder.kill();
    elapsed
}

/// Guards against a restart that extends the window of an idempotency key, which starts at the first attempt.
#[test]
fn no_retry_after_idempotency_key_expires_despite_repeated_restarts() {
    let stubs = Stubs::start(EndpointBehaviour::ClosesConnection);
    let folder = ForwarderFolder::new(&stubs);
    for (class, max_kills) in
        [("short", 1), ("short", UNLIMITED_KILLS), ("short-in-zone", 1), ("short-in-zone", UNLIMITED_KILLS)]
    {
        let attempt_times = attempt_times_with_kills(&folder, &stubs, class, max_kills);
        assert!(
            attempt_times.iter().all(|time| *time <= SHORT_WINDOW + TOLERANCE),
            "retry after the window: {attempt_times:?}"
        );
    }
}
