//! The one timer that the policy asks its host for.

use std::time::Duration;

/// Shortest timer that is asked for, and how early a host's timer may fire.
pub(crate) const MIN_TIMER: Duration = Duration::from_millis(1);

/// When the host was last asked to call back.
#[derive(Default)]
pub(crate) struct PolicyTimer {
    fires_at: Option<Duration>,
}

impl PolicyTimer {
    /// Requests a call back at this time, unless one is pending that comes no later. Returns how long the
    /// host has to wait, if it has to set a timer.
    #[must_use]
    pub(crate) fn request(&mut self, at: Duration, now: Duration) -> Option<Duration> {
        let at = at.max(now + MIN_TIMER);
        if self.fires_at.is_some_and(|pending| pending > now && at >= pending) {
            return None;
        }
        self.fires_at = Some(at);
        Some(at - now)
    }

    /// The host has called back. Symptom that the margin prevents: a message outlives its deadline, as a host's
    /// timer rounds down and fires a moment early.
    pub(crate) fn fired(&mut self, now: Duration) {
        if self.fires_at.is_some_and(|at| at <= now + MIN_TIMER) {
            self.fires_at = None;
        }
    }
}
