//! Schedule of the polls of the endpoint list.

use std::time::Duration;

/// Next poll of the endpoint list, and the backoff after failed polls.
#[derive(Default)]
pub(crate) struct PollSchedule {
    next_poll: Option<Duration>,
    /// Backoff after the last failed poll, without jitter; zero after a success.
    backoff: Duration,
}

impl PollSchedule {
    pub(crate) fn next_poll(&self) -> Option<Duration> {
        self.next_poll
    }

    pub(crate) fn backoff(&self) -> Duration {
        self.backoff
    }

    /// Schedules a poll and records the backoff that its time is based on.
    pub(crate) fn schedule(&mut self, at: Duration, backoff: Duration) {
        self.next_poll = Some(at);
        self.backoff = backoff;
    }

    /// Resets the backoff, because the endpoint list is being received.
    pub(crate) fn reset_backoff(&mut self) {
        self.backoff = Duration::ZERO;
    }

    /// Removes the scheduled poll if it is due. Returns whether it was due.
    pub(crate) fn take_due(&mut self, now: Duration) -> bool {
        self.next_poll.take_if(|at| *at <= now).is_some()
    }
}
