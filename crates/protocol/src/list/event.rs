//! Events and limits of the endpoint list decoder.

use super::ListEntry;

/// An event of a watch response, in the order of the response.
#[derive(Debug, PartialEq)]
pub enum ListEvent {
    /// A part of the endpoint list has started, and its generation is known.
    PartStarted {
        /// Version of the list after the part is applied.
        generation: u64,
        /// Whether the part is the full list. Otherwise the part contains only changes.
        is_full_list: bool,
    },
    /// The part has an entry for this endpoint.
    EndpointUpdated(ListEntry),
    /// The part and its line have ended.
    PartEnded,
    /// An empty line between parts, which shows that the connection to discovery is alive.
    Heartbeat,
}

/// Limits of the decoder, which bound its memory. A list that exceeds one is refused with an error.
#[derive(Clone, Copy, Debug)]
pub struct ListLimits {
    /// Maximum number of entries in one part of the list.
    pub max_entries: usize,
    /// Maximum size of an entry, a key or the value of a known key, in bytes.
    pub max_value_bytes: usize,
    /// Maximum size of the entries that precede `generation` or `reset`, in bytes. These entries are buffered
    /// until both are known.
    pub max_buffered_bytes: usize,
    /// Maximum memory of the entries of one part, in bytes. An entry counts twice its size and at least
    /// [`MIN_ENTRY_MEMORY_BYTES`], unless its endpoint is removed.
    pub max_memory_bytes: usize,
}

/// The memory that the receiver of a list needs at least for an endpoint, in bytes.
pub const MIN_ENTRY_MEMORY_BYTES: usize = 400;

impl ListLimits {
    /// Returns these limits with the memory that the receiver has for a list, in bytes.
    #[must_use]
    pub fn with_memory(self, memory_bytes: u64) -> ListLimits {
        ListLimits { max_memory_bytes: usize::try_from(memory_bytes).unwrap_or(usize::MAX), ..self }
    }
}

impl Default for ListLimits {
    /// Returns limits for the largest supported list and for buffering a fraction of it, without a limit on the
    /// memory.
    fn default() -> ListLimits {
        ListLimits {
            max_entries: 1_000_000,
            max_value_bytes: 64 * 1024,
            max_buffered_bytes: 8 * 1024 * 1024,
            max_memory_bytes: usize::MAX,
        }
    }
}
