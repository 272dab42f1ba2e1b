//! Where clients hand envelopes in.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use reeddock_protocol::{Answer, HandIn, MOST_BODY};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout, Instant};
use tower::Service;

use crate::connections::out_of_descriptors;
use crate::limits::Limits;
use crate::owner::Event;
use crate::seldom::Seldom;

/// A body that has not come by then is not waited for.
const BODY_WITHIN: Duration = Duration::from_secs(5);
/// Before the next try where the machine has no room for a connection.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What all connections of clients share.
#[derive(Default)]
pub struct Door {
    leaving: AtomicBool,
    open: AtomicUsize,
    closing: watch::Sender<bool>,
}

impl Door {
    /// From here on clients are asked to go elsewhere.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Connections that stand idle are closed, others once they are answered.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Whether every client has gone.
    pub fn empty(&self) -> bool {
        self.open.load(Ordering::Relaxed) == 0
    }

    fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// The service that answers clients.
#[derive(Clone)]
pub struct Intake {
    door: Arc<Door>,
    owner: mpsc::Sender<Event>,
    /// This connection is one too many: it is told so and closed.
    too_many: bool,
}

impl Service<Request<Incoming>> for Intake {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let intake = self.clone();
        Box::pin(async move {
            let answer = intake.answer(request).await;
            let unread = matches!(answer, Answer::TooLarge | Answer::TooSlow);
            Ok(answer.encode(intake.too_many || unread || intake.door.leaving()))
        })
    }
}

impl Intake {
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") if self.door.leaving() => Answer::Leaving,
            (&Method::GET, "/healthz") => Answer::Healthy,
            (&Method::POST, "/api") => self.hand_in(request).await,
            _ => Answer::NotFound,
        }
    }

    async fn hand_in(&self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        if body.size_hint().lower() > MOST_BODY as u64 {
            return Answer::TooLarge;
        }
        let body = match timeout(BODY_WITHIN, Limited::new(body, MOST_BODY).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => return Answer::TooLarge,
            Ok(Err(e)) => return Answer::Malformed(format!("body: {e}")),
            Err(_) => return Answer::TooSlow,
        };
        let at = Instant::now();
        let hand_in = match HandIn::decode(&parts, body) {
            Ok(hand_in) => hand_in,
            Err(fault) => return Answer::Malformed(fault),
        };
        if self.too_many {
            return Answer::NoRoom;
        }
        let (reply, answered) = oneshot::channel();
        if self.owner.try_send(Event::HandIn { hand_in, at, reply }).is_err() {
            return Answer::NoRoom;
        }
        answered.await.unwrap_or(Answer::NoRoom)
    }
}

/// Accepts and serves clients until it is dropped; connections that are open then are served on.
pub async fn accept(listener: TcpListener, limits: Limits, door: Arc<Door>, owner: mpsc::Sender<Event>) {
    let mut seldom = Seldom::default();
    loop {
        if door.open.load(Ordering::Relaxed) >= limits.accepted {
            sleep(ACCEPT_AGAIN).await;
            continue;
        }
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                if out_of_descriptors(&e) {
                    if let Some(more) = seldom.now() {
                        tracing::warn!(%e, more, "no descriptor for a client's connection");
                    }
                    sleep(ACCEPT_AGAIN).await;
                }
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let open = door.open.fetch_add(1, Ordering::Relaxed);
        let too_many = open >= limits.clients;
        let intake = Intake { door: door.clone(), owner: owner.clone(), too_many };
        tokio::spawn(serve(TokioIo::new(stream), from, intake));
    }
}

async fn serve(stream: TokioIo<TcpStream>, from: SocketAddr, intake: Intake) {
    let door = intake.door.clone();
    let mut closing = door.closing.subscribe();
    let service = TowerToHyperService::new(intake);
    let mut serving = pin!(http1::Builder::new().max_buf_size(16 * 1024).serve_connection(stream, service));
    let served = tokio::select! {
        served = serving.as_mut() => served,
        () = async { drop(closing.wait_for(|closing| *closing).await) } => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = served {
        tracing::debug!(%from, %e, "a client's connection ended");
    }
    door.open.fetch_sub(1, Ordering::Relaxed);
}
