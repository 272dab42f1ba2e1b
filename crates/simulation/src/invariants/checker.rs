//! The state that the checks share: histories of messages, and violations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use reeddock::{EndpointState, Idempotency};

use super::history::{AcceptedMessage, MessageHistory};
use super::violation::{RetryAfterScope, Violation};
use crate::ids::{EndpointIndex, ForwarderIndex, MessageIndex, SubmissionIndex};
use crate::rule::Rule;

/// Maximum number of violations that are stored. Further ones are only counted.
const MAX_STORED_VIOLATIONS: usize = 20;

/// Settings of a fleet that the rules depend on.
#[derive(Default)]
pub struct FleetRules {
    /// The message classes, in the order of the scenario.
    pub classes: Vec<ClassRules>,
    /// Number of forwarders.
    pub forwarders: usize,
    /// Duration for which attempts to a draining or removed endpoint may still start.
    pub drain_grace: Duration,
    /// Duration for which an ordering key is held after an attempt that may still be running.
    pub ordering_hold_off: Duration,
    /// Duration after a deadline in which a final answer is still in time.
    pub answer_slack: Duration,
}

/// Settings of a message class that the rules depend on.
pub struct ClassRules {
    /// Whether a further attempt may repeat the effect of a message.
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are delivered one after the other.
    pub ordered: bool,
}

/// Identifies the queue of an ordering key at one forwarder.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderingQueueId {
    pub(super) forwarder: ForwarderIndex,
    pub(super) key: u64,
}

/// Identifies a Retry-After that one forwarder has received.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RetryAfterId {
    pub(super) forwarder: ForwarderIndex,
    pub(super) scope: RetryAfterScope,
}

/// The state of an endpoint on a forwarder's list, and the start of its grace period.
#[derive(Clone, Copy)]
pub(super) struct ListedState {
    pub(super) state: EndpointState,
    pub(super) since: Duration,
}

/// Violations of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Violations {
    /// Total number of violations.
    pub count: usize,
    /// The first violations, limited by the checker's maximum.
    pub first: Vec<Violation>,
}

/// Checks the events of a run against the rules, and stores violations. Times are since the start of the run.
pub struct InvariantChecker {
    pub(super) fleet: FleetRules,
    pub(super) histories: Vec<MessageHistory>,
    /// The endpoint list that each forwarder received, by forwarder index.
    pub(super) endpoint_lists: Vec<BTreeMap<EndpointIndex, ListedState>>,
    /// End of each received Retry-After.
    pub(super) retry_after: BTreeMap<RetryAfterId, Duration>,
    /// Messages of each ordering key that may block others, in the order of their acceptance.
    pub(super) ordering_queues: BTreeMap<OrderingQueueId, Vec<MessageIndex>>,
    /// Forwarders that saw a failure during the current or latest outage of an endpoint.
    pub(super) forwarders_aware_of_outage: BTreeMap<EndpointIndex, BTreeSet<ForwarderIndex>>,
    /// Number of effects of each submission with a non-idempotent message.
    pub(super) effects: BTreeMap<SubmissionIndex, u32>,
    violations: Vec<Violation>,
    violation_count: usize,
}

impl InvariantChecker {
    /// Creates a checker for a fleet before its first event.
    pub fn new(fleet: FleetRules) -> InvariantChecker {
        InvariantChecker {
            histories: Vec::new(),
            endpoint_lists: vec![BTreeMap::new(); fleet.forwarders],
            fleet,
            retry_after: BTreeMap::new(),
            ordering_queues: BTreeMap::new(),
            forwarders_aware_of_outage: BTreeMap::new(),
            effects: BTreeMap::new(),
            violations: Vec::new(),
            violation_count: 0,
        }
    }

    /// Returns the number of violations, and the first of them.
    pub fn into_violations(self) -> Violations {
        Violations { count: self.violation_count, first: self.violations }
    }

    /// Records a violation, with the history of its message if there is one.
    pub(crate) fn record_violation(
        &mut self,
        rule: Rule,
        at: Duration,
        message: Option<MessageIndex>,
        description: String,
    ) {
        let history = message.and_then(|message| self.histories.get(message.0));
        let violation = Violation {
            rule,
            at_s: at.as_secs_f64(),
            forwarder: history.map(|history| history.message.forwarder.0),
            message: message.map(|message| message.0),
            description,
            history: history.map(MessageHistory::describe_events).unwrap_or_default(),
        };
        self.store_violation(violation);
    }

    /// Counts a violation, and stores it unless the maximum is reached.
    pub(super) fn store_violation(&mut self, violation: Violation) {
        self.violation_count += 1;
        if self.violations.len() < MAX_STORED_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Records an accepted message. Message indices follow the order of these calls.
    pub(crate) fn record_acceptance(&mut self, now: Duration, accepted: AcceptedMessage) {
        let ordered = self.fleet.classes[accepted.class].ordered;
        let ordering_key = accepted.ordering_key.filter(|_| ordered);
        if let Some(key) = ordering_key {
            let message = MessageIndex(self.histories.len());
            let queue = OrderingQueueId { forwarder: accepted.forwarder, key };
            self.ordering_queues.entry(queue).or_default().push(message);
        }
        let answer_due = accepted.deadline + self.fleet.answer_slack;
        let accepted = AcceptedMessage { ordering_key, ..accepted };
        self.histories.push(MessageHistory::new(accepted, now, answer_due));
    }

    /// Records the kill of a forwarder. Its messages are exempt from checks unless they are pending in its
    /// write-ahead log.
    pub(crate) fn record_forwarder_kill(&mut self, forwarder: ForwarderIndex, write_ahead_log: bool) {
        self.endpoint_lists[forwarder.0].clear();
        self.retry_after.retain(|received, _| received.forwarder != forwarder);
        let histories = &mut self.histories;
        for history in histories.iter_mut().filter(|history| history.message.forwarder == forwarder) {
            history.exempt |= !write_ahead_log || history.answer.is_some();
        }
        // A restarted forwarder knows only the messages in its write-ahead log.
        for (id, queue) in &mut self.ordering_queues {
            if id.forwarder == forwarder {
                queue.retain(|message| !histories[message.0].exempt);
            }
        }
    }

    /// Records that a restarted forwarder read a message from its write-ahead log.
    pub(crate) fn record_restoration(&mut self, now: Duration, message: MessageIndex) {
        let answer_slack = self.fleet.answer_slack;
        self.histories[message.0].restore(now, answer_slack);
    }
}
