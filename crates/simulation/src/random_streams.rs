//! Independent streams of random numbers, one for each use: one more draw in one place leaves all others as they
//! were, so that two policies get the same arrivals and faults.

use rand::SeedableRng;

use crate::distribution::RandomSource;

/// Multiplier that spreads the seeds of neighbouring runs: 2^64 divided by the golden ratio.
const SEED_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a stream of random numbers is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RandomStream {
    /// The world as it is before the first message.
    Layout,
    /// Arrivals of messages and what they are.
    Arrivals,
    /// Work and answers of endpoints.
    Service,
    /// Delays of the network.
    Network,
    /// Which forwarder clients reach, and what they do after a rejection.
    Clients,
    /// Delays of the endpoint list.
    EndpointList,
    /// Seeds of forwarders that start.
    Forwarders,
    /// Which endpoints a fault affects, by its place in the scenario.
    Fault(usize),
}

impl RandomStream {
    /// Opens the stream of a run.
    pub(crate) fn open(self, seed: u64) -> RandomSource {
        RandomSource::seed_from_u64(seed.wrapping_mul(SEED_SPREAD).wrapping_add(self.number()))
    }

    /// These numbers stay: recordings and results depend on them.
    fn number(self) -> u64 {
        match self {
            RandomStream::Layout => 1,
            RandomStream::Arrivals => 2,
            RandomStream::Service => 3,
            RandomStream::Network => 4,
            RandomStream::Clients => 5,
            RandomStream::EndpointList => 6,
            RandomStream::Forwarders => 7,
            RandomStream::Fault(index) => 1000 + index as u64,
        }
    }
}
