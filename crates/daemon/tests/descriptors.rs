//! Clients that fill their share of the descriptors while discovery is down.

mod stand_ins;

use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use reeddock_forwarder::limits::{Limits, ResourceLimits, RESERVE};
use serde_json::json;
use stand_ins::{entry, serve, until, Request, PAUSE};

const DESCRIPTORS: usize = 256;
const IDLE_CLIENTS: usize = 400;
/// Of those that come at once; a listener holds no more than 128 that are not accepted.
const AT_ONCE: usize = 100;
/// After discovery is back, its list is known by then.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Each has an endpoint of its own, to which a connection stands idle.
const DESTINATIONS: RangeInclusive<u64> = 3..=42;
const LOG: &str = "log";

/// What the threads of one test share.
#[derive(Clone, Default)]
struct Shared {
    discovery_answers: Arc<AtomicBool>,
    list: Arc<Mutex<String>>,
    /// When the list was told first.
    told: Arc<Mutex<Option<Instant>>>,
    /// Ids of the calls that the endpoint got.
    calls: Arc<Mutex<Vec<String>>>,
    notices: Arc<Mutex<String>>,
}

/// Takes notices always, and answers watches while discovery does. A watch that is not answered stays open.
fn platform(shared: &Shared, request: &Request, stream: &mut TcpStream) -> bool {
    if !request.line.starts_with("GET") {
        shared.notices.lock().unwrap().push_str(&request.body);
        return stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok();
    }
    if !shared.discovery_answers.load(Ordering::SeqCst) {
        return true;
    }
    let line = shared.list.lock().unwrap().clone() + "\n";
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let _ = stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
    shared.told.lock().unwrap().get_or_insert_with(Instant::now);
    while stream.write_all(b"1\r\n\n\r\n").is_ok() {
        sleep(Duration::from_millis(500));
    }
    false
}

/// Breaks under bookings, and completes the rest.
fn endpoint(shared: &Shared, request: &Request, stream: &mut TcpStream) -> bool {
    shared.calls.lock().unwrap().push(request.id.clone());
    !request.id.starts_with("booking")
        && stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").is_ok()
}

/// The program, ended with the test, however that goes.
struct ForwarderProcess {
    child: Child,
    folder: PathBuf,
    address: SocketAddr,
}

impl Drop for ForwarderProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ForwarderProcess {
    /// With no more descriptors than it is told of.
    fn start(discovery: SocketAddr, known: SocketAddr) -> ForwarderProcess {
        let folder = std::env::temp_dir().join(format!("reeddock-descriptors-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        // Free a moment ago, and handed out to nobody else so soon.
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let class = |name: &str, idempotency: &str| json!({"name": name, "effect": idempotency, "onTimeUs": 2000000, "giveUpUs": 20000000});
        let endpoints: Vec<_> = DESTINATIONS.map(|n| entry(&format!("t{n}"), known, n)).collect();
        let configuration = json!({
            "listen": address.to_string(), "discovery": discovery.to_string(), "seed": "1f",
            "limits": {"memory_mb": 48, "sockets": DESCRIPTORS, "disk_mb": 3},
            "known": {"generation": 1, "reset": true, "instances": endpoints},
            "settings": {
                "balancers": 1, "az": "a", "kinds": ["partner"], "weights": "rough",
                "classes": [class("update", "idempotent"), class("booking", "at_most_once")],
                "familyInfo": {"maxCalls": 8, "batchByKind": [1], "kindApart": [false]},
                "policyLimits": {"attemptsCap": 12, "openCap": 100, "mayDuplicate": false, "connIdleUs": 60000000},
            },
        });
        let file = folder.join("configuration.json");
        std::fs::write(&file, configuration.to_string()).unwrap();
        let child = Command::new("sh")
            .args([
                "-c",
                &format!("ulimit -n {DESCRIPTORS} && exec \"$0\" \"$@\""),
                env!("CARGO_BIN_EXE_reeddock"),
            ])
            .args(["serve".as_ref(), "--config".as_ref(), file.as_os_str()])
            .args(["--state".as_ref(), folder.as_os_str()])
            .stdout(Stdio::null())
            .stderr(File::create(folder.join(LOG)).unwrap())
            .spawn()
            .unwrap();
        let forwarder = ForwarderProcess { child, folder, address };
        until("it listens", || TcpStream::connect(address).ok());
        forwarder
    }

    fn signal(&self, signal: &str) {
        let told = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(told.unwrap().success());
    }

    fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Hands a message in until it is accepted: in a crowd a connection may be closed unread.
    fn submit(&self, id: &str, class: &str, destination: u64) {
        let mut tries = 0;
        until(id, || {
            tries += 1;
            let mut stream = TcpStream::connect(self.address).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}-{tries}\r\nX-Call-Class: {class}\r\n\
                 X-Budget: 15\r\nX-Route-To: dest={destination}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).ok()?;
            let mut first_line = String::new();
            BufReader::new(stream).read_line(&mut first_line).ok()?;
            first_line.contains(" 202 ").then_some(())
        });
    }
}

/// Clients of which each third says nothing, sends half a request, and asks once and stays.
struct Crowd {
    at: SocketAddr,
    clients: Vec<TcpStream>,
}

impl Crowd {
    fn come(at: SocketAddr) -> Crowd {
        Crowd { at, clients: (0..IDLE_CLIENTS).map(|number| Crowd::client(at, number)).collect() }
    }

    /// More of them, all there before the first is accepted.
    fn come_at_once(&mut self, forwarder: &ForwarderProcess) {
        forwarder.signal("-STOP");
        let first = self.clients.len();
        self.clients.extend((first..first + AT_ONCE).map(|number| Crowd::client(self.at, number)));
        forwarder.signal("-CONT");
    }

    fn client(at: SocketAddr, number: usize) -> TcpStream {
        let said = ["", "POST /api HTTP/1.1\r\nX-Ca", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"];
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(5)).unwrap();
        let _ = stream.write_all(said[number % said.len()].as_bytes());
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// Whoever is closed comes again at once.
    fn stay(mut self, goes_on: &AtomicBool) {
        while goes_on.load(Ordering::SeqCst) {
            for (number, client) in self.clients.iter_mut().enumerate() {
                let over = match client.read(&mut [0; 1024]) {
                    Ok(read) => read == 0,
                    Err(fault) => fault.kind() != ErrorKind::WouldBlock,
                };
                if over {
                    *client = Crowd::client(self.at, number);
                }
            }
            sleep(PAUSE);
        }
    }
}

#[test]
fn clients_that_fill_the_descriptors_keep_neither_list_nor_notices_nor_calls_away() {
    let shared = Shared::default();
    let platform = serve(&shared, platform);
    let endpoint = serve(&shared, endpoint);
    let forwarder = ForwarderProcess::start(platform, endpoint);
    for destination in DESTINATIONS {
        let id = format!("update-{destination}");
        forwarder.submit(&id, "update", destination);
    }
    let all_called = || (shared.calls.lock().unwrap().len() >= DESTINATIONS.count()).then_some(());
    until("a connection to each target", all_called);
    let mut crowd = Crowd::come(forwarder.address);
    // Those that came before it have been accepted.
    forwarder.submit("update-last-in-line", "update", *DESTINATIONS.start());
    crowd.come_at_once(&forwarder);
    let goes_on = AtomicBool::new(true);
    let most_open = std::thread::scope(|scope| {
        scope.spawn(|| crowd.stay(&goes_on));
        // However this ends, the crowd goes home.
        let day = AssertUnwindSafe(|| crowded_day(&forwarder, &shared, endpoint));
        let ended = catch_unwind(day);
        goes_on.store(false, Ordering::SeqCst);
        ended
    });
    let most_open = most_open.unwrap_or_else(|fault| resume_unwind(fault));
    assert!(most_open <= DESCRIPTORS - RESERVE.margin, "{most_open} descriptors");
    let log = std::fs::read_to_string(forwarder.folder.join(LOG)).unwrap();
    assert!(!log.contains("no descriptor"), "{log}");
}

/// What has to go on among the crowd; says how many descriptors were seen open at most.
fn crowded_day(forwarder: &ForwarderProcess, shared: &Shared, endpoint: SocketAddr) -> usize {
    let allowance =
        ResourceLimits { memory_bytes: 48_000_000, descriptors: DESCRIPTORS, disk_bytes: 3_000_000 };
    let filled = Limits::derive(allowance).clients;
    until("the places for clients are filled", || (forwarder.open_descriptors() >= filled).then_some(()));
    let mut most_open = forwarder.open_descriptors();
    let mut called = |id: &str| {
        until(id, || {
            most_open = most_open.max(forwarder.open_descriptors());
            shared.calls.lock().unwrap().iter().any(|call| call.starts_with(id)).then_some(())
        });
    };
    forwarder.submit("update-while-down", "update", 3);
    called("update-while-down");
    forwarder.submit("booking-while-down", "booking", 3);
    called("booking-while-down");
    until("a notice", || shared.notices.lock().unwrap().contains("booking-while-down").then_some(()));
    assert!(shared.told.lock().unwrap().is_none(), "discovery is down until now");
    let list = json!({"generation": 2, "reset": false, "instances": [entry("new", endpoint, 99)]});
    *shared.list.lock().unwrap() = list.to_string();
    let back = Instant::now();
    shared.discovery_answers.store(true, Ordering::SeqCst);
    let told = until("a watch", || *shared.told.lock().unwrap());
    assert!(told - back < TOLD_AFTER, "{:?}", told - back);
    forwarder.submit("update-after-it", "update", 99);
    called("update-after-it");
    most_open
}
