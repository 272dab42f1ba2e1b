//! Knowledge of forwarders about endpoints, and checks of the overload of recovering endpoints.

use std::collections::BTreeSet;
use std::time::Duration;

use reeddock::EndpointState;

use super::checker::{InvariantChecker, ListedState};
use super::violation::Violation;
use crate::ids::{EndpointIndex, ForwarderIndex};
use crate::received_work::ReceivedWork;
use crate::rule::Rule;

/// Maximum number of senders in a violation.
const MAX_NAMED_SENDERS: usize = 8;

impl InvariantChecker {
    /// Records the state of an endpoint that a forwarder read from its endpoint list.
    pub(crate) fn record_listed_state(
        &mut self,
        now: Duration,
        forwarder: ForwarderIndex,
        endpoint: EndpointIndex,
        state: EndpointState,
    ) {
        let read = ListedState { state, since: now };
        let listed = self.endpoint_lists[forwarder.0].entry(endpoint).or_insert(read);
        // The grace period starts when the endpoint is first listed as not active. Repeated entries and the
        // removal of a draining endpoint do not restart the grace period.
        let to_or_from_active = state == EndpointState::Active || listed.state == EndpointState::Active;
        if listed.state != state && to_or_from_active {
            *listed = read;
        }
        listed.state = state;
    }

    /// Records the start of an outage, of which no forwarder has seen a failure yet.
    pub(crate) fn record_outage_start(&mut self, endpoint: EndpointIndex) {
        self.forwarders_aware_of_outage.remove(&endpoint);
    }

    /// Records that a forwarder saw a failed or rejected request to an endpoint during its outage.
    pub fn record_failure(&mut self, forwarder: ForwarderIndex, endpoint: EndpointIndex) {
        self.forwarders_aware_of_outage.entry(endpoint).or_default().insert(forwarder);
    }

    /// Returns whether a forwarder saw a failure in the current or latest outage of an endpoint.
    pub(crate) fn knows_of_outage(&self, forwarder: ForwarderIndex, endpoint: EndpointIndex) -> bool {
        self.forwarders_aware_of_outage.get(&endpoint).is_some_and(|aware| aware.contains(&forwarder))
    }

    /// Returns whether any forwarder saw a failure in the current or latest outage of an endpoint.
    pub(crate) fn is_outage_known(&self, endpoint: EndpointIndex) -> bool {
        self.forwarders_aware_of_outage.get(&endpoint).is_some_and(|aware| !aware.is_empty())
    }

    /// Checks the work that overloaded a recovering endpoint. Records a violation if more than two thirds of
    /// the work came from forwarders that had seen a failure in the outage.
    pub fn check_overload(
        &mut self,
        now: Duration,
        endpoint: EndpointIndex,
        received: &[ReceivedWork],
        budget: f64,
    ) {
        let sender_is_aware = |work: &&ReceivedWork| self.knows_of_outage(work.sender, endpoint);
        let total = ReceivedWork::total(received);
        let from_aware = ReceivedWork::total(received.iter().filter(sender_is_aware));
        if from_aware * 3.0 <= total * 2.0 {
            return;
        }
        let violation = Violation {
            rule: Rule::NoOverload,
            at_s: now.as_secs_f64(),
            forwarder: None,
            message: None,
            description: format!(
                "target {} fell over: sent {total:.2} against {budget:.2}, {from_aware:.2} of it by forwarders that knew",
                endpoint.0
            ),
            history: self.describe_senders(endpoint, received),
        };
        self.store_violation(violation);
    }

    /// Returns a line about the work of each sender, largest first.
    fn describe_senders(&self, endpoint: EndpointIndex, received: &[ReceivedWork]) -> Vec<String> {
        let sent_by = |sender: &ForwarderIndex| {
            ReceivedWork::total(received.iter().filter(|work| work.sender == *sender))
        };
        let senders: BTreeSet<ForwarderIndex> = received.iter().map(|work| work.sender).collect();
        let mut senders: Vec<ForwarderIndex> = senders.into_iter().collect();
        senders.sort_by(|a, b| sent_by(b).total_cmp(&sent_by(a)).then(a.cmp(b)));
        let describe = |sender: &ForwarderIndex| {
            let knowledge = if self.knows_of_outage(*sender, endpoint) {
                "had seen a failure there"
            } else {
                "had seen nothing"
            };
            format!("forwarder {}: {:.2} of work, {knowledge}", sender.0, sent_by(sender))
        };
        senders.iter().take(MAX_NAMED_SENDERS).map(describe).collect()
    }
}
