//! Identifiers shared by the policy and its host.

use std::sync::Arc;

/// Message id assigned by the client.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub Arc<str>);

/// Number of an endpoint (one server of a destination), assigned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// Number of a destination: another company's system, served by one or more endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationId(pub u64);

/// Key of messages that are delivered one at a time, in the order of their arrival. Only ordered message
/// classes use ordering keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderingKey(pub u64);

/// Number of another forwarder in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// Number of a delivery attempt within its message. Attempts are numbered from 0 in the order of their
/// [`start_attempt`](crate::PolicyHost::start_attempt) commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

/// Number of an HTTP request to an endpoint, which carries one attempt or a batch of attempts. Numbers ascend
/// in the order in which the policy starts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);
