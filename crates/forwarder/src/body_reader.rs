//! Reads HTTP bodies, keeping none of the buffers into which their bytes are received.
//!
//! The HTTP library returns a body in frames, each of which keeps a read buffer of its connection alive. Frames
//! are received in as many pieces as the other side sends, so kept frames would take many times the bytes
//! received.

use std::error::Error;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use thiserror::Error;

/// The error of a body that can't be read to its end.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The body is longer than the limit.
    #[error("body is too long")]
    TooLong,
    /// The body is malformed or was interrupted. The error is that of the HTTP library.
    #[error(transparent)]
    Unreadable(Box<dyn Error + Send + Sync>),
}

/// Reads a body of at most `max_bytes` to its end, and passes its bytes to `consume` as they are received.
pub(crate) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    mut consume: impl FnMut(&[u8]),
) -> Result<(), BodyError> {
    let mut body = Limited::new(body, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => BodyError::TooLong,
            false => BodyError::Unreadable(error),
        })?;
        if let Some(bytes) = frame.data_ref() {
            consume(bytes);
        }
    }
    Ok(())
}
