//! The memory that responses of endpoints take, whatever the pieces in which their bytes are received.

#[path = "support/configuration.rs"]
mod configuration;
#[path = "support/forwarder.rs"]
mod forwarder;
#[path = "support/private_memory.rs"]
mod private_memory;
#[path = "support/process.rs"]
mod process;
#[path = "support/receive_queue.rs"]
mod receive_queue;
#[path = "support/stub_server.rs"]
mod stub_server;
#[path = "support/temp_folder.rs"]
mod temp_folder;
#[path = "support/wait.rs"]
mod wait;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use configuration::{list_entry, message_class};
use forwarder::ForwarderProcess;
use receive_queue::wait_until_read;
use serde_json::{json, Value};
use stub_server::{start_stub, Connection, Request};
use wait::wait_for;

const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// The memory limits at which responses are tested, in MB: the smallest and the largest of a deployment, and
/// one between them.
const MEMORY_LIMITS_MB: [u64; 3] = [32, 64, 192];
/// The number of endpoints, each of which sends one response.
const RESPONSES: u64 = 64;
/// The number of pieces that each response is continued by.
const PIECES: usize = 400;

/// An endpoint whose responses have no end. A test continues them piece by piece.
#[derive(Clone)]
struct EndlessResponses {
    head: &'static str,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl EndlessResponses {
    /// Begins a response. Its bytes are sent at once, and not together with later ones.
    fn begin(&self, _: &Request, stream: &mut TcpStream) -> Connection {
        stream.set_nodelay(true).unwrap();
        let written = stream.write_all(self.head.as_bytes());
        self.streams.lock().unwrap().push(stream.try_clone().unwrap());
        Connection::keep_if_written(written)
    }
}

/// Leaves a watch without a response, so that the cached list stays in use.
fn handle_as_platform(_: &(), _: &Request, _: &mut TcpStream) -> Connection {
    Connection::Keep
}

fn config(listen: SocketAddr, platform: SocketAddr, endpoint: SocketAddr, memory_mb: u64) -> Value {
    let endpoints: Vec<_> = (0..RESPONSES).map(|n| list_entry(&format!("t{n}"), endpoint, n)).collect();
    json!({
        "listen": listen.to_string(), "discovery": platform.to_string(), "seed": "1f",
        "limits": {"memory_mb": memory_mb, "sockets": 512, "disk_mb": 3},
        "known": {"generation": 1, "reset": true, "instances": endpoints},
        "settings": {
            "balancers": 1, "az": "a", "kinds": ["partner"], "weights": "rough",
            "classes": [message_class("booking", "at_most_once")],
            "familyInfo": {"maxCalls": 8, "batchByKind": [1], "kindApart": [false]},
            "policyLimits": {"attemptsCap": 12, "openCap": 400, "mayDuplicate": false, "connIdleUs": 60_000_000},
        },
    })
}

/// Submits one message to each endpoint.
fn submit_all(forwarder: &ForwarderProcess) {
    let mut stream = TcpStream::connect(forwarder.address).unwrap();
    let mut responses = BufReader::new(stream.try_clone().unwrap());
    for destination in 0..RESPONSES {
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: m{destination}\r\nX-Call-Class: booking\r\n\
             X-Budget: 15\r\nX-Route-To: dest={destination}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let mut line = String::new();
        responses.read_line(&mut line).unwrap();
        assert!(line.contains(" 202 "), "expected 202 for each message, found {line}");
        while line != "\r\n" {
            line.clear();
            responses.read_line(&mut line).unwrap();
        }
    }
}

/// Continues each response by `PIECES` pieces, each of which the forwarder reads by itself. Returns the
/// forwarder's highest private memory in bytes.
///
/// A response whose connection the forwarder has closed is not continued.
fn peak_memory_while_responses_go_on(memory_mb: u64, head: &'static str, piece: &str) -> u64 {
    let endless = EndlessResponses { head, streams: Arc::default() };
    let endpoint = start_stub(&endless, EndlessResponses::begin);
    let platform = start_stub(&(), handle_as_platform);
    let forwarder =
        ForwarderProcess::start("response-memory", |listen| config(listen, platform, endpoint, memory_mb));
    submit_all(&forwarder);
    let all_begun = || (endless.streams.lock().unwrap().len() == RESPONSES as usize).then_some(());
    wait_for("a response from each endpoint", all_begun);
    let mut streams = std::mem::take(&mut *endless.streams.lock().unwrap());
    let mut peak = 0;
    for _ in 0..PIECES {
        streams.retain_mut(|stream| stream.write_all(piece.as_bytes()).is_ok());
        wait_until_read(&streams);
        peak = peak.max(forwarder.private_memory());
    }
    peak
}

/// Checks that endless responses leave the forwarder below half of each memory limit.
fn check_memory(head: &'static str, piece: &str) {
    for memory_mb in MEMORY_LIMITS_MB {
        let peak = peak_memory_while_responses_go_on(memory_mb, head, piece);
        let half = memory_mb * BYTES_PER_MEGABYTE / 2;
        assert!(peak < half, "{peak} bytes of private memory, expected less than {half} of {memory_mb} MB");
    }
}

/// Guards against keeping the rest of a response whose result is known, with a read buffer for each piece.
#[test]
fn completed_response_that_goes_on_in_small_pieces_takes_no_memory() {
    check_memory("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", &"z".repeat(64));
}
