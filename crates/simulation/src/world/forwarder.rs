//! One forwarder, whichever of its incarnations.

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
    /// Absent while it is down, and while it is running.
    pub(super) policy: Option<Box<dyn Policy>>,
    pub(super) inbox: VecDeque<ForwarderInput>,
    /// A run of the policy is scheduled.
    pub(super) run_scheduled: bool,
    pub(super) requests_in_flight: usize,
    /// Messages accepted without a final answer.
    pub(super) open_messages: usize,
    /// The same, in the order in which they were accepted: what a write-ahead log would hold.
    pub(super) pending: BTreeMap<usize, MessageIndex>,
    /// When it learns of the last change of the endpoint list: changes come in order.
    pub(super) list_told_until: Duration,
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
            open_messages: 0,
            pending: BTreeMap::new(),
            list_told_until: Duration::ZERO,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.policy.is_some()
    }

    /// The pending messages, in the order in which they were accepted.
    pub(super) fn pending_messages(&self) -> Vec<MessageIndex> {
        self.pending.values().copied().collect()
    }

    pub(super) fn message_accepted(&mut self, message: MessageIndex) {
        self.open_messages += 1;
        self.pending.insert(message.0, message);
    }

    pub(super) fn message_finished(&mut self, message: MessageIndex) {
        self.open_messages = self.open_messages.saturating_sub(1);
        self.pending.remove(&message.0);
    }
}
