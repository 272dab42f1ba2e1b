//! TCP streams that count their bytes.

use std::io;
use std::ops::{Add, Sub};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counters of the traffic of one component, measured at the component's end of the connections.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounters {
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
    /// Number of requests and of lines of the endpoint list, including empty lines.
    messages: AtomicU64,
}

/// The values of [`TrafficCounters`] at one moment, or their increase between two moments.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrafficTotals {
    /// Number of bytes received.
    pub(crate) received_bytes: u64,
    /// Number of bytes sent.
    pub(crate) sent_bytes: u64,
    /// Number of requests and of lines of the endpoint list, including empty lines.
    pub(crate) messages: u64,
}

impl TrafficCounters {
    /// Returns the current values.
    pub(crate) fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            messages: self.messages.load(Ordering::Relaxed),
        }
    }

    /// Counts one request or one line of the endpoint list.
    pub(crate) fn count_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    fn count_sent(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = polled {
            self.sent_bytes.fetch_add(*count as u64, Ordering::Relaxed);
        }
    }
}

impl TrafficTotals {
    /// Returns the totals as measured at the other end of the connections.
    pub(crate) fn at_other_end(self) -> TrafficTotals {
        TrafficTotals { received_bytes: self.sent_bytes, sent_bytes: self.received_bytes, ..self }
    }
}

impl Add for TrafficTotals {
    type Output = TrafficTotals;

    fn add(self, other: TrafficTotals) -> TrafficTotals {
        TrafficTotals {
            received_bytes: self.received_bytes + other.received_bytes,
            sent_bytes: self.sent_bytes + other.sent_bytes,
            messages: self.messages + other.messages,
        }
    }
}

/// Returns the traffic since an earlier moment.
impl Sub for TrafficTotals {
    type Output = TrafficTotals;

    fn sub(self, earlier: TrafficTotals) -> TrafficTotals {
        TrafficTotals {
            received_bytes: self.received_bytes - earlier.received_bytes,
            sent_bytes: self.sent_bytes - earlier.sent_bytes,
            messages: self.messages - earlier.messages,
        }
    }
}

/// A TCP stream that adds its bytes to shared counters.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    traffic: Arc<TrafficCounters>,
}

impl MeteredStream {
    /// Wraps a stream and adds all further bytes to `traffic`.
    pub(crate) fn new(stream: TcpStream, traffic: Arc<TrafficCounters>) -> MeteredStream {
        MeteredStream { stream, traffic }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let count = (buf.filled().len() - before) as u64;
        this.traffic.received_bytes.fetch_add(count, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.traffic.count_sent(&polled);
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.traffic.count_sent(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
