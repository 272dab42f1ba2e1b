//! Independent streams of random numbers, one for each use, so that an additional draw in one use does not
//! change the numbers of the others. Two policies thus get the same arrivals and faults.

use rand::SeedableRng;

use crate::distribution::RandomSource;

/// Multiplier that separates the stream seeds of runs with adjacent seeds: 2^64 divided by the golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Use of a stream of random numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RandomStream {
    /// Destinations, endpoints and forwarders, before the first message.
    Layout,
    /// Arrivals of messages and their properties.
    Arrivals,
    /// Work and responses of endpoints.
    Service,
    /// Network delays.
    Network,
    /// Choice of the forwarder that clients reach, and their behavior after a rejection.
    Clients,
    /// Delays after which forwarders receive changes of the endpoint list.
    EndpointList,
    /// Seeds of the policies of forwarders that start.
    Forwarders,
    /// Choice of the endpoints that a fault affects, by the fault's index in the scenario.
    Fault(usize),
}

impl RandomStream {
    /// Returns the generator of this stream in the run with this seed.
    pub(crate) fn open(self, seed: u64) -> RandomSource {
        RandomSource::seed_from_u64(seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(self.number()))
    }

    /// Returns the stream's number, which must not change because recordings and results depend on it.
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
