//! Requests of clients that are received in pieces or stay incomplete.

use std::io::Write;
use std::net::TcpStream;

use reeddock_protocol::MAX_BODY_BYTES;

use crate::deployment::{Deployment, MEMORY_LIMITS_MB};
use crate::forwarder::{submission, ForwarderProcess};
use crate::receive_queue::ReceiveQueues;
use crate::stub_server::{start_stub, Connection, Request};

/// The number of clients, fewer than the connections that a forwarder with most descriptors serves.
const CLIENTS: usize = 440;
/// The number of clients that a forwarder with most descriptors accepts.
const MAX_CLIENTS: usize = 520;
/// The number of messages that are submitted at most, more than fit into the memory of any test.
const MAX_MESSAGES: u64 = 10_000;
/// The number of headers of a long request head.
const PADDING_HEADERS: usize = 90;
/// The length of each header of a long request head, in bytes.
const PADDING_BYTES: usize = 150;

/// An endpoint that never responds.
fn never_respond(_: &(), _: &Request, _: &mut TcpStream) -> Connection {
    Connection::Keep
}

fn start_forwarder(deployment: Deployment) -> ForwarderProcess {
    let endpoint = start_stub(&(), never_respond);
    ForwarderProcess::start_with_confirmed_list("submission-memory", deployment, endpoint)
}

fn connect(forwarder: &ForwarderProcess) -> TcpStream {
    let stream = TcpStream::connect(forwarder.address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends each request on a connection of its own, piece by piece, each of which the forwarder reads by itself.
/// Returns the forwarder's highest private memory in bytes.
///
/// A request whose connection the forwarder has closed is not continued.
fn peak_memory(forwarder: &ForwarderProcess, requests: &[String], piece_length: usize) -> u64 {
    let mut streams: Vec<TcpStream> = requests.iter().map(|_| connect(forwarder)).collect();
    let queues = ReceiveQueues::of_peers(&streams);
    let longest = requests.iter().map(String::len).max().unwrap_or_default();
    let mut closed = vec![false; requests.len()];
    let mut peak = 0;
    for start in (0..longest).step_by(piece_length) {
        for ((stream, request), closed) in streams.iter_mut().zip(requests).zip(&mut closed) {
            let end = request.len().min(start + piece_length);
            *closed = *closed || start >= end || stream.write_all(&request.as_bytes()[start..end]).is_err();
        }
        if closed.iter().all(|closed| *closed) {
            break;
        }
        queues.wait_until_empty();
        peak = peak.max(forwarder.private_memory());
    }
    peak
}

/// Returns a submission with a long head and a body of the maximum length.
fn largest_submission(id: &str) -> String {
    let value = "y".repeat(PADDING_BYTES);
    let padding: String = (0..PADDING_HEADERS).map(|n| format!("X-Pad-{n}: {value}\r\n")).collect();
    let request = submission(id, 0, &"x".repeat(MAX_BODY_BYTES));
    request.replacen("Host: a\r\n", &format!("Host: a\r\n{padding}"), 1)
}

/// Guards against keeping a request body with a read buffer for each piece, and against bodies that together
/// outgrow the memory.
#[test]
fn request_bodies_in_small_pieces_stay_within_the_memory_for_bodies() {
    let body = "x".repeat(MAX_BODY_BYTES);
    let requests: Vec<String> = (0..CLIENTS).map(|n| submission(&format!("c{n}"), 0, &body)).collect();
    for memory_mb in MEMORY_LIMITS_MB {
        let deployment = Deployment::with_most_descriptors(memory_mb);
        deployment.check_peak(peak_memory(&start_forwarder(deployment), &requests, 128));
    }
}

/// Guards against keeping the heads and bodies of requests whose last byte does not come.
#[test]
fn incomplete_requests_of_many_clients_stay_within_the_memory_for_bodies() {
    let incomplete = |mut request: String| {
        request.pop();
        request
    };
    let requests: Vec<String> =
        (0..CLIENTS).map(|n| incomplete(largest_submission(&format!("c{n}")))).collect();
    for memory_mb in MEMORY_LIMITS_MB {
        let deployment = Deployment::with_most_descriptors(memory_mb);
        deployment.check_peak(peak_memory(&start_forwarder(deployment), &requests, 100_000));
    }
}

/// Guards against request heads that together outgrow the memory, on as many connections as there can be.
#[test]
fn request_heads_that_go_on_stay_within_the_memory_for_heads() {
    let head = format!("POST /api HTTP/1.1\r\nX-Pad: {}", "y".repeat(16_000));
    let requests = vec![head; MAX_CLIENTS];
    for memory_mb in MEMORY_LIMITS_MB {
        let deployment = Deployment::with_most_descriptors(memory_mb);
        deployment.check_peak(peak_memory(&start_forwarder(deployment), &requests, 16_000));
    }
}

/// Guards against bodies of pending messages that take a multiple of what is counted for them.
#[test]
fn bodies_of_pending_messages_stay_within_the_memory_for_messages() {
    let body = "x".repeat(MAX_BODY_BYTES);
    for memory_mb in MEMORY_LIMITS_MB {
        let deployment = Deployment {
            disk_mb: 1_000,
            destinations: 1_000,
            ..Deployment::with_most_descriptors(memory_mb)
        };
        let forwarder = start_forwarder(deployment);
        forwarder.submit_until_rejected(deployment.destinations, &body, MAX_MESSAGES);
        deployment.check_peak(forwarder.private_memory());
    }
}
