//! Reading and writing of HTTP/1.1 messages for stub servers and test clients.

use std::collections::BTreeMap;

use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
pub const NO_CONTENT_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// The head of a response with a chunked body.
pub const CHUNKED_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/// A request for the forwarder's health check.
pub const HEALTH_CHECK: &str = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// A request or response that was read from a connection.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    /// The request line or the status line.
    pub start_line: String,
    /// The headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// The number of the connection on which a stub server received the message, counted from 0.
    pub connection: usize,
}

impl HttpMessage {
    /// Returns the id of the message in a request with only one message, or an empty text for a batch.
    pub fn id(&self) -> &str {
        self.headers.get("x-call-id").map_or("", String::as_str)
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// Reads one request or response. `None` if the connection ends before the message is complete.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> Option<HttpMessage> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let (start_line, rest) = head.split_once("\r\n").unwrap();
    let headers = rest.lines().filter_map(|line| line.split_once(": "));
    let headers: BTreeMap<String, String> =
        headers.map(|(name, value)| (name.to_lowercase(), value.into())).collect();
    let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let body = String::from_utf8(body).unwrap();
    Some(HttpMessage { start_line: start_line.into(), headers, body, connection: 0 })
}

/// Reads a connection until it ends. An error means that the connection was reset.
pub async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut rest = String::new();
    stream.read_to_string(&mut rest).await.map(|_| rest)
}

/// Returns a client's request to deliver a message to destination 3 within `budget_seconds`.
pub fn submission(id: &str, class: &str, budget_seconds: f64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
         X-Budget: {budget_seconds}\r\nX-Route-To: dest=3\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a submission without the last byte of its body, so that the request stays open.
pub fn submission_without_last_byte() -> String {
    submission("cut", "note", 5.0, "xx").replace("\r\n\r\nxx", "\r\n\r\nx")
}
