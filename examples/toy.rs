//! Stub servers for trying out one forwarder: two endpoints of destination 3, and the platform, which serves
//! the endpoint list and receives delivery notices. Commands on standard input set how the endpoints respond.
//!
//! The servers support only the parts of HTTP that the forwarder uses.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// A stub endpoint with its name in the endpoint list.
#[derive(Clone, Copy)]
struct StubEndpoint {
    name: &'static str,
    address: &'static str,
}

const ENDPOINTS: [StubEndpoint; 2] = [
    StubEndpoint { name: "t-1", address: "127.0.0.1:9101" },
    StubEndpoint { name: "t-2", address: "127.0.0.1:9102" },
];
const PLATFORM_ADDRESS: &str = "127.0.0.1:8500";
/// Delay of an endpoint before each response.
const RESPONSE_LATENCY: Duration = Duration::from_millis(100);
/// Time for which an endpoint that hangs keeps a connection open without a response.
const HANG_DURATION: Duration = Duration::from_secs(3600);
/// Interval at which a watch sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const HELP: &str = "commands:
      up     respond with 200 after a tenth of a second (default)
      fail   respond with 500
      full   respond with 429 and Retry-After: 2
      hang   accept requests without responding
      quit   exit";

/// Response behavior of the endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Up,
    Fail,
    Full,
    Hang,
}

impl FromStr for Behavior {
    type Err = ();

    fn from_str(command: &str) -> Result<Behavior, ()> {
        match command {
            "up" => Ok(Behavior::Up),
            "fail" => Ok(Behavior::Fail),
            "full" => Ok(Behavior::Full),
            "hang" => Ok(Behavior::Hang),
            _ => Err(()),
        }
    }
}

impl Behavior {
    /// Returns the command that selects this behavior.
    fn command(self) -> &'static str {
        match self {
            Behavior::Up => "up",
            Behavior::Fail => "fail",
            Behavior::Full => "full",
            Behavior::Hang => "hang",
        }
    }
}

/// Current behavior of all endpoints, shared between threads.
#[derive(Clone)]
struct SharedBehavior(Arc<Mutex<Behavior>>);

impl SharedBehavior {
    fn get(&self) -> Behavior {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, behavior: Behavior) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }
}

fn main() -> io::Result<()> {
    let behavior = SharedBehavior(Arc::new(Mutex::new(Behavior::Up)));
    for endpoint in ENDPOINTS {
        let behavior = behavior.clone();
        listen(endpoint.address, move |stream| serve_endpoint(endpoint.name, stream, &behavior))?;
    }
    listen(PLATFORM_ADDRESS, serve_platform)?;
    let [first, second] = ENDPOINTS.map(|endpoint| endpoint.address);
    println!("endpoints on {first} and {second}, platform on {PLATFORM_ADDRESS}\n{HELP}");
    for line in io::stdin().lock().lines() {
        match line?.trim() {
            "quit" => break,
            command => match command.parse() {
                Ok(selected) => behavior.set(selected),
                Err(()) => println!("{HELP}"),
            },
        }
    }
    Ok(())
}

/// Listens on an address and serves each connection in a separate thread.
fn listen(
    address: &str,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("cannot listen on {address}: {error}")))?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // Errors of a connection are ignored and end only its thread.
            thread::spawn(move || serve(stream).unwrap_or_default());
        }
    });
    Ok(())
}

fn serve_endpoint(name: &str, mut stream: TcpStream, behavior: &SharedBehavior) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let behavior = behavior.get();
        let id = request.headers.get("x-call-id").map_or("a batch", String::as_str);
        println!("{name}: {id} of {} bytes, {}", request.body.len(), behavior.command());
        thread::sleep(RESPONSE_LATENCY);
        match behavior {
            Behavior::Up => respond(&mut stream, "200 OK", "", &batch_results(&request))?,
            Behavior::Fail => respond(&mut stream, "500 Internal Server Error", "", "")?,
            Behavior::Full => respond(&mut stream, "429 Too Many Requests", "Retry-After: 2\r\n", "")?,
            Behavior::Hang => thread::sleep(HANG_DURATION),
        }
    }
    Ok(())
}

/// Returns the response body of a batch, with one line per message; empty for a request with one message.
fn batch_results(request: &HttpRequest) -> String {
    let mut results = String::new();
    if !request.line.contains("/bundle") {
        return results;
    }
    let mut rest = &request.body[..];
    while let Some((id, after)) = next_message(rest) {
        results += &format!("{id} accepted\r\n");
        rest = after;
    }
    results
}

/// Returns the id of the first message in the body of a batch, and the rest of the body. A message starts
/// with a line of id, class and length of the data after the line.
fn next_message(body: &[u8]) -> Option<(String, &[u8])> {
    let end = body.iter().position(|byte| *byte == b'\n')?;
    let line = String::from_utf8_lossy(&body[..end]).into_owned();
    let mut words = line.split_whitespace();
    let id = words.next()?.to_owned();
    let length: usize = words.nth(1)?.parse().ok()?;
    let after = body.get(end + 1 + length + "\r\n".len()..).unwrap_or_default();
    Some((id, after))
}

fn serve_platform(mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if request.line.starts_with("POST /v2/finals") {
            print!("platform: {}", String::from_utf8_lossy(&request.body));
            stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        } else if request.line.contains("stream=1") {
            stream_endpoint_list(&mut stream)?;
        } else {
            respond(&mut stream, "200 OK", "", &endpoint_list())?;
        }
    }
    Ok(())
}

/// Sends the endpoint list once, then heartbeats until the connection ends.
fn stream_endpoint_list(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write_chunk(stream, &(endpoint_list() + "\n"))?;
    loop {
        thread::sleep(HEARTBEAT_INTERVAL);
        write_chunk(stream, "\n")?;
    }
}

fn endpoint_list() -> String {
    let entries = ENDPOINTS.map(|StubEndpoint { name, address }| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"here","machineType":"partner","cell":3,"lifecycle":"Ready","weight":10.0,"startedAtMs":0}}"#
        )
    });
    format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, entries.join(","))
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    write!(stream, "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

struct HttpRequest {
    line: String,
    /// Header values by lower-case name.
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

/// Reads the next request of a connection; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<HttpRequest>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let Some((name, value)) = header.split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(HttpRequest { line, headers, body }))
}
