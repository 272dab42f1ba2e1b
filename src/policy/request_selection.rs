//! Which messages of a destination the next request carries.

use std::time::Duration;

use itertools::Itertools;

use super::DeliveryPolicy;
use crate::interface::{DestinationId, Idempotency, PolicyHost};
use crate::message_key::MessageKey;
use crate::queue::QueueSegment;
use crate::state::{AdmittedEndpoint, EarliestTime};

/// A destination that admits requests but has no message that may go is checked again after the recovery delay
/// divided by this.
const RECHECK_DIVISOR: u32 = 4;
/// Classes with a priority weight below this are ordered as if they had it.
const MIN_PRIORITY_WEIGHT: f64 = 0.001;
/// Drawn positions in the order of classes are compared in millionths.
const CLASS_ORDER_STEPS: f64 = 1e6;

/// Orders the messages of a destination: the least goes first. Within its tenant's quota comes before over it, in
/// time for its latency objective before late, then by class and by objective. Compared in the order of the fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MessageRank {
    over_quota: bool,
    /// More than one answer with an error.
    failed_repeatedly: bool,
    late: bool,
    /// The position of its class in the drawn order.
    class_order: u64,
    objective_at: Duration,
    arrival_number: u64,
}

/// A queued message with its rank, by which it is compared.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankedMessage {
    rank: MessageRank,
    key: MessageKey,
}

/// The endpoints that admit a request, by whether it would be a half-open trial.
struct Candidates {
    for_trial: Vec<AdmittedEndpoint>,
    for_others: Vec<AdmittedEndpoint>,
}

impl From<Vec<AdmittedEndpoint>> for Candidates {
    fn from(admitted: Vec<AdmittedEndpoint>) -> Candidates {
        let (for_trial, for_others) = admitted.into_iter().partition(|endpoint| endpoint.half_open_trial);
        Candidates { for_trial, for_others }
    }
}

impl DeliveryPolicy {
    /// Starts one request to the destination, if any message may go; returns whether it did. `next_admission`
    /// collects when to check again.
    pub(super) fn schedule_request(
        &mut self,
        destination: DestinationId,
        now: Duration,
        host: &mut dyn PolicyHost,
        next_admission: &mut EarliestTime,
    ) -> bool {
        let admitted = self.admitted_endpoints(destination, now);
        let wait_until = admitted.next_admission.time();
        next_admission.include(wait_until);
        if admitted.endpoints.is_empty() {
            if !admitted.some_are_paced {
                self.queue.sleep(destination, wait_until);
            }
            return false;
        }
        let class_order = self.draw_class_order();
        let candidates = Candidates::from(admitted.endpoints);
        let Some(lead) = self.lead_message(destination, &candidates, &class_order, now) else {
            next_admission.include(Some(now + self.parameters.recovery_delay / RECHECK_DIVISOR));
            return false;
        };
        let chosen = self.endpoint_for(lead, &candidates, now);
        let messages = self.fill_request(destination, lead, chosen, &class_order, now);
        self.start_request(messages, chosen, now, host);
        true
    }

    /// The order of classes, by class index. It is drawn at random, weighted by the square of their priority
    /// weight: in strict order, a class of low weight starves where a destination is at its capacity.
    fn draw_class_order(&mut self) -> Vec<u64> {
        let random = &mut self.random;
        let mut draw = |weight: f64| {
            let weight = weight.max(MIN_PRIORITY_WEIGHT).powi(2);
            (-random.draw_for_class_order().ln() / weight * CLASS_ORDER_STEPS) as u64
        };
        self.parameters.classes.iter().map(|class| draw(class.priority_weight)).collect()
    }

    fn is_repeatable(&self, class: usize) -> bool {
        self.parameters.classes[class].idempotency != Idempotency::NonIdempotent
    }

    /// The message that goes first, to any of the endpoints.
    fn lead_message(
        &self,
        destination: DestinationId,
        candidates: &Candidates,
        class_order: &[u64],
        now: Duration,
    ) -> Option<MessageKey> {
        let segments: Vec<QueueSegment> = self.queue.segments(destination, now).collect();
        let first = |segment: &QueueSegment, to: &[AdmittedEndpoint]| {
            self.first_eligible(segment, class_order, to, now)
        };
        // A trial may be lost, so it carries a message that may be repeated, if there is any.
        let repeatable = segments.iter().filter(|s| self.is_repeatable(s.queue_class.priority.class));
        let for_trial =
            repeatable.filter_map(|s| Some((s.queue_class.errors, first(s, &candidates.for_trial)?)));
        let lead = (for_trial.min().map(|(_, ranked)| ranked))
            .or_else(|| segments.iter().filter_map(|s| first(s, &candidates.for_others)).min())
            .or_else(|| segments.iter().filter_map(|s| first(s, &candidates.for_trial)).min());
        lead.map(|ranked| ranked.key)
    }

    /// The endpoint that the lead message goes to. At least one of the candidates is eligible.
    fn endpoint_for(&mut self, lead: MessageKey, candidates: &Candidates, now: Duration) -> AdmittedEndpoint {
        let class = self.messages[lead].class;
        let eligible = |to: &[AdmittedEndpoint]| -> Vec<AdmittedEndpoint> {
            to.iter().filter(|to| self.may_attempt(lead, to, now)).copied().collect()
        };
        let (for_trial, for_others) = (eligible(&candidates.for_trial), eligible(&candidates.for_others));
        let trial = self.is_repeatable(class) && !for_trial.is_empty() || for_others.is_empty();
        let mut eligible = if trial { for_trial } else { for_others };
        self.exclude_failing(&mut eligible, class, now);
        self.choose_endpoint(&eligible, class, now)
    }

    /// The messages of a request: the lead, and those that go with it as a batch.
    fn fill_request(
        &self,
        destination: DestinationId,
        lead: MessageKey,
        chosen: AdmittedEndpoint,
        class_order: &[u64],
        now: Duration,
    ) -> Vec<MessageKey> {
        let endpoint = &self.endpoints[chosen.endpoint];
        // A batch puts more load on an endpoint that is warming up than one message does.
        let batch = if chosen.half_open_trial {
            1
        } else {
            self.endpoints.max_batch(endpoint).min(self.slow_start_batch(chosen.scope, endpoint, now))
        };
        let mut messages = vec![lead];
        if batch > 1 {
            let may = |key: &MessageKey| self.may_attempt(*key, &chosen, now);
            let segments = self.queue.segments(destination, now);
            let ranked = segments.map(|segment| self.sendable(&segment, class_order, now)).kmerge();
            let others = ranked.map(|ranked| ranked.key).filter(|key| *key != lead);
            messages.extend(others.take(batch - 1).filter(may));
        }
        messages
    }

    /// The messages of a segment that are not held back by their ordering key, each with its rank.
    fn sendable<'s>(
        &'s self,
        segment: &QueueSegment<'s>,
        class_order: &[u64],
        now: Duration,
    ) -> impl Iterator<Item = RankedMessage> + 's {
        let queue_class = segment.queue_class;
        let class = queue_class.priority.class;
        // A message that may have been executed has to go before its idempotency key expires.
        let late = segment.late && !queue_class.possibly_executed;
        let class_order = class_order[class];
        let ordered = self.parameters.classes[class].ordered;
        let may_send = move |key: &MessageKey| {
            let message = &self.messages[*key];
            !ordered || self.ordering.may_send(message.ordering_key, message.arrival_number, now)
        };
        let entries = segment.entries().filter(move |queued| may_send(&queued.key));
        entries.map(move |queued| RankedMessage {
            rank: MessageRank {
                over_quota: queue_class.priority.over_quota,
                failed_repeatedly: queue_class.errors > 1,
                late,
                class_order,
                objective_at: queued.objective_at,
                arrival_number: queued.arrival_number,
            },
            key: queued.key,
        })
    }

    /// The first message of a segment that one of these endpoints may get. The answer is the same for all messages
    /// of a segment, but for those with idempotency keys that expire.
    fn first_eligible(
        &self,
        segment: &QueueSegment,
        class_order: &[u64],
        to: &[AdmittedEndpoint],
        now: Duration,
    ) -> Option<RankedMessage> {
        let max_tried = if segment.queue_class.possibly_executed { usize::MAX } else { 1 };
        let mut ranked = self.sendable(segment, class_order, now).take(max_tried);
        ranked.find(|ranked| to.iter().any(|to| self.may_attempt(ranked.key, to, now)))
    }
}
