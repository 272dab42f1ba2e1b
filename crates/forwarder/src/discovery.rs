//! The watch on the list of endpoints, opened again whenever it breaks or falls silent.

use std::net::SocketAddr;

use reeddock_protocol::{retry_after_of, watch_request};
use tokio::sync::{mpsc, watch as told};
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::connections::Connection;
use crate::events::Event;
use crate::list_reader::read;
use crate::log_throttle::LogThrottle;
use crate::watch_schedule::{Loss, Periods, WatchSchedule};

/// Where discovery is from now on; never, once nobody can tell that any more.
pub(crate) async fn moved(at: &mut told::Receiver<SocketAddr>) {
    if at.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Watches for ever. `cached_list` is the generation of the list that the owner has, wherever it is watched.
pub async fn follow(
    mut at: told::Receiver<SocketAddr>,
    mut cached_list: u64,
    mut schedule: WatchSchedule,
    event_loop: mpsc::Sender<Event>,
) {
    let start = Instant::now();
    let mut log_throttle = LogThrottle::default();
    loop {
        let mut heard = false;
        let discovery = *at.borrow_and_update();
        let call = EndpointRequest {
            discovery,
            give_up_at: start + schedule.begin(start.elapsed()),
            periods: schedule.periods(),
        };
        let loss = tokio::select! {
            loss = call.listen(&mut cached_list, &mut heard, &event_loop) => loss,
            () = moved(&mut at) => {
                schedule.moved(start.elapsed());
                continue;
            }
        };
        let next = start + schedule.lost(start.elapsed(), &loss, heard);
        if let Some(more) = log_throttle.now() {
            let rest = next.saturating_duration_since(Instant::now());
            tracing::warn!(
                fault = %loss,
                ?rest,
                more,
                "the watch on the list of targets ended and is opened again after a rest"
            );
        }
        if event_loop.send(Event::ListFailed).await.is_err() {
            return;
        }
        tokio::select! {
            () = sleep_until(next) => {}
            () = moved(&mut at) => schedule.moved(start.elapsed()),
        }
    }
}

/// One call for the watch.
struct EndpointRequest {
    discovery: SocketAddr,
    give_up_at: Instant,
    periods: Periods,
}

impl EndpointRequest {
    /// Opens the watch and reads it until it ends; says why it did.
    async fn listen(self, cached_list: &mut u64, heard: &mut bool, event_loop: &mpsc::Sender<Event>) -> Loss {
        let request = match watch_request(self.discovery, *cached_list) {
            Ok(request) => request,
            Err(fault) => return Loss::Broken(fault.to_string()),
        };
        let mut connection = match Connection::open(self.discovery, self.periods.connect, None).await {
            Ok(connection) => connection,
            Err(result) => return Loss::Broken(format!("discovery: {result:?}")),
        };
        let response = match timeout_at(self.give_up_at, connection.send(request)).await {
            Err(_) => return Loss::FinalAnswer,
            Ok(Err(result)) => return Loss::Broken(format!("discovery: {result:?}")),
            Ok(Ok(response)) => response,
        };
        let (answer, body) = response.into_parts();
        if answer.status != http::StatusCode::OK {
            return Loss::Refused(format!("answered {}", answer.status), retry_after_of(&answer));
        }
        read(connection, body, cached_list, heard, self.periods.silent_after, event_loop).await
    }
}
