//! Credit as the operators count it, and what it cost: counted during a run, and read at its end.

mod accounting;
mod counts;
mod quota;

pub(crate) use accounting::{Account, NewSubmission, WATCHED_DESTINATIONS};
pub use counts::{AttemptCounts, Credit, DestinationLoad, LatencyStep, MessageOutcomes, SecondCounts};
