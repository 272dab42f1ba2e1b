//! When the endpoint list is to be polled again.

use std::time::Duration;

/// The next poll of the endpoint list after a failed one.
#[derive(Default)]
pub(crate) struct PollSchedule {
    next_poll: Option<Duration>,
    /// The backoff after the last failure, before chance; zero after a success.
    backoff: Duration,
}

impl PollSchedule {
    pub(crate) fn next_poll(&self) -> Option<Duration> {
        self.next_poll
    }

    pub(crate) fn backoff(&self) -> Duration {
        self.backoff
    }

    /// Schedules a poll, with the backoff that it comes from.
    pub(crate) fn schedule(&mut self, at: Duration, backoff: Duration) {
        self.next_poll = Some(at);
        self.backoff = backoff;
    }

    /// The list is being received.
    pub(crate) fn reset_backoff(&mut self) {
        self.backoff = Duration::ZERO;
    }

    /// Takes the scheduled poll if its time has come; says whether it has.
    pub(crate) fn take_due(&mut self, now: Duration) -> bool {
        self.next_poll.take_if(|at| *at <= now).is_some()
    }
}
