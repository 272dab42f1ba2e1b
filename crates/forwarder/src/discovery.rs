//! The watch on the endpoint list, which is reopened after each loss.

use std::net::SocketAddr;

use reeddock_protocol::{parse_retry_after, watch_request, ListLimits};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::connections::{Connection, ConnectionOptions};
use crate::events::Event;
use crate::list_reader::{ListReader, WatchProgress};
use crate::log_throttle::LogThrottle;
use crate::watch_schedule::{Received, WatchFailure, WatchLoss, WatchSchedule, WatchTimings};

/// Completes when the address of discovery changes. Never completes once the sender of the address is
/// dropped.
pub(crate) async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Watches the endpoint list until the event loop ends.
///
/// `generation` is the generation of the list that the event loop already has. The first watch requests the
/// changes after that generation. A list that exceeds `list_limits` is refused.
pub async fn watch_endpoint_list(
    mut address: watch::Receiver<SocketAddr>,
    generation: u64,
    mut schedule: WatchSchedule,
    list_limits: ListLimits,
    event_loop: mpsc::Sender<Event>,
) {
    let start = Instant::now();
    let mut log_throttle = LogThrottle::default();
    let mut progress = WatchProgress { generation, received: Received::Nothing };
    loop {
        progress.received = Received::Nothing;
        let request = WatchRequest {
            discovery: *address.borrow_and_update(),
            response_deadline: start + schedule.request_started(start.elapsed()),
            timings: schedule.timings(),
            list_limits,
        };
        let loss = tokio::select! {
            loss = request.run(&mut progress, &event_loop) => Some(loss),
            () = address_changed(&mut address) => None,
        };
        let has_moved = if let Some(loss) = loss {
            let next_request = start + schedule.watch_lost(start.elapsed(), &loss, progress.received);
            log_loss(&mut log_throttle, &loss, next_request);
            if event_loop.send(Event::WatchLost).await.is_err() {
                return;
            }
            tokio::select! {
                () = sleep_until(next_request) => false,
                () = address_changed(&mut address) => true,
            }
        } else {
            true
        };
        if has_moved {
            schedule.discovery_address_changed(start.elapsed());
            if event_loop.send(Event::DiscoveryMoved).await.is_err() {
                return;
            }
        }
    }
}

/// Logs why a watch was lost and after which delay the next one is opened.
fn log_loss(log_throttle: &mut LogThrottle, loss: &WatchLoss, next_request: Instant) {
    if let Some(suppressed) = log_throttle.admit() {
        let retry_in = next_request.saturating_duration_since(Instant::now());
        tracing::warn!(error = %loss, ?retry_in, suppressed, "endpoint list watch lost");
    }
}

/// A request that opens a watch.
struct WatchRequest {
    discovery: SocketAddr,
    /// The time at which the request is cancelled if no response has arrived.
    response_deadline: Instant,
    timings: WatchTimings,
    list_limits: ListLimits,
}

impl WatchRequest {
    /// Opens the watch and reads it until it is lost. Returns why it was lost or could not be opened.
    async fn run(self, progress: &mut WatchProgress, event_loop: &mpsc::Sender<Event>) -> WatchLoss {
        let request = match watch_request(self.discovery, progress.generation) {
            Ok(request) => request,
            Err(error) => return WatchFailure::BuildRequest(error.to_string()).into(),
        };
        let options = ConnectionOptions::to_platform(self.timings.connect_timeout);
        let mut connection = match Connection::open(self.discovery, options).await {
            Ok(connection) => connection,
            Err(result) => return WatchFailure::Connection(result).into(),
        };
        let response = match timeout_at(self.response_deadline, connection.send(request)).await {
            Err(_) => return WatchLoss::ResponseTimeout,
            Ok(Err(result)) => return WatchFailure::Connection(result).into(),
            Ok(Ok(response)) => response,
        };
        let (head, body) = response.into_parts();
        if head.status != http::StatusCode::OK {
            return WatchLoss::UnexpectedStatus {
                status: head.status,
                retry_after: parse_retry_after(&head),
            };
        }
        ListReader::new(progress, event_loop, self.list_limits)
            .read(connection, body, self.timings.idle_timeout)
            .await
    }
}
