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
/// The platform answers at once, and a notice is overdue 300 ms after its time: a connection that has fallen silent must
/// leave time for another.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// The first pause before a request is repeated; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest such pause. The platform is near, and takes notices also while discovery is down: a longer pause would
/// only make those that fall due meanwhile overdue.
const LONGEST_BACKOFF: Duration = Duration::from_millis(100);

/// Delivers the notices in their order to the platform, wherever it is at the time.
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
                // One of them is malformed, and the others must not be lost with it.
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

/// A malformed notice would never be read, and those after it must not wait for it.
fn log_dropped(notices: &[DeliveryNotice]) {
    for DeliveryNotice { id, answer } in notices {
        tracing::error!(message_id = &*id.0, %answer, "notice dropped: the platform can't read it");
    }
}

/// What became of a request with notices.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// The platform has all of them.
    Acknowledged,
    /// The platform can't read the request, and never will.
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
                    // Seen at the start of the next round.
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

async fn send_within_timeout(
    platform: SocketAddr,
    kept: &mut Option<Connection>,
    notices: &[DeliveryNotice],
) -> Result<Delivery, NoticeError> {
    match timeout(ANSWER_TIMEOUT, send(platform, kept, notices)).await {
        Ok(Ok(StatusCode::BAD_REQUEST)) => Ok(Delivery::Malformed),
        Ok(Ok(status)) if status.is_success() => Ok(Delivery::Acknowledged),
        Ok(Ok(status)) => Err(NoticeError::UnexpectedStatus(status)),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(NoticeError::NoAnswer),
    }
}

/// Sends one request, on the kept connection if there is one, and keeps the connection if it can carry another.
async fn send(
    platform: SocketAddr,
    kept: &mut Option<Connection>,
    notices: &[DeliveryNotice],
) -> Result<StatusCode, NoticeError> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(platform, ANSWER_TIMEOUT, None).await.map_err(NoticeError::Connection)?,
    };
    let request = notices_request(platform, notices)?;
    let response = connection.send(request).await.map_err(NoticeError::Connection)?;
    let status = response.status();
    let mut body = response.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    if connection.ready().await {
        *kept = Some(connection);
    }
    Ok(status)
}
