//! Credit as the operators count it, and what it cost: kept as the run goes, read once at its end.

mod counts;
mod keeper;
mod quota;

pub use counts::{AttemptCounts, Credit, Ends, Load, Second};
pub(crate) use keeper::{Account, NewSubmission, WATCHED_DESTINATIONS};
