//! The write-ahead log of a forwarder: the messages that it has accepted and not finished, in a folder that outlives
//! its process.
//!
//! # Invariants
//!
//! - Once [`WriteAheadLog::append`] has returned, its records survive the process, and the machine as far as
//!   [`SyncPolicy`]
//!   promises.
//! - Records are appended to the last of a sequence of numbered segments. The first one is compacted in bounded steps
//!   after appends, and dropped. The manifest names the first segment that counts: it is replaced after the copies are
//!   written and before the file is removed.
//! - Pending messages can always be finished: the space for that is set aside when a message is accepted, and a disk
//!   reserve is released when no space is left.
//! - At a start only the remains of a torn write are cut off. Any other corruption is skipped, reported with its place,
//!   and kept. Messages that were pending at that place of the log count as possibly executed, as records of their
//!   attempts may be lost.
//!
//! # Modules
//!
//! | modules | what they do |
//! | --- | --- |
//! | `write_ahead_log`, `opening`, `appending`, `compaction`, `disk_reserve` | the open log |
//! | `recovery`, `inspection`, `verification`, `quarantine` | reading a folder, and handling what can't be read |
//! | `pending_index`, `live_records` | the state that results from the records |
//! | `compaction_plan` | when to compact, and what fits: sizes only, no I/O |
//! | `record`, `record_view`, `frame`, `encoded_records`, `segment`, `segment_scan`, `manifest`, `single_file` | the format |
//! | `storage`, `file_storage`, `memory_storage` | file access |
//!
//! The format is described in `docs/write-ahead-log.md`. File names on disk start with `ledger`, the log's former name.

mod appending;
mod compaction;
pub mod compaction_plan;
mod disk_reserve;
mod encoded_records;
mod error;
mod file_storage;
mod frame;
mod inspection;
mod live_records;
mod manifest;
pub mod memory_storage;
mod opening;
mod pending_index;
mod quarantine;
mod record;
mod record_view;
mod recovery;
mod segment;
mod segment_scan;
mod single_file;
mod storage;
mod verification;
mod write_ahead_log;

pub use appending::AppendOutcome;
pub use error::WalError;
pub use file_storage::FileStorage;
pub use inspection::{inspect, Inspection};
pub use pending_index::{PendingCounts, PendingIndex, PendingMessage};
pub use record::{AcceptedMessage, AttemptState, Checkpoint, Record, RecordedAttempt};
pub use storage::Storage;
pub use verification::{Corruption, VerificationReport};
pub use write_ahead_log::{SyncPolicy, WriteAheadLog};
