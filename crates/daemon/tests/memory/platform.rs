//! A stub of the platform: discovery and the receiver of notices.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::stub_server::{start_stub, Connection, Request, NO_CONTENT_RESPONSE};
use crate::wait::wait_for;

/// The interval at which a watch without changes sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How the platform responds to notices.
#[derive(Clone, Copy, PartialEq)]
pub enum NoticeResponse {
    Acknowledge,
    /// Keeps the connection open and sends nothing.
    Never,
}

/// A platform that sends a list on each watch once a test has published one.
#[derive(Clone)]
pub struct Platform {
    list: Arc<Mutex<Option<String>>>,
    notice_response: NoticeResponse,
}

impl Platform {
    pub fn new(notice_response: NoticeResponse) -> Platform {
        Platform { list: Arc::default(), notice_response }
    }

    /// Starts the platform and returns its address.
    pub fn start(&self) -> SocketAddr {
        start_stub(self, Platform::handle)
    }

    /// Sets the list that every watch begins with.
    pub fn publish(&self, list: String) {
        *self.list.lock().unwrap() = Some(list);
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> Connection {
        if !request.line.starts_with("GET") {
            if self.notice_response == NoticeResponse::Never {
                return Connection::Keep;
            }
            return Connection::keep_if_written(stream.write_all(NO_CONTENT_RESPONSE));
        }
        let list = wait_for("a published list", || self.list.lock().unwrap().clone());
        let line = format!("{list}\n");
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
        while stream.write_all(b"1\r\n\n\r\n").is_ok() {
            sleep(HEARTBEAT_INTERVAL);
        }
        Connection::Close
    }
}
