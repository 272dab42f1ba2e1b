//! The program killed with messages pending in its write-ahead log, and started again.

#[path = "support/configuration.rs"]
mod configuration;
#[path = "support/health.rs"]
mod health;
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
use health::{health_check, listening_address};
use process::{serve_command, KillOnDrop};
use reeddock_wal::inspect;
use serde_json::{json, Value};
use stub_server::{start_stub, Connection, Request, NO_CONTENT_RESPONSE, OK_RESPONSE};
use temp_folder::TempFolder;
use wait::{wait_for, POLL_INTERVAL};

/// Each has an endpoint of its own at the one stub, so that a request to one does not keep those to others waiting.
const DESTINATIONS: u64 = 3;
/// From the start of a process until it may be used. It takes some hundredths; a busy machine is not to decide.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// The idempotency keys of a class with a short window are valid for so long: retries begin within it.
const SHORT_WINDOW: Duration = Duration::from_secs(1);
const LONG_WINDOW: Duration = Duration::from_secs(60);
/// Every time limit on sockets is that much longer; and what the endpoint's thread may take to look at its clock
/// on a busy machine.
const TOLERANCE: Duration = Duration::from_millis(50 + 150);
const FORWARDERS: usize = 10;
const MESSAGES_OF_EACH: usize = 300;
/// Some of them may have finished as their attempts timed out, on a busy machine.
const PENDING_AT_LEAST: usize = MESSAGES_OF_EACH / 2;
/// More than fit into a window.
const MANY_KILLS: usize = 1000;

/// What the endpoint does with a request, once it has recorded it.
#[derive(Clone, Copy)]
enum EndpointBehaviour {
    NeverResponds,
    Completes,
    /// Closes the connection, so that the attempt was possibly executed.
    ClosesConnection,
}

#[derive(Clone)]
struct ReceivedAttempt {
    id: String,
    at: Instant,
    completed: bool,
}

/// What the stubs of the platform and of the one endpoint share. Both outlive the processes of a test.
#[derive(Clone, Default)]
struct StubState {
    behaviour: Arc<AtomicU8>,
    attempts: Arc<Mutex<Vec<ReceivedAttempt>>>,
    notices: Arc<Mutex<String>>,
}

impl StubState {
    fn set(&self, behaviour: EndpointBehaviour) {
        self.behaviour.store(behaviour as u8, Ordering::SeqCst);
    }

    fn is(&self, behaviour: EndpointBehaviour) -> bool {
        self.behaviour.load(Ordering::SeqCst) == behaviour as u8
    }

    fn attempts(&self) -> Vec<ReceivedAttempt> {
        self.attempts.lock().unwrap().clone()
    }

    fn attempts_of(&self, id: &str) -> Vec<ReceivedAttempt> {
        self.attempts().into_iter().filter(|attempt| attempt.id == id).collect()
    }

    /// Ids of the messages for which a notice came.
    fn notified_ids(&self) -> BTreeSet<String> {
        let notices = self.notices.lock().unwrap().clone();
        let id = |line: &str| {
            let notice: Value = serde_json::from_str(line).unwrap();
            notice["id"].as_str().unwrap().to_owned()
        };
        notices.lines().map(id).collect()
    }
}

/// Acknowledges notices, and never responds to watches: the list in the configuration stays in force.
fn handle_as_platform(state: &StubState, request: &Request, stream: &mut TcpStream) -> Connection {
    if request.line.starts_with("GET") {
        return Connection::Keep;
    }
    state.notices.lock().unwrap().push_str(&format!("{}\n", request.body.trim_end()));
    Connection::keep_if_written(stream.write_all(NO_CONTENT_RESPONSE))
}

fn handle_as_endpoint(state: &StubState, request: &Request, stream: &mut TcpStream) -> Connection {
    let completed = state.is(EndpointBehaviour::Completes);
    let attempt = ReceivedAttempt { id: request.id.clone(), at: Instant::now(), completed };
    state.attempts.lock().unwrap().push(attempt);
    if completed {
        return Connection::keep_if_written(stream.write_all(OK_RESPONSE));
    }
    match state.is(EndpointBehaviour::ClosesConnection) {
        true => Connection::Close,
        false => Connection::Keep,
    }
}

/// The platform and the endpoint, with the state that they share.
struct Stubs {
    state: StubState,
    platform: SocketAddr,
    endpoint: SocketAddr,
}

impl Stubs {
    fn start(behaviour: EndpointBehaviour) -> Stubs {
        let state = StubState::default();
        state.set(behaviour);
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

/// The folder of one forwarder: its configuration and its write-ahead log. It outlasts the processes.
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

    /// Starts a process, and returns once its health check has answered 200.
    fn start(&self) -> ForwarderProcess {
        let started = Instant::now();
        let spawned = serve_command(&self.config_file(), self.0.path()).stderr(Stdio::piped()).spawn();
        let mut process = KillOnDrop(spawned.unwrap());
        let address = logged_address(process.0.stderr.take().unwrap());
        let address = address.recv_timeout(READY_WITHIN).expect("it logs where it listens");
        let response = health_check(address);
        let ready_after = started.elapsed();
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert!(ready_after < READY_WITHIN, "ready after {ready_after:?}");
        ForwarderProcess { process, address, ready_after }
    }

    /// How many messages are pending in its write-ahead log.
    fn pending(&self) -> usize {
        inspect(self.0.path()).unwrap().index.counts().messages
    }

    /// Until no message is pending, and no notice unacknowledged.
    fn wait_until_all_finished(&self) {
        let finished = || inspect(self.0.path()).unwrap().index.counts().is_empty().then_some(());
        wait_for("that nothing is pending", finished);
    }
}

/// Reads a log to its end, and sends the address in it.
fn logged_address(log: ChildStderr) -> Receiver<SocketAddr> {
    let (sender, address) = channel();
    spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            listening_address(&line).map(|address| sender.send(address));
        }
    });
    address
}

/// One process of a forwarder.
struct ForwarderProcess {
    process: KillOnDrop,
    address: SocketAddr,
    /// From its start until its health check answered.
    ready_after: Duration,
}

impl ForwarderProcess {
    /// With SIGKILL.
    fn kill(self) {
        drop(self.process);
    }

    /// Submits messages on one connection, to each destination in turn; all are accepted.
    fn submit(&self, messages: &[(String, &str)]) {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(READY_WITHIN)).unwrap();
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

/// The messages that the forwarder of this number gets, each with its class.
fn messages_of(forwarder: usize) -> Vec<(String, &'static str)> {
    let classes = ["update", "booking", "long"];
    let message = |n: usize| (format!("{}-{forwarder}-{n}", classes[n % 3]), classes[n % 3]);
    (0..MESSAGES_OF_EACH).map(message).collect()
}

/// All of them killed right after the last 202, and started again at once.
#[test]
fn ten_killed_forwarders_are_ready_in_time_and_finish_their_pending_messages() {
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
    let pending: Vec<usize> = folders.iter().map(ForwarderFolder::pending).collect();
    assert!(pending.iter().all(|pending| *pending >= PENDING_AT_LEAST), "{pending:?}");
    stubs.state.set(EndpointBehaviour::Completes);
    let restarted: Vec<ForwarderProcess> = std::thread::scope(|scope| {
        let starts: Vec<_> = folders.iter().map(|folder| scope.spawn(|| folder.start())).collect();
        starts.into_iter().map(|start| start.join().unwrap()).collect()
    });
    let ready: Vec<Duration> = restarted.iter().map(|forwarder| forwarder.ready_after).collect();
    println!("pending {pending:?}; ready after {ready:?}");
    folders.iter().for_each(ForwarderFolder::wait_until_all_finished);
    let (attempts, notified) = (stubs.state.attempts(), stubs.state.notified_ids());
    let completed = attempts.iter().filter(|attempt| attempt.completed);
    let delivered: BTreeSet<&str> = completed.map(|attempt| attempt.id.as_str()).collect();
    let attempt_count = |id: &str| attempts.iter().filter(|attempt| attempt.id == id).count();
    for (id, class) in (0..FORWARDERS).flat_map(messages_of) {
        assert!(delivered.contains(&*id) || notified.contains(&id), "{id} has no end");
        let count = attempt_count(&id);
        assert!(class != "booking" || count <= 1, "{id} was sent {count} times");
    }
}

#[test]
fn an_attempt_in_flight_at_a_kill_is_not_retried_once_its_idempotency_key_has_expired() {
    let stubs = Stubs::start(EndpointBehaviour::NeverResponds);
    let folder = ForwarderFolder::new(&stubs);
    let forwarder = folder.start();
    let messages = ["short", "short-in-zone", "long"].map(|name| (name.to_owned(), name));
    forwarder.submit(&messages);
    wait_for("all attempts", || (stubs.state.attempts().len() == messages.len()).then_some(()));
    forwarder.kill();
    // The window is over for what was sent last, too.
    let last = stubs.state.attempts().iter().map(|attempt| attempt.at).max().unwrap();
    sleep((last + SHORT_WINDOW).saturating_duration_since(Instant::now()));
    stubs.state.set(EndpointBehaviour::Completes);
    let _forwarder = folder.start();
    folder.wait_until_all_finished();
    let short = ["short", "short-in-zone"];
    assert_eq!(stubs.state.notified_ids(), short.map(str::to_owned).into());
    for id in short {
        assert_eq!(stubs.state.attempts_of(id).len(), 1, "{id}");
    }
    let long = stubs.state.attempts_of("long");
    assert_eq!(long.len(), 2, "its window goes on, and it is retried");
    assert!(long[1].completed);
}

/// Submits a message whose every attempt is reset, and kills the forwarder after the first attempt and after each retry,
/// so many times at most. Returns how long after the first attempt each one came.
fn attempt_times_under_kills(
    folder: &ForwarderFolder,
    stubs: &Stubs,
    class: &str,
    most: usize,
) -> Vec<Duration> {
    let state = &stubs.state;
    let id = format!("{class}-{most}");
    let mut forwarder = folder.start();
    forwarder.submit(&[(id.clone(), class)]);
    let first = wait_for("the first attempt", || state.attempts_of(&id).first().cloned()).at;
    // Were it retried after its window, it would be so until then.
    let may_retry = || first.elapsed() < 3 * SHORT_WINDOW && !state.notified_ids().contains(&id);
    let mut kills = 0;
    while kills < most && may_retry() {
        forwarder.kill();
        kills += 1;
        let before = state.attempts_of(&id).len();
        forwarder = folder.start();
        while may_retry() && state.attempts_of(&id).len() == before {
            sleep(POLL_INTERVAL);
        }
    }
    wait_for("its end", || state.notified_ids().contains(&id).then_some(()));
    folder.wait_until_all_finished();
    let after: Vec<Duration> = state.attempts_of(&id).iter().map(|attempt| attempt.at - first).collect();
    println!("{id}: {} attempts, {kills} kills, the last after {:?}", after.len(), after.iter().max());
    forwarder.kill();
    after
}

/// Killed after the first attempt only, or after each retry too. All attempts are reset, so that retries would go on;
/// the window counts from the first of them.
#[test]
fn however_often_it_restarts_within_a_window_no_retry_comes_after_it() {
    let stubs = Stubs::start(EndpointBehaviour::ClosesConnection);
    let folder = ForwarderFolder::new(&stubs);
    for (class, most_kills) in
        [("short", 1), ("short", MANY_KILLS), ("short-in-zone", 1), ("short-in-zone", MANY_KILLS)]
    {
        let after = attempt_times_under_kills(&folder, &stubs, class, most_kills);
        assert!(after.iter().all(|after| *after <= SHORT_WINDOW + TOLERANCE), "{after:?}");
    }
}
