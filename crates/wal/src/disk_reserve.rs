//! The disk reserve: a file of zeros that is removed when the disk is full, so that the records that finish pending
//! messages can still be written, and is filled again once there is space.

use crate::compaction_plan::{whole_blocks, BLOCK_BYTES};
use crate::write_ahead_log::WriteAheadLog;

/// The file of zeros.
pub(crate) const RESERVE_FILE: &str = "ledger.reserve";
/// The most bytes by which the reserve grows after one append, so that no append takes long.
const REPLENISH_STEP_BYTES: u64 = 64 * 1024;
/// Blocks of the manifest and of the one that replaces it.
const MANIFEST_BLOCKS: u64 = 2;

impl WriteAheadLog {
    /// Fills the reserve as far as there is space.
    pub(crate) fn fill_reserve(&mut self) {
        while self.reserve_bytes < self.plan.reserve_bytes() {
            if !self.replenish_reserve() {
                return;
            }
        }
    }

    /// Adds a step to the reserve; returns false if there was no space for it.
    pub(crate) fn replenish_reserve(&mut self) -> bool {
        let step = (self.plan.reserve_bytes() - self.reserve_bytes).min(REPLENISH_STEP_BYTES);
        if !self.plan.fits(step) {
            return false;
        }
        let added = self.storage.append(RESERVE_FILE, &vec![0; step as usize]);
        // An append that failed may have added part of the step.
        let files = self.storage.files().unwrap_or_default();
        self.reserve_bytes = files.get(RESERVE_FILE).copied().unwrap_or_default();
        self.update_auxiliary_bytes();
        added.is_ok()
    }

    /// Removes the reserve, so that its space can be used.
    pub(crate) fn release_reserve(&mut self) {
        match self.storage.remove(RESERVE_FILE) {
            Ok(()) => self.reserve_bytes = 0,
            Err(error) => tracing::warn!(%error, "disk reserve could not be released"),
        }
        self.update_auxiliary_bytes();
    }

    /// Passes to the plan the bytes of all files other than segments.
    pub(crate) fn update_auxiliary_bytes(&mut self) {
        let reserve = whole_blocks(self.reserve_bytes);
        let manifests = MANIFEST_BLOCKS * BLOCK_BYTES;
        self.plan.set_auxiliary_bytes(self.quarantine.used_bytes() + reserve + manifests);
    }
}
