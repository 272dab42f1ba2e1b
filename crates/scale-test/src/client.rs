//! An HTTP client that submits messages to one forwarder over a persistent connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::task::AbortOnDrop;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const MESSAGE_BODY: &[u8] = b"an envelope of the scale run";

/// The result of one submission, by the forwarder's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SubmitResult {
    /// Status 200 or 202: the forwarder is responsible for the message until the message has a final answer.
    Accepted,
    /// Any other status, for example because the forwarder's list doesn't contain the destination.
    Rejected,
    /// No connection, a lost connection, or no complete response within the timeout.
    NoResponse,
}

/// A client of one forwarder, with at most one open connection.
pub(crate) struct Client {
    forwarder: SocketAddr,
    response_timeout: Duration,
    connection: Option<Connection>,
}

/// An open connection to the forwarder, closed on drop.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
}

impl Client {
    /// Creates a client of the forwarder at this address. The client connects at the first submission.
    pub(crate) fn new(forwarder: SocketAddr, response_timeout: Duration) -> Client {
        Client { forwarder, response_timeout, connection: None }
    }

    /// Submits one message to the forwarder and returns how the forwarder responded.
    pub(crate) async fn submit(&mut self, message_id: &str, destination: u32) -> SubmitResult {
        let request = Request::post("/api")
            .header("host", "api.internal")
            .header("x-call-id", message_id)
            .header("x-call-class", "update")
            .header("x-budget", "20.000")
            .header("x-route-to", format!("dest={destination}"))
            .body(Full::from(Bytes::from_static(MESSAGE_BODY)));
        let Ok(request) = request else { return SubmitResult::NoResponse };
        match self.send(request).await {
            Some(StatusCode::ACCEPTED | StatusCode::OK) => SubmitResult::Accepted,
            Some(_) => SubmitResult::Rejected,
            None => SubmitResult::NoResponse,
        }
    }

    /// Sends a request and returns the status of the response, or `None` if there is no complete response in
    /// time. The connection is reused only after a complete response.
    async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<StatusCode> {
        let reusable = self.connection.take().filter(|connection| !connection.sender.is_closed());
        let mut connection = match reusable {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let exchange = async {
            connection.sender.ready().await.ok()?;
            let mut response = connection.sender.send_request(request).await.ok()?;
            while let Some(Ok(_)) = response.frame().await {}
            Some(response.status())
        };
        let status = timeout(self.response_timeout, exchange).await.ok()??;
        self.connection = Some(connection);
        Some(status)
    }

    async fn connect(&self) -> Option<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.forwarder)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some(Connection { sender, _driver: AbortOnDrop::spawn(driver) })
    }
}
