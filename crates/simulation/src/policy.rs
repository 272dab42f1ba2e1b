//! What may decide for a forwarder: the delivery policy, and the baselines that it is measured against. Baselines live
//! here and in [`crate::policies`] only; the daemon never sees them.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, DestinationId, EndpointId, EndpointState, MessageId, OrderingKey, PeerId,
    PolicyHost, PreviousAttempt, Settings,
};

/// One line of the list, as a forwarder is told it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListLine {
    pub target: EndpointId,
    pub destination: DestinationId,
    pub standing: EndpointState,
    pub weight: Option<f64>,
    pub zone: String,
    pub kind: String,
}

/// A message as it is submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    pub id: MessageId,
    pub category: String,
    pub program: String,
    pub key: Option<OrderingKey>,
    pub outer_limit: Duration,
    pub destination: DestinationId,
}

/// The true state of the world. Only the ceiling may look; what a forwarder can know does not come by here.
pub trait WorldView {
    /// Whether a call with a message of this category, sent now, would be taken and answered and push nothing
    /// over, with those on their way and so many more to its destination before it.
    fn would_take(&self, target: EndpointId, category: usize, before: u32) -> bool;
    /// Work that it has taken and not finished, for each of its workers.
    fn burden(&self, target: EndpointId) -> f64;
    /// Times as long as usual that work takes there now.
    fn slowness(&self, target: EndpointId) -> f64;
}

/// One instance that decides for one forwarder, called as the delivery policy is.
pub trait Policy: Send {
    fn list(&mut self, now: Duration, whole: bool, lines: &[ListLine], host: &mut dyn PolicyHost);
    fn submit(&mut self, now: Duration, envelope: &Submission, host: &mut dyn PolicyHost);
    /// The host itself has submitted again what it owed before a start.
    fn restore(&mut self, now: Duration, id: &MessageId, past: &[PreviousAttempt], host: &mut dyn PolicyHost);
    fn attempt_finished(
        &mut self,
        now: Duration,
        id: &MessageId,
        no: AttemptNumber,
        outcome: AttemptOutcome,
        over: bool,
        host: &mut dyn PolicyHost,
    );
    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost);
    fn timer_fired(&mut self, now: Duration);
    fn health_checked(&mut self, now: Duration, target: EndpointId, well: bool);
    fn gossip_received(&mut self, now: Duration, from: PeerId, note: &[u8]);
    fn run_due_work(&mut self, now: Duration, sight: &dyn WorldView, host: &mut dyn PolicyHost);
}

/// Makes the instance of a forwarder that starts.
pub type PolicyFactory<'a> = dyn Fn(Duration, Settings, &mut dyn PolicyHost) -> Box<dyn Policy> + Sync + 'a;
