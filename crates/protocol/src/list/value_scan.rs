//! Finds the end of one JSON value in bytes that come in any pieces.

/// Scans one value: brackets are counted outside of strings, and nothing else is checked here. What is kept of it is
/// checked by whoever decodes it.
#[derive(Default)]
pub(super) struct ValueScan {
    /// The value so far, as far as it is kept.
    bytes: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Bytes of the value so far, kept or not.
    length: usize,
}

/// What came of scanning a piece.
pub(super) struct Scanned {
    /// Bytes of the piece that belong to the value.
    pub used: usize,
    /// The value has ended with them.
    pub ended: bool,
}

impl ValueScan {
    /// Another value begins.
    pub fn restart(&mut self) {
        self.bytes.clear();
        (self.depth, self.in_string, self.escaped, self.length) = (0, false, false, 0);
    }

    /// The value as it was kept.
    pub fn value(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether more bytes have come than were kept.
    pub fn exceeds(&self, most: usize) -> bool {
        self.length > most
    }

    /// Takes what belongs to the value, and keeps `most` bytes of the value at most. The first byte of all is no
    /// white space.
    pub fn take(&mut self, piece: &[u8], most: usize) -> Scanned {
        let scanned = self.find_end(piece);
        let room = most.saturating_sub(self.bytes.len());
        self.bytes.extend_from_slice(&piece[..scanned.used.min(room)]);
        self.length += scanned.used;
        scanned
    }

    fn find_end(&mut self, piece: &[u8]) -> Scanned {
        for (place, byte) in piece.iter().enumerate() {
            let through = Scanned { used: place + 1, ended: true };
            if self.in_string {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => {
                        self.in_string = false;
                        if self.depth == 0 {
                            return through;
                        }
                    }
                    _ => {}
                }
                continue;
            }
            match byte {
                b'"' => self.in_string = true,
                b'{' | b'[' => self.depth += 1,
                b',' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n' if self.depth == 0 => {
                    return Scanned { used: place, ended: true };
                }
                b'}' | b']' => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return through;
                    }
                }
                _ => {}
            }
        }
        Scanned { used: piece.len(), ended: false }
    }
}
