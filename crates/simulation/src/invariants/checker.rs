//! What the checks have in common: the history of each message, and the violations found.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use reeddock::{EndpointState, Idempotency};

use super::history::{AcceptedMessage, MessageHistory};
use super::violation::{RetryAfterScope, Violation};
use crate::ids::{EndpointIndex, ForwarderIndex, MessageIndex, SubmissionIndex};
use crate::rule::Rule;

/// So many violations are kept in full; the others are counted.
const MAX_KEPT_VIOLATIONS: usize = 20;

/// What the rules need to know of a fleet.
#[derive(Default)]
pub struct FleetRules {
    /// The message classes, in the order of the scenario.
    pub classes: Vec<ClassRules>,
    /// Number of forwarders.
    pub forwarders: usize,
    /// Time in which attempts to a draining endpoint may still start.
    pub drain_grace: Duration,
    /// Time for which an ordering key is held after an attempt that may still be running.
    pub ordering_hold_off: Duration,
    /// Time past a deadline in which a final answer still counts.
    pub answer_slack: Duration,
}

/// What the rules need to know of a message class.
pub struct ClassRules {
    /// What a further attempt may do.
    pub idempotency: Idempotency,
    /// Whether messages of one key go one after the other.
    pub ordered: bool,
}

/// The queue of an ordering key at one forwarder.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderingQueueId {
    pub(super) forwarder: ForwarderIndex,
    pub(super) key: u64,
}

/// A Retry-After that one forwarder has received, by what it holds for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RetryAfterId {
    pub(super) forwarder: ForwarderIndex,
    pub(super) scope: RetryAfterScope,
}

/// A state on an endpoint list, and when the forwarder learned of it.
#[derive(Clone, Copy)]
pub(super) struct ListedState {
    pub(super) state: EndpointState,
    pub(super) since: Duration,
}

/// What broke a rule in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Violations {
    /// How often rules were broken.
    pub count: usize,
    /// The first violations.
    pub first: Vec<Violation>,
}

/// Watches a run and keeps what breaks a rule. Times are since the start of the run.
pub struct InvariantChecker {
    pub(super) fleet: FleetRules,
    pub(super) histories: Vec<MessageHistory>,
    /// By forwarder: the endpoint list as it was read.
    pub(super) endpoint_lists: Vec<BTreeMap<EndpointIndex, ListedState>>,
    /// End of each Retry-After.
    pub(super) retry_after: BTreeMap<RetryAfterId, Duration>,
    /// Messages of each ordering key that still matter, in the order in which they were accepted.
    pub(super) ordering_queues: BTreeMap<OrderingQueueId, Vec<MessageIndex>>,
    /// Forwarders that saw a failure during the present outage of an endpoint, or its last one.
    pub(super) forwarders_aware_of_outage: BTreeMap<EndpointIndex, BTreeSet<ForwarderIndex>>,
    /// How often what is not idempotent had its effect.
    pub(super) effects: BTreeMap<SubmissionIndex, u32>,
    violations: Vec<Violation>,
    violation_count: usize,
}

impl InvariantChecker {
    /// A checker of a fleet before its first event.
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

    /// All that broke a rule.
    pub fn into_violations(self) -> Violations {
        Violations { count: self.violation_count, first: self.violations }
    }

    /// A rule was broken, by what happened to a message where one is named.
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

    /// Counts a violation, and keeps it where it is one of the first.
    pub(super) fn store_violation(&mut self, violation: Violation) {
        self.violation_count += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// A forwarder accepted a message; messages are numbered in this order.
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

    /// A forwarder was killed. What it held is void, or waits in its write-ahead log for the next start.
    pub(crate) fn record_forwarder_kill(&mut self, forwarder: ForwarderIndex, write_ahead_log: bool) {
        self.endpoint_lists[forwarder.0].clear();
        self.retry_after.retain(|received, _| received.forwarder != forwarder);
        let histories = &mut self.histories;
        for history in histories.iter_mut().filter(|history| history.message.forwarder == forwarder) {
            history.exempt |= !write_ahead_log || history.answer.is_some();
        }
        // The rules bind a start to what it accepted, and to what its write-ahead log still holds.
        for (id, queue) in &mut self.ordering_queues {
            if id.forwarder == forwarder {
                queue.retain(|message| !histories[message.0].exempt);
            }
        }
    }

    /// A forwarder found a message in its write-ahead log when it started; its time ran on meanwhile.
    pub(crate) fn record_restoration(&mut self, now: Duration, message: MessageIndex) {
        let answer_slack = self.fleet.answer_slack;
        self.histories[message.0].restore(now, answer_slack);
    }
}
