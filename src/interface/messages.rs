//! Messages and attempts that the host reports to the policy.

use std::time::Duration;

use super::ids::{AttemptNumber, DestinationId, EndpointId, MessageId, OrderingKey};
use super::outcomes::AttemptOutcome;

/// Message submitted by a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewMessage<'a> {
    /// Identifies the message in all commands.
    pub id: MessageId,
    /// Name of the message's [`MessageClass`](crate::MessageClass).
    pub class: &'a str,
    /// Tenant whose quota the message counts against; `None` if the client names none.
    pub tenant: Option<&'a str>,
    /// Ordering key; ignored unless the class is ordered.
    pub ordering_key: Option<OrderingKey>,
    /// Time at which the final answer is due, since the host's start time.
    pub deadline: Duration,
    /// Destination that the message is delivered to.
    pub destination: DestinationId,
}

/// Attempt that was started before the program's last restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousAttempt {
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Start time of the attempt; zero if unknown.
    pub started_at: Duration,
    /// Whether the known outcome proves that the message was not executed; false if the outcome is unknown.
    pub proves_not_executed: bool,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedAttempt<'a> {
    /// Message that the attempt belongs to.
    pub message: &'a MessageId,
    /// Number of the attempt within its message.
    pub number: AttemptNumber,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Whether the message has its final answer, from this attempt or earlier.
    pub message_finished: bool,
}
