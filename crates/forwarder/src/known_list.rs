//! The list of targets as it was last known, for the start of a process.

use reeddock_protocol::{Entry, Fault, ListPart};

/// Hands each entry on, or says what is wrong with the list.
pub type Entries = Box<dyn FnOnce(&mut dyn FnMut(Entry)) -> Result<(), Fault> + Send>;

/// A list that is read entry by entry as it is applied, so that it need not be in memory whole.
pub struct KnownList {
    pub generation: u64,
    pub targets: usize,
    entries: Entries,
}

impl KnownList {
    pub fn new(generation: u64, targets: usize, entries: Entries) -> KnownList {
        KnownList { generation, targets, entries }
    }

    /// Where nothing is known.
    pub fn none() -> KnownList {
        KnownList::new(0, 0, Box::new(|_| Ok(())))
    }

    /// Hands each entry on. An error says that the list is not as it was when it was found.
    pub fn each(self, mut entry: impl FnMut(Entry)) -> Result<(), Fault> {
        (self.entries)(&mut entry)
    }
}

impl From<ListPart> for KnownList {
    fn from(part: ListPart) -> KnownList {
        let (generation, targets) = (part.generation, part.entries.len());
        KnownList::new(
            generation,
            targets,
            Box::new(|each| {
                part.entries.into_iter().for_each(each);
                Ok(())
            }),
        )
    }
}
