//! Records of delivery attempts and requests in flight.

use std::time::Duration;

use super::Message;
use crate::interface::{AttemptNumber, CircuitScope, EndpointId, MessageId, OrderingKey, RequestId};
use crate::message_key::MessageKey;

/// Identifies an attempt. The attempts of one message are ordered by number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) message: MessageId,
    pub(crate) number: AttemptNumber,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestInFlight {
    pub(crate) id: RequestId,
    pub(crate) started_at: Duration,
}

/// Endpoint that a request may be sent to now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AdmittedEndpoint {
    pub(crate) endpoint: EndpointId,
    /// Scope of the endpoint's circuit breaker.
    pub(crate) scope: CircuitScope,
    /// Whether the request is the trial of a half-open circuit.
    pub(crate) half_open_trial: bool,
}

/// Attempt in flight, kept from its start until its outcome is known.
pub(crate) struct Attempt {
    pub(crate) message: MessageKey,
    /// Key and arrival number identify the message's place in its ordering queue, even if the message is
    /// finished.
    pub(crate) ordering_key: Option<OrderingKey>,
    pub(crate) arrival_number: u64,
    pub(crate) endpoint: EndpointId,
    pub(crate) scope: CircuitScope,
    /// Index of the message class.
    pub(crate) class: usize,
    pub(crate) request: RequestId,
    pub(crate) started_at: Duration,
    /// Whether the policy has cancelled the attempt as a straggler.
    pub(crate) cancelled: bool,
}

impl Attempt {
    /// Returns an attempt of `message` that starts now as a part of `request`.
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
