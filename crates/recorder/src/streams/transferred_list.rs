//! Types for an endpoint list that discovery passes in pieces.

use std::collections::VecDeque;

use super::endpoint_set::ListEntry;

/// Which endpoints a list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints; endpoints that the list doesn't name are removed.
    Complete,
    /// Only endpoints that have changed.
    Changes,
}

/// How the transfer of a list ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEnd {
    /// All entries are passed.
    Finished,
    /// The connection is lost before the last entry.
    Aborted,
}

/// The remaining entries of a list, and how its transfer ends.
pub struct ListTransfer {
    pub(super) remaining: VecDeque<ListEntry>,
    pub(super) end: ListEnd,
}
