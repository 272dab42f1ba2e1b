//! What is known of the part of the list that is being decoded.

use std::collections::VecDeque;

use super::{ListEntry, ListEvent, ListLimits};
use crate::ListFault;

/// A part that has begun and not ended. Entries that come before the part's generation and form are known wait here.
#[derive(Default)]
pub(super) struct PartProgress {
    pub generation: Option<u64>,
    pub is_full_list: Option<bool>,
    pub has_instances: bool,
    /// Entries so far.
    pub entries: usize,
    /// [`ListEvent::PartStarted`] was yielded.
    begun: bool,
    /// Entries that came before it, and their bytes on the wire.
    early: VecDeque<ListEntry>,
    early_bytes: usize,
}

impl PartProgress {
    /// Yields that the part begins, once its generation and form are known, and then the entries that waited for that.
    pub fn begin_if_known(&mut self, ready: &mut VecDeque<ListEvent>) {
        let (Some(generation), Some(is_full_list), false) = (self.generation, self.is_full_list, self.begun)
        else {
            return;
        };
        self.begun = true;
        ready.push_back(ListEvent::PartStarted { generation, is_full_list });
        ready.extend(self.early.drain(..).map(ListEvent::EndpointUpdated));
    }

    /// Counts an entry of `bytes` bytes, and yields it or lets it wait.
    pub fn add_entry(
        &mut self,
        entry: ListEntry,
        bytes: usize,
        limits: &ListLimits,
        ready: &mut VecDeque<ListEvent>,
    ) -> Result<(), ListFault> {
        self.entries += 1;
        if self.begun {
            ready.push_back(ListEvent::EndpointUpdated(entry));
            return Ok(());
        }
        self.early_bytes += bytes;
        if self.early_bytes > limits.max_buffered_bytes {
            return Err(ListFault::EntriesBeforeHeader { limit: limits.max_buffered_bytes });
        }
        self.early.push_back(entry);
        Ok(())
    }

    /// The part has ended. One that does not say whether it is the whole list is not.
    pub fn end(&mut self, ready: &mut VecDeque<ListEvent>) -> Result<(), ListFault> {
        if self.generation.is_none() {
            return Err(ListFault::MissingGeneration);
        }
        self.is_full_list.get_or_insert(false);
        self.begin_if_known(ready);
        Ok(())
    }
}
