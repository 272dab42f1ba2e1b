//! What may decide for a forwarder: the module, and the baselines that it is measured against. Baselines live
//! here and in [`crate::policies`] only; the daemon never sees them.

use std::time::Duration;

use reeddock::{
    DestinationId, DispatchNo, EnvelopeId, Host, KeyId, Outcome, Past, PeerId, Standing, TargetId, Terms,
};

/// One line of the list, as a forwarder is told it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListLine {
    pub target: TargetId,
    pub destination: DestinationId,
    pub standing: Standing,
    pub weight: Option<f64>,
    pub zone: String,
    pub kind: String,
}

/// An envelope as it is handed in.
#[derive(Clone, Debug)]
pub struct HandIn {
    pub id: EnvelopeId,
    pub category: String,
    pub program: String,
    pub key: Option<KeyId>,
    pub outer_limit: Duration,
    pub destination: DestinationId,
}

/// The true state of the world. Only the ceiling may look; what a forwarder can know does not come by here.
pub trait Sight {
    /// Whether a call with an envelope of this category, sent now, would be taken and answered and push nothing
    /// over, with those on their way and so many more to its destination before it.
    fn would_take(&self, target: TargetId, category: usize, before: u32) -> bool;
    /// Work that it has taken and not finished, for each of its workers.
    fn burden(&self, target: TargetId) -> f64;
    /// Times as long as usual that work takes there now.
    fn slowness(&self, target: TargetId) -> f64;
}

/// One instance that decides for one forwarder, called as the module is.
pub trait Policy: Send {
    fn list(&mut self, now: Duration, whole: bool, lines: &[ListLine], host: &mut dyn Host);
    fn hand_in(&mut self, now: Duration, envelope: &HandIn, host: &mut dyn Host);
    /// The host itself has handed in again what it owed before a start.
    fn recall(&mut self, now: Duration, id: &EnvelopeId, past: &[Past], host: &mut dyn Host);
    fn settled(
        &mut self,
        now: Duration,
        id: &EnvelopeId,
        no: DispatchNo,
        outcome: Outcome,
        over: bool,
        host: &mut dyn Host,
    );
    fn withdrawn(&mut self, id: &EnvelopeId, host: &mut dyn Host);
    fn alarm(&mut self, now: Duration);
    fn probed(&mut self, now: Duration, target: TargetId, well: bool);
    fn told(&mut self, now: Duration, from: PeerId, note: &[u8]);
    fn turn(&mut self, now: Duration, sight: &dyn Sight, host: &mut dyn Host);
}

/// Makes the instance of a forwarder that starts.
pub type Maker<'a> = dyn Fn(Duration, Terms, &mut dyn Host) -> Box<dyn Policy> + Sync + 'a;
