//! The `Retry-After` that came from each address, for endpoints that are listed there later. Pure state without
//! I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The minimum time between two removals of expired pauses.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// A `Retry-After` from an address. Times are those of the policy's clock.
#[derive(Clone, Copy)]
struct Pause {
    received_at: Duration,
    until: Duration,
}

/// The pauses of all addresses that have set a `Retry-After`, until they end.
///
/// The process at an address can set a `Retry-After` before the endpoint list names its endpoint: a request to
/// the address's former endpoint reaches it, because the list is late.
#[derive(Default)]
pub struct AddressPauses {
    /// The pauses of each address in the order of their receipt. Each ends before the one that was received
    /// before it, as a later end makes earlier pauses irrelevant.
    pauses: BTreeMap<SocketAddr, Vec<Pause>>,
    next_cleanup: Duration,
}

impl AddressPauses {
    /// Records a `Retry-After` that was received at `now`. Earlier pauses of the address that end later remain in
    /// effect.
    pub fn record(&mut self, address: SocketAddr, retry_after: Duration, now: Duration) {
        self.remove_expired(now);
        let until = now + retry_after;
        let pauses = self.pauses.entry(address).or_default();
        pauses.retain(|earlier| until < earlier.until);
        pauses.push(Pause { received_at: now, until });
    }

    /// Returns the rest of the longest pause that an endpoint can have set which started at `started_at`. `None`
    /// if there is none.
    pub fn remaining(&self, address: SocketAddr, started_at: Duration, now: Duration) -> Option<Duration> {
        let pauses = self.pauses.get(&address)?;
        let longest = pauses.iter().find(|pause| started_at <= pause.received_at)?;
        longest.until.checked_sub(now).filter(|remaining| !remaining.is_zero())
    }

    /// Returns whether no pause is stored.
    pub fn is_empty(&self) -> bool {
        self.pauses.is_empty()
    }

    /// Returns the number of addresses whose pauses are stored.
    pub fn count(&self) -> usize {
        self.pauses.len()
    }

    fn remove_expired(&mut self, now: Duration) {
        if now < self.next_cleanup {
            return;
        }
        self.pauses.retain(|_, pauses| {
            pauses.retain(|pause| now < pause.until);
            !pauses.is_empty()
        });
        self.next_cleanup = now + CLEANUP_INTERVAL;
    }
}
