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
    pauses: BTreeMap<SocketAddr, Pause>,
    next_cleanup: Duration,
}

impl AddressPauses {
    /// Records a `Retry-After` that was received at `now`. A later end from an earlier call remains in effect.
    pub fn record(&mut self, address: SocketAddr, retry_after: Duration, now: Duration) {
        self.remove_expired(now);
        let new = Pause { received_at: now, until: now + retry_after };
        let pause = self.pauses.entry(address).or_insert(new);
        if pause.until < new.until {
            *pause = new;
        }
    }

    /// Returns the rest of the pause that an endpoint has set which started at `started_at`. `None` if there
    /// is none.
    pub fn remaining(&self, address: SocketAddr, started_at: Duration, now: Duration) -> Option<Duration> {
        let pause = self.pauses.get(&address).filter(|pause| started_at <= pause.received_at)?;
        pause.until.checked_sub(now).filter(|remaining| !remaining.is_zero())
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
        self.pauses.retain(|_, pause| now < pause.until);
        self.next_cleanup = now + CLEANUP_INTERVAL;
    }
}
