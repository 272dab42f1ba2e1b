//! Work that an endpoint was sent while it warmed up.

use std::time::Duration;

use crate::ids::ForwarderIndex;

/// Work that reached an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedWork {
    /// When it arrived, since the start of the run.
    pub at: Duration,
    /// How much, in requests of one message.
    pub amount: f64,
    /// The forwarder that sent it.
    pub sender: ForwarderIndex,
}

impl ReceivedWork {
    /// Sums work, in requests of one message.
    pub fn total<'a>(received: impl IntoIterator<Item = &'a ReceivedWork>) -> f64 {
        received.into_iter().map(|work| work.amount).sum()
    }
}
