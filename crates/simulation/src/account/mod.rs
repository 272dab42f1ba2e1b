//! Counters of a run: credit, message outcomes, attempts and load.

mod accounting;
mod counts;
mod quota;

pub(crate) use accounting::{Account, NewSubmission, WATCHED_DESTINATIONS};
pub use counts::{AttemptCounts, Credit, DestinationLoad, LatencyBucket, MessageOutcomes, SecondCounts};
