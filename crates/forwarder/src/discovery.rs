//! The watch on the list of targets, opened again whenever it breaks or falls silent.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use reeddock_protocol::{wait_of, watch, ListPart};
use tokio::sync::{mpsc, watch as told};
use tokio::time::{sleep, timeout};

use crate::connections::Connection;
use crate::owner::Event;
use crate::reopening::{Loss, Reopening};
use crate::seldom::Seldom;

/// An empty line comes every two seconds; two that stay away are a silence.
const SILENT_AFTER: Duration = Duration::from_millis(4500);
const OPEN_WITHIN: Duration = Duration::from_secs(1);
/// The whole list of a large fleet fits well inside this.
const LONGEST_LINE: usize = 16 * 1024 * 1024;

/// Where discovery is from now on; never, once nobody can tell that any more.
pub(crate) async fn moved(at: &mut told::Receiver<SocketAddr>) {
    if at.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Watches for ever. `known` is the generation of the list that the owner has, wherever it is watched.
pub async fn follow(
    mut at: told::Receiver<SocketAddr>,
    mut known: u64,
    mut reopening: Reopening,
    owner: mpsc::Sender<Event>,
) {
    let mut seldom = Seldom::default();
    loop {
        let before = known;
        let mut heard = false;
        let discovery = *at.borrow_and_update();
        let loss = tokio::select! {
            loss = listen(discovery, &mut known, &mut heard, &owner) => loss,
            () = moved(&mut at) => {
                reopening.start_over();
                continue;
            }
        };
        if heard || known != before {
            reopening.start_over();
        }
        let rest = reopening.rest(&loss);
        if let Some(more) = seldom.now() {
            let (Loss::Broken(fault) | Loss::Refused(fault, _)) = &loss;
            tracing::warn!(
                %fault,
                ?rest,
                more,
                "the watch on the list of targets ended and is opened again after a rest"
            );
        }
        if owner.send(Event::ListFailed).await.is_err() {
            return;
        }
        tokio::select! {
            () = sleep(rest) => {}
            () = moved(&mut at) => reopening.start_over(),
        }
    }
}

/// One watch, until it ends; says why it did.
async fn listen(
    discovery: SocketAddr,
    known: &mut u64,
    heard: &mut bool,
    owner: &mpsc::Sender<Event>,
) -> Loss {
    let broken = |fault: &str| Loss::Broken(fault.to_owned());
    let request = match watch(discovery, *known) {
        Ok(request) => request,
        Err(fault) => return Loss::Broken(fault),
    };
    let mut connection = match Connection::open(discovery, OPEN_WITHIN, None).await {
        Ok(connection) => connection,
        Err(ending) => return Loss::Broken(format!("discovery: {ending:?}")),
    };
    let response = match timeout(SILENT_AFTER, connection.send(request)).await {
        Err(_) => return broken("no answer"),
        Ok(Err(ending)) => return Loss::Broken(format!("discovery: {ending:?}")),
        Ok(Ok(response)) => response,
    };
    let (answer, mut body) = response.into_parts();
    if answer.status != http::StatusCode::OK {
        return Loss::Refused(format!("answered {}", answer.status), wait_of(&answer));
    }
    let mut line: Vec<u8> = Vec::new();
    loop {
        let frame = match timeout(SILENT_AFTER, body.frame()).await {
            Err(_) => return broken("silent"),
            Ok(None) => return broken("closed"),
            Ok(Some(Err(e))) => return Loss::Broken(e.to_string()),
            Ok(Some(Ok(frame))) => frame,
        };
        for byte in frame.into_data().unwrap_or_default() {
            if byte != b'\n' {
                line.push(byte);
                if line.len() > LONGEST_LINE {
                    return broken("a line has no end");
                }
                continue;
            }
            *heard = true;
            if !line.trim_ascii().is_empty() {
                let part = match ListPart::decode(&line) {
                    Ok(part) => part,
                    Err(fault) => return Loss::Broken(format!("a line that can't be read: {fault}")),
                };
                let generation = part.generation;
                if owner.send(Event::List(part)).await.is_err() {
                    return broken("the forwarder stops");
                }
                // Only now: a watch that is left for another address before this asks for it again.
                *known = generation;
            }
            line.clear();
        }
    }
}
