//! Recordings of the delivery policy: every call into it and every command that it gives its host, one line
//! each, in order. Two builds of the delivery policy decide alike where their recordings are equal, byte for byte.
//!
//! A recording depends on the delivery policy's public interface alone and on nothing that it keeps inside:
//!
//! - [`mod@line`] has the typed lines and their text;
//! - [`recording`] writes them, in full or as digests of blocks;
//! - [`recorded_policy`] records calls and commands on their way between host and policy;
//! - [`streams`] plays random event streams at the delivery policy, without sockets and without the simulation;
//! - [`compare`] finds the first line in which two folders of recordings differ.

pub mod compare;
pub mod line;
pub mod recorded_policy;
pub mod recording;
pub mod streams;

pub use recorded_policy::{RecordedPolicy, RecordingHost};
pub use recording::{Recording, RecordingFormat, RecordingSummary, RecordingWriter};
