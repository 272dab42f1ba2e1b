//! Timer that the policy requests from its host.

use std::time::Duration;

/// Minimum duration of a timer, and maximum time by which a host's timer may fire early because it rounds down.
pub(crate) const MIN_TIMER: Duration = Duration::from_millis(1);

/// Pending timer of the host, if any.
#[derive(Default)]
pub(crate) struct PolicyTimer {
    fires_at: Option<Duration>,
}

impl PolicyTimer {
    /// Requests a timer for the given time. Returns the duration of the timer that the host must set, or
    /// `None` if the pending timer fires early enough.
    #[must_use]
    pub(crate) fn request(&mut self, at: Duration, now: Duration) -> Option<Duration> {
        let at = at.max(now + MIN_TIMER);
        if self.fires_at.is_some_and(|pending| pending > now && at >= pending) {
            return None;
        }
        self.fires_at = Some(at);
        Some(at - now)
    }

    /// Clears the pending timer if it is due. Timers that fire up to [`MIN_TIMER`] early count as due,
    /// because otherwise no new timer is set and a message misses its deadline.
    pub(crate) fn fired(&mut self, now: Duration) {
        if self.fires_at.is_some_and(|at| at <= now + MIN_TIMER) {
            self.fires_at = None;
        }
    }
}
