//! The endpoint list as it was known before the start of the process.

use std::error::Error;

use reeddock_protocol::{ListEntry, ListPart};
use thiserror::Error;

/// The error of reading the entries of a list; its text is one line.
pub type ReadEntriesError = Box<dyn Error + Send + Sync>;

/// Passes each entry of a list to a function.
pub type ReadEntries = Box<dyn FnOnce(&mut dyn FnMut(ListEntry)) -> Result<(), ReadEntriesError> + Send>;

/// The cached list can't be read again, although it could be read when the configuration was parsed.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct CachedListError(ReadEntriesError);

/// A list that is read entry by entry while it is applied, so that it need not be in memory as a whole.
pub struct CachedEndpointList {
    /// The generation of the list, from which a watch continues; 0 if no list is known.
    pub generation: u64,
    /// How many entries it has; 0 if no list is known.
    pub endpoints: usize,
    read_entries: ReadEntries,
}

impl CachedEndpointList {
    /// A list with `endpoints` entries, which `read_entries` reads.
    pub fn new(generation: u64, endpoints: usize, read_entries: ReadEntries) -> CachedEndpointList {
        CachedEndpointList { generation, endpoints, read_entries }
    }

    /// An empty list, for a start without any known list.
    pub fn none() -> CachedEndpointList {
        CachedEndpointList::new(0, 0, Box::new(|_| Ok(())))
    }

    /// Passes each entry to a function. On an error some of them may have been passed.
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
