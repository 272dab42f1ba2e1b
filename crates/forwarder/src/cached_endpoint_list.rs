//! The endpoint list that was cached before the process started.

use std::error::Error;

use reeddock_protocol::{ListEntry, ListPart};
use thiserror::Error;

/// An error of reading the entries of a cached list, whose text is one line.
pub type ReadEntriesError = Box<dyn Error + Send + Sync>;

/// A function that passes each entry of a cached list to its argument, in the order of the list.
pub type ReadEntries = Box<dyn FnOnce(&mut dyn FnMut(ListEntry)) -> Result<(), ReadEntriesError> + Send>;

/// Returned when the cached list can't be read while it is applied, although it was valid when the
/// configuration was parsed.
#[derive(Debug, Error)]
#[error("cannot read the cached endpoint list: {0}")]
pub struct CachedListError(ReadEntriesError);

/// A cached endpoint list whose entries are read while they are applied, so that the whole list need not be
/// in memory.
pub struct CachedEndpointList {
    /// The generation of the list, from which the watch continues; 0 if no list is cached.
    pub generation: u64,
    /// The number of entries; 0 if no list is cached.
    pub endpoints: usize,
    read_entries: ReadEntries,
}

impl CachedEndpointList {
    /// Returns a list with `endpoints` entries, which `read_entries` passes on.
    pub fn new(generation: u64, endpoints: usize, read_entries: ReadEntries) -> CachedEndpointList {
        CachedEndpointList { generation, endpoints, read_entries }
    }

    /// Returns an empty list, for a start without a cached list.
    pub fn none() -> CachedEndpointList {
        CachedEndpointList::new(0, 0, Box::new(|_| Ok(())))
    }

    /// Passes each entry to `apply`. After an error, some entries may already have been passed.
    pub(crate) fn for_each(self, mut apply: impl FnMut(ListEntry)) -> Result<(), CachedListError> {
        (self.read_entries)(&mut apply).map_err(CachedListError)
    }
}

impl From<ListPart> for CachedEndpointList {
    fn from(part: ListPart) -> CachedEndpointList {
        let (generation, endpoints) = (part.generation, part.entries.len());
        let read_entries = Box::new(|apply: &mut dyn FnMut(ListEntry)| {
            part.entries.into_iter().for_each(apply);
            Ok(())
        });
        CachedEndpointList::new(generation, endpoints, read_entries)
    }
}
