//! Finds the end of one JSON value in bytes that come in any pieces.

/// Scans one value. Brackets are counted outside of strings, and nothing else is checked here: whoever decodes the
/// value checks what was kept of it.
#[derive(Default)]
pub(super) struct ValueScan {
    /// The value so far, as far as it is kept.
    kept: Vec<u8>,
    /// Brackets and braces that are open.
    depth: usize,
    in_string: bool,
    /// The byte before was a backslash in a string.
    escaped: bool,
    /// Bytes of the value so far, kept or not.
    length: usize,
}

/// What the scan of one piece found.
pub(super) struct Scanned {
    /// Bytes of the piece that belong to the value.
    pub used: usize,
    /// The value has ended with them.
    pub ended: bool,
}

/// Whether a value ends at a byte.
enum ValueEnd {
    /// It goes on behind it.
    No,
    /// It is the value's last one.
    WithThisByte,
    /// It does not belong to the value any more.
    BeforeThisByte,
}

impl ValueScan {
    /// Another value begins.
    pub fn restart(&mut self) {
        self.kept.clear();
        self.depth = 0;
        self.in_string = false;
        self.escaped = false;
        self.length = 0;
    }

    /// The value as far as it was kept.
    pub fn value(&self) -> &[u8] {
        &self.kept
    }

    /// Whether the value has more than `limit` bytes so far.
    pub fn exceeds(&self, limit: usize) -> bool {
        self.length > limit
    }

    /// Consumes the bytes of a piece that belong to the value, and keeps the first `limit` bytes of the value. The
    /// value's first byte is no white space.
    pub fn take(&mut self, piece: &[u8], limit: usize) -> Scanned {
        let scanned = self.find_end(piece);
        let capacity = limit.saturating_sub(self.kept.len());
        self.kept.extend_from_slice(&piece[..scanned.used.min(capacity)]);
        self.length += scanned.used;
        scanned
    }

    fn find_end(&mut self, piece: &[u8]) -> Scanned {
        for (index, byte) in piece.iter().enumerate() {
            let end = if self.in_string { self.see_in_string(*byte) } else { self.see_outside(*byte) };
            match end {
                ValueEnd::No => {}
                ValueEnd::WithThisByte => return Scanned { used: index + 1, ended: true },
                ValueEnd::BeforeThisByte => return Scanned { used: index, ended: true },
            }
        }
        Scanned { used: piece.len(), ended: false }
    }

    /// Consumes a byte within a string.
    fn see_in_string(&mut self, byte: u8) -> ValueEnd {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
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

    /// Consumes a byte outside of strings.
    fn see_outside(&mut self, byte: u8) -> ValueEnd {
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
