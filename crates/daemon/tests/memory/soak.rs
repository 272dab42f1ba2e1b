//! Random input from clients and endpoints at the same time, against the smallest memory limit.
//!
//! The number of actions of each client is [`DEFAULT_ACTIONS`], or the value of the environment variable
//! `REEDDOCK_SOAK_ACTIONS`. `REEDDOCK_SOAK_SEED` replaces the seed.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use reeddock_protocol::MAX_BODY_BYTES;

use crate::deployment::{Deployment, SMALLEST_MEMORY_LIMIT_MB};
use crate::forwarder::{submission, ForwarderProcess};
use crate::stub_server::{start_stub, Connection, Request, OK_RESPONSE};
use crate::wait::wait_for;

const DEFAULT_ACTIONS: u64 = 300;
const DEFAULT_SEED: u64 = 57;
/// The number of clients that act at the same time.
const CLIENTS: u64 = 48;
/// The number of destinations, each with one endpoint.
const DESTINATIONS: u64 = 40;
/// How long a client waits for a response before it closes its connection.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// The number of endless responses that are continued at the same time. The oldest is closed for a further one.
const MAX_ENDLESS_RESPONSES: usize = 300;

/// The beginnings of endless responses, each with the piece that continues it.
const ENDLESS_RESPONSES: [(&str, &str); 7] = [
    ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "zzzzzzzzzzzzzzzz"),
    ("HTTP/1.1 500 No\r\nContent-Length: 3000000000\r\n\r\n", "zzzzzzzzzzzzzzzz"),
    ("HTTP/1.1 429 No\r\nRetry-After: 0.2\r\nContent-Length: 3000000000\r\n\r\n", "zzzzzzzzzzzzzzzz"),
    ("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n1\r\nz\r\n"),
    ("HTTP/1.1 500 No\r\nX-Pad: ", "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"),
    ("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Hints\r\nx: y\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nX-Pad: ", "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"),
];

fn value_of(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |value| value.parse().expect("a whole number"))
}

/// A response that has no end, and the piece that continues it.
struct EndlessResponse {
    stream: TcpStream,
    piece: &'static str,
}

/// Endpoints that respond at random.
#[derive(Clone)]
struct RandomEndpoints {
    random: Arc<Mutex<Pcg64>>,
    endless: Arc<Mutex<Vec<EndlessResponse>>>,
    completed: Arc<AtomicU64>,
}

impl RandomEndpoints {
    fn respond(&self, _: &Request, stream: &mut TcpStream) -> Connection {
        let kind = self.random.lock().unwrap().random_range(0..2 * ENDLESS_RESPONSES.len());
        let Some((beginning, piece)) = ENDLESS_RESPONSES.get(kind).copied() else {
            self.completed.fetch_add(1, Ordering::Relaxed);
            return Connection::keep_if_written(stream.write_all(OK_RESPONSE));
        };
        stream.set_nodelay(true).unwrap();
        let written = stream.write_all(beginning.as_bytes());
        let mut endless = self.endless.lock().unwrap();
        if endless.len() >= MAX_ENDLESS_RESPONSES {
            endless.remove(0);
        }
        endless.push(EndlessResponse { stream: stream.try_clone().unwrap(), piece });
        Connection::keep_if_written(written)
    }

    /// Continues all endless responses piece by piece until `is_finished` is true.
    fn continue_until(&self, is_finished: &AtomicBool) {
        while !is_finished.load(Ordering::Relaxed) {
            let mut endless = self.endless.lock().unwrap();
            endless.retain_mut(|response| response.stream.write_all(response.piece.as_bytes()).is_ok());
            drop(endless);
            std::thread::yield_now();
        }
    }
}

/// A client that connects, sends one request in a random way, and closes its connection.
struct RandomClient<'f> {
    forwarder: &'f ForwarderProcess,
    random: Pcg64,
    number: u64,
}

impl RandomClient<'_> {
    /// Performs one action. A connection that the forwarder closes ends the action.
    fn act(&mut self, action: u64) {
        let Ok(mut stream) = TcpStream::connect(self.forwarder.address) else { return };
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        let request = self.random_request(action);
        let sent_bytes = self.random_sent_bytes(request.len());
        let piece_length = [64, 128, 1_000, 100_000][self.random.random_range(0..4)];
        for piece in request.as_bytes()[..sent_bytes].chunks(piece_length) {
            if stream.write_all(piece).is_err() {
                return;
            }
        }
        let _ = stream.read(&mut [0; 1024]);
    }

    fn random_request(&mut self, action: u64) -> String {
        let length = match self.random.random_range(0..4) {
            0 => MAX_BODY_BYTES,
            1 => self.random.random_range(0..MAX_BODY_BYTES),
            _ => self.random.random_range(0..1_000),
        };
        let id = format!("m{}-{action}", self.number);
        let request = submission(&id, self.random.random_range(0..DESTINATIONS), &"x".repeat(length));
        if self.random.random_range(0..4) > 0 {
            return request;
        }
        let padding = "y".repeat(self.random.random_range(0..20_000));
        request.replacen("Host: a\r\n", &format!("Host: a\r\nX-Pad: {padding}\r\n"), 1)
    }

    /// Returns how many bytes of a request are sent: all of them in half of the cases.
    fn random_sent_bytes(&mut self, length: usize) -> usize {
        match self.random.random_range(0..4) {
            0 => length - 1,
            1 => self.random.random_range(0..length),
            _ => length,
        }
    }
}

/// Guards against any mixture of input that outgrows the memory, or that leaves a forwarder that does not deliver.
#[test]
fn random_input_stays_below_the_memory_limit() {
    let seed = value_of("REEDDOCK_SOAK_SEED", DEFAULT_SEED);
    let actions = value_of("REEDDOCK_SOAK_ACTIONS", DEFAULT_ACTIONS);
    let endpoints = RandomEndpoints {
        random: Arc::new(Mutex::new(Pcg64::seed_from_u64(seed))),
        endless: Arc::default(),
        completed: Arc::default(),
    };
    let endpoint = start_stub(&endpoints, RandomEndpoints::respond);
    let deployment = Deployment {
        destinations: DESTINATIONS,
        ..Deployment::with_most_descriptors(SMALLEST_MEMORY_LIMIT_MB)
    };
    let forwarder = ForwarderProcess::start_with_confirmed_list("memory-soak", deployment, endpoint);
    let is_finished = AtomicBool::new(false);
    let acting = AtomicU64::new(CLIENTS);
    let mut peak = 0;
    std::thread::scope(|scope| {
        scope.spawn(|| endpoints.continue_until(&is_finished));
        for number in 0..CLIENTS {
            let random = Pcg64::seed_from_u64(seed + 1 + number);
            let mut client = RandomClient { forwarder: &forwarder, random, number };
            let acting = &acting;
            scope.spawn(move || {
                (0..actions).for_each(|action| client.act(action));
                acting.fetch_sub(1, Ordering::Relaxed);
            });
        }
        while acting.load(Ordering::Relaxed) > 0 {
            peak = peak.max(forwarder.private_memory());
            std::thread::yield_now();
        }
        is_finished.store(true, Ordering::Relaxed);
    });
    deployment.check_below_limit(peak);
    let before = endpoints.completed.load(Ordering::Relaxed);
    let mut client =
        RandomClient { forwarder: &forwarder, random: Pcg64::seed_from_u64(seed), number: CLIENTS };
    let mut action = 0;
    wait_for("a message that is delivered afterwards", || {
        client.act(action);
        action += 1;
        (endpoints.completed.load(Ordering::Relaxed) > before).then_some(())
    });
}
