//! Selects the messages of a destination that the next request carries.

use std::time::Duration;

use itertools::Itertools;

use super::DeliveryPolicy;
use crate::interface::{DestinationId, Idempotency, PolicyHost};
use crate::message_key::MessageKey;
use crate::queue::QueueSegment;
use crate::state::{AdmittedEndpoint, EarliestTime};

/// A destination that admits requests but has no message to send is checked again after the time from a
/// circuit's opening to its half-open trial, divided by this number.
const RECHECK_DELAY_DIVISOR: u32 = 4;
/// Minimum priority weight in the order of classes; prevents a division by zero.
const MIN_PRIORITY_WEIGHT: f64 = 0.001;
/// Factor that the fractional numbers drawn for the order of classes are multiplied by before they are
/// rounded down to integers.
const CLASS_ORDER_STEPS_PER_UNIT: f64 = 1e6;

/// Sort key of the messages of a destination. The message with the lowest key is sent first; fields are
/// compared in their order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MessageRank {
    over_quota: bool,
    /// Whether the message got more than one error response.
    failed_repeatedly: bool,
    late: bool,
    /// Number drawn for the message's class by [`DeliveryPolicy::draw_class_order`]; the lowest is first.
    class_order: u64,
    objective_ends_at: Duration,
    arrival_number: u64,
}

/// A queued message with the rank by which it is compared.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankedMessage {
    rank: MessageRank,
    key: MessageKey,
}

/// Endpoints that admit a request, separated by whether the request would be a half-open trial.
struct Candidates {
    for_trial: Vec<AdmittedEndpoint>,
    for_regular_requests: Vec<AdmittedEndpoint>,
}

impl From<Vec<AdmittedEndpoint>> for Candidates {
    fn from(admitted: Vec<AdmittedEndpoint>) -> Candidates {
        let (for_trial, for_regular_requests) =
            admitted.into_iter().partition(|endpoint| endpoint.half_open_trial);
        Candidates { for_trial, for_regular_requests }
    }
}

impl DeliveryPolicy {
    /// Starts one request to the destination if a message may be sent, and returns whether a request was
    /// started. Adds the time of the next check to `next_admission`.
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
            if !admitted.any_paced {
                self.queue.sleep(destination, wait_until);
            }
            return false;
        }
        let class_order = self.draw_class_order();
        let candidates = Candidates::from(admitted.endpoints);
        let Some(first_message) = self.first_message(destination, &candidates, &class_order, now) else {
            next_admission.include(Some(now + self.parameters.recovery_delay / RECHECK_DELAY_DIVISOR));
            return false;
        };
        let chosen = self.choose_endpoint_for(first_message, &candidates, now);
        let messages = self.fill_request(destination, first_message, chosen, &class_order, now);
        self.start_request(messages, chosen, now, host);
        true
    }

    /// Draws the order of classes, by class index, weighted by the square of their priority weight.
    ///
    /// A strict order would starve classes of low weight where a destination is at its capacity.
    fn draw_class_order(&mut self) -> Vec<u64> {
        let random = &mut self.random;
        let mut draw = |weight: f64| {
            let weight = weight.max(MIN_PRIORITY_WEIGHT).powi(2);
            (-random.draw_for_class_order().ln() / weight * CLASS_ORDER_STEPS_PER_UNIT) as u64
        };
        self.parameters.classes.iter().map(|class| draw(class.priority_weight)).collect()
    }

    fn is_repeatable(&self, class: usize) -> bool {
        self.parameters.classes[class].idempotency != Idempotency::NonIdempotent
    }

    /// Returns the first message of the next request, which may be sent to any of the endpoints.
    fn first_message(
        &self,
        destination: DestinationId,
        candidates: &Candidates,
        class_order: &[u64],
        now: Duration,
    ) -> Option<MessageKey> {
        let segments: Vec<QueueSegment> = self.queue.segments(destination, now).collect();
        let first = |segment: &QueueSegment, endpoints: &[AdmittedEndpoint]| {
            self.first_eligible(segment, class_order, endpoints, now)
        };
        // A trial may fail, so it carries a repeatable message if one is queued.
        let repeatable = segments.iter().filter(|s| self.is_repeatable(s.queue_class.priority.class));
        let for_trial =
            repeatable.filter_map(|s| Some((s.queue_class.errors, first(s, &candidates.for_trial)?)));
        let first_message = (for_trial.min().map(|(_, ranked)| ranked))
            .or_else(|| segments.iter().filter_map(|s| first(s, &candidates.for_regular_requests)).min())
            .or_else(|| segments.iter().filter_map(|s| first(s, &candidates.for_trial)).min());
        first_message.map(|ranked| ranked.key)
    }

    /// Chooses the endpoint for the first message. At least one of the candidates is eligible.
    fn choose_endpoint_for(
        &mut self,
        first_message: MessageKey,
        candidates: &Candidates,
        now: Duration,
    ) -> AdmittedEndpoint {
        let class = self.messages[first_message].class;
        let eligible = |endpoints: &[AdmittedEndpoint]| -> Vec<AdmittedEndpoint> {
            endpoints
                .iter()
                .filter(|admitted| self.may_attempt(first_message, admitted, now))
                .copied()
                .collect()
        };
        let (for_trial, for_regular_requests) =
            (eligible(&candidates.for_trial), eligible(&candidates.for_regular_requests));
        let trial = self.is_repeatable(class) && !for_trial.is_empty() || for_regular_requests.is_empty();
        let mut eligible = if trial { for_trial } else { for_regular_requests };
        self.exclude_failing_endpoints(&mut eligible, class, now);
        self.choose_endpoint(&eligible, class, now)
    }

    /// Returns the messages of a request: the first message, and those that are sent with it as a batch.
    fn fill_request(
        &self,
        destination: DestinationId,
        first_message: MessageKey,
        chosen: AdmittedEndpoint,
        class_order: &[u64],
        now: Duration,
    ) -> Vec<MessageKey> {
        let endpoint = &self.endpoints[chosen.endpoint];
        // A batch puts more load on an endpoint that is warming up than one message does.
        let max_messages = if chosen.half_open_trial {
            1
        } else {
            self.endpoints.max_batch(endpoint).min(self.slow_start_max_batch(chosen.scope, endpoint, now))
        };
        let mut messages = vec![first_message];
        if max_messages > 1 {
            let is_eligible = |key: &MessageKey| self.may_attempt(*key, &chosen, now);
            let segments = self.queue.segments(destination, now);
            let ranked = segments.map(|segment| self.sendable_messages(&segment, class_order, now)).kmerge();
            let others = ranked.map(|ranked| ranked.key).filter(|key| *key != first_message);
            messages.extend(others.take(max_messages - 1).filter(is_eligible));
        }
        messages
    }

    /// Returns the messages of a segment that may be sent under the rules of their ordering keys, each with
    /// its rank.
    fn sendable_messages<'s>(
        &'s self,
        segment: &QueueSegment<'s>,
        class_order: &[u64],
        now: Duration,
    ) -> impl Iterator<Item = RankedMessage> + 's {
        let queue_class = segment.queue_class;
        let class = queue_class.priority.class;
        // A message that may have been executed does not count as late: it has to be sent before its
        // idempotency key expires.
        let late = segment.late && !queue_class.possibly_executed;
        let class_order = class_order[class];
        let ordered = self.parameters.classes[class].ordered;
        let may_send = move |key: &MessageKey| {
            let message = &self.messages[*key];
            !ordered || self.ordering_queues.may_send(message.ordering_key, message.arrival_number, now)
        };
        let entries = segment.messages().filter(move |queued| may_send(&queued.key));
        entries.map(move |queued| RankedMessage {
            rank: MessageRank {
                over_quota: queue_class.priority.over_quota,
                failed_repeatedly: queue_class.errors > 1,
                late,
                class_order,
                objective_ends_at: queued.objective_ends_at,
                arrival_number: queued.arrival_number,
            },
            key: queued.key,
        })
    }

    /// Returns the first message of a segment that may be sent to one of the endpoints. Only messages that
    /// may have been executed are checked one by one; for all others of a segment, the result is the same.
    fn first_eligible(
        &self,
        segment: &QueueSegment,
        class_order: &[u64],
        endpoints: &[AdmittedEndpoint],
        now: Duration,
    ) -> Option<RankedMessage> {
        let max_checked = if segment.queue_class.possibly_executed { usize::MAX } else { 1 };
        let mut ranked = self.sendable_messages(segment, class_order, now).take(max_checked);
        ranked.find(|ranked| endpoints.iter().any(|admitted| self.may_attempt(ranked.key, admitted, now)))
    }
}
