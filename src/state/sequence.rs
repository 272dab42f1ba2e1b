//! Ascending numbers.

/// Counts from 1.
#[derive(Default)]
pub(crate) struct Sequence(u64);

impl Sequence {
    /// The next number.
    #[must_use]
    pub(crate) fn next(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }

    /// The last number that was given; 0 before the first.
    #[cfg(debug_assertions)]
    pub(crate) fn last(&self) -> u64 {
        self.0
    }
}
