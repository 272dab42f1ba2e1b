//! Record of an endpoint: its entry in the endpoint list and the results of its requests.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::zones::ZoneNumber;
use crate::interface::{DestinationId, EndpointState};

/// Endpoint that is listed or was removed recently. Results of requests are stored separately, and only for
/// endpoints in use, so that listed endpoints need little memory.
pub(crate) struct Endpoint {
    pub(crate) destination: DestinationId,
    pub(crate) state: EndpointState,
    /// Listed weight; 0 if none is listed.
    pub(super) weight: f64,
    pub(super) zone: ZoneNumber,
    /// Index of the endpoint kind; `None` if the settings have no such kind.
    pub(super) kind: Option<u16>,
    /// Offset of this forwarder's time slots at the endpoint, as a fraction of a time slot.
    pub(crate) slot_phase: f64,
    /// Number of the last full endpoint list that contained the endpoint.
    pub(super) last_full_list: u32,
    pub(super) usage: Option<Box<EndpointUsage>>,
}

/// Results of the requests to an endpoint.
#[derive(Default)]
pub(crate) struct EndpointUsage {
    /// Rate limit in requests per second from the last load report; `None` if there is no limit.
    limit_per_second: Option<f64>,
    /// Unused tokens of the retry budget; `None` before the first completion or retry.
    retry_tokens: Option<f64>,
    requests_in_flight: u32,
    /// Failures of each message class since its last completion, by class index.
    consecutive_failures: BTreeMap<usize, u32>,
    /// Time from which slow start is counted: the last sign of an outage, the end of a Retry-After during the
    /// outage, or the recovery. `None` without a recent outage.
    last_fault: Option<Duration>,
    /// Recent requests with their load in [`SentLoad`] units, oldest first.
    recent_load: VecDeque<SentLoad>,
    last_sent: Duration,
    /// Time of the last response, which leaves an idle connection; `None` if the last request ended without
    /// one.
    answered_at: Option<Duration>,
}

/// Load that a request puts on its endpoint. A request with one message has a load of 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SentLoad {
    /// Time at which the request was sent.
    pub(crate) at: Duration,
    pub(crate) load: f64,
}

impl EndpointUsage {
    /// Returns the rate limit in requests per second from the last load report; `None` if there is no limit.
    pub(crate) fn limit_per_second(&self) -> Option<f64> {
        self.limit_per_second
    }

    pub(crate) fn set_limit_per_second(&mut self, limit_per_second: Option<f64>) {
        self.limit_per_second = limit_per_second;
    }

    /// Returns the unused tokens of the retry budget; `None` before the first completion or retry.
    pub(crate) fn retry_tokens(&self) -> Option<f64> {
        self.retry_tokens
    }

    pub(crate) fn set_retry_tokens(&mut self, tokens: f64) {
        self.retry_tokens = Some(tokens);
    }

    /// Records a sent request and its load on the endpoint.
    pub(crate) fn record_request(&mut self, sent: SentLoad) {
        self.requests_in_flight += 1;
        self.last_sent = sent.at;
        self.recent_load.push_back(sent);
    }

    /// Records the end of a request with any outcome.
    pub(crate) fn end_request(&mut self) {
        self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
    }

    /// Removes the load of the last request, which did not reach the endpoint.
    pub(crate) fn drop_last_load(&mut self) {
        self.recent_load.pop_back();
    }

    pub(crate) fn requests_in_flight(&self) -> u32 {
        self.requests_in_flight
    }

    /// Returns the time of the last request; zero if none was sent.
    pub(crate) fn last_sent(&self) -> Duration {
        self.last_sent
    }

    /// Returns recent requests with their load in [`SentLoad`] units, oldest first.
    pub(crate) fn recent_load(&self) -> &VecDeque<SentLoad> {
        &self.recent_load
    }

    /// Returns the time of the last response, which leaves an idle connection; `None` if the last request
    /// ended without one.
    pub(crate) fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }

    pub(crate) fn set_answered_at(&mut self, at: Option<Duration>) {
        self.answered_at = at;
    }

    /// Records the failure of a message, given the index of its class.
    pub(crate) fn record_failure(&mut self, class: usize) {
        *self.consecutive_failures.entry(class).or_default() += 1;
    }

    /// Resets the consecutive failures of a message class, given its index.
    pub(crate) fn reset_failures(&mut self, class: usize) {
        self.consecutive_failures.remove(&class);
    }

    /// Returns the time from which slow start is counted; `None` without a recent outage.
    pub(crate) fn last_fault(&self) -> Option<Duration> {
        self.last_fault
    }

    /// Records a sign or the end of an outage. Slow start is counted from the given time.
    pub(crate) fn record_fault(&mut self, at: Duration) {
        self.last_fault = Some(at);
    }

    /// Removes the recorded loads, except the last one, and the last fault if they are older than their
    /// retention times.
    pub(crate) fn remove_outdated_load_and_fault(
        &mut self,
        now: Duration,
        load_retention: Duration,
        fault_retention: Duration,
    ) {
        while self.recent_load.len() > 1 && now.saturating_sub(self.recent_load[0].at) > load_retention {
            self.recent_load.pop_front();
        }
        self.last_fault = self.last_fault.filter(|at| now <= *at + fault_retention);
    }
}

/// Usage of endpoints that no request was sent to.
static NO_USAGE: EndpointUsage = EndpointUsage {
    limit_per_second: None,
    retry_tokens: None,
    requests_in_flight: 0,
    consecutive_failures: BTreeMap::new(),
    last_fault: None,
    recent_load: VecDeque::new(),
    last_sent: Duration::ZERO,
    answered_at: None,
};

impl Endpoint {
    /// Returns the listed weight; `None` if none is listed.
    pub(crate) fn weight(&self) -> Option<f64> {
        Some(self.weight).filter(|weight| *weight > 0.0)
    }

    /// Returns whether both endpoints are known to be in the same zone.
    pub(crate) fn is_in_zone_of(&self, other: &Endpoint) -> bool {
        self.zone == other.zone
    }

    pub(crate) fn usage(&self) -> &EndpointUsage {
        self.usage.as_deref().unwrap_or(&NO_USAGE)
    }

    /// Returns the usage, which is created if absent.
    pub(super) fn usage_mut(&mut self) -> &mut EndpointUsage {
        self.usage.get_or_insert_default()
    }

    /// Returns the usage; `None` if no usage is recorded.
    pub(super) fn existing_usage_mut(&mut self) -> Option<&mut EndpointUsage> {
        self.usage.as_deref_mut()
    }

    /// Removes the usage unless a request is in flight.
    pub(super) fn remove_idle_usage(&mut self) {
        self.usage.take_if(|usage| usage.requests_in_flight == 0);
    }

    /// Returns the failures of a message class since its last completion, given the index of the class.
    pub(crate) fn consecutive_failures(&self, class: usize) -> u32 {
        self.usage().consecutive_failures.get(&class).copied().unwrap_or_default()
    }
}
