//! How much one command takes on at most.

/// Runs of one experiment at most: more would take days, and their reports the memory of the machine.
pub(crate) const MAX_RUNS: u64 = 100_000;
/// Recordings that one command makes at most: each is a file.
pub(crate) const MAX_RECORDINGS: u64 = 10_000;
/// The longest search, in minutes: a day.
pub const MAX_SEARCH_MINUTES: f64 = 24.0 * 60.0;
