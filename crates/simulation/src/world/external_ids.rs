//! Conversions between the simulation's indices and the ids that policies see. Ids of endpoints and
//! destinations start at 1.

use std::sync::Arc;

use reeddock::{DestinationId, EndpointId, MessageId};

use crate::ids::{DestinationIndex, EndpointIndex, MessageIndex};

pub(super) fn endpoint_id(endpoint: EndpointIndex) -> EndpointId {
    EndpointId(endpoint.0 as u32 + 1)
}

pub(super) fn endpoint_index(id: EndpointId) -> Option<EndpointIndex> {
    id.0.checked_sub(1).map(|index| EndpointIndex(index as usize))
}

pub(super) fn destination_id(destination: DestinationIndex) -> DestinationId {
    DestinationId(destination.0 as u64 + 1)
}

pub(super) fn message_id(message: MessageIndex) -> MessageId {
    MessageId(Arc::from(format!("e{:08}", message.0)))
}

pub(super) fn message_index(id: &MessageId) -> Option<MessageIndex> {
    id.0.strip_prefix('e').and_then(|index| index.parse().ok()).map(MessageIndex)
}
