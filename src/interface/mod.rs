//! Interface between the delivery policy and its host program: identifiers, settings, reports from the host,
//! commands to the host, and events for the log.
//!
//! The policy performs no input or output. The host implements [`PolicyHost`], which carries out the policy's
//! commands, and reports each event to a [`DeliveryPolicy`](crate::DeliveryPolicy). All times are durations
//! since a start time that the host chooses.

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
