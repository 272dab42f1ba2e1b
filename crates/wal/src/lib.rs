//! The write-ahead log of a forwarder. A folder on disk holds the messages that are accepted and not
//! finished, so that the next process can finish them.
//!
//! # Invariants
//!
//! - Records survive the end of the process once [`WriteAheadLog::append`] has returned. [`SyncPolicy`] sets
//!   when they also survive a loss of the machine.
//! - Records are appended to the last of a sequence of numbered segments. The first segment is compacted in
//!   bounded steps after appends, and then removed. The manifest names the first segment in use. The manifest
//!   is replaced after the copies are written and before the compacted segment is removed.
//! - Pending messages can always be finished: space for their final records is reserved when they are
//!   accepted, and a disk reserve is released when the disk is full.
//! - Opening the log cuts off a torn write at its end. Other corruption is skipped, reported with file and
//!   offset, and kept on disk. Messages that were pending at that offset count as possibly executed, because
//!   records of their attempts may be lost.
//!
//! # Modules
//!
//! | modules | purpose |
//! | --- | --- |
//! | `write_ahead_log`, `opening`, `appending`, `compaction`, `disk_reserve` | the open log |
//! | `recovery`, `inspection`, `verification`, `quarantine` | reading a folder, and handling its corrupt parts |
//! | `pending_index`, `live_records` | the state that results from the records |
//! | `compaction_plan` | when to compact and what fits, calculated from sizes without I/O |
//! | `record`, `record_view`, `frame`, `encoded_records`, `segment`, `segment_scan`, `manifest`, `single_file` | the format |
//! | `storage`, `file_storage`, `memory_storage` | file access |
//!
//! The format is described in `docs/write-ahead-log.md`. File names on disk start with `ledger`, the log's
//! former name.

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
