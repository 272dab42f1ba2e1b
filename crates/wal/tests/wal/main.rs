//! Tests of the write-ahead log: kills, machine crashes, full disks, corruption, older formats and compaction.

mod compaction;
mod compaction_plan;
mod corruption;
mod crashes;
mod full_disk;
mod harness;
mod load;
mod model;
mod old_formats;
mod random;
mod reopening;
mod state_before_rename;
#[path = "../support/mod.rs"]
mod support;
