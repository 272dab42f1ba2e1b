//! The one timer that the policy has its host set.

use std::time::Duration;

/// The shortest timer, and how early a host's timer may fire.
pub(crate) const MIN_TIMER: Duration = Duration::from_millis(1);

/// The timer that was set last and has not fired.
#[derive(Default)]
pub(crate) struct PolicyTimer {
    fires_at: Option<Duration>,
}

impl PolicyTimer {
    /// Requests that the timer fires at this time, unless one is pending that fires no later. Returns the span of
    /// the timer that the host has to set, if any.
    #[must_use]
    pub(crate) fn request(&mut self, at: Duration, now: Duration) -> Option<Duration> {
        let at = at.max(now + MIN_TIMER);
        if self.fires_at.is_some_and(|pending| pending > now && at >= pending) {
            return None;
        }
        self.fires_at = Some(at);
        Some(at - now)
    }

    /// The timer has fired. Symptom that the margin prevents: a message outlives its deadline, as a host's timer
    /// rounds down and fires a moment early.
    pub(crate) fn fired(&mut self, now: Duration) {
        if self.fires_at.is_some_and(|at| at <= now + MIN_TIMER) {
            self.fires_at = None;
        }
    }
}
