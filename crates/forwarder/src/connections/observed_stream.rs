//! The socket of a connection to another machine, which records how far the exchange on it has got.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::lock;
use crate::http_progress::{RequestProgress, StatusLine};

/// Bytes read from the socket at a time, on the stack.
const READ_BYTES: usize = 4096;

/// The progress of the current request on a connection and of its response. Written by the stream, read by the sender
/// of the request.
#[derive(Default)]
pub(super) struct ExchangeProgress {
    request: Mutex<RequestProgress>,
    status_line: Mutex<StatusLine>,
    /// Notified when the status line has been received completely.
    status_line_complete: Notify,
}

impl ExchangeProgress {
    /// A request with a body of this many bytes is about to be sent.
    pub(super) fn begin(&self, body_bytes: usize) {
        lock(&self.request).begin(body_bytes);
        *lock(&self.status_line) = StatusLine::default();
    }

    /// Whether any byte of the request was sent.
    pub(super) fn request_begun(&self) -> bool {
        lock(&self.request).has_begun()
    }

    /// Whether the last byte of the request was sent.
    pub(super) fn request_complete(&self) -> bool {
        lock(&self.request).is_complete()
    }

    /// Whether any byte of a response was received.
    pub(super) fn response_begun(&self) -> bool {
        !lock(&self.status_line).is_empty()
    }

    /// Whether the status line of the response says 200.
    pub(super) fn status_is_ok(&self) -> bool {
        lock(&self.status_line).is_ok()
    }

    /// Waits until the status line of the response says 200.
    pub(super) async fn wait_for_ok_status(&self) {
        while !self.status_is_ok() {
            self.status_line_complete.notified().await;
        }
    }

    fn sent(&self, bytes: &[u8]) {
        lock(&self.request).record_sent(bytes);
    }

    fn received(&self, bytes: &[u8]) {
        let complete = lock(&self.status_line).record_received(bytes);
        if complete {
            self.status_line_complete.notify_one();
        }
    }
}

/// A TCP stream that records what passes on it.
pub(super) struct ObservedStream {
    stream: TokioIo<TcpStream>,
    progress: Arc<ExchangeProgress>,
}

impl ObservedStream {
    pub(super) fn new(stream: TcpStream, progress: Arc<ExchangeProgress>) -> ObservedStream {
        ObservedStream { stream: TokioIo::new(stream), progress }
    }

    /// Whether nothing waits to be read.
    ///
    /// Bytes that arrived before the request was sent are no response to it but would be taken for one. The
    /// operating system is asked, as it may have bytes that this program has not seen yet.
    fn nothing_to_read(&self) -> bool {
        let waiting = SockRef::from(self.stream.inner()).peek(&mut [MaybeUninit::uninit()]);
        waiting.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Read for ObservedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        read_observed(&mut this.stream, cx, buf, |bytes| this.progress.received(bytes))
    }
}

impl Write for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if !this.progress.request_begun() && !this.nothing_to_read() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, bytes))?;
        this.progress.sent(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// Reads from a stream into a buffer and shows the bytes to an observer.
///
/// They go through a buffer on the stack, as the library's own buffer may be uninitialised and can only be written.
pub(crate) fn read_observed(
    stream: &mut TokioIo<TcpStream>,
    cx: &mut Context,
    mut buf: ReadBufCursor,
    observe: impl FnOnce(&[u8]),
) -> Poll<io::Result<()>> {
    let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
    let capacity = buf.remaining().min(bytes.len());
    let mut read = ReadBuf::uninit(&mut bytes[..capacity]);
    ready!(Pin::new(stream).poll_read(cx, read.unfilled()))?;
    observe(read.filled());
    buf.put_slice(read.filled());
    Poll::Ready(Ok(()))
}
