//! Clients that use up their share of the descriptors while discovery is down.

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
/// Of those that connect at once; a listener holds no more than 128 that are not accepted.
const AT_ONCE: usize = 100;
/// Once discovery responds again, its list is received within this time.
const LIST_WITHIN: Duration = Duration::from_secs(6);
/// Each has an endpoint of its own, to which a connection stands idle.
const DESTINATIONS: RangeInclusive<u64> = 3..=42;
const LOG: &str = "log";

/// What the stubs of one test share.
#[derive(Clone, Default)]
struct StubState {
    discovery_responds: Arc<AtomicBool>,
    list: Arc<Mutex<String>>,
    /// When the list was first sent.
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

/// Acknowledges notices always, and responds to watches while discovery does. A watch without a response stays open.
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

/// Closes the connection under bookings, and completes the rest.
fn handle_as_endpoint(state: &StubState, request: &Request, stream: &mut TcpStream) -> Connection {
    state.received_ids.lock().unwrap().push(request.id.clone());
    if request.id.starts_with("booking") {
        return Connection::Close;
    }
    Connection::keep_if_written(stream.write_all(OK_RESPONSE))
}

/// The configuration of a forwarder whose endpoints are all at one address.
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

/// This command under the system's limit of [`DESCRIPTORS`].
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
    /// With no more descriptors than its configuration says.
    fn start(discovery: SocketAddr, endpoint: SocketAddr) -> ForwarderProcess {
        let folder = TempFolder::new("descriptors");
        // Free a moment ago, and given to nobody else so soon.
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let file = folder.path().join("configuration.json");
        std::fs::write(&file, config(address, discovery, endpoint).to_string()).unwrap();
        let log = File::create(folder.path().join(LOG)).unwrap();
        let spawned = with_descriptor_limit(&serve_command(&file, folder.path()))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let forwarder = ForwarderProcess { process: KillOnDrop(spawned.unwrap()), folder, address };
        wait_for("that it listens", || TcpStream::connect(address).ok());
        forwarder
    }

    fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.0.id())).map_or(0, Iterator::count)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join(LOG)).unwrap()
    }

    /// Submits a message until it is accepted: in a crowd a connection may be closed unread.
    fn submit(&self, id: &str, class: &str, destination: u64) {
        let mut tries = 0;
        wait_for(id, || {
            tries += 1;
            let mut stream = TcpStream::connect(self.address).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}-{tries}\r\nX-Call-Class: {class}\r\n\
                 X-Budget: 15\r\nX-Route-To: dest={destination}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).ok()?;
            let mut status_line = String::new();
            BufReader::new(stream).read_line(&mut status_line).ok()?;
            status_line.contains(" 202 ").then_some(())
        });
    }
}

/// Clients of which each third sends nothing, a part of a request, and one request after which it stays.
struct Crowd {
    address: SocketAddr,
    clients: Vec<TcpStream>,
}

impl Crowd {
    fn connect(address: SocketAddr) -> Crowd {
        Crowd { address, clients: (0..IDLE_CLIENTS).map(|n| Crowd::client(address, n)).collect() }
    }

    /// More of them, all connected before the first is accepted.
    fn connect_more_at_once(&mut self, forwarder: &ForwarderProcess) {
        send_signal(&forwarder.process.0, "-STOP");
        let first = self.clients.len();
        self.clients.extend((first..first + AT_ONCE).map(|number| Crowd::client(self.address, number)));
        send_signal(&forwarder.process.0, "-CONT");
    }

    fn client(address: SocketAddr, number: usize) -> TcpStream {
        let texts = ["", "POST /api HTTP/1.1\r\nX-Ca", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"];
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5)).unwrap();
        let _ = stream.write_all(texts[number % texts.len()].as_bytes());
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// Each client that is closed connects again at once.
    fn stay(mut self, goes_on: &AtomicBool) {
        while goes_on.load(Ordering::SeqCst) {
            for (number, client) in self.clients.iter_mut().enumerate() {
                let closed = match client.read(&mut [0; 1024]) {
                    Ok(read) => read == 0,
                    Err(fault) => fault.kind() != ErrorKind::WouldBlock,
                };
                if closed {
                    *client = Crowd::client(self.address, number);
                }
            }
            sleep(POLL_INTERVAL);
        }
    }
}

#[test]
fn clients_that_use_up_the_descriptors_stop_neither_list_nor_notices_nor_requests() {
    let state = StubState::default();
    let platform = start_stub(&state, handle_as_platform);
    let endpoint = start_stub(&state, handle_as_endpoint);
    let forwarder = ForwarderProcess::start(platform, endpoint);
    for destination in DESTINATIONS {
        forwarder.submit(&format!("update-{destination}"), "update", destination);
    }
    let all_received = || (state.received_ids.lock().unwrap().len() >= DESTINATIONS.count()).then_some(());
    wait_for("a connection to each endpoint", all_received);
    let mut crowd = Crowd::connect(forwarder.address);
    // Those that connected before it have been accepted.
    forwarder.submit("update-last-in-line", "update", *DESTINATIONS.start());
    crowd.connect_more_at_once(&forwarder);
    let goes_on = AtomicBool::new(true);
    let most_open = std::thread::scope(|scope| {
        scope.spawn(|| crowd.stay(&goes_on));
        // However this ends, the crowd disconnects.
        let result = catch_unwind(AssertUnwindSafe(|| works_among_the_crowd(&forwarder, &state, endpoint)));
        goes_on.store(false, Ordering::SeqCst);
        result
    });
    let most_open = most_open.unwrap_or_else(|fault| resume_unwind(fault));
    assert!(most_open <= DESCRIPTORS - DESCRIPTOR_RESERVE.margin, "{most_open} descriptors");
    let log = forwarder.log();
    assert!(!log.contains("no descriptor"), "{log}");
}

/// What has to go on among the crowd; returns how many descriptors were seen open at most.
fn works_among_the_crowd(forwarder: &ForwarderProcess, state: &StubState, endpoint: SocketAddr) -> usize {
    let resources =
        ResourceLimits { memory_bytes: 48_000_000, descriptors: DESCRIPTORS, disk_bytes: 3_000_000 };
    let filled = Limits::derive(resources).served_clients;
    let is_filled = || (forwarder.open_descriptors() >= filled).then_some(());
    wait_for("that the places for clients are filled", is_filled);
    let mut most_open = forwarder.open_descriptors();
    let mut wait_until_received = |id: &str| {
        wait_for(id, || {
            most_open = most_open.max(forwarder.open_descriptors());
            state.has_received(id).then_some(())
        });
    };
    forwarder.submit("update-while-down", "update", 3);
    wait_until_received("update-while-down");
    forwarder.submit("booking-while-down", "booking", 3);
    wait_until_received("booking-while-down");
    let notified = || state.notices.lock().unwrap().contains("booking-while-down").then_some(());
    wait_for("a notice", notified);
    assert!(state.list_sent_at.lock().unwrap().is_none(), "discovery is down until now");
    let new = list_entry("new", endpoint, 99);
    *state.list.lock().unwrap() = json!({"generation": 2, "reset": false, "instances": [new]}).to_string();
    let recovered = Instant::now();
    state.discovery_responds.store(true, Ordering::SeqCst);
    let sent_at = wait_for("a watch", || *state.list_sent_at.lock().unwrap());
    assert!(sent_at - recovered < LIST_WITHIN, "{:?}", sent_at - recovered);
    forwarder.submit("update-after-it", "update", 99);
    wait_until_received("update-after-it");
    most_open
}
