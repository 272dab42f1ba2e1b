//! Interface between a simulated forwarder and its policy: the delivery policy, or one of the baselines that
//! it is compared with. The baselines exist in the simulation only.

use std::time::Duration;

use reeddock::{
    DestinationId, EndpointId, EndpointState, EndpointUpdate, FinishedAttempt, MessageId, OrderingKey,
    PeerId, PolicyHost, PreviousAttempt, Settings,
};

/// One entry of the endpoint list, as a forwarder receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,
    /// Destination to which the endpoint belongs.
    pub destination: DestinationId,
    /// Listed state: active, draining or removed.
    pub state: EndpointState,
    /// Approximate requests a second that the endpoint accepts; `None` if the list contains no rates.
    pub weight: Option<f64>,
    /// Name of the endpoint's zone.
    pub zone: String,
    /// Name of the endpoint's kind in the settings.
    pub kind: String,
}

impl ListedEndpoint {
    /// Returns the entry in the form that the delivery policy takes.
    pub fn as_update(&self) -> EndpointUpdate<'_> {
        EndpointUpdate {
            endpoint: self.endpoint,
            destination: self.destination,
            state: self.state,
            weight: self.weight,
            zone: &self.zone,
            kind: &self.kind,
        }
    }
}

/// The endpoint list, or changes of it, as a forwarder receives them.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// Whether the entries are the complete list, so that endpoints without an entry are removed. Otherwise,
    /// the entries are changes.
    pub complete: bool,
    /// Entries in the order of the list.
    pub endpoints: Vec<ListedEndpoint>,
}

/// A message that a client submits to a forwarder.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier of the message.
    pub id: MessageId,
    /// Name of the message class in the settings.
    pub class: String,
    /// Name of the tenant that submits the message.
    pub tenant: String,
    /// Ordering key; messages of one key are delivered one after the other. `None` for no order.
    pub ordering_key: Option<OrderingKey>,
    /// Deadline of the final answer, since the start of the run.
    pub deadline: Duration,
    /// Destination of the message.
    pub destination: DestinationId,
}

/// The true state of the world, which a forwarder cannot know. Only
/// [`BuiltInPolicy::UpperBound`](crate::BuiltInPolicy::UpperBound) may use it.
pub trait WorldView {
    /// Returns whether a request sent now would be accepted and answered without an overload. Requests in
    /// transit count, and so do `sent_before` requests to the destination that are not in transit yet.
    /// `class` is the index of the message class in the scenario.
    fn would_accept(&self, endpoint: EndpointId, class: usize, sent_before: u32) -> bool;
    /// Returns the number of unfinished requests at an endpoint, divided by the number of its workers.
    fn load(&self, endpoint: EndpointId) -> f64;
    /// Returns the factor by which the duration of work at an endpoint is multiplied now.
    fn slowdown(&self, endpoint: EndpointId) -> f64;
}

/// Policy of one forwarder. The methods correspond to those of [`reeddock::DeliveryPolicy`]; times are since
/// the start of the run.
pub trait Policy: Send {
    /// Applies the endpoint list or changes of it.
    fn update_endpoint_list(&mut self, now: Duration, update: &EndpointListUpdate, host: &mut dyn PolicyHost);
    /// Accepts a submitted message.
    fn submit(&mut self, now: Duration, submission: &Submission, host: &mut dyn PolicyHost);
    /// Restores the earlier attempts of a pending message after a restart, after [`submit`](Policy::submit).
    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    );
    /// Records the result of an attempt.
    fn attempt_finished(&mut self, now: Duration, ended: &FinishedAttempt, host: &mut dyn PolicyHost);
    /// Removes a message that its client withdrew.
    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost);
    /// Handles the expiry of the timer that the policy set.
    fn timer_fired(&mut self, now: Duration);
    /// Records the result of a health check.
    fn health_checked(&mut self, now: Duration, endpoint: EndpointId, healthy: bool);
    /// Handles gossip from another forwarder.
    fn gossip_received(&mut self, now: Duration, from: PeerId, gossip: &[u8]);
    /// Passes the commands that are due to `host`. Called after all pending inputs were passed to the policy.
    fn run_due_work(&mut self, now: Duration, world: &dyn WorldView, host: &mut dyn PolicyHost);
}

/// Creates the policy of a forwarder that starts, from the start time, the settings and the host.
pub type PolicyFactory<'a> = dyn Fn(Duration, Settings, &mut dyn PolicyHost) -> Box<dyn Policy> + Sync + 'a;
