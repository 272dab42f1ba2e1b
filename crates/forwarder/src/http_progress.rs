//! The progress of an HTTP/1 exchange, derived from the bytes on the connection.
//!
//! Pure state machines without I/O: the stream passes them the bytes that are read and written. They exist because the
//! HTTP library hides two facts that decide whether a request may have been executed: how many of its bytes the
//! operating system has accepted, and the status line of a response whose head the library can't parse.

/// Finds the blank line that ends a message head, in whatever pieces the bytes arrive.
#[derive(Default)]
pub(crate) struct HeadScanner {
    /// How many bytes of [`HeadScanner::END_OF_HEAD`] the last bytes match.
    matched: usize,
    finished: bool,
}

impl HeadScanner {
    /// The end of the last header line and the blank line after it.
    const END_OF_HEAD: &[u8] = b"\r\n\r\n";

    /// Consumes bytes up to the end of the head and returns those after it.
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
            // A mismatch can itself begin the sequence anew.
            usize::from(byte == b'\r')
        };
        self.finished = self.matched == Self::END_OF_HEAD.len();
    }
}

/// How much of a request the operating system has accepted for sending.
///
/// What the HTTP library still buffers has not been sent, and a request of which the last byte was not sent cannot
/// have been executed.
#[derive(Default)]
pub struct RequestProgress {
    begun: bool,
    head: HeadScanner,
    /// Bytes of the body that were not sent yet.
    body_left: usize,
}

impl RequestProgress {
    /// Begins anew for a request with a body of this many bytes, none of it sent yet.
    pub fn begin(&mut self, body: usize) {
        *self = RequestProgress { body_left: body, ..RequestProgress::default() };
    }

    /// Counts bytes that the operating system has accepted.
    pub fn record_sent(&mut self, bytes: &[u8]) {
        self.begun |= !bytes.is_empty();
        self.body_left = self.body_left.saturating_sub(self.head.skip(bytes).len());
    }

    /// Whether at least one byte of the request was sent.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Whether the last byte of the request was sent, so that it may have been executed.
    pub fn is_complete(&self) -> bool {
        self.head.finished && self.body_left == 0
    }
}

/// The status line of a response, kept apart from the HTTP library.
///
/// The library hides the status line when it cannot parse the headers behind it, though the line may have said that
/// the request was completed. Interim (1xx) responses in front of it are skipped.
#[derive(Default)]
pub struct StatusLine {
    /// The current line, or the whole status line once that has ended.
    line: Vec<u8>,
    state: StatusLineState,
}

/// What [`StatusLine`] reads at the moment.
#[derive(Default)]
enum StatusLineState {
    /// A line that is a status line, final or interim.
    #[default]
    InStatusLine,
    /// The rest of the head of an interim response.
    InInterimHead,
    /// The final status line has ended.
    Complete,
}

impl StatusLine {
    /// The most bytes of a status line; a longer one is not HTTP, and nothing after it is read.
    const MAX_BYTES: usize = 256;
    /// Bytes before the status code: `HTTP/1.1`.
    const VERSION_BYTES: usize = 8;
    /// Bytes of the shortest status line: the version, a space and three digits.
    const MIN_BYTES: usize = 12;

    /// Adds bytes that were received; returns whether they complete the status line.
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

    /// Moves on from a line that has just ended; returns whether it is the final status line.
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

    /// Whether nothing was received, or nothing but whole interim responses.
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// Whether the status line is complete and says 200.
    pub fn is_ok(&self) -> bool {
        let after_code = self.line.strip_prefix(b"HTTP/1.1 200").or(self.line.strip_prefix(b"HTTP/1.0 200"));
        // A complete line ends in a line feed, so that at least one byte follows the code.
        matches!(self.state, StatusLineState::Complete)
            && after_code.is_some_and(|rest| rest[0].is_ascii_whitespace())
    }
}
