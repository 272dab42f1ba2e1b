//! Loopback servers that record requests and respond as scripted.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{
    ms, read_message, wait_for, HttpMessage, CHUNKED_RESPONSE_HEAD, NO_CONTENT_RESPONSE, OK_RESPONSE,
};

/// How a stub server handles a request.
pub enum ScriptedResponse {
    Send(String),
    SendAndClose(String),
    CloseConnection,
    /// Keeps the connection open and sends nothing.
    NeverRespond,
    /// Opens a watch and sends the newest list update and each later one.
    StreamListUpdates,
}

impl ScriptedResponse {
    /// Returns a 200 response without a body.
    pub fn ok() -> ScriptedResponse {
        ScriptedResponse::Send(OK_RESPONSE.into())
    }

    /// Returns a 200 response with this body.
    pub fn ok_with_body(body: &str) -> ScriptedResponse {
        ScriptedResponse::Send(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()))
    }
}

type Script = dyn Fn(&HttpMessage) -> ScriptedResponse + Send + Sync;

/// The script of a working platform: serves watches on the endpoint list and acknowledges notices.
pub fn platform_script(request: &HttpMessage) -> ScriptedResponse {
    match request.start_line.starts_with("GET /v1/servers?stream=1&index=") {
        true => ScriptedResponse::StreamListUpdates,
        false => ScriptedResponse::Send(NO_CONTENT_RESPONSE.into()),
    }
}

/// A server that records requests and responds as scripted, used as an endpoint or as the platform.
#[derive(Clone)]
pub struct StubServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<HttpMessage>>>,
    script: Arc<Mutex<Arc<Script>>>,
    list_updates: Arc<Mutex<Vec<String>>>,
    closed_connections: Arc<AtomicUsize>,
}

impl StubServer {
    pub async fn start(
        script: impl Fn(&HttpMessage) -> ScriptedResponse + Send + Sync + 'static,
    ) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = StubServer {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            script: Arc::new(Mutex::new(Arc::new(script))),
            list_updates: Arc::default(),
            closed_connections: Arc::default(),
        };
        tokio::spawn(server.clone().accept_connections(listener));
        server
    }

    /// Sets the script for the following requests.
    pub fn set_script(&self, script: impl Fn(&HttpMessage) -> ScriptedResponse + Send + Sync + 'static) {
        *self.script.lock().unwrap() = Arc::new(script);
    }

    /// Sends a line on all watches.
    pub fn publish_list_update(&self, line: String) {
        self.list_updates.lock().unwrap().push(line);
    }

    /// Returns all requests so far, in the order in which they were read.
    pub fn received(&self) -> Vec<HttpMessage> {
        self.received.lock().unwrap().clone()
    }

    /// Returns the message id of each request so far, in the order of the requests. The id is empty for a
    /// batch.
    pub fn received_ids(&self) -> Vec<String> {
        self.received().iter().map(|request| request.id().to_owned()).collect()
    }

    /// Returns the number of requests that carried only this message.
    pub fn count_single_requests(&self, id: &str) -> usize {
        self.received().iter().filter(|request| request.id() == id).count()
    }

    /// Returns the bodies of all delivery notices so far.
    pub fn notices(&self) -> String {
        self.received().into_iter().filter(|m| m.start_line.contains("/v2/finals")).map(|m| m.body).collect()
    }

    /// Waits for a request and returns the newest one.
    pub async fn wait_for_request(&self) -> HttpMessage {
        wait_for("a request", || self.received().pop()).await
    }

    /// Waits for a request that carries only this message, and returns the first one.
    pub async fn wait_for_message(&self, id: &str) -> HttpMessage {
        wait_for(&format!("a request with only message {id:?}"), || {
            self.received().into_iter().find(|request| request.id() == id)
        })
        .await
    }

    /// Waits until exactly `count` requests were received.
    pub async fn wait_for_request_count(&self, count: usize) {
        wait_for("the expected number of requests", || (self.received().len() == count).then_some(())).await
    }

    /// Waits until exactly `count` connections have ended, from either side.
    pub async fn wait_for_closed_connections(&self, count: usize) {
        let closed = || self.closed_connections.load(Ordering::Relaxed);
        wait_for("the expected number of closed connections", || (closed() == count).then_some(())).await
    }

    async fn accept_connections(self, listener: TcpListener) {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            let server = self.clone();
            tokio::spawn(async move {
                server.serve_connection(stream, number).await;
                server.closed_connections.fetch_add(1, Ordering::Relaxed);
            });
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream, number: usize) {
        while let Some(mut request) = read_message(&mut stream).await {
            request.connection = number;
            self.received.lock().unwrap().push(request.clone());
            let script = self.script.lock().unwrap().clone();
            match script(&request) {
                ScriptedResponse::Send(text) => stream.write_all(text.as_bytes()).await.unwrap_or_default(),
                ScriptedResponse::SendAndClose(text) => {
                    return stream.write_all(text.as_bytes()).await.unwrap_or_default()
                }
                ScriptedResponse::CloseConnection => return,
                ScriptedResponse::NeverRespond => while stream.read_u8().await.is_ok() {},
                ScriptedResponse::StreamListUpdates => return self.stream_list_updates(stream).await,
            }
        }
    }

    /// Sends the list updates and empty lines between them until the other side closes the connection.
    async fn stream_list_updates(&self, mut stream: TcpStream) {
        let mut next = self.list_updates.lock().unwrap().len().saturating_sub(1);
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).await.unwrap_or_default();
        loop {
            let update = self.list_updates.lock().unwrap().get(next).cloned();
            next += usize::from(update.is_some());
            let line = update.unwrap_or_default() + "\n";
            if stream.write_all(chunk(&line).as_bytes()).await.is_err() {
                return;
            }
            sleep(ms(20)).await;
        }
    }
}

/// Returns one chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An endpoint with a full accept queue: connections are established only when it accepts one.
pub struct SaturatedEndpoint {
    pub address: SocketAddr,
    listener: std::net::TcpListener,
    /// The connection that fills the accept queue.
    _occupant: std::net::TcpStream,
}

impl SaturatedEndpoint {
    pub fn new() -> SaturatedEndpoint {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let occupant = std::net::TcpStream::connect(address).unwrap();
        SaturatedEndpoint { address, listener: socket.into(), _occupant: occupant }
    }

    /// Accepts the connection that fills the accept queue, and returns the next one.
    pub async fn accept_next(&self) -> TcpStream {
        self.listener.accept().unwrap();
        self.listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(self.listener.try_clone().unwrap()).unwrap();
        listener.accept().await.unwrap().0
    }
}
