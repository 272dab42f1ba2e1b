//! Scanner that finds the end of a JSON value in chunks of bytes of any size.

/// A scanner for one JSON value. Brackets outside of strings are counted. The value is validated when it is
/// decoded.
#[derive(Default)]
pub(super) struct ValueScan {
    /// The first bytes of the value, up to the limit.
    kept: Vec<u8>,
    /// Number of open brackets and braces.
    depth: usize,
    in_string: bool,
    /// Whether the previous byte was an escaping backslash in a string.
    is_escaped: bool,
    /// Number of bytes of the value so far, including bytes that were not kept.
    length: usize,
}

/// The result of scanning one chunk.
pub(super) struct ScanResult {
    /// Number of bytes of the chunk that belong to the value.
    pub length: usize,
    /// Whether the value ends after these bytes.
    pub ended: bool,
}

/// Whether a value ends at a byte.
enum ValueEnd {
    /// The value continues.
    No,
    /// The byte is the last one of the value.
    WithThisByte,
    /// The byte follows the value.
    BeforeThisByte,
}

impl ValueScan {
    /// Prepares the scanner for another value.
    pub fn reset(&mut self) {
        self.kept.clear();
        self.depth = 0;
        self.in_string = false;
        self.is_escaped = false;
        self.length = 0;
    }

    /// Returns the kept bytes of the value.
    pub fn value(&self) -> &[u8] {
        &self.kept
    }

    /// Returns whether the value has more than `limit` bytes so far.
    pub fn exceeds(&self, limit: usize) -> bool {
        self.length > limit
    }

    /// Scans the bytes of `chunk` that belong to the value and keeps the first `limit` bytes of the value.
    /// The first byte of the value must not be white space.
    pub fn consume(&mut self, chunk: &[u8], limit: usize) -> ScanResult {
        let scanned = self.find_end(chunk);
        let capacity = limit.saturating_sub(self.kept.len());
        self.kept.extend_from_slice(&chunk[..scanned.length.min(capacity)]);
        self.length += scanned.length;
        scanned
    }

    fn find_end(&mut self, chunk: &[u8]) -> ScanResult {
        for (index, byte) in chunk.iter().enumerate() {
            let end =
                if self.in_string { self.scan_string_byte(*byte) } else { self.scan_structural_byte(*byte) };
            match end {
                ValueEnd::No => {}
                ValueEnd::WithThisByte => return ScanResult { length: index + 1, ended: true },
                ValueEnd::BeforeThisByte => return ScanResult { length: index, ended: true },
            }
        }
        ScanResult { length: chunk.len(), ended: false }
    }

    /// Scans a byte within a string.
    fn scan_string_byte(&mut self, byte: u8) -> ValueEnd {
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = true,
            b'"' => {
                self.in_string = false;
                if self.depth == 0 {
                    return ValueEnd::WithThisByte;
                }
            }
            _ => {}
        }
        ValueEnd::No
    }

    /// Scans a byte outside of strings.
    fn scan_structural_byte(&mut self, byte: u8) -> ValueEnd {
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b',' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n' if self.depth == 0 => {
                return ValueEnd::BeforeThisByte;
            }
            b'}' | b']' => {
                self.depth -= 1;
                if self.depth == 0 {
                    return ValueEnd::WithThisByte;
                }
            }
            _ => {}
        }
        ValueEnd::No
    }
}
