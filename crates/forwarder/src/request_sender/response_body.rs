//! Reads response bodies, keeping none of the buffers into which their bytes are received.
//!
//! The HTTP library returns a body in frames, each of which keeps the read buffer of its connection alive. Frames
//! are received in as many pieces as the endpoint sends, so kept frames would take many times the bytes received.

use std::error::Error;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use reeddock_protocol::MAX_BODY_BYTES;

/// The maximum number of bytes read from a response body, in case the body has no end.
pub(super) const MAX_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES;

/// Reads a body to its end and discards it.
///
/// The error says that the body is longer than [`MAX_RESPONSE_BYTES`], or why it could not be read.
pub(super) async fn discard_body(body: Incoming) -> Result<(), Box<dyn Error + Send + Sync>> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(())
}
