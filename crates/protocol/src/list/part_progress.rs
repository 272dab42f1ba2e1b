//! State of the part of the endpoint list that is being decoded.

use std::collections::VecDeque;

use reeddock::EndpointState;

use super::{ListEntry, ListEvent, ListLimits, MIN_ENTRY_MEMORY_BYTES};
use crate::ListFault;

/// A part of the endpoint list that has not ended yet. Entries that precede the part's `generation` or
/// `reset` are buffered.
#[derive(Default)]
pub(super) struct PartProgress {
    pub generation: Option<u64>,
    pub is_full_list: Option<bool>,
    pub has_instances: bool,
    /// Number of entries decoded so far.
    pub entries: usize,
    /// Whether [`ListEvent::PartStarted`] was returned.
    is_started: bool,
    /// Entries that were decoded before the part was started.
    buffered: VecDeque<ListEntry>,
    /// Total size of the buffered entries on the wire.
    buffered_bytes: usize,
    /// The memory of all entries so far, in bytes.
    memory_bytes: usize,
}

impl PartProgress {
    /// Starts the part once its `generation` and `reset` are known: returns [`ListEvent::PartStarted`] and
    /// then the buffered entries through `ready`.
    pub fn start_if_known(&mut self, ready: &mut VecDeque<ListEvent>) {
        let (Some(generation), Some(is_full_list), false) =
            (self.generation, self.is_full_list, self.is_started)
        else {
            return;
        };
        self.is_started = true;
        ready.push_back(ListEvent::PartStarted { generation, is_full_list });
        ready.extend(self.buffered.drain(..).map(ListEvent::EndpointUpdated));
    }

    /// Counts an entry of `bytes` bytes and appends it to `ready`, or buffers it if the part is not started
    /// yet.
    pub fn add_entry(
        &mut self,
        entry: ListEntry,
        bytes: usize,
        limits: &ListLimits,
        ready: &mut VecDeque<ListEvent>,
    ) -> Result<(), ListFault> {
        self.entries += 1;
        if entry.state != EndpointState::Removed {
            self.memory_bytes += (2 * bytes).max(MIN_ENTRY_MEMORY_BYTES);
        }
        if self.memory_bytes > limits.max_memory_bytes {
            return Err(ListFault::EntriesTooLarge { limit: limits.max_memory_bytes });
        }
        if self.is_started {
            ready.push_back(ListEvent::EndpointUpdated(entry));
            return Ok(());
        }
        self.buffered_bytes += bytes;
        if self.buffered_bytes > limits.max_buffered_bytes {
            return Err(ListFault::BufferedEntriesTooLarge { limit: limits.max_buffered_bytes });
        }
        self.buffered.push_back(entry);
        Ok(())
    }

    /// Ends the part. A part without `reset` is not a full list.
    pub fn end(&mut self, ready: &mut VecDeque<ListEvent>) -> Result<(), ListFault> {
        if self.generation.is_none() {
            return Err(ListFault::MissingGeneration);
        }
        self.is_full_list.get_or_insert(false);
        self.start_if_known(ready);
        Ok(())
    }
}
