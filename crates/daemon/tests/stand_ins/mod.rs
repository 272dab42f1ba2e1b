//! Stand-ins for the platform and for endpoints, on loopback.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use serde_json::json;

const PATIENCE: Duration = Duration::from_secs(20);
pub const PAUSE: Duration = Duration::from_millis(10);

/// A request that a stand-in got.
pub struct Request {
    pub line: String,
    pub id: String,
    pub body: String,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request { line: String::new(), id: String::new(), body: String::new() };
    reader.read_line(&mut request.line).ok().filter(|read| *read > 0)?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = header.trim_end().split_once(": ") else { break };
        match name.to_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "x-call-id" => request.id = value.to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}

/// Listens at an address of its own and answers each request in the order of its connection. An answer of `false`
/// closes the connection.
pub fn serve<S: Clone + Send + 'static>(
    shared: &S,
    answer: fn(&S, &Request, &mut TcpStream) -> bool,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let shared = shared.clone();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), shared) = (stream, shared.clone()) else { return };
            spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = read_request(&mut reader) {
                    if !answer(&shared, &request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// An endpoint in a list, in discovery's form.
pub fn entry(name: &str, address: SocketAddr, destination: u64) -> serde_json::Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "a", "machineType": "partner",
           "cell": destination, "lifecycle": "Ready", "weight": 50.0, "startedAtMs": 0})
}

/// Looks again and again until it is seen, for [`PATIENCE`] at most.
pub fn until<T>(what: &str, mut seen: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = seen() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "never seen: {what}");
        sleep(PAUSE);
    }
}
