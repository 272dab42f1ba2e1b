//! What has passed on a connection, read from the bytes themselves. Decides nothing and does no I/O: whoever reads
//! and writes shows it the bytes.

/// Finds the blank line that ends a head, however its bytes come.
#[derive(Default)]
pub struct HeadScanner {
    /// Bytes of the blank line seen so far.
    blank: usize,
    finished: bool,
}

impl HeadScanner {
    /// What of these bytes stands behind the head.
    pub fn skip<'b>(&mut self, mut bytes: &'b [u8]) -> &'b [u8] {
        const BLANK: &[u8] = b"\r\n\r\n";
        while let (false, Some((byte, rest))) = (self.finished, bytes.split_first()) {
            self.blank =
                if *byte == BLANK[self.blank] { self.blank + 1 } else { usize::from(*byte == b'\r') };
            self.finished = self.blank == BLANK.len();
            bytes = rest;
        }
        bytes
    }
}

/// How much of a request has been handed to the system: what a library still holds back has not left, and a call
/// that has not left whole cannot have run.
#[derive(Default)]
pub struct RequestProgress {
    begun: bool,
    head: HeadScanner,
    body_left: usize,
}

impl RequestProgress {
    /// A request with so long a body is about to leave.
    pub fn begin(&mut self, body: usize) {
        *self = RequestProgress { body_left: body, ..RequestProgress::default() };
    }

    /// These bytes of it have left.
    pub fn gone(&mut self, bytes: &[u8]) {
        self.begun |= !bytes.is_empty();
        self.body_left = self.body_left.saturating_sub(self.head.skip(bytes).len());
    }

    pub fn begun(&self) -> bool {
        self.begun
    }

    pub fn complete(&self) -> bool {
        self.head.finished && self.body_left == 0
    }
}

/// The first line of an answer: a library that can't read what follows it hides it, and it may have said that the
/// call was completed. Lines of 1xx answers in front don't count.
#[derive(Default)]
pub struct StatusLine {
    line: Vec<u8>,
    /// In the rest of a 1xx answer's head.
    aside: bool,
    whole: bool,
}

impl StatusLine {
    /// Longer first lines are noise.
    const LONGEST: usize = 256;

    /// These bytes have come; says whether the first line has come whole with them.
    pub fn come(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if self.whole || self.line.len() > StatusLine::LONGEST {
                return false;
            }
            self.line.push(*byte);
            if *byte != b'\n' {
                continue;
            }
            let line = self.line.trim_ascii_end();
            if self.aside {
                self.aside = !line.is_empty();
                self.line.clear();
            } else if line.len() >= 12 && line.starts_with(b"HTTP/1.") && line[8..].starts_with(b" 1") {
                self.aside = true;
                self.line.clear();
            } else {
                self.whole = true;
                return true;
            }
        }
        false
    }

    /// Whether nothing has come.
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    pub fn says_ok(&self) -> bool {
        let status = self.line.strip_prefix(b"HTTP/1.1 200").or(self.line.strip_prefix(b"HTTP/1.0 200"));
        self.whole && status.is_some_and(|rest| rest[0].is_ascii_whitespace())
    }
}
