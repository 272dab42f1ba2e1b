//! The control side's stand-in: it serves the list whole and as a watch, and takes notices. Forwarders reach it
//! through doors, each a listening socket that can be cut off or closed.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, AcquireError, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::fault::Fault;
use crate::truth::{line_of, Truth, Whole};
use crate::wire::{Meter, Metered};

/// An empty line comes so often while nothing changes.
const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);
/// Changes in one line at most.
const CHANGES_A_LINE: usize = 256;
/// Connections that wait to be accepted at one door.
const BACKLOG: u32 = 1024;

/// What a door lets through.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Passage {
    Open,
    /// Nothing comes or goes, and nothing is reset; connections from then are reset when it opens again.
    CutOff,
    /// No one listens, and open connections are reset.
    Closed,
}

/// A fault that the checks have to find.
#[derive(Clone, Copy, Debug)]
pub struct LostChange {
    /// The door to which it is never sent.
    pub door: usize,
    pub generation: u64,
}

/// What all doors share.
pub struct Control {
    truth: Arc<Truth>,
    whole_at_once: Arc<Semaphore>,
    lost: Option<LostChange>,
    /// Whole lists that were sent to their end.
    pub whole_lists: AtomicU64,
    /// Bytes of the last whole list.
    pub whole_bytes: AtomicU64,
    pub notices: AtomicU64,
}

impl Control {
    /// `lost` makes the control side faulty; none for a sound one.
    pub fn new(truth: Arc<Truth>, whole_at_once: u32, lost: Option<LostChange>) -> Arc<Control> {
        Arc::new(Control {
            truth,
            whole_at_once: Arc::new(Semaphore::new(whole_at_once as usize)),
            lost,
            whole_lists: AtomicU64::new(0),
            whole_bytes: AtomicU64::new(0),
            notices: AtomicU64::new(0),
        })
    }
}

/// One listening socket of the control side.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    pub meter: Arc<Meter>,
    passage: watch::Sender<Passage>,
}

impl Door {
    /// Opens a door on loopback and serves it as a task of the current runtime. `number` names it to faults.
    pub async fn open(control: Arc<Control>, number: usize) -> Result<Door, Fault> {
        let listen = |e: io::Error| Fault::broken("the control side can't listen", e);
        let address = crate::ports::free().map_err(listen)?;
        let listener = bind(address).map_err(listen)?;
        let door = Door { address, meter: Arc::default(), passage: watch::Sender::new(Passage::Open) };
        let served = Served { control, number, meter: door.meter.clone(), passage: door.passage.subscribe() };
        tokio::spawn(accept(listener, address, served));
        Ok(door)
    }

    pub fn set(&self, passage: Passage) {
        self.passage.send_replace(passage);
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

#[derive(Clone)]
struct Served {
    control: Arc<Control>,
    number: usize,
    meter: Arc<Meter>,
    passage: watch::Receiver<Passage>,
}

type Body = UnsyncBoxBody<Bytes, io::Error>;

async fn accept(listener: TcpListener, address: SocketAddr, mut served: Served) {
    let mut listener = Some(listener);
    loop {
        let passage = *served.passage.borrow_and_update();
        if passage == Passage::Closed {
            listener = None;
        } else if listener.is_none() {
            listener = bind(address).ok();
        }
        let Some(open) = &listener else {
            // A port that is not free yet is tried again.
            let again = timeout(EMPTY_LINE_EVERY / 20, served.passage.changed()).await;
            if matches!(again, Ok(Err(_))) {
                return;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve(stream, served.clone()));
                }
            }
            changed = served.passage.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn serve(stream: TcpStream, served: Served) {
    let _ = stream.set_nodelay(true);
    let mut passage = served.passage.clone();
    let stream = Metered::new(stream, served.meter.clone());
    let service = service_fn(move |request| answer(request, served.clone()));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        () = reset(&mut passage) => {}
    }
}

/// Comes once connections from before now are reset.
async fn reset(passage: &mut watch::Receiver<Passage>) {
    let was_cut_off = passage.wait_for(|p| *p != Passage::Open).await.is_ok_and(|p| *p == Passage::CutOff);
    if was_cut_off {
        let _ = passage.wait_for(|p| *p != Passage::CutOff).await;
    }
}

/// Comes once nothing is cut off.
async fn passes(passage: &mut watch::Receiver<Passage>) {
    let _ = passage.wait_for(|p| *p != Passage::CutOff).await;
}

async fn answer(request: Request<Incoming>, mut served: Served) -> Result<Response<Body>, Infallible> {
    passes(&mut served.passage).await;
    served.meter.message();
    let (parts, mut body) = request.into_parts();
    let query = parts.uri.query().unwrap_or_default();
    let index = query.split('&').find_map(|pair| pair.strip_prefix("index="));
    let status = |status, text: &'static str| {
        let mut response = Response::new(full(Bytes::from(text)));
        *response.status_mut() = status;
        response
    };
    let response = match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/v1/servers") if query.split('&').any(|pair| pair == "stream=1") => {
            match index.unwrap_or("0").parse() {
                Ok(index) => Response::new(watch_body(served, index)),
                Err(_) => status(StatusCode::BAD_REQUEST, "index: expected a generation\n"),
            }
        }
        (&Method::GET, "/v1/servers") => {
            let whole = served.control.truth.whole().await;
            let pieces = whole.pieces.clone().into_iter().map(|piece| Ok(Frame::data(piece)));
            Response::new(StreamBody::new(stream::iter(pieces)).boxed_unsync())
        }
        (&Method::POST, "/v2/finals") => {
            while let Some(Ok(frame)) = body.frame().await {
                let lines = frame.into_data().map_or(0, |d| d.iter().filter(|b| **b == b'\n').count());
                served.control.notices.fetch_add(lines as u64, Ordering::Relaxed);
            }
            status(StatusCode::NO_CONTENT, "")
        }
        _ => status(StatusCode::NOT_FOUND, ""),
    };
    Ok(response)
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

fn watch_body(served: Served, index: u64) -> Body {
    let news = served.control.truth.news();
    let watch = Watch { served, news, at: index, pieces: VecDeque::new(), whole: None, queued: None };
    let lines = stream::unfold(watch, |mut watch| async move {
        let bytes = watch.next().await;
        Some((Ok(Frame::data(bytes)), watch))
    });
    StreamBody::new(lines).boxed_unsync()
}

/// One watch, and how far it has come.
struct Watch {
    served: Served,
    news: watch::Receiver<u64>,
    /// The generation up to which all was sent.
    at: u64,
    /// What is left of a whole list.
    pieces: VecDeque<Bytes>,
    whole: Option<(Arc<Whole>, OwnedSemaphorePermit)>,
    /// Its place in the queue for a whole list, which empty lines do not cost it.
    queued: Option<Place>,
}

type Place = Pin<Box<dyn Future<Output = Result<OwnedSemaphorePermit, AcquireError>> + Send>>;

impl Watch {
    /// What is sent next, once there is something.
    async fn next(&mut self) -> Bytes {
        loop {
            passes(&mut self.served.passage).await;
            if let Some(piece) = self.pieces.pop_front() {
                return piece;
            }
            if let Some((whole, _)) = self.whole.take() {
                self.at = whole.generation;
                self.served.control.whole_lists.fetch_add(1, Ordering::Relaxed);
            }
            self.news.borrow_and_update();
            let changes = self.served.control.truth.changes_after(self.at, CHANGES_A_LINE);
            // A generation of 0 stands for no list.
            let Some(changes) = changes.filter(|_| self.at > 0) else {
                if self.begin_whole().await {
                    continue;
                }
                return self.empty_line();
            };
            if let Some(last) = changes.last() {
                self.at = last.generation;
                self.served.meter.message();
                if let Some(line) = self.line(&changes) {
                    return line;
                }
                continue;
            }
            if !matches!(timeout(EMPTY_LINE_EVERY, self.news.changed()).await, Ok(Ok(()))) {
                return self.empty_line();
            }
        }
    }

    fn empty_line(&self) -> Bytes {
        self.served.meter.message();
        Bytes::from_static(b"\n")
    }

    /// The line with these changes; a faulty control side leaves one out.
    fn line(&self, changes: &[crate::truth::Change]) -> Option<Bytes> {
        let lost = self.served.control.lost.filter(|lost| lost.door == self.served.number);
        let is_lost = |generation| lost.is_some_and(|lost| lost.generation == generation);
        if let [change] = changes {
            return (!is_lost(change.generation)).then(|| change.line.clone());
        }
        let entries: Vec<&[u8]> =
            changes.iter().filter(|c| !is_lost(c.generation)).map(|c| c.entry.as_ref()).collect();
        Some(Bytes::from(line_of(self.at, &entries)))
    }

    /// Begins a whole list; false while too many others are being sent theirs.
    async fn begin_whole(&mut self) -> bool {
        let slots = self.served.control.whole_at_once.clone();
        let place = self.queued.get_or_insert_with(|| Box::pin(slots.acquire_owned()));
        let Ok(Ok(slot)) = timeout(EMPTY_LINE_EVERY, place).await else {
            return false;
        };
        self.queued = None;
        let whole = self.served.control.truth.whole().await;
        self.served.control.whole_bytes.store(whole.size() as u64, Ordering::Relaxed);
        self.pieces = whole.pieces.iter().cloned().collect();
        self.whole = Some((whole, slot));
        self.served.meter.message();
        true
    }
}
