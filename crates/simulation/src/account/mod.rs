//! Credit as the operators count it, and what it cost: counted during a run, and read at its end.

mod counts;
mod keeper;
mod quota;

pub use counts::{AttemptCounts, Credit, DestinationLoad, LatencyStep, MessageOutcomes, SecondCounts};
pub(crate) use keeper::{Account, NewSubmission, WATCHED_DESTINATIONS};
