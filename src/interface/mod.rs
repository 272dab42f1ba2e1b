//! The interface between the delivery policy and the program that hosts it: identifiers, settings, what the
//! host reports to the policy, the commands that it gives and the events that it reports.
//!
//! The policy does no input or output. A program that hosts it implements [`PolicyHost`], which carries out
//! the policy's commands, and calls a [`DeliveryPolicy`](crate::DeliveryPolicy) with what happens. All times
//! are spans since one start that the host chooses.

mod commands;
mod endpoints;
mod events;
mod ids;
mod messages;
mod outcomes;
mod settings;

pub use commands::{AttemptTimeouts, PolicyHost};
pub use endpoints::{EndpointState, EndpointUpdate, ListedWeights, LoadReport};
pub use events::{CircuitScope, PolicyEvent};
pub use ids::{AttemptNumber, DestinationId, EndpointId, MessageId, OrderingKey, PeerId, RequestId};
pub use messages::{FinishedAttempt, NewMessage, PreviousAttempt};
pub use outcomes::AttemptOutcome;
pub use settings::{
    EndpointKind, Idempotency, IdempotencyKeyScope, LateDecay, MessageClass, Settings, TenantQuota, ZoneFee,
};
