//! The records of delivery attempts and requests that have not ended yet.

use std::time::Duration;

use super::Message;
use crate::interface::{AttemptNumber, CircuitScope, EndpointId, MessageId, OrderingKey, RequestId};
use crate::message_key::MessageKey;

/// Names an attempt: its message and its number. The attempts of one message sort by number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) message: MessageId,
    pub(crate) number: AttemptNumber,
}

/// A request without an outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestInFlight {
    pub(crate) id: RequestId,
    pub(crate) started_at: Duration,
}

/// An endpoint that a request may be sent to now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AdmittedEndpoint {
    pub(crate) endpoint: EndpointId,
    /// What its circuit is kept for.
    pub(crate) scope: CircuitScope,
    /// The request is the trial of a half-open circuit.
    pub(crate) half_open_trial: bool,
}

/// Lives from the start of an attempt to its outcome.
pub(crate) struct Attempt {
    pub(crate) message: MessageKey,
    /// The message's ordering key and arrival, by which it keeps its place in the ordering queue though it may
    /// be finished.
    pub(crate) ordering_key: Option<OrderingKey>,
    pub(crate) arrival_number: u64,
    pub(crate) endpoint: EndpointId,
    pub(crate) scope: CircuitScope,
    /// The index of the message's class.
    pub(crate) class: usize,
    /// The request that carries it.
    pub(crate) request: RequestId,
    pub(crate) started_at: Duration,
    /// The policy has commanded to cancel it, as a straggler.
    pub(crate) cancelled: bool,
}

impl Attempt {
    /// An attempt of a message that starts now as a part of a request.
    pub(crate) fn new(
        key: MessageKey,
        message: &Message,
        admitted: AdmittedEndpoint,
        request: RequestInFlight,
    ) -> Attempt {
        Attempt {
            message: key,
            ordering_key: message.ordering_key,
            arrival_number: message.arrival_number,
            endpoint: admitted.endpoint,
            scope: admitted.scope,
            class: message.class,
            request: request.id,
            started_at: request.started_at,
            cancelled: false,
        }
    }
}
