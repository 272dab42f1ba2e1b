//! Recordings of the delivery policy: one line for each call into the policy and each command to its host, in
//! order. Two builds of the delivery policy make the same decisions if their recordings are equal byte for
//! byte.
//!
//! Recordings depend only on the delivery policy's public interface, not on its internal state:
//!
//! - [`mod@line`] defines the typed lines and their text;
//! - [`recording`] writes lines, in full or as digests of blocks;
//! - [`recorded_policy`] records the calls and commands between host and policy;
//! - [`streams`] runs the delivery policy on random event streams, without sockets and without the
//!   simulation;
//! - [`compare`] finds the first difference between the recordings of two folders.

pub mod compare;
pub mod line;
pub mod recorded_policy;
pub mod recording;
pub mod streams;

pub use recorded_policy::{RecordedPolicy, RecordingHost};
pub use recording::{Recording, RecordingFormat, RecordingSummary, RecordingWriter};
