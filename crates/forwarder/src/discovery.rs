//! The watch on the list of targets, opened again whenever it breaks or falls silent.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use reeddock_protocol::{watch, ListPart};
use tokio::sync::{mpsc, watch as told};
use tokio::time::{sleep, timeout};

use crate::connections::Connection;
use crate::owner::Event;
use crate::seldom::Seldom;

/// An empty line comes every two seconds; two that stay away are a silence.
const SILENT_AFTER: Duration = Duration::from_millis(4500);
const OPEN_WITHIN: Duration = Duration::from_secs(1);
/// Before the watch is opened again: doubled each time, until a line comes.
const AGAIN_FIRST: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_secs(2);
/// The whole list of a large fleet fits well inside this.
const LONGEST_LINE: usize = 16 * 1024 * 1024;

/// Where discovery is from now on; never, once nobody can tell that any more.
pub(crate) async fn moved(at: &mut told::Receiver<SocketAddr>) {
    if at.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Watches for ever. `known` is the generation of the list that the owner has, wherever it is watched.
pub async fn follow(mut at: told::Receiver<SocketAddr>, mut known: u64, owner: mpsc::Sender<Event>) {
    let mut again = AGAIN_FIRST;
    let mut seldom = Seldom::default();
    loop {
        let before = known;
        let mut heard = false;
        let discovery = *at.borrow_and_update();
        let fault = tokio::select! {
            fault = listen(discovery, &mut known, &mut heard, &owner) => fault,
            () = moved(&mut at) => {
                again = AGAIN_FIRST;
                continue;
            }
        };
        if heard || known != before {
            again = AGAIN_FIRST;
        }
        if let Some(more) = seldom.now() {
            tracing::warn!(%fault, more, "the watch on the list of targets ended and is opened again");
        }
        if owner.send(Event::ListFailed).await.is_err() {
            return;
        }
        // Forwarders that lost it together do not all come back together.
        let rest = again.mul_f64(0.5 + f64::from(std::process::id() % 64) / 64.0);
        again = (again * 2).min(AGAIN_MOST);
        tokio::select! {
            () = sleep(rest) => {}
            () = moved(&mut at) => again = AGAIN_FIRST,
        }
    }
}

/// One watch, until it ends; says why it did.
async fn listen(
    discovery: SocketAddr,
    known: &mut u64,
    heard: &mut bool,
    owner: &mpsc::Sender<Event>,
) -> String {
    let request = match watch(discovery, *known) {
        Ok(request) => request,
        Err(fault) => return fault,
    };
    let mut connection = match Connection::open(discovery, OPEN_WITHIN, None).await {
        Ok(connection) => connection,
        Err(ending) => return format!("discovery: {ending:?}"),
    };
    let response = match timeout(SILENT_AFTER, connection.send(request)).await {
        Err(_) => return "no answer".into(),
        Ok(Err(ending)) => return format!("discovery: {ending:?}"),
        Ok(Ok(response)) => response,
    };
    if response.status() != http::StatusCode::OK {
        return format!("answered {}", response.status());
    }
    let mut body = response.into_body();
    let mut line: Vec<u8> = Vec::new();
    loop {
        let frame = match timeout(SILENT_AFTER, body.frame()).await {
            Err(_) => return "silent".into(),
            Ok(None) => return "closed".into(),
            Ok(Some(Err(e))) => return e.to_string(),
            Ok(Some(Ok(frame))) => frame,
        };
        for byte in frame.into_data().unwrap_or_default() {
            if byte != b'\n' {
                line.push(byte);
                if line.len() > LONGEST_LINE {
                    return "a line has no end".into();
                }
                continue;
            }
            *heard = true;
            if !line.trim_ascii().is_empty() {
                let part = match ListPart::decode(&line) {
                    Ok(part) => part,
                    Err(fault) => return format!("a line that can't be read: {fault}"),
                };
                let generation = part.generation;
                if owner.send(Event::List(part)).await.is_err() {
                    return "the forwarder stops".into();
                }
                // Only now: a watch that is left for another address before this asks for it again.
                *known = generation;
            }
            line.clear();
        }
    }
}
