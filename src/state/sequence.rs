//! Sequence numbers, which give the order in which messages, requests and queue entries were created.

/// Generator of sequence numbers, which start at 1.
#[derive(Default)]
pub(crate) struct Sequence(u64);

impl Sequence {
    #[must_use]
    pub(crate) fn next(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }

    /// Returns the last number that was generated; 0 before the first.
    #[cfg(debug_assertions)]
    pub(crate) fn last(&self) -> u64 {
        self.0
    }
}
