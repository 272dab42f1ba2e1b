//! Work that an endpoint receives while it warms up after an outage.

use std::time::Duration;

use crate::ids::ForwarderIndex;

/// Work of one request that reached an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedWork {
    /// Time of arrival, since the start of the run.
    pub at: Duration,
    /// Amount of work, in requests of one message.
    pub amount: f64,
    /// Forwarder that sent the request.
    pub sender: ForwarderIndex,
}

impl ReceivedWork {
    /// Returns the sum of the work, in requests of one message.
    pub fn total<'a>(received: impl IntoIterator<Item = &'a ReceivedWork>) -> f64 {
        received.into_iter().map(|work| work.amount).sum()
    }
}
