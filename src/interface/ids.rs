//! Identifiers that pass between the policy and its host.

use std::sync::Arc;

/// The id of a message, as its client gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub Arc<str>);

/// One server of a destination. The host numbers endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// Another firm's system, which one or more endpoints serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationId(pub u64);

/// Messages of an ordered class that carry the same key are delivered one at a time, in the order of their
/// arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderingKey(pub u64);

/// Another forwarder of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// The number of a delivery attempt of one message. Attempts are numbered from 0 in the order of their
/// [`start_attempt`](crate::PolicyHost::start_attempt) commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

/// One HTTP request to an endpoint, which carries the attempt of one message or those of a batch. Requests
/// are numbered in the order in which the policy started them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);
