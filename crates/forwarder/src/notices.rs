//! Notices to the platform, sent again until it has them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use reeddock_protocol::{notices_request, DeliveryNotice};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::connections::Connection;
use crate::discovery::moved;
use crate::events::Event;
use crate::log_throttle::LogThrottle;

/// Notices in one message at most, well inside what a body may hold.
const TOGETHER: usize = 128;
/// The platform answers at once, and an end is overdue 300 ms after its time: a connection that has gone silent
/// must leave time for another.
const ANSWER_WITHIN: Duration = Duration::from_millis(150);
/// The platform is near, and takes notices also while discovery is down: a longer rest would only make those that are
/// due meanwhile overdue.
const AGAIN_FIRST: Duration = Duration::from_millis(20);
const AGAIN_MOST: Duration = Duration::from_millis(100);

/// Sends what comes in, in its order, to wherever the platform is then.
pub async fn tell(
    mut at: watch::Receiver<SocketAddr>,
    mut ended: mpsc::UnboundedReceiver<DeliveryNotice>,
    event_loop: mpsc::Sender<Event>,
) {
    let mut connection: Option<Connection> = None;
    let mut log_throttle = LogThrottle::default();
    let mut batch = Vec::new();
    while ended.recv_many(&mut batch, TOGETHER).await > 0 {
        let mut parts = VecDeque::from([std::mem::take(&mut batch)]);
        while let Some(mut part) = parts.pop_front() {
            if !accepted(&mut at, &mut connection, &mut log_throttle, &part).await {
                if part.len() > 1 {
                    // One of them can't be read, and the others are not to go with it.
                    let behind = part.split_off(part.len() / 2);
                    parts.push_front(behind);
                    parts.push_front(part);
                    continue;
                }
                for DeliveryNotice { id, end } in &part {
                    // It would never be read, and those behind it must not wait.
                    tracing::error!(
                        id = &*id.0,
                        ?end,
                        "the platform can't read this notice, which is given up"
                    );
                }
            }
            let told = part.into_iter().map(|n| n.id).collect();
            if event_loop.send(Event::Told(told)).await.is_err() {
                return;
            }
        }
    }
}

/// Sends these until the platform has read them; false says that it can't.
async fn accepted(
    at: &mut watch::Receiver<SocketAddr>,
    connection: &mut Option<Connection>,
    log_throttle: &mut LogThrottle,
    batch: &[DeliveryNotice],
) -> bool {
    let mut again = AGAIN_FIRST;
    loop {
        if at.has_changed().unwrap_or(false) {
            *connection = None;
        }
        let discovery = *at.borrow_and_update();
        let sent = tokio::select! {
            sent = timeout(ANSWER_WITHIN, send(discovery, connection, batch)) => sent,
            () = moved(at) => {
                at.mark_changed();
                continue;
            }
        };
        let fault = match sent {
            Ok(Ok(StatusCode::BAD_REQUEST)) => return false,
            Ok(Ok(status)) if status.is_success() => return true,
            Ok(Ok(status)) => format!("answered {status}"),
            Ok(Err(fault)) => fault,
            Err(_) => "no answer".into(),
        };
        if let Some(more) = log_throttle.now() {
            tracing::warn!(%fault, more, count = batch.len(), "notices are sent again");
        }
        *connection = None;
        tokio::select! {
            () = sleep(again) => again = (again * 2).min(AGAIN_MOST),
            () = moved(at) => again = AGAIN_FIRST,
        }
    }
}

async fn send(
    discovery: SocketAddr,
    kept: &mut Option<Connection>,
    batch: &[DeliveryNotice],
) -> Result<StatusCode, String> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(discovery, ANSWER_WITHIN, None).await.map_err(|e| format!("{e:?}"))?,
    };
    let request = notices_request(discovery, batch).map_err(|e| e.to_string())?;
    let response = connection.send(request).await.map_err(|e| format!("{e:?}"))?;
    let status = response.status();
    let mut body = response.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    if connection.ready().await {
        *kept = Some(connection);
    }
    Ok(status)
}
