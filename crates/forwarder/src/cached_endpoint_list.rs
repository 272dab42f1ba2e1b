//! The endpoint list as it was known before the start of the process.

use reeddock_protocol::{ListEntry, ListPart};
use thiserror::Error;

/// Passes each entry of a list to a function, or says in one line what is wrong with the list.
pub type Entries = Box<dyn FnOnce(&mut dyn FnMut(ListEntry)) -> Result<(), String> + Send>;

/// The cached list is not as it was when it was found: what is wrong with it, in one line.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct CachedListError(String);

/// A list that is read entry by entry while it is applied, so that it need not be in memory as a whole.
pub struct CachedEndpointList {
    /// The generation of the list, from which a watch continues; 0 if no list is known.
    pub generation: u64,
    /// How many entries it has; 0 if no list is known.
    pub endpoints: usize,
    entries: Entries,
}

impl CachedEndpointList {
    /// A list with so many entries, which `entries` reads.
    pub fn new(generation: u64, endpoints: usize, entries: Entries) -> CachedEndpointList {
        CachedEndpointList { generation, endpoints, entries }
    }

    /// No list is known.
    pub fn none() -> CachedEndpointList {
        CachedEndpointList::new(0, 0, Box::new(|_| Ok(())))
    }

    /// Passes each entry to a function. On an error it may have had some of them.
    pub fn each(self, mut apply: impl FnMut(ListEntry)) -> Result<(), CachedListError> {
        (self.entries)(&mut apply).map_err(CachedListError)
    }
}

impl From<ListPart> for CachedEndpointList {
    fn from(part: ListPart) -> CachedEndpointList {
        let (generation, endpoints) = (part.generation, part.entries.len());
        let entries = Box::new(|apply: &mut dyn FnMut(ListEntry)| {
            part.entries.into_iter().for_each(apply);
            Ok(())
        });
        CachedEndpointList::new(generation, endpoints, entries)
    }
}
