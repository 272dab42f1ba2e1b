//! The progress of an HTTP/1 exchange, derived from the bytes on the connection.
//!
//! The HTTP library hides two facts that decide whether a request may have been executed: how many bytes of
//! the request the operating system has accepted, and the status line of a response whose head is malformed.
//! The state machines in this module derive both without I/O.

/// Finds the blank line that ends a message head. The bytes may arrive in any number of pieces.
#[derive(Default)]
pub(crate) struct HeadScanner {
    /// The number of bytes of [`HeadScanner::END_OF_HEAD`] that the last bytes match.
    matched: usize,
    finished: bool,
}

impl HeadScanner {
    /// The end of the last header line, and the blank line after it.
    const END_OF_HEAD: &[u8] = b"\r\n\r\n";

    /// Consumes bytes up to the end of the head, and returns the bytes after it.
    pub(crate) fn skip<'b>(&mut self, mut bytes: &'b [u8]) -> &'b [u8] {
        while let (false, Some((byte, rest))) = (self.finished, bytes.split_first()) {
            self.advance(*byte);
            bytes = rest;
        }
        bytes
    }

    fn advance(&mut self, byte: u8) {
        self.matched = if byte == Self::END_OF_HEAD[self.matched] {
            self.matched + 1
        } else {
            // The mismatched byte can be the first byte of the sequence.
            usize::from(byte == b'\r')
        };
        self.finished = self.matched == Self::END_OF_HEAD.len();
    }
}

/// The part of a request that the operating system has accepted for sending.
///
/// Bytes that the HTTP library still buffers count as not sent. A request whose last byte was not sent can't
/// have been executed.
#[derive(Default)]
pub struct RequestProgress {
    begun: bool,
    head: HeadScanner,
    /// Bytes of the body that are not sent yet.
    body_bytes_left: usize,
}

impl RequestProgress {
    /// Starts tracking a new request whose body has `body_bytes` bytes, none of them sent yet.
    pub fn begin(&mut self, body_bytes: usize) {
        *self = RequestProgress { body_bytes_left: body_bytes, ..RequestProgress::default() };
    }

    /// Records bytes that the operating system has accepted.
    pub fn record_sent(&mut self, bytes: &[u8]) {
        self.begun |= !bytes.is_empty();
        self.body_bytes_left = self.body_bytes_left.saturating_sub(self.head.skip(bytes).len());
    }

    /// Returns whether at least one byte of the request was sent.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Returns whether the last byte of the request was sent, so that the request may have been executed.
    pub fn is_complete(&self) -> bool {
        self.head.finished && self.body_bytes_left == 0
    }
}

/// Reads the status line of a response independently of the HTTP library.
///
/// The library hides the status line when it can't parse the headers after it, although the status may
/// confirm that the request was completed. Interim (1xx) responses are skipped.
#[derive(Default)]
pub struct StatusLine {
    /// The bytes of the current line, or the final status line once it is complete.
    line: Vec<u8>,
    state: StatusLineState,
}

/// The element of the response that [`StatusLine`] reads next.
#[derive(Default)]
enum StatusLineState {
    /// A status line, either final or interim.
    #[default]
    InStatusLine,
    /// The headers of an interim response.
    InInterimHead,
    /// Nothing, as the final status line is complete.
    Complete,
}

impl StatusLine {
    /// Maximum length of a status line in bytes. A longer line is not HTTP, and nothing after it is read.
    const MAX_BYTES: usize = 256;
    /// Length in bytes of the HTTP version, such as `HTTP/1.1`, with which a status line begins.
    const VERSION_BYTES: usize = 8;
    /// Length in bytes of the shortest status line: the version, a space and three digits.
    const MIN_BYTES: usize = 12;

    /// Records received bytes. Returns whether they complete the final status line.
    pub fn record_received(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if matches!(self.state, StatusLineState::Complete) || self.line.len() > Self::MAX_BYTES {
                return false;
            }
            self.line.push(*byte);
            if *byte == b'\n' && self.end_line() {
                return true;
            }
        }
        false
    }

    /// Handles the end of a line. Returns whether the line is the final status line.
    fn end_line(&mut self) -> bool {
        let line = self.line.trim_ascii_end();
        self.state = match self.state {
            StatusLineState::InInterimHead if line.is_empty() => StatusLineState::InStatusLine,
            StatusLineState::InInterimHead => StatusLineState::InInterimHead,
            _ if Self::is_interim(line) => StatusLineState::InInterimHead,
            _ => {
                self.state = StatusLineState::Complete;
                return true;
            }
        };
        self.line.clear();
        false
    }

    fn is_interim(line: &[u8]) -> bool {
        line.len() >= Self::MIN_BYTES
            && line.starts_with(b"HTTP/1.")
            && line[Self::VERSION_BYTES..].starts_with(b" 1")
    }

    /// Returns whether nothing was received except complete interim responses.
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// Returns whether the status line is complete and its code is 200.
    pub fn is_ok(&self) -> bool {
        let after_code = self.line.strip_prefix(b"HTTP/1.1 200").or(self.line.strip_prefix(b"HTTP/1.0 200"));
        // A complete line ends in a line feed, so that at least one byte follows the code.
        matches!(self.state, StatusLineState::Complete)
            && after_code.is_some_and(|rest| rest[0].is_ascii_whitespace())
    }
}
