//! Hands envelopes in at one forwarder, over a connection that is kept.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

const OPEN_WITHIN: Duration = Duration::from_millis(400);

/// How one hand-in went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The forwarder owes the envelope its end.
    TakenOn,
    /// Refused, as when the list knows no such destination.
    Refused(StatusCode),
    /// No connection, a break, or no answer in time.
    None,
}

/// One client, with one connection at most.
pub struct Client {
    forwarder: SocketAddr,
    /// How long an answer is waited for.
    patience: Duration,
    connection: Option<(SendRequest<Full<Bytes>>, Driver)>,
}

struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Client {
    pub fn new(forwarder: SocketAddr, patience: Duration) -> Client {
        Client { forwarder, patience, connection: None }
    }

    /// Hands one envelope in.
    pub async fn hand_in(&mut self, id: &str, destination: u32) -> Answer {
        let request = Request::post("/api")
            .header("host", "api.internal")
            .header("x-call-id", id)
            .header("x-call-class", "update")
            .header("x-budget", "20.000")
            .header("x-route-to", format!("dest={destination}"))
            .body(Full::from(Bytes::from_static(b"an envelope of the scale run")));
        let Ok(request) = request else { return Answer::None };
        match self.ask(request).await {
            Some(StatusCode::ACCEPTED | StatusCode::OK) => Answer::TakenOn,
            Some(status) => Answer::Refused(status),
            None => Answer::None,
        }
    }

    async fn ask(&mut self, request: Request<Full<Bytes>>) -> Option<StatusCode> {
        let kept = self.connection.take().filter(|(sender, _)| !sender.is_closed());
        let (mut sender, driver) = match kept {
            Some(kept) => kept,
            None => self.open().await?,
        };
        let asked = async {
            sender.ready().await.ok()?;
            let mut response = sender.send_request(request).await.ok()?;
            while let Some(Ok(_)) = response.frame().await {}
            Some(response.status())
        };
        let status = timeout(self.patience, asked).await.ok()??;
        self.connection = Some((sender, driver));
        Some(status)
    }

    async fn open(&self) -> Option<(SendRequest<Full<Bytes>>, Driver)> {
        let stream = timeout(OPEN_WITHIN, TcpStream::connect(self.forwarder)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some((sender, Driver(tokio::spawn(connection).abort_handle())))
    }
}
