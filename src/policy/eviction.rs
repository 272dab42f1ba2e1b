//! Which message is evicted when the forwarder is at its capacity.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::PolicyHost;
use crate::message_key::MessageKey;
use crate::queue::{LongestQueue, PriorityClass};

/// Priorities are compared in millionths.
const PRIORITY_STEPS: f64 = 1e6;

/// Orders messages for eviction: the least goes first. Compared in the order of the fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    /// Its priority weight now, in millionths.
    priority: u64,
    /// It may still meet its latency objective.
    on_time: bool,
    place: EvictionPlace,
    message: MessageKey,
}

/// The order among messages of the same priority.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionPlace {
    /// Of late messages the one whose objective ended first.
    Late { objective_at: Duration, arrival_number: u64 },
    /// Of others the one whose objective ends last, of the destination with most queued. The greatest comes first,
    /// so each value is subtracted from the greatest possible one.
    OnTime { below_most_queued: usize, before_last_objective: Duration, before_last_arrival: u64 },
}

impl DeliveryPolicy {
    /// Symptom: the forwarder is at its capacity, and whatever is submitted next is rejected whatever its priority.
    /// The message with the lowest priority is evicted instead.
    pub(super) fn evict_lowest_priority(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        while self.messages.len() >= self.parameters.max_pending_messages {
            self.refresh_indices();
            let classes = self.queue.priority_classes();
            let candidates = classes.filter_map(|class| self.eviction_candidate(class, now));
            let Some(least) = candidates.min() else { return };
            self.finish_undelivered(least.message, now, host);
        }
    }

    /// The message of a priority class that would be evicted first.
    fn eviction_candidate(&self, class: PriorityClass, now: Duration) -> Option<EvictionKey> {
        let first = self.queue.earliest_message(class)?;
        let late = first.objective_at < now;
        let (entry, place) = if late {
            (
                first,
                EvictionPlace::Late {
                    objective_at: first.objective_at,
                    arrival_number: first.arrival_number,
                },
            )
        } else {
            let LongestQueue { len, last } = self.queue.longest_queue(class)?;
            let place = EvictionPlace::OnTime {
                below_most_queued: usize::MAX - len,
                before_last_objective: Duration::MAX - last.objective_at,
                before_last_arrival: u64::MAX - last.arrival_number,
            };
            (last, place)
        };
        let priority = (self.priority(&self.messages[entry.key], now) * PRIORITY_STEPS) as u64;
        Some(EvictionKey { priority, on_time: !late, place, message: entry.key })
    }
}
