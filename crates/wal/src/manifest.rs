//! The manifest: a small file that names the format's version and the first segment that counts.
//!
//! It is replaced after a segment's copies are written and before that segment is removed. Without it, a loss of the
//! machine could restore one removed segment and not the next one, and with it messages that were finished.

use std::collections::BTreeMap;
use std::io::{self, Read};

use serde::{Deserialize, Serialize};

use crate::error::WalError;
use crate::frame;
use crate::segment::VERSION;
use crate::storage::Storage;

/// The name of the manifest.
pub(crate) const MANIFEST_FILE: &str = "ledger.manifest";
/// The next manifest, before it replaces the current one.
pub(crate) const NEXT_MANIFEST_FILE: &str = "ledger.manifest.new";
/// The most bytes of the file that are read; a manifest has far fewer.
const MAX_MANIFEST_BYTES: u64 = 4096;

/// The manifest's content. The order of the fields is their order on disk, the version first in every version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Manifest {
    version: u16,
    /// The number of the first segment that counts. Lower numbers were compacted.
    pub first_segment: u64,
}

/// The manifest as it is found in a folder.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StoredManifest {
    /// There is no file.
    Missing,
    /// There is a file, but it can't be decoded.
    Corrupt,
    /// It was decoded.
    Valid(Manifest),
}

impl Manifest {
    /// A manifest of this program's version.
    pub fn new(first_segment: u64) -> Manifest {
        Manifest { version: VERSION, first_segment }
    }

    /// The bytes of the file.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        frame::append_frame(&mut bytes, self);
        bytes
    }
}

/// Reads the manifest of a folder with these files.
///
/// # Errors
///
/// [`WalError::UnsupportedVersion`] if a later program wrote it.
pub(crate) fn read(storage: &dyn Storage, files: &BTreeMap<String, u64>) -> Result<StoredManifest, WalError> {
    if !files.contains_key(MANIFEST_FILE) {
        return Ok(StoredManifest::Missing);
    }
    let bytes = read_file(storage)?;
    let Some(payload) = frame::payload(&bytes) else { return Ok(StoredManifest::Corrupt) };
    // In a later version, anything may follow the number.
    if let Ok((version, _)) = postcard::take_from_bytes::<u16>(payload) {
        if version > VERSION {
            let file = MANIFEST_FILE.to_owned();
            return Err(WalError::UnsupportedVersion { file, found: version, newest: VERSION });
        }
    }
    Ok(postcard::from_bytes(payload).map_or(StoredManifest::Corrupt, StoredManifest::Valid))
}

fn read_file(storage: &dyn Storage) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    storage.reader(MANIFEST_FILE)?.take(MAX_MANIFEST_BYTES).read_to_end(&mut bytes)?;
    Ok(bytes)
}
