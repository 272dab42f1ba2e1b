//! Eviction of messages when the forwarder is at its capacity.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::PolicyHost;
use crate::message_key::MessageKey;
use crate::queue::{LongestQueue, PriorityClass};

/// Factor that priority weights are multiplied by before they are rounded down to integers and compared.
const PRIORITY_STEPS_PER_UNIT: f64 = 1e6;

/// Sort key of messages for eviction. The message with the lowest key is evicted; fields are compared in
/// their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    /// Current priority weight, in millionths.
    priority: u64,
    /// Whether the latency objective has not passed yet.
    on_time: bool,
    order: EvictionOrder,
    message: MessageKey,
}

/// Order among messages of the same priority weight.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    /// A late message. The one whose objective ended first is evicted first.
    Late { objective_ends_at: Duration, arrival_number: u64 },
    /// A message that is not late. The one with the latest objective in the longest queue is evicted first.
    /// Values are subtracted from their type's maximum, so that the greatest sorts first.
    OnTime { inverted_queue_length: usize, inverted_objective_ends_at: Duration, inverted_arrival: u64 },
}

impl DeliveryPolicy {
    /// Evicts the messages with the lowest priority weight while the forwarder is at its capacity.
    ///
    /// Without eviction, every new message would be rejected, whatever its priority.
    pub(super) fn evict_lowest_priority(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        while self.messages.len() >= self.parameters.max_pending_messages {
            self.refresh_indices();
            let classes = self.queue.priority_classes();
            let candidates = classes.filter_map(|class| self.eviction_candidate(class, now));
            let Some(lowest) = candidates.min() else { return };
            self.finish_undelivered(lowest.message, now, host);
        }
    }

    /// Returns the message of a priority class that would be evicted first.
    fn eviction_candidate(&self, class: PriorityClass, now: Duration) -> Option<EvictionKey> {
        let first = self.queue.earliest_message(class)?;
        let is_late = first.objective_ends_at < now;
        let (entry, order) = if is_late {
            (
                first,
                EvictionOrder::Late {
                    objective_ends_at: first.objective_ends_at,
                    arrival_number: first.arrival_number,
                },
            )
        } else {
            let LongestQueue { len, last } = self.queue.longest_queue(class)?;
            let order = EvictionOrder::OnTime {
                inverted_queue_length: usize::MAX - len,
                inverted_objective_ends_at: Duration::MAX - last.objective_ends_at,
                inverted_arrival: u64::MAX - last.arrival_number,
            };
            (last, order)
        };
        let priority = (self.priority(&self.messages[entry.key], now) * PRIORITY_STEPS_PER_UNIT) as u64;
        Some(EvictionKey { priority, on_time: !is_late, order, message: entry.key })
    }
}
