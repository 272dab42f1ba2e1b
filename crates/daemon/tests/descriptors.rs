//! A forwarder whose clients use up their share of the descriptors while discovery is down.

#[path = "support/configuration.rs"]
mod configuration;
#[path = "support/process.rs"]
mod process;
#[path = "support/signal.rs"]
mod signal;
#[path = "support/stub_server.rs"]
mod stub_server;
#[path = "support/temp_folder.rs"]
mod temp_folder;
#[path = "support/wait.rs"]
mod wait;

use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use configuration::{list_entry, message_class};
use process::{serve_command, KillOnDrop};
use reeddock_forwarder::limits::{Limits, ResourceLimits, DESCRIPTOR_RESERVE};
use serde_json::{json, Value};
use signal::send_signal;
use stub_server::{start_stub, Connection, Request, NO_CONTENT_RESPONSE, OK_RESPONSE};
use temp_folder::TempFolder;
use wait::{wait_for, POLL_INTERVAL};

const DESCRIPTORS: usize = 256;
const IDLE_CLIENTS: usize = 400;
/// Number of clients that connect at the same time; less than the 128 connections of the listener's backlog.
const SIMULTANEOUS_CLIENTS: usize = 100;
/// Maximum time from the recovery of discovery until the list is sent.
const LIST_TIMEOUT: Duration = Duration::from_secs(6);
/// Ids of the destinations. Each has one endpoint, to which the forwarder keeps an idle connection.
const DESTINATIONS: RangeInclusive<u64> = 3..=42;
const LOG_FILE: &str = "log";

/// State shared by the stubs of one test.
#[derive(Clone, Default)]
struct StubState {
    discovery_responds: Arc<AtomicBool>,
    list: Arc<Mutex<String>>,
    /// Time at which the list was first sent; `None` until then.
    list_sent_at: Arc<Mutex<Option<Instant>>>,
    /// Ids of the messages that the endpoint received.
    received_ids: Arc<Mutex<Vec<String>>>,
    notices: Arc<Mutex<String>>,
}

impl StubState {
    fn has_received(&self, id_prefix: &str) -> bool {
        self.received_ids.lock().unwrap().iter().any(|id| id.starts_with(id_prefix))
    }
}

/// Acknowledges all notices. Responds to a watch if discovery is up, and keeps it open without a response
/// otherwise.
fn handle_as_platform(state: &StubState, request: &Request, stream: &mut TcpStream) -> Connection {
    if !request.line.starts_with("GET") {
        state.notices.lock().unwrap().push_str(&request.body);
        return Connection::keep_if_written(stream.write_all(NO_CONTENT_RESPONSE));
    }
    if !state.discovery_responds.load(Ordering::SeqCst) {
        return Connection::Keep;
    }
    let line = state.list.lock().unwrap().clone() + "\n";
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let _ = stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
    state.list_sent_at.lock().unwrap().get_or_insert_with(Instant::now);
    while stream.write_all(b"1\r\n\n\r\n").is_ok() {
        sleep(Duration::from_millis(500));
    }
    Connection::Close
}

/// Closes the connection on a booking, and responds with 200 to other messages.
fn handle_as_endpoint(state: &StubState, request: &Request, stream: &mut TcpStream) -> Connection {
    state.received_ids.lock().unwrap().push(request.id.clone());
    if request.id.starts_with("booking") {
        return Connection::Close;
    }
    Connection::keep_if_written(stream.write_all(OK_RESPONSE))
}

/// Returns the configuration of a forwarder whose endpoints all have the same address.
fn config(listen: SocketAddr, discovery: SocketAddr, endpoint: SocketAddr) -> Value {
    let endpoints: Vec<_> = DESTINATIONS.map(|n| list_entry(&format!("t{n}"), endpoint, n)).collect();
    json!({
        "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "1f",
        "limits": {"memory_mb": 48, "sockets": DESCRIPTORS, "disk_mb": 3},
        "known": {"generation": 1, "reset": true, "instances": endpoints},
        "settings": {
            "balancers": 1, "az": "a", "kinds": ["partner"], "weights": "rough",
            "classes": [message_class("update", "idempotent"), message_class("booking", "at_most_once")],
            "familyInfo": {"maxCalls": 8, "batchByKind": [1], "kindApart": [false]},
            "policyLimits": {"attemptsCap": 12, "openCap": 100, "mayDuplicate": false, "connIdleUs": 60_000_000},
        },
    })
}

/// Returns the command with an operating system limit of [`DESCRIPTORS`].
fn with_descriptor_limit(command: &Command) -> Command {
    let mut limited = Command::new("sh");
    limited.args(["-c", &format!("ulimit -n {DESCRIPTORS} && exec \"$0\" \"$@\"")]);
    limited.arg(command.get_program()).args(command.get_args());
    limited
}

struct ForwarderProcess {
    process: KillOnDrop,
    folder: TempFolder,
    address: SocketAddr,
}

impl ForwarderProcess {
    /// Starts a forwarder whose descriptors are limited to the number in its configuration.
    fn start(discovery: SocketAddr, endpoint: SocketAddr) -> ForwarderProcess {
        let folder = TempFolder::new("descriptors");
        // The port was just released, and is not assigned again immediately.
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let file = folder.path().join("configuration.json");
        std::fs::write(&file, config(address, discovery, endpoint).to_string()).unwrap();
        let log = File::create(folder.path().join(LOG_FILE)).unwrap();
        let spawned = with_descriptor_limit(&serve_command(&file, folder.path()))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let forwarder = ForwarderProcess { process: KillOnDrop(spawned.unwrap()), folder, address };
        wait_for("the forwarder to listen", || TcpStream::connect(address).ok());
        forwarder
    }

    fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.0.id())).map_or(0, Iterator::count)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join(LOG_FILE)).unwrap()
    }

    /// Submits a message until it is accepted, because connections may be closed unread while clients fill
    /// all slots.
    fn submit(&self, id: &str, class: &str, destination: u64) {
        let mut attempts = 0;
        wait_for(id, || {
            attempts += 1;
            let mut stream = TcpStream::connect(self.address).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}-{attempts}\r\nX-Call-Class: {class}\r\n\
                 X-Budget: 15\r\nX-Route-To: dest={destination}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).ok()?;
            let mut status_line = String::new();
            BufReader::new(stream).read_line(&mut status_line).ok()?;
            status_line.contains(" 202 ").then_some(())
        });
    }
}

/// Idle connections. A third of them sends nothing, a third part of a request, and a third one complete
/// request.
struct IdleClients {
    address: SocketAddr,
    clients: Vec<TcpStream>,
}

impl IdleClients {
    fn connect(address: SocketAddr) -> IdleClients {
        IdleClients { address, clients: (0..IDLE_CLIENTS).map(|n| IdleClients::client(address, n)).collect() }
    }

    /// Connects more clients while the forwarder is stopped, so that all connect before the first is
    /// accepted.
    fn connect_more_simultaneously(&mut self, forwarder: &ForwarderProcess) {
        send_signal(&forwarder.process.0, "-STOP");
        let first = self.clients.len();
        self.clients.extend(
            (first..first + SIMULTANEOUS_CLIENTS).map(|number| IdleClients::client(self.address, number)),
        );
        send_signal(&forwarder.process.0, "-CONT");
    }

    fn client(address: SocketAddr, number: usize) -> TcpStream {
        let texts = ["", "POST /api HTTP/1.1\r\nX-Ca", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"];
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5)).unwrap();
        let _ = stream.write_all(texts[number % texts.len()].as_bytes());
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// Reconnects each client that is disconnected, until `is_running` is false.
    fn reconnect_while(mut self, is_running: &AtomicBool) {
        while is_running.load(Ordering::SeqCst) {
            for (number, client) in self.clients.iter_mut().enumerate() {
                let closed = match client.read(&mut [0; 1024]) {
                    Ok(read) => read == 0,
                    Err(error) => error.kind() != ErrorKind::WouldBlock,
                };
                if closed {
                    *client = IdleClients::client(self.address, number);
                }
            }
            sleep(POLL_INTERVAL);
        }
    }
}

#[test]
fn list_notices_and_requests_continue_while_clients_exhaust_descriptors() {
    let state = StubState::default();
    let platform = start_stub(&state, handle_as_platform);
    let endpoint = start_stub(&state, handle_as_endpoint);
    let forwarder = ForwarderProcess::start(platform, endpoint);
    for destination in DESTINATIONS {
        forwarder.submit(&format!("update-{destination}"), "update", destination);
    }
    let all_received = || (state.received_ids.lock().unwrap().len() >= DESTINATIONS.count()).then_some(());
    wait_for("a request to each endpoint", all_received);
    let mut idle_clients = IdleClients::connect(forwarder.address);
    // Connections are accepted in order, so that this response shows that all idle clients are accepted.
    forwarder.submit("update-last-in-line", "update", *DESTINATIONS.start());
    idle_clients.connect_more_simultaneously(&forwarder);
    let is_running = AtomicBool::new(true);
    let max_open = std::thread::scope(|scope| {
        scope.spawn(|| idle_clients.reconnect_while(&is_running));
        // A panic is caught so that the client thread is stopped before the scope waits for it.
        let result =
            catch_unwind(AssertUnwindSafe(|| check_delivery_with_idle_clients(&forwarder, &state, endpoint)));
        is_running.store(false, Ordering::SeqCst);
        result
    });
    let max_open = max_open.unwrap_or_else(|panic| resume_unwind(panic));
    assert!(max_open <= DESCRIPTORS - DESCRIPTOR_RESERVE.margin, "{max_open} descriptors were open");
    let log = forwarder.log();
    assert!(!log.contains("no descriptor"), "the forwarder ran out of descriptors: {log}");
}

/// Checks that messages, notices and the list are processed while clients use all their slots. Returns the
/// maximum number of open descriptors observed.
fn check_delivery_with_idle_clients(
    forwarder: &ForwarderProcess,
    state: &StubState,
    endpoint: SocketAddr,
) -> usize {
    let resources =
        ResourceLimits { memory_bytes: 48_000_000, descriptors: DESCRIPTORS, disk_bytes: 3_000_000 };
    let expected_descriptors = Limits::derive(resources).served_clients;
    let is_filled = || (forwarder.open_descriptors() >= expected_descriptors).then_some(());
    wait_for("the client slots to be filled", is_filled);
    let mut max_open = forwarder.open_descriptors();
    let mut wait_until_received = |id: &str| {
        wait_for(id, || {
            max_open = max_open.max(forwarder.open_descriptors());
            state.has_received(id).then_some(())
        });
    };
    forwarder.submit("update-while-down", "update", 3);
    wait_until_received("update-while-down");
    forwarder.submit("booking-while-down", "booking", 3);
    wait_until_received("booking-while-down");
    let notified = || state.notices.lock().unwrap().contains("booking-while-down").then_some(());
    wait_for("a notice", notified);
    assert!(state.list_sent_at.lock().unwrap().is_none(), "discovery responded while down");
    let new_entry = list_entry("new", endpoint, 99);
    *state.list.lock().unwrap() =
        json!({"generation": 2, "reset": false, "instances": [new_entry]}).to_string();
    let recovered_at = Instant::now();
    state.discovery_responds.store(true, Ordering::SeqCst);
    let sent_at = wait_for("a watch", || *state.list_sent_at.lock().unwrap());
    assert!(
        sent_at - recovered_at < LIST_TIMEOUT,
        "the list was sent {:?} after the recovery of discovery",
        sent_at - recovered_at
    );
    forwarder.submit("update-after-it", "update", 99);
    wait_until_received("update-after-it");
    max_open
}
