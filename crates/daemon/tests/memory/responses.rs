//! Responses of endpoints that go on in small pieces.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::json;

use crate::deployment::{Deployment, MEMORY_LIMITS_MB};
use crate::forwarder::ForwarderProcess;
use crate::platform::{NoticeResponse, Platform};
use crate::receive_queue::ReceiveQueues;
use crate::stub_server::{start_stub, Connection, Request, OK_RESPONSE};
use crate::wait::wait_for;

/// The number of responses that go on at the same time, each to another destination. One further destination
/// gets an ordinary message afterwards.
const RESPONSES: u64 = 64;
/// The number of pieces that a response is continued by.
const PIECES: usize = 400;

/// The id of the message that is submitted after the responses have gone on. Its response is an ordinary one.
const LAST_MESSAGE: &str = "last";

/// Endpoints whose responses have no end. A test continues them piece by piece.
#[derive(Clone)]
struct EndlessResponses {
    /// The beginning of each response.
    beginning: &'static str,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// The number of requests that carried a batch.
    batches: Arc<AtomicU64>,
    /// Whether the message [`LAST_MESSAGE`] was received.
    last_received: Arc<AtomicBool>,
}

impl EndlessResponses {
    fn new(beginning: &'static str) -> EndlessResponses {
        EndlessResponses {
            beginning,
            streams: Arc::default(),
            batches: Arc::default(),
            last_received: Arc::default(),
        }
    }

    /// Begins a response. Its bytes are sent at once, and not together with later ones.
    fn begin(&self, request: &Request, stream: &mut TcpStream) -> Connection {
        if request.id == LAST_MESSAGE {
            self.last_received.store(true, Ordering::Relaxed);
            return Connection::keep_if_written(stream.write_all(OK_RESPONSE));
        }
        if request.line.contains("/events/bundle") {
            self.batches.fetch_add(1, Ordering::Relaxed);
        }
        stream.set_nodelay(true).unwrap();
        let written = stream.write_all(self.beginning.as_bytes());
        self.streams.lock().unwrap().push(stream.try_clone().unwrap());
        Connection::keep_if_written(written)
    }

    /// Waits until this number of responses has begun, and returns their connections.
    fn wait_until_begun(&self, count: u64) -> Vec<TcpStream> {
        let all_begun = || (self.streams.lock().unwrap().len() as u64 >= count).then_some(());
        wait_for("all responses to begin", all_begun);
        std::mem::take(&mut *self.streams.lock().unwrap())
    }
}

/// The input of one test: endless responses, and how they are continued.
#[derive(Clone, Copy)]
struct Scenario {
    /// The beginning of each response.
    beginning: &'static str,
    /// The bytes that each response is continued by, which the forwarder reads in one read.
    piece: &'static str,
    /// The messages of each request.
    messages_per_request: u64,
}

impl Scenario {
    fn new(beginning: &'static str, piece: &'static str) -> Scenario {
        Scenario { beginning, piece, messages_per_request: 1 }
    }

    /// Plays the scenario, and returns the forwarder's highest private memory in bytes. Afterwards the forwarder
    /// must still deliver a message.
    ///
    /// A response whose connection the forwarder has closed is not continued.
    fn peak_memory(self, deployment: Deployment) -> u64 {
        let deployment = Deployment { batch_limit: self.messages_per_request, ..deployment };
        let responses = EndlessResponses::new(self.beginning);
        let endpoint = start_stub(&responses, EndlessResponses::begin);
        let platform = Platform::new(NoticeResponse::Acknowledge);
        let platform_address = platform.start();
        let empty_list = json!({"generation": 1, "reset": true, "instances": []});
        let forwarder = ForwarderProcess::start("response-memory", |listen| {
            deployment.config(listen, platform_address, &empty_list)
        });
        // The messages of one destination are sent together, because they wait until it has an endpoint.
        let messages_per_request = self.messages_per_request;
        let messages = (0..deployment.destinations - 1).flat_map(|destination| {
            (0..messages_per_request).map(move |n| (format!("m{destination}-{n}"), destination))
        });
        forwarder.submit_all(messages);
        platform.publish(deployment.endpoint_list(2, endpoint).to_string());
        let mut streams = responses.wait_until_begun(deployment.destinations - 1);
        let sent_in_batches = responses.batches.load(Ordering::Relaxed) == deployment.destinations - 1;
        assert_eq!(sent_in_batches, self.messages_per_request > 1, "messages per request");
        let queues = ReceiveQueues::of_peers(&streams);
        let mut peak = 0;
        for _ in 0..PIECES {
            streams.retain_mut(|stream| stream.write_all(self.piece.as_bytes()).is_ok());
            queues.wait_until_empty();
            peak = peak.max(forwarder.private_memory());
        }
        forwarder.submit_all([(LAST_MESSAGE.to_owned(), deployment.destinations - 1)]);
        let last_received = || responses.last_received.load(Ordering::Relaxed).then_some(());
        wait_for("the last message", last_received);
        peak
    }

    /// Checks that the forwarder stays below half of each memory limit.
    fn check(self) {
        for memory_mb in MEMORY_LIMITS_MB {
            let deployment = Deployment::new(memory_mb, RESPONSES + 1);
            deployment.check_peak(self.peak_memory(deployment));
        }
    }
}

/// A piece of a body whose length is declared in the head.
const BODY_PIECE: &str = "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz";

/// Guards against keeping the rest of a response whose result is known, with a read buffer for each piece.
#[test]
fn completed_response_that_goes_on_in_small_pieces_takes_no_memory() {
    Scenario::new("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", BODY_PIECE).check();
}

/// Guards against keeping the body of a failed attempt until its deadline, with a read buffer for each piece.
#[test]
fn failed_response_that_goes_on_in_small_pieces_takes_no_memory() {
    Scenario::new("HTTP/1.1 500 No\r\nContent-Length: 3000000000\r\n\r\n", BODY_PIECE).check();
}

/// Guards against keeping the body of a rejection until its deadline, with a read buffer for each piece.
#[test]
fn rejecting_response_that_goes_on_in_small_pieces_takes_no_memory() {
    let head = "HTTP/1.1 429 No\r\nRetry-After: 0.5\r\nContent-Length: 3000000000\r\n\r\n";
    Scenario::new(head, BODY_PIECE).check();
}

/// Guards against keeping the body of a response to a batch with a read buffer for each piece.
#[test]
fn batch_response_that_goes_on_in_small_pieces_takes_little_memory() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
    Scenario { messages_per_request: 2, ..Scenario::new(head, BODY_PIECE) }.check();
}

/// Guards against keeping a frame for each chunk, which takes many times the chunk.
#[test]
fn chunked_response_in_chunks_of_one_byte_takes_no_memory() {
    let head = "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n";
    Scenario::new(head, "1\r\nz\r\n1\r\nz\r\n1\r\nz\r\n1\r\nz\r\n1\r\nz\r\n1\r\nz\r\n1\r\nz\r\n1\r\nz\r\n")
        .check();
}

/// Guards against response heads that together outgrow the memory, on as many connections as there can be.
#[test]
fn response_heads_that_go_on_stay_within_the_memory_for_heads() {
    let scenario = Scenario::new("HTTP/1.1 500 No\r\nX-Pad: ", BODY_PIECE);
    for memory_mb in MEMORY_LIMITS_MB {
        let deployment = Deployment { destinations: 390, ..Deployment::with_most_descriptors(memory_mb) };
        deployment.check_peak(scenario.peak_memory(deployment));
    }
}

/// Guards against interim responses without end.
#[test]
fn interim_responses_that_go_on_take_no_memory() {
    Scenario::new("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Hints\r\nx-pad: zzzzzzzz\r\n\r\n").check();
}

/// Guards against a chunk whose extension has no end.
#[test]
fn chunk_extension_that_goes_on_takes_no_memory() {
    Scenario::new("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n1;pad=", BODY_PIECE).check();
}

/// Guards against trailers without end.
#[test]
fn trailers_that_go_on_take_little_memory() {
    let piece = "x-pad: zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz\r\n";
    Scenario::new("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", piece).check();
}
