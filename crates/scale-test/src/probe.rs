//! Probes, from outside, when a change of the endpoint list is in force at a real forwarder.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::timeout;

use crate::client::{Client, SubmitResult};
use crate::stub_endpoints::StubEndpoints;

/// How long the answer to a probe is waited for. It is longer than clients wait: a forwarder that is slow to answer
/// has not rejected the probe.
const PROBE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Probes come at a tenth of the time waited so far, within these bounds.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(5);
const PROBE_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// How long the request of an accepted message is waited for before the next probe.
const ACCEPTED_PROBE_WAIT: Duration = Duration::from_secs(1);

/// When the first message for a destination arrived where the list says, as far as probes show.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeResult {
    /// When the last probe that was rejected began; none where the first one was accepted.
    pub(crate) last_rejected_at: Option<Instant>,
    /// When the first request arrived.
    pub(crate) arrived_at: Instant,
}

/// A destination that is probed for.
#[derive(Clone, Copy)]
pub(crate) struct ProbeTarget {
    /// The number of the destination.
    pub(crate) destination: u32,
    /// The address at which its requests are to arrive.
    pub(crate) address: SocketAddrV4,
}

/// A client for probes of one forwarder.
pub(crate) fn probe_client(forwarder: SocketAddr) -> Client {
    Client::new(forwarder, PROBE_RESPONSE_TIMEOUT)
}

/// Submits messages for a destination until the request of one of them arrives. A forwarder without a list may accept
/// messages for any destination, so that only an arrival proves that the destination is known. `id` begins the ids
/// of all messages.
pub(crate) async fn probe_until_delivered(
    client: &mut Client,
    endpoints: &StubEndpoints,
    id: &str,
    target: ProbeTarget,
) -> ProbeResult {
    let start = Instant::now();
    let interval = || (start.elapsed() / 10).clamp(PROBE_INTERVAL_MIN, PROBE_INTERVAL_MAX);
    let mut last_rejected_at = None;
    let mut expected_requests = FuturesUnordered::new();
    for number in 0_u64.. {
        let probe_began = Instant::now();
        let message_id = format!("{id}-{number}");
        expected_requests.push(endpoints.expect_request(&message_id, target.address));
        let wait = match client.submit(&message_id, target.destination).await {
            SubmitResult::Accepted => ACCEPTED_PROBE_WAIT,
            SubmitResult::Rejected => {
                last_rejected_at = Some(probe_began);
                interval()
            }
            SubmitResult::NoAnswer => interval(),
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
        // No request comes of messages that were rejected.
        if last_rejected_at.is_some_and(|rejected| rejected >= probe_began) {
            expected_requests.clear();
        }
    }
    unreachable!("the loop has no end")
}
