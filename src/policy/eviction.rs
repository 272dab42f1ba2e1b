//! Which message goes when the forwarder is full.

use std::time::Duration;

use super::DeliveryPolicy;
use crate::interface::PolicyHost;
use crate::messages::MessageKey;
use crate::queue::PriorityClass;

/// Priorities are compared in millionths.
const PRIORITY_STEPS: f64 = 1e6;

/// Orders messages for eviction: the least goes first. Compared in the order of the fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    /// What it would earn, in millionths.
    priority: u64,
    /// It may still meet its latency objective.
    on_time: bool,
    place: EvictionPlace,
    message: MessageKey,
}

/// The place among messages that would earn the same.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionPlace {
    /// Of late messages the one whose objective ended first.
    Late { objective_at: Duration, arrival: u64 },
    /// Of others the one whose objective ends last, of the destination with most queued. Each figure is that
    /// far from the greatest possible one.
    OnTime { below_most_queued: usize, before_last_objective: Duration, before_last_arrival: u64 },
}

impl DeliveryPolicy {
    /// Symptom: as many messages are kept as may be, and whatever comes next is rejected unseen. What would earn
    /// least goes instead.
    pub(super) fn evict_lowest_priority(&mut self, now: Duration, host: &mut dyn PolicyHost) {
        while self.messages.len() >= self.parameters.capacity {
            self.refresh_indices();
            let classes = self.queue.worth_classes();
            let candidates = classes.filter_map(|class| self.eviction_candidate(class, now));
            let Some(least) = candidates.min() else { return };
            self.finish_undelivered(least.message, now, host);
        }
    }

    /// The message of a priority class that would be evicted first.
    fn eviction_candidate(&self, class: PriorityClass, now: Duration) -> Option<EvictionKey> {
        let first = self.queue.earliest(class)?;
        let late = first.by < now;
        let (entry, place) = if late {
            (first, EvictionPlace::Late { objective_at: first.by, arrival: first.arrival })
        } else {
            let (queued, last) = self.queue.longest(class)?;
            let place = EvictionPlace::OnTime {
                below_most_queued: usize::MAX - queued,
                before_last_objective: Duration::MAX - last.by,
                before_last_arrival: u64::MAX - last.arrival,
            };
            (last, place)
        };
        let priority = (self.priority(&self.messages[entry.key], now) * PRIORITY_STEPS) as u64;
        Some(EvictionKey { priority, on_time: !late, place, message: entry.key })
    }
}
