//! Messages and attempts as the host describes them to the policy.

use std::time::Duration;

use super::ids::{AttemptNumber, DestinationId, EndpointId, MessageId, OrderingKey};
use super::outcomes::AttemptOutcome;

/// A message that a client has submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewMessage<'a> {
    /// The id that every command about the message names.
    pub id: MessageId,
    /// The name of its [`MessageClass`](crate::MessageClass).
    pub class: &'a str,
    /// Whose quota it counts against, if it names a tenant.
    pub tenant: Option<&'a str>,
    /// Ignored unless the class is ordered.
    pub ordering_key: Option<OrderingKey>,
    /// When its final answer is due.
    pub deadline: Duration,
    /// Where it is to be delivered.
    pub destination: DestinationId,
}

/// An attempt that was started before this start of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousAttempt {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When it was started; zero if that is not known.
    pub started_at: Duration,
    /// It is known to have ended in a way that proves that the message was not executed.
    pub proves_not_executed: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedAttempt<'a> {
    /// The message that was attempted.
    pub message: &'a MessageId,
    /// Which of its attempts.
    pub number: AttemptNumber,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The message has its final answer, by this end or before it.
    pub message_finished: bool,
}
