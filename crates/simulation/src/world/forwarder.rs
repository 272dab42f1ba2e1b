//! One forwarder, over all its incarnations.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::event::ForwarderInput;
use crate::ids::MessageIndex;
use crate::policy::Policy;

/// The state of one forwarder.
pub(super) struct SimulatedForwarder {
    pub(super) zone: u32,
    /// Raised at each start and each kill.
    pub(super) incarnation: u32,
    /// Absent while the forwarder is down, and taken out while the policy runs.
    pub(super) policy: Option<Box<dyn Policy>>,
    pub(super) inbox: VecDeque<ForwarderInput>,
    /// A run of the policy is scheduled.
    pub(super) run_scheduled: bool,
    pub(super) requests_in_flight: usize,
    /// Messages accepted without a final answer.
    pub(super) pending_count: usize,
    /// The same, in the order in which they were accepted: what a write-ahead log would hold.
    pub(super) pending: BTreeMap<usize, MessageIndex>,
    /// When it learns of the last change of the endpoint list so far: changes arrive in order.
    pub(super) last_list_change_at: Duration,
}

impl SimulatedForwarder {
    /// A forwarder that was never started.
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

    /// Whether the forwarder is up.
    pub(super) fn is_running(&self) -> bool {
        self.policy.is_some()
    }

    /// The pending messages, in the order in which they were accepted.
    pub(super) fn pending_messages(&self) -> Vec<MessageIndex> {
        self.pending.values().copied().collect()
    }

    /// Adds a message that the forwarder has accepted.
    pub(super) fn add_pending(&mut self, message: MessageIndex) {
        self.pending_count += 1;
        self.pending.insert(message.0, message);
    }

    /// Removes a message that needs nothing more.
    pub(super) fn remove_pending(&mut self, message: MessageIndex) {
        self.pending_count = self.pending_count.saturating_sub(1);
        self.pending.remove(&message.0);
    }
}
