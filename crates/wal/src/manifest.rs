//! The manifest: a small file that holds the format version and the number of the first segment in use.
//!
//! The manifest is replaced after the live records of a segment are copied and before the segment is removed.
//! Without the manifest, a loss of the machine could restore a removed segment without the later one that
//! finished its messages.

use std::collections::BTreeMap;
use std::io::{self, Read};

use serde::{Deserialize, Serialize};

use crate::error::WalError;
use crate::frame;
use crate::segment::VERSION;
use crate::storage::Storage;

/// Name of the manifest.
pub(crate) const MANIFEST_FILE: &str = "ledger.manifest";
/// Name of the next manifest until it replaces the current one.
pub(crate) const NEXT_MANIFEST_FILE: &str = "ledger.manifest.new";
/// Maximum number of bytes that are read from the file; a valid manifest is shorter.
const MAX_MANIFEST_BYTES: u64 = 4096;

/// The content of the manifest. The order of the fields is their order on disk. Every format version starts
/// with the version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Manifest {
    version: u16,
    /// Number of the first segment in use. Segments with lower numbers were compacted.
    pub first_segment: u64,
}

/// The manifest as found in a folder.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StoredManifest {
    /// The file does not exist.
    Missing,
    /// The file exists and can't be decoded.
    Corrupt,
    /// The file was decoded.
    Valid(Manifest),
}

impl Manifest {
    /// Returns a manifest of the current format version.
    pub fn new(first_segment: u64) -> Manifest {
        Manifest { version: VERSION, first_segment }
    }

    /// Returns the bytes of the file.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        frame::append_frame(&mut bytes, self);
        bytes
    }
}

/// Reads the manifest of a folder; `files` are the names and lengths of the files in the folder.
///
/// # Errors
///
/// [`WalError::UnsupportedVersion`] if a later program wrote the manifest, and [`WalError::Io`] if the file
/// can't be read.
pub(crate) fn read(storage: &dyn Storage, files: &BTreeMap<String, u64>) -> Result<StoredManifest, WalError> {
    if !files.contains_key(MANIFEST_FILE) {
        return Ok(StoredManifest::Missing);
    }
    let bytes = read_file(storage)?;
    let Some(payload) = frame::payload(&bytes) else { return Ok(StoredManifest::Corrupt) };
    // The version is decoded alone, because later versions may have other fields after it.
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
