//! Answers client requests: submissions and health checks.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use reeddock_protocol::{ClientResponse, ConnectionOption, SubmissionHead};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tower::Service;

use super::client_connection::ClientConnection;
use super::clients::ClientConnections;
use super::request_body::{read_body, BodyContent, BodyMemory};
use crate::events::Event;
use crate::memory_budget::BudgetExceeded;

/// Whether a connection is within the limit of served connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionCapacity {
    /// Submissions on the connection are accepted.
    Available,
    /// The connection is beyond the limit. A submission is answered with [`ClientResponse::NoCapacity`], and
    /// the connection is closed after its first response.
    Exceeded,
}

#[derive(Clone)]
pub(super) struct IngressService {
    pub(super) clients: Arc<ClientConnections>,
    pub(super) connection: Arc<ClientConnection>,
    pub(super) event_loop: mpsc::Sender<Event>,
    pub(super) capacity: ConnectionCapacity,
    /// The memory for the bodies of all requests, until their responses.
    pub(super) body_memory: Arc<BodyMemory>,
    /// While more connections than this are open, each connection is closed after its response.
    pub(super) keep_alive_limit: usize,
}

impl Service<Request<Incoming>> for IngressService {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let service = self.clone();
        service.connection.record_request_start();
        Box::pin(async move {
            let response = service.respond(request).await;
            service.connection.record_response_ready();
            let connection = service.connection_option(&response);
            Ok(response.encode(connection))
        })
    }
}

impl IngressService {
    async fn respond(&self, request: Request<Incoming>) -> ClientResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => self.health(),
            (&Method::POST, "/api") => self.submit(request).await.unwrap_or_else(|rejection| rejection),
            _ => ClientResponse::NotFound,
        }
    }

    fn health(&self) -> ClientResponse {
        if self.clients.is_shutting_down() {
            ClientResponse::ShuttingDown
        } else {
            ClientResponse::Healthy { list_fault: self.clients.list_fault() }
        }
    }

    /// Returns whether the connection stays open after this response.
    fn connection_option(&self, response: &ClientResponse) -> ConnectionOption {
        let above_keep_alive_limit = self.clients.count() > self.keep_alive_limit;
        let closes = self.capacity == ConnectionCapacity::Exceeded
            || leaves_bytes_unread(response)
            || above_keep_alive_limit
            || self.clients.is_shutting_down();
        if closes {
            ConnectionOption::Close
        } else {
            ConnectionOption::KeepAlive
        }
    }

    /// Passes a submission to the event loop and returns its response. The error is the response to a
    /// submission that the event loop did not receive or did not answer.
    async fn submit(&self, request: Request<Incoming>) -> Result<ClientResponse, ClientResponse> {
        let (parts, body) = request.into_parts();
        // Rejects chunked bodies because they allow request smuggling: servers may disagree on where such a
        // body ends.
        if parts.headers.contains_key(TRANSFER_ENCODING) {
            return Err(ClientResponse::LengthRequired);
        }
        let head = SubmissionHead::decode(&parts);
        // The head is dropped before the body is read, because it keeps the read buffer that it came in.
        drop(parts);
        let body = read_body(body, &self.body_memory).await?;
        if self.connection.bytes_after_head() > body.length {
            return Err(ClientResponse::LengthMismatch);
        }
        let received_at = Instant::now();
        let head = head.map_err(|error| ClientResponse::Malformed { error })?;
        if self.capacity == ConnectionCapacity::Exceeded {
            return Err(ClientResponse::NoCapacity);
        }
        let BodyContent { bytes, grant } =
            body.content.map_err(|BudgetExceeded| ClientResponse::NoCapacity)?;
        let (reply, answered) = oneshot::channel();
        let event = Event::Submission { submission: head.with_body(bytes), received_at, reply };
        self.event_loop.try_send(event).map_err(|_| ClientResponse::NoCapacity)?;
        let response = answered.await.map_err(|_| ClientResponse::NoCapacity);
        // From here on, the body counts as that of a pending message, or is dropped.
        drop(grant);
        response
    }
}

/// Returns whether bytes of the request may be unread, which could be parsed as the next request.
fn leaves_bytes_unread(response: &ClientResponse) -> bool {
    matches!(
        response,
        ClientResponse::TooLarge
            | ClientResponse::RequestTimeout
            | ClientResponse::LengthRequired
            | ClientResponse::LengthMismatch
    )
}
