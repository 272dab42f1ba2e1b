//! What may decide for a forwarder: the delivery policy, and the baselines that it is measured against. Baselines
//! live here and in [`crate::policies`] only; the daemon never sees them.

use std::time::Duration;

use reeddock::{
    DestinationId, EndpointId, EndpointState, EndpointUpdate, FinishedAttempt, MessageId, OrderingKey,
    PeerId, PolicyHost, PreviousAttempt, Settings,
};

/// One entry of the endpoint list, as a forwarder reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Active, draining or removed.
    pub state: EndpointState,
    /// Requests a second that it accepts, where the list gives rates.
    pub weight: Option<f64>,
    /// Its zone.
    pub zone: String,
    /// Name of its kind in the settings.
    pub kind: String,
}

impl ListedEndpoint {
    /// The entry as the delivery policy takes it.
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

/// What a forwarder has read of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// It is the complete list, not its changes: endpoints that it does not name are removed.
    pub complete: bool,
    /// The entries, in the order of the list.
    pub endpoints: Vec<ListedEndpoint>,
}

/// A message as it is submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The message.
    pub id: MessageId,
    /// Name of its class in the settings.
    pub class: String,
    /// Name of the tenant that submits it.
    pub tenant: String,
    /// Messages of one key go one after the other.
    pub ordering_key: Option<OrderingKey>,
    /// Deadline of its final answer, since the start of the run.
    pub deadline: Duration,
    /// Where it is to go.
    pub destination: DestinationId,
}

/// The true state of the world. Only [`BuiltInPolicy::UpperBound`](crate::BuiltInPolicy::UpperBound) may look; what
/// a forwarder can know does not come by here.
pub trait WorldView {
    /// Whether a request with a message of this class, sent now, would be accepted and answered and overload
    /// nothing. Requests in transit count, and `sent_before` more to the same destination that are not in the world
    /// yet. The class is its index in the scenario.
    fn would_accept(&self, endpoint: EndpointId, class: usize, sent_before: u32) -> bool;
    /// Requests that the endpoint has not finished, for each of its workers.
    fn load(&self, endpoint: EndpointId) -> f64;
    /// Factor of the time that work takes there now.
    fn slowdown(&self, endpoint: EndpointId) -> f64;
}

/// One instance that decides for one forwarder, called as the delivery policy is. Times are since the start of the
/// run.
pub trait Policy: Send {
    /// The endpoint list was read: all of it, or its changes.
    fn update_endpoint_list(&mut self, now: Duration, update: &EndpointListUpdate, host: &mut dyn PolicyHost);
    /// A message was submitted.
    fn submit(&mut self, now: Duration, submission: &Submission, host: &mut dyn PolicyHost);
    /// After a restart, and after [`submit`](Policy::submit): the attempts that a pending message had before.
    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    );
    /// An attempt has ended.
    fn attempt_finished(&mut self, now: Duration, ended: &FinishedAttempt, host: &mut dyn PolicyHost);
    /// The client withdrew a message.
    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost);
    /// The timer that the policy set has fired.
    fn timer_fired(&mut self, now: Duration);
    /// A health check has ended.
    fn health_checked(&mut self, now: Duration, endpoint: EndpointId, healthy: bool);
    /// Gossip has come from another forwarder.
    fn gossip_received(&mut self, now: Duration, from: PeerId, gossip: &[u8]);
    /// All inputs were passed on; the policy may now give commands.
    fn run_due_work(&mut self, now: Duration, world: &dyn WorldView, host: &mut dyn PolicyHost);
}

/// Makes the instance of a forwarder that starts.
pub type PolicyFactory<'a> = dyn Fn(Duration, Settings, &mut dyn PolicyHost) -> Box<dyn Policy> + Sync + 'a;
