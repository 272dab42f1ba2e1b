//! Schedules the requests that open the watch on the endpoint list, and their timeouts. Pure logic without
//! I/O.
//!
//! A change must be received at most [`WatchTimings::max_staleness`] after discovery has it. A request
//! therefore starts at most that time, less [`WatchTimings::max_response_time`], after the last received line
//! and after the start of the previous request. A `Retry-After` header does not extend this deadline, because
//! only a request in flight may wait longer, and is limited to half of the request interval.
//!
//! The first failures of a connection are followed by quick retries. Afterwards each forwarder sends one
//! request per interval, at its own point in the interval, so that the requests of a fleet are spread and do
//! not overload discovery. Refused requests use up what discovery can answer: a fleet that asks more often than
//! the deadline requires, or all at once, keeps it overloaded.

use std::time::Duration;

use http::StatusCode;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use reeddock_protocol::AttemptResult;
use thiserror::Error;

/// The number of quick retries after a failed connection. The count is reset once a watch has stayed open for
/// a whole request interval.
const MAX_QUICK_RETRIES: u32 = 2;

/// The limits and timeouts of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct WatchTimings {
    /// The time within which the forwarder must receive a change after discovery has it.
    pub max_staleness: Duration,
    /// The time after a change of discovery's address within which the forwarder must have received the
    /// changes that discovery has.
    pub max_staleness_after_move: Duration,
    /// The part of `max_staleness` that is reserved for the response to a request.
    pub max_response_time: Duration,
    /// The minimum time before a request without a response is cancelled.
    pub min_response_timeout: Duration,
    /// The timeout for connecting to discovery.
    pub connect_timeout: Duration,
    /// The time without any received byte after which a watch is lost. Discovery sends an empty line every
    /// two seconds.
    pub idle_timeout: Duration,
    /// The time over which requests are spread when the watches of several forwarders reach the idle timeout
    /// together.
    pub idle_retry_spread: Duration,
    /// The mean delay of the first quick retry. The second one has twice this delay.
    pub quick_retry_delay: Duration,
}

impl Default for WatchTimings {
    fn default() -> WatchTimings {
        WatchTimings {
            max_staleness: Duration::from_secs(6),
            max_staleness_after_move: Duration::from_secs(4),
            max_response_time: Duration::from_millis(250),
            min_response_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(3),
            idle_retry_spread: Duration::from_secs(1),
            quick_retry_delay: Duration::from_millis(100),
        }
    }
}

impl WatchTimings {
    /// Returns the time from the start of one request to the start of the next while requests fail.
    pub fn request_interval(&self) -> Duration {
        self.max_staleness.saturating_sub(self.max_response_time)
    }
}

/// The failure of a watch, or of the request that opens it.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum WatchFailure {
    /// The request could not be built. Contains the error as one line of text.
    #[error("cannot build the watch request: {0}")]
    BuildRequest(String),
    /// The connection to discovery could not be opened, or was closed before the head of the response.
    #[error("connection to discovery failed: {0}")]
    Connection(AttemptResult),
    /// The connection failed in the body of the response. Contains the error as one line of text.
    #[error("cannot read the body of the watch response: {0}")]
    ReadBody(String),
    /// Discovery ended the response.
    #[error("discovery ended the watch response, expected it to stay open")]
    ResponseEnded,
    /// The list is malformed. Contains the place and what was expected there, as one line of text.
    #[error("malformed endpoint list: {0}")]
    MalformedList(String),
    /// The event loop has ended, so that no events can be sent to it.
    #[error("event loop has ended, expected it to receive list events")]
    EventLoopEnded,
}

/// The reason why a watch was lost or could not be opened.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum WatchLoss {
    /// The request, the connection or the decoding of the list failed.
    #[error(transparent)]
    Failed(#[from] WatchFailure),
    /// No byte was received on an open watch for [`WatchTimings::idle_timeout`].
    #[error("nothing received on the open watch within the idle timeout")]
    IdleTimeout,
    /// The request was cancelled because no response arrived in time.
    #[error("discovery sent no response before the request timed out")]
    ResponseTimeout,
    /// Discovery responded with a status other than 200.
    #[error("discovery responded with status {status}, expected 200 OK")]
    UnexpectedStatus {
        /// The status code of the response.
        status: StatusCode,
        /// The value of the `Retry-After` header, or `None` if the response had none.
        retry_after: Option<Duration>,
    },
}

/// The data that a watch had received when it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// No complete line, or the watch was not opened.
    Nothing,
    /// At least one complete line, which confirms that the list was up to date at that time.
    Lines,
}

/// The time window in which a request starts. Each forwarder selects its own time in the window, so that the
/// requests of a fleet are spread.
#[derive(Clone, Copy, Debug)]
struct TimeWindow {
    start: Duration,
    end: Duration,
}

/// The schedule of one forwarder. All times are spans since the same arbitrary point in time.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    timings: WatchTimings,
    /// The point in the request interval at which this forwarder sends its request, from 0 to 1.
    phase: f64,
    /// The window of the second request before the deadline, which counts from the last received line or from
    /// a change of discovery's address. `None` once that request is planned, as one request per interval
    /// follows.
    second_request_window: Option<TimeWindow>,
    /// The start of the last request.
    request_started_at: Duration,
    quick_retries_left: u32,
}

impl WatchSchedule {
    /// Returns a schedule whose first request starts immediately. The seed selects the point in the
    /// request interval at which this forwarder sends its requests.
    pub fn new(timings: WatchTimings, seed: u64) -> WatchSchedule {
        WatchSchedule {
            timings,
            phase: Pcg32::seed_from_u64(seed).random::<f64>(),
            second_request_window: None,
            request_started_at: Duration::ZERO,
            quick_retries_left: MAX_QUICK_RETRIES,
        }
    }

    /// Returns the time spans of this schedule.
    pub fn timings(&self) -> WatchTimings {
        self.timings
    }

    /// Records the start of a request. Returns the time at which the request is cancelled if no response has
    /// arrived.
    pub fn request_started(&mut self, now: Duration) -> Duration {
        self.request_started_at = now;
        let earliest = now + self.timings.min_response_timeout;
        let end = match self.second_request_window {
            Some(window) if window.end > now => window.end.max(earliest),
            _ => now + self.timings.request_interval(),
        };
        let start = self.second_request_window.map_or(earliest, |window| window.start.max(earliest));
        self.time_in_window(TimeWindow { start: start.min(end), end })
    }

    /// Records the loss of a watch. Returns the start of the next request.
    pub fn watch_lost(&mut self, now: Duration, loss: &WatchLoss, received: Received) -> Duration {
        if received == Received::Lines {
            self.record_up_to_date(now, loss);
        }
        let window = self.next_window(now);
        match loss {
            WatchLoss::IdleTimeout if received == Received::Lines => {
                return self.retry_time_after_idle_timeout(now, window)
            }
            WatchLoss::Failed(_) if self.quick_retries_left > 0 => return self.quick_retry_time(now, window),
            // The selected window is that of the second request. Afterwards one request per interval follows.
            _ if received == Received::Nothing => self.second_request_window = None,
            _ => {}
        }
        self.regular_request_time(now, loss, window)
    }

    /// Returns the start of the request after an idle timeout, spread over a short time because watches often
    /// time out together.
    fn retry_time_after_idle_timeout(&self, now: Duration, window: TimeWindow) -> Duration {
        self.time_in_window(TimeWindow {
            start: now,
            end: window.end.min(now + self.timings.idle_retry_spread),
        })
    }

    /// Returns the start of a quick retry, as a failed connection can usually be replaced immediately.
    fn quick_retry_time(&mut self, now: Duration, window: TimeWindow) -> Duration {
        let retry = 1 + MAX_QUICK_RETRIES - self.quick_retries_left;
        self.quick_retries_left -= 1;
        let pause = self.timings.quick_retry_delay.mul_f64(0.5 + self.phase) * retry;
        window.end.min(now + pause)
    }

    /// Returns the start of the only request that a forwarder sends in an interval after its quick retries.
    fn regular_request_time(
        &self,
        now: Duration,
        loss: &WatchLoss,
        TimeWindow { start, end }: TimeWindow,
    ) -> Duration {
        match loss {
            // No further delay is needed, because the response timeout has passed.
            WatchLoss::ResponseTimeout => now,
            WatchLoss::UnexpectedStatus { retry_after: Some(retry_after), .. } => {
                let wait = (*retry_after).min(self.timings.request_interval() / 2);
                self.time_in_window(TimeWindow { start: start.max(now + wait).min(end), end })
            }
            _ => self.time_in_window(TimeWindow { start, end }),
        }
    }

    /// Records that the address of discovery has changed. The caller sends a request to the new address
    /// immediately.
    pub fn discovery_address_changed(&mut self, now: Duration) {
        self.quick_retries_left = MAX_QUICK_RETRIES;
        let end = now + self.timings.max_staleness_after_move.saturating_sub(self.timings.max_response_time);
        self.second_request_window = Some(TimeWindow { start: now, end });
    }

    /// Records that the list was up to date until the watch was lost, or until the last byte before an idle
    /// timeout.
    fn record_up_to_date(&mut self, now: Duration, loss: &WatchLoss) {
        let (up_to_date_until, start) = match loss {
            WatchLoss::IdleTimeout => {
                (now.saturating_sub(self.timings.idle_timeout), now + self.timings.idle_retry_spread)
            }
            _ => (now, now),
        };
        self.second_request_window =
            Some(TimeWindow { start, end: up_to_date_until + self.timings.request_interval() });
        if now.saturating_sub(self.request_started_at) >= self.timings.request_interval() {
            self.quick_retries_left = MAX_QUICK_RETRIES;
        }
    }

    /// Returns the window of the next request.
    fn next_window(&self, now: Duration) -> TimeWindow {
        let within_interval = TimeWindow {
            start: now,
            end: now.max(self.request_started_at + self.timings.request_interval()),
        };
        let window = self.second_request_window.filter(|window| window.end > now).unwrap_or(within_interval);
        TimeWindow { start: window.start.max(now), ..window }
    }

    /// Returns the time in a window at which this forwarder starts a request: the time of its phase, if it
    /// lies in the window.
    ///
    /// Forwarders whose phase lies outside the window are spread over the window in reverse order of their
    /// phases. If the order were the same, a forwarder that just missed its phase would miss it in each
    /// interval.
    fn time_in_window(&self, TimeWindow { start, end }: TimeWindow) -> Duration {
        let width = end.saturating_sub(start);
        let time_to_phase = self.next_phase_time(start).saturating_sub(start);
        if time_to_phase <= width {
            return start + time_to_phase;
        }
        let rest_of_interval = self.timings.request_interval().saturating_sub(width);
        let skipped_fraction = (time_to_phase - width).as_secs_f64() / rest_of_interval.as_secs_f64();
        start + width.mul_f64(1.0 - skipped_fraction.min(1.0))
    }

    /// Returns the next time after `after` at which the request interval reaches this forwarder's `phase`.
    fn next_phase_time(&self, after: Duration) -> Duration {
        let interval = self.timings.request_interval();
        let offset = interval.mul_f64(self.phase);
        let intervals_passed =
            (after + interval).saturating_sub(offset).as_nanos() / interval.as_nanos().max(1);
        let intervals_passed = u32::try_from(intervals_passed).unwrap_or(u32::MAX);
        offset + interval.saturating_mul(intervals_passed)
    }
}
