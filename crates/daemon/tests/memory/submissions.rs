//! Requests of clients that are received in pieces or stay incomplete.

use std::io::Write;
use std::net::TcpStream;

use serde_json::json;

use crate::deployment::{Deployment, MEMORY_LIMITS_MB};
use crate::forwarder::{submission, ForwarderProcess};
use crate::platform::Platform;
use crate::receive_queue::ReceiveQueues;
use crate::stub_server::{start_stub, Connection, Request};

/// The number of clients, fewer than the connections that a forwarder with most descriptors serves.
const CLIENTS: usize = 440;
/// The largest body of a message, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// An endpoint that never responds.
fn never_respond(_: &(), _: &Request, _: &mut TcpStream) -> Connection {
    Connection::Keep
}

fn start_forwarder(deployment: Deployment) -> ForwarderProcess {
    let endpoint = start_stub(&(), never_respond);
    let platform = Platform::default();
    platform.publish(json!({"generation": 1, "reset": false, "instances": []}).to_string());
    let platform_address = platform.start();
    let cached_list = deployment.endpoint_list(1, endpoint);
    ForwarderProcess::start("submission-memory", |listen| {
        deployment.config(listen, platform_address, &cached_list)
    })
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
