//! The socket of a connection to another machine, which records the progress of the exchange on it.

use std::io::{self, IoSlice};
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

/// Size in bytes of the read buffer, which is on the stack.
const READ_BUFFER_BYTES: usize = 4096;

/// The progress of the current request on a connection and of its response. The stream writes it, and the
/// sender of the request reads it.
#[derive(Default)]
pub(super) struct ExchangeProgress {
    request: Mutex<RequestProgress>,
    status_line: Mutex<StatusLine>,
    /// Notified when the status line was received completely.
    status_line_complete: Notify,
}

impl ExchangeProgress {
    /// Records that a request with a body of `body_bytes` bytes is about to be sent.
    pub(super) fn begin_request(&self, body_bytes: usize) {
        lock(&self.request).begin(body_bytes);
        *lock(&self.status_line) = StatusLine::default();
    }

    /// Returns whether any byte of the request was sent.
    pub(super) fn request_begun(&self) -> bool {
        lock(&self.request).has_begun()
    }

    /// Returns whether the last byte of the request was sent.
    pub(super) fn request_complete(&self) -> bool {
        lock(&self.request).is_complete()
    }

    /// Returns whether any byte of a response was received.
    pub(super) fn response_begun(&self) -> bool {
        !lock(&self.status_line).is_empty()
    }

    /// Returns whether the status line of the response says 200.
    pub(super) fn status_is_ok(&self) -> bool {
        lock(&self.status_line).is_ok()
    }

    /// Waits until the status line of the response says 200.
    pub(super) async fn wait_for_ok_status(&self) {
        while !self.status_is_ok() {
            self.status_line_complete.notified().await;
        }
    }

    fn record_sent(&self, bytes: &[u8]) {
        lock(&self.request).record_sent(bytes);
    }

    fn record_received(&self, bytes: &[u8]) {
        let complete = lock(&self.status_line).record_received(bytes);
        if complete {
            self.status_line_complete.notify_one();
        }
    }
}

/// A TCP stream that records the bytes sent and received on it.
pub(super) struct ObservedStream {
    stream: TokioIo<TcpStream>,
    progress: Arc<ExchangeProgress>,
}

impl ObservedStream {
    pub(super) fn new(stream: TcpStream, progress: Arc<ExchangeProgress>) -> ObservedStream {
        ObservedStream { stream: TokioIo::new(stream), progress }
    }

    /// Fails if the connection has received bytes since the last response and no request was begun.
    fn check_silent_before_request(&self) -> io::Result<()> {
        if !self.progress.request_begun() && !self.receive_buffer_is_empty() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Returns whether the socket has no data to read.
    ///
    /// Bytes that arrive before a request is sent would be parsed as its response. The check asks the
    /// operating system, whose receive buffer may hold bytes that this process has not read.
    fn receive_buffer_is_empty(&self) -> bool {
        let peeked = SockRef::from(self.stream.inner()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Read for ObservedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        read_observed(&mut this.stream, cx, buf, |bytes| this.progress.record_received(bytes))
    }
}

impl Write for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.check_silent_before_request()?;
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, bytes))?;
        this.progress.record_sent(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.check_silent_before_request()?;
        let written = ready!(Pin::new(&mut this.stream).poll_write_vectored(cx, slices))?;
        let mut left = written;
        for slice in slices {
            let sent = left.min(slice.len());
            this.progress.record_sent(&slice[..sent]);
            left -= sent;
        }
        Poll::Ready(Ok(written))
    }

    /// Returns true, so that the HTTP library does not copy the body of a request behind its head.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// Reads from a stream into a buffer and passes the bytes to an observer.
///
/// The bytes go through a buffer on the stack because the library's buffer is write-only and may be
/// uninitialised.
pub(crate) fn read_observed(
    stream: &mut TokioIo<TcpStream>,
    cx: &mut Context,
    mut buf: ReadBufCursor,
    observe: impl FnOnce(&[u8]),
) -> Poll<io::Result<()>> {
    let mut bytes = [MaybeUninit::uninit(); READ_BUFFER_BYTES];
    let capacity = buf.remaining().min(bytes.len());
    let mut read = ReadBuf::uninit(&mut bytes[..capacity]);
    ready!(Pin::new(stream).poll_read(cx, read.unfilled()))?;
    observe(read.filled());
    buf.put_slice(read.filled());
    Poll::Ready(Ok(()))
}
