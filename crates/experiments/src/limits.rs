//! Limits on the work of one command.

/// Maximum number of runs of one experiment. Prevents reports from exhausting the memory of the machine.
pub(crate) const MAX_RUNS: u64 = 100_000;
/// Maximum number of recordings that one command makes, each of which is a file.
pub(crate) const MAX_RECORDINGS: u64 = 10_000;
/// Maximum duration of a search, in minutes; one day.
pub const MAX_SEARCH_MINUTES: f64 = 24.0 * 60.0;
