//! Streams whose bytes are counted.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What one role has exchanged, counted at its own end of the connections.
#[derive(Debug, Default)]
pub struct Meter {
    pub received: AtomicU64,
    pub sent: AtomicU64,
    /// Requests and lines of the list, the empty ones too.
    pub messages: AtomicU64,
    pub connections: AtomicU64,
}

/// A meter's figures at one moment.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Reading {
    pub received: u64,
    pub sent: u64,
    pub messages: u64,
    pub connections: u64,
}

impl Meter {
    pub fn read(&self) -> Reading {
        Reading {
            received: self.received.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            messages: self.messages.load(Ordering::Relaxed),
            connections: self.connections.load(Ordering::Relaxed),
        }
    }

    pub fn message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

impl Reading {
    /// What has come since an earlier reading.
    pub fn since(self, earlier: Reading) -> Reading {
        Reading {
            received: self.received - earlier.received,
            sent: self.sent - earlier.sent,
            messages: self.messages - earlier.messages,
            connections: self.connections - earlier.connections,
        }
    }

    pub fn plus(self, other: Reading) -> Reading {
        Reading {
            received: self.received + other.received,
            sent: self.sent + other.sent,
            messages: self.messages + other.messages,
            connections: self.connections + other.connections,
        }
    }
}

/// A stream with a meter.
pub struct Metered {
    stream: TcpStream,
    meter: Arc<Meter>,
}

impl Metered {
    pub fn new(stream: TcpStream, meter: Arc<Meter>) -> Metered {
        meter.connections.fetch_add(1, Ordering::Relaxed);
        Metered { stream, meter }
    }
}

impl AsyncRead for Metered {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let count = (buf.filled().len() - before) as u64;
        this.meter.received.fetch_add(count, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Metered {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &polled {
            this.meter.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(count)) = &polled {
            this.meter.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
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
