//! State of the delivery policy: records and tables with the operations that keep them consistent.
//!
//! The modules of [`policy`](crate::policy) make the decisions. No module in `state` imports them.

mod attempt;
mod circuit;
mod circuit_table;
mod destination;
mod earliest_time;
mod endpoint;
mod endpoint_directory;
mod in_flight;
mod message;
mod message_table;
mod ordering;
mod pacing;
mod parameters;
mod poll_schedule;
mod removed_endpoints;
mod response_times;
mod sequence;
mod tenants;
mod timer;
mod zones;

pub(crate) use attempt::{AdmittedEndpoint, Attempt, AttemptKey, RequestInFlight};
pub(crate) use circuit::{CircuitBreaker, CircuitState};
pub(crate) use circuit_table::CircuitTable;
pub(crate) use earliest_time::EarliestTime;
pub(crate) use endpoint::{Endpoint, EndpointUsage, SentLoad};
pub(crate) use endpoint_directory::EndpointDirectory;
pub(crate) use in_flight::{AttemptsInFlight, EndedAttempt};
pub(crate) use message::{Message, MessageTimes, PossibleExecution, QueueEntry};
pub(crate) use message_table::MessageTable;
pub(crate) use ordering::OrderingQueues;
pub(crate) use pacing::Pacing;
pub(crate) use parameters::{ClassParameters, EndpointKindParameters, PolicyParameters, TenantParameters};
pub(crate) use poll_schedule::PollSchedule;
pub(crate) use response_times::ResponseTimes;
pub(crate) use sequence::Sequence;
pub(crate) use tenants::TenantTokenBuckets;
pub(crate) use timer::{PolicyTimer, MIN_TIMER};
