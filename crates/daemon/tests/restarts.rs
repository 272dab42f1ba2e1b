//! The real program killed with messages in its ledger, and started again.

mod stand_ins;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use reeddock_wal::inspect;
use serde_json::json;
use stand_ins::{entry, serve, until, Request, PAUSE};

/// Each has an endpoint of its own at the one stand-in, so that a call to one does not keep those to others waiting.
const DESTINATIONS: u64 = 3;
/// From the start of a process until it may be used. It takes some hundredths; a busy machine is not to decide.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Repeats of a class with a short window begin in it.
const SHORT_WINDOW: Duration = Duration::from_secs(1);
const LONG_WINDOW: Duration = Duration::from_secs(60);
/// Every time limit on sockets is that much longer; and what the endpoint's thread may take to look at its clock
/// on a busy machine.
const TOLERANCE: Duration = Duration::from_millis(50 + 150);
const FORWARDERS: usize = 10;
const OWED_BY_EACH: usize = 300;
/// Some of them may have ended as their calls timed out, on a busy machine.
const OWED_AT_LEAST: usize = OWED_BY_EACH / 2;

/// More than fit into a window.
const MANY_KILLS: usize = 1000;

/// What the endpoint does with a call, once it has been written down.
#[derive(Clone, Copy)]
enum Mood {
    Silent,
    Completes,
    /// Breaks the connection, so that the call may have run.
    Breaks,
}

#[derive(Clone)]
struct CallSeen {
    id: String,
    at: Instant,
    completed: bool,
}

/// The platform and one endpoint, which outlive the processes of a test.
#[derive(Clone, Default)]
struct Shared {
    mood: Arc<AtomicU8>,
    calls: Arc<Mutex<Vec<CallSeen>>>,
    notices: Arc<Mutex<String>>,
}

impl Shared {
    fn set(&self, mood: Mood) {
        self.mood.store(mood as u8, Ordering::SeqCst);
    }

    fn is(&self, mood: Mood) -> bool {
        self.mood.load(Ordering::SeqCst) == mood as u8
    }

    fn calls(&self) -> Vec<CallSeen> {
        self.calls.lock().unwrap().clone()
    }

    fn calls_of(&self, id: &str) -> Vec<CallSeen> {
        self.calls().into_iter().filter(|call| call.id == id).collect()
    }

    /// Ids of the messages that notices have ended.
    fn noticed(&self) -> BTreeSet<String> {
        let notices = self.notices.lock().unwrap().clone();
        let id = |line: &str| {
            let notice: serde_json::Value = serde_json::from_str(line).unwrap();
            notice["id"].as_str().unwrap().to_owned()
        };
        notices.lines().map(id).collect()
    }
}

/// Takes notices, and leaves watches unanswered: the list in the configuration goes on being in force.
fn platform(shared: &Shared, request: &Request, stream: &mut TcpStream) -> bool {
    if request.line.starts_with("GET") {
        return true;
    }
    shared.notices.lock().unwrap().push_str(&format!("{}\n", request.body.trim_end()));
    stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok()
}

fn endpoint(shared: &Shared, request: &Request, stream: &mut TcpStream) -> bool {
    let seen = CallSeen { id: request.id.clone(), at: Instant::now(), completed: shared.is(Mood::Completes) };
    shared.calls.lock().unwrap().push(seen.clone());
    if seen.completed {
        return stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").is_ok();
    }
    !shared.is(Mood::Breaks)
}

/// The folder of one forwarder: its configuration and its ledger. It outlasts the processes.
struct Place {
    folder: PathBuf,
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Place {
    fn new(platform: SocketAddr, endpoint: SocketAddr) -> Place {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("reeddock-restarts-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let class = |name: &str, idempotency: &str| json!({"name": name, "effect": idempotency, "onTimeUs": 2000000, "giveUpUs": 20000000});
        let deduplicated = |name: &str, window: Duration, scope: &str| {
            let mut class = class(name, "deduplicated");
            class["windowUs"] = json!(window.as_micros() as u64);
            class["dedupScope"] = json!(scope);
            class
        };
        let known_target = |destination: u64| {
            let mut known = entry(&format!("t{destination}"), endpoint, destination);
            known["weight"] = json!(2000.0);
            known
        };
        let known: Vec<_> = (0..DESTINATIONS).map(known_target).collect();
        let configuration = json!({
            "listen": "127.0.0.1:0", "discovery": platform.to_string(), "seed": "1f",
            "limits": {"memory_mb": 48, "sockets": 256, "disk_mb": 3},
            "known": {"generation": 1, "reset": true, "instances": known},
            "settings": {
                "balancers": FORWARDERS, "az": "a", "kinds": ["partner"], "weights": "rough",
                "classes": [
                    class("update", "idempotent"),
                    class("booking", "at_most_once"),
                    deduplicated("short", SHORT_WINDOW, "all"),
                    deduplicated("short-in-zone", SHORT_WINDOW, "zone"),
                    deduplicated("long", LONG_WINDOW, "all"),
                ],
                "familyInfo": {"maxCalls": 8, "batchByKind": [1], "kindApart": [false]},
                "policyLimits": {"attemptsCap": 1000, "openCap": 1000, "mayDuplicate": false, "connIdleUs": 60000000},
            },
        });
        std::fs::write(folder.join("configuration.json"), configuration.to_string()).unwrap();
        Place { folder }
    }

    /// Starts a process, and returns once its health check has answered 200.
    fn start(&self) -> ForwarderProcess {
        let started = Instant::now();
        let mut child = Command::new(env!("CARGO_BIN_EXE_reeddock"))
            .args(["serve".as_ref(), "--config".as_ref(), self.folder.join("configuration.json").as_os_str()])
            .args(["--state".as_ref(), self.folder.as_os_str()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let (serving, address) = channel();
        spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let listen = line.split_once("listen=").and_then(|(_, at)| at.trim().parse().ok());
                listen.map(|at: SocketAddr| serving.send(at));
            }
        });
        let mut forwarder =
            ForwarderProcess { child, address: ([127, 0, 0, 1], 0).into(), ready_in: READY_WITHIN };
        forwarder.address = address.recv_timeout(READY_WITHIN).expect("it says where it listens");
        let mut stream = TcpStream::connect(forwarder.address).unwrap();
        stream.set_read_timeout(Some(READY_WITHIN)).unwrap();
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        forwarder.ready_in = started.elapsed();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(forwarder.ready_in < READY_WITHIN, "ready after {:?}", forwarder.ready_in);
        forwarder
    }

    fn owed(&self) -> usize {
        inspect(&self.folder).unwrap().index.counts().messages
    }

    /// Until nothing is owed, and no notice either.
    fn attempt_finished(&self) {
        until("nothing is owed", || inspect(&self.folder).unwrap().index.counts().is_empty().then_some(()));
    }
}

/// One process, ended with the test, however that goes.
struct ForwarderProcess {
    child: Child,
    address: SocketAddr,
    ready_in: Duration,
}

impl Drop for ForwarderProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl ForwarderProcess {
    /// With SIGKILL.
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Hands messages in on one connection, for each destination in turn; each is accepted.
    fn submit(&self, messages: &[(String, &str)]) {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(READY_WITHIN)).unwrap();
        let mut answers = BufReader::new(stream.try_clone().unwrap());
        for ((id, class), destination) in messages.iter().zip((0..DESTINATIONS).cycle()) {
            let request = format!(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
                 X-Budget: 15\r\nX-Route-To: dest={destination}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).unwrap();
            let mut answer = String::new();
            while !answer.ends_with("\r\n\r\n") {
                assert!(answers.read_line(&mut answer).unwrap() > 0, "no answer for {id}: {answer}");
            }
            assert!(answer.starts_with("HTTP/1.1 202 "), "{id}: {answer}");
        }
    }
}

fn with_stand_ins() -> (Shared, SocketAddr, SocketAddr) {
    let shared = Shared::default();
    shared.set(Mood::Silent);
    let (platform, endpoint) = (serve(&shared, platform), serve(&shared, endpoint));
    (shared, platform, endpoint)
}

/// All of them killed behind the last 202 and started again at once.
#[test]
fn ten_killed_forwarders_are_ready_in_time_and_end_what_they_owe() {
    let (shared, platform, endpoint) = with_stand_ins();
    let places: Vec<Place> = (0..FORWARDERS).map(|_| Place::new(platform, endpoint)).collect();
    let classes = ["update", "booking", "long"];
    let envelopes_of = |at: usize| -> Vec<(String, &str)> {
        let message = |n: usize| (format!("{}-{at}-{n}", classes[n % 3]), classes[n % 3]);
        (0..OWED_BY_EACH).map(message).collect()
    };
    std::thread::scope(|scope| {
        for (at, place) in places.iter().enumerate() {
            scope.spawn(move || {
                let mut forwarder = place.start();
                forwarder.submit(&envelopes_of(at));
                forwarder.kill();
            });
        }
    });
    let owed: Vec<usize> = places.iter().map(Place::owed).collect();
    assert!(owed.iter().all(|owed| *owed >= OWED_AT_LEAST), "{owed:?}");
    shared.set(Mood::Completes);
    let restarted: Vec<ForwarderProcess> = std::thread::scope(|scope| {
        let starts: Vec<_> = places.iter().map(|place| scope.spawn(|| place.start())).collect();
        starts.into_iter().map(|start| start.join().unwrap()).collect()
    });
    let ready: Vec<Duration> = restarted.iter().map(|forwarder| forwarder.ready_in).collect();
    println!("owed {owed:?}; ready after {ready:?}");
    places.iter().for_each(Place::attempt_finished);
    let (calls, noticed) = (shared.calls(), shared.noticed());
    let delivered: BTreeSet<&str> = calls.iter().filter(|c| c.completed).map(|c| c.id.as_str()).collect();
    let called = |id: &str| calls.iter().filter(|call| call.id == id).count();
    for (id, class) in (0..FORWARDERS).flat_map(envelopes_of) {
        assert!(delivered.contains(&*id) || noticed.contains(&id), "{id} has no end");
        assert!(class != "booking" || called(&id) <= 1, "{id} was sent {} times", called(&id));
    }
}

#[test]
fn what_was_out_at_a_kill_is_not_repeated_after_its_window_but_ended() {
    let (shared, platform, endpoint) = with_stand_ins();
    let place = Place::new(platform, endpoint);
    let mut forwarder = place.start();
    let messages = ["short", "short-in-zone", "long"].map(|name| (name.to_owned(), name));
    forwarder.submit(&messages);
    until("all are out", || (shared.calls().len() == messages.len()).then_some(()));
    forwarder.kill();
    // The window is over for what was sent last, too.
    let last = shared.calls().iter().map(|call| call.at).max().unwrap();
    sleep((last + SHORT_WINDOW).saturating_duration_since(Instant::now()));
    shared.set(Mood::Completes);
    let _forwarder = place.start();
    place.attempt_finished();
    let short = ["short", "short-in-zone"];
    assert_eq!(shared.noticed(), short.map(str::to_owned).into());
    for id in short {
        assert_eq!(shared.calls_of(id).len(), 1, "{id}");
    }
    let long = shared.calls_of("long");
    assert_eq!(long.len(), 2, "its window goes on, and it is repeated");
    assert!(long[1].completed);
}

/// Killed behind the first call, or at each repeat too. All calls break, so that it would go on repeating; the window
/// counts from the first of them.
#[test]
fn however_often_it_restarts_inside_a_window_no_repeat_comes_after_it() {
    let (shared, platform, endpoint) = with_stand_ins();
    shared.set(Mood::Breaks);
    let place = Place::new(platform, endpoint);
    for (class, most_kills) in
        [("short", 1), ("short", MANY_KILLS), ("short-in-zone", 1), ("short-in-zone", MANY_KILLS)]
    {
        let mut forwarder = place.start();
        let id = &format!("{class}-{most_kills}");
        forwarder.submit(&[(id.clone(), class)]);
        let first = until("the first call", || shared.calls_of(id).first().cloned()).at;
        // Were it repeated after its window, it would be so until then.
        let may_repeat = || first.elapsed() < 3 * SHORT_WINDOW && !shared.noticed().contains(id);
        let mut kills = 0;
        while kills < most_kills && may_repeat() {
            forwarder.kill();
            kills += 1;
            let before = shared.calls_of(id).len();
            forwarder = place.start();
            while may_repeat() && shared.calls_of(id).len() == before {
                sleep(PAUSE);
            }
        }
        until("its end", || shared.noticed().contains(id).then_some(()));
        place.attempt_finished();
        let after: Vec<Duration> = shared.calls_of(id).iter().map(|call| call.at - first).collect();
        println!("{id}: {} calls, {kills} kills, last call after {:?}", after.len(), after.iter().max());
        assert!(after.iter().all(|after| *after <= SHORT_WINDOW + TOLERANCE), "{after:?}");
        forwarder.kill();
    }
}
