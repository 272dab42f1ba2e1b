//! What a decoder of the endpoint list yields, and how much it accepts.

use super::ListEntry;

/// One event of a watch response, in the order of the response.
#[derive(Debug, PartialEq)]
pub enum ListEvent {
    /// A part begins.
    PartStarted {
        /// The version of the list that a forwarder has once the part has ended.
        generation: u64,
        /// The part is the whole list, and not just what changed.
        is_full_list: bool,
    },
    /// One entry of the part.
    EndpointUpdated(ListEntry),
    /// The part has ended, and so has its line.
    PartEnded,
    /// An empty line between parts, which says that discovery is alive.
    Heartbeat,
}

/// How much a decoder accepts. A list that exceeds a limit is refused.
#[derive(Clone, Copy, Debug)]
pub struct ListLimits {
    /// Most entries of one part.
    pub max_entries: usize,
    /// Most bytes of one entry, of a key, or of any other value that has a meaning.
    pub max_value_bytes: usize,
    /// Most bytes of entries that come before both `generation` and `reset`, which usually come first.
    pub max_buffered_bytes: usize,
}

impl Default for ListLimits {
    /// Three times the entries of the largest list that is expected, and memory for a small part of such a list.
    fn default() -> ListLimits {
        ListLimits { max_entries: 1_000_000, max_value_bytes: 64 * 1024, max_buffered_bytes: 8 * 1024 * 1024 }
    }
}
