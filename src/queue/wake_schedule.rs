//! Destinations to check now, and wake times of the others. The messages of a sleeping destination cannot be
//! sent before its wake time or an event, so that earlier checks are unnecessary.

use std::collections::BTreeSet;
use std::time::Duration;

use super::position::TimeIndexEntry;
use crate::interface::DestinationId;

/// State of a destination that determines whether a run of due work checks its messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum WakeState {
    /// The destination is checked in every run.
    #[default]
    Awake,
    /// The destination is not checked before the given time or an event that affects it.
    AsleepUntil(Duration),
    /// The destination is not checked before an event that affects it.
    AsleepUntilEvent,
}

/// Awake destinations with queued messages, and wake times of sleeping destinations.
#[derive(Default)]
pub(super) struct WakeSchedule {
    pub awake: BTreeSet<DestinationId>,
    pub wake_times: BTreeSet<TimeIndexEntry<DestinationId>>,
}

impl WakeSchedule {
    /// Puts an awake destination to sleep. Returns the new state for its queue.
    #[must_use]
    pub(super) fn sleep(&mut self, destination: DestinationId, until: Option<Duration>) -> WakeState {
        self.awake.remove(&destination);
        let Some(until) = until else { return WakeState::AsleepUntilEvent };
        self.wake_times.insert(TimeIndexEntry::new(until, destination));
        WakeState::AsleepUntil(until)
    }

    /// Wakes a destination and sets the state of its queue to awake.
    pub(super) fn wake(&mut self, destination: DestinationId, wake_state: &mut WakeState) {
        self.cancel_wake_time(destination, std::mem::take(wake_state));
        self.awake.insert(destination);
    }

    /// Removes a destination whose queue became empty in the given state.
    pub(super) fn remove(&mut self, destination: DestinationId, wake_state: WakeState) {
        self.cancel_wake_time(destination, wake_state);
        self.awake.remove(&destination);
    }

    /// Returns the first destination whose wake time has passed.
    pub(super) fn first_due_destination(&self, now: Duration) -> Option<DestinationId> {
        let first = self.wake_times.first().filter(|entry| entry.at <= now)?;
        Some(first.item)
    }

    fn cancel_wake_time(&mut self, destination: DestinationId, wake_state: WakeState) {
        if let WakeState::AsleepUntil(until) = wake_state {
            self.wake_times.remove(&TimeIndexEntry::new(until, destination));
        }
    }
}
