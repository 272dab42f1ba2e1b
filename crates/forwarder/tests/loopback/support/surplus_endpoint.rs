//! An endpoint behind a slow network that sends a second copy of each connection's first response.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use super::{read_message, HttpMessage};

/// When the bytes of [`SurplusEndpoint`] reach the forwarder.
#[derive(Clone, Copy, Debug)]
pub struct SurplusTiming {
    /// The time from a request to its response.
    pub round_trip: Duration,
    /// The time from a connection's first response to the second copy of it.
    pub copy_after: Duration,
}

/// Bytes in transit to the forwarder.
struct Delayed {
    arrives_at: Instant,
    text: String,
}

/// An endpoint whose responses to one connection arrive in their order, each after the round trip.
#[derive(Clone)]
pub struct SurplusEndpoint {
    pub address: SocketAddr,
    timing: SurplusTiming,
    responses: Arc<Mutex<Vec<String>>>,
}

impl SurplusEndpoint {
    /// Starts an endpoint that gives these responses to its requests, in the order in which they come.
    pub async fn start(timing: SurplusTiming, responses: &[&str]) -> SurplusEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let responses = responses.iter().rev().map(|response| (*response).to_owned()).collect();
        let endpoint = SurplusEndpoint {
            address: listener.local_addr().unwrap(),
            timing,
            responses: Arc::new(Mutex::new(responses)),
        };
        let server = endpoint.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(server.clone().serve_connection(stream));
            }
        });
        endpoint
    }

    async fn serve_connection(self, mut stream: TcpStream) {
        let (to_forwarder, delayed) = mpsc::unbounded_channel();
        let Some(mut request) = read_message(&mut stream).await else { return };
        let (mut reader, writer) = stream.into_split();
        tokio::spawn(write_delayed(writer, delayed));
        let mut is_first = true;
        loop {
            let text = self.response_to(&request);
            let arrives_at = Instant::now() + self.timing.round_trip;
            let _ = to_forwarder.send(Delayed { arrives_at, text: text.clone() });
            if is_first {
                let _ = to_forwarder.send(Delayed { arrives_at: arrives_at + self.timing.copy_after, text });
            }
            is_first = false;
            let Some(next) = read_message(&mut reader).await else { return };
            request = next;
        }
    }

    fn response_to(&self, request: &HttpMessage) -> String {
        let response = self.responses.lock().unwrap().pop();
        response.unwrap_or_else(|| panic!("expected no further request: {request:?}"))
    }
}

/// Writes each text at the time at which it arrives, in the order of the queue.
async fn write_delayed(mut writer: OwnedWriteHalf, mut delayed: mpsc::UnboundedReceiver<Delayed>) {
    while let Some(Delayed { arrives_at, text }) = delayed.recv().await {
        sleep_until(arrives_at).await;
        if writer.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}
