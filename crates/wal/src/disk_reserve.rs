//! The disk reserve: a file of zeros that occupies space for the final records of pending messages. The file
//! is removed when the disk is full, and filled again when there is space.

use crate::compaction_plan::{round_up_to_blocks, BLOCK_BYTES};
use crate::write_ahead_log::WriteAheadLog;

/// Name of the disk reserve's file.
pub(crate) const RESERVE_FILE: &str = "ledger.reserve";
/// Maximum number of bytes by which the disk reserve grows after one append, which bounds the delay of the
/// append.
const REPLENISH_STEP_BYTES: u64 = 64 * 1024;
/// Number of blocks that the current manifest and the next one take, one each.
const MANIFEST_BLOCKS: u64 = 2;

impl WriteAheadLog {
    /// Fills the disk reserve as far as there is space.
    pub(crate) fn fill_reserve(&mut self) {
        while self.reserve_bytes < self.plan.reserve_bytes() {
            if !self.replenish_reserve() {
                return;
            }
        }
    }

    /// Adds one step to the disk reserve; returns false if the step does not fit or can't be written.
    pub(crate) fn replenish_reserve(&mut self) -> bool {
        let step = (self.plan.reserve_bytes() - self.reserve_bytes).min(REPLENISH_STEP_BYTES);
        if !self.plan.fits(step) {
            return false;
        }
        let added = self.storage.append(RESERVE_FILE, &vec![0; step as usize]);
        // A failed append may have written part of the step.
        let files = self.storage.files().unwrap_or_default();
        self.reserve_bytes = files.get(RESERVE_FILE).copied().unwrap_or_default();
        self.update_auxiliary_bytes();
        added.is_ok()
    }

    /// Removes the disk reserve to free its space.
    pub(crate) fn release_reserve(&mut self) {
        match self.storage.remove(RESERVE_FILE) {
            Ok(()) => self.reserve_bytes = 0,
            Err(error) => tracing::warn!(%error, "disk reserve could not be released"),
        }
        self.update_auxiliary_bytes();
    }

    /// Sets the plan's size of all files except segments.
    pub(crate) fn update_auxiliary_bytes(&mut self) {
        let reserve = round_up_to_blocks(self.reserve_bytes);
        let manifests = MANIFEST_BLOCKS * BLOCK_BYTES;
        self.plan.set_auxiliary_bytes(self.quarantine.used_bytes() + reserve + manifests);
    }
}
