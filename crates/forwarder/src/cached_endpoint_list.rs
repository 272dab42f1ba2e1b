//! The list of endpoints as it was last known, for the start of a process.

use reeddock_protocol::{Entry, ListPart};

/// Hands each entry on, or says what is wrong with the list.
pub type Entries = Box<dyn FnOnce(&mut dyn FnMut(Entry)) -> Result<(), String> + Send>;

/// A list that is read entry by entry as it is applied, so that it need not be in memory whole.
pub struct CachedEndpointList {
    pub generation: u64,
    pub endpoints: usize,
    entries: Entries,
}

impl CachedEndpointList {
    pub fn new(generation: u64, endpoints: usize, entries: Entries) -> CachedEndpointList {
        CachedEndpointList { generation, endpoints, entries }
    }

    /// Where nothing is known.
    pub fn none() -> CachedEndpointList {
        CachedEndpointList::new(0, 0, Box::new(|_| Ok(())))
    }

    /// Hands each entry on. An error says that the list is not as it was when it was found.
    pub fn each(self, mut entry: impl FnMut(Entry)) -> Result<(), String> {
        (self.entries)(&mut entry)
    }
}

impl From<ListPart> for CachedEndpointList {
    fn from(part: ListPart) -> CachedEndpointList {
        let (generation, endpoints) = (part.generation, part.entries.len());
        CachedEndpointList::new(
            generation,
            endpoints,
            Box::new(|each| {
                part.entries.into_iter().for_each(each);
                Ok(())
            }),
        )
    }
}
