//! An endpoint list that discovery passes, and how its transfer ends.

use std::collections::VecDeque;

use super::endpoint_set::ListEntry;

/// What a list is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints: those that it does not name are removed.
    Complete,
    /// Those that have changed.
    Changes,
}

/// How the transfer of a list ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEnd {
    /// All entries were passed.
    Finished,
    /// The connection is lost before that.
    Aborted,
}

/// A list that is being passed in pieces.
pub struct ListTransfer {
    pub(super) remaining: VecDeque<ListEntry>,
    pub(super) end: ListEnd,
}
