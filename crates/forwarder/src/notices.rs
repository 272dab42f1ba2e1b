//! Delivery notices to the platform, each sent again until the platform has acknowledged it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use reeddock_protocol::{notices_request, AttemptResult, DeliveryNotice};
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::connections::Connection;
use crate::discovery::address_changed;
use crate::events::Event;
use crate::log_throttle::LogThrottle;

/// The most notices in one request, well inside what a body may hold.
const MAX_NOTICES_PER_REQUEST: usize = 128;
/// The platform answers at once, and a notice is overdue 300 ms after its time: a connection that has fallen silent
/// must leave time for another.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// The first pause before a request is repeated; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest such pause. The platform is near, and takes notices also while discovery is down: a longer pause would
/// only make those that fall due meanwhile overdue.
const LONGEST_BACKOFF: Duration = Duration::from_millis(100);

/// Delivers notices to the platform in their order, at its address of the time.
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
            let delivery = sender.deliver(&part).await;
            if delivery == Delivery::Malformed && part.len() > 1 {
                // One of them is malformed: each half is sent by itself, so that the others are not lost with it.
                let second_half = part.split_off(part.len() / 2);
                parts.push_front(second_half);
                parts.push_front(part);
                continue;
            }
            if delivery == Delivery::Malformed {
                log_dropped(&part);
            }
            let acknowledged = part.into_iter().map(|notice| notice.id).collect();
            if event_loop.send(Event::NoticesAcknowledged(acknowledged)).await.is_err() {
                return;
            }
        }
    }
}

/// Logs notices that are dropped: the platform would never read a malformed one, and later ones must not wait for it.
fn log_dropped(notices: &[DeliveryNotice]) {
    for DeliveryNotice { id, answer } in notices {
        tracing::error!(message_id = &*id.0, %answer, "notice dropped, platform answers that it is malformed");
    }
}

/// The outcome of a request with notices.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The platform has acknowledged all of them.
    Acknowledged,
    /// The platform answered that the request is malformed; sending it again would not help.
    Malformed,
}

/// Why a request with notices has to be sent again.
#[derive(Debug, Error)]
enum NoticeError {
    #[error("answered {0}")]
    UnexpectedStatus(StatusCode),
    #[error("no answer")]
    NoAnswer,
    /// The connection could not be opened, or broke.
    #[error("{0}")]
    Connection(AttemptResult),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
}

/// Sends requests with notices, over one connection for as long as it can be used.
struct NoticeSender {
    address: watch::Receiver<SocketAddr>,
    connection: Option<Connection>,
    log_throttle: LogThrottle,
}

impl NoticeSender {
    /// Sends these notices until the platform has read them.
    async fn deliver(&mut self, notices: &[DeliveryNotice]) -> Delivery {
        let mut backoff = FIRST_BACKOFF;
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
                Ok(delivery) => return delivery,
                Err(error) => error,
            };
            if let Some(suppressed) = self.log_throttle.admit() {
                tracing::warn!(%error, suppressed, count = notices.len(), "notices not acknowledged");
            }
            self.connection = None;
            tokio::select! {
                () = sleep(backoff) => backoff = (backoff * 2).min(LONGEST_BACKOFF),
                () = address_changed(&mut self.address) => backoff = FIRST_BACKOFF,
            }
        }
    }
}

/// Sends one request and interprets its status; fails if the platform does not respond in time.
async fn send_within_timeout(
    platform: SocketAddr,
    open_connection: &mut Option<Connection>,
    notices: &[DeliveryNotice],
) -> Result<Delivery, NoticeError> {
    match timeout(ANSWER_TIMEOUT, send(platform, open_connection, notices)).await {
        Ok(Ok(StatusCode::BAD_REQUEST)) => Ok(Delivery::Malformed),
        Ok(Ok(status)) if status.is_success() => Ok(Delivery::Acknowledged),
        Ok(Ok(status)) => Err(NoticeError::UnexpectedStatus(status)),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(NoticeError::NoAnswer),
    }
}

/// Sends one request on the open connection, or on a new one, and keeps the connection open if it can carry another.
async fn send(
    platform: SocketAddr,
    open_connection: &mut Option<Connection>,
    notices: &[DeliveryNotice],
) -> Result<StatusCode, NoticeError> {
    let mut connection = match open_connection.take() {
        Some(connection) => connection,
        None => Connection::open(platform, ANSWER_TIMEOUT, None).await.map_err(NoticeError::Connection)?,
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
