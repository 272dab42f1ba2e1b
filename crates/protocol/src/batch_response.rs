//! Incremental decoder for the body of a response to a batch. It performs no I/O.

use std::time::Duration;

use crate::headers::MAX_ID_BYTES;
use crate::{AttemptResult, OutgoingMessage, ResponseHead};

/// Whether a response body is known to be complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is complete: the connection is ready for another request and no further bytes followed.
    Confirmed,
    /// The body may be truncated: the connection was closed or further bytes followed.
    Unconfirmed,
}

/// Decodes the body of a response to a batch from pieces of any size. Each line of the body has the id of a
/// message and its result.
///
/// The memory of a decoder depends on the number of messages and not on the body.
pub struct BatchResponseDecoder<'m> {
    messages: &'m [OutgoingMessage],
    /// The result of each message, in the order of `messages`. `None` if no line names the message so far.
    results: Vec<Option<BatchLineResult>>,
    line: BatchLine,
    ends_with_line_feed: bool,
}

/// The result in a line of the body.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BatchLineResult {
    Accepted,
    Fault,
    Deferred,
    Expired,
    NoMore,
    Unknown,
}

impl<'m> BatchResponseDecoder<'m> {
    /// Creates a decoder at the start of the body of a response to these messages.
    #[must_use]
    pub fn new(messages: &'m [OutgoingMessage]) -> BatchResponseDecoder<'m> {
        BatchResponseDecoder {
            messages,
            results: vec![None; messages.len()],
            line: BatchLine::default(),
            ends_with_line_feed: false,
        }
    }

    /// Decodes the next bytes of the body.
    pub fn decode(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.ends_with_line_feed = *byte == b'\n';
            if self.ends_with_line_feed {
                self.end_line();
            } else {
                self.line.push(*byte);
            }
        }
    }

    /// Returns the attempt results that the response gives for the messages, in their order.
    ///
    /// All messages get [`AttemptResult::MalformedResponse`] if the body omits one of them or may be truncated.
    #[must_use]
    pub fn finish(mut self, head: &ResponseHead, end: BodyEnd) -> Vec<AttemptResult> {
        let count = self.messages.len();
        match head.result {
            AttemptResult::Completed => {}
            AttemptResult::Malformed => return vec![AttemptResult::BatchMalformed; count],
            common_result => return vec![common_result; count],
        }
        let may_be_truncated = end == BodyEnd::Unconfirmed && !self.ends_with_line_feed;
        self.end_line();
        let attempt_result = |line: BatchLineResult| line.attempt_result(head.retry_after);
        let results = self.results.iter().map(|line| line.and_then(attempt_result));
        let results = results.collect::<Option<Vec<AttemptResult>>>().filter(|_| !may_be_truncated);
        results.unwrap_or_else(|| vec![AttemptResult::MalformedResponse; count])
    }

    /// Applies the current line to each message that it names. The first line with a result counts.
    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let Some(result) = line.result() else { return };
        for (message, known) in self.messages.iter().zip(&mut self.results) {
            if line.names(&message.id.0) {
                known.get_or_insert(result);
            }
        }
    }
}

impl BatchLineResult {
    fn from_word(word: &[u8]) -> BatchLineResult {
        match word {
            b"accepted" => BatchLineResult::Accepted,
            b"fault" => BatchLineResult::Fault,
            b"deferred" => BatchLineResult::Deferred,
            b"expired" => BatchLineResult::Expired,
            b"no_more" => BatchLineResult::NoMore,
            _ => BatchLineResult::Unknown,
        }
    }

    /// Returns the result of an attempt; `None` if the word in the line is unknown.
    fn attempt_result(self, retry_after: Option<Duration>) -> Option<AttemptResult> {
        Some(match self {
            BatchLineResult::Accepted => AttemptResult::Completed,
            BatchLineResult::Fault => AttemptResult::Failed,
            BatchLineResult::Deferred => AttemptResult::Rejected { retry_after },
            BatchLineResult::Expired => AttemptResult::AlreadyFinished,
            BatchLineResult::NoMore => AttemptResult::AttemptsExhausted,
            BatchLineResult::Unknown => return None,
        })
    }
}

/// The current line of a body. Only its first two words are kept.
#[derive(Default)]
struct BatchLine {
    id: Word,
    result: Word,
    position: LinePosition,
}

/// The element of a line that is read next.
#[derive(Clone, Copy, Default)]
enum LinePosition {
    /// White space, or the first byte of the id.
    #[default]
    BeforeId,
    InId,
    /// White space, or the first byte of the result.
    BeforeResult,
    InResult,
    /// The rest of the line, which has no meaning.
    AfterResult,
}

impl BatchLine {
    fn push(&mut self, byte: u8) {
        let is_space = byte.is_ascii_whitespace();
        self.position = match (self.position, is_space) {
            (LinePosition::BeforeId | LinePosition::InId, false) => LinePosition::InId,
            (LinePosition::BeforeResult | LinePosition::InResult, false) => LinePosition::InResult,
            (LinePosition::InId, true) => LinePosition::BeforeResult,
            (LinePosition::InResult, true) => LinePosition::AfterResult,
            (unchanged, _) => unchanged,
        };
        match (self.position, is_space) {
            (LinePosition::InId, false) => self.id.push(byte),
            (LinePosition::InResult, false) => self.result.push(byte),
            _ => {}
        }
    }

    /// Returns the result in the line; `None` if the line has no second word.
    fn result(&self) -> Option<BatchLineResult> {
        (!self.result.bytes.is_empty()).then(|| BatchLineResult::from_word(&self.result.bytes))
    }

    fn names(&self, id: &str) -> bool {
        self.id.bytes == id.as_bytes()
    }
}

/// A word of a line. Of a longer word, one byte more than the longest message id is kept, which makes it unequal
/// to every id and every result.
#[derive(Default)]
struct Word {
    bytes: Vec<u8>,
}

impl Word {
    fn push(&mut self, byte: u8) {
        if self.bytes.len() <= MAX_ID_BYTES {
            self.bytes.push(byte);
        }
    }
}
