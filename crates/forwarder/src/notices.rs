//! Sends delivery notices to the platform, and repeats each until the platform has acknowledged it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use reeddock_protocol::{notices_request, AttemptResult, DeliveryNotice};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::connections::{Connection, ConnectionOptions};
use crate::discovery::address_changed;
use crate::events::Event;
use crate::log_throttle::LogThrottle;

/// The maximum number of notices in one request, so that its body stays below the platform's size limit.
const MAX_NOTICES_PER_REQUEST: usize = 128;
/// The timeout of a request, half of the 300 ms within which a notice is due, so that a request on another
/// connection can follow in time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// The delay before the first repetition of a request. The delay doubles with each further repetition.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// The maximum delay between repetitions, short enough that notices are not overdue after a short outage.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Sends queued notices to the platform in order, at the platform's current address, until the queue is
/// closed.
pub async fn deliver(
    address: watch::Receiver<SocketAddr>,
    mut queue: mpsc::UnboundedReceiver<DeliveryNotice>,
    event_loop: mpsc::Sender<Event>,
) {
    let mut sender = NoticeSender { address, connection: None, log_throttle: LogThrottle::default() };
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_NOTICES_PER_REQUEST).await > 0 {
        let mut parts = VecDeque::from([std::mem::take(&mut batch)]);
        while let Some(mut part) = parts.pop_front() {
            let outcome = sender.deliver(&part).await;
            if outcome == NoticesOutcome::Malformed && part.len() > 1 {
                // At least one of the notices is malformed. Each half is sent separately so that the valid
                // ones are delivered.
                let second_half = part.split_off(part.len() / 2);
                parts.push_front(second_half);
                parts.push_front(part);
                continue;
            }
            if outcome == NoticesOutcome::Malformed {
                log_dropped(&part);
            }
            let acknowledged = part.into_iter().map(|notice| notice.id).collect();
            if event_loop.send(Event::NoticesAcknowledged(acknowledged)).await.is_err() {
                return;
            }
        }
    }
}

/// Logs malformed notices, which are dropped because the platform would reject them again and later notices
/// must not wait.
fn log_dropped(notices: &[DeliveryNotice]) {
    for DeliveryNotice { id, answer } in notices {
        tracing::error!(message_id = &*id.0, %answer, "notice dropped, platform answers that it is malformed");
    }
}

/// The outcome of a request with notices.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NoticesOutcome {
    /// The platform has acknowledged all notices.
    Acknowledged,
    /// The platform responded that the request is malformed. A repetition would have the same result.
    Malformed,
}

/// The error of a request with notices that has to be repeated.
#[derive(Debug, Error)]
enum NoticeError {
    #[error("platform responded with status {0}, expected a 2xx status")]
    UnexpectedStatus(StatusCode),
    #[error("platform sent no response within {:?}", RESPONSE_TIMEOUT)]
    ResponseTimeout,
    #[error("connection to the platform failed: {0}")]
    Connection(AttemptResult),
    #[error("cannot build the request with notices: {0}")]
    Request(#[from] http::Error),
}

/// Sends requests with notices. A connection is reused until it fails or the platform's address changes.
struct NoticeSender {
    address: watch::Receiver<SocketAddr>,
    connection: Option<Connection>,
    log_throttle: LogThrottle,
}

impl NoticeSender {
    /// Sends notices until the platform has acknowledged them or responded that they are malformed.
    async fn deliver(&mut self, notices: &[DeliveryNotice]) -> NoticesOutcome {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            if self.address.has_changed().unwrap_or(false) {
                self.connection = None;
            }
            let platform = *self.address.borrow_and_update();
            let sent = tokio::select! {
                sent = send_within_timeout(platform, &mut self.connection, notices) => sent,
                () = address_changed(&mut self.address) => {
                    // The next iteration reads the new address.
                    self.address.mark_changed();
                    continue;
                }
            };
            let error = match sent {
                Ok(outcome) => return outcome,
                Err(error) => error,
            };
            if let Some(suppressed) = self.log_throttle.admit() {
                tracing::warn!(%error, suppressed, count = notices.len(), "notices not acknowledged");
            }
            self.connection = None;
            tokio::select! {
                () = sleep(backoff) => backoff = (backoff * 2).min(MAX_BACKOFF),
                () = address_changed(&mut self.address) => backoff = INITIAL_BACKOFF,
            }
        }
    }
}

/// Sends one request and interprets the status of the response. Fails if the platform does not respond in
/// time.
async fn send_within_timeout(
    platform: SocketAddr,
    open_connection: &mut Option<Connection>,
    notices: &[DeliveryNotice],
) -> Result<NoticesOutcome, NoticeError> {
    match timeout(RESPONSE_TIMEOUT, send(platform, open_connection, notices)).await {
        Ok(Ok(StatusCode::BAD_REQUEST)) => Ok(NoticesOutcome::Malformed),
        Ok(Ok(status)) if status.is_success() => Ok(NoticesOutcome::Acknowledged),
        Ok(Ok(status)) => Err(NoticeError::UnexpectedStatus(status)),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(NoticeError::ResponseTimeout),
    }
}

/// Sends one request on the open connection or a new one, and keeps the connection if it can be reused.
async fn send(
    platform: SocketAddr,
    open_connection: &mut Option<Connection>,
    notices: &[DeliveryNotice],
) -> Result<StatusCode, NoticeError> {
    let mut connection = match open_connection.take() {
        Some(connection) => connection,
        None => {
            let options = ConnectionOptions::to_platform(RESPONSE_TIMEOUT);
            Connection::open(platform, options).await.map_err(NoticeError::Connection)?
        }
    };
    let request = notices_request(platform, notices)?;
    let response = connection.send(request).await.map_err(NoticeError::Connection)?;
    let status = response.status();
    let mut body = response.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    if connection.ready().await {
        *open_connection = Some(connection);
    }
    Ok(status)
}
