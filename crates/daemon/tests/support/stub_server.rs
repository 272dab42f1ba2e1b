//! HTTP stub servers of the platform and of endpoints on loopback.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;

pub const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
pub const NO_CONTENT_RESPONSE: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

pub struct Request {
    pub line: String,
    /// Value of the header `x-call-id`; empty if the request has none.
    pub id: String,
    pub body: String,
}

/// Whether a connection is kept open after a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Connection {
    Keep,
    Close,
}

impl Connection {
    /// Returns `Keep` if the response was written, `Close` otherwise.
    pub fn keep_if_written(written: std::io::Result<()>) -> Connection {
        if written.is_ok() {
            Connection::Keep
        } else {
            Connection::Close
        }
    }
}

/// Starts a stub on a free port and returns its address. Requests of one connection are handled in order.
pub fn start_stub<S: Clone + Send + 'static>(
    state: &S,
    handle: fn(&S, &Request, &mut TcpStream) -> Connection,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let state = state.clone();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), state) = (stream, state.clone()) else { return };
            spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = read_request(&mut reader) {
                    if handle(&state, &request, &mut stream) == Connection::Close {
                        return;
                    }
                }
            });
        }
    });
    address
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
