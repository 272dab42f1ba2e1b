//! Which destinations are checked now, and when the others are. Only events can change what holds a sleeping
//! destination back, so that checking it in between would be work for nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use super::position::Due;
use crate::interface::DestinationId;

/// Whether a destination is checked whenever due work is run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Wakefulness {
    /// It is.
    #[default]
    Awake,
    /// Not before this time, or before an event concerns it.
    AsleepUntil(Duration),
    /// Not before an event concerns it.
    AsleepUntilEvent,
}

/// The destinations with queued messages that are awake, and the times at which others wake.
#[derive(Default)]
pub(super) struct WakeSchedule {
    pub awake: BTreeSet<DestinationId>,
    pub wake_times: BTreeSet<Due<DestinationId>>,
}

impl WakeSchedule {
    /// Puts an awake destination to sleep, and returns the state that its queue has then.
    #[must_use]
    pub(super) fn sleep(&mut self, destination: DestinationId, until: Option<Duration>) -> Wakefulness {
        self.awake.remove(&destination);
        let Some(until) = until else { return Wakefulness::AsleepUntilEvent };
        self.wake_times.insert(Due::new(until, destination));
        Wakefulness::AsleepUntil(until)
    }

    /// Wakes a destination whose queue is in this state, and sets that to awake.
    pub(super) fn wake(&mut self, destination: DestinationId, wakefulness: &mut Wakefulness) {
        self.cancel_wake_time(destination, std::mem::take(wakefulness));
        self.awake.insert(destination);
    }

    /// Forgets a destination whose queue was in this state when it became empty.
    pub(super) fn remove(&mut self, destination: DestinationId, wakefulness: Wakefulness) {
        self.cancel_wake_time(destination, wakefulness);
        self.awake.remove(&destination);
    }

    /// The first destination whose time to wake has come.
    pub(super) fn first_due(&self, now: Duration) -> Option<DestinationId> {
        let first = self.wake_times.first().filter(|due| due.at <= now)?;
        Some(first.subject)
    }

    fn cancel_wake_time(&mut self, destination: DestinationId, wakefulness: Wakefulness) {
        if let Wakefulness::AsleepUntil(until) = wakefulness {
            self.wake_times.remove(&Due::new(until, destination));
        }
    }
}
