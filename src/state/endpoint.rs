//! One endpoint: what the endpoint list says of it and what requests have shown.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::zones::ZoneNumber;
use crate::interface::{DestinationId, EndpointState};

/// Lives as long as the endpoint is listed, and a while after. What is only listed costs little memory: what
/// requests have shown is kept apart, and only for endpoints in use.
pub(crate) struct Endpoint {
    pub(crate) destination: DestinationId,
    pub(crate) state: EndpointState,
    /// As listed; 0 where none is.
    pub(super) weight: f64,
    pub(super) zone: ZoneNumber,
    /// The index of its kind, if the settings name it.
    pub(super) kind: Option<u16>,
    /// Where in time this forwarder's time slots at it begin, in slots.
    pub(crate) slot_phase: f64,
    /// The number of the last whole list that named it.
    pub(super) named_by: u32,
    pub(super) usage: Option<Box<EndpointUsage>>,
}

/// What requests have shown of an endpoint.
#[derive(Default)]
pub(crate) struct EndpointUsage {
    /// Requests a second that its rate limit allows, by the last report.
    limit: Option<f64>,
    /// Retries that completions have earned and retries have not spent; none before the first of either.
    retry_tokens: Option<f64>,
    requests_in_flight: u32,
    /// Failures of each class since its last completion, by class index.
    consecutive_failures: BTreeMap<usize, u32>,
    /// Last evidence that it may be down or warming up.
    last_fault: Option<Duration>,
    /// What was sent recently, oldest first.
    recent_load: VecDeque<SentLoad>,
    last_sent: Duration,
    /// When its last request ended, if that ended with an answer, which leaves a connection idle.
    answered_at: Option<Duration>,
}

/// The load that one request put on an endpoint, in requests with one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SentLoad {
    pub(crate) at: Duration,
    pub(crate) load: f64,
}

impl EndpointUsage {
    /// Requests a second that its rate limit allows, by the last report; none if there is no limit.
    pub(crate) fn limit(&self) -> Option<f64> {
        self.limit
    }

    pub(crate) fn set_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
    }

    /// Retries that completions have earned and retries have not spent; none before the first of either.
    pub(crate) fn retry_tokens(&self) -> Option<f64> {
        self.retry_tokens
    }

    pub(crate) fn set_retry_tokens(&mut self, tokens: f64) {
        self.retry_tokens = Some(tokens);
    }

    /// A request has been sent, which puts so much load on the endpoint.
    pub(crate) fn record_request(&mut self, sent: SentLoad) {
        self.requests_in_flight += 1;
        self.last_sent = sent.at;
        self.recent_load.push_back(sent);
    }

    /// A request has ended, with whatever outcome.
    pub(crate) fn end_request(&mut self) {
        self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
    }

    /// Takes back the load of the last request, which never reached the endpoint.
    pub(crate) fn drop_last_load(&mut self) {
        self.recent_load.pop_back();
    }

    pub(crate) fn requests_in_flight(&self) -> u32 {
        self.requests_in_flight
    }

    /// When the last request was sent; zero if none was.
    pub(crate) fn last_sent(&self) -> Duration {
        self.last_sent
    }

    /// What was sent recently, oldest first.
    pub(crate) fn recent_load(&self) -> &VecDeque<SentLoad> {
        &self.recent_load
    }

    /// When the last request ended, if that ended with an answer, which leaves a connection idle.
    pub(crate) fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }

    pub(crate) fn set_answered_at(&mut self, at: Option<Duration>) {
        self.answered_at = at;
    }

    /// A message of a class, by its index, has failed.
    pub(crate) fn record_failure(&mut self, class: usize) {
        *self.consecutive_failures.entry(class).or_default() += 1;
    }

    /// A message of a class, by its index, was completed.
    pub(crate) fn reset_failures(&mut self, class: usize) {
        self.consecutive_failures.remove(&class);
    }

    /// Last evidence that the endpoint may be down or warming up.
    pub(crate) fn last_fault(&self) -> Option<Duration> {
        self.last_fault
    }

    /// The endpoint may be down or warming up as of this time.
    pub(crate) fn record_fault(&mut self, at: Duration) {
        self.last_fault = Some(at);
    }

    /// Drops load and faults that are older than the given spans; the last load is kept.
    pub(crate) fn forget_stale(&mut self, now: Duration, load_for: Duration, fault_for: Duration) {
        while self.recent_load.len() > 1 && now.saturating_sub(self.recent_load[0].at) > load_for {
            self.recent_load.pop_front();
        }
        self.last_fault = self.last_fault.filter(|at| now <= *at + fault_for);
    }
}

/// What is known of an endpoint that no request was sent to.
static UNUSED: EndpointUsage = EndpointUsage {
    limit: None,
    retry_tokens: None,
    requests_in_flight: 0,
    consecutive_failures: BTreeMap::new(),
    last_fault: None,
    recent_load: VecDeque::new(),
    last_sent: Duration::ZERO,
    answered_at: None,
};

impl Endpoint {
    /// The listed weight.
    pub(crate) fn weight(&self) -> Option<f64> {
        Some(self.weight).filter(|weight| *weight > 0.0)
    }

    /// Whether it is known to stand in the same zone as another endpoint.
    pub(crate) fn is_in_zone_of(&self, other: &Endpoint) -> bool {
        self.zone == other.zone
    }

    pub(crate) fn usage(&self) -> &EndpointUsage {
        self.usage.as_deref().unwrap_or(&UNUSED)
    }

    /// What requests have shown, made if there was none yet.
    pub(super) fn usage_mut(&mut self) -> &mut EndpointUsage {
        self.usage.get_or_insert_default()
    }

    /// The same, for what matters only of an endpoint that requests were sent to.
    pub(super) fn existing_usage_mut(&mut self) -> Option<&mut EndpointUsage> {
        self.usage.as_deref_mut()
    }

    /// Drops what requests have shown, unless one is in flight.
    pub(super) fn forget_idle_usage(&mut self) {
        self.usage.take_if(|usage| usage.requests_in_flight == 0);
    }

    /// Failures of a class, by its index, since the endpoint last completed one.
    pub(crate) fn consecutive_failures(&self, class: usize) -> u32 {
        self.usage().consecutive_failures.get(&class).copied().unwrap_or_default()
    }
}
