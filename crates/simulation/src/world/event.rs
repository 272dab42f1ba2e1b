//! Scheduled events, and inputs to forwarders.

use reeddock::{AttemptOutcome, EndpointState};

use super::records::{AttemptEnd, BatchPosition};
use crate::ids::{
    EndpointIndex, ForwarderIncarnation, ForwarderIndex, MessageIndex, RequestIndex, SubmissionIndex,
};

/// A change of one endpoint's state on the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListChange {
    pub(super) endpoint: EndpointIndex,
    pub(super) state: EndpointState,
}

/// An input that a forwarder passes to its policy in the next policy run.
pub(super) enum ForwarderInput {
    /// The complete endpoint list, or changes to the list.
    EndpointList { complete: bool, changes: Vec<ListChange> },
    /// A client has submitted a message.
    Submitted(MessageIndex),
    /// A pending message that a restarted forwarder read from its write-ahead log.
    Restored(MessageIndex),
    /// The outcome of an attempt.
    AttemptFinished(AttemptEnd),
    /// A message that its client has withdrawn, or no longer waits for.
    Withdrawn(MessageIndex),
    /// The expiry of the policy's timer.
    TimerFired,
    /// Gossip from another forwarder.
    Gossip { from: ForwarderIndex, content: Vec<u8> },
    /// The result of a health check.
    HealthChecked { endpoint: EndpointIndex, healthy: bool },
}

/// A scheduled event.
pub(super) enum Event {
    /// Clients of a program submit new messages.
    Arrival { program: usize },
    /// A client submits a message again.
    Resubmission(SubmissionIndex),
    /// A client withdraws a message.
    Withdrawal(MessageIndex),
    /// The final answer of a message is due.
    AnswerDue(MessageIndex),
    /// A forwarder passes its inbox to its policy and runs the policy.
    PolicyRun(ForwarderIncarnation),
    /// An input reaches a forwarder's inbox.
    Input { to: ForwarderIncarnation, input: ForwarderInput },
    /// A forwarder receives endpoint list changes, even if it has been restarted since the changes.
    ListChanged { forwarder: ForwarderIndex, changes: Vec<ListChange> },
    /// A request arrives at its endpoint.
    RequestArrives(RequestIndex),
    /// The sender of a request learns that no connection could be made.
    NotConnected(RequestIndex),
    /// A worker finishes a request. Ignored if the endpoint has a new incarnation.
    Served { endpoint: EndpointIndex, incarnation: u32, request: RequestIndex },
    /// A response or a connection reset arrives at the sender of a request.
    ResponseArrives { request: RequestIndex, outcome: AttemptOutcome },
    /// The timeout of one attempt in a request expires.
    TimedOut(BatchPosition),
    /// A health check arrives at its endpoint.
    HealthCheckArrives { from: ForwarderIncarnation, endpoint: EndpointIndex },
    /// The fault with this index in the scenario starts.
    FaultStarts(usize),
    /// The fault with this index in the scenario ends.
    FaultEnds(usize),
    /// The outage of an overloaded endpoint ends.
    OverloadEnds(EndpointIndex),
    /// The capacity of the watched destinations is recorded; repeated every second.
    CapacitySample,
}
