//! A discovery service that a test controls byte by byte.

use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::{chunk, read_message, TestBed, CHUNKED_RESPONSE_HEAD, NO_CONTENT_RESPONSE};

/// A discovery service whose watches send the bytes that a test writes.
pub struct ManualDiscovery {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// A watch on [`ManualDiscovery`].
pub struct ManualWatch {
    stream: TcpStream,
    /// The generation after which the watch requested changes.
    pub after: u64,
}

impl ManualDiscovery {
    pub async fn start() -> ManualDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        ManualDiscovery { listener, address }
    }

    /// Starts a discovery service and moves the test bed's platform address to it.
    pub async fn start_for(test_bed: &TestBed) -> ManualDiscovery {
        let discovery = ManualDiscovery::start().await;
        test_bed.move_platform(discovery.address);
        discovery
    }

    /// Returns the next watch. Acknowledges notices that arrive before it.
    pub async fn next_watch(&self) -> ManualWatch {
        loop {
            let (mut stream, _) = self.listener.accept().await.unwrap();
            let Some(request) = read_message(&mut stream).await else { continue };
            let Some((_, after)) = request.start_line.split_once("stream=1&index=") else {
                stream.write_all(NO_CONTENT_RESPONSE.as_bytes()).await.unwrap();
                continue;
            };
            let after = after.split(' ').next().unwrap().parse().unwrap();
            stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).await.unwrap();
            return ManualWatch { stream, after };
        }
    }
}

impl ManualWatch {
    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(chunk(text).as_bytes()).await.unwrap();
    }

    pub async fn write_line(&mut self, line: &str) {
        self.write(&format!("{line}\n")).await;
    }
}
