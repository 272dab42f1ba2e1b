//! What is still to happen in a world.

use reeddock::{AttemptOutcome, EndpointState};

use super::records::{AttemptEnd, BatchPosition};
use crate::ids::{
    EndpointIndex, ForwarderIncarnation, ForwarderIndex, MessageIndex, RequestIndex, SubmissionIndex,
};

/// A change of one endpoint on the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListChange {
    pub(super) endpoint: EndpointIndex,
    pub(super) state: EndpointState,
}

/// What a forwarder passes to its policy when that next runs.
pub(super) enum ForwarderInput {
    /// The whole endpoint list, or changes of it.
    EndpointList { complete: bool, changes: Vec<ListChange> },
    /// A client has submitted a message.
    Submitted(MessageIndex),
    /// After a restart: a pending message from the write-ahead log.
    Restored(MessageIndex),
    /// An attempt has ended.
    AttemptFinished(AttemptEnd),
    /// The client has withdrawn a message.
    Withdrawn(MessageIndex),
    /// The policy's timer.
    TimerFired,
    /// Gossip from another forwarder.
    Gossip { from: ForwarderIndex, content: Vec<u8> },
    /// A health check has ended.
    HealthChecked { endpoint: EndpointIndex, healthy: bool },
}

/// What happens at a time.
pub(super) enum Event {
    /// Messages of a program arrive.
    Arrival { program: usize },
    /// A client submits a message again.
    Resubmission(SubmissionIndex),
    /// A client withdraws a message.
    Withdrawal(MessageIndex),
    /// A message must have its final answer by now.
    AnswerDue(MessageIndex),
    /// A forwarder handles its inbox and runs its policy.
    PolicyRun(ForwarderIncarnation),
    /// Something is put into a forwarder's inbox.
    Input { to: ForwarderIncarnation, input: ForwarderInput },
    /// A forwarder learns of changes of the endpoint list, also where it was restarted since they were made.
    ListChanged { forwarder: ForwarderIndex, changes: Vec<ListChange> },
    /// A request arrives at its endpoint.
    RequestArrives(RequestIndex),
    /// The sender learns that no connection was made.
    NotConnected(RequestIndex),
    /// A worker of that incarnation of an endpoint has served a request.
    Served { endpoint: EndpointIndex, incarnation: u32, request: RequestIndex },
    /// A response, or the end of the connection, arrives at the sender.
    ResponseArrives { request: RequestIndex, outcome: AttemptOutcome },
    /// The timeout of one attempt of a request.
    TimedOut(BatchPosition),
    /// A health check arrives at its endpoint.
    HealthCheckArrives { from: ForwarderIncarnation, endpoint: EndpointIndex },
    /// A fault starts, by its place in the scenario.
    FaultStarts(usize),
    /// A fault ends, by its place in the scenario.
    FaultEnds(usize),
    /// An endpoint that was overloaded is up again.
    OverloadEnds(EndpointIndex),
    /// Once a second: what the watched destinations could serve.
    CapacitySample,
}
