//! Decoding of events for one instance and of entries of registered endpoint lists.

use std::time::Duration;

use base64::{engine::general_purpose::STANDARD, Engine};
use reeddock::{
    AttemptNumber, AttemptOutcome, EndpointId, EndpointState, EndpointUpdate, MessageId, NewMessage,
    OrderingKey, PeerId,
};
use serde_json::Value;

use crate::event_fields::EventFields;
use crate::AdapterError;

/// An event for an attached instance.
pub(crate) enum InstanceEvent<'a> {
    /// `Sync` of kind `X`: fetching the endpoint list failed.
    DiscoveryFailed,
    /// `Sync` of another kind: the full endpoint list or its changes were received.
    EndpointList {
        /// Whether the full list was received, not its changes.
        is_full_list: bool,
        /// Number that the list was registered under.
        list: u64,
    },
    /// `Demand`: a client submitted a message.
    Submitted(NewMessage<'a>),
    /// `Settled`: an attempt ended.
    AttemptFinished(FinishedAttempt<'a>),
    /// `Left`: the client stopped waiting for a message.
    Withdrawn(MessageId),
    /// `Alarm`: a timer of the policy fired.
    TimerFired,
    /// `HealthResult`: a health check ended.
    HealthChecked {
        endpoint: EndpointId,
        /// Whether the endpoint is healthy.
        healthy: bool,
        /// Values of the load report in the response; `None` if it has none.
        load_report: Option<&'a [Value]>,
    },
    /// `FromPeer`: gossip of another forwarder was received.
    GossipReceived {
        /// Forwarder that sent the gossip.
        peer: PeerId,
        gossip: Vec<u8>,
    },
    /// `Accepted`: the response to an attempt started.
    ResponseStarted {
        message: MessageId,
        /// Number of the attempt among those of its message.
        attempt: AttemptNumber,
    },
}

/// An attempt that ended.
pub(crate) struct FinishedAttempt<'a> {
    pub message: MessageId,
    pub attempt: AttemptNumber,
    pub endpoint: EndpointId,
    pub outcome: AttemptOutcome,
    /// Whether the attempt finished its message.
    pub message_finished: bool,
    /// Values of the load report in the response; `None` if it has none.
    pub load_report: Option<&'a [Value]>,
}

impl<'a> TryFrom<&EventFields<'a>> for InstanceEvent<'a> {
    type Error = AdapterError;

    fn try_from(fields: &EventFields<'a>) -> Result<InstanceEvent<'a>, AdapterError> {
        Ok(match fields.name {
            "Sync" => parse_sync(fields)?,
            "Demand" => InstanceEvent::Submitted(parse_message(fields)?),
            "Settled" => InstanceEvent::AttemptFinished(FinishedAttempt::try_from(fields)?),
            "Left" => InstanceEvent::Withdrawn(fields.message(0)?),
            "Alarm" => InstanceEvent::TimerFired,
            "HealthResult" => InstanceEvent::HealthChecked {
                healthy: fields.text(1)? == "delivered",
                endpoint: fields.endpoint(0)?,
                load_report: fields.optional_array(3),
            },
            "FromPeer" => InstanceEvent::GossipReceived {
                gossip: STANDARD.decode(fields.text(1)?).map_err(|_| fields.invalid_value(1))?,
                peer: fields.peer(0)?,
            },
            "Accepted" => {
                InstanceEvent::ResponseStarted { message: fields.message(0)?, attempt: fields.attempt(3)? }
            }
            other => return Err(AdapterError::UnknownEvent(other.to_owned())),
        })
    }
}

fn parse_sync<'a>(fields: &EventFields<'a>) -> Result<InstanceEvent<'a>, AdapterError> {
    match fields.text(0)? {
        "X" => Ok(InstanceEvent::DiscoveryFailed),
        // `D` carries the changes of the list, `F` and `C` carry the full list.
        kind @ ("D" | "F" | "C") => {
            Ok(InstanceEvent::EndpointList { is_full_list: kind != "D", list: fields.integer(2)? })
        }
        other => Err(AdapterError::UnknownSyncKind(other.to_owned())),
    }
}

fn parse_message<'a>(fields: &EventFields<'a>) -> Result<NewMessage<'a>, AdapterError> {
    Ok(NewMessage {
        id: fields.message(0)?,
        class: fields.text(1)?,
        tenant: fields.optional_text(2),
        ordering_key: fields.optional_integer(3)?.map(OrderingKey),
        deadline: fields.duration_from_micros(4)?,
        destination: fields.destination(6)?,
    })
}

impl<'a> TryFrom<&EventFields<'a>> for FinishedAttempt<'a> {
    type Error = AdapterError;

    fn try_from(fields: &EventFields<'a>) -> Result<FinishedAttempt<'a>, AdapterError> {
        // `retry_after` is in milliseconds, unlike the other times on the wire.
        let retry_after = fields.optional_integer(6)?.filter(|ms| *ms > 0).map(Duration::from_millis);
        Ok(FinishedAttempt {
            outcome: parse_outcome(fields.text(4)?, retry_after)?,
            message_finished: fields.flag(5),
            attempt: fields.attempt(1)?,
            endpoint: fields.endpoint(3)?,
            message: fields.message(0)?,
            load_report: fields.optional_array(7),
        })
    }
}

fn parse_outcome(word: &str, retry_after: Option<Duration>) -> Result<AttemptOutcome, AdapterError> {
    match word {
        "delivered" => Ok(AttemptOutcome::Completed),
        "app_error" => Ok(AttemptOutcome::Error),
        "shed" => Ok(AttemptOutcome::Rejected { retry_after }),
        "expired" => Ok(AttemptOutcome::TimedOut),
        "dial_failed" => Ok(AttemptOutcome::NoConnection),
        "dropped" => Ok(AttemptOutcome::ConnectionReset),
        "revoked" => Ok(AttemptOutcome::Cancelled),
        "unused" => Ok(AttemptOutcome::NotSent),
        other => Err(AdapterError::UnknownOutcome(other.to_owned())),
    }
}

/// Parses an entry of a registered list.
pub(crate) fn parse_list_entry(entry: &Value) -> Result<EndpointUpdate<'_>, AdapterError> {
    let fields = EventFields::from_list_entry(entry)?;
    let state = match fields.text(4)? {
        "active" => EndpointState::Active,
        "leaving" => EndpointState::Draining,
        "left" => EndpointState::Removed,
        other => return Err(AdapterError::UnknownEndpointState(other.to_owned())),
    };
    Ok(EndpointUpdate {
        endpoint: fields.endpoint(0)?,
        destination: fields.destination(2)?,
        state,
        weight: fields.optional_number(1),
        zone: fields.optional_text(5).unwrap_or_default(),
        kind: fields.optional_text(6).unwrap_or_default(),
    })
}
