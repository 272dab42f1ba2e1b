//! The state of one forwarder across its incarnations.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::event::ForwarderInput;
use crate::ids::MessageIndex;
use crate::policy::Policy;

pub(super) struct SimulatedForwarder {
    pub(super) zone: u32,
    /// Increased by each start and each kill.
    pub(super) incarnation: u32,
    /// `None` while the forwarder is down, and during a policy run.
    pub(super) policy: Option<Box<dyn Policy>>,
    pub(super) inbox: VecDeque<ForwarderInput>,
    /// Whether a policy run is scheduled.
    pub(super) run_scheduled: bool,
    pub(super) requests_in_flight: usize,
    /// Number of accepted messages without a final answer.
    pub(super) pending_count: usize,
    /// Accepted messages without a final answer, by message index, which is the order of acceptance.
    pub(super) pending: BTreeMap<usize, MessageIndex>,
    /// Scheduled time of the latest endpoint list change, so that changes are received in order.
    pub(super) last_list_change_at: Duration,
}

impl SimulatedForwarder {
    /// Creates a forwarder that has not been started.
    pub(super) fn new(zone: u32) -> SimulatedForwarder {
        SimulatedForwarder {
            zone,
            incarnation: 0,
            policy: None,
            inbox: VecDeque::new(),
            run_scheduled: false,
            requests_in_flight: 0,
            pending_count: 0,
            pending: BTreeMap::new(),
            last_list_change_at: Duration::ZERO,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.policy.is_some()
    }

    /// Returns the pending messages in the order of their acceptance.
    pub(super) fn pending_messages(&self) -> Vec<MessageIndex> {
        self.pending.values().copied().collect()
    }

    /// Adds an accepted message to the pending ones.
    pub(super) fn add_pending(&mut self, message: MessageIndex) {
        self.pending_count += 1;
        self.pending.insert(message.0, message);
    }

    /// Removes a message that is no longer pending.
    pub(super) fn remove_pending(&mut self, message: MessageIndex) {
        self.pending_count = self.pending_count.saturating_sub(1);
        self.pending.remove(&message.0);
    }
}
