//! Measures when an endpoint list change is in effect at a real forwarder, by submitting messages.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::timeout;

use crate::client::{Client, SubmitResult};
use crate::stub_endpoints::StubEndpoints;

/// Response timeout of a probe. The timeout is longer than that of clients, so that a slow response is not
/// taken for a missing one.
const PROBE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bounds of the interval between probes, which is a tenth of the time since the first probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(5);
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which the request of an accepted message is expected; another probe follows.
const ACCEPTED_PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The times that probes for a destination determined.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeResult {
    /// When the last rejected probe was sent; `None` if no probe was rejected.
    pub(crate) last_rejected_at: Option<Instant>,
    /// When the first request arrived at the listed endpoint.
    pub(crate) arrived_at: Instant,
}

/// A destination to probe.
#[derive(Clone, Copy)]
pub(crate) struct ProbeTarget {
    /// The number of the destination.
    pub(crate) destination: u32,
    /// The address of the endpoint at which requests for the destination are expected.
    pub(crate) address: SocketAddrV4,
}

/// Returns a client that probes one forwarder.
pub(crate) fn probe_client(forwarder: SocketAddr) -> Client {
    Client::new(forwarder, PROBE_RESPONSE_TIMEOUT)
}

/// Submits messages for a destination until the request of one of them arrives. Acceptance alone does not
/// prove that the destination is known, because a forwarder without an endpoint list accepts messages for any
/// destination. `id_prefix` is the prefix of all message ids.
pub(crate) async fn probe_until_delivered(
    client: &mut Client,
    endpoints: &StubEndpoints,
    id_prefix: &str,
    target: ProbeTarget,
) -> ProbeResult {
    let start = Instant::now();
    let interval = || (start.elapsed() / 10).clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
    let mut last_rejected_at = None;
    let mut expected_requests = FuturesUnordered::new();
    for number in 0_u64.. {
        let probe_began = Instant::now();
        let message_id = format!("{id_prefix}-{number}");
        expected_requests.push(endpoints.expect_request(&message_id, target.address));
        let wait = match client.submit(&message_id, target.destination).await {
            SubmitResult::Accepted => ACCEPTED_PROBE_TIMEOUT,
            SubmitResult::Rejected => {
                last_rejected_at = Some(probe_began);
                interval()
            }
            SubmitResult::NoResponse => interval(),
        };
        let arrival = timeout(wait, async {
            while let Some(arrival) = expected_requests.next().await {
                if let Ok(arrival) = arrival {
                    return arrival;
                }
            }
            std::future::pending().await
        });
        if let Ok(arrived_at) = arrival.await {
            return ProbeResult { last_rejected_at, arrived_at };
        }
        // Rejected messages cause no request.
        if last_rejected_at.is_some_and(|rejected| rejected >= probe_began) {
            expected_requests.clear();
        }
    }
    unreachable!("probes are repeated until a request arrives")
}
