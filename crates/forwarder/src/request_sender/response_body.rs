//! Reads response bodies, keeping none of the buffers into which their bytes are received.
//!
//! The HTTP library returns a body in frames, each of which keeps a read buffer of its connection alive. Frames
//! are received in as many pieces as the endpoint sends, so kept frames would take many times the bytes received.

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use reeddock_protocol::MAX_BODY_BYTES;

/// The maximum number of bytes read from a response body, in case the body has no end.
const MAX_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES;

/// The error of a body that is longer than [`MAX_RESPONSE_BYTES`], malformed, or interrupted.
pub(super) struct IncompleteBody;

/// Reads a body to its end, and passes its bytes to `decode` as they are received.
pub(super) async fn read_body(body: Incoming, mut decode: impl FnMut(&[u8])) -> Result<(), IncompleteBody> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| IncompleteBody)?;
        if let Some(bytes) = frame.data_ref() {
            decode(bytes);
        }
    }
    Ok(())
}

/// Reads a body to its end and discards it.
pub(super) async fn discard_body(body: Incoming) -> Result<(), IncompleteBody> {
    read_body(body, |_| {}).await
}
